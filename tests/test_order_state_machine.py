"""Order state machine: each failure of an order, and what stays reserved."""

import datetime

import order_simulation
import pytest

from cicadahook.core import order_messages
from cicadahook.core import order_state_machine
from cicadahook.core import reconciliation
from cicadahook.core import upstream_record

LOAD = upstream_record.Action.LOAD
UNLOAD = upstream_record.Action.UNLOAD
IGNORES = order_state_machine.UpstreamRules()
CHECKS = order_state_machine.UpstreamRules(checks_fencing=True)
RESTART_SETTLES = order_state_machine.UpstreamRules(restart_settles=True)
BOUNDED = order_state_machine.UpstreamRules(
    lateness_bound=datetime.timedelta(seconds=30)
)


def start(
    rules: order_state_machine.UpstreamRules = IGNORES,
) -> order_simulation.Simulation:
    """Return a simulation whose leader has adopted the record."""
    simulation = order_simulation.Simulation(rules)
    simulation.run(10)
    return simulation


def send(
    simulation: order_simulation.Simulation,
    action: upstream_record.Action,
    row: str,
) -> None:
    """Let an order be stored and sent; it stays in flight."""
    simulation.intend(simulation.leaders[-1], action, row)
    serve_calls(simulation)


def serve_calls(simulation: order_simulation.Simulation) -> None:
    """Serve the key-value calls in flight."""
    while simulation.calls:
        sent = simulation.calls.pop(0)
        assert sent.state_machine is not None
        simulation.deliver(sent.state_machine, simulation.serve_call(sent))


def delay(simulation: order_simulation.Simulation) -> order_simulation.InFlight:
    """Remove the newest order from the network, and report its time-out."""
    sent = simulation.network.pop()
    simulation.time_out(sent)
    return sent


def resident_rows(simulation: order_simulation.Simulation) -> set[str]:
    """Return the rows that are resident."""
    rows = simulation.leaders[-1].record.residents
    return {copy.row for copy in rows}


@pytest.mark.parametrize("rules", [IGNORES, CHECKS, RESTART_SETTLES, BOUNDED])
def test_answered_orders_are_resolved(
    rules: order_state_machine.UpstreamRules,
) -> None:
    simulation = start(rules)
    for action, rows in ((LOAD, {"d"}), (UNLOAD, set())):
        send(simulation, action, "d")
        simulation.run(4)
        assert resident_rows(simulation) == rows
        assert simulation.leaders[-1].is_resolved
    send(simulation, LOAD, "c")
    simulation.run(4)
    assert resident_rows(simulation) == {"c"}


def test_order_waits_for_write() -> None:
    simulation = start()
    simulation.intend(simulation.leaders[-1], LOAD, "a")
    assert not simulation.network
    sent = simulation.calls.pop()
    simulation.serve_call(sent)
    simulation.deliver(simulation.leaders[-1], order_messages.WriteUnknown())
    assert not simulation.network
    serve_calls(simulation)
    assert len(simulation.network) == 1


def test_late_load_keeps_memory_reserved() -> None:
    simulation = start()
    send(simulation, LOAD, "d")
    late = delay(simulation)
    simulation.run(4)
    send(simulation, UNLOAD, "d")
    send(simulation, LOAD, "c")
    assert simulation.leaders[-1].rejections["load not answered"] == 1
    assert simulation.leaders[-1].rejections["memory not free"] == 1
    simulation.engine.restart()
    simulation.run(4)
    simulation.arrive(late)
    simulation.run(4)
    assert resident_rows(simulation) == {"d"}
    assert not simulation.leaders[-1].record.residents[0].unanswered


def test_absent_copy_is_not_free_on_report() -> None:
    simulation = start()
    send(simulation, LOAD, "d")
    late = delay(simulation)
    simulation.read_state(simulation.leaders[-1])
    reply = simulation.replies.pop()
    simulation.deliver(reply.state_machine, reply.message)
    serve_calls(simulation)
    send(simulation, LOAD, "c")
    assert not simulation.network
    simulation.arrive(late)


