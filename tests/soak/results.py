"""Counts of a soak and the violations of guarantees that it found."""

import collections
import dataclasses
import time
from typing import Any, Final

FIRST_VIOLATIONS_LIMIT: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A guarantee that did not hold.

    Attributes:
        promise: short name of the guarantee.
        detail: what was observed.
        at_seconds: time since the run began.
    """

    promise: str
    detail: str
    at_seconds: float


@dataclasses.dataclass
class Booking:
    """The answers to all sends of one booking.

    Attributes:
        has_run: whether an answer stated that the booking was made.
        is_uncertain: whether an answer was lost or left open whether it ran.
    """

    has_run: bool = False
    is_uncertain: bool = False


class Results:
    """Collects counts, bookings and violations.

    Attributes:
        seed: seed of the run.
        began: monotonic time at which the run began.
        counts: counts of events by name.
        bookings: bookings by name.
        violations: violations in the order of their detection.
        generations: newest table generation observed by node.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.began = time.monotonic()
        self.counts: collections.Counter[str] = collections.Counter()
        self.bookings: dict[str, Booking] = {}
        self.violations: list[Violation] = []
        self.generations: dict[str, int] = {}

    @property
    def elapsed_seconds(self) -> float:
        """Time since the run began."""
        return round(time.monotonic() - self.began, 2)

    def record_violation(self, promise: str, detail: str) -> None:
        """Record a violation and print it.

        Args:
            promise: short name of the guarantee.
            detail: what was observed.
        """
        self.violations.append(Violation(promise, detail, self.elapsed_seconds))
        print(f"BROKEN {self.elapsed_seconds} {promise}: {detail}", flush=True)

    def check_generation(self, node: str, generation: int) -> None:
        """Check that a table generation never decreases, even by a restart."""
        newest = self.generations.get(node, 0)
        if 0 < generation < newest:
            self.record_violation(
                "table never reverts", f"{node}: {newest} to {generation}"
            )
        self.generations[node] = max(newest, generation)

    def check_bookings(self, runs: collections.Counter[str]) -> None:
        """Compare the answers with the runs counted by the services."""
        for name, booking in self.bookings.items():
            count = runs[name]
            if count > 1:
                self.record_violation(
                    "at most once", f"{name} ran {count} times"
                )
            if booking.has_run and not count:
                self.record_violation("ran is true", f"{name} did not run")
            is_not_run = not (booking.has_run or booking.is_uncertain)
            if is_not_run and count:
                self.record_violation("not_run is true", f"{name} ran")

    def describe(self) -> dict[str, Any]:
        """Return the JSON form of the results."""
        return {
            "seed": self.seed,
            "seconds": self.elapsed_seconds,
            "counts": dict(sorted(self.counts.items())),
            "bookings": len(self.bookings),
            "generations": self.generations,
            "broken": self._describe_violations(),
        }

    def _describe_violations(self) -> dict[str, Any]:
        """Return the count and the first violations of each guarantee."""
        grouped: dict[str, list[Violation]] = collections.defaultdict(list)
        for item in self.violations:
            grouped[item.promise].append(item)
        return {
            promise: {
                "times": len(items),
                "first": [
                    dataclasses.asdict(item)
                    for item in items[:FIRST_VIOLATIONS_LIMIT]
                ],
            }
            for promise, items in grouped.items()
        }
