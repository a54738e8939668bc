"""Predicts how long upstreams take for the requests of each route."""

import collections
import datetime
import math
from typing import Final

# Weight of the newest observation in the running mean.
LEARNING_RATE: Final = 1 / 16
# Newest observations that are kept of a route, and of a route at one upstream.
ROUTE_WINDOW: Final = 512
UPSTREAM_WINDOW: Final = 64
# With fewer observations of an upstream, those of all upstreams count.
MIN_OBSERVATIONS: Final = 8
# Routes at upstreams that are kept, the last used ones.
MAX_PAIRS: Final = 2048
# Share of the requests that end within the time that is predicted for one that
# must not be cut off.
LONGEST_SHARE: Final = 0.99

Durations = collections.deque[datetime.timedelta]


class RouteDurations:
    """Predicts the time from sending a request to the end of its answer.

    Attributes:
        means: running mean of the observed durations, by route.
        recent: the newest observed durations, by route.
        by_upstream: those at one upstream, by route and id of the upstream.
    """

    def __init__(self) -> None:
        self.means: dict[str, datetime.timedelta] = {}
        self.recent: dict[str, Durations] = {}
        self.by_upstream: collections.OrderedDict[
            tuple[str, str], Durations
        ] = collections.OrderedDict()

    def record(
        self, route: str, took: datetime.timedelta, upstream: str = ""
    ) -> None:
        """Record the duration of one complete answer."""
        mean = self.means.get(route, took)
        self.means[route] = mean + LEARNING_RATE * (took - mean)
        if route not in self.recent:
            self.recent[route] = collections.deque(maxlen=ROUTE_WINDOW)
        self.recent[route].append(took)
        pair = route, upstream
        if pair not in self.by_upstream:
            self.by_upstream[pair] = collections.deque(maxlen=UPSTREAM_WINDOW)
        self.by_upstream[pair].append(took)
        self.by_upstream.move_to_end(pair)
        while len(self.by_upstream) > MAX_PAIRS:
            self.by_upstream.popitem(last=False)

    def predict(self, route: str) -> datetime.timedelta:
        """Return the mean duration; zero if none was observed."""
        return self.means.get(route, datetime.timedelta())

    def has_observed(self, route: str, upstream: str) -> bool:
        """Whether enough requests of a route have ended at an upstream."""
        observed = self.by_upstream.get((route, upstream), ())
        return len(observed) >= MIN_OBSERVATIONS

    def predict_longest(
        self, route: str, upstream: str
    ) -> datetime.timedelta | None:
        """Return the time within which nearly all end; None if not known."""
        observed = self.recent.get(route, ())
        if self.has_observed(route, upstream):
            observed = self.by_upstream[route, upstream]
        if not observed:
            return None
        return sorted(observed)[math.ceil(LONGEST_SHARE * len(observed)) - 1]
