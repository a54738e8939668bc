"""Follows, repairs and edits the accepted table in the key-value service.

A head key names the pages of the newest accepted table. Controls also fetch
newer tables from each other, so they go on while the service is down.
"""

import asyncio
from collections.abc import Awaitable, Callable
import datetime
import itertools
from typing import Final

from reactivex import subject

from cicadahook.core import capacity_check
from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import hashing
from cicadahook.core import table as table_lib
from cicadahook.core import table_edits
from cicadahook.core import table_pages
from cicadahook.core import table_sync
from cicadahook.core import view
from cicadahook.net import keyvalue
from cicadahook.net import logs
from cicadahook.net import metrics

HEAD_KEY: Final = "table/head"
PAGE_PREFIX: Final = "table/pages/"
RETRY_PAUSE: Final = datetime.timedelta(seconds=0.5)
REPAIR_SPREAD: Final = datetime.timedelta(seconds=1)
EDIT_TRIES: Final = 12
PEER_TRIES: Final = 3
REPAIR_AUTHOR: Final = "cicada-control"

FetchFromPeer = Callable[[str, str], Awaitable[str]]

logger: Final = logs.create_logger("tables")


class PeerError(errors.CicadaError):
    """A peer did not return what was requested."""


async def _fetch_nothing(peer: str, path: str) -> str:
    """Fail as the default fetch function of a node without peers."""
    raise PeerError(f"{peer}{path}: no peer links")


