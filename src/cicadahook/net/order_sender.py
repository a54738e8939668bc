"""Sends single orders to engines and updates their ledgers with the results.

`Orderer` decides which orders to send; `OrderSender` checks that this node
may send them and resolves orders whose outcome is unknown.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
from typing import Final, Protocol

from cicadahook.core import clock as clock_lib
from cicadahook.core import engine_ledger
from cicadahook.core import engine_orders
from cicadahook.core import inventory
from cicadahook.core import order_holder
from cicadahook.core import routes
from cicadahook.core import upstream_statements
from cicadahook.net import logs
from cicadahook.net import metrics

# An engine's report may be this old, so it is fetched only after this delay.
REPORT_LAG: Final = datetime.timedelta(milliseconds=400)
# How often one order is sent in all until a result is known.
MAX_COPIES: Final = 6
# How long to avoid an engine that could not be reached or lacked a copy.
UNRELIABLE_PERIOD: Final = datetime.timedelta(seconds=1)

logger: Final = logs.create_logger("orders")


class EngineApi(Protocol):
    """Interface to the engines: orders and reports."""

    async def send_order(
        self, instance: inventory.Instance, order: engine_orders.Order
    ) -> engine_orders.OrderResult:
        """Send an order; without an answer, its result is unknown."""

    async def fetch_report(
        self, instance: inventory.Instance
    ) -> engine_orders.EngineReport | None:
        """Return an engine's report; None if it does not answer."""


class PacedEngineApi:
    """Sends orders and report queries within the engines' request limits.

    Attributes:
        client: interface to the engines.
        statements: what engines say of themselves.
        clock: source of the current time.
        node: name of the node, for metrics.
    """

    def __init__(
        self,
        client: EngineApi,
        statements: upstream_statements.UpstreamStatements,
        clock: clock_lib.Clock,
        node: str,
    ) -> None:
        self.client = client
        self.statements = statements
        self.clock = clock
        self.node = node

    async def send_order(
        self, instance: inventory.Instance, order: engine_orders.Order
    ) -> engine_orders.OrderResult:
        """Send an order unless the engine's limit has no room for it."""
        if not self._acquire(instance, "order"):
            return engine_orders.OrderResult.NOT_SENT
        return await self.client.send_order(instance, order)

    async def fetch_report(
        self, instance: inventory.Instance
    ) -> engine_orders.EngineReport | None:
        """Return an engine's report; None if its limit has no room."""
        if not self._acquire(instance, "report"):
            return None
        return await self.client.fetch_report(instance)

    def _acquire(self, instance: inventory.Instance, kind: str) -> bool:
        """Return whether a call may be sent to an engine; count it if so."""
        if not self.statements.acquire_order(instance, self.clock.now()):
            return False
        if self.statements.find_limit(instance) is not None:
            metrics.count_limited_call(kind, self.node)
        return True


@dataclasses.dataclass
class Engine:
    """An engine to which this node sends orders.

    Attributes:
        ledger: what it holds and the memory that takes.
        lock: held while an order is sent or its state is queried.
        last_sent: when the last order was sent.
        unreliable_since: when its ledger was last found to be wrong, or it
            did not report; None if it is reliable.
    """

    ledger: engine_ledger.EngineLedger
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    last_sent: datetime.datetime | None = None
    unreliable_since: datetime.datetime | None = None

    def runs(self, software: str) -> bool:
        """Whether it runs a version of its software; empty means any."""
        return software in ("", self.ledger.instance.software)

    def mark_unreliable(self, now: datetime.datetime) -> None:
        """Avoid it for a while; its state is queried before the next use."""
        if self.is_unreliable(now):
            return
        self.unreliable_since = now
        if not self.ledger.is_busy:
            self.ledger.sequence = None
        logger.info(
            "Engine avoided for loads; a node could not use it.",
            extra={"instance": self.ledger.instance.id},
        )

    def is_unreliable(self, now: datetime.datetime) -> bool:
        """Whether it was marked lately or has not reported since."""
        has_not_reported = (
            self.unreliable_since is not None and self.ledger.sequence is None
        )
        return has_not_reported or self.is_recently_unreliable(now)

    def is_recently_unreliable(self, now: datetime.datetime) -> bool:
        """Whether it was marked within `UNRELIABLE_PERIOD`."""
        since = self.unreliable_since
        return since is not None and now - since < UNRELIABLE_PERIOD


