"""Stateful test of the order state machine under all faults at once.

The engine's memory must never be exceeded, and all orders must be resolved in
the end.
"""

# pylint: disable=missing-function-docstring

import datetime
from typing import Any

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import order_simulation
import pytest

from cicadahook.core import order_messages
from cicadahook.core import order_state_machine
from cicadahook.core import upstream_record

INDEX = st.integers(0, 7)
LEADER = st.sampled_from([0, 0, 0, 1, 2])
FATE = st.sampled_from(
    ["answered", "answered", "arrives", "late", "lost", "waits"]
)
MAX_LEADERS = 4


class OrderFaults(stateful.RuleBasedStateMachine):
    """Leaders and one engine, with lost, late and repeated messages."""

    upstream_rules = order_state_machine.UpstreamRules()

    def __init__(self) -> None:
        super().__init__()
        self.simulation = order_simulation.Simulation(self.upstream_rules)
        self.simulation.run(10)

    def pick(self, items: list[Any], index: int) -> Any:
        """Remove and return one of `items`."""
        return items.pop(index % len(items))

    def leader(self, index: int) -> order_state_machine.OrderStateMachine:
        """Return a leader, the newest for 0."""
        return self.simulation.leaders[
            -1 - index % len(self.simulation.leaders)
        ]

    @stateful.rule(
        plan=st.lists(
            st.tuples(
                st.sampled_from(["load", "load", "unload", "tick", "finish"]),
                LEADER,
                st.sampled_from(sorted(order_simulation.SIZES)),
                FATE,
            ),
            min_size=3,
            max_size=12,
        )
    )
    def carry_out(self, plan: list[tuple[str, int, str, str]]) -> None:
        """Let leaders load, unload and send what is due, some after a pause."""
        for what, index, row, fate in plan:
            if what == "finish":
                self.simulation.engine.finish_unloads()
            if what in ("load", "unload"):
                self.intend(index, what == "load", row, fate)
            self.go_on(index, "answered", 1)

    def intend(self, index: int, is_load: bool, row: str, fate: str) -> None:
        """Plan a load of `row`, or an unload of a resident row."""
        leader = self.leader(index)
        action = (
            upstream_record.Action.LOAD
            if is_load
            else upstream_record.Action.UNLOAD
        )
        if not is_load and leader.record.residents:
            row = leader.record.residents[0].row
        self.simulation.intend(leader, action, row)
        self.serve_all_calls()
        self.end_newest_order(fate)

    def end_newest_order(self, fate: str) -> None:
        """End the newest order in flight as `fate` says."""
        if self.simulation.network and fate != "waits":
            self.end_order(len(self.simulation.network) - 1, fate)
            if fate == "answered":
                self.end_reply(len(self.simulation.replies) - 1, "delivered")
            self.serve_all_calls()

    @stateful.rule(
        index=LEADER, fate=FATE, seconds=st.sampled_from([0, 1, 4, 70])
    )
    def go_on(self, index: int, fate: str, seconds: int) -> None:
        """Read the state, then send what is due."""
        self.simulation.clock.advance(datetime.timedelta(seconds=seconds))
        self.read_state(index, True)
        self.serve_all_calls()
        self.simulation.deliver(self.leader(index), order_messages.Tick())
        self.serve_all_calls()
        self.end_newest_order(fate)

    def serve_all_calls(self) -> None:
        while self.simulation.calls:
            sent = self.simulation.calls.pop(0)
            reply = self.simulation.serve_call(sent)
            if sent.state_machine is not None:
                self.simulation.deliver(sent.state_machine, reply)

    @stateful.precondition(lambda self: self.simulation.calls)
    @stateful.rule(
        index=INDEX,
        fate=st.sampled_from(["served", "late", "reply lost", "lost"]),
    )
    def end_call(self, index: int, fate: str) -> None:
        sent = self.pick(self.simulation.calls, index)
        reply = self.simulation.fail_call(sent)
        if fate in ("served", "reply lost"):
            served = self.simulation.serve_call(sent)
            reply = served if fate == "served" else reply
        if fate == "late":
            self.simulation.calls.append(
                order_simulation.InFlight(None, sent.effect)
            )
        if sent.state_machine is not None:
            self.simulation.deliver(sent.state_machine, reply)

    @stateful.precondition(lambda self: self.simulation.network)
    @stateful.rule(
        index=INDEX, fate=st.sampled_from(["arrives", "late", "lost"])
    )
    def end_order(self, index: int, fate: str) -> None:
        sent = self.pick(self.simulation.network, index)
        if fate in ("answered", "arrives"):
            self.simulation.arrive(sent)
            return
        self.simulation.time_out(sent)
        if fate == "late":
            self.simulation.network.append(sent)

    @stateful.precondition(lambda self: self.simulation.replies)
    @stateful.rule(
        index=INDEX, fate=st.sampled_from(["delivered", "repeated", "lost"])
    )
    def end_reply(self, index: int, fate: str) -> None:
        reply = self.pick(self.simulation.replies, index)
        if fate == "repeated":
            self.simulation.deliver(reply.state_machine, reply.message)
        if fate != "lost":
            self.simulation.deliver(reply.state_machine, reply.message)
        elif isinstance(reply.message, order_messages.OrderAnswered):
            timeout = order_messages.OrderTimedOut(
                reply.message.order_id, reply.message.attempt
            )
            self.simulation.deliver(reply.state_machine, timeout)

    @stateful.rule(index=LEADER, is_prompt=st.booleans())
    def read_state(self, index: int, is_prompt: bool) -> None:
        self.simulation.read_state(self.leader(index))
        if is_prompt:
            reply = self.simulation.replies.pop()
            self.simulation.deliver(reply.state_machine, reply.message)

    @stateful.rule(ticks=st.sampled_from([0, 3]))
    def restart_engine(self, ticks: int) -> None:
        self.simulation.engine.restart()
        self.run_ticks(0, ticks)

    def run_ticks(self, index: int, ticks: int) -> None:
        for _ in range(ticks):
            self.go_on(index, "answered", 1)

    @stateful.precondition(
        lambda self: len(self.simulation.leaders) < MAX_LEADERS
    )
    @stateful.rule(ticks=st.sampled_from([0, 3]))
    def elect(self, ticks: int) -> None:
        self.simulation.elect()
        self.run_ticks(0, ticks)

    @stateful.invariant()
    def memory_holds(self) -> None:
        assert self.simulation.engine.used <= order_simulation.CAPACITY

    def teardown(self) -> None:
        simulation = self.simulation
        simulation.run()
        leader = simulation.leaders[-1]
        if leader.stage is order_state_machine.Stage.STOPPED:
            simulation.elect()
            simulation.run()
            leader = simulation.leaders[-1]
        stored = simulation.stored
        assert stored is not None
        assert leader.stage is order_state_machine.Stage.READY
        assert not leader.is_blocked
        waits_for_barred = stored.barred and any(
            order.is_unsent for order in stored.orders
        )
        if not waits_for_barred:
            assert stored.reserved_bytes == simulation.engine.used, stored


class IgnoringFaults(OrderFaults):
    """An upstream that carries out the orders of every leader."""


class FencingFaults(OrderFaults):
    """An upstream that checks fencing numbers until it restarts."""

    upstream_rules = order_state_machine.UpstreamRules(checks_fencing=True)


@pytest.mark.parametrize("faults", [IgnoringFaults, FencingFaults])
def test_memory_holds_and_orders_are_resolved(
    faults: type[OrderFaults],
) -> None:
    stateful.run_state_machine_as_test(
        faults,
        settings=settings(
            derandomize=True,
            max_examples=100,
            stateful_step_count=40,
            deadline=None,
            database=None,
        ),
    )
