"""Edits of the table: which rows change, from what, to what."""

from collections.abc import Iterable
import dataclasses
from typing import Final

import pydantic

from cicadahook.core import errors
from cicadahook.core import table as table_lib

_ROW: Final = pydantic.TypeAdapter(table_lib.Row)


@dataclasses.dataclass(frozen=True, slots=True)
class RowEdit:
    """A change of one row.

    Attributes:
        name: name of the row.
        row: the row as it should become; None removes it.
        base: the row as the operator saw it; None if there was none.
    """

    name: str
    row: table_lib.Row | None
    base: table_lib.Row | None


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """An edit of any number of rows, accepted all or none."""

    edits: tuple[RowEdit, ...]

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the rows that change."""
        return tuple(edit.name for edit in self.edits)


def create_changes(
    seen: table_lib.Table,
    rows: Iterable[table_lib.Row],
    removed: Iterable[str] = (),
) -> Changes:
    """Return the edit that sets `rows` and removes rows by name.

    Args:
        seen: the table that the operator saw.
        rows: rows to add or replace.
        removed: names of rows to remove.

    Raises:
        errors.RowError: a row is named twice, or is to be removed and absent.
    """
    edits = [RowEdit(row.name, row, seen.find(row.name)) for row in rows]
    for name in removed:
        base = seen.find(name)
        if base is None:
            raise errors.RowError(name, "name", "there is no such row")
        edits.append(RowEdit(name, None, base))
    names = [edit.name for edit in edits]
    for name in names:
        if names.count(name) > 1:
            raise errors.RowError(name, "name", "must be named once")
    return Changes(tuple(edits))


def apply(
    rows: Iterable[table_lib.Row], changes: Changes
) -> tuple[table_lib.Row, ...]:
    """Return `rows` with all of `changes`, validated.

    A row that already is as wanted is left alone, so an edit may be repeated.

    Raises:
        errors.EditConflictError: a row is not as the operator saw it.
        errors.RowError: the result is not allowed.
    """
    by_name = {row.name: row for row in rows}
    for edit in changes.edits:
        current = by_name.get(edit.name)
        if current == edit.row:
            continue
        if current != edit.base:
            raise errors.EditConflictError(
                edit.name, _dump(current), _dump(edit.row)
            )
        if edit.row is None:
            del by_name[edit.name]
        else:
            by_name[edit.name] = edit.row
    return table_lib.validate(by_name.values())


def _dump(row: table_lib.Row | None) -> str:
    """Return `row` as JSON, or nothing."""
    if row is None:
        return ""
    return _ROW.dump_json(row, exclude_defaults=True).decode()