def test_refusal_of_one_copy_does_not_free_the_other() -> None:
    simulation = start()
    send(simulation, LOAD, "d")
    late = delay(simulation)
    simulation.clock.advance(datetime.timedelta(seconds=10))
    simulation.deliver(simulation.leaders[-1], order_messages.Tick())
    serve_calls(simulation)
    resent = simulation.network.pop()
    assert isinstance(resent.effect, order_messages.SendOrder)
    for _ in range(2):
        simulation.deliver(
            simulation.leaders[-1],
            order_messages.OrderAnswered(
                resent.effect.order.id,
                resent.effect.attempt,
                reconciliation.Answer.REFUSED,
            ),
        )
        serve_calls(simulation)
    assert simulation.leaders[-1].record.reserved_bytes == 6
    simulation.arrive(late)


def test_row_with_unanswered_unload_is_not_placed_again() -> None:
    simulation = start()
    send(simulation, LOAD, "d")
    simulation.run(4)
    send(simulation, UNLOAD, "d")
    late = delay(simulation)
    simulation.run(4)
    assert simulation.leaders[-1].record.free_bytes == order_simulation.CAPACITY
    send(simulation, LOAD, "d")
    assert simulation.leaders[-1].rejections["order not settled"] == 1
    simulation.arrive(late)
    simulation.run(4)
    send(simulation, LOAD, "d")
    simulation.run(4)
    assert resident_rows(simulation) == {"d"}


@pytest.mark.parametrize("state_first", [True, False])
def test_unload_is_free_by_report_begun_after_its_answer(
    state_first: bool,
) -> None:
    simulation = start()
    send(simulation, LOAD, "d")
    simulation.run(4)
    send(simulation, UNLOAD, "d")
    leader = simulation.leaders[-1]
    if state_first:
        simulation.read_state(leader)
    simulation.arrive(simulation.network.pop())
    simulation.engine.finish_unloads()
    if not state_first:
        simulation.read_state(leader)
    for reply in reversed(simulation.replies):
        simulation.deliver(reply.state_machine, reply.message)
        serve_calls(simulation)
    simulation.replies.clear()
    assert leader.record.free_bytes == order_simulation.CAPACITY - 6
    simulation.run(2)
    assert leader.record.free_bytes == order_simulation.CAPACITY


def test_unanswered_unload_frees_nothing() -> None:
    simulation = start()
    send(simulation, LOAD, "d")
    simulation.run(4)
    send(simulation, UNLOAD, "d")
    simulation.arrive(delay(simulation))
    simulation.replies.clear()
    simulation.engine.finish_unloads()
    simulation.read_state(simulation.leaders[-1])
    reply = simulation.replies.pop()
    simulation.deliver(reply.state_machine, reply.message)
    serve_calls(simulation)
    assert simulation.leaders[-1].record.reserved_bytes == 6


@pytest.mark.parametrize("rules", [IGNORES, CHECKS])
def test_restart_keeps_reservation_and_reloads(
    rules: order_state_machine.UpstreamRules,
) -> None:
    simulation = start(rules)
    send(simulation, LOAD, "d")
    simulation.run(4)
    simulation.engine.restart()
    simulation.read_state(simulation.leaders[-1])
    reply = simulation.replies.pop()
    simulation.deliver(reply.state_machine, reply.message)
    serve_calls(simulation)
    assert simulation.leaders[-1].record.reserved_bytes == 6
    simulation.run(6)
    assert simulation.engine.used == 6
    assert resident_rows(simulation) == {"d"}


def test_fence_resolves_lost_load() -> None:
    simulation = start(CHECKS)
    send(simulation, LOAD, "d")
    late = delay(simulation)
    simulation.run(6)
    assert simulation.engine.used == 6
    send(simulation, UNLOAD, "d")
    simulation.run(4)
    assert simulation.leaders[-1].record.free_bytes == order_simulation.CAPACITY
    simulation.arrive(late)
    assert simulation.engine.used == 0


def test_unload_that_a_fence_resolved_midway_frees_its_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    simulation = start(CHECKS)
    send(simulation, LOAD, "d")
    simulation.run(4)
    send(simulation, UNLOAD, "d")
    simulation.arrive(delay(simulation))
    simulation.replies.clear()
    with monkeypatch.context() as patched:
        patched.setattr(simulation.engine, "finish_unloads", lambda: None)
        simulation.run(8)
    assert simulation.leaders[-1].record.reserved_bytes == 6
    simulation.run(8)
    assert simulation.leaders[-1].record.free_bytes == order_simulation.CAPACITY


