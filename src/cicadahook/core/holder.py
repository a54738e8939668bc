"""Which machine may send orders to engines, and from when on.

The holder is named by a key that ends with its machine's lease. Its fence is
the revision of the write that made it holder. It sends only while its lease
is certainly valid, and only after the last possible order of the holder
before it is older than the handover pause.
"""

import dataclasses
import datetime
from typing import Final

from cicadahook.core import storage

HOLDER_KEY: Final = "cicada/orders/holder"
TERM_KEY: Final = "cicada/orders/term"
# Between the check of the lease and the arrival of an order.
VALIDITY_MARGIN: Final = datetime.timedelta(milliseconds=400)
PAUSE_MARGIN: Final = datetime.timedelta(milliseconds=300)


@dataclasses.dataclass
class HolderMachine:
    """One machine's part in taking turns as holder of orders.

    Attributes:
        name: name of the machine.
        token: differs for each start of the process.
        pause: least time between orders of two holders.
        lease_length: how long a lease runs after a renewal.
        holder: the holder's key as last seen, or None if it is free.
        term: the record of the newest term as last seen.
        fence: own fence while this machine is holder, else 0.
        last_fence: fence of the newest own term in this process.
        may_send_from: when the first own order may go.
        valid_until: until when the own lease certainly runs.
        is_informed: whether the keys have been seen at all.
    """

    name: str
    token: str
    pause: datetime.timedelta
    lease_length: datetime.timedelta
    holder: storage.Item | None = None
    term: storage.Item | None = None
    fence: int = 0
    last_fence: int = 0
    may_send_from: datetime.datetime | None = None
    valid_until: datetime.datetime | None = None
    is_informed: bool = False

    @property
    def value(self) -> bytes:
        """Return what the keys hold while this process is holder."""
        return f"{self.name} {self.token}".encode()

    def take_keys(
        self,
        holder: storage.Item | None,
        term: storage.Item | None,
        revision: int,
        now: datetime.datetime,
    ) -> None:
        """Take note of the keys as they stood at `revision` of the store."""
        if revision < self.fence:
            return
        self.is_informed = True
        previous = self.term
        self.holder = holder
        self.term = term
        if holder is None or holder.value != self.value:
            self.fence = 0
        elif self.fence != holder.revision:
            self._begin(holder.revision, previous, now)

    def take_written(self, revision: int, now: datetime.datetime) -> None:
        """Take note that the own proposal has been written."""
        previous = self.term
        self.holder = storage.Item(HOLDER_KEY, self.value, revision)
        self.term = storage.Item(TERM_KEY, self.value, revision)
        if self.fence != revision:
            self._begin(revision, previous, now)

    def note_renewed(self, sent: datetime.datetime) -> None:
        """Take note that a renewal sent at `sent` has been answered."""
        self.valid_until = sent + self.lease_length - VALIDITY_MARGIN

    def note_lease_ended(self) -> None:
        """Take note that the lease has ended, and the turn with it."""
        self.valid_until = None
        self.fence = 0

    def is_holder(self, now: datetime.datetime) -> bool:
        """Whether this machine is certainly the holder."""
        is_valid = self.valid_until is not None and now < self.valid_until
        return is_valid and self.fence > 0

    def can_send(self, now: datetime.datetime) -> bool:
        """Whether an order may be sent now."""
        is_due = self.may_send_from is not None and now >= self.may_send_from
        return is_due and self.is_holder(now)

    def propose(
        self, lease: int, now: datetime.datetime
    ) -> storage.Write | None:
        """Return the write that makes this machine holder, if it may be."""
        is_valid = self.valid_until is not None and now < self.valid_until
        if self.holder is not None or not (is_valid and self.is_informed):
            return None
        term_revision = self.term.revision if self.term else 0
        return storage.Write(
            expected=((HOLDER_KEY, 0), (TERM_KEY, term_revision)),
            puts=(
                storage.Put(HOLDER_KEY, self.value, lease),
                storage.Put(TERM_KEY, self.value),
            ),
        )

    def propose_release(self) -> storage.Write | None:
        """Return the write that lets another machine take over at once."""
        if not self.fence or self.holder is None:
            return None
        return storage.Write(
            expected=((HOLDER_KEY, self.holder.revision),),
            deletes=(HOLDER_KEY,),
        )

    def _begin(
        self,
        revision: int,
        previous: storage.Item | None,
        now: datetime.datetime,
    ) -> None:
        """Begin a term; wait unless no other machine had one since ours."""
        self.fence = revision
        is_own = previous is not None and previous.revision == self.last_fence
        wait = datetime.timedelta()
        if previous is not None and not is_own:
            wait = self.pause + PAUSE_MARGIN
        self.may_send_from = now + wait
        self.last_fence = revision
