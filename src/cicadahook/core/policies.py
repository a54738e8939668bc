"""The baseline placement policies, and the registry of all policies.

Importing this module registers every policy.
"""

from collections.abc import Iterator
import datetime
from typing import Final

from cicadahook.core import adaptive
from cicadahook.core import placement
from cicadahook.core import placement_draft
from cicadahook.core import table as table_lib
from cicadahook.core import upstream_record

POLICIES: Final = placement.POLICIES


def create_policy(mode: placement.PlacementMode) -> placement.Policy:
    """Return a new policy with the settings `mode`."""
    return POLICIES[mode.policy](mode)


@placement.register("static")
class StaticSpread:
    """Gives every row its minimum of copies; demand adds no further ones."""

    def __init__(self, mode: placement.PlacementMode) -> None:
        self.mode = mode
        self.unplaced: dict[str, str] = {}

    def plan(self, state: placement.PlacementState) -> Iterator[placement.Step]:
        """Yield a load for each missing copy that fits somewhere."""
        draft = placement_draft.PlacementDraft(state)
        self.unplaced = {}
        for row in sorted(state.table.placed(), key=adaptive.priority_key):
            for _ in range(row.min_copies - len(draft.copies[row.name])):
                target = adaptive.choose_target(draft, row)
                if target is None:
                    self.unplaced[row.name] = adaptive.NO_ROOM
                    break
                draft.load(row, target, "missing copy")
        yield from draft.steps


@placement.register("on_demand")
class OnDemand:
    """Loads rows on demand, and unloads the least recently used ones.

    A baseline: it may unload the last copy of a row.
    """

    def __init__(self, mode: placement.PlacementMode) -> None:
        self.mode = mode
        self.unplaced: dict[str, str] = {}
        self.last_used: dict[str, datetime.datetime] = {}

    def plan(self, state: placement.PlacementState) -> Iterator[placement.Step]:
        """Yield loads of rows in demand at the least loaded upstreams."""
        draft = placement_draft.PlacementDraft(state)
        for name, rate in state.demand.items():
            if rate > 0:
                self.last_used[name] = state.now
        mean = sum(draft.loads.values()) / max(1, len(draft.loads))
        limit = self.mode.upstream_rate or mean
        for row in sorted(state.table.placed(), key=adaptive.priority_key):
            holders = draft.copies[row.name]
            is_crowded = all(draft.loads[held] > limit for held in holders)
            if draft.rate(row.name) > 0 and is_crowded:
                self._load(draft, row)
        yield from draft.steps

    def _load(
        self, draft: placement_draft.PlacementDraft, row: table_lib.Row
    ) -> None:
        """Load a copy at the least loaded upstream, or unload another there."""
        places = [
            address
            for address in draft.state.upstreams
            if address not in draft.copies[row.name]
            and (not row.base or address in draft.copies[row.base])
        ]
        target = min(places, key=lambda at: draft.loads[at], default=None)
        if target is None:
            return
        if draft.free[target] >= row.memory_bytes:
            draft.load(row, target, "asked for")
        elif target not in draft.busy:
            self._evict(draft, row, target)

    def _evict(
        self,
        draft: placement_draft.PlacementDraft,
        wanted: table_lib.Row,
        address: str,
    ) -> None:
        """Unload the least recently used copy."""
        record = draft.state.records[address]
        bases = {copy.base for copy in record.kept_copies()}
        candidates = [
            copy
            for copy in record.residents
            if copy.key not in record.leaving_keys()
            and copy.row not in bases
            and copy.row not in (wanted.name, wanted.base)
            and not copy.unanswered
        ]
        victim = min(candidates, key=self._used_at, default=None)
        if victim is not None:
            draft.drop(victim, address, "least recently used")

    def _used_at(
        self, copy: upstream_record.Resident
    ) -> tuple[datetime.datetime, str]:
        earliest = datetime.datetime.min.replace(tzinfo=datetime.UTC)
        return self.last_used.get(copy.row, earliest), copy.row
