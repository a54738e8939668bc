"""Tests of what holds when the store returns from an older copy of itself."""

import asyncio
from collections.abc import AsyncIterator
import datetime

from aiohttp import web
import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import inventory as inventory_lib
from cicadahook.core import order_holder
from cicadahook.core import roster as roster_lib
from cicadahook.core import store_api
from cicadahook.core import terms
from cicadahook.core import version_records
from cicadahook.net import holder_lease
from cicadahook.platform import caller_server
from cicadahook.platform import metadata_store
import node_store
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


def create_holder(
    name: str, revision: int = 30
) -> order_holder.HolderStateMachine:
    """Return a node that is holder in the first era since a revision."""
    state = create_holder_state(name)
    state.observe_keys(None, None, None, at(revision - 1), NOW)
    win(state, at(revision), NOW)
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


def test_fences_are_those_of_older_builds() -> None:
    """Guards against fences that go down when builds replace each other."""
    assert terms.compute_fence(at(30)) == 30
    assert terms.compute_fence(at(30, 3)) == 2**33 + 30
    assert terms.compute_fence(at(2**33, 3)) == 2**34


@pytest.mark.parametrize("revision", [30, 2**32 + 30, 2**53, 2**62])
def test_a_node_in_a_newer_era_grants_nothing_to_an_earlier_term(
    revision: int,
) -> None:
    """Guards against fences of a new era below those of the one before."""
    holder = create_holder("n3", revision)
    record = roster_lib.NodeRecord("n3", "z", "r", "f:1", "p:1", 1)
    known = roster_lib.Roster(
        roster_lib.NodeRecord("n1", "z", "r", "f:2", "p:2", 1)
    )
    known.record_status(
        roster_lib.NodeStatus(
            record,
            1,
            True,
            True,
            False,
            holder.fence,
            holder.newest_term,
            era=holder.era,
        ),
        NOW,
    )
    peer = create_holder_state("n1")
    peer.observe_keys(None, None, None, at(revision), NOW)
    assert known.create_grant(peer.newest_term, peer.era, NOW).holder == "n3"
    peer.record_era(2, NOW, is_granted=False)
    assert not known.create_grant(peer.newest_term, peer.era, NOW).holder


def test_a_holder_waits_where_only_the_number_tells_of_a_newer_era() -> None:
    # As in a status of an older build, which names no era.
    holder = create_holder("n3")
    peer = create_holder_state("n1")
    peer.record_era(2, NOW, is_granted=False)
    holder.hear_term(peer.newest_term, 0, NOW)
    assert not holder.can_send(NOW, is_granted=False)


def test_a_term_of_another_era_ends_no_term_of_this_one() -> None:
    holder = create_holder("n3")
    holder.record_era(2, NOW, is_granted=False)
    holder.observe_keys(None, None, None, at(31, 2), NOW)
    win(holder, at(32, 2), NOW)
    for era in (1, 3):
        # The store has not named the later one to this node.
        holder.hear_term(2**62, era, NOW)
    assert holder.can_send(NOW, is_granted=False)


# Upstreams and versions.


def create_instance(name: str, *, is_leaving: bool) -> inventory_lib.Instance:
    """Return the entry of an upstream."""
    return inventory_lib.Instance(
        name, "s", f"{name}:80", "z", 4, is_leaving=is_leaving, born=7
    )


@pytest.fixture(name="registrations")
def create_registrations() -> inventory_lib.Inventory:
    """Return what a node knows when a copy takes two leavings back."""
    registrations = inventory_lib.Inventory()
    ready = [create_instance(name, is_leaving=False) for name in "abc"]
    registrations.apply_snapshot(ready, at(5), NOW, is_after_outage=False)
    registrations.put(create_instance("a", is_leaving=True))
    registrations.remove("b")
    registrations.apply_snapshot(ready, at(5, 2), NOW, is_after_outage=True)
    return registrations


def test_an_upstream_that_left_stays_out_though_a_copy_lists_it(
    registrations: inventory_lib.Inventory,
) -> None:
    assert [each.id for each in registrations.list_usable("s")] == ["c"]


def test_an_upstream_that_registers_again_is_used_again(
    registrations: inventory_lib.Inventory,
) -> None:
    registrations.put(create_instance("a", is_leaving=False))
    registrations.put(create_instance("b", is_leaving=False))
    assert registrations.find_usable("a") is None, "leaving is final"
    assert registrations.find_usable("b") is not None


def test_an_upstream_that_is_still_listed_after_a_while_lives(
    registrations: inventory_lib.Inventory,
) -> None:
    registrations.drop_expired(NOW + inventory_lib.DOUBT_PERIOD)
    assert registrations.find_usable("b") is not None


