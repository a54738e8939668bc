"""Tests of what holds when the store returns from an older copy of itself."""

import datetime

import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import order_holder
from cicadahook.core import roster as roster_lib
from cicadahook.core import store_api
from cicadahook.core import terms
import store_positions

NOW = clock_lib.EPOCH
SECOND = datetime.timedelta(seconds=1)
PAUSE = LEASE = 3 * SECOND
at = store_positions.at


def create_holder_state(
    name: str, token: str = "2"
) -> order_holder.HolderStateMachine:
    """Return the holder state of a process that has just started."""
    return order_holder.HolderStateMachine(name, token, PAUSE, LEASE)


def create_item(key: str, value: str, revision: int) -> store_api.Item:
    """Return an item as a copy in the second era holds it."""
    return store_api.Item(key, value.encode(), at(revision, 2))


def win(
    state: order_holder.HolderStateMachine,
    position: store_api.Position,
    now: datetime.datetime,
) -> store_api.Write:
    """Let a node become holder; return its proposal."""
    state.record_renewal(now)
    write = state.propose(1, now)
    assert write is not None, "may not propose"
    assert state.record_won_term(write, position, now)
    return write


def create_holder(name: str) -> order_holder.HolderStateMachine:
    """Return a node that is holder in the first era, with fence 30."""
    state = create_holder_state(name)
    state.observe_keys(None, None, None, at(29), NOW)
    win(state, at(30), NOW)
    assert state.can_send(NOW, is_granted=False)
    return state


def find_wait(
    state: order_holder.HolderStateMachine, now: datetime.datetime
) -> datetime.timedelta:
    """Return how long a holder waits before it may send."""
    assert state.may_send_from is not None, "no holder"
    return state.may_send_from - now


def test_a_restarted_node_does_not_resume_a_term_that_the_store_outlived() -> (
    None
):
    state = create_holder_state("n1")
    values = [
        create_item(key, "n1 1 1", 20)
        for key in (
            order_holder.HOLDER_KEY,
            order_holder.TERM_KEY,
            order_holder.PAUSE_END_KEY,
        )
    ]
    state.observe_keys(values[0], values[1], values[2], at(22, 2), NOW)
    state.record_renewal(NOW)
    # The last holder comes first, which may be another node.
    assert state.propose(1, NOW) is None
    later = NOW + order_holder.LAST_HOLDER_HEAD_START
    write = win(state, at(23, 2), later)
    assert order_holder.PAUSE_END_KEY not in [put.key for put in write.puts]
    # Its lease, of which the store may know nothing, ends before the pause.
    assert later + find_wait(state, later) >= NOW + LEASE + PAUSE


def test_a_holder_that_sees_a_new_era_has_no_term() -> None:
    state = create_holder("n3")
    state.record_era(2, NOW + SECOND, is_granted=False)
    assert not state.can_send(NOW + SECOND, is_granted=True)
    # What it hears late of the earlier era takes it back to nothing.
    held = store_api.Item(order_holder.HOLDER_KEY, b"n3 2 1", at(30))
    term = store_api.Item(order_holder.TERM_KEY, b"n3 2 1", at(30))
    state.observe_keys(held, term, None, at(31), NOW + SECOND)
    assert not state.fence


def test_a_holder_in_force_goes_on_in_a_new_era_without_a_pause() -> None:
    state = create_holder("n3")
    now = NOW + SECOND
    state.record_era(2, now, is_granted=False)
    earlier = create_item(order_holder.HOLDER_KEY, "n1 1 1", 20)
    term = create_item(order_holder.TERM_KEY, "n1 1 1", 20)
    state.observe_keys(earlier, term, None, at(22, 2), now)
    win(state, at(23, 2), now)
    assert state.can_send(now, is_granted=False)
    assert state.fence > 30


@pytest.mark.parametrize(
    ("seconds", "expected"), [(2.5, True), (3.0, False), (60.0, False)]
)
def test_a_holder_goes_on_after_two_drills_only_within_its_lease(
    seconds: float, expected: bool
) -> None:
    state = create_holder("n3")
    state.record_era(2, NOW + SECOND, is_granted=False)
    # It has not become holder again when the next one comes.
    now = NOW + seconds * SECOND
    state.record_era(3, now, is_granted=False)
    state.observe_keys(None, None, None, at(22, 3), now)
    win(state, at(23, 3), now)
    assert state.can_send(now, is_granted=False) == expected


def test_a_holder_that_still_waits_does_not_go_on_in_a_new_era() -> None:
    state = create_holder_state("n3")
    state.observe_keys(None, None, None, at(20, 2), NOW)
    win(state, at(21, 2), NOW)
    assert not state.can_send(NOW, is_granted=False)
    state.record_era(3, NOW + SECOND, is_granted=False)
    assert not state.is_continuing


