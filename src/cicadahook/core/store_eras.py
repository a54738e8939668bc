"""Tracks the era of the store: which one a node believes, and who named it."""

from collections.abc import Callable
import dataclasses
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib

# Source of an era that an answer of the store has named.
STORE: Final = "store"


@dataclasses.dataclass(frozen=True, slots=True)
class EraChange:
    """A change of the era that a node believes.

    Attributes:
        era: the new era.
        previous: the era before; 0 if none was known.
        source: `STORE`, or the name of the node that named the new era.
    """

    era: int
    previous: int
    source: str


class EraTracker:
    """The newest era of the store that a node knows of.

    Attributes:
        clock: the time.
        current: the era; 0 before the first answer of the store.
        source: `STORE`, or the name of the node that named it.
        since: when that was.
        listeners: called with each change.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.current = 0
        self.source = STORE
        self.since: datetime.datetime | None = None
        self.listeners: list[Callable[[EraChange], None]] = []

    def observe(self, era: int, source: str = STORE) -> bool:
        """Record an era; return whether it is not older than the newest."""
        if era > self.current:
            change = EraChange(era, self.current, source)
            self.current, self.source = era, source
            self.since = self.clock.now()
            for listener in self.listeners:
                listener(change)
        return era == self.current

    def describe(self) -> str:
        """Return the era that is believed and its source, for messages."""
        return f"era {self.current}, named by {self.source} at {self.since}"
