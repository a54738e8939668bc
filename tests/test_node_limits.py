"""Tests that nodes keep the request limits that upstreams name."""

import asyncio
from collections.abc import Sequence
import itertools

import node_testbed

READ = "/read/item"
CHAT = {"X-Model": "big", "X-Token-Counts": "100,20"}
RATE = 1.5
# The users' rule: in any `WINDOW_SECONDS` that begins `GRACE_SECONDS` after the
# first naming or later, at most 1.5 times the rate, and 5 more.
GRACE_SECONDS = 3.0
WINDOW_SECONDS = 4.0


def count_most(calls: Sequence[float], start: float) -> int:
    """Return the most calls in any window that begins at `start` or later."""
    late = [time for time in calls if time >= start]
    return max(
        (
            sum(first <= time < first + WINDOW_SECONDS for time in late)
            for first in late
        ),
        default=0,
    )


def count_allowed(rate: float) -> float:
    """Return the calls that the rule allows in a window."""
    return 1.5 * rate * WINDOW_SECONDS + 5


async def send(
    testbed: node_testbed.NodeTestbed,
    seconds: float,
    per_second: float,
    path: str = READ,
    headers: dict[str, str] | None = None,
) -> list[tuple[int, float | None]]:
    """Send requests to both nodes in turn; return statuses and Retry-After."""
    numbers = itertools.count()

    async def call(number: int) -> tuple[int, float | None]:
        async with testbed.call(
            path,
            node=number % 2,
            headers={"X-Request-Id": f"r{number}", **(headers or {})},
        ) as response:
            await response.read()
            pause = response.headers.get("Retry-After")
            return response.status, float(pause) if pause else None

    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    async with asyncio.TaskGroup() as group:
        tasks = []
        while loop.time() < end:
            tasks.append(group.create_task(call(next(numbers))))
            await asyncio.sleep(1 / per_second)
    return [task.result() for task in tasks]


async def test_nodes_do_not_exceed_the_limit_that_an_upstream_names(
    testbed: node_testbed.NodeTestbed,
) -> None:
    testbed.plain[0].limit = RATE
    begin = asyncio.get_running_loop().time()
    answers = await send(testbed, GRACE_SECONDS + WINDOW_SECONDS + 1, 20)
    most = count_most(testbed.plain[0].calls, begin + GRACE_SECONDS)
    assert most <= count_allowed(RATE)
    assert all(status == 200 for status, _ in answers)
