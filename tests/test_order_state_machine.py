"""Each failure of an order by itself, and what it must not free."""

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
SETTLES = order_state_machine.UpstreamRules(restart_settles=True)
BOUNDED = order_state_machine.UpstreamRules(
    lateness_bound=datetime.timedelta(seconds=30)
)


def start(
    rules: order_state_machine.UpstreamRules = IGNORES,
) -> order_simulation.World:
    """Return a world whose leader has adopted the record."""
    world = order_simulation.World(rules)
    world.run(10)
    return world


def send(
    world: order_simulation.World, action: upstream_record.Action, row: str
) -> None:
    """Let an order be intended and sent; it stays on the network."""
    world.intend(world.leaders[-1], action, row)
    serve_calls(world)


def serve_calls(world: order_simulation.World) -> None:
    """Serve the key-value calls on their way."""
    while world.calls:
        sent = world.calls.pop(0)
        assert sent.machine is not None
        world.tell(sent.machine, world.serve_call(sent))


def delay(world: order_simulation.World) -> order_simulation.Sent:
    """Take the order on its way off the network, unanswered."""
    sent = world.network.pop()
    world.time_out(sent)
    return sent


def resident_rows(world: order_simulation.World) -> set[str]:
    """Return the rows that are resident and to stay."""
    rows = world.leaders[-1].record.residents
    return {copy.row for copy in rows}


@pytest.mark.parametrize("rules", [IGNORES, CHECKS, SETTLES, BOUNDED])
def test_answered_orders_settle(
    rules: order_state_machine.UpstreamRules,
) -> None:
    world = start(rules)
    for action, rows in ((LOAD, {"d"}), (UNLOAD, set())):
        send(world, action, "d")
        world.run(4)
        assert resident_rows(world) == rows
        assert world.leaders[-1].is_resolved
    send(world, LOAD, "c")
    world.run(4)
    assert resident_rows(world) == {"c"}


def test_order_waits_for_write() -> None:
    world = start()
    world.intend(world.leaders[-1], LOAD, "a")
    assert not world.network
    sent = world.calls.pop()
    world.serve_call(sent)
    world.tell(world.leaders[-1], order_messages.WriteUnknown())
    assert not world.network
    serve_calls(world)
    assert len(world.network) == 1


def test_late_load_keeps_memory_reserved() -> None:
    world = start()
    send(world, LOAD, "d")
    late = delay(world)
    world.run(4)
    send(world, UNLOAD, "d")
    send(world, LOAD, "c")
    assert world.leaders[-1].rejections["load not answered"] == 1
    assert world.leaders[-1].rejections["memory not free"] == 1
    world.engine.restart()
    world.run(4)
    world.arrive(late)
    world.run(4)
    assert resident_rows(world) == {"d"}
    assert not world.leaders[-1].record.residents[0].unanswered


def test_absent_copy_is_not_free_on_report() -> None:
    world = start()
    send(world, LOAD, "d")
    late = delay(world)
    world.read_state(world.leaders[-1])
    reply = world.replies.pop()
    world.tell(reply.machine, reply.message)
    serve_calls(world)
    send(world, LOAD, "c")
    assert not world.network
    world.arrive(late)


def test_refusal_of_one_copy_does_not_free_the_other() -> None:
    world = start()
    send(world, LOAD, "d")
    late = delay(world)
    world.clock.advance(datetime.timedelta(seconds=10))
    world.tell(world.leaders[-1], order_messages.Tick())
    serve_calls(world)
    resent = world.network.pop()
    assert isinstance(resent.effect, order_messages.SendOrder)
    for _ in range(2):
        world.tell(
            world.leaders[-1],
            order_messages.OrderAnswered(
                resent.effect.order.id,
                resent.effect.attempt,
                reconciliation.Answer.REFUSED,
            ),
        )
        serve_calls(world)
    assert world.leaders[-1].record.reserved_bytes == 6
    world.arrive(late)


def test_row_with_unanswered_unload_is_not_placed_again() -> None:
    world = start()
    send(world, LOAD, "d")
    world.run(4)
    send(world, UNLOAD, "d")
    late = delay(world)
    world.run(4)
    assert world.leaders[-1].record.free_bytes == order_simulation.CAPACITY
    send(world, LOAD, "d")
    assert world.leaders[-1].rejections["order not settled"] == 1
    world.arrive(late)
    world.run(4)
    send(world, LOAD, "d")
    world.run(4)
    assert resident_rows(world) == {"d"}


@pytest.mark.parametrize("state_first", [True, False])
def test_unload_is_free_by_report_begun_after_its_answer(
    state_first: bool,
) -> None:
    world = start()
    send(world, LOAD, "d")
    world.run(4)
    send(world, UNLOAD, "d")
    leader = world.leaders[-1]
    if state_first:
        world.read_state(leader)
    world.arrive(world.network.pop())
    world.engine.finish_unloads()
    if not state_first:
        world.read_state(leader)
    for reply in reversed(world.replies):
        world.tell(reply.machine, reply.message)
        serve_calls(world)
    world.replies.clear()
    assert leader.record.free_bytes == order_simulation.CAPACITY - 6
    world.run(2)
    assert leader.record.free_bytes == order_simulation.CAPACITY


