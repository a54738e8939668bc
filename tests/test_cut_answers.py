"""Tests that own calls take no answer that was cut short for a whole one.

The server of each test ends its connection in order within a body that has
neither a length nor chunks, as the kernel does for a process that is killed.
"""

import asyncio
from collections.abc import Awaitable, Callable
import datetime
import json
from typing import Any, Final

import aiohttp
import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import idempotency_keys
from cicadahook.core import retry
from cicadahook.core import store_api
from cicadahook.core import view
from cicadahook.net import attempts
from cicadahook.net import codec
from cicadahook.net import engine_client
from cicadahook.net import entry_metrics
from cicadahook.net import entry_peers
from cicadahook.net import fleet
from cicadahook.net import keyvalue
from cicadahook.net import node_peers
from cicadahook.net import peer_probes
from cicadahook.net import store_relay_messages
from cicadahook.net import stream_resumption
from cicadahook.net import upstream_connections
from cicadahook.platform import metadata_store
from cicadahook.programs import daemon
import node_testbed

SECOND: Final = datetime.timedelta(seconds=1)

# Returns something true only if it takes the answer for a whole one.
Call = Callable[[str, aiohttp.ClientSession], Awaitable[object]]
CALLS: dict[str, tuple[bytes, Call]] = {}


def register(name: str, body: bytes) -> Callable[[Call], Call]:
    """Register a call with the body of a whole answer to it."""

    def add(call: Call) -> Call:
        CALLS[name] = (body, call)
        return call

    return add


def encode(**fields: Any) -> bytes:
    """Return a JSON object."""
    return json.dumps(fields).encode()


@register("call passed to another entry", b"booking 12, 345 pieces")
async def forward(address: str, session: aiohttp.ClientSession) -> object:
    """Forward a call to the entry that owns its key."""
    client = entry_peers.PeerClient(session, "key")
    call = entry_peers.ForwardedCall(
        "POST", "/services/a/b", b"", "text/plain", "k", "r", 5 * SECOND
    )
    owner = idempotency_keys.Owner("vm1", "0" * 16)
    member = view.Member("vm1", address, "", "zone")
    try:
        return await client.forward(call, owner, (member,))
    except errors.RefusalError:
        return None


@register(
    "counters of an entry",
    b"# TYPE cicada_retries counter\n"
    b'cicada_retries_total{node="vm1",reason="cut"} 123\n',
)
async def count(address: str, session: aiohttp.ClientSession) -> object:
    """Read the counters of an entry as a control does."""
    collector = entry_metrics.EntryMetricsCollector(
        "vm1", address, clock_lib.ManualClock(), session
    )
    await collector.describe(1)
    return collector.scrapes


def create_client(
    address: str, session: aiohttp.ClientSession
) -> keyvalue.KeyValueClient:
    """Return a client of the key-value service."""
    return keyvalue.KeyValueClient(address, session)


@register("key", encode(key="k", value="12", revision=123))
async def get_key(address: str, session: aiohttp.ClientSession) -> object:
    """Read a key, as claims and leases do."""
    try:
        return await create_client(address, session).get("k")
    except errors.KeyValueUnavailableError:
        return None


@register("keys", encode(entries=[], revision=123))
async def list_keys(address: str, session: aiohttp.ClientSession) -> object:
    """List keys, as members and tables do."""
    try:
        return await create_client(address, session).list("k")
    except errors.KeyValueUnavailableError:
        return None


@register("write of a key", encode(revision=123))
async def put_key(address: str, session: aiohttp.ClientSession) -> object:
    """Write a key, as claims and leases do."""
    try:
        return await create_client(address, session).put("k", "v", 1)
    except errors.KeyValueUnavailableError:
        return None


@register("lease", encode(lease="lease-123"))
async def grant(address: str, session: aiohttp.ClientSession) -> object:
    """Ask for a lease."""
    try:
        return await create_client(address, session).grant(SECOND)
    except errors.KeyValueUnavailableError:
        return None


@register(
    "state of an engine",
    encode(
        incarnation="i",
        capacity_bytes=12,
        used_bytes=12,
        copies=[],
        state="live",
    ),
)
async def observe(address: str, session: aiohttp.ClientSession) -> object:
    """Ask an engine for its state."""
    try:
        return await engine_client.EngineClient(session).fetch_state(address)
    except errors.UpstreamError:
        return None


