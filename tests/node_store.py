"""Stand-in of the platform's store, with its HTTP interface."""

import asyncio
import base64
import copy
import dataclasses
import json
from typing import Any, Final

from aiohttp import web

Fields = dict[str, Any]
ERA_HEADER: Final = "Store-Era"
# An upstream's entry lapses after three heartbeats.
LAPSE_SECONDS: Final = 3.0


def create_headers(era: int) -> dict[str, str]:
    """Return the headers of an answer."""
    return {ERA_HEADER: str(era)}


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """A copy from which the store may return.

    Attributes:
        items: fields of each key.
        log: the changes that it still knows.
        revision: its revision.
        lengths: length in seconds of each lease that has not ended.
    """

    items: dict[str, Fields]
    log: list[Fields]
    revision: int
    lengths: dict[int, float]


@dataclasses.dataclass
class StoreFaults:
    """Faults that the stand-in simulates.

    Attributes:
        is_down: whether every call gets status 503.
        is_silent: whether watches are not answered before their time limit.
        loses_answers: whether writes are applied but not answered in time.
    """

    is_down: bool = False
    is_silent: bool = False
    loses_answers: bool = False


class StoreStandin:
    """A store of keys with revisions, leases and watches.

    Attributes:
        items: fields of each key.
        log: the changes since the last compaction, oldest first.
        oldest: revision up to which the history was removed.
        revision: the current revision.
        leases: timers of the expiry of each lease.
        lengths: length of each lease in seconds.
        changed: notified of each change.
        era: rises each time that it returns from a copy.
    """

    def __init__(self) -> None:
        self.items: dict[str, Fields] = {}
        self.log: list[Fields] = []
        self.oldest = 0
        self.revision = 1
        self.leases: dict[int, asyncio.TimerHandle] = {}
        self.lengths: dict[int, float] = {}
        self.next_lease = 70
        self.changed = asyncio.Condition()
        self.era = 1
        self.faults = StoreFaults()

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write a key, as the operator or an upstream does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        created = known["created"] if known else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.log.append(self.items[key])
        self._wake()
        return self.revision

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.log.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )
            self._wake()

    def take_copy(self) -> StoreCopy:
        """Return a copy of all that it holds now."""
        lengths = {lease: self.lengths[lease] for lease in self.leases}
        return StoreCopy(
            copy.deepcopy(self.items), list(self.log), self.revision, lengths
        )

    def come_back(self, earlier: StoreCopy) -> None:
        """Return from a copy: what was written since, and leases, are lost.

        The operator and the upstreams write again what they wrote.
        """
        written = {
            key: item
            for key, item in self.items.items()
            if not key.startswith("cicada/")
        }
        for handle in self.leases.values():
            handle.cancel()
        self.leases.clear()
        self.items = copy.deepcopy(earlier.items)
        self.log = list(earlier.log)
        self.oldest = min(self.oldest, earlier.revision)
        self.revision = earlier.revision
        self.lengths = dict(earlier.lengths)
        self.next_lease = max(earlier.lengths, default=70)
        self.era += 1
        for lease in earlier.lengths:
            self._start(lease)
        for key, item in written.items():
            self.put(key, base64.b64decode(item["value"]))
        loop = asyncio.get_running_loop()
        for key, item in self.items.items():
            if not key.startswith("cicada/") and key not in written:
                loop.call_later(LAPSE_SECONDS, self._lapse, key, item)
        self._wake()

    def _lapse(self, key: str, item: Fields) -> None:
        """Remove an entry that nobody has written again."""
        if self.items.get(key) is item:
            self.delete(key)

    async def run_drill(self, earlier: StoreCopy, away_seconds: float) -> None:
        """Be away for a moment and return from a copy."""
        self.faults.is_down = True
        await asyncio.sleep(away_seconds)
        self.come_back(earlier)
        self.faults.is_down = False

    def compact(self) -> None:
        """Remove the history of changes."""
        self.oldest = self.revision
        self.log.clear()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call; each answer names the era in which it was made."""
        response = await self._answer(request)
        response.headers[ERA_HEADER] = str(self.era)
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        if self.faults.is_down:
            return web.Response(status=503)
        if request.path == "/kv-range":
            return self._list(request)
        if request.path == "/kv-watch":
            return await self._watch(request)
        if request.path == "/kv-txn":
            return await self._write(json.loads(await request.read()))
        if request.path == "/kv-lease":
            body = json.loads(await request.read())
            return self._grant(body["ttl_ms"] / 1000)
        lease = int(request.path.rsplit("/", 1)[1])
        if request.path.startswith("/kv-keep/"):
            return self._renew(lease)
        self._end(lease)
        return web.json_response({})

    def _list(self, request: web.BaseRequest) -> web.Response:
        prefix = request.query["path_prefix"]
        items = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and key > request.query.get("after", "")
        ]
        return web.json_response(
            {
                "items": items[:2],
                "has_more": len(items) > 2,
                "at": self.revision,
            }
        )

    async def _watch(self, request: web.BaseRequest) -> web.Response:
        prefix = request.query["path_prefix"]
        after = int(request.query["after"])
        if not self.oldest <= after <= self.revision:
            return web.Response(status=410)

        def find() -> list[Fields]:
            return [
                event
                for event in self.log
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(request.query["wait_ms"]) / 1000):
                async with self.changed:
                    await self.changed.wait_for(
                        lambda: find() and not self.faults.is_silent
                    )
        except TimeoutError:
            pass
        if not self.oldest <= after <= self.revision:
            return web.Response(status=410)
        return web.json_response({"events": find(), "at": self.revision})

    async def _write(self, body: Fields) -> web.Response:
        for row in body["expected"]:
            known = self.items.get(row["key"])
            if (known["revision"] if known else 0) != row["revision"]:
                return web.json_response({"items": []}, status=412)
        if any(
            row["lease"] and row["lease"] not in self.leases
            for row in body["set_keys"]
        ):
            return web.Response(status=404)
        for row in body["set_keys"]:
            data = base64.b64decode(row["value"])
            self.put(row["key"], data, row["lease"])
        # All writes of a transaction share one revision.
        for row in body["set_keys"]:
            self.items[row["key"]]["revision"] = self.revision
        for key in body["delete_keys"]:
            self.delete(key)
        if self.faults.loses_answers:
            await asyncio.sleep(5)
        return web.json_response({"revision": self.revision})

    def _grant(self, length: float) -> web.Response:
        self.next_lease += 1
        self.lengths[self.next_lease] = length
        self._start(self.next_lease)
        return web.json_response(
            {"lease": self.next_lease, "ttl_ms": int(length * 1000)}
        )

    def _renew(self, lease: int) -> web.Response:
        if lease not in self.leases:
            return web.Response(status=404)
        self.leases[lease].cancel()
        self._start(lease)
        return web.json_response({"ttl_ms": int(self.lengths[lease] * 1000)})

    def _start(self, lease: int) -> None:
        loop = asyncio.get_running_loop()
        self.leases[lease] = loop.call_later(
            self.lengths[lease], self._end, lease
        )

    def _end(self, lease: int) -> None:
        handle = self.leases.pop(lease, None)
        if handle is not None:
            handle.cancel()
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.delete(key)

    def _wake(self) -> None:
        async def notify() -> None:
            async with self.changed:
                self.changed.notify_all()

        try:
            task = asyncio.get_running_loop().create_task(notify())
        except RuntimeError:
            # Written before the event loop runs, so there is no watch yet.
            return
        task.add_done_callback(lambda _: None)
