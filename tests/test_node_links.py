"""Tests that a node without links to upstreams serves its callers."""

import asyncio
import dataclasses
import itertools

import aiohttp
import pytest

from cicadahook.net import peer_relay_messages
from cicadahook.net import peer_relay_server
import node_cuts
import node_links
import node_testbed

CHAT = {"X-Model": "big", "X-Token-Counts": "100,20"}
REQUESTS: tuple[tuple[str, dict[str, str]], ...] = (
    ("/read/item", {}),
    ("/write/item", {}),
    ("/chat/item", CHAT),
    ("/review/item", CHAT),
)
# The users' rule: from `CONTACT_SECONDS` after a cut began, first tries at
# machines that are cut off are served at least `SERVED_SHARE` times as often as
# those at the others.
# How often each request is sent to see how pauses are drawn.
DRAWS = 3
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
            for node in (node_cuts.IN_TOUCH, node_cuts.CUT_OFF):
                tasks.append(group.create_task(call(testbed, node, number)))
            await asyncio.sleep(1 / PER_SECOND)
    return [task.result() for task in tasks]


def count_served(outcomes: list[Outcome], node: int) -> tuple[int, int]:
    """Return how many requests a node got and how many of them it served."""
    own = [each for each in outcomes if each.node == node]
    return len(own), sum(each.status == 200 for each in own)


def describe(outcomes: list[Outcome]) -> str:
    """Return the statuses of the node that is cut off, and the longest wait."""
    own = [each for each in outcomes if each.node == node_cuts.CUT_OFF]
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
    links = linked_testbed.links[node_cuts.CUT_OFF].values()
    began = asyncio.get_running_loop().time()
    for link in links:
        link.cut(kind)
    outcomes = await send(linked_testbed, CUT_SECONDS)
    for link in links:
        await link.open()
    bound = [each for each in outcomes if each.sent > began + CONTACT_SECONDS]
    count, served = count_served(bound, node_cuts.CUT_OFF)
    others, others_served = count_served(bound, node_cuts.IN_TOUCH)
    assert served / count >= SERVED_SHARE * others_served / others, describe(
        bound
    )
    await asyncio.sleep(1)
    assert all(each.status == 200 for each in await send(linked_testbed, 1))


async def tell_reached(testbed: node_testbed.NodeTestbed) -> None:
    """Wait until the node that is cut off knows that the other one is not."""
    await send(testbed, 1)
    links = node_cuts.get_node(testbed, node_cuts.CUT_OFF).links.reachability
    await node_testbed.wait_until(
        lambda: any(
            link.cut_since is None
            for told in links.peers.values()
            for link in told.values()
        )
    )


async def test_a_request_passes_through_one_other_node_once_and_unchanged(
    linked_testbed: node_testbed.NodeTestbed,
) -> None:
    await tell_reached(linked_testbed)
    await node_cuts.cut_known(linked_testbed, node_cuts.CUT_OFF)
    body = bytes(range(256)) * 100
    for upstream in linked_testbed.plain:
        upstream.arrivals.clear()
    async with linked_testbed.call(
        "/write/it%20em?a=1",
        node=node_cuts.CUT_OFF,
        data=body,
        headers={"X-Request-Id": "relayed", "X-Other": "kept"},
    ) as response:
        assert response.status == 200
        assert await response.read() == b"answer"
        assert response.headers["X-Response-Signature"] == "sig-relayed"
    (arrival,) = (
        arrival
        for upstream in linked_testbed.plain
        for arrival in upstream.arrivals
    )
    assert (arrival.path, arrival.body) == ("/write/it%20em?a=1", body)
    assert arrival.headers["X-Other"] == "kept"
    assert 0 < int(arrival.headers["X-Deadline-Ms"]) <= 2000


