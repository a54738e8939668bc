"""Stand-in for the platform's key-value service.

It keeps its keys in memory and limits the rates of reads and writes.
"""

import asyncio
import dataclasses
import itertools
import time
from typing import Any, Final

from aiohttp import web

from cicadahook.standins import faults

VALUE_LIMIT_BYTES: Final = 1024 * 1024
LEASE_CHECK_SECONDS: Final = 0.1
RATE_WINDOW_SECONDS: Final = 1.0


@dataclasses.dataclass(frozen=True)
class KeyValueMode:
    """Limits of the service.

    Attributes:
        reads_per_second: reads allowed per second; 0 is no limit.
        writes_per_second: writes allowed per second; 0 is no limit.
    """

    reads_per_second: int = 2000
    writes_per_second: int = 300


@dataclasses.dataclass(frozen=True)
class KeyValueFaults(faults.Faults):
    """Faults of the service in addition to the common ones.

    Attributes:
        silent_watches: watches are never answered; other calls are.
        lose_write_replies: number of writes that take effect and whose answer
            is dropped.
    """

    silent_watches: bool = False
    lose_write_replies: int = 0


@dataclasses.dataclass
class Item:
    """A stored key.

    Attributes:
        value: the value; None if the key was removed.
        revision: revision of the service at the last write or removal.
        lease: lease that the key belongs to; empty for none.
    """

    value: str | None
    revision: int
    lease: str = ""


@dataclasses.dataclass
class Lease:
    """A lease, whose keys are removed when it lapses.

    Attributes:
        ttl_seconds: time to live from each renewal, in seconds.
        expires_at_seconds: time at which it lapses, on the monotonic clock.
    """

    ttl_seconds: float
    expires_at_seconds: float


