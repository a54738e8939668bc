"""Passes changes of the store on from the nodes that watch it to others.

`ChangeFeed` serves other nodes, `RelayedStore` follows them, or watches the
store where there is nobody to follow.
"""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
import datetime
from typing import Final, TypeVar
import zlib

import aiohttp
from aiohttp import web
import msgspec

from cicadahook.core import change_log
from cicadahook.core import errors
from cicadahook.core import node_lifecycle
from cicadahook.core import picture_age
from cicadahook.core import roster as roster_lib
from cicadahook.core import store_api
from cicadahook.core import store_sources
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import store_relay_messages as messages

CHANGES_PATH: Final = "/changes"
# How long a watcher lets a follower wait for a change. Two that are frozen must
# not keep one from it for longer than it may take to be in force.
MAX_WAIT: Final = datetime.timedelta(milliseconds=500)
# Time for the way to another node and back.
ANSWER_SLACK: Final = datetime.timedelta(milliseconds=400)
# Changes that may be older are logged.
LATE_MS: Final = 2000

# Returns the value of a key as other nodes may know it.
Redaction = Callable[[str, bytes], bytes]
Row = TypeVar("Row", store_api.Item, store_api.Change)

logger: Final = logs.create_logger("watch")


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


class RelayedStore:
    """The store, whose changes come from other nodes where these watch it.

    It has the calls of `store_api.Store` that a watcher makes.

    Attributes:
        store: the store itself.
        sources: chooses the nodes to follow.
        session: session for calls to them.
        clock: the time.
        age: how old this node's picture of the store may be.
        feed: tells other nodes of what this one learns.
        is_direct: whether the last answer came from the store itself.
        position: newest position that was read; items of other nodes must not
            be older.
        advanced: when that position was read.
    """

    def __init__(
        self,
        store: store_api.Store,
        sources: store_sources.StoreSources,
        session: aiohttp.ClientSession,
        age: picture_age.PictureAge,
        redact: Redaction = keep_value,
    ) -> None:
        self.store = store
        self.sources = sources
        self.session = session
        self.clock = age.clock
        self.age = age
        self.feed = ChangeFeed(self.is_current, self.age, redact)
        self.is_direct = False
        self.position = store_api.ORIGIN
        self.advanced = self.clock.now()

    def is_current(self) -> bool:
        """Whether this node watches the store itself and is answered."""
        return self.is_direct and not self.age.exceeds(picture_age.MAX_TOLD_AGE)

    def get_pause(self) -> datetime.timedelta:
        """Return the pause after changes; followers need none."""
        now = self.clock.now()
        if not self.is_direct and self.sources.list_watchers(now):
            return datetime.timedelta()
        return self.age.plan_pause(
            node_lifecycle.plan_watch_pause(
                self.sources.roster.count_nodes(now)
            )
        )

    async def list_items(self, prefix: str) -> store_api.Listing:
        """Return all items; those of another node while the store is away."""
        self._set_direct(True)
        sent = self.clock.now()
        try:
            listing = await self.store.list_items(prefix)
        except errors.KeyValueUnavailableError:
            self._set_direct(False)
            for peer in self.sources.list_watchers(self.clock.now()):
                sent = self.clock.now()
                answer = await self._ask(peer, messages.FollowRequest(-1))
                if answer is not None and self._is_usable(answer):
                    self._confirm_told(answer, sent)
                    return messages.create_listing(answer, prefix)
            raise
        self._confirm(sent)
        self.position, self.advanced = listing.position, self.clock.now()
        return listing

    async def watch(
        self,
        prefix: str,
        position: store_api.Position,
        wait: datetime.timedelta,
    ) -> store_api.Changes:
        """Return the changes after `position`, waiting up to `wait` for one.

        Raises:
            store_api.HistoryLostError: changes are missing, or the store is in
                a newer era.
            errors.KeyValueUnavailableError: nobody answered.
        """
        if position.era < self.store.eras.current:
            raise store_api.HistoryLostError(f"{position} is of an earlier era")
        for peer in self.sources.list_watchers(self.clock.now()):
            if self.age.exceeds(picture_age.MAX_FOLLOWED_AGE):
                break
            self._set_direct(False)
            before, sent = self.age.get_age_ms(), self.clock.now()
            changes = await self._follow(peer, position, wait)
            if changes is not None:
                self._log_late(changes, peer.name, before, sent)
                metrics.count_watch_answer("node")
                self._advance(changes.position)
                return _select(changes, prefix)
        self._set_direct(True)
        wait = self.age.plan_watch(wait)
        before, sent = self.age.get_age_ms(), self.clock.now()
        changes = await self.store.watch(prefix, position, wait)
        self._log_late(changes, "store", before, sent)
        self._confirm(
            picture_age.find_end_of_silence(
                sent, self.clock.now(), wait, is_empty=not changes.changes
            )
        )
        self._advance(changes.position)
        metrics.count_watch_answer("store")
        return changes

    async def _follow(
        self,
        peer: roster_lib.NodeRecord,
        position: store_api.Position,
        wait: datetime.timedelta,
    ) -> store_api.Changes | None:
        """Return the changes of which a watcher tells.

        Returns:
            None if it gives no answer, or one that is too old.
        """
        wait = min(
            wait, MAX_WAIT, self.age.get_rest(picture_age.MAX_FOLLOWED_AGE)
        )
        sent = self.clock.now()
        answer = await self._ask(
            peer,
            messages.FollowRequest(
                position.revision, wait // messages.MILLISECOND, position.era
            ),
        )
        if answer is None:
            return None
        if answer.era != position.era:
            self._avoid(peer, position, f"era {answer.era}")
            return None
        as_of = messages.find_completeness(answer, sent)
        is_behind = answer.position < position
        if is_behind and as_of is not None and as_of > self.advanced:
            self._avoid(peer, position, f"position {answer.position}")
            return None
        self._confirm_told(answer, sent)
        if not answer.changes and self.age.exceeds(
            picture_age.MAX_FOLLOWED_AGE
        ):
            self._avoid(peer, position, "picture too old")
            return None
        return messages.create_changes(answer)

    def _is_usable(self, answer: messages.FollowAnswer) -> bool:
        """Whether a watcher's items are no older than what is known."""
        is_of_newest_era = answer.era >= self.store.eras.current
        return is_of_newest_era and answer.position >= self.position

    def _log_late(
        self,
        changes: store_api.Changes,
        source: str,
        before: int | None,
        sent: datetime.datetime,
    ) -> None:
        """Log changes that may have been made long ago.

        Args:
            changes: the changes.
            source: who told of them.
            before: age of the picture when they were asked for, in ms.
            sent: when that was.
        """
        took_ms = (self.clock.now() - sent) // messages.MILLISECOND
        if not changes.changes or (before or 0) + took_ms < LATE_MS:
            return
        logger.info(
            "Changes in the store may have come late.",
            extra={
                "source": source,
                "picture_age_ms": before,
                "took_ms": took_ms,
                "position": str(changes.position),
            },
        )

    def _advance(self, position: store_api.Position) -> None:
        if position > self.position:
            self.position, self.advanced = position, self.clock.now()

    def _set_direct(self, is_direct: bool) -> None:
        if is_direct != self.is_direct:
            logger.info(
                "Source of changes in the store changed.",
                extra={"is_direct": is_direct},
            )
        self.is_direct = is_direct

    def _confirm(self, as_of: datetime.datetime) -> None:
        """Record up to when the picture is complete."""
        age = self.age.get_age()
        if age is not None:
            metrics.record_picture_age(
                age, "store" if self.is_direct else "node"
            )
        self.age.confirm(as_of)

    def _confirm_told(
        self, answer: messages.FollowAnswer, sent: datetime.datetime
    ) -> None:
        """Record up to when a watcher's answer makes the picture complete."""
        as_of = messages.find_completeness(answer, sent)
        if as_of is not None:
            self._confirm(as_of)

    async def _ask(
        self, peer: roster_lib.NodeRecord, question: messages.FollowRequest
    ) -> messages.FollowAnswer | None:
        """Return a watcher's answer; avoid one that has none for a while."""
        wait = question.wait_ms * messages.MILLISECOND + ANSWER_SLACK
        try:
            async with self.session.post(
                f"http://{peer.peer_address}{CHANGES_PATH}",
                data=msgspec.msgpack.encode(question),
                timeout=aiohttp.ClientTimeout(wait.total_seconds()),
            ) as response:
                if response.status == 200:
                    return messages.decode(await response.read())
                reason = f"status {response.status}"
        except (
            aiohttp.ClientError,
            OSError,
            RecursionError,
            zlib.error,
            ValueError,
        ) as error:
            reason = repr(error)
        self._avoid(
            peer, store_api.Position(question.era, question.after), reason
        )
        return None

    def _avoid(
        self,
        peer: roster_lib.NodeRecord,
        position: store_api.Position,
        reason: str,
    ) -> None:
        """Leave a watcher out for a while."""
        self.sources.avoid(peer.name, self.clock.now())
        logger.info(
            "Node could not be followed for changes in the store.",
            extra={
                "peer": peer.name,
                "error": reason,
                "position": str(position),
                "picture_age_ms": self.age.get_age_ms(),
            },
        )


def _select(changes: store_api.Changes, prefix: str) -> store_api.Changes:
    """Return the changes of keys that begin with `prefix`."""
    return store_api.Changes(
        tuple(each for each in changes.changes if each.key.startswith(prefix)),
        changes.position,
    )
