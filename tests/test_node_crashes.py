"""Tests that prompt parts that crash engines are found and refused."""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
import random

import aiohttp

import node_testbed
import node_upstreams

FATAL_PART = "bad"
FIRST_PART = "aa"
SUBJECT_COUNT = 12
# The users' rule: from `CONTACT_SECONDS` after the fifth crash on, at most
# `TOLERATED` more requests with the fatal part reach engines.
CONTACT_SECONDS = 3.0
TOLERATED = 3
FIFTH = 4


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How a request ended.

    Attributes:
        sent: when it was sent, by the event loop's clock.
        is_fatal: whether it holds a part that crashes engines.
        status: status of its answer; 0 if its connection ended first.
        has_begun: whether a part of the answer came.
        took_seconds: time until its end.
    """

    sent: float
    is_fatal: bool
    status: int
    has_begun: bool
    took_seconds: float


class Traffic:
    """Sends requests to all nodes at random."""

    def __init__(self, testbed: node_testbed.NodeTestbed, seed: int) -> None:
        self.testbed = testbed
        self.random = random.Random(seed)
        self.numbers = itertools.count()
        self.outcomes: list[Outcome] = []

    async def call(self, *middle: str) -> None:
        """Send one request with these parts between its first and its own."""
        number = next(self.numbers)
        parts = [f"{FIRST_PART}:100", *(f"{part}:20" for part in middle)]
        parts.append(f"own{number}:10")
        loop = asyncio.get_running_loop()
        sent, status, content = loop.time(), 0, b""
        headers = {
            "X-Request-Id": f"r{number}",
            "X-Model": "big",
            "X-Token-Counts": "130,20",
            "X-Prompt-Prefix": ",".join(parts),
        }
        try:
            async with self.testbed.call(
                "/chat/item",
                self.random.randrange(len(self.testbed.programs)),
                headers=headers,
                data=b"%d" % number,
            ) as response:
                status = response.status
                content = await response.content.readany()
                await response.read()
        except aiohttp.ClientError:
            pass
        self.outcomes.append(
            Outcome(
                sent,
                FATAL_PART in middle,
                status,
                status == 200 and bool(content),
                loop.time() - sent,
            )
        )

    async def run(
        self, seconds: float, per_second: float, draw: Callable[[], list[str]]
    ) -> None:
        """Send requests with the parts that `draw` returns."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                group.create_task(self.call(*draw()))
                await asyncio.sleep(self.random.expovariate(per_second))

    def draw_sound(self) -> list[str]:
        """Return the middle parts of a sound request."""
        return [f"s{self.random.randrange(SUBJECT_COUNT)}"]

    def draw_fatal(self) -> list[str]:
        """Return the middle parts of a request that crashes engines."""
        return [FATAL_PART, *self.draw_sound()]


def count_begun_share(outcomes: list[Outcome]) -> float:
    """Return the share of sound requests whose answer has begun."""
    sound = [outcome for outcome in outcomes if not outcome.is_fatal]
    return sum(outcome.has_begun for outcome in sound) / len(sound)


def list_fatal_arrivals(
    engines: list[node_upstreams.UpstreamStandin],
) -> list[float]:
    """Return when requests with the fatal part reached engines."""
    return sorted(
        arrival.time
        for engine in engines
        for arrival in engine.arrivals
        if FATAL_PART in node_upstreams.list_shared_parts(arrival.headers)
    )


async def test_requests_that_share_a_fatal_part_stop_reaching_engines(
    large_testbed: node_testbed.NodeTestbed,
) -> None:
    engines = large_testbed.engines
    for engine in engines:
        engine.crash_state.fatal_parts = {FATAL_PART}
    traffic = Traffic(large_testbed, seed=1)
    await traffic.run(2, 25, traffic.draw_sound)
    before = count_begun_share(traffic.outcomes)
    async with asyncio.TaskGroup() as group:
        group.create_task(traffic.run(15, 25, traffic.draw_sound))
        group.create_task(traffic.run(15, 3, traffic.draw_fatal))
    crashes = sorted(
        time for engine in engines for time in engine.crash_state.times
    )
    late = crashes[: FIFTH + 1][-1] + CONTACT_SECONDS
    arrivals = [time for time in list_fatal_arrivals(engines) if time > late]
    assert len(arrivals) <= TOLERATED, f"{len(crashes)} crashes"
    # Sound requests with the same first part, from twice that time on.
    settled = crashes[: FIFTH + 1][-1] + 2 * CONTACT_SECONDS
    after = [each for each in traffic.outcomes if each.sent > settled]
    assert len(after) >= 20
    assert count_begun_share(after) >= before / 2


async def test_a_crash_is_known_while_the_store_is_away(
    testbed: node_testbed.NodeTestbed,
) -> None:
    node = testbed.programs[0].node
    assert node is not None
    engine = testbed.engines[0]
    ended = asyncio.Event()

    async def break_off(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        server.close()
        writer.transport.abort()
        ended.set()

    server = await asyncio.start_server(break_off, node_testbed.HOST, 0)
    port = server.sockets[0].getsockname()[1]
    entry = {**engine.describe(), "address": f"{node_testbed.HOST}:{port}"}
    testbed.store.put(f"servers/{engine.id}", entry)
    await node_testbed.wait_until(
        lambda: node.components.inventory.instances["e1"].address.endswith(
            f":{port}"
        )
    )
    testbed.store.faults.is_down = True
    await Traffic(testbed, seed=1).call(FATAL_PART)
    await ended.wait()
    await node_testbed.wait_until(
        lambda: f"part:engines:{FATAL_PART}"
        in node.components.suspects.records,
        seconds=1.0,
    )
