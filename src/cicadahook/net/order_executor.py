"""Carries the effects of order machines out, and their outcomes back."""

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
    """Runs one order machine against the service and its engine.

    Attributes:
        machine: the machine; only this courier gives it messages.
        client: the key-value service.
        engines: client of the engines.
        clock: the time given to the machine.
        may_write: tells whether this node's lease still allows writes.
        tasks: calls that are open.
    """

    state_machine: order_state_machine.OrderStateMachine
    client: keyvalue.KeyValueClient
    engines: engine_client.EngineClient
    clock: clock_lib.Clock
    may_write: Callable[[], bool]
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def handle(self, message: order_messages.Message) -> None:
        """Give the machine a message, and start what it asks for."""
        for effect in self.state_machine.handle(message, self.clock.now()):
            task = asyncio.create_task(self._execute(effect))
            self.tasks.add(task)
            task.add_done_callback(self._on_call_done)

    def _on_call_done(self, task: asyncio.Task[None]) -> None:
        """Forget a call that has ended, and log what it raised."""
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
        """Read the record."""
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
        """Write the record, if the lease still allows it."""
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
        """Send an order; its answer counts whenever it comes."""
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
            logger.warning("Order %s not answered: %s.", order.id, error)
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
        """Tell the machine what its engine reports; None if it did not."""
        began = self.clock.now()
        try:
            state = await self.engines.fetch_state(self.state_machine.upstream)
        except errors.UpstreamError as error:
            logger.info("State not read: %s.", error)
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
        """Drop all open calls; what they may do stays in the record."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
