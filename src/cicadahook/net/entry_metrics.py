"""Collects the reports of linked entries and the counters of a VM's entry.

The dashboard and the operators' API show them.
"""

import collections
import dataclasses
import datetime
from typing import Final

import aiohttp
from prometheus_client import parser

from cicadahook.core import clock as clock_lib
from cicadahook.core import dashboard
from cicadahook.core import view
from cicadahook.net import answer_protocol
from cicadahook.net import logs

ENTRY_EXPIRY: Final = datetime.timedelta(seconds=10)
RATE_WINDOW: Final = datetime.timedelta(seconds=5)
COUNT_WINDOW: Final = datetime.timedelta(seconds=60)
SCRAPE_PAUSE: Final = datetime.timedelta(seconds=0.5)
SCRAPE_TIMEOUT: Final = datetime.timedelta(seconds=0.5)
REFUSALS: Final = "cicada_refusals_total"
RETRIES: Final = "cicada_retries_total"

logger: Final = logs.create_logger("figures")


@dataclasses.dataclass(frozen=True, slots=True)
class TimedReport:
    """A report of an entry with its time of arrival."""

    report: view.Report
    received: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class Scrape:
    """An entry's counters by (metric, reason) at one time."""

    totals: collections.Counter[tuple[str, str]]
    taken: datetime.datetime


class EntryMetricsCollector:
    """Keeps recent reports and reads counters on request.

    Attributes:
        node: name of this VM.
        entry: `host:port` of this VM's entry.
        reports: recent reports by entry, the newest last.
        scrapes: recent counters of this VM's entry, the newest last.
    """

    def __init__(
        self,
        node: str,
        entry: str,
        clock: clock_lib.Clock,
        session: aiohttp.ClientSession,
    ) -> None:
        self.node = node
        self.entry = entry
        self.clock = clock
        self.session = session
        self.reports: dict[str, collections.deque[TimedReport]] = {}
        self.scrapes: collections.deque[Scrape] = collections.deque()

    def record_report(self, report: view.Report) -> None:
        """Store a report; remove entries that have stopped reporting."""
        now = self.clock.now()
        kept = self.reports.setdefault(report.entry, collections.deque())
        kept.append(TimedReport(report, now))
        while kept[0].received < now - RATE_WINDOW:
            kept.popleft()
        self.reports = {
            entry: reports
            for entry, reports in self.reports.items()
            if reports[-1].received >= now - ENTRY_EXPIRY
        }

    def describe_entries(self) -> tuple[dashboard.EntryFigures, ...]:
        """Return the newest figures of the entries linked to this control."""
        now = self.clock.now()
        return tuple(
            _describe_entry(reports, now)
            for _, reports in sorted(self.reports.items())
        )

    async def describe(self, generation: int) -> dashboard.NodeFigures:
        """Return all figures of this VM; read the counters again if due."""
        now = self.clock.now()
        if not self.scrapes or now - self.scrapes[-1].taken > SCRAPE_PAUSE:
            await self._scrape(now)
        return dashboard.NodeFigures(
            node=self.node,
            generation=generation,
            entries=self.describe_entries(),
            refusals=self._count(REFUSALS),
            retries=self._count(RETRIES),
        )

    async def _scrape(self, now: datetime.datetime) -> None:
        """Read the counters of this VM's entry."""
        timeout = aiohttp.ClientTimeout(total=SCRAPE_TIMEOUT.total_seconds())
        url = f"http://{self.entry}/metrics"
        try:
            async with self.session.get(url, timeout=timeout) as response:
                content = await answer_protocol.read_stated(response)
                totals = _parse_totals(content.decode(), self.node)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            logger.info(
                "Counters of entry %s could not be read: %r.",
                self.entry,
                error,
            )
            return
        if self.scrapes and _has_restarted(self.scrapes[-1].totals, totals):
            self.scrapes.clear()
            self.scrapes.append(Scrape(collections.Counter(), now))
        self.scrapes.append(Scrape(totals, now))
        while self.scrapes[0].taken < now - COUNT_WINDOW:
            self.scrapes.popleft()

    def _count(self, metric: str) -> tuple[dashboard.ReasonCount, ...]:
        """Return the increase of a counter in the window, by reason."""
        if not self.scrapes:
            return ()
        oldest, newest = self.scrapes[0].totals, self.scrapes[-1].totals
        return tuple(
            dashboard.ReasonCount(reason, total - oldest[name, reason])
            for (name, reason), total in sorted(newest.items())
            if name == metric
        )


def _describe_entry(
    reports: collections.deque[TimedReport], now: datetime.datetime
) -> dashboard.EntryFigures:
    """Return the newest report of an entry, with rates over the window."""
    newest = reports[-1].report
    arrivals: collections.Counter[str] = collections.Counter()
    for timed in reports:
        for demand in timed.report.demands:
            arrivals[demand.row] += demand.arrivals
    in_flight = {demand.row: demand.in_flight for demand in newest.demands}
    window_seconds = RATE_WINDOW.total_seconds()
    return dashboard.EntryFigures(
        entry=newest.entry,
        generation=newest.generation,
        is_draining=newest.draining,
        age_seconds=(now - reports[-1].received).total_seconds(),
        uses=newest.uses,
        rows=tuple(
            dashboard.RowRate(
                row, in_flight.get(row, 0), count / window_seconds
            )
            for row, count in sorted(arrivals.items())
        ),
    )


def _parse_totals(
    content: str, node: str
) -> collections.Counter[tuple[str, str]]:
    """Return a node's refusals and retries by reason, from Prometheus text."""
    totals: collections.Counter[tuple[str, str]] = collections.Counter()
    for family in parser.text_string_to_metric_families(content):
        for sample in family.samples:
            is_own = sample.labels.get("node") == node
            if is_own and sample.name in (REFUSALS, RETRIES):
                reason = sample.labels.get("reason", "")
                totals[sample.name, reason] += int(sample.value)
    return totals


def _has_restarted(
    old: collections.Counter[tuple[str, str]],
    new: collections.Counter[tuple[str, str]],
) -> bool:
    """Whether a counter decreased, which means that the process restarted."""
    return any(new[key] < total for key, total in old.items())
