"""Predicts how long upstreams take for the requests of each route."""

import datetime
from typing import Final

# Weight of the newest observation in the running mean.
LEARNING_RATE: Final = 1 / 16


class RouteDurations:
    """Predicts the time from sending a request to the end of its answer.

    Attributes:
        means: running mean of the observed durations, by route.
    """

    def __init__(self) -> None:
        self.means: dict[str, datetime.timedelta] = {}

    def record(self, route: str, took: datetime.timedelta) -> None:
        """Record the duration of one complete answer."""
        mean = self.means.get(route, took)
        self.means[route] = mean + LEARNING_RATE * (took - mean)

    def predict(self, route: str) -> datetime.timedelta:
        """Return the mean duration; zero if none was observed."""
        return self.means.get(route, datetime.timedelta())