def test_a_holder_whose_lease_had_run_out_goes_on_only_after_the_pause() -> (
    None
):
    state = create_holder("n3")
    now = NOW + LEASE
    state.record_era(2, now, is_granted=False)
    state.observe_keys(None, None, None, at(22, 2), now)
    win(state, at(23, 2), now)
    assert find_wait(state, now) >= LEASE + PAUSE


def test_a_successor_waits_out_a_holder_that_has_not_heard_of_the_era() -> None:
    unaware = create_holder("n3")
    successor = create_holder_state("n1")
    drill = NOW + SECOND
    unaware.record_renewal(drill)
    successor.observe_keys(None, None, None, at(20, 2), drill)
    win(successor, at(21, 2), drill)
    last_sent = max(
        drill + number * SECOND / 10
        for number in range(100)
        if unaware.can_send(drill + number * SECOND / 10, is_granted=False)
    )
    assert drill + find_wait(successor, drill) >= last_sent + PAUSE


def test_later_holders_of_an_era_make_only_the_pause_between_two() -> None:
    state = create_holder_state("n1")
    term = create_item(order_holder.TERM_KEY, "n2 5 2", 30)
    ended = create_item(order_holder.PAUSE_END_KEY, "n2 5 2", 31)
    state.observe_keys(None, term, ended, at(40, 2), NOW)
    later = NOW + order_holder.LAST_HOLDER_HEAD_START
    win(state, at(41, 2), later)
    assert find_wait(state, later) == PAUSE + order_holder.PAUSE_MARGIN


def test_a_proposal_that_another_era_carries_out_begins_no_term() -> None:
    state = create_holder_state("n1")
    state.observe_keys(None, None, None, at(29), NOW)
    state.record_renewal(NOW)
    write = state.propose(1, NOW)
    assert write is not None, "there is no holder"
    state.record_era(2, NOW, is_granted=False)
    assert not state.record_won_term(write, at(30, 2), NOW)
    held, term = (
        store_api.Item(put.key, put.value, at(30, 2)) for put in write.puts
    )
    state.observe_keys(held, term, None, at(30, 2), NOW)
    assert not state.can_send(NOW + 60 * SECOND, is_granted=True)


def test_fences_rise_over_several_drills_and_restarts_of_all_nodes() -> None:
    fences = [create_holder("n1").fence]
    for era in (2, 3, 4):
        state = create_holder_state("n1", str(era))
        state.observe_keys(None, None, None, at(3, era), NOW)
        win(state, at(4, era), NOW)
        fences.append(state.fence)
    assert fences == sorted(set(fences))
    # Other programs read fences as floating-point numbers.
    assert all(int(float(fence)) == fence for fence in fences)


@pytest.mark.parametrize(("era", "expected"), [(1, False), (2, True)])
def test_a_holder_of_an_older_build_is_followed_once_its_fence_is_too_low(
    era: int, expected: bool
) -> None:
    state = create_holder_state("n1")
    held = store_api.Item(order_holder.HOLDER_KEY, b"n2 5", at(30, era))
    term = store_api.Item(order_holder.TERM_KEY, b"n2 5", at(30, era))
    state.observe_keys(held, term, None, at(30, era), NOW)
    later = NOW + order_holder.LAST_HOLDER_HEAD_START
    state.record_renewal(later)
    assert (state.propose(1, later) is not None) == expected


def test_in_the_first_era_fences_are_those_of_older_builds() -> None:
    assert terms.compute_fence(at(30)) == 30
    assert terms.find_era(30) == store_api.FIRST_ERA


def test_a_node_in_a_newer_era_grants_nothing_to_an_earlier_term() -> None:
    holder = create_holder("n3")
    record = roster_lib.NodeRecord("n3", "z", "r", "f:1", "p:1", 1)
    known = roster_lib.Roster(
        roster_lib.NodeRecord("n1", "z", "r", "f:2", "p:2", 1)
    )
    known.record_status(
        roster_lib.NodeStatus(
            record, 1, True, True, False, holder.fence, holder.newest_term
        ),
        NOW,
    )
    peer = create_holder_state("n1")
    peer.observe_keys(None, None, None, at(30), NOW)
    assert known.create_grant(peer.newest_term, NOW).holder == "n3"
    peer.record_era(2, NOW, is_granted=False)
    assert not known.create_grant(peer.newest_term, NOW).holder
    # Its status ends the term, also at a node of an older build.
    holder.record_term(peer.newest_term)
    assert not holder.can_send(NOW, is_granted=True)