def test_barred_load_may_arrive_after_a_restart() -> None:
    simulation = start(CHECKS)
    send(simulation, LOAD, "d")
    late = delay(simulation)
    simulation.run(6)
    send(simulation, UNLOAD, "d")
    simulation.run(4)
    send(simulation, LOAD, "a")
    simulation.run(4)
    simulation.engine.restart()
    simulation.arrive(late)
    send(simulation, LOAD, "c")
    assert not simulation.network, "d and c may both arrive after the restart"
    simulation.run(8)
    assert (
        simulation.engine.used == simulation.leaders[-1].record.reserved_bytes
    )


def test_restarted_upstream_is_fenced_again() -> None:
    simulation = start(CHECKS)
    send(simulation, LOAD, "d")
    late = delay(simulation)
    simulation.run(6)
    send(simulation, UNLOAD, "d")
    simulation.run(4)
    simulation.engine.restart()
    simulation.run(8)
    simulation.arrive(late)
    assert simulation.engine.used == 0


def test_fence_counts_for_the_incarnation_that_answered() -> None:
    simulation = start(CHECKS)
    send(simulation, LOAD, "d")
    late = delay(simulation)
    leader = simulation.leaders[-1]
    simulation.deliver(leader, order_messages.Tick())
    serve_calls(simulation)
    simulation.arrive(simulation.network.pop())
    reply = simulation.replies.pop()
    simulation.engine.restart()
    simulation.deliver(reply.state_machine, reply.message)
    serve_calls(simulation)
    simulation.read_state(leader)
    reply = simulation.replies.pop()
    simulation.deliver(reply.state_machine, reply.message)
    serve_calls(simulation)
    assert leader.record.is_fencing
    simulation.arrive(late)
    simulation.run(6)
    assert resident_rows(simulation) == {"d"}


def test_paused_leader_stops_at_its_next_write() -> None:
    simulation = start()
    paused = simulation.leaders[-1]
    simulation.intend(paused, LOAD, "d")
    in_flight = simulation.calls.pop()
    simulation.elect()
    simulation.run(4)
    send(simulation, LOAD, "c")
    simulation.run(4)
    simulation.deliver(paused, simulation.serve_call(in_flight))
    serve_calls(simulation)
    assert paused.stage is order_state_machine.Stage.STOPPED
    assert not simulation.network
    assert simulation.engine.used == 5


def test_successor_adopts_an_order_in_flight() -> None:
    simulation = start()
    send(simulation, LOAD, "d")
    in_flight = simulation.network.pop()
    simulation.elect()
    simulation.run(4)
    send(simulation, LOAD, "c")
    assert simulation.leaders[-1].rejections["memory not free"] == 1
    simulation.arrive(in_flight)
    simulation.replies.clear()
    simulation.run(4)
    assert resident_rows(simulation) == {"d"}


@pytest.mark.parametrize("rules", [RESTART_SETTLES, BOUNDED])
def test_table_columns_resolve_a_lost_load(
    rules: order_state_machine.UpstreamRules,
) -> None:
    simulation = start(rules)
    send(simulation, LOAD, "d")
    delay(simulation)
    simulation.run(10)
    simulation.engine.restart()
    simulation.run(10)
    send(simulation, UNLOAD, "d")
    simulation.run(4)
    assert simulation.leaders[-1].is_resolved
    assert simulation.leaders[-1].record.free_bytes == order_simulation.CAPACITY


def test_outage_sends_no_orders_and_few_reads() -> None:
    simulation = start()
    leader = simulation.leaders[-1]
    simulation.intend(leader, LOAD, "a")
    reads = 0
    for _ in range(1_800):
        simulation.clock.advance(datetime.timedelta(seconds=1))
        failed, simulation.calls = simulation.calls, []
        for sent in failed:
            reads += 1
            simulation.deliver(leader, simulation.fail_call(sent))
        simulation.deliver(leader, order_messages.Tick())
    assert not simulation.network
    assert reads < 80
    simulation.run(20)
    assert leader.is_resolved, "an order too old to send is dropped"
    send(simulation, LOAD, "a")
    simulation.run(4)
    assert resident_rows(simulation) == {"a"}
