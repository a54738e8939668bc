"""Tests of changes of the store that few nodes watch for all."""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import datetime
import random

import aiohttp
from aiohttp import web
import pytest

from cicadahook.core import change_log
from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import picture_age
from cicadahook.core import roster as roster_lib
from cicadahook.core import status_schedule
from cicadahook.core import store_api
from cicadahook.core import store_contact
from cicadahook.core import store_sources
from cicadahook.net import change_feed
from cicadahook.net import clock as system_clock
from cicadahook.net import store_relay
from cicadahook.net import store_relay_messages
from cicadahook.platform import caller_server
import store_positions

NOW = clock_lib.EPOCH
HOST = "127.0.0.1"
WAIT = datetime.timedelta(seconds=2.5)
ZONES = 4


def create_item(number: int) -> store_api.Item:
    """Return an item that was last changed at a revision."""
    return store_api.Item(
        f"k{number}", b"v%d" % number, store_positions.at(number)
    )


def create_change(number: int, key: str = "") -> store_api.Change:
    """Return a write at a revision."""
    return store_api.Change(
        key or f"k{number}", b"v%d" % number, store_positions.at(number)
    )


def list_revisions(changes: store_api.Changes) -> list[int]:
    """Return the revisions of the single changes."""
    return [change.position.revision for change in changes.changes]


# Logs of changes.


def test_a_log_holds_items_and_the_changes_since_its_listing() -> None:
    log = change_log.ChangeLog()
    at = store_positions.at
    log.apply_listing(
        store_api.Listing((create_item(1), create_item(2)), at(5))
    )
    log.apply_changes(
        store_api.Changes(
            (create_change(6, "k1"), store_api.Change("k2", None, at(7))),
            at(8),
        )
    )
    assert list_revisions(log.list_after(at(5))) == [6, 7]
    assert list_revisions(log.list_after(at(6))) == [7]
    assert log.list_after(at(8)) == store_api.Changes((), at(8))
    assert log.create_listing() == store_api.Listing(
        (store_api.Item("k1", b"v6", at(6)),), at(8)
    )


def test_a_log_tells_of_values_that_still_hold_however_often_they_changed() -> (
    None
):
    log = change_log.ChangeLog()
    at = store_positions.at
    log.apply_listing(store_api.Listing((), at(5)))
    changes = (
        create_change(6, "k1"),
        create_change(7, "k2"),
        create_change(8, "k1"),
        store_api.Change("k1", None, at(9)),
        create_change(10, "k1"),
        create_change(11, "k1"),
    )
    log.apply_changes(store_api.Changes(changes, at(12)))
    told = log.list_after(at(5))
    assert list_revisions(told) == [7, 9, 11]
    assert told.position == at(12)
    assert list_revisions(log.list_after(at(10))) == [11]


async def test_a_series_of_versions_costs_a_watcher_one_for_a_follower() -> (
    None
):
    clock = clock_lib.ManualClock()
    feed = change_feed.ChangeFeed(lambda: True, picture_age.PictureAge(clock))
    feed.apply_listing(
        store_api.Listing((), store_positions.at(5)), is_after_outage=False
    )
    sizes = []
    for number in range(6, 16):
        position = store_positions.at(number)
        value = random.Random(number).randbytes(30_000)
        change = store_api.Change("op/config", value, position)
        feed.apply_changes(store_api.Changes((change,), position))
        answer = await feed.answer(store_relay_messages.FollowRequest(5))
        sizes.append(len(feed.encoder.encode(answer)))
    assert max(sizes) < 1.1 * sizes[0]


def test_a_log_says_when_it_lacks_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(change_log, "MAX_CHANGES", 3)
    log = change_log.ChangeLog()
    at = store_positions.at
    log.apply_listing(store_api.Listing((), at(5)))
    for number in range(6, 12):
        log.apply_changes(
            store_api.Changes((create_change(number),), at(number))
        )
    with pytest.raises(store_api.HistoryLostError):
        log.list_after(at(5))
    assert list_revisions(log.list_after(at(8))) == [9, 10, 11]


# Who watches.


