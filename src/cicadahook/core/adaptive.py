"""Placement policies that follow demand, with and without hysteresis."""

from collections.abc import Iterator
import datetime
from typing import Final

from cicadahook.core import placement
from cicadahook.core import placement_draft
from cicadahook.core import table as table_lib
from cicadahook.core import upstream_record

NO_ROOM: Final = "no upstream has room beside the rows of higher priority"
# Time for which a further copy is expected to be of use.
GAIN_TIME: Final = datetime.timedelta(minutes=10)
# Share of an upstream's request rate that may be planned.
LOAD_MARGIN: Final = 0.6
# Load limit as a multiple of the mean load, if no request rate is set.
MEAN_MARGIN: Final = 1.25
# Limits on the work of one plan: overloaded upstreams, rows on each of them,
# and least loaded upstreams as targets.
MAX_HOT_UPSTREAMS: Final = 4
MAX_HOT_ROWS: Final = 8
MAX_COOL_UPSTREAMS: Final = 4


def priority_key(row: table_lib.Row) -> tuple[int, bool, int, str]:
    """Return a sort key: priority, models before adapters, size, name."""
    is_adapter = row.kind is table_lib.RowKind.ADAPTER
    return -row.priority, is_adapter, -row.memory_bytes, row.name


def choose_target(
    draft: placement_draft.PlacementDraft, row: table_lib.Row, spare: int = 0
) -> str | None:
    """Return the upstream where a copy of `row` fits best.

    Upstreams are compared by copies in the same zone, load and free memory.

    Args:
        draft: the placement so far.
        row: the row to place; an adapter is placed where its model is.
        spare: memory to leave free beside the copy, in bytes.

    Returns:
        The address of the upstream, or None if the copy fits nowhere.
    """
    places = (
        address
        for address in _possible_targets(draft, row)
        if draft.free[address] >= row.memory_bytes + spare
    )
    return min(
        places,
        key=lambda at: (
            draft.zone_count(row.name, at),
            draft.loads[at],
            -draft.free[at],
            at,
        ),
        default=None,
    )


def _possible_targets(
    draft: placement_draft.PlacementDraft, row: table_lib.Row
) -> Iterator[str]:
    """Yield the upstreams that may load `row`, regardless of free memory."""
    key = row.name, row.version
    for address in draft.state.upstreams:
        if address in draft.copies[row.name]:
            continue
        if row.base and address not in draft.copies[row.base]:
            continue
        if draft.state.records[address].find_order(key) is None:
            yield address


