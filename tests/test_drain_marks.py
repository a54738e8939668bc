"""Drain marks stop new work but never make a row unreachable."""

import pytest

from cicadahook.core import drain_marks
from cicadahook.core import table as table_lib
from cicadahook.core import view

LEAVING = view.UpstreamState.LEAVING
LIVE = view.UpstreamState.LIVE
UPSTREAM_A = view.Upstream("10.0.0.1:80", "z1", view.UpstreamKind.ENGINE)
UPSTREAM_B = view.Upstream("10.0.0.2:80", "z2", view.UpstreamKind.ENGINE)
MODEL = table_lib.Row("m", table_lib.RowKind.MODEL, memory_bytes=1)


def drain_row(name: str) -> table_lib.Row:
    """Return a row that marks `name` as drained."""
    return table_lib.Row(name, table_lib.RowKind.UPSTREAM, drained=True)


def create_copy(upstream: view.Upstream) -> view.Copy:
    """Return a serving copy of the model on `upstream`."""
    return view.Copy("m", upstream.address, "1", view.CopyState.SERVING)


@pytest.mark.parametrize(
    ("drained", "copies", "states"),
    [
        (
            (UPSTREAM_A,),
            (create_copy(UPSTREAM_A), create_copy(UPSTREAM_B)),
            [LEAVING, LIVE],
        ),
        ((UPSTREAM_A,), (create_copy(UPSTREAM_B),), [LEAVING, LIVE]),
        ((UPSTREAM_A,), (create_copy(UPSTREAM_A),), [LIVE, LIVE]),
        (
            (UPSTREAM_A, UPSTREAM_B),
            (create_copy(UPSTREAM_A), create_copy(UPSTREAM_B)),
            [LIVE, LIVE],
        ),
        ((), (create_copy(UPSTREAM_A),), [LIVE, LIVE]),
    ],
)
def test_drained_upstream_leaves_once_replaceable(
    drained: tuple[view.Upstream, ...],
    copies: tuple[view.Copy, ...],
    states: list[view.UpstreamState],
) -> None:
    rows = (MODEL, *(drain_row(upstream.address) for upstream in drained))
    table = table_lib.Table(1, rows)
    routed = drain_marks.mark_for_routing(
        (UPSTREAM_A, UPSTREAM_B), copies, table
    )
    assert [upstream.state for upstream in routed] == states
    placed = drain_marks.mark_for_placement((UPSTREAM_A, UPSTREAM_B), table)
    assert [upstream.state is LEAVING for upstream in placed] == [
        UPSTREAM_A in drained,
        UPSTREAM_B in drained,
    ]


def test_drained_member_leaves_but_a_dead_one_stays_dead() -> None:
    table = table_lib.Table(1, (drain_row("vm1"), drain_row("vm2")))
    members = [
        view.Member("vm1", "e1", "c1", "z1"),
        view.Member("vm2", "e2", "c2", "z2", view.MemberState.DEAD),
        view.Member("vm3", "e3", "c3", "z3"),
    ]
    states = [item.state for item in drain_marks.mark_members(members, table)]
    assert states == [
        view.MemberState.LEAVING,
        view.MemberState.DEAD,
        view.MemberState.ALIVE,
    ]
