"""Patches of views: differences that are sent instead of whole views."""

from collections.abc import Callable, Hashable, Iterable
import dataclasses
from typing import Generic, TypeVar

from cicadahook.core import errors
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib

ItemT = TypeVar("ItemT")


class PatchError(errors.CicadaError):
    """A patch is based on another view than the one it is applied to."""


@dataclasses.dataclass(frozen=True, slots=True)
class CopyKey:
    """Key that identifies a copy."""

    row: str
    upstream: str
    version: str


@dataclasses.dataclass(frozen=True)
class ViewPatch:
    """Difference between a view of a control and a later one.

    Attributes:
        control: name of the control that created both views.
        base: number of the older view; 0 means the empty view.
        number: number of the newer view.
        generation: generation of its table.
        rows: rows added or changed.
        removed_rows: names of rows removed.
        upstreams: upstreams added or changed.
        removed_upstreams: addresses of upstreams removed.
        copies: copies added or changed.
        removed_copies: copies removed.
        members: members added or changed.
        removed_members: names of members removed.
        peer_loads: loads added or changed.
        removed_peer_loads: addresses of upstreams that have no load any more.
        peer_row_loads: row loads added or changed.
        removed_peer_row_loads: names of rows that have no load any more.
        suspects: suspects added or changed.
        removed_suspects: fingerprints of suspects removed.
    """

    control: str
    base: int
    number: int
    generation: int = 0
    rows: tuple[table_lib.Row, ...] = ()
    removed_rows: tuple[str, ...] = ()
    upstreams: tuple[view_lib.Upstream, ...] = ()
    removed_upstreams: tuple[str, ...] = ()
    copies: tuple[view_lib.Copy, ...] = ()
    removed_copies: tuple[CopyKey, ...] = ()
    members: tuple[view_lib.Member, ...] = ()
    removed_members: tuple[str, ...] = ()
    peer_loads: tuple[view_lib.PeerLoad, ...] = ()
    removed_peer_loads: tuple[str, ...] = ()
    peer_row_loads: tuple[view_lib.PeerRowLoad, ...] = ()
    removed_peer_row_loads: tuple[str, ...] = ()
    suspects: tuple[view_lib.Suspect, ...] = ()
    removed_suspects: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Change(Generic[ItemT]):
    """Items added or changed and keys removed in one part of a view."""

    items: tuple[ItemT, ...]
    removed: tuple[Hashable, ...]


def diff(old: view_lib.View, new: view_lib.View) -> ViewPatch:
    """Return the patch that turns `old` into `new`.

    Both must come from the same control. For an entry that has no view of
    that control yet, `old` is the empty view.
    """
    rows = _diff(old.table.rows, new.table.rows, _row_key)
    upstreams = _diff(old.upstreams, new.upstreams, _upstream_key)
    copies = _diff(old.copies, new.copies, _copy_key)
    members = _diff(old.members, new.members, _member_key)
    loads = _diff(old.peer_loads, new.peer_loads, _load_key)
    row_loads = _diff(old.peer_row_loads, new.peer_row_loads, _row_load_key)
    suspects = _diff(old.suspects, new.suspects, _suspect_key)
    return ViewPatch(
        control=new.control,
        base=old.number,
        number=new.number,
        generation=new.table.generation,
        rows=rows.items,
        removed_rows=_names(rows),
        upstreams=upstreams.items,
        removed_upstreams=_names(upstreams),
        copies=copies.items,
        removed_copies=tuple(
            key for key in copies.removed if isinstance(key, CopyKey)
        ),
        members=members.items,
        removed_members=_names(members),
        peer_loads=loads.items,
        removed_peer_loads=_names(loads),
        peer_row_loads=row_loads.items,
        removed_peer_row_loads=_names(row_loads),
        suspects=suspects.items,
        removed_suspects=_names(suspects),
    )


def apply(view: view_lib.View, patch: ViewPatch) -> view_lib.View:
    """Return `view` with `patch` applied; changed parts are sorted by key.

    Raises:
        PatchError: `patch` is based on another view.
    """
    if patch.base == 0:
        view = view_lib.View(control=patch.control)
    if (view.control, view.number) != (patch.control, patch.base):
        raise PatchError(
            f"patch of {patch.control} from view {patch.base} does not fit"
            f" view {view.number} of {view.control or 'nobody'}"
        )
    rows = _apply(view.table.rows, patch.rows, patch.removed_rows, _row_key)
    return view_lib.View(
        control=patch.control,
        number=patch.number,
        table=table_lib.Table(patch.generation, rows),
        upstreams=_apply(
            view.upstreams,
            patch.upstreams,
            patch.removed_upstreams,
            _upstream_key,
        ),
        copies=_apply(
            view.copies, patch.copies, patch.removed_copies, _copy_key
        ),
        members=_apply(
            view.members, patch.members, patch.removed_members, _member_key
        ),
        peer_loads=_apply(
            view.peer_loads,
            patch.peer_loads,
            patch.removed_peer_loads,
            _load_key,
        ),
        peer_row_loads=_apply(
            view.peer_row_loads,
            patch.peer_row_loads,
            patch.removed_peer_row_loads,
            _row_load_key,
        ),
        suspects=_apply(
            view.suspects, patch.suspects, patch.removed_suspects, _suspect_key
        ),
    )


def _diff(
    old: Iterable[ItemT],
    new: Iterable[ItemT],
    key: Callable[[ItemT], Hashable],
) -> Change[ItemT]:
    """Return the difference between `old` and `new`."""
    if old is new:
        return Change((), ())
    before = {key(item): item for item in old}
    after = {key(item): item for item in new}
    return Change(
        tuple(item for name, item in after.items() if before.get(name) != item),
        tuple(name for name in before if name not in after),
    )


def _apply(
    old: tuple[ItemT, ...],
    changed: tuple[ItemT, ...],
    removed: Iterable[Hashable],
    key: Callable[[ItemT], Hashable],
) -> tuple[ItemT, ...]:
    """Return `old` with items set and removed; sorted by key if changed."""
    if not changed and not removed:
        return old
    items = {key(item): item for item in (*old, *changed)}
    for name in removed:
        items.pop(name, None)
    return tuple(items[name] for name in sorted(items, key=str))


def _names(change: Change[ItemT]) -> tuple[str, ...]:
    """Return the removed keys of a part whose keys are names."""
    return tuple(str(name) for name in change.removed)


def _row_key(row: table_lib.Row) -> str:
    return row.name


def _upstream_key(upstream: view_lib.Upstream) -> str:
    return upstream.address


def _copy_key(copy: view_lib.Copy) -> CopyKey:
    return CopyKey(copy.row, copy.upstream, copy.version)


def _member_key(member: view_lib.Member) -> str:
    return member.name


def _load_key(load: view_lib.PeerLoad) -> str:
    return load.upstream


def _row_load_key(load: view_lib.PeerRowLoad) -> str:
    return load.row


def _suspect_key(suspect: view_lib.Suspect) -> str:
    return suspect.fingerprint
