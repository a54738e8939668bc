"""The placement that results from a plan, updated with each step added.

Placement policies build their plan on it.
"""

import collections
from collections.abc import Iterator
import functools

from cicadahook.core import placement
from cicadahook.core import table as table_lib
from cicadahook.core import upstream_record


class PlacementDraft:
    """The copies on all upstreams after the steps added so far.

    Attributes:
        state: the state that the plan is made from.
        copies: upstreams that keep or will load a copy, by row.
        free: memory that is free once all unloads end, by upstream, in bytes.
        free_now: memory that is free now, by upstream, in bytes.
        loads: expected requests a second, by upstream.
        busy: upstreams for which this plan already has a step.
        steps: the steps added so far.
        rows_at: rows of which an upstream keeps or will load a copy.
    """

    def __init__(self, state: placement.PlacementState) -> None:
        self.state = state
        self.copies: dict[str, set[str]] = collections.defaultdict(set)
        self.free: dict[str, int] = {}
        self.free_now: dict[str, int] = {}
        self.loads: dict[str, float] = {}
        self.busy: set[str] = set()
        self.steps: list[placement.Step] = []
        self.rows_at: dict[str, set[str]] = collections.defaultdict(set)
        for address in state.upstreams:
            self._read(state.records[address])
        self.loads = self._sum_loads()

    def _read(self, record: upstream_record.UpstreamRecord) -> None:
        """Add the kept copies and the free memory of a record."""
        sizes: dict[upstream_record.CopyKey, int] = {}
        for copy in record.kept_copies():
            row = self.row(copy.row)
            sizes[copy.key] = copy.memory_bytes
            if row is not None and row.version == copy.version:
                self.copies[copy.row].add(record.upstream)
                self.rows_at[record.upstream].add(copy.row)
        self.free_now[record.upstream] = record.free_bytes
        self.free[record.upstream] = record.capacity_bytes - sum(sizes.values())

    def _sum_loads(self) -> dict[str, float]:
        loads = dict.fromkeys(self.state.upstreams, 0.0)
        for name, holders in self.copies.items():
            for address in holders:
                loads[address] += self.rate(name) / len(holders)
        return loads

    def row(self, name: str) -> table_lib.Row | None:
        """Return a row of the table in force, or None."""
        return self.state.table.find(name)

    def rate(self, name: str) -> float:
        """Return the expected requests a second of a row."""
        return self.state.demand.get(name, 0.0)

    @functools.cached_property
    def serving(self) -> dict[str, set[str]]:
        """Upstreams with a serving copy of any version that is kept, by row."""
        found: dict[str, set[str]] = collections.defaultdict(set)
        for address in self.state.upstreams:
            leaving = self.state.records[address].leaving_keys()
            for key in self.state.serving.get(address, frozenset()):
                if key not in leaving:
                    found[key[0]].add(address)
        return found

    def is_serving(self, row: table_lib.Row, address: str) -> bool:
        """Return whether `address` serves the row's version."""
        key = row.name, row.version
        return key in self.state.serving.get(address, frozenset())

    def load(self, row: table_lib.Row, address: str, cause: str) -> bool:
        """Add a load if it can be ordered now, and reserve its memory anyway.

        Args:
            row: the row to load.
            address: the upstream.
            cause: why the load is planned.

        Returns:
            Whether the load can be ordered now.
        """
        is_possible = (
            address not in self.busy
            and self.free_now[address] >= row.memory_bytes
            and (not row.base or row.base in self._serving_at(address))
        )
        holders = self.copies[row.name]
        for holder in holders:
            self.loads[holder] -= self.rate(row.name) / len(holders)
        holders.add(address)
        for holder in holders:
            self.loads[holder] += self.rate(row.name) / len(holders)
        self.free[address] -= row.memory_bytes
        self.rows_at[address].add(row.name)
        if is_possible:
            self.free_now[address] -= row.memory_bytes
            self._add(
                upstream_record.Action.LOAD, row, row.version, address, cause
            )
        return is_possible

    def _serving_at(self, address: str) -> Iterator[str]:
        keys = self.state.serving.get(address, frozenset())
        return (row for row, _ in keys)

    def can_unload(self, row: table_lib.Row, address: str, floor: int) -> bool:
        """Return whether `floor` other copies serve the row.

        A copy with a sent order, or whose load has unanswered copies, can't be
        unloaded.
        """
        record = self.state.records[address]
        resident = record.find_resident((row.name, row.version))
        order = record.find_order((row.name, row.version))
        if order is not None and not order.is_unsent:
            return False
        if order is None and (resident is None or resident.unanswered):
            return False
        others = self.serving[row.name] - {address}
        return len(others) >= max(1, floor)

    def unload(self, row: table_lib.Row, address: str, cause: str) -> None:
        """Add an unload of a copy that is not the last serving one."""
        assert self.serving[row.name] - {
            address
        }, f"{row.name} would lose its last serving copy"
        holders = self.copies[row.name]
        for holder in holders:
            self.loads[holder] -= self.rate(row.name) / len(holders)
        holders.discard(address)
        for holder in holders:
            self.loads[holder] += self.rate(row.name) / len(holders)
        self.serving[row.name].discard(address)
        self.free[address] += row.memory_bytes
        self.rows_at[address].discard(row.name)
        self._add(
            upstream_record.Action.UNLOAD, row, row.version, address, cause
        )

    def drop(
        self, copy: upstream_record.Resident, address: str, cause: str
    ) -> None:
        """Add an unload of a copy that no row of the table requires."""
        self._add_step(
            placement.Step(
                upstream_record.Action.UNLOAD,
                copy.row,
                copy.version,
                copy.memory_bytes,
                address,
                cause,
                copy.base,
            )
        )
        self.free[address] += copy.memory_bytes

    def _add(
        self,
        action: upstream_record.Action,
        row: table_lib.Row,
        version: str,
        address: str,
        cause: str,
    ) -> None:
        self._add_step(
            placement.Step(
                action,
                row.name,
                version,
                row.memory_bytes,
                address,
                cause,
                row.base,
            )
        )

    def _add_step(self, step: placement.Step) -> None:
        self.busy.add(step.upstream)
        self.steps.append(step)

    def zone_count(self, name: str, address: str) -> int:
        """Return how many copies of a row are in the zone of `address`."""
        zone = self.state.upstreams[address].zone
        return sum(
            self.state.upstreams[holder].zone == zone
            for holder in self.copies[name]
        )