async def test_requests_that_no_node_can_pass_on_are_refused_at_once(
    linked_testbed: node_testbed.NodeTestbed,
) -> None:
    await tell_reached(linked_testbed)
    await node_cuts.cut_known(
        linked_testbed, node_cuts.IN_TOUCH, node_cuts.CUT_OFF
    )
    await node_testbed.wait_until(
        lambda: all(
            link.cut_since is not None
            for links in node_cuts.get_node(
                linked_testbed, node_cuts.CUT_OFF
            ).links.reachability.peers.values()
            for link in links.values()
        )
    )
    pauses = set()
    for path, headers in REQUESTS * DRAWS:
        began = asyncio.get_running_loop().time()
        async with linked_testbed.call(
            path, node=node_cuts.CUT_OFF, headers=headers
        ) as response:
            assert response.status == 503
            pauses.add(response.headers["Retry-After"])
        assert asyncio.get_running_loop().time() - began < 0.2
    # Each is one of 300 values in ms; five of 12 alike are no chance.
    assert len(pauses) >= DRAWS * len(REQUESTS) - 4


async def test_a_caller_that_leaves_ends_its_request_behind_another_node(
    linked_testbed: node_testbed.NodeTestbed,
) -> None:
    await tell_reached(linked_testbed)
    await node_cuts.cut_known(linked_testbed, node_cuts.CUT_OFF)
    for engine in linked_testbed.engines:
        engine.events = 1000
    async with linked_testbed.call(
        "/chat/item", node=node_cuts.CUT_OFF, headers=CHAT
    ) as response:
        assert await response.content.readany()
        running = sum(engine.running for engine in linked_testbed.engines)
        assert running == 1
        response.close()
    await node_testbed.wait_until(
        lambda: not sum(engine.running for engine in linked_testbed.engines),
        seconds=0.5,
    )
    assert not node_cuts.get_node(
        linked_testbed, node_cuts.IN_TOUCH
    ).relay_server.active


async def test_a_stream_behind_a_node_that_stops_ends_whole(
    linked_testbed: node_testbed.NodeTestbed,
) -> None:
    await tell_reached(linked_testbed)
    await node_cuts.cut_known(linked_testbed, node_cuts.CUT_OFF)
    for engine in linked_testbed.engines:
        engine.events, engine.event_seconds = 10, 0.08
    async with linked_testbed.call(
        "/chat/item", node=node_cuts.CUT_OFF, headers=CHAT
    ) as response:
        assert await response.content.readany()
        linked_testbed.programs[node_cuts.IN_TOUCH].stopped.set()
        await response.read()
    async with linked_testbed.call(
        "/read/item", node=node_cuts.CUT_OFF
    ) as response:
        assert response.status == 503


async def test_a_node_that_stood_still_passes_nothing_on(
    linked_testbed: node_testbed.NodeTestbed, monkeypatch: pytest.MonkeyPatch
) -> None:
    await tell_reached(linked_testbed)
    await node_cuts.cut_known(linked_testbed, node_cuts.CUT_OFF)
    for upstream in linked_testbed.plain:
        upstream.arrivals.clear()
    monkeypatch.setattr(peer_relay_server, "MAX_STALL", -peer_relay_server.TICK)
    async with linked_testbed.call(
        "/write/item", node=node_cuts.CUT_OFF
    ) as response:
        assert response.status == 503
    assert not any(upstream.arrivals for upstream in linked_testbed.plain)


async def test_a_node_passes_on_nothing_for_a_while_after_it_stood_still(
    linked_testbed: node_testbed.NodeTestbed,
) -> None:
    await tell_reached(linked_testbed)
    await node_cuts.cut_known(linked_testbed, node_cuts.CUT_OFF)
    for upstream in linked_testbed.plain:
        upstream.arrivals.clear()
    server = node_cuts.get_node(linked_testbed, node_cuts.IN_TOUCH).relay_server
    server.ticked -= 2 * peer_relay_server.MAX_STALL
    server.record_tick()
    async with linked_testbed.call(
        "/write/item", node=node_cuts.CUT_OFF
    ) as response:
        assert response.status == 503
    assert not any(upstream.arrivals for upstream in linked_testbed.plain)
    await asyncio.sleep(1)
    async with linked_testbed.call(
        "/write/item", node=node_cuts.CUT_OFF
    ) as response:
        assert response.status == 200


