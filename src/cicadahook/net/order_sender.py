"""Sends single orders to engines and keeps their accounts right."""

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
from cicadahook.net import logs
from cicadahook.net import metrics

# Reports are that old at times, so a fresh one is asked for after it.
REPORT_LAG: Final = datetime.timedelta(milliseconds=400)
# Copies of one order that are sent until one is answered.
MAX_COPIES: Final = 6

logger: Final = logs.create_logger("orders")


class EngineApi(Protocol):
    """Carries orders to engines."""

    async def send_order(
        self, instance: inventory.Instance, order: engine_orders.Order
    ) -> engine_orders.OrderResult:
        """Send an order; no answer leaves open whether it is carried out."""

    async def fetch_report(
        self, instance: inventory.Instance
    ) -> engine_orders.EngineReport | None:
        """Return what an engine says of itself; None if it doesn't answer."""


@dataclasses.dataclass
class Engine:
    """An engine under this holder.

    Attributes:
        ledger: the account of its memory.
        sending: held while an order is on its way or its state is asked.
        last_sent: when the last order was sent.
        doubted: when its state was last taken to be wrong.
    """

    ledger: engine_ledger.EngineLedger
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    last_sent: datetime.datetime | None = None
    unreliable_since: datetime.datetime | None = None


class OrderSender:
    """Sends orders while this machine has the turn.

    Attributes:
        holder_state: whether this node may send.
        client: carries orders to engines.
        clock: tells the time.
        is_granted: whether all other machines let this one send.
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
        """Send an order that concerns a model."""
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

        A copy of an order that got no answer is harmless: it expects the same
        sequence, so the engine accepts one of them at the most.
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
        """Take note of the result of an order."""
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
        """Ask an engine for its state if that is not known.

        Reports are late, so one counts only if it was asked for some time
        after the last order.
        """
        if engine.ledger.sequence is not None:
            return True
        if engine.last_sent is not None:
            wait = engine.last_sent + REPORT_LAG - self.clock.now()
            await asyncio.sleep(max(0.0, wait.total_seconds()))
        return await self._refresh_ledger(engine)

    async def _refresh_ledger(self, engine: Engine) -> bool:
        """Take over the report of an engine; return whether it was fresh."""
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