def create_rosters(
    size: int,
    capabilities: tuple[str, ...] = status_schedule.CAPABILITIES,
    now: datetime.datetime = NOW,
    base_port: int = 0,
) -> list[roster_lib.Roster]:
    """Return the rosters of a fleet whose nodes have heard each other."""
    records = [
        roster_lib.NodeRecord(
            f"n{number}",
            f"zone-{number % ZONES}",
            "region",
            f"{HOST}:1",
            f"{HOST}:{base_port + number}",
            1,
        )
        for number in range(size)
    ]
    rosters = []
    for own in records:
        roster = roster_lib.Roster(own)
        for record in records:
            roster.record_status(
                roster_lib.NodeStatus(
                    record,
                    1,
                    True,
                    False,
                    False,
                    0,
                    0,
                    capabilities=capabilities,
                ),
                now,
            )
        rosters.append(roster)
    return rosters


def create_sources(
    roster: roster_lib.Roster, clock: clock_lib.Clock | None = None
) -> store_sources.StoreSources:
    """Return the sources of a node that the store answers."""
    return store_sources.StoreSources(
        roster,
        store_contact.StoreContact(clock or clock_lib.ManualClock(NOW)),
    )


def count_direct(rosters: list[roster_lib.Roster]) -> int:
    """Return how many of the nodes watch the store by themselves."""
    return sum(
        not create_sources(roster).list_watchers(NOW) for roster in rosters
    )


@pytest.mark.parametrize("size", [16, 64, 256])
def test_few_nodes_watch_in_different_zones_whatever_the_fleet(
    size: int,
) -> None:
    rosters = create_rosters(size)
    followed: collections.Counter[roster_lib.NodeRecord] = collections.Counter()
    for roster in rosters:
        watchers = create_sources(roster).list_watchers(NOW)
        followed.update(watchers[:1])
    count = max(
        store_sources.MIN_WATCHERS, size // store_sources.NODES_PER_WATCHER
    )
    assert count_direct(rosters) == len(followed) == count
    assert len({record.zone for record in followed}) == min(count, ZONES)
    # None carries much more than its part.
    assert max(followed.values()) <= 2 * size / count


def test_followers_prefer_a_watcher_of_their_zone() -> None:
    for roster in create_rosters(64):
        watchers = create_sources(roster).list_watchers(NOW)
        is_own = [record.zone == roster.own.zone for record in watchers]
        assert is_own == sorted(is_own, reverse=True)
        assert len(watchers) in (0, store_sources.MAX_SOURCES)


def test_a_zone_that_hears_no_other_has_watchers_of_its_own() -> None:
    rosters = create_rosters(64)
    zone = [each for each in rosters if each.own.zone == rosters[0].own.zone]
    for roster in zone:
        for name, (_, status) in list(roster.statuses.items()):
            if status.node.zone != roster.own.zone:
                del roster.statuses[name]
    assert count_direct(zone) == store_sources.MIN_WATCHERS


def test_nodes_of_small_fleets_watch_by_themselves() -> None:
    size = store_sources.MIN_NODES - 1
    assert count_direct(create_rosters(size)) == size


def test_nodes_of_older_builds_are_not_followed() -> None:
    assert count_direct(create_rosters(32, capabilities=())) == 32


def test_nodes_that_do_not_answer_are_left_out_for_a_while() -> None:
    for roster in create_rosters(32):
        sources = create_sources(roster)
        watchers = sources.list_watchers(NOW)
        if not watchers:
            continue
        left = [each for each in sources.plan(NOW, is_stale=False) if each]
        assert len(left) == store_sources.MIN_WATCHERS
        while left:
            assert sources.list_watchers(NOW) == tuple(left[:2])
            sources.avoid(left.pop(0).name, NOW)
        assert sources.plan(NOW, is_stale=False) == (store_sources.STORE,)
        later = NOW + store_sources.AVOIDED_PERIOD
        for name, (_, status) in list(roster.statuses.items()):
            roster.statuses[name] = (later, status)
        assert sources.list_watchers(later) == watchers


