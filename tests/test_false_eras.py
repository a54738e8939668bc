"""Tests of eras that other nodes name and the store does not."""

import asyncio
import dataclasses
import datetime

from aiohttp import web
import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import roster as roster_lib
from cicadahook.core import store_api
from cicadahook.core import store_contact
from cicadahook.core import store_eras
from cicadahook.platform import caller_server
from cicadahook.platform import metadata_store
import node_store
import node_testbed
import route_checks
import store_fleet
import store_positions

NOW = clock_lib.EPOCH
STEP = datetime.timedelta(milliseconds=1)
SILENCE = store_contact.MAX_SILENCE + STEP
FALSE_ERA = 7
HOLDER_SECONDS = 15.0


@pytest.fixture(name="eras")
def create_eras(clock: clock_lib.ManualClock) -> store_eras.EraTracker:
    """Return the eras of a node that the store answers."""
    eras = store_positions.create_eras(clock)
    assert eras.observe(1, NOW)
    return eras


def test_another_node_is_not_believed_while_the_store_answers(
    eras: store_eras.EraTracker,
) -> None:
    assert eras.hear(FALSE_ERA, "n2"), "a claim to be logged"
    assert not eras.hear(FALSE_ERA, "n2"), "logged already"
    assert eras.current == 1


def test_another_node_is_believed_until_the_store_denies_the_era(
    clock: clock_lib.ManualClock, eras: store_eras.EraTracker
) -> None:
    """Guards against an era that no answer of the store corrects."""
    changes: list[store_eras.EraChange] = []
    eras.listeners.append(changes.append)
    clock.advance(SILENCE)
    eras.hear(FALSE_ERA, "n2")
    assert (eras.current, eras.source) == (FALSE_ERA, "n2")
    # Sent before the node named the era, it may have been answered before.
    assert not eras.observe(1, NOW)
    clock.advance(STEP)
    assert eras.observe(1, clock.now())
    assert [change.is_denial for change in changes] == [False, True]


def test_an_era_of_the_store_is_denied_by_no_later_answer(
    clock: clock_lib.ManualClock, eras: store_eras.EraTracker
) -> None:
    assert eras.observe(2, NOW)
    clock.advance(STEP)
    assert not eras.observe(1, clock.now())


def test_an_era_that_the_store_confirms_is_denied_by_no_later_answer(
    clock: clock_lib.ManualClock, eras: store_eras.EraTracker
) -> None:
    clock.advance(SILENCE)
    eras.hear(2, "n2")
    clock.advance(STEP)
    assert eras.observe(2, NOW)
    clock.advance(STEP)
    assert not eras.observe(1, clock.now())


async def test_items_of_an_era_that_the_store_has_not_named_are_not_taken(
    unused_port: int,
) -> None:
    """Guards against positions that no answer of the store ever reaches."""
    async with store_fleet.run(2, unused_port) as (_, nodes):
        await node_testbed.wait_until(
            lambda: all(
                each.watcher.position > store_api.ORIGIN for each in nodes
            )
        )
        nodes[1].relayed.feed.log.apply_listing(
            store_api.Listing((), store_positions.at(9, FALSE_ERA))
        )
        nodes[0].link.is_rejecting = True
        with pytest.raises(errors.KeyValueUnavailableError):
            await nodes[0].relayed.list_items("")
        assert nodes[0].relayed.position.era == store_api.FIRST_ERA


async def test_the_first_return_of_a_store_whose_eras_begin_at_zero_is_noticed(
    unused_port: int,
) -> None:
    """Guards against a return of the store that reads as no new era."""
    server = node_store.StoreStandin()
    server.era = 0
    store = metadata_store.PlatformStore(
        f"127.0.0.1:{unused_port}", clock_lib.ManualClock()
    )
    changes: list[store_eras.EraChange] = []
    store.eras.listeners.append(changes.append)
    async with caller_server.listen(
        web.Server(server.handle), "127.0.0.1", unused_port
    ):
        await store.list_items("")
        server.come_back(server.take_copy())
        await store.list_items("")
        await store.close()
    assert len(changes) == 2, "one at the start, one at the return"


def send_false_era(testbed: node_testbed.NodeTestbed, number: int) -> None:
    """Send each node a status that names an era that never began."""
    for program in testbed.programs:
        assert program.node is not None, "not started"
        record = dataclasses.replace(program.node.roster.own, name="faulty")
        program.node.receiver.receive(
            roster_lib.NodeStatus(
                record, number, True, False, False, 0, 0, era=FALSE_ERA
            )
        )


async def test_a_false_era_ends_no_hearing_of_the_store(
    testbed: node_testbed.NodeTestbed,
) -> None:
    """Guards against one wrong status after which no answer is believed."""
    for number in range(10):
        send_false_era(testbed, number)
        await asyncio.sleep(roster_lib.STATUS_PERIOD.total_seconds())
    assert set(node_testbed.list_eras(testbed)) == {1}
    assert any(map(node_testbed.can_order, testbed.programs))
    await route_checks.apply_configuration(testbed)


async def test_a_false_era_lasts_no_longer_than_an_outage_of_the_store(
    testbed: node_testbed.NodeTestbed,
) -> None:
    """Guards against nodes that stay deaf once the store is back."""
    testbed.store.faults.is_down = True
    await asyncio.sleep(2 * SILENCE.total_seconds())
    send_false_era(testbed, 1)
    assert set(node_testbed.list_eras(testbed)) == {FALSE_ERA}
    testbed.store.faults.is_down = False
    await route_checks.apply_configuration(testbed)
    assert set(node_testbed.list_eras(testbed)) == {1}
    await node_testbed.wait_until(
        lambda: any(map(node_testbed.can_order, testbed.programs)),
        HOLDER_SECONDS,
    )
