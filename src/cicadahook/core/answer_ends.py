"""Decides whether an answer that ended with its connection is whole.

An answer with neither a length nor chunks ends with its connection (RFC 9112,
section 6.3). The kernel ends the connections of a killed process as the process
itself does behind a whole answer, and what lies on the way may turn a reset
into such an end. Both end the other connections to the upstream as well, so
those tell how to take the end of one.
"""

import collections
import datetime
import enum
from typing import Final, Protocol

from cicadahook.core import clock as clock_lib

# The connections of a process that dies, or of a link that breaks, end within
# some milliseconds.
MOMENT: Final = datetime.timedelta(milliseconds=30)
# A check that has to connect to the upstream is done within this time.
KEPT_PERIOD: Final = datetime.timedelta(seconds=2)
MAX_LOSSES: Final = 64


class Verdict(enum.StrEnum):
    """Whether an answer is whole, or why that is not shown."""

    WHOLE = "whole"
    UNREACHABLE = "unreachable"  # the upstream accepts no connection
    COMMON_END = "common_end"  # other connections were lost with its own


class Loss(enum.Enum):
    """How a connection was lost."""

    IDLE = enum.auto()  # while it was kept; also upstreams that are well do so
    RESET = enum.auto()  # also single ones, by an upstream that is faulty
    CUT = enum.auto()  # as the end of an answer, where another one was due


class Connection(Protocol):
    """An open connection to an upstream.

    Attributes:
        opened: when it was opened.
    """

    opened: datetime.datetime

    @property
    def is_watched(self) -> bool:
        """Whether it is open, and its end would be noticed at once."""


class UpstreamConnections:
    """The connections of a node to the upstreams, and which were lost lately.

    Attributes:
        clock: the time.
        connections: open connections, by address of the upstream.
        losses: time and kind of the latest losses, by address.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.connections: dict[str, set[Connection]] = {}
        self.losses: dict[
            str, collections.deque[tuple[datetime.datetime, Loss]]
        ] = {}

    def add(self, address: str, connection: Connection) -> None:
        """Record that a connection was opened."""
        self.connections.setdefault(address, set()).add(connection)

    def remove(
        self, address: str, connection: Connection, loss: Loss | None
    ) -> None:
        """Record the end of a connection.

        Args:
            address: `host:port` of the upstream.
            connection: the connection.
            loss: how it was lost; None if this node closed it, or its end was
                due.
        """
        known = self.connections.get(address, set())
        known.discard(connection)
        now = self.clock.now()
        if loss is not None:
            losses = self.losses.setdefault(
                address, collections.deque(maxlen=MAX_LOSSES)
            )
            losses.append((now, loss))
        if not known:
            self.connections.pop(address, None)
        self._forget(now)

    def _forget(self, now: datetime.datetime) -> None:
        """Drop the losses of which no check will ask any more."""
        outdated = [
            address
            for address, losses in self.losses.items()
            if losses[-1][0] < now - KEPT_PERIOD
        ]
        for address in outdated:
            del self.losses[address]

    def is_new(self, connection: Connection) -> bool:
        """Whether a connection was opened within this moment.

        An upstream that has enough connections resets further ones at once.
        """
        return self.clock.now() - connection.opened < MOMENT

    def has_witness(self, address: str, moment: datetime.datetime) -> bool:
        """Whether an open connection was there before a moment."""
        return any(
            each.is_watched and each.opened < moment
            for each in self.connections.get(address, ())
        )

    def judge(self, address: str, ended: datetime.datetime) -> Verdict:
        """Return whether an answer that ended with its connection is whole.

        To be called when losses of the same moment are known, of an upstream
        that accepts connections.

        Args:
            address: `host:port` of the upstream.
            ended: when the connection of the answer ended.
        """
        kinds = {
            loss
            for time, loss in self.losses.get(address, ())
            if abs(time - ended) <= MOMENT
        }
        has_witness = self.has_witness(address, ended)
        if Loss.CUT in kinds or (kinds and not has_witness):
            return Verdict.COMMON_END
        return Verdict.WHOLE
