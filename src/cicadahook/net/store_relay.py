"""Learns of changes in the store from it, or from nodes that watch it.

`RelayedStore` has the calls of the store that a watcher makes. Whom it asks is
decided by `store_sources`, what other nodes answer by `change_feed`.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
import datetime
import functools
from typing import Any, Final, TypeVar
import zlib

import aiohttp
import msgspec

from cicadahook.core import errors
from cicadahook.core import node_lifecycle
from cicadahook.core import picture_age
from cicadahook.core import roster as roster_lib
from cicadahook.core import store_api
from cicadahook.core import store_eras
from cicadahook.core import store_sources
from cicadahook.net import change_feed
from cicadahook.net import first_answer
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import source_answers
from cicadahook.net import store_relay_messages as messages

# Time for the way to another node and back.
ANSWER_SLACK: Final = datetime.timedelta(milliseconds=400)
# The same where all items come back, which takes longer on a narrow link.
LISTING_TIMEOUT: Final = datetime.timedelta(seconds=1)
# Until other nodes are asked once more, while the store does not answer.
NEXT_ROUND_PAUSE: Final = datetime.timedelta(milliseconds=250)
# Changes that may be older are logged.
LATE_AGE: Final = datetime.timedelta(seconds=2)

T = TypeVar("T")

logger: Final = logs.create_logger("watch")


class RelayedStore:
    """The store, whose changes come from other nodes where these watch it.

    Attributes:
        store: the store itself.
        sources: chooses whom to ask.
        session: session for calls to other nodes.
        clock: the time.
        age: how old this node's picture of the store may be.
        feed: tells other nodes of what this one learns.
        is_direct: whether the last answer came from the store itself.
        position: newest position that was read; items of other nodes must not
            be older.
        advanced: when that position was read.
        must_list: whether what was read may be of an era that never began.
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
        self.must_list = False

    def is_current(self) -> bool:
        """Whether this node watches the store itself and is answered."""
        return self.is_direct and not self.age.exceeds(picture_age.MAX_TOLD_AGE)

    def apply_era(self, change: store_eras.EraChange) -> None:
        """List all items anew if the store denies an era."""
        self.must_list = self.must_list or change.is_denial
        if self.position.era > change.era:
            self.position = store_api.ORIGIN

    def get_pause(self) -> datetime.timedelta:
        """Return the pause after changes; followers need none."""
        if not self.is_direct:
            return datetime.timedelta()
        return self.age.plan_pause(
            node_lifecycle.plan_watch_pause(
                self.sources.roster.count_nodes(self.clock.now())
            )
        )

    async def list_items(self, prefix: str) -> store_api.Listing:
        """Return all items; those of another node if the store is away.

        Raises:
            errors.KeyValueUnavailableError: nobody answered.
        """
        self.must_list = False
        answer = await self._ask_in_turn(
            functools.partial(self._list_store, prefix),
            functools.partial(self._list_node, prefix),
            source_answers.LISTING_PATIENCE,
            is_stale=True,
        )
        self._accept(answer)
        if answer.source is store_sources.STORE:
            self.position = answer.content.position
            self.advanced = self.clock.now()
        return answer.content

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
        if position.era < self.store.eras.current or self.must_list:
            raise store_api.HistoryLostError(f"{position} is of another era")
        store_wait = self.age.plan_watch(wait)
        node_wait = min(
            wait,
            change_feed.MAX_WAIT,
            self.age.get_rest(picture_age.MAX_FOLLOWED_AGE),
        )
        before, sent = self.age.get_age(), self.clock.now()
        answer = await self._ask_in_turn(
            functools.partial(self._watch_store, prefix, position, store_wait),
            functools.partial(self._follow, prefix, position, node_wait),
            source_answers.WATCH_PATIENCE.extend(store_wait, node_wait),
            is_stale=self.age.exceeds(picture_age.MAX_FOLLOWED_AGE),
        )
        self._log_late(answer, before, sent)
        self._accept(answer)
        if answer.content.position > self.position:
            self.position = answer.content.position
            self.advanced = self.clock.now()
        metrics.count_watch_answer(
            "store" if answer.source is store_sources.STORE else "node"
        )
        return answer.content

    async def _ask_in_turn(
        self,
        ask_store: Callable[
            [bool], Coroutine[Any, Any, source_answers.SourceAnswer[T]]
        ],
        ask_node: Callable[
            [roster_lib.NodeRecord],
            Coroutine[Any, Any, source_answers.SourceAnswer[T] | None],
        ],
        patience: source_answers.Patience,
        *,
        is_stale: bool,
    ) -> source_answers.SourceAnswer[T]:
        """Return what the first source tells that is able to.

        Args:
            ask_store: asks the store, on a new connection or not.
            ask_node: asks another node.
            patience: how long to wait before the next source is asked too.
            is_stale: see `store_sources.StoreSources.plan`.

        Raises:
            errors.KeyValueUnavailableError: there is none.
        """
        failures: list[errors.KeyValueUnavailableError] = []

        async def try_store(
            is_fresh: bool,
        ) -> source_answers.SourceAnswer[T] | None:
            try:
                return await ask_store(is_fresh)
            except errors.KeyValueUnavailableError as error:
                failures.append(error)
                return None

        def ask(
            node: roster_lib.NodeRecord,
        ) -> first_answer.Question[source_answers.SourceAnswer[T]]:
            return first_answer.Question(
                functools.partial(ask_node, node), patience.node
            )

        def create_questions() -> (
            Iterator[first_answer.Question[source_answers.SourceAnswer[T]]]
        ):
            tries = 1
            for source in self.sources.plan(
                self.clock.now(), is_stale=is_stale
            ):
                if source is not store_sources.STORE:
                    yield ask(source)
                    continue
                yield first_answer.Question(
                    functools.partial(try_store, False), patience.store
                )
                if not any(map(_is_rejection, failures)):
                    # The kept connection may be dead.
                    tries += 1
                    yield first_answer.Question(
                        functools.partial(try_store, True), patience.retry
                    )
            # While the store keeps silent, other nodes become watchers.
            while len(failures) < tries:
                yield first_answer.Question(_pause, 2 * NEXT_ROUND_PAUSE)
                yield from map(ask, self.sources.list_nodes(self.clock.now()))

        answer = await first_answer.get(create_questions())
        if answer is None:
            raise failures[0]
        return answer

    async def _list_store(
        self, prefix: str, is_fresh: bool
    ) -> source_answers.SourceAnswer[store_api.Listing]:
        """Return all items of the store."""
        sent = self.clock.now()
        listing = await self.store.list_items(prefix, is_fresh=is_fresh)
        return source_answers.SourceAnswer(store_sources.STORE, listing, sent)

    async def _list_node(
        self, prefix: str, node: roster_lib.NodeRecord
    ) -> source_answers.SourceAnswer[store_api.Listing] | None:
        """Return all items of a node, if they are no older than what is known.

        They must be of the era that is believed.
        """
        sent = self.clock.now()
        answer = await self._ask(
            node,
            messages.FollowRequest(-1),
            source_answers.LISTING_PATIENCE,
            LISTING_TIMEOUT,
        )
        if answer is None:
            return None
        self.store.eras.hear(answer.era, node.name)
        is_older = answer.position < self.position
        if answer.era != self.store.eras.current or is_older:
            return None
        return source_answers.SourceAnswer(
            node,
            messages.create_listing(answer, prefix),
            messages.find_completeness(answer, sent),
        )

    async def _watch_store(
        self,
        prefix: str,
        position: store_api.Position,
        wait: datetime.timedelta,
        is_fresh: bool,
    ) -> source_answers.SourceAnswer[store_api.Changes]:
        """Return the changes of which the store tells."""
        sent = self.clock.now()
        changes = await self.store.watch(
            prefix, position, wait, is_fresh=is_fresh
        )
        complete = picture_age.find_end_of_silence(
            sent, self.clock.now(), wait, is_empty=not changes.changes
        )
        return source_answers.SourceAnswer(
            store_sources.STORE, changes, complete
        )

    async def _follow(
        self,
        prefix: str,
        position: store_api.Position,
        wait: datetime.timedelta,
        node: roster_lib.NodeRecord,
    ) -> source_answers.SourceAnswer[store_api.Changes] | None:
        """Return the changes of which a node tells.

        Returns:
            None if it gives no answer, or one that is too old.
        """
        sent = self.clock.now()
        answer = await self._ask(
            node,
            messages.FollowRequest(
                position.revision, wait // messages.MILLISECOND, position.era
            ),
            source_answers.WATCH_PATIENCE.extend(wait, wait),
            wait + ANSWER_SLACK,
        )
        if answer is None:
            return None
        if answer.era != position.era:
            self._avoid(node, position, f"era {answer.era}")
            return None
        complete = messages.find_completeness(answer, sent)
        is_behind = answer.position < position
        if is_behind and complete is not None and complete > self.advanced:
            self._avoid(node, position, f"position {answer.position}")
            return None
        if not answer.changes and self._is_too_old(complete):
            self._avoid(node, position, "picture too old")
            return None
        changes = messages.create_changes(answer)
        return source_answers.SourceAnswer(
            node, _select(changes, prefix), complete
        )

    def _is_too_old(self, complete: datetime.datetime | None) -> bool:
        """Whether the picture would still be too old with an answer."""
        known = [
            moment
            for moment in (complete, self.age.confirmed)
            if moment is not None
        ]
        limit = self.clock.now() - picture_age.MAX_FOLLOWED_AGE
        return bool(known) and max(known) < limit

    def _accept(self, answer: source_answers.SourceAnswer[Any]) -> None:
        """Record who has answer what this node is to believe now."""
        is_direct = answer.source is store_sources.STORE
        if is_direct != self.is_direct:
            logger.info(
                "Source of changes in the store changed.",
                extra={"is_direct": is_direct},
            )
        self.is_direct = is_direct
        source = "store" if answer.source is store_sources.STORE else "node"
        if answer.complete is None:
            return
        age = self.age.get_age()
        if age is not None:
            metrics.record_picture_age(age, source)
        self.age.confirm(answer.complete)

    def _log_late(
        self,
        answer: source_answers.SourceAnswer[store_api.Changes],
        before: datetime.timedelta | None,
        sent: datetime.datetime,
    ) -> None:
        """Log changes that may have been made long ago.

        Args:
            answer: the changes.
            before: age of the picture when they were asked for.
            sent: when that was.
        """
        took = self.clock.now() - sent
        possible_age = took if before is None else before + took
        if not answer.content.changes or possible_age < LATE_AGE:
            return
        logger.info(
            "Changes in the store may have come late.",
            extra={
                "source": answer.source.name if answer.source else "store",
                "picture_age_ms": before and before // messages.MILLISECOND,
                "took_ms": took // messages.MILLISECOND,
                "position": str(answer.content.position),
            },
        )

    async def _ask(
        self,
        node: roster_lib.NodeRecord,
        question: messages.FollowRequest,
        patience: source_answers.Patience,
        timeout: datetime.timedelta,
    ) -> messages.FollowAnswer | None:
        """Return a node's answer; avoid one that has none for a while."""
        sent = self.clock.now()
        position = store_api.Position(question.era, question.after)
        period = store_sources.AVOIDED_PERIOD
        try:
            async with self.session.post(
                f"http://{node.peer_address}{change_feed.CHANGES_PATH}",
                data=msgspec.msgpack.encode(question),
                timeout=aiohttp.ClientTimeout(timeout.total_seconds()),
            ) as response:
                if response.status == 200:
                    return messages.decode(await response.read())
                reason = f"status {response.status}"
                if response.status == 503:
                    period = store_sources.NOT_WATCHING_PERIOD
        except asyncio.CancelledError:
            # Another source was faster.
            if self.clock.now() - sent >= patience.node:
                self._avoid(node, position, "late")
            raise
        except (
            aiohttp.ClientError,
            OSError,
            # The revision has no place in the question.
            OverflowError,
            RecursionError,
            zlib.error,
            ValueError,
        ) as error:
            reason = repr(error)
        self._avoid(node, position, reason, period)
        return None

    def _avoid(
        self,
        node: roster_lib.NodeRecord,
        position: store_api.Position,
        reason: str,
        period: datetime.timedelta = store_sources.AVOIDED_PERIOD,
    ) -> None:
        """Leave a node out for a while."""
        self.sources.avoid(node.name, self.clock.now(), period)
        logger.info(
            "Node could not be followed for changes in the store.",
            extra={
                "peer": node.name,
                "error": reason,
                "position": str(position),
                "picture_age_ms": self.age.get_age_ms(),
            },
        )


async def _pause() -> None:
    """Wait before the other nodes are asked once more."""
    await asyncio.sleep(NEXT_ROUND_PAUSE.total_seconds())


def _is_rejection(error: errors.KeyValueUnavailableError) -> bool:
    """Whether the store answers, but not the calls of this node."""
    return isinstance(error, errors.KeyValueRejectedError)


def _select(changes: store_api.Changes, prefix: str) -> store_api.Changes:
    """Return the changes of keys that begin with `prefix`."""
    return store_api.Changes(
        tuple(each for each in changes.changes if each.key.startswith(prefix)),
        changes.position,
    )
