"""Follows a part of the store through outages and lost history."""

import asyncio
from collections.abc import Callable, Mapping
import datetime
import random
from typing import Final, Protocol

from cicadahook.core import budget
from cicadahook.core import errors
from cicadahook.core import store_api
from cicadahook.net import logs

# A watch may be forgotten without a word; the bounds on configuration and
# drain leave two seconds after the three in which that is excused.
WATCH_WAIT: Final = datetime.timedelta(milliseconds=2500)
NO_PAUSE: Final = datetime.timedelta()
FIRST_PAUSE: Final = datetime.timedelta(milliseconds=200)
LONGEST_PAUSE: Final = datetime.timedelta(milliseconds=800)

logger: Final = logs.create_logger("watch")


class StoreListener(Protocol):
    """Is told of the items below a prefix."""

    def apply_listing(
        self, listing: store_api.Listing, *, is_after_outage: bool
    ) -> None:
        """Replace what was known."""

    def apply_changes(self, changes: store_api.Changes) -> None:
        """Take note of changes since."""


class PrefixFanout:
    """Hands the items below several prefixes to a listener each.

    One watch of everything costs one call where three would cost three.

    Attributes:
        listeners: by prefix.
    """

    def __init__(self, listeners: Mapping[str, StoreListener]) -> None:
        self.listeners = listeners

    def apply_listing(
        self, listing: store_api.Listing, *, is_after_outage: bool
    ) -> None:
        """Hand each listener its part of a listing."""
        for prefix, listener in self.listeners.items():
            items = tuple(
                item for item in listing.items if item.key.startswith(prefix)
            )
            listener.apply_listing(
                store_api.Listing(items, listing.revision),
                is_after_outage=is_after_outage,
            )

    def apply_changes(self, changes: store_api.Changes) -> None:
        """Hand each listener its part of the changes."""
        for prefix, listener in self.listeners.items():
            own = tuple(
                change
                for change in changes.changes
                if change.key.startswith(prefix)
            )
            if own:
                listener.apply_changes(store_api.Changes(own, changes.revision))


class Watcher:
    """Keeps a listener up to date with the items below a prefix.

    Attributes:
        prefix: what is watched.
        revision: revision up to which the listener knows all.
        is_connected: whether the last call was answered.
        get_pause: returns the pause after changes, in which more may come.
    """

    def __init__(
        self,
        store: store_api.Store,
        prefix: str,
        listener: StoreListener,
        generator: random.Random,
        get_pause: Callable[[], datetime.timedelta] = lambda: NO_PAUSE,
    ) -> None:
        self.get_pause = get_pause
        self.store = store
        self.prefix = prefix
        self.listener = listener
        self.backoff = budget.Backoff(FIRST_PAUSE, LONGEST_PAUSE, generator)
        self.revision = 0
        self.is_connected = True

    async def run(self) -> None:
        """Follow the store until cancelled."""
        is_after_outage = False
        while True:
            try:
                await self._list(is_after_outage)
                is_after_outage = False
                while True:
                    await self._watch()
            except store_api.HistoryLostError as error:
                logger.info(
                    "History lost.",
                    extra={"prefix": self.prefix, "error": str(error)},
                )
            except errors.KeyValueUnavailableError as error:
                is_after_outage = True
                await self._pause(error)

    async def _list(self, is_after_outage: bool) -> None:
        listing = await self.store.list_items(self.prefix)
        self._note_answer(listing.revision)
        self.listener.apply_listing(listing, is_after_outage=is_after_outage)
        self.revision = listing.revision

    async def _watch(self) -> None:
        pause = self.get_pause()
        changes = await self.store.watch(
            self.prefix, self.revision, WATCH_WAIT - pause
        )
        self._note_answer(changes.revision)
        if changes.changes:
            self.listener.apply_changes(changes)
        self.revision = max(self.revision, changes.revision)
        if changes.changes:
            await asyncio.sleep(pause.total_seconds())

    def _note_answer(self, revision: int) -> None:
        self.backoff.succeed()
        if not self.is_connected:
            logger.info(
                "Store regained.",
                extra={"prefix": self.prefix, "revision": revision},
            )
        self.is_connected = True

    async def _pause(self, error: errors.KeyValueError) -> None:
        if self.is_connected:
            logger.warning(
                "Store lost.",
                extra={
                    "prefix": self.prefix,
                    "error": str(error),
                    "revision": self.revision,
                },
            )
        self.is_connected = False
        await asyncio.sleep(self.backoff.fail().total_seconds())
