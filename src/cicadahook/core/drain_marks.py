"""Drain marks, by which operators stop new work for an upstream or entry VM.

The marks are columns of the table; the functions apply them to the view.
"""

from collections.abc import Iterable
import dataclasses

from cicadahook.core import table as table_lib
from cicadahook.core import view


def is_drained(table: table_lib.Table, name: str) -> bool:
    """Whether the upstream or entry VM is marked as drained."""
    row = table.find(name)
    return row is not None and row.drained


def mark_members(
    members: Iterable[view.Member], table: table_lib.Table
) -> tuple[view.Member, ...]:
    """Return `members` with drained ones that are not dead as leaving."""
    return tuple(
        dataclasses.replace(member, state=view.MemberState.LEAVING)
        if is_drained(table, member.name)
        and member.state is not view.MemberState.DEAD
        else member
        for member in members
    )


def mark_for_placement(
    upstreams: Iterable[view.Upstream], table: table_lib.Table
) -> tuple[view.Upstream, ...]:
    """Return `upstreams` with all live drained ones as leaving.

    Placement then puts the copies of their rows on other upstreams.
    """
    return tuple(
        _mark_leaving(upstream)
        if is_drained(table, upstream.address)
        else upstream
        for upstream in upstreams
    )


def mark_for_routing(
    upstreams: tuple[view.Upstream, ...],
    copies: tuple[view.Copy, ...],
    table: table_lib.Table,
) -> tuple[view.Upstream, ...]:
    """Return `upstreams` with replaceable drained ones as leaving.

    A drained upstream continues to serve while it is the only one for one of
    its rows, since every row must stay reachable.
    """
    marked = mark_for_placement(upstreams, table)
    remaining = view.View(table=table, upstreams=marked, copies=copies)
    before = view.View(table=table, upstreams=upstreams, copies=copies)
    return tuple(
        old if new is not old and _is_needed(old, before, remaining) else new
        for old, new in zip(upstreams, marked, strict=True)
    )


def _mark_leaving(upstream: view.Upstream) -> view.Upstream:
    if upstream.state is not view.UpstreamState.LIVE:
        return upstream
    return dataclasses.replace(upstream, state=view.UpstreamState.LEAVING)


def _is_needed(
    upstream: view.Upstream, before: view.View, remaining: view.View
) -> bool:
    """Whether a row that `upstream` serves has no other upstream."""
    return any(
        upstream in before.upstreams_for(row)
        and not remaining.upstreams_for(row)
        for row in before.table.rows
    )
