"""Terms of the order holder, the roster of nodes, and shutdown of a node."""

import asyncio
import dataclasses
import datetime
import random

import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import load_planning
from cicadahook.core import node_lifecycle
from cicadahook.core import order_holder
from cicadahook.core import roster
from cicadahook.core import route_durations
from cicadahook.core import store_api
from cicadahook.net import holder_lease
import store_positions

NOW = clock_lib.EPOCH
PAUSE = LEASE = datetime.timedelta(seconds=3)


def create_record(name: str) -> roster.NodeRecord:
    """Return the registration of a node."""
    return roster.NodeRecord(name, "z", "r", f"{name}:1", f"{name}:2", 1)


def create_status(name: str, number: int) -> roster.NodeStatus:
    """Return a node's status with a number."""
    record = create_record(name)
    return roster.NodeStatus(record, number, True, False, False, 0, 0)


def create_holder_state(
    name: str, token: str = "2"
) -> order_holder.HolderStateMachine:
    """Return the holder state of a process that has just started."""
    return order_holder.HolderStateMachine(name, token, PAUSE, LEASE)


def test_removed_node_is_no_required_granter() -> None:
    """A holder keeps sending without the store after a node was replaced."""
    known = roster.Roster(create_record("n1"))
    known.replace_registrations([create_record("n2"), create_record("n3")])
    known.record_status(create_status("n2", 1), NOW)
    known.replace_registrations([create_record("n3")])
    soon = NOW + datetime.timedelta(seconds=5)
    later = NOW + roster.REMOVAL_DELAY
    assert known.list_required_granters(soon) == {"n2", "n3"}
    assert known.list_required_granters(later) == {"n3"}


@pytest.mark.parametrize(
    ("is_pause_over", "expected"),
    [
        pytest.param(True, True, id="pause was over"),
        pytest.param(False, False, id="pause was not over"),
    ],
)
def test_restarted_holder_resumes_its_term(
    is_pause_over: bool, expected: bool
) -> None:
    """The node sends at once if its last process was allowed to send."""
    holder_state = create_holder_state("n1")
    at = store_positions.at
    left = store_api.Item(order_holder.HOLDER_KEY, b"n1 1", at(5))
    term = store_api.Item(order_holder.TERM_KEY, b"n1 1", at(5))
    pause_end = store_api.Item(order_holder.PAUSE_END_KEY, b"n1 1", at(6))
    holder_state.observe_keys(
        left, term, pause_end if is_pause_over else None, at(7), NOW
    )
    holder_state.record_renewal(NOW)
    write = holder_state.propose(1, NOW)
    assert write is not None, "the key of the last process must not block it"
    assert write.expected[0] == (order_holder.HOLDER_KEY, at(5))
    holder_state.record_won_term(write, at(8), NOW)
    assert holder_state.can_send(NOW, is_granted=False) is expected


def test_last_holder_has_priority_when_all_nodes_start() -> None:
    """Another node becomes holder only after `LAST_HOLDER_HEAD_START`."""
    holder_state = create_holder_state("n2")
    at = store_positions.at
    term = store_api.Item(order_holder.TERM_KEY, b"n1 1", at(5))
    holder_state.observe_keys(None, term, None, at(7), NOW)
    later = NOW + order_holder.LAST_HOLDER_HEAD_START
    holder_state.record_renewal(later)
    assert holder_state.propose(1, NOW) is None
    assert holder_state.propose(1, later) is not None


def test_new_holder_counts_loads_of_the_previous_holder() -> None:
    """Loads of both holders stay within the rate and the spare loads."""
    window = load_planning.LoadWindow(10, datetime.timedelta(seconds=5))
    window.count_earlier_loads(NOW)
    started = sum(window.acquire(NOW) for _ in range(20))
    assert started == load_planning.SPARE_LOADS


def test_handover_pause_is_not_skipped_on_reelection() -> None:
    """A process that becomes holder again completes the pause it began."""
    holder_state = create_holder_state("n1")
    at = store_positions.at
    term = store_api.Item(order_holder.TERM_KEY, b"n2 1", at(5))
    holder_state.observe_keys(None, term, None, at(5), NOW)
    holder_state.record_renewal(NOW)
    write = holder_state.propose(1, NOW + order_holder.LAST_HOLDER_HEAD_START)
    assert write is not None, "there is no holder"
    holder_state.record_won_term(write, at(6), NOW)
    due = holder_state.may_send_from
    own = store_api.Item(order_holder.TERM_KEY, holder_state.value, at(6))
    again = NOW + datetime.timedelta(seconds=1)
    holder_state.observe_keys(None, own, None, at(7), again)
    holder_state.record_won_term(write, at(8), again)
    assert holder_state.may_send_from == due


