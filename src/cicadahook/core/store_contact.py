"""Tells whether the store answers this node.

The store may turn a node away and serve the others, so that this is a fact of
each node, not of the store.
"""

import datetime
from typing import Final

from cicadahook.core import clock as clock_lib

# Every node calls the store at least every 0.7 s, to renew its lease.
MAX_SILENCE: Final = datetime.timedelta(milliseconds=1500)


class StoreContact:
    """When the store last answered a call of this node.

    Attributes:
        clock: the time.
        answered: when the last answer arrived; the start, before the first.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.answered = clock.now()

    def record_answer(self) -> None:
        """Record that an answer has arrived, also one of an earlier call."""
        self.answered = self.clock.now()

    def get_silence(self) -> datetime.timedelta:
        """Return the time since the last answer."""
        return self.clock.now() - self.answered

    def is_lost(self) -> bool:
        """Whether the store has not answered for longer than is usual."""
        return self.get_silence() > MAX_SILENCE
