"""The clocks of a running process."""

import datetime
import time


class SystemClock:
    """Wall-clock time at start plus monotonic time since; never goes back."""

    def __init__(self) -> None:
        self.started = datetime.datetime.now(datetime.UTC)
        self.origin = time.monotonic()

    def now(self) -> datetime.datetime:
        """Return the current time in UTC."""
        elapsed = time.monotonic() - self.origin
        return self.started + datetime.timedelta(seconds=elapsed)


class BootClock:
    """Like `SystemClock`, but counts time in which the machine is suspended.

    A lease goes on running while its holder is suspended, so whoever relies
    on one must use this clock.
    """

    def __init__(self) -> None:
        self.started = datetime.datetime.now(datetime.UTC)
        self.origin = time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Return the current time in UTC."""
        elapsed = time.clock_gettime(time.CLOCK_BOOTTIME) - self.origin
        return self.started + datetime.timedelta(seconds=elapsed)
