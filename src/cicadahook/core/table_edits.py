"""Edits of the table, applied with a check against concurrent edits."""

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
        row: new content of the row; None removes it.
        base: content that the edit is based on; None if there was no row.
    """

    name: str
    row: table_lib.Row | None
    base: table_lib.Row | None


@dataclasses.dataclass(frozen=True, slots=True)
class TableEdit:
    """An edit of any number of rows, which is accepted as a whole or not."""

    edits: tuple[RowEdit, ...]

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the changed rows."""
        return tuple(edit.name for edit in self.edits)


def create_edit(
    seen: table_lib.Table,
    rows: Iterable[table_lib.Row],
    removed: Iterable[str] = (),
) -> TableEdit:
    """Return the edit that sets `rows` and removes rows by name.

    Args:
        seen: table that the edit is based on.
        rows: rows to add or replace.
        removed: names of rows to remove.

    Raises:
        errors.RowError: a row is named twice, or a row to remove is absent.
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
    return TableEdit(tuple(edits))


def apply(
    rows: Iterable[table_lib.Row], table_edit: TableEdit
) -> tuple[table_lib.Row, ...]:
    """Return `rows` with `table_edit` applied, validated.

    A row that already has its new content is left as it is, so applying an
    edit again has no effect.

    Raises:
        errors.EditConflictError: a row differs from the base of its edit.
        errors.RowError: the resulting table is invalid.
    """
    by_name = {row.name: row for row in rows}
    for edit in table_edit.edits:
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
    """Return `row` as JSON, or an empty string for None."""
    if row is None:
        return ""
    return _ROW.dump_json(row, exclude_defaults=True).decode()