@pytest.mark.parametrize("grace_seconds", [2, 5, 8, 30])
def test_stopping_node_accepts_only_requests_it_may_cut_off(
    grace_seconds: int,
) -> None:
    """Later requests must all be answered, which long streams can't be."""
    grace = datetime.timedelta(seconds=grace_seconds)
    drain = node_lifecycle.plan_drain(NOW, grace)
    assert drain.accepts_until < NOW + datetime.timedelta(seconds=3)
    assert NOW + grace * 5 / 6 <= drain.finishes_until < NOW + grace
    assert drain.accepts_until < drain.finishes_until
    assert drain.finishes_until < drain.ends_at < NOW + grace


def test_large_fleet_sends_full_statuses_round_robin() -> None:
    """Messages per period stay few, and every node gets a full status."""
    known = roster.Roster(create_record("n00"))
    others = [f"n{number:02}" for number in range(1, 34)]
    known.replace_registrations(create_record(name) for name in others)
    groups = [known.list_full_status_peers(number, NOW) for number in range(5)]
    assert all(len(group) <= roster.STATUS_FANOUT for group in groups)
    assert set().union(*groups) == set(others)
    assert known.get_silence_limit() > 2 * 5 * roster.STATUS_PERIOD


def test_brief_status_keeps_earlier_loads_and_demand() -> None:
    """Loads and demand stay valid until the next full status."""
    known = roster.Roster(create_record("n1"))
    wanted = (roster.ModelDemand("s", "m", 0.5),)
    full = dataclasses.replace(create_status("n2", 1), wanted=wanted)
    brief = dataclasses.replace(
        create_status("n2", 2), is_brief=True, is_ready=False
    )
    assert known.record_status(full, NOW) and known.record_status(brief, NOW)
    (_, newest), *_ = known.list_recent(NOW)
    assert newest.wanted == wanted and not newest.is_ready
    record = dataclasses.replace(create_record("n2"), incarnation=2)
    assert known.record_status(dataclasses.replace(brief, node=record), NOW)
    (_, restarted), *_ = known.list_recent(NOW)
    assert not restarted.wanted, "a new incarnation has no earlier demand"


@pytest.mark.parametrize("nodes", [1, 4, 34, 400])
def test_watches_pause_within_the_bounds_on_changes(nodes: int) -> None:
    """A small fleet does not pause; the largest pauses less than a second."""
    pause = node_lifecycle.plan_watch_pause(nodes)
    assert (pause == datetime.timedelta()) == (nodes <= 8)
    assert pause < datetime.timedelta(seconds=1)


class SilentStore:
    """A store that never answers."""

    async def end_lease(self, lease: int) -> None:
        """Wait forever."""
        del lease
        await asyncio.Event().wait()


async def test_silent_store_does_not_delay_shutdown() -> None:
    """A node that leaves has no time to wait for the store."""
    leaving = holder_lease.Leadership(
        SilentStore(),  # type: ignore[arg-type]
        create_holder_state("n1"),
        store_api.Put("k", b""),
        clock_lib.ManualClock(),
        lambda: False,
        lambda: False,
    )
    leaving.lease = 7
    async with asyncio.timeout(1):
        await leaving.leave()


@pytest.mark.parametrize(
    ("duration_ms", "is_retry", "expected_ms"),
    [
        (0, False, 2800),
        (4400, False, 2800),
        (5200, False, 2000),
        (9000, False, -1800),
        (90, True, 7110),
    ],
)
def test_stopping_node_starts_only_what_it_can_finish(
    duration_ms: int, is_retry: bool, expected_ms: int
) -> None:
    """A retry may start later: another node would have to start it anew."""
    drain = node_lifecycle.plan_drain(NOW, datetime.timedelta(seconds=8))
    duration = datetime.timedelta(milliseconds=duration_ms)
    latest = drain.get_latest_start(duration, is_retry=is_retry)
    assert latest - NOW == datetime.timedelta(milliseconds=expected_ms)


def test_predicts_the_time_within_which_nearly_all_end() -> None:
    durations = route_durations.RouteDurations()
    assert durations.predict_longest("r", "u") is None
    for number in range(200):
        seconds = 4.0 if number % 50 == 0 else 0.1
        durations.record("r", datetime.timedelta(seconds=seconds))
    tail = datetime.timedelta(seconds=4)
    assert durations.predict_longest("r", "u") == tail
    fast = datetime.timedelta(seconds=0.1)
    for number in range(route_durations.MIN_OBSERVATIONS):
        assert durations.predict_longest("r", "u") == tail, number
        durations.record("r", fast, "u")
    assert durations.predict_longest("r", "u") == fast
    assert durations.predict("r") < datetime.timedelta(seconds=1)


def test_predicts_the_mean_duration_of_a_route() -> None:
    """A route without any request has no predicted duration."""
    generator = random.Random(1)
    durations = route_durations.RouteDurations()
    assert not durations.predict("r")
    for _ in range(200):
        took = datetime.timedelta(seconds=generator.uniform(2.0, 5.0))
        durations.record("r", took)
    assert 3.0 < durations.predict("r").total_seconds() < 4.0
    assert not durations.predict("other")
