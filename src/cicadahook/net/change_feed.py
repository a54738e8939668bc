"""Tells other nodes of changes of the store that this one watches itself."""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
import datetime
from typing import Final, TypeVar

from aiohttp import web
import msgspec

from cicadahook.core import change_log
from cicadahook.core import errors
from cicadahook.core import picture_age
from cicadahook.core import store_api
from cicadahook.net import codec
from cicadahook.net import store_relay_messages as messages

CHANGES_PATH: Final = "/changes"
# How long a watcher lets a follower wait for a change. Two that are frozen must
# not keep one from it for longer than it may take to be in force.
MAX_WAIT: Final = datetime.timedelta(milliseconds=500)

# Returns the value of a key as other nodes may know it.
Redaction = Callable[[str, bytes], bytes]
Row = TypeVar("Row", store_api.Item, store_api.Change)


def keep_value(key: str, value: bytes) -> bytes:
    """Return a value unchanged."""
    del key
    return value


class ChangeFeed:
    """Tells other nodes of changes that this one has watched itself.

    Attributes:
        log: the items and changes that this node knows.
        is_current: returns whether it watches the store and is answered.
        age: how old its picture of the store may be.
        redact: removes from a value what other nodes must not be told.
        news: set at the next change.
        encoder: encodes the answers.
    """

    def __init__(
        self,
        is_current: Callable[[], bool],
        age: picture_age.PictureAge,
        redact: Redaction = keep_value,
    ) -> None:
        self.log = change_log.ChangeLog()
        self.encoder = messages.AnswerEncoder()
        self.is_current = is_current
        self.age = age
        self.redact = redact
        self.news = asyncio.Event()

    def apply_listing(
        self, listing: store_api.Listing, *, is_after_outage: bool
    ) -> None:
        """Replace all items by a listing."""
        del is_after_outage
        self.log.apply_listing(
            dataclasses.replace(
                listing, items=tuple(map(self._redact, listing.items))
            )
        )
        self.wake_followers()

    def apply_changes(self, changes: store_api.Changes) -> None:
        """Add changes."""
        self.log.apply_changes(
            dataclasses.replace(
                changes, changes=tuple(map(self._redact, changes.changes))
            )
        )
        self.wake_followers()

    def _redact(self, row: Row) -> Row:
        """Return an item or change without what is not for other nodes."""
        if row.value is None:
            return row
        value = self.redact(row.key, row.value)
        if value is row.value:
            return row
        return dataclasses.replace(row, value=value)

    def wake_followers(self) -> None:
        """Let waiting followers look for changes."""
        self.news.set()
        self.news = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one question."""
        try:
            asked = msgspec.msgpack.decode(
                await request.read(), type=messages.FollowRequest
            )
        except (msgspec.MsgspecError, RecursionError) as error:
            return web.Response(status=400, text=str(error))
        try:
            answer = await self.answer(asked)
        except store_api.HistoryLostError:
            return web.Response(status=410)
        except errors.KeyValueUnavailableError:
            return web.Response(status=503)
        return web.Response(body=self.encoder.encode(answer))

    async def answer(
        self, asked: messages.FollowRequest
    ) -> messages.FollowAnswer:
        """Return items or changes, waiting for a change if there is none.

        Raises:
            store_api.HistoryLostError: some changes are not known any more.
            errors.KeyValueUnavailableError: this node does not watch the store.
        """
        began = self.age.clock.now()
        self._check_current()
        if asked.after < 0:
            listing = self.log.create_listing()
            return self._create_answer(listing.position, listing.items, began)
        after = store_api.Position(asked.era, asked.after)
        if asked.era > self.log.position.era:
            raise errors.KeyValueUnavailableError("the store's era is newer")
        if self.log.position <= after:
            wait = min(
                MAX_WAIT,
                max(0, asked.wait_ms) * messages.MILLISECOND,
                self.age.get_rest(picture_age.MAX_TOLD_AGE),
            )
            try:
                async with asyncio.timeout(wait.total_seconds()):
                    await self.news.wait()
            except TimeoutError:
                self._check_current()
        changes = self.log.list_after(after)
        return self._create_answer(changes.position, changes.changes, began)

    def _create_answer(
        self,
        position: store_api.Position,
        rows: Iterable[store_api.Item | store_api.Change],
        began: datetime.datetime,
    ) -> messages.FollowAnswer:
        """Return an answer with items or changes."""
        age_ms = self.age.get_age_ms()
        return messages.FollowAnswer(
            position.revision,
            tuple(
                messages.RelayedChange(
                    row.key, row.value, row.position.revision
                )
                for row in rows
            ),
            -1 if age_ms is None else age_ms,
            (self.age.clock.now() - began) // messages.MILLISECOND,
            position.era,
        )

    def _check_current(self) -> None:
        if not self.is_current() or self.log.position == store_api.ORIGIN:
            raise errors.KeyValueUnavailableError("the store is not watched")
        if self.log.position.revision > codec.MAX_NUMBER:
            raise errors.KeyValueUnavailableError("the revision is too large")
