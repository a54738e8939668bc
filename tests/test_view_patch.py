"""Patches turn one view into another and are refused for other views."""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from cicadahook.core import clock
from cicadahook.core import table
from cicadahook.core import view
from cicadahook.core import view_patch
from cicadahook.net import codec

NAMES = st.sampled_from(["a", "b", "c", "d"])


def unique(strategy: st.SearchStrategy, key: str) -> st.SearchStrategy:
    """Return tuples of items, sorted by and unique in the attribute `key`."""
    return st.lists(
        strategy, max_size=4, unique_by=lambda item: getattr(item, key)
    ).map(lambda items: tuple(sorted(items, key=lambda i: getattr(i, key))))


@st.composite
def views(draw: st.DrawFn, number: int) -> view.View:
    """Draw a view that the control vm1 created."""
    rows = st.builds(
        table.Row,
        NAMES,
        st.just(table.RowKind.MODEL),
        memory_bytes=st.integers(1, 3),
    )
    upstreams = st.builds(
        view.Upstream,
        NAMES,
        NAMES,
        st.just(view.UpstreamKind.ENGINE),
        in_flight=st.integers(0, 2),
    )
    copies = st.builds(
        view.Copy,
        NAMES,
        st.just("u"),
        st.just("1"),
        st.sampled_from(view.CopyState),
    )
    members = st.builds(view.Member, NAMES, NAMES, NAMES, NAMES)
    suspects = st.builds(
        view.Suspect, NAMES, st.tuples(NAMES), st.just(clock.EPOCH)
    )
    return view.View(
        control="vm1",
        number=number,
        table=table.Table(number, draw(unique(rows, "name"))),
        upstreams=draw(unique(upstreams, "address")),
        copies=draw(unique(copies, "row")),
        members=draw(unique(members, "name")),
        peer_loads=draw(
            unique(
                st.builds(view.PeerLoad, NAMES, st.integers(0, 2)), "upstream"
            )
        ),
        peer_row_loads=draw(
            unique(st.builds(view.PeerRowLoad, NAMES, st.integers(0, 2)), "row")
        ),
        suspects=draw(unique(suspects, "fingerprint")),
    )


@settings(derandomize=True, max_examples=100, deadline=None)
@given(old=views(number=3), new=views(number=8))
def test_patch_turns_old_into_new(old: view.View, new: view.View) -> None:
    sent = codec.PATCHES.decode(codec.PATCHES.encode(view_patch.diff(old, new)))
    assert view_patch.apply(old, sent) == new


@settings(derandomize=True, max_examples=20, deadline=None)
@given(new=views(number=8))
def test_patch_from_nothing_fits_any_view(new: view.View) -> None:
    sent = view_patch.diff(view.View(), new)
    assert view_patch.apply(view.View("vm9", 77), sent) == new


@pytest.mark.parametrize("other", [view.View("vm1", 4), view.View("vm2", 3)])
def test_patch_fits_no_other_view(other: view.View) -> None:
    old = view.View("vm1", 3)
    update = view_patch.diff(old, dataclasses.replace(old, number=4))
    with pytest.raises(view_patch.PatchError):
        view_patch.apply(other, update)