def turn_away(rosters: list[roster_lib.Roster], names: set[str]) -> None:
    """Let nodes say that the store does not answer them."""
    for roster in rosters:
        for received_at, status in list(roster.statuses.values()):
            roster.record_status(
                dataclasses.replace(
                    status, number=2, lacks_store=status.node.name in names
                ),
                received_at,
            )


def create_lost_sources(
    roster: roster_lib.Roster,
) -> store_sources.StoreSources:
    """Return the sources of a node that the store does not answer."""
    sources = create_sources(roster)
    sources.contact.answered -= 2 * store_contact.MAX_SILENCE
    return sources


@pytest.mark.parametrize("size", [4, 12, 64])
def test_watchers_that_the_store_turns_away_lose_their_role(size: int) -> None:
    rosters = create_rosters(size)
    direct = [
        roster.own.name
        for roster in rosters
        if not create_sources(roster).list_watchers(NOW)
    ]
    lost = set(direct[: size - 1])
    turn_away(rosters, lost)
    followed: set[str] = set()
    for roster in rosters:
        is_lost = roster.own.name in lost
        create = create_lost_sources if is_lost else create_sources
        watchers = create(roster).list_watchers(NOW)
        followed.update(watcher.name for watcher in watchers)
        assert watchers or not is_lost
    assert followed and not followed & lost


@pytest.mark.parametrize("wide", [0, 1, 5])
def test_nodes_with_narrow_links_watch_only_where_others_lack(
    wide: int,
) -> None:
    # All those with wide links are in one zone.
    rosters = create_rosters(64)
    records = {
        roster.own.name: dataclasses.replace(
            roster.own,
            has_narrow_link=number % ZONES != 0 or number // ZONES >= wide,
        )
        for number, roster in enumerate(rosters)
    }
    watchers = set()
    for roster in rosters:
        roster.own = records[roster.own.name]
        for received_at, status in list(roster.statuses.values()):
            roster.statuses[status.node.name] = (
                received_at,
                dataclasses.replace(status, node=records[status.node.name]),
            )
        if not create_sources(roster).list_watchers(NOW):
            watchers.add(roster.own)
    assert len(watchers) == store_sources.MIN_WATCHERS
    narrow = sum(record.has_narrow_link for record in watchers)
    assert narrow == max(0, store_sources.MIN_WATCHERS - wide)


def test_a_node_asks_those_first_that_can_tell_it_soonest() -> None:
    rosters = create_rosters(32)
    for roster in rosters:
        sources = create_sources(roster)
        plan = sources.plan(NOW, is_stale=False)
        stale = sources.plan(NOW, is_stale=True)
        place = store_sources.MAX_SOURCES if sources.list_watchers(NOW) else 0
        assert plan.index(store_sources.STORE) == place
        assert stale.index(store_sources.STORE) == 0
        assert len(plan) == len(stale) == len(set(plan)) >= 3


def test_a_node_that_the_store_turns_away_asks_others_whatever_they_did() -> (
    None
):
    rosters = create_rosters(32)
    turn_away(rosters, {rosters[0].own.name})
    sources = create_lost_sources(rosters[0])
    plan = sources.plan(NOW, is_stale=False)
    *nodes, last = plan
    assert len(nodes) >= store_sources.MIN_WATCHERS
    assert last is store_sources.STORE
    for node in nodes:
        assert node is not None
        sources.avoid(node.name, NOW)
    assert sources.plan(NOW, is_stale=False) == plan


def test_nobody_is_asked_while_the_store_answers_nobody() -> None:
    rosters = create_rosters(32)
    turn_away(rosters, {roster.own.name for roster in rosters})
    for roster in rosters:
        plan = create_lost_sources(roster).plan(NOW, is_stale=False)
        assert plan == (store_sources.STORE,)


def test_nodes_that_leave_or_are_silent_are_not_followed() -> None:
    roster = next(
        each
        for each in create_rosters(32)
        if create_sources(each).list_watchers(NOW)
    )
    sources = create_sources(roster)
    for watcher in sources.list_watchers(NOW):
        status = roster.statuses[watcher.name][1]
        roster.record_status(
            dataclasses.replace(status, number=2, has_left=True), NOW
        )
        names = [each.name for each in sources.list_watchers(NOW)]
        assert watcher.name not in names
    silent = NOW + roster.get_silence_limit()
    assert not sources.list_watchers(silent)


