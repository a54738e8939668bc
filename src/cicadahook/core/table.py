"""The operators' table: its rows, their validation, and its versions.

The table configures models, adapters, services and upstreams.
"""

import collections
from collections.abc import Iterable, Iterator
import dataclasses
import enum
import functools
import re
from typing import Final

from cicadahook.core import errors

NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}")


class RowKind(enum.StrEnum):
    """What a row describes."""

    MODEL = "model"
    ADAPTER = "adapter"
    SERVICE = "service"
    UPSTREAM = "upstream"


PLACED_KINDS: Final = frozenset({RowKind.MODEL, RowKind.ADAPTER})


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the table; columns that its kind does not use keep defaults.

    Attributes:
        name: unique name; callers use it as the model name.
        kind: what the row describes.
        base: for an adapter, the name of its model row.
        version: weights version to serve.
        memory_bytes: accelerator memory of one copy, in bytes.
        weight: share of a contended upstream relative to other rows.
        priority: rows with a higher value are restored and served first.
        min_copies: number of copies to keep at all times.
        max_in_flight: limit of requests in flight over the fleet; 0 means no
            limit.
        rate_per_second: limit of requests per second over the fleet; 0 means
            no limit.
        non_idempotent: for a service, path prefixes whose calls must run at
            most once.
        allow_keyless: whether non-idempotent calls without an idempotency key
            are accepted.
        checks_fencing: for an upstream, whether it refuses an order with an
            old fencing number.
        restart_settles: for an upstream, whether its restart proves that no
            earlier order can still arrive.
        lateness_bound_seconds: for an upstream, time after which a sent order
            can no longer arrive, in seconds; 0 means unknown.
        drained: for an upstream or an entry VM, whether it is to get no new
            work.
    """

    name: str
    kind: RowKind
    base: str = ""
    version: str = "1"
    memory_bytes: int = 0
    weight: float = 1.0
    priority: int = 0
    min_copies: int = 1
    max_in_flight: int = 0
    rate_per_second: float = 0.0
    non_idempotent: tuple[str, ...] = ()
    allow_keyless: bool = False
    checks_fencing: bool = False
    restart_settles: bool = False
    lateness_bound_seconds: float = 0.0
    drained: bool = False

    @property
    def is_placed(self) -> bool:
        """Whether copies of the row take accelerator memory."""
        return self.kind in PLACED_KINDS


@dataclasses.dataclass(frozen=True)
class Table:
    """An immutable version of the table.

    Attributes:
        generation: number of accepted edits; it never decreases on a node.
        rows: all rows, sorted by name.
    """

    generation: int = 0
    rows: tuple[Row, ...] = ()

    @functools.cached_property
    def by_name(self) -> dict[str, Row]:
        """Rows by name."""
        return {row.name: row for row in self.rows}

    def find(self, name: str) -> Row | None:
        """Return the row called `name`, or None."""
        return self.by_name.get(name)

    def placed(self) -> Iterator[Row]:
        """Yield the rows whose copies take accelerator memory."""
        return (row for row in self.rows if row.is_placed)


def sort_rows(rows: Iterable[Row]) -> tuple[Row, ...]:
    """Return `rows` sorted by name."""
    return tuple(sorted(rows, key=lambda row: row.name))


def validate(rows: Iterable[Row]) -> tuple[Row, ...]:
    """Return `rows` sorted by name.

    Raises:
        errors.RowError: a row is invalid; the first one is named.
    """
    ordered = sort_rows(rows)
    names = collections.Counter(row.name for row in ordered)
    kinds = {row.name: row.kind for row in ordered}
    for row in ordered:
        if names[row.name] > 1:
            raise errors.RowError(row.name, "name", "must be unique")
        _validate_row(row, kinds)
    return ordered


def _validate_row(row: Row, kinds: dict[str, RowKind]) -> None:
    """Raise RowError if a field of `row` is invalid."""
    for field, is_bad, reason in _evaluate_rules(row, kinds):
        if is_bad:
            raise errors.RowError(row.name, field, reason)


def _evaluate_rules(
    row: Row, kinds: dict[str, RowKind]
) -> Iterator[tuple[str, bool, str]]:
    """Yield the field, whether it is invalid, and the reason of each rule."""
    is_adapter = row.kind is RowKind.ADAPTER
    yield (
        "name",
        not NAME_PATTERN.fullmatch(row.name),
        "must be 1 to 128 letters, digits, or . _ : @ -",
    )
    yield (
        "base",
        is_adapter and kinds.get(row.base) is not RowKind.MODEL,
        f"must name a model row, not {row.base!r}",
    )
    yield "base", not is_adapter and bool(row.base), "is for adapters only"
    yield (
        "memory_bytes",
        row.is_placed and row.memory_bytes <= 0,
        "must be above 0",
    )
    yield "weight", not row.weight > 0, "must be above 0"
    yield "min_copies", row.min_copies < 1, "must be 1 or more"
    yield "max_in_flight", row.max_in_flight < 0, "must be 0 or more"
    yield "rate_per_second", not row.rate_per_second >= 0, "must be 0 or more"
    yield (
        "lateness_bound_seconds",
        not row.lateness_bound_seconds >= 0,
        "must be 0 or more",
    )
