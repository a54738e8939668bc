"""Client of the platform's key-value service."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import datetime
from typing import Any, Final
import urllib.parse

import aiohttp

from cicadahook.core import errors

CALL_TIMEOUT: Final = datetime.timedelta(seconds=2)
WATCH_WAIT: Final = datetime.timedelta(seconds=20)
ABSENT_REVISION: Final = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value; revision 0 means that the key is absent."""

    key: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All keys under a prefix as of one revision of the service."""

    entries: tuple[Entry, ...]
    revision: int


@dataclasses.dataclass
class KeyValueClient:
    """Calls the key-value service over HTTP.

    Attributes:
        address: `host:port` of the service.
        session: the HTTP session to use; owned by the caller.
    """

    address: str
    session: aiohttp.ClientSession

    async def get(self, key: str) -> Entry:
        """Return the entry of `key`; its revision is 0 if it is absent."""
        status, body = await self._call("GET", _key_path(key))
        if status == 404:
            return Entry(key, "", ABSENT_REVISION)
        return Entry(key, body["value"], body["revision"])

    async def list(self, prefix: str) -> Snapshot:
        """Return all entries whose key starts with `prefix`."""
        query = urllib.parse.urlencode({"prefix": prefix})
        _, body = await self._call("GET", f"/v1/keys?{query}")
        return _parse_snapshot(body)

    async def put(
        self, key: str, value: str, expected: int, lease: str = ""
    ) -> int:
        """Write `key` if its revision is `expected`; return the new one.

        Raises:
            errors.KeyValueConflictError: the revision was another one.
            errors.KeyValueUnavailableError: no answer; the write may or may
                not have taken effect.
        """
        body = {"value": value, "expected_revision": expected, "lease": lease}
        status, answer = await self._call("PUT", _key_path(key), body)
        if status == 409:
            raise errors.KeyValueConflictError(f"key {key!r} has changed")
        revision: int = answer["revision"]
        return revision

    async def delete(self, key: str, expected: int) -> None:
        """Remove `key` if its revision is `expected`."""
        path = f"{_key_path(key)}?expected_revision={expected}"
        status, _ = await self._call("DELETE", path)
        if status == 409:
            raise errors.KeyValueConflictError(f"key {key!r} has changed")

    async def grant(self, ttl: datetime.timedelta) -> str:
        """Return a new lease that lapses `ttl` after its last renewal."""
        body = {"ttl_seconds": ttl.total_seconds()}
        _, answer = await self._call("POST", "/v1/leases", body)
        lease: str = answer["lease"]
        return lease

    async def renew(self, lease: str) -> bool:
        """Renew `lease`; return False if it has lapsed."""
        status, _ = await self._call("PUT", f"/v1/leases/{lease}")
        return status == 200

    async def revoke(self, lease: str) -> None:
        """End `lease` and remove its keys."""
        await self._call("DELETE", f"/v1/leases/{lease}")

    async def watch(self, prefix: str, after: int) -> Snapshot:
        """Wait for changes under `prefix` after revision `after`.

        Returns the changed entries, absent ones with revision 0, or none
        when nothing changed for a while.
        """
        query = urllib.parse.urlencode(
            {
                "prefix": prefix,
                "after": after,
                "wait_seconds": WATCH_WAIT.total_seconds(),
            }
        )
        _, body = await self._call(
            "GET", f"/v1/watch?{query}", timeout=WATCH_WAIT + CALL_TIMEOUT
        )
        return _parse_snapshot(body)

    async def follow(
        self, prefix: str, pause: datetime.timedelta
    ) -> AsyncIterator[Snapshot]:
        """Yield the whole state under `prefix`, then again at each change.

        After an error it waits for `pause` and reads the whole state again.
        """
        while True:
            try:
                snapshot = await self.list(prefix)
                yield snapshot
                changed = await self.watch(prefix, snapshot.revision)
                while not changed.entries:
                    changed = await self.watch(prefix, changed.revision)
            except errors.KeyValueUnavailableError:
                await asyncio.sleep(pause.total_seconds())

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        timeout: datetime.timedelta = CALL_TIMEOUT,
    ) -> tuple[int, dict[str, Any]]:
        """Return the status and body of one call."""
        try:
            async with self.session.request(
                method,
                f"http://{self.address}{path}",
                json=body,
                timeout=aiohttp.ClientTimeout(total=timeout.total_seconds()),
            ) as response:
                if response.status >= 500 or response.status == 429:
                    raise errors.KeyValueUnavailableError(
                        f"{method} {path}: status {response.status}"
                    )
                return response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.KeyValueUnavailableError(
                f"{method} {path}: {error!r}"
            ) from error


def _key_path(key: str) -> str:
    """Return the path of `key`."""
    return f"/v1/keys/{urllib.parse.quote(key)}"


def _parse_snapshot(body: dict[str, Any]) -> Snapshot:
    """Return the entries of a list or watch answer."""
    entries = tuple(
        Entry(item["key"], item["value"], item["revision"])
        for item in body["entries"]
    )
    return Snapshot(entries, body["revision"])
