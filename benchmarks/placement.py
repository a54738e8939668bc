"""Compares the placement policies over a simulated day and times their plans.

Run: python benchmarks/placement.py day --seed 1
     python benchmarks/placement.py plans
"""

from collections.abc import Iterator
import dataclasses
import datetime
import math
import random
import time
import tracemalloc
from typing import Final

import fire
import tabulate

from cicadahook.core import clock as clock_lib
from cicadahook.core import pacing
from cicadahook.core import placement
from cicadahook.core import policies
from cicadahook.core import row_demand
from cicadahook.core import table as table_lib
from cicadahook.core import upstream_record
from cicadahook.core import view

GIGABYTE: Final = 1_000_000_000
CAPACITY_BYTES: Final = 80 * GIGABYTE
ADAPTER_BYTES: Final = GIGABYTE // 2
TICK_SECONDS: Final = 15
DAY_SECONDS: Final = 86_400
RATE_AT_KNEE: Final = 100.0
STORE_BYTES_PER_SECOND: Final = GIGABYTE
MEAN_UTILISATION: Final = 0.55
BURST_FACTOR: Final = 10.0
BURST_RISE_SECONDS: Final = 1_800
BURST_PROBABILITY: Final = 0.5
LOSS_START_SECONDS: Final = 50_000
LOSS_END_SECONDS: Final = 53_600
ZONE_COUNT: Final = 3


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Size and settings of a deployment.

    Attributes:
        name: printed name.
        models: number of models.
        adapters: number of adapters.
        upstreams: number of engines.
        model_bytes: accelerator memory of a model, in bytes.
        move_price: minimum gain of one move, in requests served in time.
        pacing: limits of the weight store.
    """

    name: str
    models: int
    adapters: int
    upstreams: int
    model_bytes: int
    move_price: float
    pacing: pacing.PacingMode


BIOBIO: Final = Deployment(
    "Biobio",
    14,
    40,
    5,
    12 * GIGABYTE,
    2000.0,
    pacing.PacingMode(1.0, 2),
)
AARWIL: Final = Deployment(
    "Aarwil",
    20,
    120,
    9,
    15 * GIGABYTE,
    200.0,
    pacing.PacingMode(2.0, 10),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """A tenfold rise of one row's demand and its fall.

    Attributes:
        start: start of the rise, in seconds of the day.
        hold: seconds at the peak, between rise and fall.
    """

    start: float
    hold: float

    def factor(self, second: float) -> float:
        """Return the factor of the demand at a second of the day."""
        elapsed = second - self.start
        duration = 2 * BURST_RISE_SECONDS + self.hold
        if not 0 < elapsed < duration:
            return 1.0
        ramp_elapsed = min(elapsed, duration - elapsed)
        return 1 + (BURST_FACTOR - 1) * min(
            1.0, ramp_elapsed / BURST_RISE_SECONDS
        )


class DemandTrace:
    """Demand of each row over a day.

    It is the product of a daily curve, Zipf weights and bursts.

    Attributes:
        base: mean requests a second by row.
        bursts: bursts by row.
    """

    def __init__(
        self, names: list[str], total_rate: float, rng: random.Random
    ) -> None:
        order = rng.sample(names, len(names))
        weights = {name: 1 / (rank + 1) for rank, name in enumerate(order)}
        scale = total_rate / sum(weights.values())
        self.base = {name: weights[name] * scale for name in names}
        self.bursts = {
            name: [Burst(rng.uniform(0, DAY_SECONDS), rng.uniform(600, 4_000))]
            for name in names
            if rng.random() < BURST_PROBABILITY
        }

    def rates(self, second: float) -> dict[str, float]:
        """Return the requests a second of each row at a second of the day."""
        daily = 1 - 0.4 * math.cos(2 * math.pi * second / DAY_SECONDS)
        return {
            name: daily
            * rate
            * math.prod(b.factor(second) for b in self.bursts.get(name, ()))
            for name, rate in self.base.items()
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a simulated day.

    Attributes:
        attainment: share of the offered requests that were served in time.
        moves: number of loads started.
        unplaced_row_seconds: seconds without any copy, summed over all rows.
    """

    attainment: float
    moves: int
    unplaced_row_seconds: int


