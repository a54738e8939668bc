"""How long upstreams take for the requests of each route."""

import datetime
from typing import Final

# Weight of the newest observation in the running mean.
LEARNING_RATE: Final = 1 / 16


class DurationBook:
    """Predicts the time from sending a request to the end of its answer.

    Attributes:
        means: running mean of what was observed, by route.
    """

    def __init__(self) -> None:
        self.means: dict[str, datetime.timedelta] = {}

    def note(self, route: str, took: datetime.timedelta) -> None:
        """Take note of one whole answer."""
        mean = self.means.get(route, took)
        self.means[route] = mean + LEARNING_RATE * (took - mean)

    def predict(self, route: str) -> datetime.timedelta:
        """Return the mean; zero if nothing was observed."""
        return self.means.get(route, datetime.timedelta())
