"""The clock of a running process."""

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