class DaySimulation:
    """Simulates one policy on one deployment over a day.

    All orders are answered; a load takes the time to read its weights.
    """

    def __init__(self, deployment: Deployment, policy: str, seed: int) -> None:
        rng = random.Random(seed)
        self.table = create_table(
            deployment.models, deployment.adapters, deployment.model_bytes
        )
        names = [row.name for row in self.table.rows]
        total = MEAN_UTILISATION * deployment.upstreams * RATE_AT_KNEE
        self.trace = DemandTrace(names, total, rng)
        self.upstreams = create_upstreams(deployment.upstreams)
        self.records = create_records(self.upstreams)
        self.policy = policies.create_policy(
            placement.PlacementMode(
                policy, deployment.move_price, RATE_AT_KNEE, deployment.pacing
            )
        )
        self.pacer = pacing.LoadPacer(deployment.pacing)
        self.demand = row_demand.DemandTracker()
        self.loading: dict[pacing.LoadKey, datetime.datetime] = {}
        self.moves = 0

    def run(self) -> Outcome:
        """Simulate the day and return its result."""
        clock = clock_lib.ManualClock()
        offered = served = 0.0
        unplaced_seconds = 0
        for second in range(0, DAY_SECONDS, TICK_SECONDS):
            self._lose_upstream(second)
            rates = self.trace.rates(second)
            self.demand.update(rates, clock.now())
            for _ in range(TICK_SECONDS):
                self._complete_loads(clock.now())
                if clock.now().second % 3 == 0:
                    self._plan(clock.now())
                clock.advance(datetime.timedelta(seconds=1))
            if second >= 600:
                offered += sum(rates.values())
                served += self._serve(rates)
                unplaced_seconds += TICK_SECONDS * sum(
                    not self._find_copies(name) for name in rates
                )
        return Outcome(served / offered, self.moves, unplaced_seconds)

    def _lose_upstream(self, second: int) -> None:
        """Remove one upstream for an hour; it returns without copies."""
        lost = sorted(self.records)[0]
        if LOSS_START_SECONDS <= second < LOSS_END_SECONDS:
            self.upstreams.pop(lost, None)
            self.records[lost] = upstream_record.UpstreamRecord(
                lost, CAPACITY_BYTES
            )
        elif lost not in self.upstreams:
            self.upstreams = create_upstreams(len(self.records))

    def _plan(self, now: datetime.datetime) -> None:
        state = placement.PlacementState(
            self.table,
            self.upstreams,
            self.records,
            self.demand.expected(),
            {at: self._serving(at) for at in self.upstreams},
            now,
        )
        for step in self.policy.plan(state):
            self._execute_step(step, now)

    def _serving(self, address: str) -> frozenset[upstream_record.CopyKey]:
        return frozenset(copy.key for copy in self.records[address].residents)

    def _execute_step(
        self, step: placement.Step, now: datetime.datetime
    ) -> None:
        """Execute a step; an unload frees its memory immediately."""
        record = self.records[step.upstream]
        if step.action is upstream_record.Action.UNLOAD:
            self.records[step.upstream] = record.without_resident(
                (step.row, step.version)
            )
            return
        key = pacing.LoadKey(step.upstream, step.row, step.version)
        if key in self.loading or not self.pacer.start(key, now):
            return
        self.moves += 1
        seconds = step.memory_bytes / STORE_BYTES_PER_SECOND
        self.loading[key] = now + datetime.timedelta(seconds=seconds)
        self.records[step.upstream] = record.with_order(
            upstream_record.Order(
                f"{step.upstream}-{self.moves}",
                step.action,
                step.row,
                step.base,
                step.version,
                step.memory_bytes,
                unanswered=1,
            )
        )

    def _complete_loads(self, now: datetime.datetime) -> None:
        for key in [k for k, end in self.loading.items() if end <= now]:
            del self.loading[key]
            self.pacer.finish(key)
            record = self.records[key.upstream]
            order = record.find_order((key.row, key.version))
            if order is not None:
                copy = upstream_record.Resident(
                    order.row, order.base, order.version, order.memory_bytes
                )
                self.records[key.upstream] = record.without_order(
                    order.id
                ).with_resident(copy)

    def _find_copies(self, name: str) -> list[str]:
        return [
            address
            for address in self.upstreams
            if self.records[address].has_resident(name)
        ]

    def _serve(self, rates: dict[str, float]) -> float:
        """Return the requests a second served in time.

        Beyond the knee an upstream slows down in proportion, so that it
        serves no more requests in time than at the knee.
        """
        loads = dict.fromkeys(self.upstreams, 0.0)
        for name, rate in rates.items():
            addresses = self._find_copies(name)
            for address in addresses:
                loads[address] += rate / len(addresses)
        return sum(min(load, RATE_AT_KNEE) for load in loads.values())


