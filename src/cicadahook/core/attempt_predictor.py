"""Predicts times and chances of success of attempts at upstreams.

The admitter of an entry uses the predictions; they are learned from ended
attempts.
"""

import datetime
from typing import Final

from cicadahook.core import admission
from cicadahook.core import prefix_affinity
from cicadahook.core import routing
from cicadahook.core import table as table_lib
from cicadahook.core import upstream_loads
from cicadahook.core import view as view_lib
from cicadahook.core import waiting_queue
from cicadahook.core import work_estimates

MIN_PACE_TOKENS: Final = 4
MIN_PACE_SECONDS: Final = 1e-6


class AttemptPredictor:
    """Expected times and chances, learned from ended attempts.

    Attributes:
        loads: loads, limits and speeds of the upstreams.
        work: estimated units of work of a request, by row.
        prefixes: the upstreams to which prompt prefixes were sent.
    """

    def __init__(self, loads: upstream_loads.UpstreamLoads) -> None:
        self.loads = loads
        self.work: dict[str, work_estimates.WorkEstimate] = {}
        self.prefixes = prefix_affinity.PrefixMemory()

    def forget_rows(self, table: table_lib.Table) -> None:
        """Drop the estimates of rows that are not in `table`."""
        self.work = {
            name: work for name, work in self.work.items() if table.find(name)
        }

    def find_work(self, row: str) -> work_estimates.WorkEstimate:
        """Return the estimated units of work of a request of `row`."""
        return self.work.setdefault(row, work_estimates.WorkEstimate())

    def create_loads(
        self,
        waiter: waiting_queue.Waiter,
        candidates: tuple[view_lib.Upstream, ...],
        now: datetime.datetime,
    ) -> list[routing.Load]:
        """Return the load of each candidate, as predicted for this request."""
        affinities = self.prefixes.rate(
            waiter.row.name,
            waiter.request.prefix,
            tuple(upstream.address for upstream in candidates),
            now,
        )
        return [
            self._create_load(waiter, upstream, holds, now)
            for upstream, holds in zip(candidates, affinities, strict=True)
        ]

    def _create_load(
        self,
        waiter: waiting_queue.Waiter,
        upstream: view_lib.Upstream,
        holds: float,
        now: datetime.datetime,
    ) -> routing.Load:
        load = self.loads.get(upstream.address)
        work = self.find_work(waiter.row.name)
        in_flight = load.predict_in_flight(self.loads.fleet.entries)
        pace = self.loads.predict_pace(load, in_flight + 1, now)
        seconds = work.median * pace if work.samples else 0.0
        has_room = load.own < self.loads.allow(load, now)
        slack = (waiter.request.deadline - now).total_seconds()
        if not has_room:
            slack -= seconds / max(1, load.own)
        return routing.Load(
            upstream,
            in_flight,
            load.limit,
            has_room,
            seconds,
            work.chance(slack, pace),
            holds,
        )

    def predict_seconds(
        self, row: table_lib.Row, addresses: set[str], now: datetime.datetime
    ) -> float:
        """Return the least expected seconds of a request at `addresses`.

        0 means that no attempt of the row has been observed.
        """
        work = self.find_work(row.name)
        if not work.samples:
            return 0.0
        entries = self.loads.fleet.entries
        paces = (
            self.loads.predict_pace(load, load.predict_in_flight(entries), now)
            for load in map(self.loads.get, sorted(addresses))
        )
        return work.median * min(paces, default=0.0)

    def predict_interval(
        self, row: table_lib.Row, addresses: set[str], now: datetime.datetime
    ) -> float:
        """Return the expected seconds between ends of attempts at `addresses`.

        0 means unknown.
        """
        work = self.find_work(row.name)
        rate = 0.0
        for address in sorted(addresses):
            load = self.loads.get(address)
            in_flight = load.predict_in_flight(self.loads.fleet.entries)
            pace = self.loads.predict_pace(load, in_flight, now)
            if not work.samples or not pace:
                return 0.0
            rate += self.loads.allow(load, now) / (work.median * pace)
        return 1 / rate if rate else 0.0

    def record_sent(
        self, waiter: waiting_queue.Waiter, address: str, now: datetime.datetime
    ) -> None:
        """Record that a request is sent to the upstream at `address`."""
        self.prefixes.record(
            waiter.row.name, waiter.request.prefix, address, now
        )

    def learn(
        self,
        grant: admission.Grant,
        result: admission.AttemptResult,
        in_flight: float,
        now: datetime.datetime,
    ) -> None:
        """Learn from an ended attempt with `in_flight` requests beside it."""
        pace = self._read_pace(grant, result, now)
        if pace:
            load = self.loads.get(grant.upstream.address)
            self.loads.learn(load, in_flight, pace, now)

    def _read_pace(
        self,
        grant: admission.Grant,
        result: admission.AttemptResult,
        now: datetime.datetime,
    ) -> float:
        """Update the row's work; return seconds per unit, 0 if not observed."""
        work = self.find_work(grant.row)
        elapsed = max(MIN_PACE_SECONDS, (now - grant.granted).total_seconds())
        units = max(1, result.tokens)
        if result.per_token:
            elapsed = result.per_token.total_seconds() * units
        match result.end:
            case admission.AttemptEnd.SERVED:
                work.add(units)
                return elapsed / units
            case admission.AttemptEnd.FAILED:
                return 0.0
            case admission.AttemptEnd.TIMED_OUT:
                work.add_partial(units)
        return elapsed / units if units >= MIN_PACE_TOKENS else 0.0
