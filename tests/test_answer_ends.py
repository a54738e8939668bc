"""Tests that an end which no upstream stated is not stated to callers."""

import asyncio
from collections.abc import AsyncIterator, Iterable
import contextlib
import datetime
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Final

import aiohttp
import pytest

from cicadahook.core import answer_ends
from cicadahook.core import clock as clock_lib
from cicadahook.core import inventory
import dying_upstream
import node_cuts
import node_testbed
import node_upstreams

PROGRAM: Final = pathlib.Path(dying_upstream.__file__)
REQUESTS: Final = 6
PARTS: Final = 12
WHOLE: Final = b"".join(dying_upstream.create_parts(PARTS))
# In the middle of all answers, between two parts.
KILL_AFTER_SECONDS: Final = 5.5 * dying_upstream.PART_SECONDS
CALLS: Final = {
    "stream": ("/chat/item", {"X-Model": "big", "X-Token-Counts": "10,10"}),
    "plain": ("/write/item", {}),
}


class DyingUpstream:
    """A process that takes the place of a stand-in.

    Attributes:
        standin: the stand-in.
        framing: how it tells the ends of its answers.
        port: its port.
        pid: id of the process.
    """

    def __init__(
        self, standin: node_upstreams.UpstreamStandin, framing: str
    ) -> None:
        self.standin = standin
        self.framing = framing
        self.port = self.pid = 0

    def start(self) -> None:
        """Start the process and wait until it accepts connections."""
        # pylint: disable-next=consider-using-with
        child = subprocess.Popen(
            [
                sys.executable,
                str(PROGRAM),
                f"--framing={self.framing}",
                f"--born={self.standin.born}",
                f"--count={PARTS}",
                f"--port={self.port}",
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert child.stdout is not None, "no output"
        self.port, self.pid = map(int, child.stdout.readline().split())

    def kill(self) -> None:
        """Kill the process; the kernel ends its connections."""
        if self.pid:
            os.kill(self.pid, signal.SIGKILL)
            os.waitpid(self.pid, 0)
            self.pid = 0


@contextlib.asynccontextmanager
async def replace(
    testbed: node_testbed.NodeTestbed, kind: str, framing: str
) -> AsyncIterator[DyingUpstream]:
    """Let a process take the place of all upstreams of a service."""
    standins = testbed.engines if kind == "stream" else testbed.plain
    upstream = DyingUpstream(standins[0], framing)
    upstream.start()
    try:
        for other in standins[1:]:
            testbed.store.delete(f"servers/{other.id}")
        entry = standins[0].describe()
        if testbed.links:
            for links in testbed.links:
                links[standins[0].id].upstream_port = upstream.port
        else:
            address = f"{node_testbed.HOST}:{upstream.port}"
            testbed.store.put(
                f"servers/{standins[0].id}", {**entry, "address": address}
            )
        for number in range(len(testbed.programs)):
            node = node_cuts.get_node(testbed, number)
            await node_testbed.wait_until(
                lambda node=node: has_replaced(  # type: ignore[misc]
                    node.components.inventory.list_usable(standins[0].service),
                    upstream,
                    testbed,
                )
            )
        yield upstream
    finally:
        upstream.kill()


def has_replaced(
    known: Iterable[inventory.Instance],
    upstream: DyingUpstream,
    testbed: node_testbed.NodeTestbed,
) -> bool:
    """Whether a node knows the process and no other upstream."""
    ports = [int(each.address.rpartition(":")[2]) for each in known]
    return len(ports) == 1 and (bool(testbed.links) or ports == [upstream.port])


async def call(
    testbed: node_testbed.NodeTestbed, kind: str, node: int, number: int
) -> tuple[int, bytes, bool]:
    """Return status and body of an answer, and whether it looks complete."""
    path, headers = CALLS[kind]
    status, body = 0, bytearray()
    try:
        async with testbed.call(
            path, node, headers={**headers, "X-Request-Id": f"r{number}-{node}"}
        ) as response:
            status = response.status
            async for chunk in response.content.iter_any():
                body += chunk
    except aiohttp.ClientError:
        return status, bytes(body), False
    return status, bytes(body), True


async def cut_links(testbed: node_testbed.NodeTestbed, kind: str) -> None:
    """Cut one node off where nodes have links, and wait for its way around."""
    if not testbed.links:
        return
    await call(testbed, kind, node_cuts.IN_TOUCH, REQUESTS)
    await node_cuts.cut_known(testbed, node_cuts.CUT_OFF)
    node = node_cuts.get_node(testbed, node_cuts.CUT_OFF)
    service = testbed.engines if kind == "stream" else testbed.plain
    (entry,) = node.components.inventory.list_usable(service[0].service)
    await node_testbed.wait_until(
        lambda: node.links.relays.choose_peer(entry) is not None
    )


def list_short(answers: list[tuple[int, bytes, bool]]) -> list[bytes]:
    """Return the successes that look complete and are not."""
    return [
        body
        for status, body, is_complete in answers
        if status == 200 and is_complete and body != WHOLE
    ]


@pytest.fixture(name="path", params=("direct", "relayed"))
def open_path(
    request: pytest.FixtureRequest,
) -> tuple[node_testbed.NodeTestbed, int]:
    """Return nodes, and the number of one that reaches upstreams that way."""
    is_relayed = request.param == "relayed"
    name = "linked_testbed" if is_relayed else "testbed"
    testbed: node_testbed.NodeTestbed = request.getfixturevalue(name)
    return testbed, node_cuts.CUT_OFF if is_relayed else node_cuts.IN_TOUCH


@pytest.mark.parametrize("framing", dying_upstream.FRAMINGS)
@pytest.mark.parametrize("kind", CALLS)
async def test_an_answer_of_a_killed_upstream_does_not_look_complete(
    path: tuple[node_testbed.NodeTestbed, int], kind: str, framing: str
) -> None:
    testbed, node = path
    async with replace(testbed, kind, framing) as upstream:
        await cut_links(testbed, kind)
        calls = [
            asyncio.create_task(call(testbed, kind, node, number))
            for number in range(REQUESTS)
        ]
        await asyncio.sleep(KILL_AFTER_SECONDS)
        upstream.kill()
        answers = await asyncio.gather(*calls)
    assert not list_short(answers)
    if kind == "stream":
        assert all(body for _, body, _ in answers), "not begun"


@pytest.mark.parametrize("framing", dying_upstream.FRAMINGS)
@pytest.mark.parametrize("kind", CALLS)
async def test_answers_of_an_upstream_that_lives_are_whole(
    path: tuple[node_testbed.NodeTestbed, int], kind: str, framing: str
) -> None:
    testbed, node = path
    async with replace(testbed, kind, framing):
        await cut_links(testbed, kind)
        answers = await asyncio.gather(
            *(call(testbed, kind, node, number) for number in range(REQUESTS))
        )
    assert answers == [(200, WHOLE, True)] * REQUESTS


@pytest.mark.parametrize("kind", CALLS)
async def test_answers_that_a_proxy_ends_in_order_do_not_look_complete(
    linked_testbed: node_testbed.NodeTestbed, kind: str
) -> None:
    testbed = linked_testbed
    async with replace(testbed, kind, "close") as upstream:
        calls = [
            asyncio.create_task(call(testbed, kind, 0, number))
            for number in range(REQUESTS)
        ]
        await asyncio.sleep(KILL_AFTER_SECONDS)
        testbed.links[0][upstream.standin.id].end()
        answers = await asyncio.gather(*calls)
    assert not list_short(answers)


@pytest.mark.parametrize("after_seconds", (0.02, 0.04, 0.075))
@pytest.mark.parametrize("kind", CALLS)
async def test_the_only_answer_that_a_proxy_ends_early_does_not_look_complete(
    linked_testbed: node_testbed.NodeTestbed, kind: str, after_seconds: float
) -> None:
    """The connection kept besides it had its last reply just before."""
    testbed = linked_testbed
    async with replace(testbed, kind, "close") as upstream:
        task = asyncio.create_task(call(testbed, kind, 0, 1))
        await asyncio.sleep(after_seconds)
        testbed.links[0][upstream.standin.id].end()
        answer = await task
    assert not list_short([answer])


async def test_an_upstream_that_restarted_confirms_no_end_of_its_former_start(
    testbed: node_testbed.NodeTestbed,
) -> None:
    async with replace(testbed, "stream", "close") as upstream:
        task = asyncio.create_task(call(testbed, "stream", 0, 1))
        await asyncio.sleep(KILL_AFTER_SECONDS)
        # Nodes of this process stand still meanwhile.
        upstream.kill()
        upstream.standin.born += 1
        upstream.start()
        time.sleep(dying_upstream.PART_SECONDS)
        answer = await task
    assert not list_short([answer])


@pytest.fixture(name="lost")
def create_lost_connections(
    clock: clock_lib.ManualClock,
) -> answer_ends.LostConnections:
    """Return a record of lost connections."""
    return answer_ends.LostConnections(clock)


@pytest.mark.parametrize(
    ("connected_ms", "lost_ms", "is_same_start", "verdict"),
    (
        (-100, None, True, "whole"),
        (1, None, True, "whole"),
        (-100, None, False, "restarted"),
        (-100, 0, True, "whole"),
        (1, 0, True, "common_end"),
        (1, -50, True, "common_end"),
        (1, -51, True, "whole"),
    ),
)
def test_an_end_is_judged_by_what_the_upstream_does_afterwards(
    lost: answer_ends.LostConnections,
    clock: clock_lib.ManualClock,
    connected_ms: int,
    lost_ms: int | None,
    is_same_start: bool,
    verdict: str,
) -> None:
    millisecond = datetime.timedelta(milliseconds=1)
    ended = clock.now() + 100 * millisecond
    if lost_ms is not None:
        lost.record("other:1")
        clock.current = ended + lost_ms * millisecond
        lost.record("upstream:1")
    reply = answer_ends.Reply(ended + connected_ms * millisecond, is_same_start)
    assert lost.judge("upstream:1", ended, reply) == verdict
    assert lost.judge("upstream:1", ended, None) == "no_reply"


def test_lost_connections_are_forgotten(
    lost: answer_ends.LostConnections, clock: clock_lib.ManualClock
) -> None:
    lost.record("upstream:1")
    clock.advance(2 * answer_ends.KEPT_PERIOD)
    lost.record("upstream:2")
    assert len(lost.losses) == 1
