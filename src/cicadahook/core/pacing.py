"""Limits the rate and concurrency of loads from the weight store."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True)
class PacingMode:
    """Limits of the weight store.

    Attributes:
        loads_per_second: loads that may start per second; 0 is no limit.
        max_active: loads that may run at once; 0 is no limit.
        load_timeout: time after which a load no longer counts as running.
    """

    loads_per_second: float = 1.0
    max_active: int = 2
    load_timeout: datetime.timedelta = datetime.timedelta(seconds=60)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadKey:
    """Identifies the load of one copy on one upstream."""

    upstream: str
    row: str
    version: str


class LoadPacer:
    """Decides when loads may start.

    Attributes:
        mode: the limits.
        active: when each running load was started.
        next_start: earliest time of the next start.
    """

    def __init__(self, mode: PacingMode) -> None:
        self.mode = mode
        self.active: dict[LoadKey, datetime.datetime] = {}
        self.next_start: datetime.datetime | None = None

    def start(self, key: LoadKey, now: datetime.datetime) -> bool:
        """Start a load if the limits allow it now; return whether they do."""
        self._drop_timed_out(now)
        if key in self.active:
            return True
        if not self.is_ready(now):
            return False
        self.active[key] = now
        if self.mode.loads_per_second:
            pause = datetime.timedelta(seconds=1 / self.mode.loads_per_second)
            self.next_start = now + pause
        return True

    def is_ready(self, now: datetime.datetime) -> bool:
        """Return whether another load may start."""
        is_full = 0 < self.mode.max_active <= len(self.active)
        is_early = self.next_start is not None and now < self.next_start
        return not is_full and not is_early

    def finish(self, key: LoadKey) -> None:
        """Record that a load has ended, with or without success."""
        self.active.pop(key, None)

    def _drop_timed_out(self, now: datetime.datetime) -> None:
        """Remove loads that exceed the load timeout."""
        timed_out = [
            key
            for key, started in self.active.items()
            if now - started > self.mode.load_timeout
        ]
        for key in timed_out:
            del self.active[key]