# Following on real connections.


class StoreStandin:
    """A store that counts the calls, one change at a time.

    Attributes:
        log: its items and changes.
        news: set at the next change.
        is_down: whether it fails all calls.
        watches: number of watches.
        listings: number of listings.
    """

    def __init__(self) -> None:
        self.log = change_log.ChangeLog()
        self.log.apply_listing(
            store_api.Listing((create_item(1),), store_positions.at(1))
        )
        self.eras = store_positions.create_eras()
        self.news = asyncio.Event()
        self.is_down = False
        self.watches = 0
        self.listings = 0

    def put(self) -> int:
        """Change one item; return the revision."""
        number = self.log.position.revision + 1
        change = create_change(number, f"k{number % 50}")
        self.log.apply_changes(
            store_api.Changes((change,), store_positions.at(number))
        )
        self.news.set()
        self.news = asyncio.Event()
        return number

    def _check(self) -> None:
        if self.is_down:
            raise errors.KeyValueUnavailableError("down")

    async def list_items(
        self, prefix: str, *, is_fresh: bool = False
    ) -> store_api.Listing:
        """Return all items."""
        del prefix, is_fresh
        self.listings += 1
        self._check()
        return self.log.create_listing()

    async def watch(
        self,
        prefix: str,
        position: store_api.Position,
        wait: datetime.timedelta,
        *,
        is_fresh: bool = False,
    ) -> store_api.Changes:
        """Return the changes after a position."""
        del prefix, is_fresh
        self.watches += 1
        self._check()
        if self.log.position <= position:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait.total_seconds()):
                    await self.news.wait()
        return self.log.list_after(position)


