"""Stored form of the table: immutable pages named by their hash, one head."""

import collections
from collections.abc import Iterable, Mapping
import dataclasses
import datetime
from typing import Final

import pydantic

from cicadahook.core import digests
from cicadahook.core import table as table_lib

PAGE_COUNT: Final = 16
HISTORY_LIMIT: Final = 50
HISTORY_NAME_LIMIT: Final = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Some rows of the table as JSON, named by the hash of that JSON."""

    name: str
    content: str


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """An accepted edit.

    Attributes:
        generation: generation that it made.
        writer: unique id of the write: node, start of the node, write number.
        operator: who made the edit.
        time: when it was sent to be accepted.
        rows: names of the rows that changed.
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
        writer: id of the write that made it, so that a lost reply can be
            resolved.
        history: recent accepted edits, the newest first.
    """

    generation: int = 0
    pages: tuple[str, ...] = ()
    writer: str = ""
    history: tuple[Version, ...] = ()

    def includes(self, writer: str) -> bool:
        """Whether the write `writer` is known to be part of this version."""
        return any(version.writer == writer for version in self.history)


_ROWS: Final = pydantic.TypeAdapter(tuple[table_lib.Row, ...])
_HEAD: Final = pydantic.TypeAdapter(Head)


def create_head(
    stored_pages: Iterable[Page],
    version: Version,
    history: Iterable[Version],
) -> Head:
    """Return the head that `version` makes on top of `history`."""
    return Head(
        version.generation,
        tuple(page.name for page in stored_pages),
        version.writer,
        _limit_history((version, *history)),
    )


def merge_histories(*heads: Head) -> tuple[Version, ...]:
    """Return the accepted edits of all `heads`, the newest first."""
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
    """Return the newest versions that fit beside the page names."""
    kept_count = 1
    name_count = len(history[0].rows)
    for version in history[1:HISTORY_LIMIT]:
        name_count += len(version.rows)
        if name_count > HISTORY_NAME_LIMIT:
            break
        kept_count += 1
    return history[:kept_count]


def split(rows: Iterable[table_lib.Row]) -> tuple[Page, ...]:
    """Return the pages of `rows`; a row's page depends on its name only."""
    groups: dict[int, list[table_lib.Row]] = collections.defaultdict(list)
    for row in table_lib.sort_rows(rows):
        groups[digests.number(row.name) % PAGE_COUNT].append(row)
    return tuple(_create_page(groups[index]) for index in sorted(groups))


def _create_page(rows: Iterable[table_lib.Row]) -> Page:
    content = _ROWS.dump_json(tuple(rows), exclude_defaults=True).decode()
    return Page(digests.name(content), content)


def join(head: Head, contents: Mapping[str, str]) -> table_lib.Table:
    """Return the table that `head` names, given the content of its pages."""
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
    """Return the head stored as `content`."""
    return _HEAD.validate_json(content)