def test_unanswered_unload_frees_nothing() -> None:
    world = start()
    send(world, LOAD, "d")
    world.run(4)
    send(world, UNLOAD, "d")
    world.arrive(delay(world))
    world.replies.clear()
    world.engine.finish_unloads()
    world.read_state(world.leaders[-1])
    reply = world.replies.pop()
    world.tell(reply.machine, reply.message)
    serve_calls(world)
    assert world.leaders[-1].record.reserved_bytes == 6


@pytest.mark.parametrize("rules", [IGNORES, CHECKS])
def test_restart_keeps_reservation_and_reloads(
    rules: order_state_machine.UpstreamRules,
) -> None:
    world = start(rules)
    send(world, LOAD, "d")
    world.run(4)
    world.engine.restart()
    world.read_state(world.leaders[-1])
    reply = world.replies.pop()
    world.tell(reply.machine, reply.message)
    serve_calls(world)
    assert world.leaders[-1].record.reserved_bytes == 6
    world.run(6)
    assert world.engine.used == 6
    assert resident_rows(world) == {"d"}


def test_fence_settles_lost_load() -> None:
    world = start(CHECKS)
    send(world, LOAD, "d")
    late = delay(world)
    world.run(6)
    assert world.engine.used == 6
    send(world, UNLOAD, "d")
    world.run(4)
    assert world.leaders[-1].record.free_bytes == order_simulation.CAPACITY
    world.arrive(late)
    assert world.engine.used == 0


def test_unload_that_a_fence_settled_midway_frees_its_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = start(CHECKS)
    send(world, LOAD, "d")
    world.run(4)
    send(world, UNLOAD, "d")
    world.arrive(delay(world))
    world.replies.clear()
    with monkeypatch.context() as patched:
        patched.setattr(world.engine, "finish_unloads", lambda: None)
        world.run(8)
    assert world.leaders[-1].record.reserved_bytes == 6
    world.run(8)
    assert world.leaders[-1].record.free_bytes == order_simulation.CAPACITY


def test_load_shut_out_may_arrive_after_a_restart() -> None:
    world = start(CHECKS)
    send(world, LOAD, "d")
    late = delay(world)
    world.run(6)
    send(world, UNLOAD, "d")
    world.run(4)
    send(world, LOAD, "a")
    world.run(4)
    world.engine.restart()
    world.arrive(late)
    send(world, LOAD, "c")
    assert not world.network, "d and c may both arrive after the restart"
    world.run(8)
    assert world.engine.used == world.leaders[-1].record.reserved_bytes


def test_restarted_upstream_is_fenced_again() -> None:
    world = start(CHECKS)
    send(world, LOAD, "d")
    late = delay(world)
    world.run(6)
    send(world, UNLOAD, "d")
    world.run(4)
    world.engine.restart()
    world.run(8)
    world.arrive(late)
    assert world.engine.used == 0


def test_fence_counts_for_the_incarnation_that_answered() -> None:
    world = start(CHECKS)
    send(world, LOAD, "d")
    late = delay(world)
    leader = world.leaders[-1]
    world.tell(leader, order_messages.Tick())
    serve_calls(world)
    world.arrive(world.network.pop())
    reply = world.replies.pop()
    world.engine.restart()
    world.tell(reply.machine, reply.message)
    serve_calls(world)
    world.read_state(leader)
    reply = world.replies.pop()
    world.tell(reply.machine, reply.message)
    serve_calls(world)
    assert leader.record.is_fencing
    world.arrive(late)
    world.run(6)
    assert resident_rows(world) == {"d"}


def test_paused_leader_stops_at_its_next_write() -> None:
    world = start()
    paused = world.leaders[-1]
    world.intend(paused, LOAD, "d")
    in_hand = world.calls.pop()
    world.elect()
    world.run(4)
    send(world, LOAD, "c")
    world.run(4)
    world.tell(paused, world.serve_call(in_hand))
    serve_calls(world)
    assert paused.stage is order_state_machine.Stage.STOPPED
    assert not world.network
    assert world.engine.used == 5


def test_successor_takes_up_an_order_in_hand() -> None:
    world = start()
    send(world, LOAD, "d")
    in_hand = world.network.pop()
    world.elect()
    world.run(4)
    send(world, LOAD, "c")
    assert world.leaders[-1].rejections["memory not free"] == 1
    world.arrive(in_hand)
    world.replies.clear()
    world.run(4)
    assert resident_rows(world) == {"d"}


@pytest.mark.parametrize("rules", [SETTLES, BOUNDED])
def test_columns_settle_a_lost_load(
    rules: order_state_machine.UpstreamRules,
) -> None:
    world = start(rules)
    send(world, LOAD, "d")
    delay(world)
    world.run(10)
    world.engine.restart()
    world.run(10)
    send(world, UNLOAD, "d")
    world.run(4)
    assert world.leaders[-1].is_resolved
    assert world.leaders[-1].record.free_bytes == order_simulation.CAPACITY


def test_outage_sends_nothing_and_ends_quietly() -> None:
    world = start()
    leader = world.leaders[-1]
    world.intend(leader, LOAD, "a")
    reads = 0
    for _ in range(1_800):
        world.clock.advance(datetime.timedelta(seconds=1))
        failed, world.calls = world.calls, []
        for sent in failed:
            reads += 1
            world.tell(leader, world.fail_call(sent))
        world.tell(leader, order_messages.Tick())
    assert not world.network
    assert reads < 80
    world.run(20)
    assert leader.is_resolved, "an order too old to send is given up"
    send(world, LOAD, "a")
    world.run(4)
    assert resident_rows(world) == {"a"}