class Fleet:
    """Two nodes of one zone: one watches the store, the other follows it.

    Attributes:
        store: the store.
        feed: what the watcher tells.
        is_current: whether it says that it watches the store.
        is_frozen: whether it leaves questions unanswered.
        body: what it answers instead; None for the truth.
        follower: the other node's store.
    """

    def __init__(self, session: aiohttp.ClientSession, port: int) -> None:
        self.store = StoreStandin()
        self.is_current = True
        self.is_frozen = False
        self.body: bytes | None = None
        clock = system_clock.SystemClock()
        self.feed = change_feed.ChangeFeed(
            lambda: self.is_current, picture_age.PictureAge(clock)
        )
        self.feed.log = self.store.log
        rosters = create_rosters(9 * ZONES, now=clock.now(), base_port=port)
        roster = next(
            each
            for each in rosters
            if create_sources(each, clock).list_watchers(clock.now())
        )
        self.sources = create_sources(roster, clock)
        self.follower = store_relay.RelayedStore(
            self.store,  # type: ignore[arg-type]
            self.sources,
            session,
            picture_age.PictureAge(clock),
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one question as the watcher."""
        if self.is_frozen:
            await asyncio.sleep(10)
        if self.body is not None:
            return web.Response(body=self.body)
        return await self.feed.handle(request)


@pytest.fixture(name="fleet")
async def run_fleet(unused_port: int) -> AsyncIterator[Fleet]:
    """Run a watcher at the port of the first node that is followed."""
    async with aiohttp.ClientSession() as session:
        fleet = Fleet(session, unused_port)
        first = fleet.sources.list_watchers(fleet.follower.clock.now())[0]
        port = int(first.peer_address.rsplit(":", 1)[1])
        async with caller_server.listen(web.Server(fleet.handle), HOST, port):
            yield fleet


async def test_a_follower_gets_changes_without_the_store(fleet: Fleet) -> None:
    position = store_positions.at(1)
    for _ in range(5):
        fleet.store.put()
        changes = await fleet.follower.watch("", position, WAIT)
        assert list_revisions(changes) == [position.revision + 1]
        position = changes.position
    assert fleet.store.watches == 0
    assert not fleet.follower.is_current()


async def test_a_follower_hears_of_a_change_at_once(fleet: Fleet) -> None:
    waiting = asyncio.create_task(
        fleet.follower.watch("", store_positions.at(1), WAIT)
    )
    await asyncio.sleep(0.2)
    fleet.store.put()
    fleet.feed.wake_followers()
    async with asyncio.timeout(0.2):
        assert list_revisions(await waiting) == [2]


@pytest.mark.parametrize(
    "fault", ["is_frozen", "not_current", "malformed", "truncated"]
)
async def test_a_follower_watches_by_itself_where_nobody_answers(
    fleet: Fleet, fault: str
) -> None:
    if fault == "is_frozen":
        fleet.is_frozen = True
    elif fault == "not_current":
        fleet.is_current = False
    else:
        fleet.body = b"nonsense" if fault == "malformed" else b"x\x9c"
    fleet.store.put()
    loop = asyncio.get_running_loop()
    began = loop.time()
    changes = await fleet.follower.watch("", store_positions.at(1), WAIT)
    assert list_revisions(changes) == [2]
    assert fleet.store.watches == 1
    # Within the time in which a change must be in force, 3 s at such fleets.
    assert loop.time() - began < 1.8
    fleet.store.put()
    await fleet.follower.watch("", store_positions.at(2), WAIT)
    assert loop.time() - began < 2.0
    assert fleet.follower.is_current()


async def test_two_frozen_watchers_delay_a_change_within_its_bound(
    fleet: Fleet,
) -> None:
    now = fleet.follower.clock.now()
    first, second = fleet.sources.list_watchers(now)
    port = int(second.peer_address.rsplit(":", 1)[1])
    assert first.peer_address != second.peer_address
    fleet.is_frozen = True
    loop = asyncio.get_running_loop()
    async with caller_server.listen(web.Server(fleet.handle), HOST, port):
        fleet.store.put()
        began = loop.time()
        changes = await fleet.follower.watch("", store_positions.at(1), WAIT)
    assert list_revisions(changes) == [2]
    # A change must be in force within 3 s at such fleets, of which a watcher
    # may have paused for 0.8 s.
    assert loop.time() - began < 3.0 - 0.8


async def test_a_follower_gets_all_items_while_the_store_is_away(
    fleet: Fleet,
) -> None:
    fleet.store.put()
    fleet.store.is_down = True
    listing = await fleet.follower.list_items("")
    assert listing == fleet.store.log.create_listing()
    fleet.is_current = False
    with pytest.raises(errors.KeyValueUnavailableError):
        await fleet.follower.list_items("")


async def test_items_of_another_node_are_as_old_as_it_says(
    fleet: Fleet,
) -> None:
    clock = fleet.follower.clock
    age = datetime.timedelta(seconds=1)
    fleet.feed.age.confirm(clock.now() - age)
    fleet.store.is_down = True
    await fleet.follower.list_items("")
    told = fleet.follower.age.get_age()
    assert told is not None and age <= told < 2 * age


async def test_items_older_than_what_is_known_are_not_taken(
    fleet: Fleet,
) -> None:
    older = change_log.ChangeLog()
    older.apply_listing(fleet.store.log.create_listing())
    fleet.store.put()
    await fleet.follower.list_items("")
    fleet.store.is_down = True
    fleet.feed.log = older
    with pytest.raises(errors.KeyValueUnavailableError):
        await fleet.follower.list_items("")


async def test_a_watcher_without_changes_enough_is_no_source(
    fleet: Fleet,
) -> None:
    fleet.store.put()
    behind = change_log.ChangeLog()
    behind.apply_listing(store_api.Listing((), store_positions.at(9)))
    fleet.feed.log = behind
    changes = await fleet.follower.watch("", store_positions.at(1), WAIT)
    assert list_revisions(changes) == [2]
    assert fleet.store.watches == 1


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x93\x01\x02\x03"])
async def test_malformed_questions_are_refused(
    fleet: Fleet, body: bytes
) -> None:
    watcher = fleet.sources.list_watchers(fleet.follower.clock.now())[0]
    async with fleet.follower.session.post(
        f"http://{watcher.peer_address}{change_feed.CHANGES_PATH}", data=body
    ) as response:
        assert response.status == 400
