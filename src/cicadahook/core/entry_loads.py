"""Loads of the entries: arrival rates, exchange between controls, and sums."""

import collections
from collections.abc import Iterable, Iterator
import dataclasses
import datetime
import math
from typing import Final

from cicadahook.core import view

LOAD_LIFETIME: Final = datetime.timedelta(seconds=3)
RATE_HALF_LIFE: Final = datetime.timedelta(seconds=2)
MIN_RATE_PER_SECOND: Final = 0.01
SUSPECT_LIMIT: Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLoad:
    """Load of one entry, as its control sends it to the other controls.

    Attributes:
        entry: `host:port` of the entry.
        draining: whether it is leaving.
        generation: table generation that it has in force.
        uses: requests in flight by upstream, with the limits it learned.
        rows: requests in flight and arrival rates by row.
        suspects: requests that it suspects of crashing upstreams.
    """

    entry: str
    draining: bool = False
    generation: int = 0
    uses: tuple[view.UpstreamUse, ...] = ()
    rows: tuple[view.PeerRowLoad, ...] = ()
    suspects: tuple[view.Suspect, ...] = ()


class RateMeter:
    """Computes smoothed arrival rates from the reports of an entry."""

    def __init__(self) -> None:
        self.rates: dict[str, float] = {}
        self.updated: datetime.datetime | None = None

    def measure(self, report: view.Report, now: datetime.datetime) -> EntryLoad:
        """Return the load of the entry that sent `report`."""
        elapsed = now - (self.updated or now)
        self.updated = now
        seconds = elapsed.total_seconds()
        if seconds > 0:
            self._smooth(report.demands, seconds)
        in_flight = {item.row: item.in_flight for item in report.demands}
        rows = sorted(self.rates.keys() | in_flight.keys())
        return EntryLoad(
            report.entry,
            report.draining,
            report.generation,
            report.uses,
            tuple(
                view.PeerRowLoad(
                    row, in_flight.get(row, 0), self.rates.get(row, 0.0)
                )
                for row in rows
            ),
            report.suspects[:SUSPECT_LIMIT],
        )

    def _smooth(
        self, demands: Iterable[view.RowDemand], seconds: float
    ) -> None:
        """Move each rate towards that of the last `seconds`, exponentially."""
        kept = 0.5 ** (seconds / RATE_HALF_LIFE.total_seconds())
        arrivals = {item.row: item.arrivals for item in demands}
        rates = {
            row: kept * self.rates.get(row, 0.0)
            + (1 - kept) * arrivals.get(row, 0) / seconds
            for row in self.rates.keys() | arrivals.keys()
        }
        self.rates = {
            row: rate
            for row, rate in rates.items()
            if rate >= MIN_RATE_PER_SECOND
        }


class LoadAggregator:
    """Keeps the newest load of each entry until it expires, and sums them."""

    def __init__(self) -> None:
        self.loads: dict[str, EntryLoad] = {}
        self.times: dict[str, datetime.datetime] = {}

    def record(self, load: EntryLoad, now: datetime.datetime) -> None:
        """Replace the previous load of the entry by `load`."""
        self.loads[load.entry] = load
        self.times[load.entry] = now

    def expire(
        self,
        now: datetime.datetime,
        lifetime: datetime.timedelta = LOAD_LIFETIME,
    ) -> None:
        """Drop the loads that were not renewed within `lifetime`."""
        for entry, time in list(self.times.items()):
            if now - time > lifetime:
                del self.times[entry]
                del self.loads[entry]

    def sum_upstreams(self, excluded: str = "") -> tuple[view.PeerLoad, ...]:
        """Return the load of all entries but `excluded` on each upstream."""
        counts: collections.Counter[str] = collections.Counter()
        limits: dict[str, list[float]] = collections.defaultdict(list)
        for load in self._others(excluded):
            for use in load.uses:
                counts[use.upstream] += use.in_flight
                if use.limit > 0:
                    limits[use.upstream].append(use.limit)
        return tuple(
            view.PeerLoad(upstream, counts[upstream], _mean(limits[upstream]))
            for upstream in sorted(counts)
        )

    def sum_rows(self, excluded: str = "") -> tuple[view.PeerRowLoad, ...]:
        """Return the load of all entries but `excluded` for each row."""
        counts: collections.Counter[str] = collections.Counter()
        rates: dict[str, list[float]] = collections.defaultdict(list)
        for load in self._others(excluded):
            for row in load.rows:
                counts[row.row] += row.in_flight
                rates[row.row].append(row.arrivals_per_second)
        return tuple(
            view.PeerRowLoad(row, counts[row], math.fsum(rates[row]))
            for row in sorted(counts)
        )

    def merge_suspects(self) -> tuple[view.Suspect, ...]:
        """Return the suspects of all entries, with their deaths merged."""
        joined: dict[str, view.Suspect] = {}
        for load in self.loads.values():
            for suspect in load.suspects:
                known = joined.get(suspect.fingerprint, suspect)
                joined[suspect.fingerprint] = view.Suspect(
                    suspect.fingerprint,
                    tuple(sorted({*known.deaths, *suspect.deaths})),
                    max(known.last_seen, suspect.last_seen),
                )
        return tuple(joined[fingerprint] for fingerprint in sorted(joined))

    def rates(self) -> dict[str, float]:
        """Return the arrivals per second over all entries, by row."""
        return {row.row: row.arrivals_per_second for row in self.sum_rows()}

    def _others(self, excluded: str) -> Iterator[EntryLoad]:
        return (load for entry, load in self.loads.items() if entry != excluded)


def _mean(values: list[float]) -> float:
    """Return the mean of `values`, or 0 if there are none."""
    return math.fsum(values) / len(values) if values else 0.0
