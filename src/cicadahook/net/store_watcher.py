"""Watches a key prefix of the store through outages and lost history.

`Watcher` lists the items once, then applies changes, and lists them again
whenever changes may have been missed.
"""

import asyncio
from collections.abc import Callable, Mapping
import datetime
import random
from typing import Final, Protocol

from cicadahook.core import errors
from cicadahook.core import keyvalue_limits
from cicadahook.core import store_api
from cicadahook.net import logs

# The store may drop a watch silently, which shows when this wait and the time
# limit of the call have passed.
WATCH_WAIT: Final = datetime.timedelta(seconds=1)
# The watch after one that ended tells whether the store is lost.
RETRY_WAIT: Final = datetime.timedelta(milliseconds=100)
NO_PAUSE: Final = datetime.timedelta()
FIRST_PAUSE: Final = datetime.timedelta(milliseconds=200)
LONGEST_PAUSE: Final = datetime.timedelta(milliseconds=800)

logger: Final = logs.create_logger("watch")


class StoreListener(Protocol):
    """Receives the items below a prefix and their changes."""

    def apply_listing(
        self, listing: store_api.Listing, *, is_after_outage: bool
    ) -> None:
        """Replace all known items by a listing."""

    def apply_changes(self, changes: store_api.Changes) -> None:
        """Apply the changes since the last listing or changes."""


class ChangeSource(Protocol):
    """Tells of items and changes, as `store_api.Store` does."""

    async def list_items(self, prefix: str) -> store_api.Listing:
        """Return all items whose key begins with `prefix`."""

    async def watch(
        self,
        prefix: str,
        position: store_api.Position,
        wait: datetime.timedelta,
    ) -> store_api.Changes:
        """Return the changes after `position`, waiting up to `wait` for one."""


class PrefixFanout:
    """Distributes listings and changes to one listener for each prefix.

    With it, one watch, which is one call, covers all prefixes.

    Attributes:
        listeners: listeners by prefix.
    """

    def __init__(self, listeners: Mapping[str, StoreListener]) -> None:
        self.listeners = listeners

    def apply_listing(
        self, listing: store_api.Listing, *, is_after_outage: bool
    ) -> None:
        """Pass each listener its part of a listing."""
        for prefix, listener in self.listeners.items():
            items = tuple(
                item for item in listing.items if item.key.startswith(prefix)
            )
            listener.apply_listing(
                store_api.Listing(items, listing.position),
                is_after_outage=is_after_outage,
            )

    def apply_changes(self, changes: store_api.Changes) -> None:
        """Pass each listener its part of the changes."""
        for prefix, listener in self.listeners.items():
            own = tuple(
                change
                for change in changes.changes
                if change.key.startswith(prefix)
            )
            if own:
                listener.apply_changes(store_api.Changes(own, changes.position))


class Watcher:
    """Keeps a listener up to date with the items below a prefix.

    Attributes:
        store: the store to watch, or what stands for it.
        prefix: key prefix that is watched.
        listener: receives listings and changes.
        position: position up to which the listener has all changes.
        is_connected: whether the last call was answered.
        get_pause: returns the pause after changes, so that more are read by
            the next call.
    """

    def __init__(
        self,
        store: ChangeSource,
        prefix: str,
        listener: StoreListener,
        generator: random.Random,
        get_pause: Callable[[], datetime.timedelta] = lambda: NO_PAUSE,
    ) -> None:
        self.get_pause = get_pause
        self.store = store
        self.prefix = prefix
        self.listener = listener
        self.backoff = keyvalue_limits.Backoff(
            FIRST_PAUSE, LONGEST_PAUSE, generator
        )
        self.position = store_api.ORIGIN
        self.is_connected = True

    async def run(self) -> None:
        """Watch the store until cancelled.

        The qualified name of this method is the value of a metric label.
        """
        is_after_outage = False
        while True:
            try:
                await self._list(is_after_outage)
                is_after_outage = False
                await self._follow()
            except store_api.HistoryLostError as error:
                logger.info(
                    "Store no longer has the changes; all items are listed.",
                    extra={"prefix": self.prefix, "error": str(error)},
                )
            except errors.KeyValueUnavailableError as error:
                is_after_outage = True
                await self._pause(error)

    async def _list(self, is_after_outage: bool) -> None:
        listing = await self.store.list_items(self.prefix)
        self._record_answer(listing.position)
        # What was written since the copy is written again, as after an outage.
        is_after_loss = (
            store_api.ORIGIN.era < self.position.era < (listing.position.era)
        )
        self.listener.apply_listing(
            listing, is_after_outage=is_after_outage or is_after_loss
        )
        self.position = listing.position

    async def _follow(self) -> None:
        """Apply changes until the store is lost.

        A watch may end while the store is well; what it missed then comes by
        the next one.
        """
        while True:
            try:
                await self._watch(WATCH_WAIT)
            except errors.KeyValueUnavailableError as error:
                logger.info(
                    "Watch of the store ended; it is begun again.",
                    extra={
                        "prefix": self.prefix,
                        "error": str(error),
                        "position": str(self.position),
                    },
                )
                await self._watch(RETRY_WAIT)

    async def _watch(self, wait: datetime.timedelta) -> None:
        changes = await self.store.watch(self.prefix, self.position, wait)
        self._record_answer(changes.position)
        if changes.changes:
            self.listener.apply_changes(changes)
        self.position = max(self.position, changes.position)
        if changes.changes:
            await asyncio.sleep(self.get_pause().total_seconds())

    def _record_answer(self, position: store_api.Position) -> None:
        self.backoff.succeed()
        if not self.is_connected:
            logger.info(
                "Store answers again.",
                extra={"prefix": self.prefix, "position": str(position)},
            )
        self.is_connected = True

    async def _pause(self, error: errors.KeyValueError) -> None:
        if self.is_connected:
            logger.warning(
                "Store lost.",
                extra={
                    "prefix": self.prefix,
                    "error": str(error),
                    "position": str(self.position),
                },
            )
        self.is_connected = False
        await asyncio.sleep(self.backoff.fail().total_seconds())
