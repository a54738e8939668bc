"""Replay protection: recognises messages that were received before."""

import dataclasses
import datetime
import enum
from typing import Final

WINDOW: Final = 1024
LONGEST_DELAY: Final = datetime.timedelta(seconds=30)
SENDER_LIMIT: Final = 4096


class Judgement(enum.StrEnum):
    """Whether a message is accepted, or why not."""

    FRESH = "fresh"
    STALE = "stale"
    REPLAYED = "replayed"


@dataclasses.dataclass
class Seen:
    """Sequence numbers received from one start of a sender.

    Attributes:
        session: number of the sender's start; a later start has a higher one.
        highest: highest sequence number.
        bits: bit n is set if number `highest` - n was received.
    """

    session: int
    highest: int = 0
    bits: int = 0


class ReplayGuard:
    """Remembers the sequence numbers received from each sender.

    The clocks of all nodes must agree to within LONGEST_DELAY.
    """

    def __init__(self) -> None:
        self.by_sender: dict[str, Seen] = {}

    def judge(
        self,
        sender: str,
        session: int,
        sequence: int,
        sent: datetime.datetime,
        now: datetime.datetime,
    ) -> Judgement:
        """Return whether a message is fresh, and record it if so."""
        if abs(now - sent) > LONGEST_DELAY:
            return Judgement.STALE
        seen = self.by_sender.pop(sender, None) or Seen(session)
        if session > seen.session:
            seen = Seen(session)
        self.by_sender[sender] = seen
        if len(self.by_sender) > SENDER_LIMIT:
            del self.by_sender[next(iter(self.by_sender))]
        if session < seen.session:
            return Judgement.STALE
        return _note(seen, sequence)


def _note(seen: Seen, sequence: int) -> Judgement:
    """Return whether `sequence` is new, and record it."""
    ahead = sequence - seen.highest
    if ahead > 0:
        kept = seen.bits << ahead if ahead < WINDOW else 0
        seen.bits = (kept | 1) & ((1 << WINDOW) - 1)
        seen.highest = sequence
        return Judgement.FRESH
    if -ahead >= WINDOW:
        return Judgement.STALE
    bit = 1 << -ahead
    if seen.bits & bit:
        return Judgement.REPLAYED
    seen.bits |= bit
    return Judgement.FRESH
