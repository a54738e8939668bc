"""HTTP client of the platform's metadata store."""

import base64
import datetime
from typing import Any, Final, TypeVar

import aiohttp
import msgspec

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import store_api
from cicadahook.core import store_contact
from cicadahook.core import store_eras
from cicadahook.net import answer_protocol

# The store is specified to answer within 4 ms; a slow one may take far longer.
CALL_TIMEOUT: Final = datetime.timedelta(seconds=1.5)
WATCH_TIMEOUT_MARGIN: Final = datetime.timedelta(seconds=1.5)
MAX_PAGES: Final = 100
ERA_HEADER: Final = "Store-Era"
# Fences, which carry the era, stay exact as JSON numbers of other programs.
MAX_ERA: Final = 1 << 20

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
    """Implements `store_api.Store` by the metadata store's HTTP calls.

    Attributes:
        session: session whose connections are kept.
        fresh_session: session whose connections are used once.
        eras: the era of the store.
        contact: whether the store answers this node.
    """

    def __init__(self, address: str, clock: clock_lib.Clock) -> None:
        self.base_url = f"http://{address}"
        self.contact = store_contact.StoreContact(clock)
        self.eras = store_eras.EraTracker(self.contact)
        self.session = answer_protocol.open_session()
        self.fresh_session = answer_protocol.open_session(keepalive=0)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()
        await self.fresh_session.close()

    async def list_items(
        self, prefix: str, *, is_fresh: bool = False
    ) -> store_api.Listing:
        """Return all items below `prefix`, page by page.

        The pages are not one snapshot. The position is that of the first page,
        so that a watch from there returns what changed while they were read.
        """
        items: list[store_api.Item] = []
        position: store_api.Position | None = None
        query = {"path_prefix": prefix}
        for _ in range(MAX_PAGES):
            _, era, page = await self._call(
                "GET", "/kv-range", PageFields, query=query, is_fresh=is_fresh
            )
            if page is None:
                raise errors.KeyValueUnavailableError("GET /kv-range: no page")
            position = position or store_api.Position(era, page.at)
            if position.era != era:
                raise errors.KeyValueUnavailableError("GET /kv-range: new era")
            items.extend(_create_item(fields, era) for fields in page.items)
            if not page.has_more or not page.items:
                break
            query["after"] = items[-1].key
        assert position is not None, "there is a first page"
        return store_api.Listing(tuple(items), position)

    async def watch(
        self,
        prefix: str,
        position: store_api.Position,
        wait: datetime.timedelta,
        *,
        is_fresh: bool = False,
    ) -> store_api.Changes:
        """Wait up to `wait` for changes below `prefix` after `position`.

        Raises:
            store_api.HistoryLostError: the store no longer has the changes
                after `position`, or is in another era.
        """
        query = {
            "path_prefix": prefix,
            "after": str(position.revision),
            "wait_ms": str(_to_ms(wait)),
        }
        _, era, answer = await self._call(
            "GET",
            "/kv-watch",
            WatchFields,
            query=query,
            timeout=wait + WATCH_TIMEOUT_MARGIN,
            is_fresh=is_fresh,
        )
        if answer is None or era != position.era:
            raise store_api.HistoryLostError(f"era {era}, after {position}")
        changes = tuple(_create_change(event, era) for event in answer.events)
        return store_api.Changes(changes, store_api.Position(era, answer.at))

    async def write(self, change: store_api.Write) -> store_api.Position:
        """Send a transaction and return the position that it wrote.

        Raises:
            errors.KeyValueConflictError: an expected position has changed.
            store_api.LeaseEndedError: a lease of the transaction has ended.
        """
        change.check_era(self.eras.current)
        body = {
            "expected": [
                {"key": key, "revision": position.revision if position else 0}
                for key, position in change.expected
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
        status, era, answer = await self._call(
            "POST", "/kv-txn", WriteFields, body=body
        )
        if status == 412:
            raise errors.KeyValueConflictError(f"changed: {change.expected}")
        if answer is None:
            raise store_api.LeaseEndedError(f"a lease of {change.puts} ended")
        return store_api.Position(era, answer.revision)

    async def grant_lease(self, length: datetime.timedelta) -> int:
        """Create a lease of `length` and return its number."""
        status, _, answer = await self._call(
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
        status, _, _ = await self._call(
            "POST", f"/kv-keep/{lease}", EmptyFields
        )
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
        is_fresh: bool = False,
    ) -> tuple[int, int, AnswerT | None]:
        """Return status and era of one call, and its answer if it succeeded.

        Raises:
            errors.KeyValueUnavailableError: there was no answer, one that
                leaves the outcome unknown, or one of an earlier era.
        """
        session = self.fresh_session if is_fresh else self.session
        sent = self.contact.clock.now()
        try:
            async with session.request(
                method,
                self.base_url + path,
                params=query,
                json=body,
                timeout=aiohttp.ClientTimeout(total=timeout.total_seconds()),
            ) as response:
                content = await response.read()
                if response.status not in (200, 404, 410, 412):
                    raise errors.KeyValueRejectedError(
                        f"{method} {path}: status {response.status}"
                    )
                fields = None
                if response.status == 200:
                    fields = msgspec.json.decode(
                        content.strip() or b"{}", type=answer_type
                    )
                era = _decode_era(response.headers.get(ERA_HEADER))
                if not self.eras.observe(era, sent):
                    raise errors.KeyValueUnavailableError(
                        f"{method} {path}: era {era}; {self.eras.describe()}"
                    )
                self.contact.record_answer()
                return response.status, era, fields
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


def _decode_era(header: str | None) -> int:
    """Return the era that an answer names.

    Raises:
        ValueError: the header is malformed or out of range.
    """
    if header is None:
        return store_api.FIRST_ERA
    era = int(header)
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"era out of range: {header}")
    return max(era, store_api.FIRST_ERA)


def _create_item(fields: ItemFields, era: int) -> store_api.Item:
    position = store_api.Position(era, fields.revision)
    return store_api.Item(fields.key, _decode_value(fields), position)


def _create_change(fields: ItemFields, era: int) -> store_api.Change:
    value = None if fields.deleted else _decode_value(fields)
    position = store_api.Position(era, fields.revision)
    return store_api.Change(fields.key, value, position)


def _decode_value(fields: ItemFields) -> bytes:
    try:
        return base64.b64decode(fields.value, validate=True)
    except (TypeError, ValueError):
        # Another writer stored a malformed value. The decoder of the key
        # rejects the empty value.
        return b""
