"""Tests that nodes know callers by their keys and tell upstreams the tenant."""

import asyncio
from collections.abc import AsyncIterator
import logging
import random
from typing import Any

from aiohttp import web
import pytest
import pytest_asyncio

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import inventory
from cicadahook.core import kept_connections
from cicadahook.core import reachability
from cicadahook.core import roster
from cicadahook.net import peer_relay_client
from cicadahook.net import peer_relay_messages
from cicadahook.net import status_codec
from cicadahook.platform import caller_server
import node_links
import node_testbed
import node_upstreams

KEY = "farm-key-1"
OTHER_KEY = "town-key-1"
FARM = {"name": "farm", "api_keys": [KEY], "priority": 0}
TOWN = {"name": "town", "api_keys": [OTHER_KEY]}
CHAT = {"X-Model": "big", "X-Token-Counts": "100,20"}


def create_configuration(version: int, *tenants: Any) -> dict[str, Any]:
    """Return a configuration with tenants and an anonymous route."""
    configuration = node_testbed.create_configuration(version)
    configuration["routes"].append(
        {
            **configuration["routes"][0],
            "name": "open",
            "path_prefix": "/open/",
            "anonymous_access": True,
        }
    )
    return {**configuration, "tenants": list(tenants)}


async def apply(
    fleet: node_testbed.NodeTestbed, version: int, *tenants: Any
) -> None:
    """Write a configuration and wait until all nodes have it."""
    fleet.store.put("op/config", create_configuration(version, *tenants))
    await node_testbed.wait_until(
        lambda: all(
            program.node is not None
            and program.node.forwarder.configuration is not None
            and program.node.forwarder.configuration.version == version
            for program in fleet.programs
        )
    )


@pytest_asyncio.fixture(name="fleet")
async def open_fleet(
    linked_testbed: node_testbed.NodeTestbed,
) -> node_testbed.NodeTestbed:
    """Two nodes with two tenants."""
    await apply(linked_testbed, 2, FARM, TOWN)
    return linked_testbed


def list_arrivals(
    fleet: node_testbed.NodeTestbed,
) -> list[node_upstreams.Arrival]:
    """Return all requests that upstreams have received."""
    return [
        arrival
        for upstream in (*fleet.plain, *fleet.engines)
        for arrival in upstream.arrivals
        if arrival.id
    ]


async def get_status(
    fleet: node_testbed.NodeTestbed,
    path: str,
    headers: dict[str, str],
    node: int = 0,
) -> int:
    """Return the status of the answer to a request."""
    async with fleet.call(path, node, headers=headers) as response:
        await response.read()
        return response.status


async def test_upstreams_are_told_the_tenant_and_never_the_key(
    fleet: node_testbed.NodeTestbed,
) -> None:
    forged = {"X-Key": KEY, "X-Tenant": "town", "x-tenant": "town"}
    for path, more in (("/read/a", {}), ("/chat/a", CHAT)):
        assert await get_status(fleet, path, {**forged, **more}) == 200
    arrivals = list_arrivals(fleet)
    assert len(arrivals) == 2
    for arrival in arrivals:
        assert arrival.headers.getall("X-Tenant") == ["farm"]
        assert KEY not in str(arrival.headers)
    # The tenant's priority stands before that of the route, which is 1.
    assert arrivals[1].headers["X-Request-Priority"] == "0"


async def test_unknown_keys_are_refused_before_their_body_has_come(
    fleet: node_testbed.NodeTestbed,
) -> None:
    async def send_without_end() -> AsyncIterator[bytes]:
        yield b"begun"
        await asyncio.sleep(3600)

    for headers in ({}, {"X-Key": "guess"}, {"X-Tenant": "farm"}):
        async with (
            asyncio.timeout(5),
            fleet.call(
                "/write/a", headers=headers, data=send_without_end()
            ) as response,
        ):
            assert response.status == 401
    async with fleet.session.post(
        f"http://{fleet.programs[0].settings.front_address}/read/a",
        headers=[("Host", "api.example"), ("X-Key", KEY), ("X-Key", OTHER_KEY)],
    ) as response:
        assert response.status == 401
    assert await get_status(fleet, "/missing/a", {}) == 404
    assert not list_arrivals(fleet)


async def test_anonymous_routes_tell_no_claimed_tenant(
    fleet: node_testbed.NodeTestbed,
) -> None:
    claimed = {"X-Tenant": "farm", "X-Key": "guess"}
    assert await get_status(fleet, "/open/a", claimed) == 200
    (arrival,) = list_arrivals(fleet)
    assert "X-Tenant" not in arrival.headers
    assert "X-Key" not in arrival.headers


