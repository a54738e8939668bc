"""Own calls of nodes and entries keep little of answers that have no end."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import gzip
import tracemalloc

import aiohttp
import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import engine_orders
from cicadahook.core import errors
from cicadahook.core import inventory
from cicadahook.core import roster
from cicadahook.core import residency
from cicadahook.net import answer_protocol
from cicadahook.net import engine_client
from cicadahook.net import node_peers
from cicadahook.net import service_connections
from cicadahook.net import upstream_pools
from cicadahook.platform import metadata_store
from cicadahook.platform import upstream_client
from cicadahook.programs import daemon
import node_testbed

BLOCK = b"x" * 65_536
# Buffers of the two sockets, in flight beyond the bounds.
BUFFER_BYTES = 16 * 1024 * 1024
EXPANDED_BYTES = 128 * 1024 * 1024
# What the server sends first, and what it repeats.
ENDLESS = {
    "body to the end of the connection": (b"\r\n", BLOCK),
    "body of a huge stated length": (
        b"Content-Length: 99999999999\r\n\r\n",
        BLOCK,
    ),
    "body in chunks": (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + BLOCK + b"\r\n",
    ),
    "body in one chunk": (
        b"Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n",
        BLOCK,
    ),
    "trailers": (
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-A: a\r\n" * 99,
    ),
    "fields": (b"", b"X-A: a\r\n" * 99),
    "one field": (b"X-A: ", BLOCK),
}

Call = Callable[[str], Awaitable[object]]
CALLS: dict[str, tuple[int, Call]] = {}


def register(name: str, limit: int) -> Callable[[Call], Call]:
    """Register a call with the bytes of an answer that it may keep."""

    def add(call: Call) -> Call:
        CALLS[name] = (limit, call)
        return call

    return add


def create_instance(address: str) -> inventory.Instance:
    """Return an engine at an address."""
    return inventory.Instance("e1", "engines", address, "zone", 8)


@register("report", upstream_pools.MAX_REPORT_BYTES)
async def fetch_report(address: str) -> object:
    """Ask an engine for its report."""
    client = upstream_client.UpstreamClient(clock_lib.ManualClock())
    try:
        return await client.fetch_report(create_instance(address))
    finally:
        await client.close()


@register("order", upstream_pools.MAX_REPORT_BYTES)
async def send_order(address: str) -> object:
    """Send an order to an engine."""
    client = upstream_client.UpstreamClient(clock_lib.ManualClock())
    order = engine_orders.Order(
        engine_orders.Operation.LOAD, "m", "", "holder", 1, 0
    )
    try:
        result = await client.send_order(create_instance(address), order)
    finally:
        await client.close()
    return result is not engine_orders.OrderResult.UNKNOWN


@register("store", answer_protocol.MAX_BODY_BYTES)
async def read_store(address: str) -> object:
    """List the items of the store."""
    store = metadata_store.PlatformStore(address, clock_lib.ManualClock())
    try:
        return await store.list_items("")
    except errors.KeyValueUnavailableError:
        return None
    finally:
        await store.close()


@register("another node", answer_protocol.MAX_BODY_BYTES)
async def ask_for_copy(address: str) -> object:
    """Ask the holder of orders for a copy."""
    client = node_peers.CopyClient()
    holder = roster.NodeRecord("n1", "zone", "region", address, address, 1)
    key = residency.CopyKey("", "m")
    try:
        return await client.ask(holder, "engines", key, frozenset(), "")
    finally:
        await client.close()


@register("control", answer_protocol.MAX_BODY_BYTES)
async def observe_engine(address: str) -> object:
    """Ask an engine for its state as a control does."""
    async with daemon.create_call_session() as session:
        client = engine_client.EngineClient(session)
        try:
            return await client.fetch_state(address)
        except errors.UpstreamError:
            return None


@register("plain service of an entry", answer_protocol.MAX_BODY_BYTES)
async def call_service(address: str) -> object:
    """Call a plain service as an entry does."""
    connections = service_connections.ServiceConnections(
        clock_lib.ManualClock(), "entry"
    )
    try:
        async with connections.calls.get(f"http://{address}/") as response:
            return await connections.read(response, address, "r1")
    except aiohttp.ClientError:
        return None
    finally:
        await connections.close()


@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize("name", CALLS)
async def test_an_answer_without_end_is_given_up(name: str, kind: str) -> None:
    """Guards against answers that are kept until memory ends the process."""
    limit, call = CALLS[name]
    first, repeated = ENDLESS[kind]
    sent = 0

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal sent
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n" + first)
            while sent <= limit + BUFFER_BYTES:
                writer.write(repeated)
                await writer.drain()
                sent += len(repeated)
            await asyncio.Event().wait()

    server = await asyncio.start_server(serve, node_testbed.HOST, 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        async with asyncio.timeout(10):
            assert not await call(f"{node_testbed.HOST}:{port}")
    assert sent <= limit + BUFFER_BYTES


@pytest.mark.parametrize("name", CALLS)
async def test_a_compressed_answer_is_not_expanded(name: str) -> None:
    """Guards against a small answer that expands to all memory."""
    _, call = CALLS[name]
    body = gzip.compress(bytes(EXPANDED_BYTES))
    request = b""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal request
        request = await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body) + body
        )
        await asyncio.Event().wait()

    server = await asyncio.start_server(serve, node_testbed.HOST, 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        tracemalloc.start()
        assert not await call(f"{node_testbed.HOST}:{port}")
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    assert peak < EXPANDED_BYTES / 4
    assert b"Accept-Encoding: identity\r\n" in request
