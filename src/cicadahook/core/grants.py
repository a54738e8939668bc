"""Grants by which all other nodes let the holder send without the store.

The holder numbers its status messages. Another node that knows of no newer
term echoes the newest number in its own status, which grants the holder
`GRANT_DURATION` from when it sent that number. A node that begins a term
grants nothing any more, and waits for longer than `GRANT_DURATION` before its
first order.
"""

import collections
from collections.abc import Collection
import dataclasses
import datetime
from typing import Final

# Covers three statuses; see `roster.STATUS_PERIOD`.
GRANT_DURATION: Final = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Permission for one holder's term.

    Attributes:
        holder: name of the holder's node; empty if nothing is granted.
        fence: fence of its term.
        echo: number of the newest status received from it.
    """

    holder: str = ""
    fence: int = 0
    echo: int = 0


class ReceivedGrants:
    """The grants that a holder has received.

    Attributes:
        sent: when each recent own status was sent, by its number.
        until: until when each other node's grant lasts, by name.
        fence: fence of the term that the grants are for.
    """

    def __init__(self) -> None:
        self.sent: collections.OrderedDict[int, datetime.datetime] = (
            collections.OrderedDict()
        )
        self.until: dict[str, datetime.datetime] = {}
        self.fence = 0

    def record_status(self, number: int, now: datetime.datetime) -> None:
        """Record an own status; it must be called before the status is sent."""
        self.sent[number] = now
        while next(iter(self.sent.values())) < now - GRANT_DURATION:
            self.sent.popitem(last=False)

    def receive(self, node: str, grant: Grant, fence: int) -> None:
        """Record a grant from another node.

        Args:
            node: name of the node.
            grant: its grant.
            fence: fence of the own term; grants for other terms don't count.
        """
        if self.fence != fence:
            self.fence = fence
            self.until.clear()
        sent = self.sent.get(grant.echo)
        if sent is not None and fence and grant.fence == fence:
            self.until[node] = sent + GRANT_DURATION

    def is_complete(
        self, nodes: Collection[str], now: datetime.datetime
    ) -> bool:
        """Return whether each of `nodes` grants the own term now."""
        return bool(nodes) and all(
            name in self.until and now < self.until[name] for name in nodes
        )
