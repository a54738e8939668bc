"""Checks whether every row of a table can be resident on the upstreams."""

from collections.abc import Iterable, Sequence
import itertools

from cicadahook.core import errors
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib


def find_unplaceable_row(
    rows: Iterable[table_lib.Row], upstreams: Iterable[view_lib.Upstream]
) -> errors.RowError | None:
    """Return the error for the first row that can't be placed, or None.

    Packs one copy of each model with its adapters where most memory is free,
    the largest group first. A group that fits on no single upstream is split
    over further copies of its model.

    Args:
        rows: all rows of the table.
        upstreams: the upstreams; without live engines no row is refused.
    """
    free = [
        upstream.capacity_bytes
        for upstream in upstreams
        if upstream.kind is view_lib.UpstreamKind.ENGINE
        and upstream.capacity_bytes
    ]
    if not free:
        return None
    for group in sorted(_group(rows), key=_sum_memory, reverse=True):
        error = _pack(group, free)
        if error is not None:
            return error
    return None


def _group(
    rows: Iterable[table_lib.Row],
) -> list[tuple[table_lib.Row, ...]]:
    """Return each model with its adapters, the largest adapter first."""
    placed = sorted(
        (row for row in rows if row.is_placed),
        key=lambda row: (row.base or row.name, bool(row.base)),
    )
    groups = itertools.groupby(placed, key=lambda row: row.base or row.name)
    return [
        tuple(
            sorted(group, key=lambda row: (bool(row.base), -row.memory_bytes))
        )
        for _, group in groups
    ]


def _sum_memory(group: Sequence[table_lib.Row]) -> int:
    return sum(row.memory_bytes for row in group)


def _pack(
    group: Sequence[table_lib.Row], free: list[int]
) -> errors.RowError | None:
    """Reserve memory for a group in `free`.

    Args:
        group: a model followed by its adapters.
        free: free memory of each upstream in bytes; it is reduced.

    Returns:
        The error for the first row that does not fit, or None.
    """
    model, *adapters = group
    total = _sum_memory(group)
    target = max(range(len(free)), key=free.__getitem__)
    if free[target] >= total:
        free[target] -= total
        return None
    holders: list[int] = []
    if not _pack_model(model, free, holders):
        return _create_error(model, free)
    for adapter in adapters:
        if not _pack_adapter(model, adapter, free, holders):
            return _create_error(adapter, free)
    return None


def _pack_model(
    model: table_lib.Row, free: list[int], holders: list[int]
) -> bool:
    """Place another copy of `model`; return whether it fits.

    The chosen upstream is appended to `holders`.
    """
    others = [place for place in range(len(free)) if place not in holders]
    target = max(others, key=free.__getitem__, default=None)
    if target is None or free[target] < model.memory_bytes:
        return False
    free[target] -= model.memory_bytes
    holders.append(target)
    return True


def _pack_adapter(
    model: table_lib.Row,
    adapter: table_lib.Row,
    free: list[int],
    holders: list[int],
) -> bool:
    """Place `adapter` beside a copy of its model, or beside a new copy."""
    target = max(holders, key=free.__getitem__)
    while free[target] < adapter.memory_bytes:
        if not _pack_model(model, free, holders):
            return False
        target = holders[-1]
        if free[target] < adapter.memory_bytes:
            return False
    free[target] -= adapter.memory_bytes
    return True


def _create_error(row: table_lib.Row, free: Sequence[int]) -> errors.RowError:
    return errors.RowError(
        row.name,
        "memory_bytes",
        f"{row.memory_bytes} bytes fit on no upstream beside the other rows;"
        f" the largest free piece is {max(free)} bytes",
    )
