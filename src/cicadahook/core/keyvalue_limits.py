"""Limits on the calls of a node to the key-value service.

Holds a call budget, a back-off with jitter and a circuit breaker.
"""

import dataclasses
import datetime
import enum
import random
from typing import Final

ZERO: Final = datetime.timedelta()
SECOND: Final = datetime.timedelta(seconds=1)


class Priority(enum.IntEnum):
    """Priority of a call; lower ones leave a reserve for higher ones."""

    LOW = 0
    NORMAL = 1
    HIGH = 2


@dataclasses.dataclass(frozen=True)
class BudgetMode:
    """Settings of a call budget.

    Attributes:
        calls_per_second: calls that the node may make in the long run.
        burst: calls that it may make at once.
        reserve: share of the burst that each step of priority leaves to the
            steps above it, from 0 to 0.5.
    """

    calls_per_second: float = 40.0
    burst: float = 40.0
    reserve: float = 0.25


class CallBudget:
    """A token bucket of which urgent calls may use more than others."""

    def __init__(self, mode: BudgetMode, now: datetime.datetime) -> None:
        self.mode = mode
        self.tokens = mode.burst
        self.updated = now

    def consume(
        self, priority: Priority, now: datetime.datetime
    ) -> datetime.timedelta:
        """Consume a token for one call, if one is available at `priority`.

        Returns how long to wait before the next try; zero permits the call.
        """
        self._refill(now)
        steps = Priority.HIGH - priority
        floor = self.mode.reserve * self.mode.burst * steps
        missing = floor + 1 - self.tokens
        if missing <= 0:
            self.tokens -= 1
            return ZERO
        return missing / self.mode.calls_per_second * SECOND

    def _refill(self, now: datetime.datetime) -> None:
        elapsed = max(ZERO, now - self.updated)
        self.updated = now
        earned = elapsed / SECOND * self.mode.calls_per_second
        self.tokens = min(self.mode.burst, self.tokens + earned)


@dataclasses.dataclass
class Backoff:
    """Exponential back-off with jitter, so that nodes do not retry together.

    Attributes:
        first: upper bound of the first pause.
        longest: upper bound of any pause.
        rng: source of the jitter, seeded by node.
        failures: failures since the last success.
    """

    first: datetime.timedelta
    longest: datetime.timedelta
    rng: random.Random
    failures: int = 0

    def fail(self) -> datetime.timedelta:
        """Return how long to wait after one more failure."""
        bound = min(self.longest, self.first * 2 ** min(self.failures, 16))
        self.failures += 1
        share = self.rng.uniform(0.5, 1.0)
        return datetime.timedelta(seconds=share * bound.total_seconds())

    def succeed(self) -> None:
        """Reset to the first pause."""
        self.failures = 0


class BreakerState(enum.StrEnum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    PROBING = "probing"


class Breaker:
    """A circuit breaker: lets one probe at a time through to a failing service.

    Attributes:
        threshold: failures in a row that open it.
        state: whether calls go through.
    """

    def __init__(self, threshold: int, backoff: Backoff) -> None:
        self.threshold = threshold
        self.backoff = backoff
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.retry_at: datetime.datetime | None = None

    def enter(self, now: datetime.datetime) -> bool:
        """Return whether a call may be made; its end must be reported."""
        if self.state is BreakerState.CLOSED:
            return True
        if self.state is BreakerState.PROBING:
            return False
        assert self.retry_at is not None, "open breaker without retry time"
        if now < self.retry_at:
            return False
        self.state = BreakerState.PROBING
        return True

    def succeed(self) -> None:
        """Record that a call was answered."""
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.backoff.succeed()

    def fail(self, now: datetime.datetime) -> None:
        """Record that a call was not answered."""
        self.failures += 1
        if self.state is BreakerState.OPEN:
            return
        is_probe = self.state is BreakerState.PROBING
        if is_probe or self.failures >= self.threshold:
            self.state = BreakerState.OPEN
            self.retry_at = now + self.backoff.fail()

    def abandon(self, now: datetime.datetime) -> None:
        """Record that a call was cancelled; another one may probe."""
        if self.state is BreakerState.PROBING:
            self.state = BreakerState.OPEN
            self.retry_at = now
