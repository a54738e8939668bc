"""Stored form of the table: immutable pages and one head that lists them.

A page is named by the hash of its content, so an edit writes only the pages
that it changes.
"""

import collections
from collections.abc import Iterable, Mapping
import dataclasses
import datetime
from typing import Final

import pydantic

from cicadahook.core import hashing
from cicadahook.core import table as table_lib

PAGE_COUNT: Final = 16
HISTORY_LIMIT: Final = 50
HISTORY_NAME_LIMIT: Final = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Some rows of the table as JSON.

    Attributes:
        name: hash of `content`.
        content: the rows as JSON.
    """

    name: str
    content: str


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """An accepted edit.

    Attributes:
        generation: generation that the edit created.
        writer: unique id of the write: node, start of the node, write number.
        operator: operator who made the edit.
        time: time at which the edit was submitted.
        rows: names of the changed rows.
    """

    generation: int
    writer: str
    operator: str
    time: datetime.datetime
    rows: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The accepted version of the table.

    Attributes:
        generation: number of accepted edits.
        pages: names of the pages that make up the table.
        writer: id of the write that created the head. It tells a writer whose
            reply was lost whether its write was accepted.
        history: recent accepted edits, newest first.
    """

    generation: int = 0
    pages: tuple[str, ...] = ()
    writer: str = ""
    history: tuple[Version, ...] = ()

    def includes(self, writer: str) -> bool:
        """Whether the history holds the write `writer`."""
        return any(version.writer == writer for version in self.history)


_ROWS: Final = pydantic.TypeAdapter(tuple[table_lib.Row, ...])
_HEAD: Final = pydantic.TypeAdapter(Head)


def create_head(
    stored_pages: Iterable[Page],
    version: Version,
    history: Iterable[Version],
) -> Head:
    """Return the head that `version` creates on top of `history`."""
    return Head(
        version.generation,
        tuple(page.name for page in stored_pages),
        version.writer,
        _limit_history((version, *history)),
    )


def merge_histories(*heads: Head) -> tuple[Version, ...]:
    """Return the accepted edits of all `heads`, newest first."""
    by_writer = {
        version.writer: version for head in heads for version in head.history
    }
    return tuple(
        sorted(
            by_writer.values(),
            key=lambda version: (version.generation, version.writer),
            reverse=True,
        )
    )


def _limit_history(history: tuple[Version, ...]) -> tuple[Version, ...]:
    """Return the newest versions within the limits of a head's size."""
    kept_count = 1
    name_count = len(history[0].rows)
    for version in history[1:HISTORY_LIMIT]:
        name_count += len(version.rows)
        if name_count > HISTORY_NAME_LIMIT:
            break
        kept_count += 1
    return history[:kept_count]


def split(rows: Iterable[table_lib.Row]) -> tuple[Page, ...]:
    """Return the pages of `rows`; the name of a row alone decides its page."""
    groups: dict[int, list[table_lib.Row]] = collections.defaultdict(list)
    for row in table_lib.sort_rows(rows):
        groups[hashing.hash64(row.name) % PAGE_COUNT].append(row)
    return tuple(_create_page(groups[index]) for index in sorted(groups))


def _create_page(rows: Iterable[table_lib.Row]) -> Page:
    content = _ROWS.dump_json(tuple(rows), exclude_defaults=True).decode()
    return Page(hashing.hash128_hex(content), content)


def join(head: Head, contents: Mapping[str, str]) -> table_lib.Table:
    """Return the table of `head`, given the contents of its pages by name."""
    rows = (
        row
        for name in head.pages
        for row in _ROWS.validate_json(contents[name])
    )
    return table_lib.Table(head.generation, table_lib.sort_rows(rows))


def dump_head(head: Head) -> str:
    """Return `head` as JSON."""
    return _HEAD.dump_json(head).decode()


def parse_head(content: str) -> Head:
    """Return the head in the JSON `content`."""
    return _HEAD.validate_json(content)
