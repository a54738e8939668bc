"""Stored form of the table: immutable pages named by their hash, one head."""

import collections
from collections.abc import Iterable, Mapping
import dataclasses
from typing import Final

import pydantic

from cicadahook.core import digests
from cicadahook.core import table as table_lib

PAGE_COUNT: Final = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Some rows of the table as JSON, named by the hash of that JSON."""

    name: str
    content: str


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The accepted version of the table.

    Attributes:
        generation: number of accepted edits.
        pages: names of the pages that make up the table.
        writer: node and write number, so that a lost reply can be resolved.
    """

    generation: int = 0
    pages: tuple[str, ...] = ()
    writer: str = ""


_ROWS: Final = pydantic.TypeAdapter(tuple[table_lib.Row, ...])
_HEAD: Final = pydantic.TypeAdapter(Head)


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
