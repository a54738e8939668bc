"""Estimates the level and the trend of the demand for each row."""

from collections.abc import Mapping
import dataclasses
import datetime
import math
from typing import Final

# Time constants of the smoothed level and trend.
LEVEL_TIME: Final = datetime.timedelta(minutes=3)
TREND_TIME: Final = datetime.timedelta(minutes=10)
# How far ahead a rising trend is extrapolated.
LOOK_AHEAD: Final = datetime.timedelta(minutes=2)
# Rows with a lower level, in requests a second, are forgotten.
MIN_RATE: Final = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand for one row.

    Attributes:
        level: smoothed rate, in requests a second.
        trend: smoothed change of the level, in requests a second per second.
    """

    level: float = 0.0
    trend: float = 0.0

    @property
    def expected(self) -> float:
        """Rate to plan for: the level, extrapolated if the trend is rising.

        The extrapolated rate is at most twice the level.
        """
        rise = self.trend * LOOK_AHEAD.total_seconds()
        return max(self.level, min(self.level + rise, 2 * self.level))


class DemandTracker:
    """Smooths measured rates by row (double exponential smoothing)."""

    def __init__(self) -> None:
        self.demands: dict[str, Demand] = {}
        self.updated_at: datetime.datetime | None = None

    def update(
        self, rates: Mapping[str, float], now: datetime.datetime
    ) -> None:
        """Update the demand with measured rates.

        Args:
            rates: requests a second by row; absent rows count as 0.
            now: the time.
        """
        elapsed = (
            (now - self.updated_at).total_seconds() if self.updated_at else 0.0
        )
        self.updated_at = now
        for row in self.demands.keys() | rates.keys():
            demand = _smooth(
                self.demands.get(row), rates.get(row, 0.0), elapsed
            )
            if demand.level < MIN_RATE and row not in rates:
                self.demands.pop(row, None)
            else:
                self.demands[row] = demand

    def expected(self) -> dict[str, float]:
        """Return the rate to plan for in requests a second, by row."""
        return {row: demand.expected for row, demand in self.demands.items()}


def _smooth(old: Demand | None, rate: float, elapsed: float) -> Demand:
    """Return the demand after `rate` held for `elapsed` seconds."""
    if old is None:
        return Demand(rate)
    if elapsed <= 0:
        return old
    level_weight = 1 - math.exp(-elapsed / LEVEL_TIME.total_seconds())
    trend_weight = 1 - math.exp(-elapsed / TREND_TIME.total_seconds())
    level = old.level + level_weight * (rate - old.level)
    slope = (level - old.level) / elapsed
    return Demand(level, old.trend + trend_weight * (slope - old.trend))
