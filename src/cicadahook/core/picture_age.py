"""Tells how old a node's picture of the store may be.

Changes reach a node over several hops, each of which may stand still. Every hop
adds the age of what it was told to its own, so that the last one can tell when
its picture is too old to be trusted.
"""

import datetime
from typing import Final

from cicadahook.core import clock as clock_lib

# Where nodes follow others, a change must be in force within 3 s. These limits
# leave the last second for sources that do not answer, see `net.store_relay`.
# While the store answers, watches end so early that no picture gets older.
TARGET_AGE: Final = datetime.timedelta(milliseconds=1200)
# A watcher with an older picture tells others nothing.
MAX_TOLD_AGE: Final = datetime.timedelta(milliseconds=1500)
# A follower with an older picture asks the store first.
MAX_FOLLOWED_AGE: Final = datetime.timedelta(seconds=2)
# Shortest time that the store waits for a change.
MIN_WAIT: Final = datetime.timedelta(milliseconds=100)


class PictureAge:
    """The age of one node's picture of the store.

    Attributes:
        clock: the time.
        confirmed: when the picture was certainly complete; None before the
            first answer.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.confirmed: datetime.datetime | None = None

    def confirm(self, as_of: datetime.datetime) -> None:
        """Record that the picture holds all changes up to `as_of`."""
        if self.confirmed is None or as_of > self.confirmed:
            self.confirmed = as_of

    def get_age(self) -> datetime.timedelta | None:
        """Return the time since the picture was complete, if it ever was."""
        if self.confirmed is None:
            return None
        return max(datetime.timedelta(), self.clock.now() - self.confirmed)

    def get_age_ms(self) -> int | None:
        """Return the age in ms, for logs."""
        age = self.get_age()
        return (
            None if age is None else age // datetime.timedelta(milliseconds=1)
        )

    def get_rest(self, limit: datetime.timedelta) -> datetime.timedelta:
        """Return how long the picture will be no older than `limit`."""
        age = self.get_age()
        return limit if age is None else max(datetime.timedelta(), limit - age)

    def plan_watch(self, longest: datetime.timedelta) -> datetime.timedelta:
        """Return how long the store may wait for a change to tell of."""
        return min(longest, max(MIN_WAIT, self.get_rest(TARGET_AGE)))

    def plan_pause(self, longest: datetime.timedelta) -> datetime.timedelta:
        """Return how long to collect changes before the next watch."""
        left = self.get_rest(TARGET_AGE) - MIN_WAIT
        return min(longest, max(datetime.timedelta(), left))

    def exceeds(self, limit: datetime.timedelta) -> bool:
        """Whether the picture is known to be older than `limit`."""
        age = self.get_age()
        return age is not None and age > limit


def find_end_of_silence(
    sent: datetime.datetime,
    now: datetime.datetime,
    wait: datetime.timedelta,
    *,
    is_empty: bool,
) -> datetime.datetime:
    """Return up to when the answer to a watch is certainly complete.

    Args:
        sent: when the watch was sent.
        now: when its answer arrived.
        wait: how long the store was to wait for a change.
        is_empty: whether it tells of no change.
    """
    return sent + wait if is_empty and now - sent >= wait else sent
