"""Learns of changes in the store from it, or from nodes that watch it.

What these answer is in `change_feed`.
"""

import datetime
from typing import Final
import zlib

import aiohttp
import msgspec

from cicadahook.core import errors
from cicadahook.core import node_lifecycle
from cicadahook.core import picture_age
from cicadahook.core import roster as roster_lib
from cicadahook.core import store_api
from cicadahook.core import store_sources
from cicadahook.net import change_feed
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import store_relay_messages as messages

# Time for the way to another node and back.
ANSWER_SLACK: Final = datetime.timedelta(milliseconds=400)
# Changes that may be older are logged.
LATE_MS: Final = 2000

logger: Final = logs.create_logger("watch")


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
        redact: change_feed.Redaction = change_feed.keep_value,
    ) -> None:
        self.store = store
        self.sources = sources
        self.session = session
        self.clock = age.clock
        self.age = age
        self.feed = change_feed.ChangeFeed(self.is_current, self.age, redact)
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
            wait,
            change_feed.MAX_WAIT,
            self.age.get_rest(picture_age.MAX_FOLLOWED_AGE),
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
                f"http://{peer.peer_address}{change_feed.CHANGES_PATH}",
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
