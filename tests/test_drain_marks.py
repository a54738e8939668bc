"""Operators' drain marks, which never make a row unreachable."""

import pytest

from cicadahook.core import drain_marks
from cicadahook.core import table as table_lib
from cicadahook.core import view

LEAVING = view.UpstreamState.LEAVING
LIVE = view.UpstreamState.LIVE
A = view.Upstream("10.0.0.1:80", "z1", view.UpstreamKind.ENGINE)
B = view.Upstream("10.0.0.2:80", "z2", view.UpstreamKind.ENGINE)
MODEL = table_lib.Row("m", table_lib.RowKind.MODEL, memory_bytes=1)


def mark(name: str) -> table_lib.Row:
    """Return the row that drains `name`."""
    return table_lib.Row(name, table_lib.RowKind.UPSTREAM, drained=True)


def copy(upstream: view.Upstream) -> view.Copy:
    """Return a serving copy of the model on `upstream`."""
    return view.Copy("m", upstream.address, "1", view.CopyState.SERVING)


@pytest.mark.parametrize(
    ("drained", "copies", "states"),
    [
        ((A,), (copy(A), copy(B)), [LEAVING, LIVE]),
        ((A,), (copy(B),), [LEAVING, LIVE]),
        ((A,), (copy(A),), [LIVE, LIVE]),
        ((A, B), (copy(A), copy(B)), [LIVE, LIVE]),
        ((), (copy(A),), [LIVE, LIVE]),
    ],
)
def test_drained_upstream_leaves_once_replaceable(
    drained: tuple[view.Upstream, ...],
    copies: tuple[view.Copy, ...],
    states: list[view.UpstreamState],
) -> None:
    rows = (MODEL, *(mark(upstream.address) for upstream in drained))
    table = table_lib.Table(1, rows)
    routed = drain_marks.mark_for_routing((A, B), copies, table)
    assert [upstream.state for upstream in routed] == states
    placed = drain_marks.mark_for_placement((A, B), table)
    assert [upstream.state is LEAVING for upstream in placed] == [
        A in drained,
        B in drained,
    ]


def test_drained_member_leaves_but_a_dead_one_stays_dead() -> None:
    table = table_lib.Table(1, (mark("vm1"), mark("vm2")))
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
