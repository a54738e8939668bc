"""Results of a load: counts and latencies, and their JSON and CSV forms."""

import collections
from collections.abc import Iterable
import csv
import dataclasses
import enum
import io
from typing import Any, Final

from hdrh import histogram

from cicadahook.core import workload

LOWEST_MICROSECONDS: Final = 1
HIGHEST_MICROSECONDS: Final = 3_600_000_000
MICROSECONDS_PER_SECOND: Final = 1_000_000
SIGNIFICANT_DIGITS: Final = 3
PERCENTILES: Final = (50.0, 95.0, 99.0)
CSV_COLUMNS: Final = (
    "policy",
    "load",
    "fault",
    "traffic",
    "sent",
    "in_time",
    "late",
    "refused",
    "failed",
    "share_in_time",
    "p50_ms",
    "p95_ms",
    "p99_ms",
    "first_token_p95_ms",
)
ALL_TRAFFIC: Final = "all"


class Ending(enum.StrEnum):
    """How a request ended for its caller."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Outcome of one request, as its caller observed it.

    Attributes:
        arrival: the request.
        ending: how it ended.
        reason: code of a refusal or kind of a failure; empty without one.
        seconds: time from its arrival to its end.
        first_token_seconds: time to the first token; None without one.
        sends: how often it was sent.
    """

    arrival: workload.Arrival
    ending: Ending
    reason: str
    seconds: float
    first_token_seconds: float | None
    sends: int


class Result:
    """Results of one class of traffic, or of all traffic.

    Attributes:
        endings: number of requests by how they ended.
        reasons: number of refusals and failures by reason.
        by_second: number of requests, and of those in time, by second of
            arrival.
        sends: how often requests were sent, resends included.
        latencies: times from arrival to end, in microseconds.
        first_tokens: times from arrival to the first token, in microseconds.
    """

    def __init__(self) -> None:
        self.endings: collections.Counter[Ending] = collections.Counter()
        self.reasons: collections.Counter[str] = collections.Counter()
        self.by_second: dict[int, list[int]] = {}
        self.sends = 0
        self.latencies = _create_histogram()
        self.first_tokens = _create_histogram()

    def add(self, sample: Sample) -> None:
        """Add `sample` to the counts."""
        self.endings[sample.ending] += 1
        self.sends += sample.sends
        second = self.by_second.setdefault(
            int(sample.arrival.at.total_seconds()), [0, 0]
        )
        second[0] += 1
        second[1] += sample.ending is Ending.IN_TIME
        if sample.reason:
            self.reasons[sample.reason] += 1
        if sample.ending in (Ending.IN_TIME, Ending.LATE):
            _record(self.latencies, sample.seconds)
        if sample.first_token_seconds is not None:
            _record(self.first_tokens, sample.first_token_seconds)

    @property
    def count(self) -> int:
        """Number of requests that have ended."""
        return self.endings.total()

    @property
    def share_in_time(self) -> float:
        """Fraction of the requests that were served within their deadline."""
        return self.endings[Ending.IN_TIME] / max(1, self.count)

    def describe(self) -> dict[str, Any]:
        """Return the JSON form, with times in milliseconds."""
        return {
            "sent": self.count,
            **{ending.value: self.endings[ending] for ending in Ending},
            "sends": self.sends,
            "share_in_time": round(self.share_in_time, 4),
            "reasons": dict(sorted(self.reasons.items())),
            "latency_ms": _describe_percentiles(self.latencies),
            "first_token_ms": _describe_percentiles(self.first_tokens),
            "by_second": {
                str(second): counts
                for second, counts in sorted(self.by_second.items())
            },
        }


class Results:
    """Results of each class of traffic, and of all traffic."""

    def __init__(self) -> None:
        self.by_traffic: dict[str, Result] = {ALL_TRAFFIC: Result()}

    def add(self, sample: Sample) -> None:
        """Add `sample` to the results of its class and of all traffic."""
        name = sample.arrival.traffic.name
        self.by_traffic.setdefault(name, Result()).add(sample)
        self.all.add(sample)

    @property
    def all(self) -> Result:
        """The result of all traffic."""
        return self.by_traffic[ALL_TRAFFIC]

    def describe(self) -> dict[str, Any]:
        """Return the JSON form of all results."""
        return {
            name: result.describe()
            for name, result in sorted(self.by_traffic.items())
        }


def format_csv(runs: Iterable[dict[str, Any]]) -> str:
    """Return CSV with one line for each run and class of traffic."""
    output = io.StringIO()
    writer = csv.DictWriter(output, CSV_COLUMNS, lineterminator="\n")
    writer.writeheader()
    for run in runs:
        for traffic, result in run["results"].items():
            writer.writerow(_create_line(run, traffic, result))
    return output.getvalue()


def _create_line(
    run: dict[str, Any], traffic: str, result: dict[str, Any]
) -> dict[str, Any]:
    latency = result["latency_ms"]
    line = {
        "policy": run["policy"],
        "load": run["load"],
        "fault": run["fault"],
        "traffic": traffic,
        "p50_ms": latency["p50"],
        "p95_ms": latency["p95"],
        "p99_ms": latency["p99"],
        "first_token_p95_ms": result["first_token_ms"]["p95"],
    }
    return {
        column: line.get(column, result.get(column)) for column in CSV_COLUMNS
    }


def _create_histogram() -> Any:
    return histogram.HdrHistogram(
        LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
    )


def _record(target: Any, seconds: float) -> None:
    microseconds = max(1, int(seconds * MICROSECONDS_PER_SECOND))
    target.record_value(microseconds)


def _describe_percentiles(source: Any) -> dict[str, float]:
    """Return percentiles in milliseconds; all are 0 without any value."""
    return {
        f"p{percentile:g}": source.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