class TableStore:
    """Keeps the newest accepted table in force on `tables`, and edits it.

    Attributes:
        sync: compares heads and holds the table in force.
        tables: the table in force, then each later one.
        fetch_from_peer: fetches a path of a peer's control; set by its owner.
        peers: addresses of live peers' controls; set by its owner.
        highest_generation: highest generation that any peer can provide.
        highest_source: address of a peer that can provide it.
        upstreams: engines on which the rows must fit; set by its owner.
        lagging: set while a peer has a newer table.
        session: identifies this start of the process in write ids.
        write_numbers: numbers of this process's writes.
    """

    def __init__(
        self,
        client: keyvalue.KeyValueClient,
        node: str,
        clock: clock_lib.Clock,
    ) -> None:
        self.client = client
        self.node = node
        self.clock = clock
        self.sync = table_sync.TableSync()
        self.upstreams: tuple[view.Upstream, ...] = ()
        self.tables: subject.BehaviorSubject[table_lib.Table] = (
            subject.BehaviorSubject(table_lib.Table())
        )
        self.fetch_from_peer: FetchFromPeer = _fetch_nothing
        self.peers: tuple[str, ...] = ()
        self.highest_generation = 0
        self.highest_source = ""
        self.lagging = asyncio.Event()
        self.session = int(clock.now().timestamp() * 1_000_000)
        self.write_numbers = itertools.count(1)

    async def run(self) -> None:
        """Follow the accepted table until cancelled.

        The qualified names of this method and `run_catch_up` are values of a
        metric label.
        """
        async for snapshot in self.client.follow(HEAD_KEY, RETRY_PAUSE):
            entry = keyvalue.Entry(HEAD_KEY, "", keyvalue.ABSENT_REVISION)
            entry = next(iter(snapshot.entries), entry)
            try:
                await self._follow_head(entry)
            except errors.KeyValueError as error:
                logger.warning(
                    "Head of the table could not be applied: %s.", error
                )
                await self.client.sleep(RETRY_PAUSE)

    def record_newest(self, generation: int, source: str) -> None:
        """Record that the peer `source` can provide `generation`."""
        if generation > self.highest_generation:
            self.highest_generation = generation
            self.highest_source = source
            self.lagging.set()

    async def run_catch_up(self) -> None:
        """Fetch newer tables announced by gossip, until cancelled."""
        backoff = self.client.gate.create_backoff()
        while True:
            await self.lagging.wait()
            self.lagging.clear()
            await self.catch_up()
            if self.highest_generation <= self.sync.head.generation:
                backoff.succeed()
                continue
            self.lagging.set()
            await self.client.sleep(backoff.fail())

    async def catch_up(self) -> None:
        """Fetch the newest table from its source, else from other peers."""
        count = min(PEER_TRIES, len(self.peers))
        others = self.client.gate.rng.sample(self.peers, count)
        asked = (
            [self.highest_source, *others] if self.highest_source else others
        )
        for peer in asked:
            try:
                await self._pull(peer)
            except (PeerError, ValueError) as error:
                logger.info("No table fetched from peer %s: %s.", peer, error)
            if self.sync.head.generation >= self.highest_generation:
                return

    async def edit(
        self, table_edit: table_edits.TableEdit, operator: str
    ) -> table_lib.Table:
        """Write `table_edit`, all or none; return the accepted table.

        Concurrent edits of other rows are kept. An edit that is already in
        force is accepted without a new generation.

        Raises:
            errors.RowError: a row of the result is not allowed.
            errors.EditConflictError: a row was changed by another edit.
            errors.KeyValueNotSentError: the edit was not accepted.
            errors.KeyValueConflictError: the edit was not accepted.
            errors.KeyValueUnavailableError: the edit may be accepted or not.
        """
        backoff = self.client.gate.create_backoff()
        for _ in range(EDIT_TRIES):
            revision = await self._prepare_edit()
            rows = table_edits.apply(self.sync.table.rows, table_edit)
            if rows == self.sync.table.rows:
                return self.sync.table
            self._check_fit(rows)
            try:
                await self._accept(revision, rows, table_edit.names, operator)
                return self.sync.table
            except errors.KeyValueConflictError:
                count_table_event("rebased")
                await self.client.sleep(backoff.fail() / 4)
        raise errors.KeyValueConflictError("the table keeps changing")

    def _check_fit(self, rows: tuple[table_lib.Row, ...]) -> None:
        """Raise RowError if the rows fit on the engines only without the edit.

        If the rows in force do not fit either, as after the loss of an
        upstream, the edit is not the cause and is allowed.
        """
        error = capacity_check.find_unplaceable_row(rows, self.upstreams)
        if error is None:
            return
        if (
            capacity_check.find_unplaceable_row(
                self.sync.table.rows, self.upstreams
            )
            is None
        ):
            raise error

    async def _prepare_edit(self) -> int:
        """Read the accepted table; on failure, nothing has been written."""
        try:
            return await self._read_newest()
        except errors.KeyValueUnavailableError as error:
            raise errors.KeyValueNotSentError(f"not edited: {error}") from error

    def history(self) -> tuple[table_pages.Version, ...]:
        """Return the recent accepted edits, the newest first."""
        return self.sync.head.history

    def dump_head(self) -> str:
        """Return the head in force as JSON, for peers."""
        return table_pages.dump_head(self.sync.head)

    def find_page(self, name: str) -> str | None:
        """Return the content of a page of the table in force, for peers."""
        return self.sync.contents.get(name)

    async def _follow_head(self, entry: keyvalue.Entry) -> None:
        """Apply the head in the service, or repair it."""
        head = _parse_entry(entry)
        action = self.sync.choose_action(head)
        if action in (table_sync.SyncAction.KEEP, table_sync.SyncAction.APPLY):
            await self._apply(head)
            return
        # All nodes read an outdated head at the same time. Each waits for a
        # random time and reads again, so that only the first repairs it.
        await self.client.sleep(
            REPAIR_SPREAD * self.client.gate.rng.uniform(0.0, 1.0)
        )
        await self._read_newest()

    async def _read_newest(self) -> int:
        """Put the accepted table in force; return its head's revision.

        Raises:
            errors.KeyValueError: the service failed, or the table kept
                changing.
        """
        if self.highest_generation > self.sync.head.generation:
            await self.catch_up()
        for _ in range(EDIT_TRIES):
            entry = await self.client.get(HEAD_KEY)
            head = _parse_entry(entry)
            action = self.sync.choose_action(head)
            if action is table_sync.SyncAction.KEEP:
                return entry.revision
            if action is table_sync.SyncAction.APPLY:
                await self._apply(head)
                if self.sync.head.writer == head.writer:
                    return entry.revision
                continue
            try:
                await self._repair(action, head, entry.revision)
            except errors.KeyValueConflictError:
                continue
        raise errors.KeyValueConflictError("the table keeps changing")

    async def _repair(
        self,
        action: table_sync.SyncAction,
        stored: table_pages.Head,
        revision: int,
    ) -> None:
        """Replace a stored head that lacks accepted edits."""
        count_table_event(action.value)
        logger.warning(
            "Service shows table %d, %d is in force: %s.",
            stored.generation,
            self.sync.head.generation,
            action.value,
        )
        if action is table_sync.SyncAction.MERGE:
            await self._fetch_pages(stored)
            merge = self.sync.merge(stored)
            for name in merge.dropped:
                count_table_event("merge_dropped_row")
                logger.error(
                    "Edit of row %r dropped in a merge: no longer allowed.",
                    name,
                )
            await self._accept(revision, merge.rows, (), REPAIR_AUTHOR, stored)
            return
        head = self.sync.head
        contents = self.sync.contents
        for name in head.pages:
            await self._write_page(table_pages.Page(name, contents[name]))
        await self.client.put_unique(
            HEAD_KEY,
            table_pages.dump_head(head),
            revision,
            lambda value: _includes(value, head.writer),
        )

    async def _accept(
        self,
        revision: int,
        rows: tuple[table_lib.Row, ...],
        names: tuple[str, ...],
        operator: str,
        merged: table_pages.Head = table_pages.Head(),
    ) -> None:
        """Write the pages of `rows`, then move the head to them."""
        known = self.sync.head
        new_pages = table_pages.split(rows)
        for page in new_pages:
            if page.name not in known.pages or merged.generation:
                await self._write_page(page)
        version = table_pages.Version(
            max(known.generation, merged.generation) + 1,
            f"{self.node}/{self.session}/{next(self.write_numbers)}",
            operator,
            self.clock.now(),
            names,
        )
        history = table_pages.merge_histories(known, merged)
        head = table_pages.create_head(new_pages, version, history)
        await self.client.put_unique(
            HEAD_KEY,
            table_pages.dump_head(head),
            revision,
            lambda value: _includes(value, head.writer),
        )
        self.sync.contents.update(
            (page.name, page.content) for page in new_pages
        )
        self._put_in_force(head)

    async def _write_page(self, page: table_pages.Page) -> None:
        """Store `page` unless it exists; equal names mean equal content."""
        try:
            await self.client.put_unique(
                PAGE_PREFIX + page.name,
                page.content,
                keyvalue.ABSENT_REVISION,
                lambda value: value == page.content,
            )
        except errors.KeyValueConflictError:
            logger.debug("Page %s is stored already.", page.name)
        except errors.KeyValueUnavailableError as error:
            raise errors.KeyValueNotSentError(
                f"page {page.name} not stored: {error}"
            ) from error

    async def _apply(self, head: table_pages.Head) -> None:
        """Put a head from the service in force."""
        await self._fetch_pages(head)
        self._put_in_force(head)

    async def _fetch_pages(self, head: table_pages.Head) -> None:
        """Read the missing pages of `head` from the service."""
        while missing := self.sync.find_missing(head):
            name = missing[0]
            entry = await self.client.get(PAGE_PREFIX + name)
            if hashing.hash128_hex(entry.value) != name:
                raise errors.KeyValueUnavailableError(f"page {name} is lost")
            self.sync.contents[name] = entry.value

    async def _pull(self, peer: str) -> None:
        """Apply the table of a peer if it follows from the one in force."""
        head = table_pages.parse_head(
            await self.fetch_from_peer(peer, "/peer/head")
        )
        if not self.sync.is_ahead(head):
            return
        if self.sync.choose_action(head) is not table_sync.SyncAction.APPLY:
            # Its table is newer but lacks edits in force here: not taken over.
            logger.warning("Peer %s has another branch.", peer)
            return
        while missing := self.sync.find_missing(head):
            name = missing[0]
            content = await self.fetch_from_peer(peer, f"/peer/pages/{name}")
            if hashing.hash128_hex(content) != name:
                raise PeerError(f"page {name} is not what its name says")
            self.sync.contents[name] = content
        if self._put_in_force(head):
            count_table_event("pulled_from_peer")

    def _put_in_force(self, head: table_pages.Head) -> bool:
        """Put `head` in force unless a newer one already is.

        Returns:
            Whether `head` is in force now.
        """
        if not self.sync.put_in_force(head):
            return False
        self.highest_generation = max(self.highest_generation, head.generation)
        logger.info("Table %d is in force.", head.generation)
        self.tables.on_next(self.sync.table)
        return True


def count_table_event(event: str) -> None:
    """Count a repair, retry or fetch of the table."""
    counter = metrics.create_counter(
        "cicada_table_events", "Repairs and retries of the table, by event."
    )
    counter.add(1, {"event": event})


def _parse_entry(entry: keyvalue.Entry) -> table_pages.Head:
    """Return the head in `entry`; generation 0 if the entry is absent."""
    if entry.revision == keyvalue.ABSENT_REVISION:
        return table_pages.Head()
    return table_pages.parse_head(entry.value)


def _includes(value: str, writer: str) -> bool:
    """Whether the head in `value` includes the write `writer`."""
    return bool(value) and table_pages.parse_head(value).includes(writer)
