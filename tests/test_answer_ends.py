"""Tests that an end which no upstream stated is not stated to callers."""

import asyncio
from collections.abc import AsyncIterator, Iterable
import contextlib
import dataclasses
import datetime
import random
import time
from typing import Final, cast

import aiohttp
import pytest

from cicadahook.core import answer_ends
from cicadahook.core import clock as clock_lib
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.core import kept_connections
from cicadahook.core import reachability
from cicadahook.core import roster
from cicadahook.net import answer_protocol
from cicadahook.net import peer_relay_client
from cicadahook.platform import upstream_client
import dying_upstream
import node_cuts
import node_testbed
import node_upstreams

REQUESTS: Final = 6
PARTS: Final = 12
# Longer than the grace period of a node.
LONG_PARTS: Final = 60
WHOLE: Final = b"".join(dying_upstream.create_parts(PARTS))
# In the middle of all answers, between two parts.
KILL_AFTER_SECONDS: Final = 5.5 * dying_upstream.PART_SECONDS
CALLS: Final = {
    "stream": ("/chat/item", {"X-Model": "big", "X-Token-Counts": "10,10"}),
    "plain": ("/write/item", {}),
}


class DyingUpstream(dying_upstream.Child):
    """A process that takes the place of a stand-in.

    Attributes:
        standin: the stand-in.
    """

    def __init__(
        self,
        standin: node_upstreams.UpstreamStandin,
        framing: str,
        count: int,
    ) -> None:
        super().__init__(framing, standin.born, count)
        self.standin = standin


@contextlib.asynccontextmanager
async def replace(
    testbed: node_testbed.NodeTestbed,
    kind: str,
    framing: str,
    count: int = PARTS,
) -> AsyncIterator[DyingUpstream]:
    """Let a process take the place of all upstreams of a service."""
    standins = testbed.engines if kind == "stream" else testbed.plain
    upstream = DyingUpstream(standins[0], framing, count)
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


@pytest.mark.parametrize("framing", dying_upstream.FRAMINGS)
@pytest.mark.parametrize("kind", CALLS)
async def test_answers_by_way_of_a_node_that_stops_do_not_look_complete(
    linked_testbed: node_testbed.NodeTestbed, kind: str, framing: str
) -> None:
    testbed = linked_testbed
    configuration = node_testbed.create_configuration(version=2)
    for route in configuration["routes"]:
        route["timeout_ms"] = 10_000
    testbed.store.put("op/config", configuration)
    async with replace(testbed, kind, framing, LONG_PARTS):
        await cut_links(testbed, kind)
        calls = [
            asyncio.create_task(
                call(testbed, kind, node_cuts.CUT_OFF, 100 + number)
            )
            for number in range(REQUESTS)
        ]
        await asyncio.sleep(KILL_AFTER_SECONDS)
        testbed.programs[node_cuts.IN_TOUCH].stopped.set()
        answers = await asyncio.gather(*calls)
    assert not any(
        status == 200 and is_complete for status, _, is_complete in answers
    )


@pytest.mark.parametrize("after_seconds", (0.15, KILL_AFTER_SECONDS))
@pytest.mark.parametrize("node", (0, 1))
@pytest.mark.parametrize("kind", CALLS)
async def test_answers_that_a_proxy_ends_in_order_do_not_look_complete(
    linked_testbed: node_testbed.NodeTestbed,
    monkeypatch: pytest.MonkeyPatch,
    kind: str,
    node: int,
    after_seconds: float,
) -> None:
    testbed = linked_testbed
    # Unused connections are not kept for as long as the answers last.
    monkeypatch.setattr(
        kept_connections, "DEFAULT_LIFETIME", datetime.timedelta(seconds=0.1)
    )
    async with replace(testbed, kind, "close") as upstream:
        links = node_cuts.get_node(testbed, node).links
        (entry,) = links.inventory.list_usable(upstream.standin.service)
        # It leaves an unused connection.
        await cast(upstream_client.UpstreamClient, links.client).fetch_report(
            entry
        )
        calls = [
            asyncio.create_task(call(testbed, kind, node, number))
            for number in range(REQUESTS)
        ]
        await asyncio.sleep(after_seconds)
        testbed.links[node][upstream.standin.id].end()
        answers = await asyncio.gather(*calls)
    assert not list_short(answers)


async def test_a_single_answer_that_a_proxy_ends_does_not_look_complete(
    linked_testbed: node_testbed.NodeTestbed,
) -> None:
    async with replace(linked_testbed, "plain", "close") as upstream:
        task = asyncio.create_task(call(linked_testbed, "plain", 1, 1))
        await asyncio.sleep(KILL_AFTER_SECONDS)
        linked_testbed.links[1][upstream.standin.id].end()
        answer = await task
    assert not list_short([answer])


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