async def test_keys_that_move_or_go_are_followed_on_kept_connections(
    fleet: node_testbed.NodeTestbed,
) -> None:
    mine = {"X-Key": KEY}
    assert await get_status(fleet, "/read/a", mine) == 200
    await apply(fleet, 3, {"name": "farm"}, {**TOWN, "api_keys": [KEY]})
    assert await get_status(fleet, "/read/a", mine) == 200
    assert await get_status(fleet, "/read/a", {"X-Key": OTHER_KEY}) == 401
    await apply(fleet, 4, {"name": "farm"}, {**TOWN, "api_keys": ["x"]})
    assert await get_status(fleet, "/read/a", mine) == 401
    told = [arrival.headers["X-Tenant"] for arrival in list_arrivals(fleet)]
    assert told == ["farm", "town"]
    await apply(fleet, 5)
    assert await get_status(fleet, "/read/a", mine) == 200
    # Without tenants the headers are the caller's own, as before.
    assert list_arrivals(fleet)[-1].headers.get("X-Key") == KEY


async def test_a_key_withdrawn_while_the_body_comes_lets_nothing_run(
    fleet: node_testbed.NodeTestbed,
) -> None:
    withdrawn = asyncio.Event()

    async def send_slowly() -> AsyncIterator[bytes]:
        yield b"begun"
        await withdrawn.wait()
        yield b"ended"

    async def call() -> int:
        async with fleet.call(
            "/write/a", headers={"X-Key": KEY}, data=send_slowly()
        ) as response:
            return response.status

    task = asyncio.create_task(call())
    await asyncio.sleep(0.1)
    await apply(fleet, 3, TOWN)
    withdrawn.set()
    assert await task == 401
    assert not list_arrivals(fleet)


@pytest.mark.parametrize(
    ("later", "expected"),
    [
        ((TOWN,), 401),
        (({"name": "farm"}, {**TOWN, "api_keys": [KEY]}), 503),
        ((), 503),
        (({**FARM, "priority": 3}, TOWN), 200),
        ((TOWN, FARM), 200),
    ],
)
async def test_keys_are_checked_again_when_the_wait_for_a_copy_ends(
    fleet: node_testbed.NodeTestbed,
    later: tuple[Any, ...],
    expected: int,
) -> None:
    """Upstreams were told a tenant whose key had been withdrawn."""
    node = fleet.programs[0].node
    assert node is not None
    forwarder = node.forwarder
    select = forwarder._select  # pylint: disable=protected-access
    is_waiting, is_applied = asyncio.Event(), asyncio.Event()

    async def select_later(active: Any) -> Any:
        is_waiting.set()
        await is_applied.wait()
        return await select(active)

    setattr(forwarder, "_select", select_later)
    task = asyncio.create_task(
        get_status(fleet, "/chat/a", {"X-Key": KEY, **CHAT})
    )
    await is_waiting.wait()
    await apply(fleet, 3, *later)
    is_applied.set()
    assert await task == expected
    told = [each.headers["X-Tenant"] for each in list_arrivals(fleet)]
    assert told == (["farm"] if expected == 200 else [])


async def test_a_request_by_way_of_another_node_keeps_its_tenant(
    fleet: node_testbed.NodeTestbed,
) -> None:
    for link in fleet.links[0].values():
        link.cut(node_links.Cut.RESET)
    # The first requests show that the links of one node are cut, and those of
    # the other are not.
    async with asyncio.timeout(20):
        while await get_status(fleet, "/read/a", {"X-Key": KEY}) != 200:
            await get_status(fleet, "/open/a", {}, node=1)
    arrivals = [each for each in list_arrivals(fleet) if each.path == "/read/a"]
    assert arrivals
    for arrival in arrivals:
        assert arrival.headers["X-Tenant"] == "farm"
        assert KEY not in str(arrival.headers)


async def test_a_stranger_may_not_name_a_tenant_to_the_relay(
    fleet: node_testbed.NodeTestbed,
) -> None:
    node = fleet.programs[0].node
    assert node is not None
    # All hosts of the testbed are one; without peers the caller is a stranger.
    node.roster.registered.clear()
    node.roster.statuses.clear()
    peer = fleet.programs[0].settings.peer_address
    async with fleet.session.post(
        f"http://{peer}{peer_relay_messages.RELAY_PATH}", data=b"any"
    ) as response:
        assert response.status == 403


