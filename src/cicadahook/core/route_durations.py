"""Predicts how long upstreams take for the requests of each route."""

import collections
import datetime
import math
from typing import Final

# Weight of the newest observation in the running mean.
LEARNING_RATE: Final = 1 / 16
# Observations of a route that are kept; some two minutes of a busy one.
WINDOW: Final = 512
# Share of the requests that end within the time that is predicted for one that
# must not be cut off.
LONGEST_SHARE: Final = 0.99


class RouteDurations:
    """Predicts the time from sending a request to the end of its answer.

    Attributes:
        means: running mean of the observed durations, by route.
        recent: the newest observed durations, by route.
    """

    def __init__(self) -> None:
        self.means: dict[str, datetime.timedelta] = {}
        self.recent: dict[str, collections.deque[datetime.timedelta]] = {}

    def record(self, route: str, took: datetime.timedelta) -> None:
        """Record the duration of one complete answer."""
        mean = self.means.get(route, took)
        self.means[route] = mean + LEARNING_RATE * (took - mean)
        recent = self.recent.setdefault(route, collections.deque(maxlen=WINDOW))
        recent.append(took)

    def predict(self, route: str) -> datetime.timedelta:
        """Return the mean duration; zero if none was observed."""
        return self.means.get(route, datetime.timedelta())

    def predict_longest(self, route: str) -> datetime.timedelta | None:
        """Return the time within which nearly all end; None if not known."""
        recent = sorted(self.recent.get(route, ()))
        if not recent:
            return None
        return recent[math.ceil(LONGEST_SHARE * len(recent)) - 1]
