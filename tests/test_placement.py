"""Placement policies, the capacity check and the pacing of loads.

Every row must stay served during moves, losses of upstreams and table edits.
"""

import dataclasses
import datetime
import random

import pytest

from cicadahook.core import capacity_check
from cicadahook.core import clock as clock_lib
from cicadahook.core import pacing
from cicadahook.core import placement
from cicadahook.core import placement_draft
from cicadahook.core import policies
from cicadahook.core import table as table_lib
from cicadahook.core import upstream_record
from cicadahook.core import view

CAPACITY = 10


def model(name: str, size: int = 4, **columns: object) -> table_lib.Row:
    """Return a model row."""
    row = table_lib.Row(name, table_lib.RowKind.MODEL, memory_bytes=size)
    return dataclasses.replace(row, **columns)  # type: ignore[arg-type]


def adapter(name: str, base: str, size: int = 1) -> table_lib.Row:
    """Return an adapter row."""
    return table_lib.Row(
        name, table_lib.RowKind.ADAPTER, base, memory_bytes=size
    )


def upstream(address: str) -> view.Upstream:
    """Return a live engine in its own zone."""
    return view.Upstream(
        address, address, view.UpstreamKind.ENGINE, capacity_bytes=CAPACITY
    )


class Fleet:
    """Upstreams that carry out every step at once."""

    def __init__(self, count: int, *rows: table_lib.Row) -> None:
        self.table = table_lib.Table(1, table_lib.sort_rows(rows))
        names = [f"u{index}" for index in range(count)]
        self.upstreams = {name: upstream(name) for name in names}
        self.records = {
            name: upstream_record.UpstreamRecord(name, CAPACITY)
            for name in names
        }
        self.demand: dict[str, float] = {}
        self.policy = policies.create_policy(placement.PlacementMode())
        self.steps: list[placement.Step] = []

    def state(self) -> placement.PlacementState:
        """Return the state from which the next plan is made."""
        return placement.PlacementState(
            self.table,
            self.upstreams,
            self.records,
            self.demand,
            {
                name: frozenset(copy.key for copy in record.residents)
                for name, record in self.records.items()
                if name in self.upstreams
            },
        )

    def run(self, plans: int = 20) -> list[placement.Step]:
        """Make and carry out several plans; return the steps."""
        taken = []
        for _ in range(plans):
            for step in self.policy.plan(self.state()):
                self.carry_out(step)
                taken.append(step)
        return taken

    def carry_out(self, step: placement.Step) -> None:
        """Apply a step to the record, which checks the memory."""
        record = self.records[step.upstream]
        key = step.row, step.version
        if step.action is upstream_record.Action.UNLOAD:
            assert step.cause in ("row removed", "version replaced") or (
                len(self.holders(step.row)) > 1
            ), f"{step.row} loses its last copy: {step.cause}"
            self.records[step.upstream] = record.without_resident(key)
            return
        copy = upstream_record.Resident(
            step.row, step.base, step.version, step.memory_bytes
        )
        self.records[step.upstream] = record.with_resident(copy)

    def holders(self, row: str) -> set[str]:
        """Return the live upstreams with a copy."""
        return {
            name
            for name in self.upstreams
            if self.records[name].has_resident(row)
        }

    def lose(self, name: str) -> None:
        """Remove an upstream from the live ones."""
        del self.upstreams[name]


def test_rows_without_copy_come_first_by_priority() -> None:
    fleet = Fleet(2, model("low"), model("high", priority=5))
    first = next(iter(fleet.policy.plan(fleet.state())))
    assert first.row == "high"


def test_adapter_follows_its_model() -> None:
    fleet = Fleet(2, model("m"), adapter("a", "m"))
    steps = fleet.run()
    assert [step.row for step in steps] == ["m", "a"]
    assert fleet.holders("a") <= fleet.holders("m")


def test_copies_spread_over_zones() -> None:
    fleet = Fleet(3, model("m", min_copies=3))
    fleet.run()
    assert len(fleet.holders("m")) == 3


