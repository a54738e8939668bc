"""Tests that a node without links to upstreams serves its callers."""

import asyncio
import dataclasses
import itertools

import aiohttp
import pytest

import node_links
import node_testbed

CHAT = {"X-Model": "big", "X-Token-Counts": "100,20"}
REQUESTS = (
    ("/read/item", {}),
    ("/write/item", {}),
    ("/chat/item", CHAT),
    ("/review/item", CHAT),
)
CUT_OFF, IN_TOUCH = 1, 0
# The users' rule: from `CONTACT_SECONDS` after a cut began, first tries at
# machines that are cut off are served at least `SERVED_SHARE` times as often as
# those at the others.
CONTACT_SECONDS = 3.0
SERVED_SHARE = 2 / 3
CUT_SECONDS = 7.0
PER_SECOND = 12
CALLER_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How a first try of a request ended.

    Attributes:
        node: number of the node that it was sent to.
        sent: when it was sent, by the event loop's clock.
        took_seconds: time until its end.
        status: status of its answer; 0 if it has no complete answer.
    """

    node: int
    sent: float
    took_seconds: float
    status: int


async def call(
    testbed: node_testbed.NodeTestbed, node: int, number: int
) -> Outcome:
    """Send one request to a node on a new connection."""
    path, headers = REQUESTS[number % len(REQUESTS)]
    loop = asyncio.get_running_loop()
    sent, status = loop.time(), 0
    try:
        async with testbed.call(
            path,
            node=node,
            headers={
                **headers,
                "X-Request-Id": f"r{number}-{node}",
                "Connection": "close",
            },
            timeout=aiohttp.ClientTimeout(CALLER_SECONDS),
        ) as response:
            await response.read()
            status = response.status
    except (aiohttp.ClientError, TimeoutError):
        pass
    return Outcome(node, sent, loop.time() - sent, status)


async def send(
    testbed: node_testbed.NodeTestbed, seconds: float
) -> list[Outcome]:
    """Send requests to both nodes."""
    numbers = itertools.count()
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    tasks = []
    async with asyncio.TaskGroup() as group:
        while loop.time() < end:
            number = next(numbers)
            for node in (IN_TOUCH, CUT_OFF):
                tasks.append(group.create_task(call(testbed, node, number)))
            await asyncio.sleep(1 / PER_SECOND)
    return [task.result() for task in tasks]


def count_served(outcomes: list[Outcome], node: int) -> tuple[int, int]:
    """Return how many requests a node got and how many of them it served."""
    own = [each for each in outcomes if each.node == node]
    return len(own), sum(each.status == 200 for each in own)


def describe(outcomes: list[Outcome]) -> str:
    """Return the statuses of the node that is cut off, and the longest wait."""
    own = [each for each in outcomes if each.node == CUT_OFF]
    statuses = {
        status: sum(each.status == status for each in own)
        for status in {each.status for each in own}
    }
    return f"{statuses}, {max(each.took_seconds for each in own):.3f} s"


@pytest.mark.parametrize("kind", list(node_links.Cut))
async def test_callers_of_a_node_without_links_are_served_as_at_others(
    linked_testbed: node_testbed.NodeTestbed, kind: node_links.Cut
) -> None:
    assert all(each.status == 200 for each in await send(linked_testbed, 1))
    links = linked_testbed.links[CUT_OFF].values()
    began = asyncio.get_running_loop().time()
    for link in links:
        link.cut(kind)
    outcomes = await send(linked_testbed, CUT_SECONDS)
    for link in links:
        await link.open()
    bound = [each for each in outcomes if each.sent > began + CONTACT_SECONDS]
    count, served = count_served(bound, CUT_OFF)
    others, others_served = count_served(bound, IN_TOUCH)
    assert served / count >= SERVED_SHARE * others_served / others, describe(
        bound
    )
    await asyncio.sleep(1)
    assert all(each.status == 200 for each in await send(linked_testbed, 1))