async def test_streams_broken_off_by_a_cut_are_no_suspects_of_a_crash(
    linked_testbed: node_testbed.NodeTestbed,
) -> None:
    await tell_reached(linked_testbed)
    for engine in linked_testbed.engines:
        engine.events, engine.event_seconds = 100, 0.02
    calls = [
        asyncio.create_task(call(linked_testbed, node_cuts.CUT_OFF, number))
        for number in (2, 3, 6, 7)
    ]
    await node_testbed.wait_until(
        lambda: sum(engine.running for engine in linked_testbed.engines) == 4
    )
    await node_cuts.cut_known(linked_testbed, node_cuts.CUT_OFF)
    await asyncio.gather(*calls)
    await asyncio.sleep(1)
    for number in (node_cuts.CUT_OFF, node_cuts.IN_TOUCH):
        node = node_cuts.get_node(linked_testbed, number)
        assert not node.components.suspects.records


async def test_streams_broken_off_at_all_nodes_are_no_suspects_of_a_crash(
    linked_testbed: node_testbed.NodeTestbed,
) -> None:
    await tell_reached(linked_testbed)
    for engine in linked_testbed.engines:
        engine.events, engine.event_seconds = 100, 0.02
    calls = [
        asyncio.create_task(call(linked_testbed, node, number))
        for node in (node_cuts.IN_TOUCH, node_cuts.CUT_OFF)
        for number in (2, 3, 6, 7)
    ]
    await node_testbed.wait_until(
        lambda: sum(engine.running for engine in linked_testbed.engines) == 8
    )
    for links in linked_testbed.links:
        for link in links.values():
            link.cut(node_links.Cut.RESET)
    await asyncio.gather(*calls)
    await asyncio.sleep(1)
    for number in (node_cuts.IN_TOUCH, node_cuts.CUT_OFF):
        node = node_cuts.get_node(linked_testbed, number)
        assert not node.components.suspects.records


async def test_a_holder_without_links_leaves_the_orders_to_another_node(
    linked_testbed: node_testbed.NodeTestbed,
) -> None:
    holder, other = (
        (0, 1) if node_testbed.can_order(linked_testbed.programs[0]) else (1, 0)
    )
    await send(linked_testbed, 1)
    fence = node_cuts.get_node(linked_testbed, holder).holder_state.fence
    await node_cuts.cut_known(linked_testbed, holder)
    await node_testbed.wait_until(
        lambda: node_testbed.can_order(linked_testbed.programs[other]), 8
    )
    assert not node_testbed.can_order(linked_testbed.programs[holder])
    assert node_cuts.get_node(linked_testbed, other).holder_state.fence > fence
    async with linked_testbed.call(
        "/chat/item",
        node=holder,
        headers={**CHAT, "X-Model": "big/a3"},
    ) as response:
        assert response.status == 200
        await response.read()
    assert any(
        order["holder"] == linked_testbed.programs[other].settings.name
        for engine in linked_testbed.engines
        for order in engine.orders
    )


async def test_a_node_without_links_is_left_out_of_address_answers(
    linked_testbed: node_testbed.NodeTestbed,
) -> None:
    await tell_reached(linked_testbed)
    own = linked_testbed.programs[node_cuts.CUT_OFF].settings.front_address
    assert own in (await linked_testbed.get(2, "/resolve"))[1].decode()
    await node_cuts.cut_known(linked_testbed, node_cuts.CUT_OFF)
    async with asyncio.timeout(2):
        while own in (await linked_testbed.get(2, "/resolve"))[1].decode():
            await asyncio.sleep(0.05)
    for link in linked_testbed.links[node_cuts.CUT_OFF].values():
        await link.open()
    async with asyncio.timeout(3):
        while own not in (await linked_testbed.get(2, "/resolve"))[1].decode():
            await asyncio.sleep(0.05)


