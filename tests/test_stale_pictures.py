"""Tests that no node decides for long on an old picture of the store."""

import asyncio
import datetime

import pytest

from cicadahook.core import change_log
from cicadahook.core import clock as clock_lib
from cicadahook.core import inventory
from cicadahook.core import picture_age
from cicadahook.core import store_api
from cicadahook.net import change_feed
from cicadahook.net import clock as system_clock
from cicadahook.net import store_listeners
from cicadahook.net import store_relay_messages
import store_fleet
import store_positions

NODES = 12
SMALL_FLEET = 4
# The users' rule for fleets of this size: a request comes no later than this
# after the leaving of its upstream was acknowledged.
DRAIN_SECONDS = 3.0


def list_watchers(nodes: list[store_fleet.Node]) -> list[store_fleet.Node]:
    """Return the nodes that watch the store for the others."""
    return [node for node in nodes if node.is_watcher]


async def wait_for_followers(
    nodes: list[store_fleet.Node], watchers: int = 3
) -> None:
    """Wait until all nodes but the watchers follow others."""
    async with asyncio.timeout(10):
        while len(list_watchers(nodes)) != watchers:
            await asyncio.sleep(0.05)


@pytest.mark.parametrize("has_traffic", [False, True])
async def test_followers_leave_a_watcher_that_the_store_no_longer_answers(
    unused_port: int, has_traffic: bool
) -> None:
    async with store_fleet.run(NODES, unused_port) as (store, nodes):
        await wait_for_followers(nodes)
        cut_off = list_watchers(nodes)[0]
        if has_traffic:
            for number in range(10):
                store.put(f"busy-{number}")
                await asyncio.sleep(0.1)
        store.put("before")
        async with asyncio.timeout(5):
            while not all("before" in node.heard for node in nodes):
                await asyncio.sleep(0.01)
        cut_off.link.is_silent = True
        acknowledged = store.put("leaving")
        await asyncio.sleep(DRAIN_SECONDS + 1)
        delays = {
            node.record.name: node.heard.get("leaving", acknowledged + 99)
            - acknowledged
            for node in nodes
            if node is not cut_off
        }
        assert max(delays.values()) < DRAIN_SECONDS, delays


@pytest.mark.parametrize("fault", ["is_silent", "is_rejecting"])
@pytest.mark.parametrize(
    ("size", "watchers", "followers"),
    [(NODES, 2, 5), (NODES, 3, 5), (SMALL_FLEET, 2, 0)],
)
async def test_nodes_that_the_store_turns_away_learn_of_changes_in_time(
    unused_port: int, fault: str, size: int, watchers: int, followers: int
) -> None:
    async with store_fleet.run(size, unused_port) as (store, nodes):
        await wait_for_followers(nodes, 3 if followers else size)
        watching = list_watchers(nodes)
        following = [node for node in nodes if node not in watching]
        turned_away = watching[:watchers] + following[:followers]
        for node in turned_away:
            setattr(node.link, fault, True)
        acknowledged = {}
        for number in range(5):
            acknowledged[f"change-{number}"] = store.put(f"change-{number}")
            await asyncio.sleep(1)
        await asyncio.sleep(DRAIN_SECONDS)
        never = asyncio.get_running_loop().time()
        late = {
            (node.record.name, key): delay
            for node in nodes
            for key, since in acknowledged.items()
            if (delay := node.heard.get(key, never) - since) >= DRAIN_SECONDS
        }
        assert not late


async def test_connections_that_fall_silent_make_no_change_late(
    unused_port: int,
) -> None:
    async with store_fleet.run(NODES, unused_port) as (store, nodes):
        await wait_for_followers(nodes)
        await asyncio.sleep(0.5)
        for node in nodes:
            node.link.silence_connections(unused=2)
        acknowledged = store.put("change")
        await asyncio.sleep(2 * DRAIN_SECONDS)
        delays = {
            node.record.name: node.heard.get("change", acknowledged + 99)
            - acknowledged
            for node in nodes
        }
        assert max(delays.values()) < DRAIN_SECONDS, delays


@pytest.mark.parametrize(
    ("took", "is_empty", "complete"),
    [(1.1, True, 1.0), (1.1, False, 0.0), (0.4, True, 0.0)],
)
def test_an_answer_is_complete_up_to_what_the_store_has_waited(
    took: float, is_empty: bool, complete: float
) -> None:
    second = datetime.timedelta(seconds=1)
    sent = clock_lib.EPOCH
    end = picture_age.find_end_of_silence(
        sent, sent + took * second, second, is_empty=is_empty
    )
    assert end == sent + complete * second


async def test_a_watcher_vouches_only_for_the_revision_that_it_knows() -> None:
    feed = change_feed.ChangeFeed(
        lambda: True, picture_age.PictureAge(system_clock.SystemClock())
    )
    feed.apply_listing(
        store_api.Listing((), store_positions.at(100)), is_after_outage=False
    )
    answer = await feed.answer(store_relay_messages.FollowRequest(140, 1))
    assert answer.revision == 100


async def test_a_watcher_that_is_behind_takes_no_follower_back(
    unused_port: int,
) -> None:
    async with store_fleet.run(NODES, unused_port) as (store, nodes):
        await wait_for_followers(nodes)
        store.put("before")
        await asyncio.sleep(0.5)
        behind, *_ = list_watchers(nodes)
        behind.link.store = store_fleet.Store()
        for number in range(5):
            store.put(f"news-{number}")
            await asyncio.sleep(0.3)
        others = [node for node in nodes if node is not behind]
        assert {node.watcher.position for node in others} == {
            store.log.position
        }
        assert all("news-4" in node.heard for node in others)


async def test_followers_miss_no_change_after_the_store_lost_some(
    unused_port: int,
) -> None:
    async with store_fleet.run(NODES, unused_port) as (store, nodes):
        await wait_for_followers(nodes)
        copied = store.log.create_listing()
        for number in range(20):
            store.put(f"lost-{number}")
        await asyncio.sleep(2)
        store.restore(copied.items, copied.position.revision)
        acknowledged = store.put("leaving")
        await asyncio.sleep(2 * DRAIN_SECONDS)
        late = {node.record.name: node.heard.get("leaving") for node in nodes}
        assert all(
            heard is not None and heard < acknowledged + DRAIN_SECONDS
            for heard in late.values()
        ), late
        assert {node.watcher.position for node in nodes} == {store.log.position}


def test_a_log_that_is_behind_says_so() -> None:
    log = change_log.ChangeLog()
    known = store_positions.at(5)
    log.apply_listing(store_api.Listing((), known))
    behind = log.list_after(store_positions.at(9))
    assert behind == store_api.Changes((), known)


async def test_a_watch_that_is_cut_is_no_outage_of_the_store(
    unused_port: int,
) -> None:
    async with store_fleet.run(1, unused_port) as (store, nodes):
        (node,) = nodes
        clock = system_clock.SystemClock()
        upstreams = inventory.Inventory()
        listener = store_listeners.InventoryListener(
            "servers/",
            lambda name, value: inventory.Instance(
                name, "plain", value.decode(), "z", 1
            ),
            upstreams,
            clock,
            lambda: None,
        )
        node.watcher.listener = listener
        store.put("servers/i1", b"10.0.0.1:80")
        while not list(upstreams.list_usable("plain")):
            await asyncio.sleep(0.01)
        # The connection ends together with the change, so the watch that is
        # waiting cannot tell of it.
        node.link.cut_watch()
        store.put("servers/i1", None)
        await asyncio.sleep(1)
        assert not list(upstreams.list_usable("plain"))