@placement.register("adaptive")
class Adaptive:
    """Keeps every row served, and adds copies whose gain exceeds their price.

    A copy is unloaded only to free memory for another one, so the copies of a
    row are still there when its demand returns.

    Attributes:
        gain_time: how long a further copy is expected to be of use.
        margin: share of an upstream's request rate that may be planned.
        mean_margin: load limit as a multiple of the mean load, if no request
            rate is set.
        mode: settings of the policies.
        unplaced: rows that had no place in the last plan, with the reason.
    """

    gain_time: datetime.timedelta = GAIN_TIME
    margin: float = LOAD_MARGIN
    mean_margin: float = MEAN_MARGIN

    def __init__(self, mode: placement.PlacementMode) -> None:
        self.mode = mode
        self.unplaced: dict[str, str] = {}

    def plan(self, state: placement.PlacementState) -> Iterator[placement.Step]:
        """Yield the steps to take next, the most urgent first."""
        draft = placement_draft.PlacementDraft(state)
        self.unplaced = {}
        rows = sorted(state.table.placed(), key=priority_key)
        self._place_missing_rows(draft, rows)
        self._drop_unwanted(draft)
        self._keep_minimum(draft, rows)
        if not self.unplaced:
            self._add_relief_copies(draft)
        yield from draft.steps

    def _place_missing_rows(
        self, draft: placement_draft.PlacementDraft, rows: list[table_lib.Row]
    ) -> None:
        """Place the rows without any copy, evicting spare copies if needed."""
        for row in rows:
            if not draft.copies[row.name] and not self._place(draft, row):
                self.unplaced[row.name] = NO_ROOM

    def _place(
        self, draft: placement_draft.PlacementDraft, row: table_lib.Row
    ) -> bool:
        """Place a row, evicting spare copies if needed.

        Returns:
            Whether there is a place for the row.
        """
        cause = "new version" if draft.serving[row.name] else "no copy"
        target = choose_target(draft, row)
        if target is not None:
            draft.load(row, target, cause)
            return True
        if self._make_room(draft, row):
            return True
        model = draft.row(row.base) if row.base else None
        if model is None:
            return False
        return self._place_with_model(draft, model, row)

    def _place_with_model(
        self,
        draft: placement_draft.PlacementDraft,
        model: table_lib.Row,
        row: table_lib.Row,
    ) -> bool:
        """Place another copy of a model together with its adapter `row`."""
        target = choose_target(draft, model, row.memory_bytes)
        if target is None:
            return self._make_room(draft, model, row.memory_bytes)
        draft.load(model, target, f"room for {row.name}")
        draft.load(row, target, "no copy")
        return True

    def _make_room(
        self,
        draft: placement_draft.PlacementDraft,
        row: table_lib.Row,
        spare: int = 0,
    ) -> bool:
        """Unload spare copies at the upstream with most free memory that can.

        Args:
            draft: the placement so far.
            row: the row to place.
            spare: memory to leave free beside the copy, in bytes.

        Returns:
            Whether there will be room; the load follows in a later plan.
        """
        needed = row.memory_bytes + spare
        for address in sorted(
            _possible_targets(draft, row), key=lambda at: -draft.free[at]
        ):
            spares = self._find_spares(draft, address, row, False)
            freed = sum(copy.memory_bytes for copy in spares)
            if draft.free[address] + freed < needed:
                continue
            for copy in spares:
                if draft.free[address] >= needed:
                    break
                draft.unload(copy, address, f"room for {row.name}")
            draft.load(row, address, "no copy")
            return True
        return False

    def _find_spares(
        self,
        draft: placement_draft.PlacementDraft,
        address: str,
        wanted: table_lib.Row,
        keeps_minimum: bool = True,
    ) -> list[table_lib.Row]:
        """Return the copies that can be unloaded, the least demanded first.

        Args:
            draft: the placement so far.
            address: the upstream whose copies are considered.
            wanted: the row that needs the memory.
            keeps_minimum: whether rows keep their minimum of copies; otherwise
                they keep at least one.
        """
        found = []
        held = draft.rows_at[address]
        for name in held:
            row = draft.row(name)
            is_base = any(
                other.base == name
                for other in map(draft.row, held)
                if other is not None
            )
            if (
                row is not None
                and not is_base
                and name not in (wanted.name, wanted.base)
                and draft.can_unload(
                    row, address, row.min_copies if keeps_minimum else 1
                )
            ):
                found.append(row)
        return sorted(found, key=lambda row: (draft.rate(row.name), row.name))

    def _drop_unwanted(self, draft: placement_draft.PlacementDraft) -> None:
        """Unload old versions and removed rows that are no longer needed."""
        for address, record in draft.state.records.items():
            if address not in draft.state.upstreams:
                continue
            leaving = record.leaving_keys()
            bases = {copy.base for copy in record.kept_copies()}
            for copy in record.residents:
                row = draft.row(copy.row)
                if copy.key in leaving or copy.unanswered:
                    continue
                if row is None and copy.row not in bases:
                    draft.drop(copy, address, "row removed")
                elif row is not None and self._is_replaced(draft, row, copy):
                    draft.drop(copy, address, "version replaced")

    def _is_replaced(
        self,
        draft: placement_draft.PlacementDraft,
        row: table_lib.Row,
        copy: upstream_record.Resident,
    ) -> bool:
        """Return whether enough copies of the new version serve."""
        if copy.version == row.version:
            return False
        serving = sum(
            draft.is_serving(row, address) for address in draft.copies[row.name]
        )
        return serving >= min(row.min_copies, len(draft.state.upstreams))

    def _keep_minimum(
        self, draft: placement_draft.PlacementDraft, rows: list[table_lib.Row]
    ) -> None:
        """Place further copies of rows with less than their minimum."""
        for row in rows:
            missing = row.min_copies - len(draft.copies[row.name])
            for _ in range(missing if draft.copies[row.name] else 0):
                target = choose_target(draft, row)
                if target is None:
                    break
                draft.load(row, target, "below its minimum")

    def _add_relief_copies(self, draft: placement_draft.PlacementDraft) -> None:
        """Add copies of rows of the upstreams above the load limit."""
        limit = self._compute_load_limit(draft)
        hot = sorted(
            (at for at, load in draft.loads.items() if load > limit),
            key=lambda at: -draft.loads[at],
        )
        for address in hot[:MAX_HOT_UPSTREAMS]:
            self._relieve_upstream(draft, address, limit)

    def _compute_load_limit(
        self, draft: placement_draft.PlacementDraft
    ) -> float:
        """Return the load limit of an upstream, in requests a second."""
        mean = sum(draft.loads.values()) / max(1, len(draft.loads))
        if self.mode.upstream_rate:
            return max(mean, self.margin * self.mode.upstream_rate)
        return self.mean_margin * mean

    def _relieve_upstream(
        self, draft: placement_draft.PlacementDraft, address: str, limit: float
    ) -> None:
        """Add the copy with the largest net gain, if that is positive."""
        rows = sorted(
            draft.rows_at[address],
            key=lambda name: -draft.rate(name) / len(draft.copies[name]),
        )
        best = max(
            (
                option
                for name in rows[:MAX_HOT_ROWS]
                for option in self._list_options(draft, name, limit)
            ),
            default=None,
        )
        if best is None or best[0] <= 0:
            return
        _, name, target = best
        row = draft.row(name)
        assert row is not None, "only rows of the table are held"
        if draft.free[target] >= row.memory_bytes:
            draft.load(row, target, f"relieves {address}")
        else:
            self._make_room_at(draft, row, target)

    def _list_options(
        self, draft: placement_draft.PlacementDraft, name: str, limit: float
    ) -> Iterator[tuple[float, str, str]]:
        """Yield (net gain, row, upstream) for further copies of a row.

        The net gain is in requests; each move reduces it by the move price.
        """
        row = draft.row(name)
        assert row is not None, "only rows of the table are held"
        cool = sorted(
            _possible_targets(draft, row), key=lambda at: draft.loads[at]
        )
        for target in cool[:MAX_COOL_UPSTREAMS]:
            moves = 1
            if draft.free[target] < row.memory_bytes:
                spares = self._find_spares(draft, target, row)
                freed = sum(copy.memory_bytes for copy in spares)
                if draft.free[target] + freed < row.memory_bytes:
                    continue
                moves += 1
            gain = self._compute_gain(draft, name, target, limit)
            yield gain - moves * self.mode.move_price, name, target

    def _compute_gain(
        self,
        draft: placement_draft.PlacementDraft,
        name: str,
        target: str,
        limit: float,
    ) -> float:
        """Return the gain of a further copy, in requests.

        The gain is the number of requests that the copy moves below the load
        limit of the upstreams.
        """
        holders = draft.copies[name]
        moved = draft.rate(name) / len(holders) / (len(holders) + 1)
        relieved = sum(
            min(moved, max(0.0, draft.loads[holder] - limit))
            for holder in holders
        )
        added = draft.rate(name) / (len(holders) + 1)
        excess = max(0.0, draft.loads[target] + added - limit)
        return (relieved - excess) * self.gain_time.total_seconds()

    def _make_room_at(
        self,
        draft: placement_draft.PlacementDraft,
        row: table_lib.Row,
        address: str,
    ) -> None:
        """Unload the least demanded spare copies at one upstream."""
        for copy in self._find_spares(draft, address, row):
            if draft.free[address] >= row.memory_bytes:
                break
            draft.unload(copy, address, f"room for {row.name}")


@placement.register("greedy")
class Greedy(Adaptive):
    """Adds a copy wherever it has any gain; a baseline without hysteresis."""

    margin = 0.0
    mean_margin = 1.0

    def __init__(self, mode: placement.PlacementMode) -> None:
        super().__init__(mode)
        self.mode = placement.PlacementMode(mode.policy, move_price=0.0)