async def test_a_stream_cut_behind_another_node_does_not_look_complete(
    linked_testbed: node_testbed.NodeTestbed,
) -> None:
    await tell_reached(linked_testbed)
    await node_cuts.cut_known(linked_testbed, node_cuts.CUT_OFF)
    for engine in linked_testbed.engines:
        engine.cut_after = 3
    async with linked_testbed.call(
        "/chat/item", node=node_cuts.CUT_OFF, headers=CHAT
    ) as response:
        assert response.status == 200
        with pytest.raises(aiohttp.ClientPayloadError):
            await response.read()


async def test_a_stream_cut_behind_another_node_is_resumed_without_a_gap(
    linked_testbed: node_testbed.NodeTestbed,
) -> None:
    for engine in linked_testbed.engines:
        engine.models["big"] = set()
        linked_testbed.register(engine)
    await tell_reached(linked_testbed)
    await node_cuts.cut_known(linked_testbed, node_cuts.CUT_OFF)
    linked_testbed.engines[0].cut_after = 3
    linked_testbed.engines[1].cut_after = 4
    for engine in linked_testbed.engines:
        engine.cuts_resumed = False
    async with linked_testbed.call(
        "/review/item", node=node_cuts.CUT_OFF, headers=CHAT
    ) as response:
        content = await response.read()
    events = content.decode().split("\n\n")[:-1]
    assert [event.split("\n")[0] for event in events] == [
        f"id: {number}" for number in range(1, 6)
    ]


@pytest.mark.parametrize("mode", ["reset", "crossed", "unsigned"])
async def test_a_broken_answer_behind_another_node_reaches_no_caller(
    linked_testbed: node_testbed.NodeTestbed, mode: str
) -> None:
    await tell_reached(linked_testbed)
    await node_cuts.cut_known(linked_testbed, node_cuts.CUT_OFF)
    for upstream in linked_testbed.plain:
        upstream.mode = mode
    async with linked_testbed.call(
        "/write/item", node=node_cuts.CUT_OFF
    ) as response:
        assert response.status == 502


@pytest.mark.parametrize(
    "data", [b"", b"\0", b"\xff" * 9, b"\0\0\0\5hello", b"\0" * 100]
)
async def test_a_malformed_call_of_a_node_is_refused_and_does_no_harm(
    linked_testbed: node_testbed.NodeTestbed, data: bytes
) -> None:
    peer = linked_testbed.programs[node_cuts.IN_TOUCH].settings.peer_address
    async with linked_testbed.session.post(
        f"http://{peer}{peer_relay_messages.RELAY_PATH}", data=data
    ) as response:
        assert response.status == 200
        content = await response.read()
    head = peer_relay_messages.HEADS.decode(
        content[peer_relay_messages.FRAME_LENGTH.size :]
    )
    assert head.is_refused and not head.status
    assert not node_cuts.get_node(
        linked_testbed, node_cuts.IN_TOUCH
    ).relay_server.active


async def test_a_helper_ends_a_stream_at_its_time_limit_by_itself(
    linked_testbed: node_testbed.NodeTestbed,
) -> None:
    engine = linked_testbed.engines[0]
    engine.events = 1000
    peer = linked_testbed.programs[node_cuts.IN_TOUCH].settings.peer_address
    message = peer_relay_messages.RelayedAttempt(
        "r1",
        engine.id,
        engine.born,
        "POST",
        "api.example",
        "/chat/item",
        (
            peer_relay_messages.RelayedHeader("X-Request-Id", "r1"),
            peer_relay_messages.RelayedHeader("X-Model", "big"),
        ),
        300,
        1,
    )
    data = peer_relay_messages.ATTEMPTS.encode(message)
    length = peer_relay_messages.FRAME_LENGTH.pack(len(data))
    async with asyncio.timeout(1):
        async with linked_testbed.session.post(
            f"http://{peer}{peer_relay_messages.RELAY_PATH}", data=length + data
        ) as response:
            with pytest.raises(aiohttp.ClientPayloadError):
                await response.read()
    await node_testbed.wait_until(lambda: not engine.running, seconds=0.5)
