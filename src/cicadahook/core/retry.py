"""Retry policy of an entry: whether, when and where to retry an attempt."""

import dataclasses
import datetime
import enum
import random

from cicadahook.core import clock as clock_lib


class Reason(enum.StrEnum):
    """Why an attempt failed."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    LEAVING = "leaving"
    CUT = "cut"
    SILENT = "silent"
    CROSSED = "crossed"
    GAP = "gap"
    DIVERGED = "diverged"
    CRASHED = "crashed"


# No byte of the request reached the upstream, or the upstream answered that it
# did not process it.
NOT_RUN_REASONS = frozenset({Reason.UNREACHABLE, Reason.LEAVING})
SAME_UPSTREAM_REASONS = frozenset({Reason.SILENT, Reason.CUT, Reason.CROSSED})
# These failures are no sign of overload, so their retries have a separate
# budget.
REPAIR_REASONS = frozenset({Reason.SILENT, Reason.CRASHED})
EJECTING_REASONS = frozenset(
    {Reason.UNREACHABLE, Reason.REFUSED, Reason.LEAVING, Reason.CRASHED}
)


@dataclasses.dataclass(frozen=True)
class RetryMode:
    """Settings of retries.

    Attributes:
        budget_ratio: retries allowed for each request, over all requests.
        budget_burst: retries allowed beyond that at once.
        repair_ratio: like `budget_ratio`, for retries after an upstream died
            or its connections went silent.
        repair_burst: like `budget_burst`, for the same.
        max_attempts: attempts of one request.
        base_delay: upper bound of the delay before the first retry; it
            doubles with each further one.
        max_delay: upper bound of all delays.
        eject_after: failures in a row after which an upstream is avoided.
        eject: how long it is avoided; doubles with each further failure.
        max_eject: upper bound of that time.
    """

    budget_ratio: float = 0.1
    budget_burst: float = 10.0
    repair_ratio: float = 0.05
    repair_burst: float = 100.0
    max_attempts: int = 4
    base_delay: datetime.timedelta = datetime.timedelta(milliseconds=20)
    max_delay: datetime.timedelta = datetime.timedelta(milliseconds=500)
    eject_after: int = 3
    eject: datetime.timedelta = datetime.timedelta(seconds=1)
    max_eject: datetime.timedelta = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """An attempt that failed.

    Attributes:
        reason: why.
        upstream: its address.
        is_idempotent: whether the request may run more than once.
        attempts: attempts of the request so far, this one included.
        left: time until the request's deadline.
    """

    reason: Reason
    upstream: str
    is_idempotent: bool
    attempts: int
    left: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Make another attempt after `delay`."""

    delay: datetime.timedelta
    is_elsewhere: bool


class GiveUp(enum.StrEnum):
    """Why no further attempt is made."""

    NOT_REPEATABLE = "not_repeatable"
    DIVERGED = "diverged"
    ATTEMPTS = "attempts_exhausted"
    BUDGET = "retry_budget_exhausted"
    DEADLINE = "deadline_passed"


@dataclasses.dataclass
class Budget:
    """A token bucket that each request fills a little."""

    ratio: float
    burst: float
    tokens: float

    def fill(self) -> None:
        """Add what one request adds."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def consume(self) -> bool:
        """Consume one retry; return False if none is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclasses.dataclass
class Ejection:
    """An upstream that is avoided for a while."""

    failures: int
    until: datetime.datetime


class RetryPolicy:
    """Decides on retries for all requests of one entry."""

    def __init__(
        self,
        mode: RetryMode,
        clock: clock_lib.Clock,
        generator: random.Random,
    ) -> None:
        self.mode = mode
        self.clock = clock
        self.random = generator
        self.budget = Budget(
            mode.budget_ratio, mode.budget_burst, mode.budget_burst
        )
        self.repairs = Budget(
            mode.repair_ratio, mode.repair_burst, mode.repair_burst
        )
        self.ejections: dict[str, Ejection] = {}

    def record_request(self) -> None:
        """Record a request, which adds to both budgets."""
        self.budget.fill()
        self.repairs.fill()

    def record_success(self, upstream: str) -> None:
        """Record that an attempt at `upstream` was served."""
        self.ejections.pop(upstream, None)

    def record_failure(self, upstream: str, reason: Reason) -> None:
        """Eject `upstream` for a while if it fails several attempts in a row.

        One failure for a reason in EJECTING_REASONS is enough.
        """
        known = self.ejections.get(upstream)
        failures = known.failures + 1 if known else 1
        if reason in EJECTING_REASONS:
            failures = max(failures, self.mode.eject_after)
        excess = failures - self.mode.eject_after
        pause = datetime.timedelta()
        if excess >= 0:
            pause = min(
                self.mode.max_eject, self.mode.eject * 2 ** min(excess, 10)
            )
        # Jitter keeps the entries from using it again all at once.
        pause *= 0.5 + self.random.random() / 2
        self.ejections[upstream] = Ejection(failures, self.clock.now() + pause)

    def list_ejected(self) -> frozenset[str]:
        """Return the upstreams to avoid while there are others."""
        now = self.clock.now()
        return frozenset(
            address
            for address, ejection in self.ejections.items()
            if ejection.until > now
        )

    def decide(self, failure: Failure) -> Retry | GiveUp:
        """Decide on another attempt; a retry consumes from the budget."""
        is_repeatable = (
            failure.is_idempotent or failure.reason in NOT_RUN_REASONS
        )
        if not is_repeatable:
            return GiveUp.NOT_REPEATABLE
        if failure.reason is Reason.DIVERGED:
            return GiveUp.DIVERGED
        if failure.attempts >= self.mode.max_attempts:
            return GiveUp.ATTEMPTS
        delay = self._draw_delay(failure.attempts)
        if delay >= failure.left:
            return GiveUp.DEADLINE
        is_repair = failure.reason in REPAIR_REASONS
        if not (self.repairs if is_repair else self.budget).consume():
            return GiveUp.BUDGET
        return Retry(delay, failure.reason not in SAME_UPSTREAM_REASONS)

    def _draw_delay(self, attempts: int) -> datetime.timedelta:
        bound = min(
            self.mode.max_delay, self.mode.base_delay * 2.0 ** (attempts - 1)
        )
        return bound * self.random.random()
