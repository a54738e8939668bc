"""Rate and concurrency limits of rows, shared by all entries."""

import dataclasses
import datetime
import math
from typing import Final

from cicadahook.core import limit_shares
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib

RATE_WINDOW_SECONDS: Final = 2.0
BURST_SECONDS: Final = 1.0


@dataclasses.dataclass
class RowQuota:
    """Use of one row's limits by this entry.

    Attributes:
        own: in flight from this entry.
        own_reported: value of `own` when unused slots were last split.
        arrivals_per_second: arrivals at this entry, smoothed.
        tokens: requests that the rate still allows; below 1 is none.
        updated: time at which `tokens` and the arrival rate were computed.
    """

    own: int = 0
    own_reported: int = 0
    arrivals_per_second: float = 0.0
    tokens: float = 0.0
    updated: datetime.datetime | None = None


class Quotas:
    """Rate and concurrency limits of all rows."""

    def __init__(self) -> None:
        self.rows: dict[str, RowQuota] = {}
        self.peers: dict[str, view_lib.PeerRowLoad] = {}
        self.fleet = limit_shares.Fleet()
        self.report_age = limit_shares.ReportAge()

    def apply_view(
        self,
        view: view_lib.View,
        fleet: limit_shares.Fleet,
        now: datetime.datetime,
    ) -> None:
        """Apply the use of the limits that the other entries report."""
        self.fleet = fleet
        self.peers = {load.row: load for load in view.peer_row_loads}
        self.rows = {
            name: quota
            for name, quota in self.rows.items()
            if quota.own or view.table.find(name) is not None
        }
        if not self.report_age.is_due(now):
            return
        for quota in self.rows.values():
            quota.own_reported = quota.own

    def admit(
        self, row: table_lib.Row, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Count an arrival; return when to retry if it exceeds the rate."""
        quota = self.rows.setdefault(row.name, RowQuota())
        rate = self._advance(quota, row, now)
        if not row.rate_per_second or quota.tokens >= 1:
            quota.tokens -= 1
            return None
        return datetime.timedelta(seconds=(1 - quota.tokens) / rate)

    def _advance(
        self, quota: RowQuota, row: table_lib.Row, now: datetime.datetime
    ) -> float:
        """Update `quota` to `now`; return this entry's share of the rate."""
        elapsed = math.inf
        if quota.updated is not None:
            elapsed = (now - quota.updated).total_seconds()
        quota.updated = now
        decay = math.exp(-elapsed / RATE_WINDOW_SECONDS)
        quota.arrivals_per_second *= decay
        quota.arrivals_per_second += 1 / RATE_WINDOW_SECONDS
        rate = row.rate_per_second * self._share(quota, row.name)
        burst = max(1.0, rate * BURST_SECONDS)
        quota.tokens = burst if not rate else quota.tokens + rate * elapsed
        quota.tokens = min(quota.tokens, burst)
        return rate

    def _share(self, quota: RowQuota, name: str) -> float:
        """Return this entry's part of all arrivals."""
        peers = self.peers.get(name)
        if peers is None:
            return 1 / self.fleet.entries
        own = quota.arrivals_per_second
        return own / (own + peers.arrivals_per_second)

    def allow(self, row: table_lib.Row, now: datetime.datetime) -> float:
        """Return how many of `row` this entry may have in flight."""
        if not row.max_in_flight:
            return math.inf
        quota = self.rows.setdefault(row.name, RowQuota())
        peers = self.peers.get(row.name)
        usage = limit_shares.Usage(
            quota.own, quota.own_reported, peers.in_flight if peers else 0
        )
        return limit_shares.allow(row.max_in_flight, usage, self.fleet, now)

    def has_room(self, row: table_lib.Row, now: datetime.datetime) -> bool:
        """Whether one more request of `row` may be in flight."""
        return self.in_flight(row.name) < self.allow(row, now)

    def in_flight(self, name: str) -> int:
        """Return what this entry has in flight of the row `name`."""
        quota = self.rows.get(name)
        return quota.own if quota else 0

    def start(self, name: str) -> None:
        """Count an attempt of row `name` in flight."""
        self.rows.setdefault(name, RowQuota()).own += 1

    def end(self, name: str) -> None:
        """Count an attempt of row `name` as ended."""
        quota = self.rows[name]
        quota.own -= 1
        assert quota.own >= 0, f"row {name}: more ends than starts"
