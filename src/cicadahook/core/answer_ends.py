"""Decides whether an answer that ended with its connection is whole.

An answer with neither a length nor chunks ends with its connection (RFC 9112,
section 6.3). The kernel ends the connections of a killed process as the process
itself does behind a whole answer, and what lies on the way may turn a reset
into such an end. So the end alone shows nothing; a reply of the same process
that was asked for afterwards does.
"""

import collections
import dataclasses
import datetime
import enum
from typing import Final

from cicadahook.core import clock as clock_lib

# The connections of a process that dies, or of a link that breaks, end within
# some milliseconds; the node may read of it in several passes.
MOMENT: Final = datetime.timedelta(milliseconds=50)
# A question about an end is answered or given up within this time.
KEPT_PERIOD: Final = datetime.timedelta(seconds=2)
MAX_KEPT: Final = 4096


class Verdict(enum.StrEnum):
    """Whether an answer is whole, or why that is not shown."""

    WHOLE = "whole"
    NO_REPLY = "no_reply"
    RESTARTED = "restarted"
    COMMON_END = "common_end"  # other connections were lost with its own


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A reply of an upstream to a question that was sent after an answer.

    Attributes:
        connected: when its connection was opened.
        is_same_start: whether it is of the start to which the request was
            sent, as far as the reply tells.
    """

    connected: datetime.datetime
    is_same_start: bool


class LostConnections:
    """Remembers when connections to upstreams were lost.

    A connection is lost if the other side ends it by a reset, within a head or
    a body of stated size, or while it is kept for later requests.

    Attributes:
        clock: the time.
        losses: time and address of the latest losses, in order.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.losses: collections.deque[tuple[datetime.datetime, str]] = (
            collections.deque(maxlen=MAX_KEPT)
        )

    def record(self, address: str) -> None:
        """Record that a connection to an address was lost."""
        now = self.clock.now()
        self.losses.append((now, address))
        while self.losses[0][0] < now - KEPT_PERIOD:
            self.losses.popleft()

    def has_lost(self, address: str, moment: datetime.datetime) -> bool:
        """Whether a connection to an address was lost at about a moment."""
        return any(
            each == address and abs(time - moment) <= MOMENT
            for time, each in self.losses
        )

    def judge(
        self, address: str, ended: datetime.datetime, reply: Reply | None
    ) -> Verdict:
        """Return whether an answer that ended with its connection is whole.

        Args:
            address: `host:port` of the upstream.
            ended: when the connection of the answer ended.
            reply: what the upstream replied to a question sent after that;
                None if it did not.
        """
        if reply is None:
            return Verdict.NO_REPLY
        if not reply.is_same_start:
            return Verdict.RESTARTED
        # A new connection does not show that the link has been there all along.
        if reply.connected >= ended and self.has_lost(address, ended):
            return Verdict.COMMON_END
        return Verdict.WHOLE