@register(
    "list of VMs",
    json.dumps(
        [{"address": "a:1", "zone": "z", "kind": "engine", "service": ""}]
    ).encode(),
)
async def list_vms(address: str, session: aiohttp.ClientSession) -> object:
    """Read the list of VMs; a list that is taken for whole counts as missing.

    The VM that is known must not be dropped.
    """
    watcher = fleet.FleetWatcher(address, session)
    watcher.vms["b:1"] = fleet.ListedVm("b:1", "z", view.UpstreamKind.ENGINE)
    run = asyncio.create_task(watcher.run())
    while not watcher.poll_count:
        await asyncio.sleep(0)
    run.cancel()
    await asyncio.gather(run, return_exceptions=True)
    return watcher.unlisted_reads or len(watcher.vms) > 1


@register("items of the store", encode(items=[], at=123))
async def list_items(address: str, session: aiohttp.ClientSession) -> object:
    """List the items of the platform's store."""
    del session
    store = metadata_store.PlatformStore(address, clock_lib.ManualClock())
    try:
        return await store.list_items("")
    except errors.KeyValueUnavailableError:
        return None
    finally:
        await store.close()


@register("changes of the store", encode(events=[], at=123))
async def watch_store(address: str, session: aiohttp.ClientSession) -> object:
    """Watch the platform's store."""
    del session
    store = metadata_store.PlatformStore(address, clock_lib.ManualClock())
    try:
        return await store.watch("", store_api.Position(1, 1), SECOND)
    except errors.KeyValueUnavailableError:
        return None
    finally:
        await store.close()


@register("write to the store", encode(revision=123))
async def write_store(address: str, session: aiohttp.ClientSession) -> object:
    """Write to the platform's store."""
    del session
    store = metadata_store.PlatformStore(address, clock_lib.ManualClock())
    try:
        return await store.write(store_api.Write(deletes=("key",)))
    except errors.KeyValueUnavailableError:
        return None
    finally:
        await store.close()


@register("lease of the store", encode(lease=123))
async def grant_lease(address: str, session: aiohttp.ClientSession) -> object:
    """Ask the platform's store for a lease."""
    del session
    store = metadata_store.PlatformStore(address, clock_lib.ManualClock())
    try:
        return await store.grant_lease(SECOND)
    except errors.KeyValueUnavailableError:
        return None
    finally:
        await store.close()


@register("stream", b'data: {"id": 1}\n\ndata: [DONE]')
async def stream(address: str, session: aiohttp.ClientSession) -> object:
    """Read the stream of an engine as an entry does."""
    connections = upstream_connections.UpstreamConnections(session)
    caller = attempts.UpstreamCaller(connections, attempts.ProgressMode())
    engine = view.Upstream(address, "z", view.UpstreamKind.ENGINE)
    attempt = attempts.Attempt("a1", engine, "/x", {}, SECOND)
    try:
        return [chunk async for chunk in caller.stream(attempt)]
    except attempts.AttemptError as error:
        assert error.reason is retry.Reason.CUT
        return None
    finally:
        await connections.close()


@pytest.mark.parametrize("name", CALLS)
async def test_an_own_call_takes_no_cut_answer_for_a_whole_one(
    name: str,
) -> None:
    whole, call = CALLS[name]
    size = 0
    field = ""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        _, _, fields = head.lower().partition(b"content-length: ")
        await reader.readexactly(int(fields.partition(b"\r\n")[0] or b"0"))
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            + field.encode()
            + b"\r\n"
            + whole[:size]
        )
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, node_testbed.HOST, 0)
    address = f"{node_testbed.HOST}:{server.sockets[0].getsockname()[1]}"
    believed = []
    async with server, daemon.create_call_session() as session:
        for size in range(len(whole)):
            if await call(address, session):
                believed.append(whole[:size])
        size = len(whole)
        field = f"Content-Length: {size}\r\n"
        assert await call(address, session)
    assert not believed


@pytest.mark.parametrize(
    ("decode", "whole"),
    (
        (
            node_peers.COPY_ANSWERS.decode,
            node_peers.COPY_ANSWERS.encode(node_peers.CopyAnswer("i-12345")),
        ),
        (
            stream_resumption.ORIGIN_ANSWERS.decode,
            stream_resumption.ORIGIN_ANSWERS.encode(
                stream_resumption.OriginAnswer(True, "v12345")
            ),
        ),
        (
            peer_probes.PROBE_ANSWERS.decode,
            peer_probes.PROBE_ANSWERS.encode(peer_probes.ProbeAnswer(True)),
        ),
        (
            store_relay_messages.decode,
            store_relay_messages.encode(
                store_relay_messages.FollowAnswer(revision=12345)
            ),
        ),
    ),
)
def test_no_begin_of_an_answer_between_nodes_is_an_answer(
    decode: Callable[[bytes], object], whole: bytes
) -> None:
    assert decode(whole)
    for size in range(len(whole)):
        with pytest.raises((codec.DecodeError, ValueError)):
            decode(whole[:size])
