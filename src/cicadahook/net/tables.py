"""The table in the key-value service: reading, following and editing it."""

from collections.abc import AsyncIterator, Callable
import dataclasses
import datetime
from typing import Final

from cicadahook.core import errors
from cicadahook.core import pages
from cicadahook.core import table as table_lib
from cicadahook.net import keyvalue

HEAD_KEY: Final = "table/head"
PAGE_PREFIX: Final = "table/pages/"
RETRY_PAUSE: Final = datetime.timedelta(seconds=0.5)
EDIT_TRIES: Final = 8

Edit = Callable[[tuple[table_lib.Row, ...]], tuple[table_lib.Row, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredTable:
    """A table with the revision of its head."""

    table: table_lib.Table
    revision: int


class TableStore:
    """Reads and edits the table; keeps the pages that it has seen."""

    def __init__(self, client: keyvalue.KeyValueClient, node: str) -> None:
        self.client = client
        self.node = node
        self.contents: dict[str, str] = {}

    async def read(self) -> StoredTable:
        """Return the accepted table."""
        return await self._resolve(await self.client.get(HEAD_KEY))

    async def follow(self) -> AsyncIterator[table_lib.Table]:
        """Yield the table now, then again after each accepted edit."""
        async for snapshot in self.client.follow(HEAD_KEY, RETRY_PAUSE):
            for entry in snapshot.entries:
                yield (await self._resolve(entry)).table

    async def edit(self, change: Edit) -> table_lib.Table:
        """Apply `change` to the accepted rows and have the result accepted.

        Raises:
            errors.RowError: a row of the result is not allowed.
            errors.EditConflictError: raised by `change`.
            errors.KeyValueError: the service failed.
        """
        for _ in range(EDIT_TRIES):
            stored = await self.read()
            rows = table_lib.validate(change(stored.table.rows))
            try:
                return await self._accept(stored, rows)
            except errors.KeyValueConflictError:
                continue
        raise errors.KeyValueConflictError("the table keeps changing")

    async def _accept(
        self, stored: StoredTable, rows: tuple[table_lib.Row, ...]
    ) -> table_lib.Table:
        """Write the pages of `rows`, then move the head to them."""
        new_pages = pages.split(rows)
        for page in new_pages:
            await self._write_page(page)
        head = pages.Head(
            stored.table.generation + 1,
            tuple(page.name for page in new_pages),
            self.node,
        )
        await self.client.put(HEAD_KEY, pages.dump_head(head), stored.revision)
        return table_lib.Table(head.generation, rows)

    async def _write_page(self, page: pages.Page) -> None:
        """Store `page` unless it is known to be stored."""
        if page.name in self.contents:
            return
        try:
            await self.client.put(
                PAGE_PREFIX + page.name, page.content, keyvalue.ABSENT_REVISION
            )
        except errors.KeyValueConflictError:
            pass  # Pages are immutable: the one that is there is the same.
        self.contents[page.name] = page.content

    async def _resolve(self, entry: keyvalue.Entry) -> StoredTable:
        """Return the table of a head entry."""
        if entry.revision == keyvalue.ABSENT_REVISION:
            return StoredTable(table_lib.Table(), entry.revision)
        head = pages.parse_head(entry.value)
        for name in head.pages:
            if name not in self.contents:
                page = await self.client.get(PAGE_PREFIX + name)
                self.contents[name] = page.value
        return StoredTable(pages.join(head, self.contents), entry.revision)
