"""Simulation of leaders, one engine, the network and the key-value service."""

from collections.abc import Iterator
import dataclasses
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import order_messages
from cicadahook.core import order_state_machine
from cicadahook.core import pacing
from cicadahook.core import reconciliation
from cicadahook.core import upstream_record
from cicadahook.core import view

UPSTREAM: Final = "10.0.0.1:80"
CAPACITY: Final = 10
SIZES: Final = {"a": 3, "b": 4, "c": 5, "d": 6}
UNLIMITED: Final = pacing.PacingMode(0.0, 0)


class SimulatedEngine:
    """Carries out orders, and fails the test if its memory is exceeded."""

    def __init__(self, checks_fencing: bool) -> None:
        self.checks_fencing = checks_fencing
        self.fencing = 0
        self.restarts = 0
        self.held: dict[upstream_record.CopyKey, reconciliation.HeldCopy] = {}

    @property
    def used(self) -> int:
        """Memory of the copies held."""
        return sum(copy.memory_bytes for copy in self.held.values())

    def restart(self) -> None:
        """Forget all copies and the fencing number."""
        self.restarts += 1
        self.fencing = 0
        self.held.clear()

    def apply(self, order: upstream_record.Order) -> reconciliation.Answer:
        """Carry out `order`, and return its answer."""
        if self.checks_fencing and order.fencing < self.fencing:
            return reconciliation.Answer.REFUSED
        self.fencing = max(self.fencing, order.fencing)
        if (
            order.action is upstream_record.Action.LOAD
            and order.key not in self.held
        ):
            self.held[order.key] = reconciliation.HeldCopy(
                order.row,
                order.version,
                order.memory_bytes,
                view.CopyState.SERVING,
            )
        if (
            order.action is upstream_record.Action.UNLOAD
            and order.key in self.held
        ):
            self.held[order.key] = dataclasses.replace(
                self.held[order.key], state=view.CopyState.UNLOADING
            )
        assert self.used <= CAPACITY, f"overcommit: {self.held}"
        return reconciliation.Answer.DONE

    def finish_unloads(self) -> None:
        """Free the copies that are being unloaded."""
        self.held = {
            key: copy
            for key, copy in self.held.items()
            if copy.state is not view.CopyState.UNLOADING
        }


@dataclasses.dataclass
class InFlight:
    """An effect in flight, with the state machine that awaits its outcome.

    The state machine is None if no outcome is awaited any more.
    """

    state_machine: order_state_machine.OrderStateMachine | None
    effect: order_messages.Effect


@dataclasses.dataclass
class Reply:
    """An order's answer or a state report in flight to a state machine."""

    state_machine: order_state_machine.OrderStateMachine
    message: order_messages.OrderAnswered | reconciliation.StateReport


class Simulation:
    """Leaders, one engine, the stored record, and all messages in flight."""

    def __init__(self, rules: order_state_machine.UpstreamRules) -> None:
        self.rules = rules
        self.clock = clock_lib.ManualClock()
        self.engine = SimulatedEngine(rules.checks_fencing)
        self.stored: upstream_record.UpstreamRecord | None = None
        self.revision = 0
        self.calls: list[InFlight] = []
        self.network: list[InFlight] = []
        self.replies: list[Reply] = []
        self.leaders: list[order_state_machine.OrderStateMachine] = []
        self.elect()

    def elect(self) -> None:
        """Add a leader; the others may still believe that they lead."""
        state_machine = order_state_machine.OrderStateMachine(
            UPSTREAM,
            CAPACITY,
            f"n{len(self.leaders)}",
            self.rules,
            pacing.LoadPacer(UNLIMITED),
        )
        self.leaders.append(state_machine)

    def deliver(
        self,
        state_machine: order_state_machine.OrderStateMachine,
        message: order_messages.Message,
    ) -> None:
        """Deliver a message to a state machine, and queue its effects."""
        self.clock.advance(datetime.timedelta(milliseconds=1))
        for effect in state_machine.handle(message, self.clock.now()):
            is_order = isinstance(effect, order_messages.SendOrder)
            queue = self.network if is_order else self.calls
            queue.append(InFlight(state_machine, effect))

    def serve_call(self, sent: InFlight) -> order_messages.Message:
        """Carry out a key-value call; return its reply."""
        if isinstance(sent.effect, order_messages.ReadRecord):
            return order_messages.RecordRead(self.stored, self.revision)
        assert isinstance(sent.effect, order_messages.WriteRecord)
        if sent.effect.expected_revision != self.revision:
            return order_messages.WriteConflict()
        self.revision += 1
        self.stored = sent.effect.record
        return order_messages.WriteWon(self.revision)

    def fail_call(self, sent: InFlight) -> order_messages.Message:
        """Return the message for a key-value call without a reply."""
        if isinstance(sent.effect, order_messages.ReadRecord):
            return order_messages.ReadFailed()
        return order_messages.WriteUnknown()

    def arrive(self, sent: InFlight) -> None:
        """Let the engine carry out an order, and queue its answer."""
        assert isinstance(sent.effect, order_messages.SendOrder)
        answer = self.engine.apply(sent.effect.order)
        if sent.state_machine is not None:
            message = order_messages.OrderAnswered(
                sent.effect.order.id, sent.effect.attempt, answer
            )
            self.replies.append(Reply(sent.state_machine, message))

    def time_out(self, sent: InFlight) -> None:
        """Deliver a time-out of an order to its sender."""
        assert isinstance(sent.effect, order_messages.SendOrder)
        if sent.state_machine is not None:
            message = order_messages.OrderTimedOut(
                sent.effect.order.id, sent.effect.attempt
            )
            self.deliver(sent.state_machine, message)

    def read_state(
        self, state_machine: order_state_machine.OrderStateMachine
    ) -> None:
        """Read the engine's state, and queue the report."""
        self.clock.advance(datetime.timedelta(milliseconds=1))
        began = self.clock.now()
        self.clock.advance(datetime.timedelta(milliseconds=1))
        report = reconciliation.StateReport(
            began,
            str(self.engine.restarts),
            tuple(self.engine.held.values()),
            self.engine.fencing,
        )
        self.replies.append(Reply(state_machine, report))

    def intend(
        self,
        state_machine: order_state_machine.OrderStateMachine,
        action: upstream_record.Action,
        row: str,
    ) -> None:
        """Deliver a planned step to a state machine."""
        self.deliver(
            state_machine, order_messages.Intend(action, row, "1", SIZES[row])
        )

    def run(self, rounds: int = 40) -> None:
        """Run the newest leader without faults."""
        leader = self.leaders[-1]
        self.deliver(leader, order_messages.Tick())
        for _ in range(rounds):
            for _ in self._drain_queues():
                pass
            self.engine.finish_unloads()
            self.read_state(leader)
            self.clock.advance(datetime.timedelta(seconds=5))
            self.deliver(leader, order_messages.Tick())

    def _drain_queues(self) -> Iterator[None]:
        """Deliver everything in flight, in order."""
        while self.calls or self.network or self.replies:
            while self.calls:
                sent = self.calls.pop(0)
                reply = self.serve_call(sent)
                if sent.state_machine is not None:
                    self.deliver(sent.state_machine, reply)
            if self.network:
                self.arrive(self.network.pop(0))
            if self.replies:
                reply_now = self.replies.pop(0)
                self.deliver(reply_now.state_machine, reply_now.message)
            yield