def test_lost_copies_are_restored_by_evicting_spare_copies() -> None:
    rows = [model(name, 5) for name in "abc"]
    fleet = Fleet(3, *rows[:2], dataclasses.replace(rows[2], min_copies=2))
    fleet.run()
    fleet.table = table_lib.Table(
        2, (*rows, model("d", 5, min_copies=1, priority=-1))
    )
    fleet.run()
    lost = next(iter(fleet.holders("a")))
    fleet.lose(lost)
    fleet.run()
    assert all(fleet.holders(name) for name in "abcd")
    assert not fleet.policy.unplaced


def test_rows_that_do_not_fit_are_reported_by_priority() -> None:
    fleet = Fleet(1, model("a", 6, priority=2), model("b", 6, priority=1))
    fleet.run()
    assert fleet.holders("a")
    assert set(fleet.policy.unplaced) == {"b"}


def test_new_version_serves_before_the_old_is_unloaded() -> None:
    fleet = Fleet(2, model("m"))
    fleet.run()
    fleet.table = table_lib.Table(2, (model("m", version="2"),))
    steps = fleet.run()
    assert [(step.action, step.version) for step in steps] == [
        (upstream_record.Action.LOAD, "2"),
        (upstream_record.Action.UNLOAD, "1"),
    ]


def test_removed_row_is_unloaded() -> None:
    fleet = Fleet(1, model("m"), adapter("a", "m"))
    fleet.run()
    fleet.table = table_lib.Table(2, ())
    fleet.run()
    assert not fleet.records["u0"].residents


@pytest.mark.parametrize(("price", "copies"), [(1.0, 2), (1e9, 1)])
def test_copy_must_earn_its_price(price: float, copies: int) -> None:
    fleet = Fleet(2, model("m"), model("n"))
    fleet.policy = policies.create_policy(
        placement.PlacementMode(move_price=price, upstream_rate=10.0)
    )
    fleet.demand = {"m": 15.0, "n": 0.1}
    fleet.run()
    assert len(fleet.holders("m")) == copies


def test_random_demand_and_losses_keep_rows_served() -> None:
    rng = random.Random(3)
    rows = [model(f"m{index}", 3) for index in range(5)]
    rows += [adapter(f"a{index}", f"m{index % 5}") for index in range(5)]
    fleet = Fleet(5, *rows)
    for round_number in range(60):
        fleet.demand = {row.name: rng.expovariate(0.1) for row in rows}
        fleet.upstreams = {name: upstream(name) for name in fleet.records}
        if round_number % 5 == 4:
            lost = rng.choice(sorted(fleet.records))
            fleet.lose(lost)
            fleet.records[lost] = upstream_record.UpstreamRecord(lost, CAPACITY)
        fleet.run(12)
        assert all(fleet.holders(row.name) for row in rows)


def test_last_serving_copy_is_never_unloaded() -> None:
    fleet = Fleet(1, model("m"))
    fleet.run()
    draft = placement_draft.PlacementDraft(fleet.state())
    assert not draft.can_unload(fleet.table.rows[0], "u0", 0)
    with pytest.raises(AssertionError):
        draft.unload(fleet.table.rows[0], "u0", "test")


@pytest.mark.parametrize(
    ("rows", "unfit"),
    [
        ([model("a", 10), model("b", 10)], None),
        ([model("a", 11)], "a"),
        ([model("a", 6), model("b", 6), model("c", 6)], "c"),
        ([model("a", 8)] + [adapter(f"x{n}", "a") for n in range(4)], None),
        ([model("a", 9), adapter("x", "a", 2)], "x"),
    ],
)
def test_rows_that_do_not_fit_are_refused(
    rows: list[table_lib.Row], unfit: str | None
) -> None:
    error = capacity_check.find_unplaceable_row(
        rows, [upstream("u0"), upstream("u1")]
    )
    assert (error.row if error else None) == unfit
    assert capacity_check.find_unplaceable_row(rows, []) is None


def test_loads_are_paced(clock: clock_lib.ManualClock) -> None:
    pacer = pacing.LoadPacer(pacing.PacingMode(1.0, 2))
    keys = [pacing.LoadKey("u", name, "1") for name in "abc"]
    started = []
    for _ in range(4):
        started.append([pacer.start(key, clock.now()) for key in keys])
        clock.advance(datetime.timedelta(seconds=1))
    assert started[0] == [True, False, False]
    assert started[3] == [True, True, False]
    pacer.finish(keys[0])
    assert pacer.start(keys[2], clock.now())
