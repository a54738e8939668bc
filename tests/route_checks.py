"""Checks which routes the nodes of a testbed serve."""

import asyncio

import node_testbed

# Time in which a change of the store must be in force at all nodes.
APPLY_SECONDS = 2.0
POLL_SECONDS = 0.05
ROUTE = "/extra/"


async def apply_configuration(testbed: node_testbed.NodeTestbed) -> None:
    """Add a route; fail if a node does not serve it in time."""
    configuration = node_testbed.create_configuration(version=2)
    configuration["routes"].append(
        {**configuration["routes"][0], "name": "extra", "path_prefix": ROUTE}
    )
    testbed.store.put("op/config", configuration)
    for number in range(len(testbed.programs)):
        async with asyncio.timeout(APPLY_SECONDS):
            while True:
                async with testbed.call(f"{ROUTE}1", number) as response:
                    if response.status == 200:
                        break
                await asyncio.sleep(POLL_SECONDS)
