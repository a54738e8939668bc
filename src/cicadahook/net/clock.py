"""Clocks that read the system's time, for use outside of tests."""

from collections.abc import Callable
import datetime
import functools
import time


class SystemClock:
    """Wall-clock time at start plus monotonic time since.

    It never goes back when the system's time is set.
    """

    def __init__(
        self, read_seconds: Callable[[], float] = time.monotonic
    ) -> None:
        self.read_seconds = read_seconds
        self.started = datetime.datetime.now(datetime.UTC)
        self.origin = read_seconds()

    def now(self) -> datetime.datetime:
        """Return the current time in UTC."""
        # Positional, as each request asks some 60 times.
        return self.started + datetime.timedelta(
            0, self.read_seconds() - self.origin
        )


class BootClock(SystemClock):
    """Like `SystemClock`, but includes time in which the VM is suspended.

    A lease keeps running while its holder is suspended, so code that relies
    on a lease must use this clock.
    """

    def __init__(self) -> None:
        super().__init__(
            functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)
        )
