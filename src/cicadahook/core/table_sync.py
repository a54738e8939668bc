"""The table in force on a node, and its synchronisation with the stored one.

The generation in force never decreases.
"""

import dataclasses
import enum

from cicadahook.core import errors
from cicadahook.core import table as table_lib
from cicadahook.core import table_edits
from cicadahook.core import table_pages


class SyncAction(enum.StrEnum):
    """Reaction to the head that is stored in the key-value service.

    KEEP changes nothing, APPLY puts the stored head in force, REPUBLISH writes
    the head in force to the service, and MERGE writes a merge of both.
    """

    KEEP = "keep"
    APPLY = "apply"
    REPUBLISH = "republish"
    MERGE = "merge"


@dataclasses.dataclass(frozen=True, slots=True)
class Merge:
    """Rows of two merged branches, and the rows whose edits were dropped."""

    rows: tuple[table_lib.Row, ...]
    dropped: tuple[str, ...] = ()


class TableSync:
    """Holds the table in force and compares heads of service and peers with it.

    Attributes:
        head: head of the table in force.
        table: table in force.
        contents: contents of the known pages, by page name.
    """

    def __init__(self) -> None:
        self.head = table_pages.Head()
        self.table = table_lib.Table()
        self.contents: dict[str, str] = {}

    def choose_action(self, stored: table_pages.Head) -> SyncAction:
        """Return the reaction to `stored`, the head in the service.

        A service that was restored from a backup has a head that the one in
        force already includes. After an edit of the restored table it has a
        head of another branch.
        """
        if stored.writer == self.head.writer:
            return SyncAction.KEEP
        if not self.head.generation or stored.includes(self.head.writer):
            return SyncAction.APPLY
        if not stored.generation or self.head.includes(stored.writer):
            return SyncAction.REPUBLISH
        oldest = stored.history[-1].generation if stored.history else 0
        if oldest > self.head.generation:
            return SyncAction.APPLY
        ours = self.head.history[-1].generation if self.head.history else 0
        if ours > stored.generation:
            return SyncAction.REPUBLISH
        return SyncAction.MERGE

    def is_ahead(self, head: table_pages.Head) -> bool:
        """Whether the head of a peer is newer than the one in force."""
        return head.generation > self.head.generation

    def find_missing(self, head: table_pages.Head) -> tuple[str, ...]:
        """Return the names of the pages of `head` that are not known yet."""
        return tuple(name for name in head.pages if name not in self.contents)

    def put_in_force(self, head: table_pages.Head) -> bool:
        """Put `head` in force if it is newer; return whether it was.

        All pages of `head` must be known.
        """
        if not self.is_ahead(head):
            return False
        table = table_pages.join(head, self.contents)
        assert (
            table.generation > self.table.generation
        ), "table generation decreased"
        self.head = head
        self.table = table
        self.contents = {name: self.contents[name] for name in head.pages}
        return True

    def merge(self, stored: table_pages.Head) -> Merge:
        """Return the rows in force with the edits that only `stored` has.

        The edits of `stored` are the later ones: they were made on a restored
        backup after the service had lost the edits in force here. A row that
        would make the table invalid is dropped. All pages of `stored` must be
        known.
        """
        changed = {
            name
            for version in stored.history
            if not self.head.includes(version.writer)
            for name in version.rows
        }
        theirs = table_pages.join(stored, self.contents)
        rows = self.table.rows
        dropped = []
        for name in sorted(
            changed, key=lambda name: _adapters_last(theirs, name)
        ):
            edit = table_edits.RowEdit(
                name, theirs.find(name), self.table.find(name)
            )
            try:
                rows = table_edits.apply(rows, table_edits.TableEdit((edit,)))
            except errors.RowError:
                dropped.append(name)
        return Merge(rows, tuple(dropped))


def _adapters_last(table: table_lib.Table, name: str) -> tuple[bool, str]:
    """Return a sort key that orders adapters after their models."""
    row = table.find(name)
    return row is not None and bool(row.base), name
