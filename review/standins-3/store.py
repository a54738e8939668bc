"""Stand-in of the platform's store: keys, revisions, leases and watches."""

import asyncio
import base64
import json

from aiohttp import web

HISTORY_SECONDS = 20.0
PAGE_ITEMS = 500


class Store:
    """Keeps keys as the users' pages say; it loses nothing but in a drill.

    Attributes:
        revision: the number of changes so far; more than 0 at the start.
        era: the number in the header `Store-Era`; None for no header.
    """

    def __init__(self, revision=1, era=None):
        self.items = {}
        self.log = []
        self.revision = revision
        self.first = revision
        self.era = era
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Condition()
        self.is_away = False
        self.writes = []
        self.runner = None
        self.address = ""

    async def start(self, host, port=0):
        """Serve on a loopback address."""
        server = web.Server(self.handle)
        self.runner = web.ServerRunner(server)
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, port)
        await site.start()
        port = self.runner.addresses[0][1]
        self.address = f"{host}:{port}"

    async def stop(self):
        """Close all connections."""
        for handle, _ in self.leases.values():
            handle.cancel()
        if self.runner:
            await self.runner.cleanup()

    def put(self, key, value, lease=0):
        """Write one key, as the operator or a worker does; return its revision."""
        self.revision += 1
        self._set(key, value, lease)
        self._wake()
        return self.revision

    def delete(self, key):
        """Delete one key."""
        if key in self.items:
            self.revision += 1
            self._drop(key)
            self._wake()

    def _set(self, key, value, lease):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.log.append(item)

    def _drop(self, key):
        del self.items[key]
        self.log.append({"key": key, "revision": self.revision, "deleted": True})

    def _wake(self):
        async def notify():
            async with self.changed:
                self.changed.notify_all()

        asyncio.get_running_loop().create_task(notify())

    def read(self, key):
        """Return the bytes of a key, or None."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def handle(self, request):
        """Answer one call."""
        if self.is_away:
            response = web.Response(status=503)
        else:
            response = await self._answer(request)
        if self.era is not None:
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
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query.get("path_prefix", ""))
                and key > query.get("after", "")
            )
            return web.json_response(
                {
                    "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                    "has_more": len(keys) > PAGE_ITEMS,
                    "at": self.revision,
                }
            )
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._write(json.loads(await request.read()))
        if path == "/kv-lease":
            length = json.loads(await request.read())["ttl_ms"] / 1000
            self.next_lease += 1
            self._start_lease(self.next_lease, length)
            return web.json_response(
                {"lease": self.next_lease, "ttl_ms": int(length * 1000)}
            )
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return web.Response(status=404)
            length = self.leases[lease][1]
            self._start_lease(lease, length)
            return web.json_response({"ttl_ms": int(length * 1000)})
        if path.startswith("/kv-lease-end/"):
            self._end_lease(lease)
            return web.json_response({})
        return web.Response(status=404)

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("path_prefix", "")
        era = self.era

        def is_known():
            return self.era == era and self.first <= after <= self.revision

        def find():
            return [
                event
                for event in self.log
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                async with self.changed:
                    await self.changed.wait_for(
                        lambda: not is_known() or find() or self.is_away
                    )
        except TimeoutError:
            pass
        if self.is_away:
            return web.Response(status=503)
        if not is_known():
            return web.Response(status=410)
        return web.json_response({"events": find(), "at": self.revision})

    def _write(self, body):
        for row in body.get("expected", ()):
            known = self.items.get(row["key"])
            if (known["revision"] if known else 0) != row["revision"]:
                keys = [each["key"] for each in body["expected"]]
                found = [self.items[key] for key in keys if key in self.items]
                return web.json_response({"items": found}, status=412)
        for row in body.get("set_keys", ()):
            if row["key"].startswith(("op/", "servers/")):
                return web.Response(status=403)
            if row.get("lease") and row["lease"] not in self.leases:
                return web.Response(status=404)
        self.revision += 1
        for row in body.get("set_keys", ()):
            self._set(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            self.writes.append((row["key"], base64.b64decode(row["value"])))
        for key in body.get("delete_keys", ()):
            if key in self.items:
                self._drop(key)
        self._wake()
        return web.json_response({"revision": self.revision})

    def _start_lease(self, lease, length):
        if lease in self.leases:
            self.leases[lease][0].cancel()
        loop = asyncio.get_running_loop()
        handle = loop.call_later(length, self._end_lease, lease)
        self.leases[lease] = (handle, length)

    def _end_lease(self, lease):
        known = self.leases.pop(lease, None)
        if known is None:
            return
        known[0].cancel()
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._drop(key)
            self._wake()

    def take_copy(self):
        """Return a copy from which the store may come back."""
        lengths = {lease: length for lease, (_, length) in self.leases.items()}
        return dict(self.items), list(self.log), self.revision, lengths, self.next_lease

    def come_back(self, copy):
        """Return from a copy, in the next era; others write again what they wrote."""
        written = {
            key: item
            for key, item in self.items.items()
            if key.startswith(("op/", "servers/"))
        }
        for handle, _ in self.leases.values():
            handle.cancel()
        items, log, revision, lengths, next_lease = copy
        self.items, self.log, self.revision = dict(items), list(log), revision
        self.leases, self.next_lease = {}, next_lease
        self.era += 1
        for lease, length in lengths.items():
            self._start_lease(lease, length)
        for key, item in written.items():
            self.put(key, base64.b64decode(item["value"]))
        self._wake()