def create_table(
    models: int, adapters: int, model_bytes: int
) -> table_lib.Table:
    """Return a table of models, with adapters spread evenly over them."""
    rows = [
        table_lib.Row(
            f"m{index:04}",
            table_lib.RowKind.MODEL,
            memory_bytes=model_bytes,
            priority=index % 3,
        )
        for index in range(models)
    ]
    rows += [
        table_lib.Row(
            f"a{index:04}",
            table_lib.RowKind.ADAPTER,
            base=f"m{index % models:04}",
            memory_bytes=ADAPTER_BYTES,
        )
        for index in range(adapters)
    ]
    return table_lib.Table(1, table_lib.sort_rows(rows))


def create_upstreams(count: int) -> dict[str, view.Upstream]:
    """Return engines by address, spread evenly over the zones."""
    return {
        f"10.0.{index // 250}.{index % 250}:80": view.Upstream(
            f"10.0.{index // 250}.{index % 250}:80",
            f"z{index % ZONE_COUNT}",
            view.UpstreamKind.ENGINE,
            capacity_bytes=CAPACITY_BYTES,
        )
        for index in range(count)
    }


def create_records(
    upstreams: dict[str, view.Upstream],
) -> dict[str, upstream_record.UpstreamRecord]:
    """Return empty records of `upstreams`."""
    return {
        address: upstream_record.UpstreamRecord(address, CAPACITY_BYTES)
        for address in upstreams
    }


def run_days(seed: int = 1, policy: str = "", deployment: str = "") -> None:
    """Print attainment and moves of each policy over one day.

    Args:
        seed: seed of the demand trace.
        policy: the policy to run; all if empty.
        deployment: the deployment to run; both if empty.
    """
    chosen = [
        known for known in (BIOBIO, AARWIL) if deployment in ("", known.name)
    ]
    names = [policy] if policy else sorted(placement.POLICIES)
    print_days(chosen, names, seed)


def print_days(
    deployments: list[Deployment], names: list[str], seed: int
) -> None:
    """Simulate a day and print one line for each deployment and policy."""
    cells = []
    for deployment in deployments:
        for policy in names:
            outcome = DaySimulation(deployment, policy, seed).run()
            cells.append(
                [
                    deployment.name,
                    policy,
                    f"{outcome.attainment:.4f}",
                    f"{outcome.attainment / deployment.upstreams:.4f}",
                    outcome.moves,
                    outcome.unplaced_row_seconds,
                ]
            )
    print(
        tabulate.tabulate(
            cells,
            headers=[
                "deployment",
                "policy",
                "attainment",
                "per accelerator",
                "moves",
                "row seconds out",
            ],
        )
    )


def run_plans(repeats: int = 3) -> None:
    """Print the time and memory of one plan at several sizes."""
    cells = [
        _measure_plan(models, upstreams, kind, repeats)
        for models, upstreams in ((10, 5), (100, 20), (1500, 217))
        for kind in ("settled", "one lost", "empty")
    ]
    print(
        tabulate.tabulate(
            cells, headers=["models", "upstreams", "kind", "ms", "peak KB"]
        )
    )


def _measure_plan(
    models: int, upstreams: int, kind: str, repeats: int
) -> list[float | str]:
    """Return one output line: slowest time and peak memory of a plan."""
    state = _create_placed_state(models, upstreams)
    if kind == "one lost":
        live = dict(list(state.upstreams.items())[1:])
        state = dataclasses.replace(state, upstreams=live)
    if kind == "empty":
        records = create_records(create_upstreams(upstreams))
        state = dataclasses.replace(state, records=records, serving={})
    policy = policies.create_policy(
        placement.PlacementMode(move_price=0.0, upstream_rate=1.0)
    )
    slowest = 0.0
    for _ in range(repeats):
        started = time.perf_counter()
        list(policy.plan(state))
        slowest = max(slowest, time.perf_counter() - started)
    tracemalloc.start()
    list(policy.plan(state))
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return [models, upstreams, kind, 1000 * slowest, peak // 1024]


def _create_placed_state(
    models: int, upstreams: int
) -> placement.PlacementState:
    """Return a state in which every row has a copy."""
    table = create_table(models, 0, 10 * GIGABYTE)
    live = create_upstreams(upstreams)
    records = create_records(live)
    for address, row in zip(_cycle(list(live)), table.rows):
        records[address] = records[address].with_resident(
            upstream_record.Resident(
                row.name, "", row.version, row.memory_bytes
            )
        )
    rng = random.Random(1)
    return placement.PlacementState(
        table,
        live,
        records,
        {row.name: rng.expovariate(1.0) for row in table.rows},
        {
            at: frozenset(copy.key for copy in record.residents)
            for at, record in records.items()
        },
    )


def _cycle(addresses: list[str]) -> Iterator[str]:
    while True:
        yield from addresses


if __name__ == "__main__":
    fire.Fire({"day": run_days, "plans": run_plans})
