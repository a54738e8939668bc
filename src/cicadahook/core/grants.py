"""Leave of all other machines to go on sending orders without the store.

The holder numbers its statuses. Another machine that knows of no newer term
echoes the newest number in its own status, which grants the holder a short
span from when it sent that number. A machine that begins a term grants
nothing more, and waits for longer than that span before its first order.
"""

import collections
from collections.abc import Collection
import dataclasses
import datetime
from typing import Final

# Three statuses; see `roster.STATUS_PERIOD`.
GRANT_DURATION: Final = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Leave for one holder's term.

    Attributes:
        holder: name of the machine; empty if nobody is granted anything.
        fence: fence of its term.
        echo: number of the newest status received from it.
    """

    holder: str = ""
    fence: int = 0
    echo: int = 0


class ReceivedGrants:
    """The grants that a holder has received.

    Attributes:
        sent: numbers of own statuses with the time of each.
        until: until when each other machine's grant lasts.
        fence: fence of the term that they are for.
    """

    def __init__(self) -> None:
        self.sent: collections.OrderedDict[int, datetime.datetime] = (
            collections.OrderedDict()
        )
        self.until: dict[str, datetime.datetime] = {}
        self.fence = 0

    def record_status(self, number: int, now: datetime.datetime) -> None:
        """Take note of an own status; it must not be sent before."""
        self.sent[number] = now
        while next(iter(self.sent.values())) < now - GRANT_DURATION:
            self.sent.popitem(last=False)

    def receive(self, machine: str, grant: Grant, fence: int) -> None:
        """Take a grant for the own term with `fence`."""
        if self.fence != fence:
            self.fence = fence
            self.until.clear()
        sent = self.sent.get(grant.echo)
        if sent is not None and fence and grant.fence == fence:
            self.until[machine] = sent + GRANT_DURATION

    def is_complete(
        self, machines: Collection[str], now: datetime.datetime
    ) -> bool:
        """Whether each of `machines` grants the own term now."""
        return bool(machines) and all(
            name in self.until and now < self.until[name] for name in machines
        )