def test_entries_that_the_copy_lacks_come_back_in_time() -> None:
    registrations = inventory_lib.Inventory()
    both = [create_instance(name, is_leaving=False) for name in "ab"]
    registrations.apply_snapshot(both, at(50), NOW, is_after_outage=False)
    registrations.apply_snapshot(both[:1], at(9, 2), NOW, is_after_outage=True)
    assert registrations.find_usable("b") is not None
    registrations.drop_expired(NOW + inventory_lib.REREGISTRATION_PERIOD)
    assert registrations.find_usable("b") is None


def test_a_record_of_versions_of_an_earlier_era_names_no_version() -> None:
    value = version_records.encode_record(
        version_records.VersionRecord(7, {"s": ("v1",)}, True)
    )
    records = version_records.VersionRecords(is_first_start=True)
    for era, expected in ((1, "v1"), (2, None)):
        item = store_api.Item(version_records.RECORD_KEY, value, at(4, era))
        records.replace(item, NOW)
        assert records.stored is not None and records.stored.record is not None
        assert records.stored.record.find_only("s") == expected
    observed = version_records.Observation({"s": {"v1"}}, True, True, False)
    change = records.plan(observed, 7, NOW)
    assert change is not None, "the record is written again in this era"
    written = version_records.decode_record(change.puts[0].value, 2)
    assert written is not None and written.era == 2
    assert written.find_only("s") is None, "streams of others may go on"


# Answers of the store.


@pytest.fixture(name="standin")
async def run_standin(
    unused_port: int,
) -> AsyncIterator[
    tuple[node_store.StoreStandin, metadata_store.PlatformStore]
]:
    """Run a store, and a client of it."""
    standin = node_store.StoreStandin()
    store = metadata_store.PlatformStore(
        f"127.0.0.1:{unused_port}", clock_lib.ManualClock()
    )
    async with caller_server.listen(
        web.Server(standin.handle), "127.0.0.1", unused_port
    ):
        yield standin, store
        await store.close()


async def test_a_watch_does_not_go_on_in_another_era(
    standin: tuple[node_store.StoreStandin, metadata_store.PlatformStore],
) -> None:
    server, store = standin
    listing = await store.list_items("")
    server.come_back(server.take_copy())
    # The store has given the revision out again, so it answers.
    server.put("servers/x", {})
    with pytest.raises(store_api.HistoryLostError):
        await store.watch("", listing.position, SECOND)
    assert (await store.list_items("")).position.era == 2


async def test_a_late_answer_of_an_earlier_era_is_dropped(
    standin: tuple[node_store.StoreStandin, metadata_store.PlatformStore],
) -> None:
    _, store = standin
    store.eras.observe(2, NOW)
    with pytest.raises(errors.KeyValueUnavailableError):
        await store.list_items("")


async def test_a_change_expects_nothing_of_an_earlier_era(
    standin: tuple[node_store.StoreStandin, metadata_store.PlatformStore],
) -> None:
    server, store = standin
    first = await store.write(
        store_api.Write(puts=(store_api.Put("cicada/a", b"1"),))
    )
    server.come_back(server.take_copy())
    await store.list_items("")
    change = store_api.Write(
        expected=(("cicada/a", first),),
        puts=(store_api.Put("cicada/a", b"2"),),
    )
    # The revision is the same one.
    assert server.items["cicada/a"]["revision"] == first.revision
    with pytest.raises(errors.KeyValueConflictError):
        await store.write(change)


@pytest.mark.parametrize("era", ["x", "-1", "1e3", str(1 << 40), ""])
async def test_an_answer_with_a_malformed_era_is_no_answer(
    standin: tuple[node_store.StoreStandin, metadata_store.PlatformStore],
    era: str,
) -> None:
    server, store = standin
    server.era = era  # type: ignore[assignment]
    with pytest.raises(errors.KeyValueUnavailableError):
        await store.list_items("")


async def test_a_lease_number_of_an_earlier_era_is_not_renewed(
    standin: tuple[node_store.StoreStandin, metadata_store.PlatformStore],
) -> None:
    server, store = standin
    leading = holder_lease.Leadership(
        store,
        create_holder_state("n1"),
        store_api.Put("cicada/nodes/n1", b"n1"),
        clock_lib.ManualClock(),
        lambda: False,
        lambda: False,
    )
    store.eras.listeners.append(leading.apply_era)
    copy = server.take_copy()
    running = asyncio.create_task(leading.run())
    await asyncio.sleep(0.3)
    earlier = leading.lease
    server.come_back(copy)
    # Another node has got the same number meanwhile.
    other = await store.grant_lease(3 * SECOND)
    assert other == earlier
    await asyncio.sleep(holder_lease.RENEWAL_PERIOD.total_seconds() + 0.3)
    running.cancel()
    assert leading.lease not in (0, earlier)
    assert server.items["cicada/nodes/n1"]["lease"] == leading.lease
