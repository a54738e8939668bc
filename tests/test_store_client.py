"""Tests of the client of the platform's store: connections and rejections."""

from collections.abc import AsyncIterator
import datetime
from typing import Any

from aiohttp import web
import pytest
import pytest_asyncio

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import store_api
from cicadahook.platform import caller_server
from cicadahook.platform import metadata_store

HOST = "127.0.0.1"


class Server:
    """A store without items.

    Attributes:
        status: status of its answers.
        connections: the connections on which calls came.
    """

    def __init__(self) -> None:
        self.status = 200
        self.connections: list[Any] = []

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one call."""
        self.connections.append(request.transport)
        return web.json_response(
            {"items": [], "events": [], "at": 1}, status=self.status
        )


@pytest.fixture(name="server")
def create_server() -> Server:
    """Return the store."""
    return Server()


@pytest_asyncio.fixture(name="store")
async def open_store(
    server: Server, unused_port: int, clock: clock_lib.ManualClock
) -> AsyncIterator[metadata_store.PlatformStore]:
    """Open a client of the store."""
    async with caller_server.listen(
        web.Server(server.handle), HOST, unused_port
    ):
        store = metadata_store.PlatformStore(f"{HOST}:{unused_port}", clock)
        yield store
        await store.close()


async def test_a_call_may_avoid_kept_connections(
    server: Server, store: metadata_store.PlatformStore
) -> None:
    for is_fresh in (False, False, True, True):
        await store.list_items("", is_fresh=is_fresh)
        await store.watch(
            "",
            store_api.Position(1, 1),
            datetime.timedelta(),
            is_fresh=is_fresh,
        )
    kept, fresh = server.connections[:4], server.connections[4:]
    assert len(set(kept)) == 1
    assert len(set(fresh)) == len(fresh) == 4
    assert not set(kept) & set(fresh)


@pytest.mark.parametrize("status", [429, 500, 503])
async def test_a_rejection_is_no_sign_that_the_store_serves_this_node(
    server: Server,
    store: metadata_store.PlatformStore,
    clock: clock_lib.ManualClock,
    status: int,
) -> None:
    clock.advance(datetime.timedelta(seconds=10))
    server.status = status
    with pytest.raises(errors.KeyValueRejectedError):
        await store.list_items("")
    assert store.contact.is_lost()
    server.status = 200
    await store.list_items("")
    assert not store.contact.is_lost()
