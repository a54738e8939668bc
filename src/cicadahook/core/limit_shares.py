"""Splits a fleet-wide limit among entries without a call per request."""

import dataclasses
import datetime
import math
from typing import Final

TURN_SECONDS: Final = 1.0

REPORT_PERIOD: Final = datetime.timedelta(milliseconds=400)


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Number of live entries, and the rank of this one among them.

    Attributes:
        entries: number of live entries, 1 or more.
        rank: place of this entry among them, from 0.
    """

    entries: int = 1
    rank: int = 0

    def has_turn(self, spare: int, now: datetime.datetime) -> bool:
        """Whether this entry holds one of the `spare` slots that rotate."""
        turn = math.floor(now.timestamp() / TURN_SECONDS)
        return (self.rank + turn) % self.entries < spare


@dataclasses.dataclass
class ReportAge:
    """Whether the peers can have reported since the newest split.

    Views arrive more often than reports. If unused slots were split again with
    each view, all entries would use the same free slots several times.
    """

    split: datetime.datetime | None = None

    def is_due(self, now: datetime.datetime) -> bool:
        """Whether to split again at `now`; if so, counts it as done."""
        if self.split is not None and now - self.split < REPORT_PERIOD:
            return False
        self.split = now
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Requests in flight that count against one limit.

    Attributes:
        own: in flight from this entry now.
        own_reported: value of `own` when unused slots were last split.
        peers: in flight from the other entries according to that view.
    """

    own: int = 0
    own_reported: int = 0
    peers: int = 0


def allow(
    limit: float, usage: Usage, fleet: Fleet, now: datetime.datetime
) -> int:
    """Return how many this entry may have in flight of `limit`.

    An entry always has an equal share. Slots that the others leave unused are
    split evenly once per report, since all entries see them as free at the same
    time. The remainder of the division rotates among the entries over time.
    """
    whole = max(1, math.floor(limit))
    share, spare = divmod(whole, fleet.entries)
    share += fleet.has_turn(spare, now)
    unused = whole - usage.peers - usage.own_reported
    if unused <= 0:
        return share
    grown = usage.own_reported + round(unused / fleet.entries)
    return max(share, grown)
