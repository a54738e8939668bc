"""HTTP client of the platform's metadata store."""

import base64
import datetime
from typing import Any, Final, TypeVar

import aiohttp
import msgspec

from cicadahook.core import errors
from cicadahook.core import store_api
from cicadahook.net import sockets

# The store is specified to answer within 4 ms; a slow one may take far longer.
CALL_TIMEOUT: Final = datetime.timedelta(seconds=1.5)
WATCH_TIMEOUT_MARGIN: Final = datetime.timedelta(seconds=1.5)
MAX_PAGES: Final = 100

Fields = dict[str, Any]
AnswerT = TypeVar("AnswerT", bound=msgspec.Struct)


class ItemFields(msgspec.Struct, frozen=True):
    """A key that was written, or deleted; its value is checked by itself."""

    key: str
    revision: int
    value: Any = None
    deleted: bool = False


class PageFields(msgspec.Struct, frozen=True):
    """A page of items; `at` is the revision of the store."""

    items: tuple[ItemFields, ...]
    at: int
    has_more: bool = False


class WatchFields(msgspec.Struct, frozen=True):
    """Changes up to the revision `at`."""

    events: tuple[ItemFields, ...]
    at: int


class WriteFields(msgspec.Struct, frozen=True):
    """The revision of a write."""

    revision: int


class LeaseFields(msgspec.Struct, frozen=True):
    """The number of a new lease."""

    lease: int


class EmptyFields(msgspec.Struct, frozen=True):
    """An answer whose content is not used."""


class PlatformStore:
    """Implements `store_api.Store` by the metadata store's HTTP calls."""

    def __init__(self, address: str) -> None:
        self.base_url = f"http://{address}"
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, socket_factory=sockets.create_factory()
            )
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def list_items(self, prefix: str) -> store_api.Listing:
        """Return all items below `prefix`, page by page.

        The pages are not one snapshot. `revision` is that of the first page,
        so that a watch from there returns what changed while they were read.
        """
        items: list[store_api.Item] = []
        revision = 0
        query = {"path_prefix": prefix}
        for _ in range(MAX_PAGES):
            _, page = await self._call(
                "GET", "/kv-range", PageFields, query=query
            )
            if page is None:
                raise errors.KeyValueUnavailableError("GET /kv-range: no page")
            items.extend(_create_item(fields) for fields in page.items)
            revision = revision or page.at
            if not page.has_more or not page.items:
                break
            query["after"] = items[-1].key
        return store_api.Listing(tuple(items), revision)

    async def watch(
        self, prefix: str, revision: int, wait: datetime.timedelta
    ) -> store_api.Changes:
        """Wait up to `wait` for changes below `prefix` after `revision`.

        Raises:
            store_api.HistoryLostError: the store no longer has the changes
                after `revision`.
        """
        query = {
            "path_prefix": prefix,
            "after": str(revision),
            "wait_ms": str(_to_ms(wait)),
        }
        _, answer = await self._call(
            "GET",
            "/kv-watch",
            WatchFields,
            query=query,
            timeout=wait + WATCH_TIMEOUT_MARGIN,
        )
        if answer is None:
            raise store_api.HistoryLostError(f"no history after {revision}")
        changes = tuple(_create_change(event) for event in answer.events)
        return store_api.Changes(changes, answer.at)

    async def write(self, change: store_api.Write) -> int:
        """Send a transaction and return the revision that it wrote.

        Raises:
            errors.KeyValueConflictError: an expected revision has changed.
            store_api.LeaseEndedError: a lease of the transaction has ended.
        """
        body = {
            "expected": [
                {"key": key, "revision": revision}
                for key, revision in change.expected
            ],
            "set_keys": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in change.puts
            ],
            "delete_keys": list(change.deletes),
        }
        status, answer = await self._call(
            "POST", "/kv-txn", WriteFields, body=body
        )
        if status == 412:
            raise errors.KeyValueConflictError(f"changed: {change.expected}")
        if answer is None:
            raise store_api.LeaseEndedError(f"a lease of {change.puts} ended")
        return answer.revision

    async def grant_lease(self, length: datetime.timedelta) -> int:
        """Create a lease of `length` and return its number."""
        status, answer = await self._call(
            "POST", "/kv-lease", LeaseFields, body={"ttl_ms": _to_ms(length)}
        )
        if answer is None:
            raise errors.KeyValueUnavailableError(
                f"POST /kv-lease: status {status}"
            )
        return answer.lease

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease.

        Raises:
            store_api.LeaseEndedError: the lease has ended.
        """
        status, _ = await self._call("POST", f"/kv-keep/{lease}", EmptyFields)
        if status == 404:
            raise store_api.LeaseEndedError(f"lease {lease} has ended")

    async def end_lease(self, lease: int) -> None:
        """End a lease; ending one that has already ended is no error."""
        await self._call("DELETE", f"/kv-lease-end/{lease}", EmptyFields)

    async def _call(
        self,
        method: str,
        path: str,
        answer_type: type[AnswerT],
        *,
        query: dict[str, str] | None = None,
        body: Fields | None = None,
        timeout: datetime.timedelta = CALL_TIMEOUT,
    ) -> tuple[int, AnswerT | None]:
        """Return the status of one call, and its answer if it succeeded.

        Raises:
            errors.KeyValueUnavailableError: there was no answer, or one that
                leaves the outcome unknown.
        """
        try:
            async with self.session.request(
                method,
                self.base_url + path,
                params=query,
                json=body,
                timeout=aiohttp.ClientTimeout(total=timeout.total_seconds()),
            ) as response:
                content = await response.read()
                if response.status not in (200, 404, 410, 412):
                    raise errors.KeyValueUnavailableError(
                        f"{method} {path}: status {response.status}"
                    )
                if response.status != 200:
                    return response.status, None
                return response.status, msgspec.json.decode(
                    content.strip() or b"{}", type=answer_type
                )
        except (
            aiohttp.ClientError,
            OSError,
            ValueError,
            RecursionError,
        ) as error:
            raise errors.KeyValueUnavailableError(
                f"{method} {path}: {error!r}"
            ) from error


def _to_ms(duration: datetime.timedelta) -> int:
    return int(duration.total_seconds() * 1000)


def _create_item(fields: ItemFields) -> store_api.Item:
    return store_api.Item(fields.key, _decode_value(fields), fields.revision)


def _create_change(fields: ItemFields) -> store_api.Change:
    value = None if fields.deleted else _decode_value(fields)
    return store_api.Change(fields.key, value, fields.revision)


def _decode_value(fields: ItemFields) -> bytes:
    try:
        return base64.b64decode(fields.value, validate=True)
    except (TypeError, ValueError):
        # Another writer stored a malformed value. The decoder of the key
        # rejects the empty value.
        return b""
