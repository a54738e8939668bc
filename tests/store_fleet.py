"""A fleet of nodes that learn of changes in the store, without the rest."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import datetime
import random

import aiohttp
from aiohttp import web

from cicadahook.core import change_log
from cicadahook.core import errors
from cicadahook.core import picture_age
from cicadahook.core import roster as roster_lib
from cicadahook.core import status_schedule
from cicadahook.core import store_api
from cicadahook.core import store_contact
from cicadahook.core import store_eras
from cicadahook.core import store_sources
from cicadahook.net import clock as system_clock
from cicadahook.net import holder_lease
from cicadahook.net import store_relay
from cicadahook.net import store_watcher
from cicadahook.platform import caller_server
from cicadahook.platform import metadata_store
import store_positions

HOST = "127.0.0.1"
ZONES = 3


class Store:
    """A store of items and changes, without leases.

    Attributes:
        log: its items and changes.
        news: set at the next change.
    """

    def __init__(self) -> None:
        self.log = change_log.ChangeLog()
        self.log.apply_listing(store_api.Listing((), store_positions.at(1)))
        self.news = asyncio.Event()

    def put(self, key: str, value: bytes | None = b"v") -> float:
        """Write or delete a key; return when this was acknowledged."""
        now = self.log.position
        position = store_positions.at(now.revision + 1, now.era)
        change = store_api.Change(key, value, position)
        self.log.apply_changes(store_api.Changes((change,), position))
        self.news.set()
        self.news = asyncio.Event()
        return asyncio.get_running_loop().time()

    def restore(self, items: tuple[store_api.Item, ...], revision: int) -> None:
        """Return, in a new era, from a copy with these items."""
        era = self.log.position.era + 1
        self.log.apply_listing(
            store_api.Listing(
                tuple(
                    store_api.Item(
                        item.key,
                        item.value,
                        store_positions.at(item.position.revision, era),
                    )
                    for item in items
                ),
                store_positions.at(revision, era),
            )
        )
        self.news.set()
        self.news = asyncio.Event()


class StoreLink:
    """A node's link to the store.

    Attributes:
        contact: whether the store answers this node.
        is_silent: whether nothing gets through, also of calls under way.
        is_rejecting: whether the store turns all calls of this node away.
        dead_connections: number of kept connections that fell silent and have
            not been used since.
        falls: number of times that all connections fell silent.
        watches: number of watches.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        clock = system_clock.SystemClock()
        self.contact = store_contact.StoreContact(clock)
        self.eras = store_eras.EraTracker(self.contact)
        self.is_silent = False
        self.is_rejecting = False
        self.dead_connections = 0
        self.falls = 0
        self.watches = 0
        self.cuts = asyncio.Event()

    def cut_watch(self) -> None:
        """Break off the connection of the watch that is waiting."""
        self.cuts.set()
        self.cuts = asyncio.Event()

    def silence_connections(self, unused: int) -> None:
        """Let all connections fall silent, among them some that are unused."""
        self.falls += 1
        self.dead_connections = unused

    async def list_items(
        self, prefix: str, *, is_fresh: bool = False
    ) -> store_api.Listing:
        """Return all items."""
        del prefix
        sent = self.contact.clock.now()
        await self._connect(metadata_store.CALL_TIMEOUT, is_fresh=is_fresh)
        self.contact.record_answer()
        self.eras.observe(self.store.log.position.era, sent)
        return self.store.log.create_listing()

    async def watch(
        self,
        prefix: str,
        position: store_api.Position,
        wait: datetime.timedelta,
        *,
        is_fresh: bool = False,
    ) -> store_api.Changes:
        """Return the changes after a revision."""
        del prefix
        self.watches += 1
        asked = self.contact.clock.now()
        loop = asyncio.get_running_loop()
        sent = loop.time()
        limit = wait + metadata_store.WATCH_TIMEOUT_MARGIN
        await self._connect(limit, is_fresh=is_fresh)
        falls = self.falls
        if position > self.store.log.position:
            raise store_api.HistoryLostError("no such revision")
        if self.store.log.position <= position:
            news = asyncio.ensure_future(self.store.news.wait())
            cut = asyncio.ensure_future(self.cuts.wait())
            await asyncio.wait(
                (news, cut),
                timeout=wait.total_seconds(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            is_cut = cut.done()
            for waiting in (news, cut):
                waiting.cancel()
            await asyncio.gather(news, cut, return_exceptions=True)
            if is_cut:
                raise errors.KeyValueUnavailableError("reset")
        elapsed = datetime.timedelta(seconds=loop.time() - sent)
        if falls != self.falls:
            await self._hang(limit - elapsed)
        await self._check(limit - elapsed)
        self.contact.record_answer()
        era = self.store.log.position.era
        self.eras.observe(era, asked)
        if position.era != era:
            raise store_api.HistoryLostError(f"era {era}")
        return self.store.log.list_after(position)

    async def renew_leases(self) -> None:
        """Renew a lease again and again, as all nodes do."""
        while True:
            with contextlib.suppress(errors.KeyValueUnavailableError):
                await self._connect(metadata_store.CALL_TIMEOUT)
                self.contact.record_answer()
            await asyncio.sleep(holder_lease.RENEWAL_PERIOD.total_seconds())

    async def _connect(
        self, limit: datetime.timedelta, *, is_fresh: bool = False
    ) -> None:
        """Begin a call, on a kept connection if there is one."""
        if self.dead_connections and not is_fresh:
            self.dead_connections -= 1
            await self._hang(limit)
        await self._check(limit)

    async def _check(self, limit: datetime.timedelta) -> None:
        if self.is_rejecting:
            raise errors.KeyValueRejectedError("status 503")
        if self.is_silent:
            await self._hang(limit)

    async def _hang(self, limit: datetime.timedelta) -> None:
        """Get no answer."""
        await asyncio.sleep(max(0.0, limit.total_seconds()))
        raise errors.KeyValueUnavailableError("not answered")


class Node:
    """A node that learns of changes.

    Attributes:
        record: its record.
        link: its link to the store.
        relayed: the store, or nodes that watch it.
        watcher: keeps it up to date.
        heard: when it heard of the last change of each key.
    """

    def __init__(
        self,
        roster: roster_lib.Roster,
        store: Store,
        session: aiohttp.ClientSession,
    ) -> None:
        self.record = roster.own
        self.link = StoreLink(store)
        self.age = picture_age.PictureAge(system_clock.SystemClock())
        self.relayed = store_relay.RelayedStore(
            self.link,  # type: ignore[arg-type]
            store_sources.StoreSources(roster, self.link.contact),
            session,
            self.age,
        )
        self.heard: dict[str, float] = {}
        self.watcher = store_watcher.Watcher(
            self.relayed,
            "",
            store_watcher.PrefixFanout({"": self}),
            random.Random(1),
            self.relayed.get_pause,
        )

    @property
    def is_watcher(self) -> bool:
        """Whether it watches the store by itself, for others."""
        return self.relayed.is_direct

    def apply_listing(
        self, listing: store_api.Listing, *, is_after_outage: bool
    ) -> None:
        """Record all items."""
        self.relayed.feed.apply_listing(
            listing, is_after_outage=is_after_outage
        )
        now = asyncio.get_running_loop().time()
        for item in listing.items:
            self.heard.setdefault(item.key, now)

    def apply_changes(self, changes: store_api.Changes) -> None:
        """Record changes."""
        self.relayed.feed.apply_changes(changes)
        now = asyncio.get_running_loop().time()
        for change in changes.changes:
            self.heard[change.key] = now


def create_rosters(size: int, port: int) -> list[roster_lib.Roster]:
    """Return the rosters of nodes that have heard each other."""
    records = [
        roster_lib.NodeRecord(
            f"n{number}",
            f"zone-{number % ZONES}",
            "region",
            f"{HOST}:1",
            f"{HOST}:{port + number}",
            1,
        )
        for number in range(size)
    ]
    return [roster_lib.Roster(record) for record in records]


async def tell(nodes: list[Node]) -> None:
    """Let all nodes hear each other until cancelled."""
    clock = system_clock.SystemClock()
    number = 0
    while True:
        number += 1
        for node in nodes:
            for other in nodes:
                node.relayed.sources.roster.record_status(
                    roster_lib.NodeStatus(
                        other.record,
                        number,
                        True,
                        False,
                        False,
                        0,
                        0,
                        capabilities=status_schedule.CAPABILITIES,
                        lacks_store=other.link.contact.is_lost(),
                    ),
                    clock.now(),
                )
        await asyncio.sleep(0.2)


@contextlib.asynccontextmanager
async def run(size: int, port: int) -> AsyncIterator[tuple[Store, list[Node]]]:
    """Run a fleet of nodes whose ports begin at `port`."""
    store = Store()
    rosters = create_rosters(size, port)
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        nodes = [Node(roster, store, session) for roster in rosters]
        for node in nodes:
            await stack.enter_async_context(
                caller_server.listen(
                    web.Server(node.relayed.feed.handle),
                    HOST,
                    int(node.record.peer_address.rsplit(":", 1)[1]),
                )
            )
        tasks = [asyncio.create_task(tell(nodes))]
        await asyncio.sleep(0.05)
        for node in nodes:
            tasks.append(asyncio.create_task(node.watcher.run()))
            tasks.append(asyncio.create_task(node.link.renew_leases()))
        try:
            yield store, nodes
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