class OrderSender:
    """Sends orders while this node is the holder of orders.

    Attributes:
        holder_state: whether this node may send.
        client: interface to the engines.
        clock: source of the current time.
        is_granted: returns whether all other nodes grant this one the right
            to send.
    """

    def __init__(
        self,
        holder_state: order_holder.HolderStateMachine,
        client: EngineApi,
        clock: clock_lib.Clock,
        is_granted: Callable[[], bool],
    ) -> None:
        self.holder_state = holder_state
        self.client = client
        self.clock = clock
        self.is_granted = is_granted

    def can_send(self) -> bool:
        """Whether an order may be sent now."""
        return self.holder_state.can_send(self.clock.now(), self.is_granted())

    async def order(
        self,
        engine: Engine,
        operation: engine_orders.Operation,
        model: routes.Model,
    ) -> engine_orders.OrderResult:
        """Send an order for a model once the engine's sequence is known."""
        async with engine.lock:
            if not await self.resolve_sequence(engine):
                return engine_orders.OrderResult.NOT_SENT
            return await self.send(engine, operation, model, "")

    async def send(
        self,
        engine: Engine,
        operation: engine_orders.Operation,
        model: routes.Model,
        adapter: str,
    ) -> engine_orders.OrderResult:
        """Send an order; `engine.lock` must be held.

        Sending an unanswered order again is safe: each expects the same
        sequence number, so the engine accepts at most one of them. So is a
        false result of a load: after any but `ACCEPTED` the engine is asked
        before the next order, and after that the next one expects a number
        that the engine does not have.
        """
        sequence = engine.ledger.sequence
        assert sequence is not None, "an order needs the engine's sequence"
        result = engine_orders.OrderResult.NOT_SENT
        for _ in range(MAX_COPIES):
            if not self.can_send():
                break
            order = engine_orders.Order(
                operation,
                model.name,
                adapter,
                self.holder_state.name,
                self.holder_state.fence,
                sequence,
            )
            result = await self.client.send_order(engine.ledger.instance, order)
            engine.last_sent = self.clock.now()
            self._record_result(engine, order, model, result)
            if result is not engine_orders.OrderResult.UNKNOWN:
                break
        return result

    def _record_result(
        self,
        engine: Engine,
        order: engine_orders.Order,
        model: routes.Model,
        result: engine_orders.OrderResult,
    ) -> None:
        """Update the ledger, metrics and log with the result of an order."""
        ledger = engine.ledger
        results = engine_orders.OrderResult
        is_unload = order.operation is engine_orders.Operation.UNLOAD
        if result is results.ACCEPTED or (
            result is results.HELD and is_unload and order.adapter
        ):
            ledger.sequence = order.expected_sequence + 1
        elif result is not results.NOT_SENT:
            ledger.sequence = None
        if result is results.UNKNOWN and not is_unload:
            ledger.reserve_unanswered(
                model,
                order.adapter,
                order.expected_sequence,
                self.clock.now(),
            )
        metrics.create_counter(
            "cicada_orders", "Orders sent to engines, by result."
        ).add(1, {"operation": str(order.operation), "result": str(result)})
        logger.info(
            "Order sent.",
            extra={
                "instance": ledger.instance.id,
                "operation": str(order.operation),
                "model": order.model,
                "adapter": order.adapter,
                "fence": order.fence,
                "expected_sequence": order.expected_sequence,
                "outcome": str(result),
            },
        )

    async def resolve_sequence(self, engine: Engine) -> bool:
        """Fetch an engine's report if its sequence number is unknown.

        Reports lag behind the engine's state, so one is used only if it was
        requested at least `REPORT_LAG` after the last order.

        Returns:
            Whether the sequence number is known now.
        """
        if engine.ledger.sequence is not None:
            return True
        if engine.last_sent is not None:
            wait = engine.last_sent + REPORT_LAG - self.clock.now()
            await asyncio.sleep(max(0.0, wait.total_seconds()))
        return await self._refresh_ledger(engine)

    async def _refresh_ledger(self, engine: Engine) -> bool:
        """Apply an engine's report; return whether it was current."""
        ledger = engine.ledger
        report = await self.client.fetch_report(ledger.instance)
        if report is None:
            return False
        if report.born != ledger.instance.born:
            return False
        if not ledger.accounts_for(report):
            return False
        ledger.apply_report(report, self.clock.now())
        return True
