"""Clocks: the only source of time for the core."""

import dataclasses
import datetime
from typing import Final, Protocol

EPOCH: Final = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class Clock(Protocol):
    """Source of the current time."""

    def now(self) -> datetime.datetime:
        """Return the current time in UTC; it never goes back."""
        raise NotImplementedError


@dataclasses.dataclass
class ManualClock:
    """A clock that moves only when it is advanced, for tests and benchmarks."""

    current: datetime.datetime = EPOCH

    def now(self) -> datetime.datetime:
        """Return the time last set."""
        return self.current

    def advance(self, step: datetime.timedelta) -> None:
        """Move the clock forward by `step`, which must not be negative."""
        assert step >= datetime.timedelta(), f"clock moved back by {step}"
        self.current += step
