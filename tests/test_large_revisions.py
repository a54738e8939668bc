"""Tests of nodes at a store that has made more changes than 32 bits count."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

import pytest

from cicadahook.core import roster as roster_lib
from cicadahook.programs import node_daemon as node_program
import conftest
import node_testbed
import route_checks

# Statuses of the holder have reached all nodes by then.
STATUS_SECONDS = 0.6
READY_SECONDS = 5.0
# Changes after a holder was chosen.
WRITES = 30


@pytest.fixture(
    name="large", params=[2**32 - 25, 5_000_000_000, 2**53, 2**63, 2**64]
)
async def run_testbed(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[node_testbed.NodeTestbed]:
    """Run two nodes, one of them holder, at a store with a large revision."""
    monkeypatch.setattr(node_program, "METRICS_PORT", 0)
    async with contextlib.AsyncExitStack() as stack:
        testbed = await stack.enter_async_context(
            node_testbed.run(conftest.find_base_port(), revision=request.param)
        )
        for _ in range(WRITES):
            testbed.register(testbed.plain[0])
        await asyncio.sleep(STATUS_SECONDS)
        yield testbed


async def restart(testbed: node_testbed.NodeTestbed, number: int) -> None:
    """Stop a node and start it again; fail if it is not ready in time."""
    testbed.programs[number].stopped.set()
    await testbed.tasks[number]
    settings = node_testbed.create_settings(
        testbed.programs[number].settings.name,
        testbed.programs[number].settings.front_port,
        testbed.store_address,
    )
    program = testbed.programs[number] = node_program.NodeProgram(settings)
    testbed.tasks[number] = asyncio.create_task(program.run())
    await node_testbed.wait_until(
        lambda: node_testbed.is_ready(program), READY_SECONDS
    )


async def test_a_configuration_is_in_force_in_time(
    large: node_testbed.NodeTestbed,
) -> None:
    """Guards against fences that are taken for a later era of the store."""
    await route_checks.apply_configuration(large)
    assert node_testbed.list_eras(large) == [1, 1]


async def test_a_status_of_an_older_build_names_no_era(
    large: node_testbed.NodeTestbed,
) -> None:
    """Guards against eras that are read from a fence of another build."""
    node = large.programs[0].node
    assert node is not None, "not started"
    fence = large.store.revision
    record = dataclasses.replace(node.roster.own, name="older")
    node.receiver.receive(
        roster_lib.NodeStatus(record, 1, True, True, False, fence, fence)
    )
    assert node_testbed.list_eras(large) == [1, 1]
    await route_checks.apply_configuration(large)


async def test_nodes_that_are_replaced_one_after_the_other_become_ready(
    large: node_testbed.NodeTestbed,
) -> None:
    """Guards against a false era that a node hears before the store's own."""
    for number in range(len(large.programs)):
        await restart(large, number)
        await asyncio.sleep(STATUS_SECONDS)
    await route_checks.apply_configuration(large)


async def test_the_return_of_the_store_is_noticed(
    large: node_testbed.NodeTestbed,
) -> None:
    """Guards against eras that are counted twice after a drill."""
    await large.store.run_drill(large.store.take_copy(), STATUS_SECONDS)
    await node_testbed.wait_until(
        lambda: any(map(node_testbed.can_order, large.programs)), 15.0
    )
    await asyncio.sleep(STATUS_SECONDS)
    await route_checks.apply_configuration(large)
    assert node_testbed.list_eras(large) == [2, 2]