class FakeResponse:
    """The whole body of a response of another node."""

    def __init__(self) -> None:
        self.content = self

    async def iter_any(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        yield WHOLE


@pytest.mark.parametrize("may_be_cut", (False, True))
@pytest.mark.parametrize("body_end", forwarding.BodyEnd)
async def test_only_an_end_by_way_of_an_older_build_is_doubted(
    body_end: forwarding.BodyEnd, may_be_cut: bool
) -> None:
    async def ask() -> bool:
        return may_be_cut

    answer = peer_relay_client.RelayedAnswer(
        forwarding.AnswerHead(200, (), body_end=body_end),
        cast(aiohttp.ClientResponse, FakeResponse()),
        ask,
    )
    if may_be_cut and body_end is forwarding.BodyEnd.UNKNOWN:
        with pytest.raises(forwarding.AttemptError, match="cut"):
            await answer.read()
    else:
        assert await answer.read() == WHOLE


@pytest.mark.parametrize(
    ("is_listening", "is_gone", "may_be_cut"),
    (
        (True, False, False),
        (True, True, True),
        (False, False, True),
    ),
)
async def test_a_node_of_an_older_build_that_ends_states_no_end(
    clock: clock_lib.ManualClock,
    is_listening: bool,
    is_gone: bool,
    may_be_cut: bool,
) -> None:
    async def ask(instance: inventory.Instance) -> bool:
        del instance
        return is_gone

    own = roster.NodeRecord("n0", "zone", "region", "", "127.0.0.1:1", 1)
    server = await asyncio.start_server(lambda *_: None, node_testbed.HOST, 0)
    address = f"{node_testbed.HOST}:{server.sockets[0].getsockname()[1]}"
    if not is_listening:
        server.close()
    # No status of it is known, as behind a node that has left.
    peer = roster.NodeRecord("n1", "zone", "region", "", address, 1)
    client = peer_relay_client.RelayClient(
        reachability.Reachability(
            random.Random(1), kept_connections.KeptConnections("n0")
        ),
        roster.Roster(own),
        clock,
        ask,
    )
    instance = inventory.Instance("e1", "engines", "127.0.0.1:1", "zone", 1)
    assert await client.may_be_cut(instance, peer) is may_be_cut
    await client.close()
    server.close()


async def test_an_upstream_that_restarted_confirms_no_end_of_its_former_start(
    testbed: node_testbed.NodeTestbed,
) -> None:
    async with replace(testbed, "stream", "close") as upstream:
        task = asyncio.create_task(call(testbed, "stream", 0, 1))
        await asyncio.sleep(KILL_AFTER_SECONDS)
        # Nodes of this process stand still meanwhile.
        upstream.kill()
        upstream.born += 1
        upstream.start()
        time.sleep(dying_upstream.PART_SECONDS)
        answer = await task
    assert not list_short([answer])


async def test_a_connection_that_this_side_ends_ends_no_answer() -> None:
    ended = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(dying_upstream.HEAD_END)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + WHOLE)
        await reader.read()
        writer.close()
        ended.set()

    server = await asyncio.start_server(serve, node_testbed.HOST, 0)
    port = server.sockets[0].getsockname()[1]
    session = answer_protocol.open_session()
    async with server:
        response = await session.get(f"http://{node_testbed.HOST}:{port}/")
        await response.content.readany()
        await session.close()
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.read()
        await ended.wait()


@dataclasses.dataclass(eq=False)
class FakeConnection:
    """A connection without a socket.

    Attributes:
        opened: when it was opened.
        is_watched: whether its end would be noticed.
    """

    opened: datetime.datetime
    is_watched: bool = True


@pytest.fixture(name="connections")
def create_connections(
    clock: clock_lib.ManualClock,
) -> answer_ends.UpstreamConnections:
    """Return the connections of a node that has none."""
    return answer_ends.UpstreamConnections(clock)


IDLE, RESET, CUT = answer_ends.Loss


@pytest.mark.parametrize(
    ("has_witness", "lost_ms", "loss", "verdict"),
    (
        (False, 0, None, "whole"),
        (True, 0, None, "whole"),
        (False, 0, IDLE, "common_end"),
        (True, 0, IDLE, "whole"),
        (False, 0, RESET, "common_end"),
        (True, 0, RESET, "whole"),
        (False, 0, CUT, "common_end"),
        (True, 0, CUT, "common_end"),
        (False, -30, IDLE, "common_end"),
        (False, 30, IDLE, "common_end"),
        (True, -30, CUT, "common_end"),
        (False, -31, RESET, "whole"),
        (False, 31, RESET, "whole"),
        (True, -31, CUT, "whole"),
    ),
)
def test_an_end_is_judged_by_the_other_connections(
    connections: answer_ends.UpstreamConnections,
    clock: clock_lib.ManualClock,
    has_witness: bool,
    lost_ms: int,
    loss: answer_ends.Loss | None,
    verdict: str,
) -> None:
    address, began = "upstream:1", clock.now()
    ended = began + datetime.timedelta(seconds=1)
    for each in (FakeConnection(ended), FakeConnection(began, False)):
        connections.add(address, each)
    if has_witness:
        connections.add(address, FakeConnection(began))
    other = FakeConnection(began)
    connections.add(address, other)
    clock.current = ended + datetime.timedelta(milliseconds=lost_ms)
    connections.remove(address, other, loss)
    connections.remove("another:1", FakeConnection(began), CUT)
    assert connections.has_witness(address, ended) is has_witness
    assert connections.judge(address, ended) == verdict


def test_connections_and_losses_are_forgotten(
    connections: answer_ends.UpstreamConnections, clock: clock_lib.ManualClock
) -> None:
    for number in range(5):
        connection = FakeConnection(clock.now())
        connections.add(f"upstream:{number}", connection)
        clock.advance(2 * answer_ends.KEPT_PERIOD)
        connections.remove(f"upstream:{number}", connection, IDLE)
    assert not connections.connections
    assert len(connections.losses) == 1
