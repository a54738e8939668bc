"""Stand-in of the platform's store: keys, revisions, leases, watches, copies.

It behaves as the page on the store says. `take_copy` and `come_back` play the
drill in which the store is away for a moment and returns from a copy.
"""

import asyncio
import base64
import copy
import json
import random
import time

from aiohttp import web

PAGE = 500


class Store:
    """The store.

    Attributes:
        era: value of `Store-Era`.
        is_away: whether it refuses all work.
        cut: names of the nodes that are cut off: they get no answer.
        longest_wait: range in s of the time after which a waiting watch is cut;
            None if none is cut.
        cut_count: number of watches that were cut.
    """

    def __init__(self):
        self.items = {}
        self.log = []
        self.revision = 1
        self.leases = {}  # id: [length in s, end on the monotonic clock]
        self.next_lease = 100
        self.era = 1
        self.is_away = False
        self.cut = set()
        self.changed = asyncio.Event()
        self.longest_wait = None
        self.cut_count = 0
        self.servers = []

    async def listen(self, host, port, name=""):
        """Accept calls at one address, those of the node `name` if given."""

        async def handle(request):
            return await self.handle(request, name)

        server = web.Server(handle, handler_cancellation=True, access_log=None)
        self.servers.append(server)
        return await asyncio.get_running_loop().create_server(
            server, host, port, reuse_address=True
        )

    async def expire(self):
        """End leases that ran out, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            if self.is_away:
                continue
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[1] <= now]:
                self.end_lease(lease)

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, puts, deletes=()):
        """Apply one change; return its revision."""
        self.revision += 1
        for key, value, lease in puts:
            known = self.items.get(key)
            self.items[key] = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": known["created"] if known else self.revision,
                "lease": lease,
            }
            self.log.append(self.items[key])
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.log.append(
                    {"key": key, "revision": self.revision, "deleted": True}
                )
        self._wake()
        return self.revision

    def put(self, key, fields):
        """Write as the operator or a worker, unless the store is away."""
        if self.is_away:
            return None
        return self.write([(key, json.dumps(fields).encode(), 0)])

    def read(self, key):
        """Return the decoded value of a key, or None."""
        item = self.items.get(key)
        if item is None:
            return None
        value = base64.b64decode(item["value"])
        try:
            return json.loads(value)
        except ValueError:
            return value.decode()

    def delete(self, key):
        if not self.is_away and key in self.items:
            self.write([], [key])

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, v in self.items.items() if v["lease"] == lease]
        if keys:
            self.write([], keys)

    def take_copy(self):
        """Return a copy of all that the store holds now."""
        now = time.monotonic()
        left = {k: (v[0], v[1] - now) for k, v in self.leases.items()}
        return copy.deepcopy((self.items, self.log, self.revision, left))

    def go_away(self):
        """Break off all calls and refuse new ones."""
        self.is_away = True
        for server in self.servers:
            for connection in list(server.connections):
                if connection.transport is not None:
                    connection.transport.abort()

    def come_back(self, saved):
        """Return from a copy; what was written since then is gone."""
        items, log, revision, left = copy.deepcopy(saved)
        self.items, self.log, self.revision = items, log, revision
        now = time.monotonic()
        self.leases = {k: [v[0], now + v[1]] for k, v in left.items()}
        self.era += 1
        self.is_away = False
        self._wake()

    async def handle(self, request, name=""):
        if self.is_away:
            request.transport.abort()
            return web.Response()
        asked = time.monotonic()
        response = None
        if name not in self.cut:
            response = await self._answer(request)
        if response is None or name in self.cut:
            # Nothing passes. The node's keep-alive probes, sent each second
            # from 1 s on, would end the connection after 3 s.
            await asyncio.sleep(max(0.0, asked + 3.0 - time.monotonic()))
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        response.headers["Store-Era"] = str(self.era)
        return response

    async def _answer(self, request):
        path, query = request.path, request.query
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return web.json_response({"at": self.revision}, status=404)
            return web.json_response({**item, "at": self.revision})
        if path == "/kv-range":
            found = [
                self.items[k]
                for k in sorted(self.items)
                if k.startswith(query["path_prefix"])
                and k > query.get("after", "")
            ]
            return web.json_response(
                {
                    "items": found[:PAGE],
                    "has_more": len(found) > PAGE,
                    "at": self.revision,
                }
            )
        if path == "/kv-watch":
            return await self._watch(request)
        if path == "/kv-txn":
            return self._transact(json.loads(await request.read()))
        if path == "/kv-lease":
            length = json.loads(await request.read())["ttl_ms"] / 1000
            self.next_lease += 1
            self.leases[self.next_lease] = [length, time.monotonic() + length]
            return web.json_response(
                {"lease": self.next_lease, "ttl_ms": int(length * 1000)}
            )
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return web.json_response({}, status=404)
            known = self.leases[lease]
            known[1] = time.monotonic() + known[0]
            return web.json_response(
                {"lease": lease, "ttl_ms": int(known[0] * 1000)}
            )
        if path.startswith("/kv-lease-end/"):
            self.end_lease(lease)
            return web.json_response({})
        return web.json_response({}, status=404)

    async def _watch(self, request):
        query = request.query
        prefix, after = query["path_prefix"], int(query["after"])
        end = time.monotonic() + min(30.0, int(query["wait_ms"]) / 1000)
        cut_at = end + 1
        if self.longest_wait is not None:
            cut_at = time.monotonic() + random.uniform(*self.longest_wait)
        while True:
            if after > self.revision:
                return web.json_response({"at": self.revision}, status=410)
            events = [
                each
                for each in self.log
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return web.json_response(
                    {"events": events, "at": self.revision}
                )
            if time.monotonic() >= cut_at:
                self.cut_count += 1
                request.transport.abort()
                return web.Response()
            left = min(left, cut_at - time.monotonic())
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, left))
            except TimeoutError:
                pass

    def _transact(self, body):
        expected = body.get("expected") or []
        current = [self.items.get(row["key"]) for row in expected]
        if any(
            (item["revision"] if item else 0) != row["revision"]
            for item, row in zip(current, expected)
        ):
            return web.json_response(
                {"items": [i for i in current if i], "at": self.revision},
                status=412,
            )
        puts = body.get("set_keys") or []
        if any(
            row.get("lease") and row["lease"] not in self.leases for row in puts
        ):
            return web.json_response({}, status=404)
        if any(row["key"].startswith(("op/", "servers/")) for row in puts):
            return web.json_response({}, status=403)
        revision = self.write(
            [
                (
                    row["key"],
                    base64.b64decode(row["value"]),
                    row.get("lease") or 0,
                )
                for row in puts
            ],
            body.get("delete_keys") or [],
        )
        return web.json_response({"revision": revision})