class KeyValueStandin:
    """Serves compare-and-swap, leases and watches over HTTP.

    Attributes:
        mode: limits.
        items: stored and removed keys.
        leases: leases that have not lapsed.
        revision: number of writes and removals so far.
        lease_numbers: source of the names of leases.
        changed: set, and replaced by a new event, at each write.
        faults: faults in force.
        window_start: start of the current rate window, in seconds of the
            monotonic clock.
        window_reads: reads in the current rate window.
        window_writes: writes in the current rate window.
        reads: reads so far, refused ones included.
        writes: writes so far, refused ones included.
    """

    def __init__(self, mode: KeyValueMode = KeyValueMode()) -> None:
        self.mode = mode
        self.items: dict[str, Item] = {}
        self.leases: dict[str, Lease] = {}
        self.revision = 0
        self.lease_numbers = itertools.count(1)
        self.changed = asyncio.Event()
        self.faults = faults.FaultControl(KeyValueFaults())
        self.window_start = 0.0
        self.window_reads = 0
        self.window_writes = 0
        self.reads = 0
        self.writes = 0

    def create_app(self) -> web.Application:
        """Return the application that serves the protocol."""
        app = web.Application(client_max_size=2 * VALUE_LIMIT_BYTES)
        self.faults.install(app)
        app.middlewares.append(self.rate_middleware)
        app.middlewares.append(self.lost_write_middleware)
        app.router.add_get("/v1/keys", self.list_keys)
        app.router.add_get("/v1/keys/{key:.+}", self.get_key)
        app.router.add_put("/v1/keys/{key:.+}", self.put_key)
        app.router.add_delete("/v1/keys/{key:.+}", self.delete_key)
        app.router.add_get("/v1/watch", self.watch)
        app.router.add_post("/v1/leases", self.grant_lease)
        app.router.add_put("/v1/leases/{lease}", self.renew_lease)
        app.router.add_delete("/v1/leases/{lease}", self.revoke_lease)
        app.router.add_get("/calls", self.get_calls)
        app.cleanup_ctx.append(self._run_lease_expiry)
        return app

    @web.middleware
    async def rate_middleware(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Refuse calls of the protocol beyond the allowed rates."""
        is_protocol = request.path.startswith("/v1/")
        if is_protocol and not self._admit_call(request.method == "GET"):
            raise web.HTTPTooManyRequests(text="call rate exceeded")
        response: web.StreamResponse = await handler(request)
        return response

    @web.middleware
    async def lost_write_middleware(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Drop the answers of `lose_write_replies` writes that took effect."""
        response: web.StreamResponse = await handler(request)
        remaining = self.faults.faults.lose_write_replies
        is_write = request.method != "GET" and request.path != "/faults"
        if is_write and remaining > 0:
            self.faults.faults = dataclasses.replace(
                self.faults.faults, lose_write_replies=remaining - 1
            )
            faults.drop_connection(request)
        return response

    def _admit_call(self, is_read: bool) -> bool:
        """Count a call; return whether it is within the allowed rate."""
        now = time.monotonic()
        if now - self.window_start >= RATE_WINDOW_SECONDS:
            self.window_start = now
            self.window_reads = 0
            self.window_writes = 0
        if is_read:
            self.reads += 1
            self.window_reads += 1
            limit, count = self.mode.reads_per_second, self.window_reads
        else:
            self.writes += 1
            self.window_writes += 1
            limit, count = self.mode.writes_per_second, self.window_writes
        return not limit or count <= limit

    async def get_calls(self, request: web.Request) -> web.Response:
        """Return the number of reads and writes so far."""
        del request
        return web.json_response({"reads": self.reads, "writes": self.writes})

    async def list_keys(self, request: web.Request) -> web.Response:
        """Return all keys under a prefix with their values."""
        return self._items_response(request.query.get("prefix", ""), 0, True)

    async def get_key(self, request: web.Request) -> web.Response:
        """Return one key, or 404 if it is absent."""
        key = request.match_info["key"]
        item = self.items.get(key)
        if item is None or item.value is None:
            return web.json_response({"error": "absent"}, status=404)
        return web.json_response(_describe(key, item))

    async def put_key(self, request: web.Request) -> web.Response:
        """Write a key if its revision is the expected one, else 409."""
        body = await request.json()
        key = request.match_info["key"]
        value = str(body["value"])
        if len(value.encode()) > VALUE_LIMIT_BYTES:
            raise web.HTTPRequestEntityTooLarge(
                VALUE_LIMIT_BYTES, len(value.encode())
            )
        expected = body.get("expected_revision")
        if expected is not None and expected != self._live_revision(key):
            return web.json_response({"error": "conflict"}, status=409)
        lease = str(body.get("lease", ""))
        if lease and lease not in self.leases:
            return web.json_response({"error": "lease lapsed"}, status=409)
        self._write(key, value, lease)
        return web.json_response({"revision": self.revision})

    async def delete_key(self, request: web.Request) -> web.Response:
        """Remove a key if its revision is the expected one, else 409."""
        key = request.match_info["key"]
        expected = request.query.get("expected_revision")
        if expected is not None and int(expected) != self._live_revision(key):
            return web.json_response({"error": "conflict"}, status=409)
        if self._live_revision(key):
            self._write(key, None, "")
        return web.json_response({"revision": self.revision})

    async def watch(self, request: web.Request) -> web.Response:
        """Return changes under a prefix; wait up to `wait_seconds` for one."""
        if self.faults.faults.silent_watches:
            await asyncio.Event().wait()
        prefix = request.query.get("prefix", "")
        after_revision = int(request.query.get("after", "0"))
        deadline = time.monotonic() + float(
            request.query.get("wait_seconds", "0")
        )
        while not self._has_changes(prefix, after_revision):
            remaining_seconds = deadline - time.monotonic()
            if remaining_seconds <= 0:
                break
            # asyncio.wait_for in Python 3.11 swallows a cancellation that
            # arrives together with the event, and the watch of a caller that
            # has disconnected would go on.
            try:
                async with asyncio.timeout(remaining_seconds):
                    await self.changed.wait()
            except TimeoutError:
                break
        return self._items_response(prefix, after_revision, False)

    async def grant_lease(self, request: web.Request) -> web.Response:
        """Create a lease and return its name."""
        ttl = float((await request.json())["ttl_seconds"])
        lease = f"lease-{next(self.lease_numbers)}"
        self.leases[lease] = Lease(ttl, time.monotonic() + ttl)
        return web.json_response({"lease": lease})

    async def renew_lease(self, request: web.Request) -> web.Response:
        """Renew a lease, or answer 404 if it has lapsed."""
        lease = self.leases.get(request.match_info["lease"])
        if lease is None:
            return web.json_response({"error": "lapsed"}, status=404)
        lease.expires_at_seconds = time.monotonic() + lease.ttl_seconds
        return web.json_response({})

    async def revoke_lease(self, request: web.Request) -> web.Response:
        """Revoke a lease and remove its keys."""
        self._end_lease(request.match_info["lease"])
        return web.json_response({})

    def _live_revision(self, key: str) -> int:
        """Return the revision of `key`, or 0 if it is absent."""
        item = self.items.get(key)
        return item.revision if item and item.value is not None else 0

    def _write(self, key: str, value: str | None, lease: str) -> None:
        """Store `value`, None for a removal, and wake all watches."""
        self.revision += 1
        self.items[key] = Item(value, self.revision, lease)
        self.changed.set()
        self.changed = asyncio.Event()

    def _has_changes(self, prefix: str, after_revision: int) -> bool:
        return any(
            key.startswith(prefix) and item.revision > after_revision
            for key, item in self.items.items()
        )

    def _items_response(
        self, prefix: str, after_revision: int, omits_removed: bool
    ) -> web.Response:
        """Return the items under `prefix` newer than `after_revision`."""
        entries = [
            _describe(key, item)
            for key, item in sorted(self.items.items())
            if key.startswith(prefix)
            and item.revision > after_revision
            and not (omits_removed and item.value is None)
        ]
        return web.json_response(
            {"entries": entries, "revision": self.revision}
        )

    def _end_lease(self, lease: str) -> None:
        """Remove a lease and its keys."""
        self.leases.pop(lease, None)
        lease_keys = [
            key for key, item in self.items.items() if item.lease == lease
        ]
        for key in lease_keys:
            self._write(key, None, "")

    async def _run_lease_expiry(self, app: web.Application) -> Any:
        """Expire lapsed leases in a task that lives as long as the app."""
        del app
        task = asyncio.create_task(self._expire_leases())
        yield
        task.cancel()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_SECONDS)
            now = time.monotonic()
            for name, lease in list(self.leases.items()):
                if lease.expires_at_seconds < now:
                    self._end_lease(name)


def _describe(key: str, item: Item) -> dict[str, Any]:
    """Return the JSON form of an item; a removed one has revision 0."""
    revision = item.revision if item.value is not None else 0
    return {"key": key, "value": item.value or "", "revision": revision}
