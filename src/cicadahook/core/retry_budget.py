"""A node's share of the retry budget of a service."""

import collections
import dataclasses
import datetime
from typing import Final

# Share of the budget that is used. The rest leaves room for the retries that
# nodes sent before they died within the window.
USED_SHARE: Final = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetMode:
    """Retries that all nodes together may send to a service.

    Attributes:
        ratio: retries allowed for each request in the window.
        slack: retries allowed in addition, in the window.
        window: period over which requests and retries are counted.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window: datetime.timedelta = datetime.timedelta(seconds=10)


class RetryBudget:
    """Counts requests and retries of one service in a sliding window.

    Attributes:
        requests: times of requests, oldest first.
        retries: times of retries, oldest first.
    """

    def __init__(self, mode: RetryBudgetMode) -> None:
        self.mode = mode
        self.requests: collections.deque[datetime.datetime] = (
            collections.deque()
        )
        self.retries: collections.deque[datetime.datetime] = collections.deque()

    def record_request(self, now: datetime.datetime) -> None:
        """Record a request from a caller."""
        self._expire(now)
        self.requests.append(now)

    def consume(self, nodes: int, now: datetime.datetime) -> bool:
        """Consume a retry from the share of one of `nodes` nodes."""
        assert nodes > 0, "the count of nodes must include this node"
        self._expire(now)
        allowed = USED_SHARE * (
            self.mode.ratio * len(self.requests) + self.mode.slack / nodes
        )
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True

    def _expire(self, now: datetime.datetime) -> None:
        start = now - self.mode.window
        for times in (self.requests, self.retries):
            while times and times[0] <= start:
                times.popleft()
