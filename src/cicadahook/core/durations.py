"""How long upstreams take for the requests of each route."""

import dataclasses
import datetime
from typing import Final

# Weight of the newest observation in the running mean and mean deviation.
LEARNING_RATE: Final = 1 / 16
# Two mean deviations cover nine in ten of most distributions. To refuse more
# would cost callers a second way for nothing.
DEVIATIONS: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class DurationEstimate:
    """Running mean and mean deviation of what was observed."""

    mean: datetime.timedelta
    deviation: datetime.timedelta


class DurationBook:
    """Predicts the time from sending a request to the end of its answer.

    Attributes:
        estimates: what was observed, by route.
    """

    def __init__(self) -> None:
        self.estimates: dict[str, DurationEstimate] = {}

    def note(self, route: str, took: datetime.timedelta) -> None:
        """Take note of one whole answer."""
        known = self.estimates.get(route)
        if known is None:
            self.estimates[route] = DurationEstimate(took, took / 2)
            return
        error = took - known.mean
        self.estimates[route] = DurationEstimate(
            known.mean + LEARNING_RATE * error,
            known.deviation + LEARNING_RATE * (abs(error) - known.deviation),
        )

    def predict(self, route: str) -> datetime.timedelta:
        """Return a time that most requests need; zero if none was observed."""
        known = self.estimates.get(route)
        if known is None:
            return datetime.timedelta()
        return known.mean + DEVIATIONS * known.deviation