async def test_relayed_requests_come_from_the_registered_address() -> None:
    """A node with two addresses was refused as a stranger."""
    senders = []

    async def is_gone(instance: inventory.Instance) -> bool:
        del instance
        return False

    async def record(request: web.BaseRequest) -> web.Response:
        senders.append(request.remote)
        return web.Response()

    clock = clock_lib.ManualClock()
    own = roster.NodeRecord("n0", "zone", "region", "", "127.0.0.2:1", 1)
    client = peer_relay_client.RelayClient(
        reachability.Reachability(
            random.Random(1), kept_connections.KeptConnections("n0")
        ),
        roster.Roster(own),
        clock,
        is_gone,
    )
    async with caller_server.listen(
        web.Server(record), node_testbed.HOST, 0
    ) as listener:
        port = listener.sockets[0].getsockname()[1]
        async with client.session.post(f"http://{node_testbed.HOST}:{port}"):
            pass
        await client.close()
    assert senders == ["127.0.0.2"]


async def test_no_key_is_logged_or_told_to_other_nodes(
    fleet: node_testbed.NodeTestbed, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.DEBUG)
    await apply(fleet, 3, FARM, TOWN, {"name": 5, "api_keys": ["odd-key"]})
    for key in (KEY, "wrong-key"):
        for path in ("/read/a", "/chat/a", "/open/a"):
            await get_status(fleet, path, {"X-Key": key, **CHAT})
    lines = [str(vars(record)) for record in caplog.records]
    assert any("Malformed tenants" in line for line in lines)
    for program in fleet.programs:
        assert program.node is not None
        status = program.node.reporter.create()
        for is_compact in (True, False):
            data = status_codec.encode(status, is_compact=is_compact)
            lines.append(str(status_codec.decode(data)))
    for secret in (KEY, OTHER_KEY, "wrong-key", "odd-key"):
        assert not [line for line in lines if secret in line]


async def test_a_node_told_by_an_older_build_refuses_no_key_for_good(
    fleet: node_testbed.NodeTestbed,
) -> None:
    """A picture of unknown age counted as a new one."""
    node = fleet.programs[0].node
    assert node is not None and node.components.inventory.age is not None
    node.components.inventory.age.confirmed = None
    with pytest.raises(errors.RefusalError) as refusal:
        node.forwarder.admission.authenticate("api.example", "/read/a", "d")
    assert refusal.value.status == 503


HEAD = b"POST /write/a HTTP/1.1\r\nHost: api.example\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n"
KEY_LINE = f"X-Key: {KEY}".encode()


@pytest.mark.parametrize(
    "parts",
    [
        (HEAD + KEY_LINE + b"\x01\r\n\r\n",),
        (HEAD + KEY_LINE.replace(b":", b" :") + b"\r\n\r\n",),
        (HEAD + KEY_LINE + b"x" * 70_000 + b"\r\n\r\n",),
        (KEY_LINE + b"\r\n\r\n",),
        (CHUNKED + KEY_LINE + b"\r\n\r\n", KEY_LINE + b"\r\n\r\n"),
        (
            CHUNKED + KEY_LINE + b"\r\n\r\n",
            b"1\r\na\r\n0\r\n" + KEY_LINE + b"\x01\r\n\r\n",
        ),
        # Refused at its head, so that nobody reads the body.
        (
            CHUNKED + b"X-Key: guess\r\n\r\n",
            b"1\r\na\r\n",
            KEY_LINE + b"\x01\r\n\r\n",
        ),
    ],
)
async def test_malformed_requests_are_not_quoted(
    fleet: node_testbed.NodeTestbed,
    caplog: pytest.LogCaptureFixture,
    parts: tuple[bytes, ...],
) -> None:
    """The key stood in the answer and in a traceback in the log."""
    caplog.set_level(logging.DEBUG)
    host, port = fleet.programs[0].settings.front_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for part in parts:
        writer.write(part)
        await asyncio.sleep(0.1)
    async with asyncio.timeout(5):
        answer = await reader.readuntil(b"\r\n\r\n")
        answer += await reader.read(4096)
    writer.close()
    assert answer.startswith((b"HTTP/1.0 4", b"HTTP/1.1 4"))
    lines = [logging.Formatter().format(each) for each in caplog.records]
    lines += [str(vars(each)) for each in caplog.records]
    for text in (*lines, answer.decode()):
        assert KEY not in text


async def test_malformed_requests_are_quoted_where_there_are_no_keys(
    linked_testbed: node_testbed.NodeTestbed,
) -> None:
    """Answers without tenants stay as they were."""
    settings = linked_testbed.programs[0].settings
    host, port = settings.front_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(HEAD + b"X-Other: value\x01\r\n\r\n")
    async with asyncio.timeout(5):
        answer = await reader.read()
    writer.close()
    assert b"X-Other: value" in answer
