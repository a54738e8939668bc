"""Executes the effects of an order state machine and feeds back outcomes.

A control has one `OrderExecutor` for each engine while it leads placement. It
reads and writes the engine's record in the key-value service and sends orders.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
from typing import Final

import pydantic

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import order_messages
from cicadahook.core import order_state_machine
from cicadahook.core import reconciliation
from cicadahook.core import upstream_record
from cicadahook.net import engine_client
from cicadahook.net import keyvalue
from cicadahook.net import logs
from cicadahook.net import metrics

RECORD_PREFIX: Final = "records/"
ANSWER_TIMEOUT: Final = datetime.timedelta(seconds=2)

logger: Final = logs.create_logger("orders")

_RECORD: Final = pydantic.TypeAdapter(upstream_record.UpstreamRecord)


@dataclasses.dataclass
class OrderExecutor:
    """Connects one order state machine with the service and its engine.

    Attributes:
        state_machine: the state machine; only this executor sends it messages.
        client: client of the key-value service.
        engines: client of the engines.
        clock: source of the time given to the state machine.
        may_write: returns whether this node's lease still allows writes.
        tasks: calls in progress.
    """

    state_machine: order_state_machine.OrderStateMachine
    client: keyvalue.KeyValueClient
    engines: engine_client.EngineClient
    clock: clock_lib.Clock
    may_write: Callable[[], bool]
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def handle(self, message: order_messages.Message) -> None:
        """Pass a message to the state machine and start its effects."""
        for effect in self.state_machine.handle(message, self.clock.now()):
            task = asyncio.create_task(self._execute(effect))
            self.tasks.add(task)
            task.add_done_callback(self._on_call_done)

    def _on_call_done(self, task: asyncio.Task[None]) -> None:
        """Remove a finished call and log the exception it raised."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error(
                "Call for %s failed.",
                self.state_machine.upstream,
                exc_info=task.exception(),
            )

    async def _execute(self, effect: order_messages.Effect) -> None:
        match effect:
            case order_messages.ReadRecord():
                self.handle(await self._read())
            case order_messages.WriteRecord():
                self.handle(await self._write(effect))
            case order_messages.SendOrder():
                await self._send(effect)

    async def _read(
        self,
    ) -> order_messages.RecordRead | order_messages.ReadFailed:
        """Read the upstream's record."""
        try:
            entry = await self.client.get(self._key)
        except errors.KeyValueError:
            return order_messages.ReadFailed()
        if entry.revision == keyvalue.ABSENT_REVISION:
            return order_messages.RecordRead(None, entry.revision)
        record = _RECORD.validate_json(entry.value)
        return order_messages.RecordRead(record, entry.revision)

    async def _write(
        self, effect: order_messages.WriteRecord
    ) -> (
        order_messages.WriteWon
        | order_messages.WriteConflict
        | order_messages.WriteUnknown
    ):
        """Write the upstream's record if the lease still allows it."""
        if not self.may_write():
            return order_messages.WriteUnknown()
        content = _RECORD.dump_json(effect.record, exclude_defaults=True)
        try:
            revision = await self.client.put(
                self._key, content.decode(), effect.expected_revision
            )
        except errors.KeyValueConflictError:
            return order_messages.WriteConflict()
        except errors.KeyValueError:
            return order_messages.WriteUnknown()
        return order_messages.WriteWon(revision)

    @property
    def _key(self) -> str:
        return RECORD_PREFIX + self.state_machine.upstream

    async def _send(self, effect: order_messages.SendOrder) -> None:
        """Send an order; an answer is used even after the timeout."""
        order = effect.order
        if self.clock.now() > effect.not_after:
            self._answer(effect, reconciliation.Answer.NOT_SENT)
            return
        logger.info(
            "%s: %s %s %s, order %s.",
            self.state_machine.upstream,
            order.action,
            order.row,
            order.version,
            order.id,
        )
        call = asyncio.create_task(
            self.engines.send_order(self.state_machine.upstream, order)
        )
        try:
            await asyncio.wait([call], timeout=ANSWER_TIMEOUT.total_seconds())
            if not call.done():
                self._count_outcome("timeout")
                self.handle(
                    order_messages.OrderTimedOut(order.id, effect.attempt)
                )
            self._answer(effect, await call)
        except errors.UpstreamError as error:
            logger.warning(
                "No answer to order %s; its outcome is unknown: %s.",
                order.id,
                error,
            )
            self._count_outcome("no answer")
            self.handle(order_messages.OrderTimedOut(order.id, effect.attempt))
        finally:
            call.cancel()

    def _answer(
        self, effect: order_messages.SendOrder, answer: reconciliation.Answer
    ) -> None:
        self._count_outcome(answer.value)
        self.handle(
            order_messages.OrderAnswered(
                effect.order.id, effect.attempt, answer
            )
        )

    def _count_outcome(self, outcome: str) -> None:
        counter = metrics.create_counter(
            "cicada_orders", "Orders sent to engines, by outcome."
        )
        counter.add(1, {"outcome": outcome})

    async def read_state(self) -> reconciliation.StateReport | None:
        """Pass the engine's report to the state machine and return it.

        Returns:
            The report, or None if the engine did not answer.
        """
        began = self.clock.now()
        try:
            state = await self.engines.fetch_state(self.state_machine.upstream)
        except errors.UpstreamError as error:
            logger.info("Engine state could not be read: %s.", error)
            return None
        report = reconciliation.StateReport(
            began,
            state.incarnation,
            tuple(
                reconciliation.HeldCopy(
                    copy.row,
                    copy.version,
                    copy.memory_bytes,
                    copy.state,
                    copy.base,
                )
                for copy in state.copies
            ),
            state.fencing,
        )
        self.handle(report)
        return report

    async def close(self) -> None:
        """Cancel all calls; the record keeps the orders they may have sent."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
