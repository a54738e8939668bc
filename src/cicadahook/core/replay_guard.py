"""Replay protection: recognises messages that were received before."""

import dataclasses
import datetime
import enum
from typing import Final

WINDOW: Final = 1024
LONGEST_DELAY: Final = datetime.timedelta(seconds=30)
SENDER_LIMIT: Final = 4096


class Freshness(enum.StrEnum):
    """Whether a message is accepted, or why not."""

    FRESH = "fresh"
    STALE = "stale"
    REPLAYED = "replayed"


@dataclasses.dataclass
class SenderState:
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
        self.by_sender: dict[str, SenderState] = {}

    def classify(
        self,
        sender: str,
        session: int,
        sequence: int,
        sent: datetime.datetime,
        now: datetime.datetime,
    ) -> Freshness:
        """Return whether a message is fresh, and record it if so."""
        if abs(now - sent) > LONGEST_DELAY:
            return Freshness.STALE
        state = self.by_sender.pop(sender, None) or SenderState(session)
        if session > state.session:
            state = SenderState(session)
        self.by_sender[sender] = state
        if len(self.by_sender) > SENDER_LIMIT:
            del self.by_sender[next(iter(self.by_sender))]
        if session < state.session:
            return Freshness.STALE
        return _record(state, sequence)


def _record(state: SenderState, sequence: int) -> Freshness:
    """Return whether `sequence` is new, and record it."""
    ahead = sequence - state.highest
    if ahead > 0:
        kept = state.bits << ahead if ahead < WINDOW else 0
        state.bits = (kept | 1) & ((1 << WINDOW) - 1)
        state.highest = sequence
        return Freshness.FRESH
    if -ahead >= WINDOW:
        return Freshness.STALE
    bit = 1 << -ahead
    if state.bits & bit:
        return Freshness.REPLAYED
    state.bits |= bit
    return Freshness.FRESH
