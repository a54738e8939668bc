"""Which machine may send orders to engines, and from when on.

The holder is named by a key that ends with its machine's lease. Its fence is
the revision of the write that made it holder. It sends only while its lease
is certainly valid, or all other machines grant it leave, and only after the
last possible order of the holder before it is older than the handover pause.
"""

import dataclasses
import datetime
from typing import Final

from cicadahook.core import grants
from cicadahook.core import storage

HOLDER_KEY: Final = "cicada/orders/holder"
TERM_KEY: Final = "cicada/orders/term"
# Between the check of the lease and the arrival of an order.
VALIDITY_MARGIN: Final = datetime.timedelta(milliseconds=400)
# The holder before may go on for as long as the last grant lasts.
PAUSE_MARGIN: Final = grants.GRANT_LENGTH + datetime.timedelta(milliseconds=300)


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
        fence: own fence until a newer term is known, else 0. Without lease
            and grants it allows nothing.
        last_fence: fence of the newest own term in this process.
        may_send_from: when the first own order may go.
        valid_until: until when the own lease certainly runs.
        is_informed: whether the keys have been seen at all.
        is_term_leased: whether the present lease is that of the own term.
        newest_term: highest fence that this machine knows of.
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
    is_term_leased: bool = False
    newest_term: int = 0

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
        if holder is not None and holder.value == self.value:
            if self.fence != holder.revision:
                self._begin(holder.revision, previous, now)
        elif term is not None:
            self.note_term(term.revision)

    def note_term(self, fence: int) -> None:
        """Take note of a term; a newer one than the own ends that."""
        self.newest_term = max(self.newest_term, fence)
        if fence > self.fence:
            self.fence = 0

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
        """Take note that the lease has ended; the next one is no term's."""
        self.valid_until = None
        self.is_term_leased = False

    def resign(self) -> None:
        """Send no more orders in this term."""
        self.valid_until = None
        self.fence = 0

    def is_leased(self, now: datetime.datetime) -> bool:
        """Whether the own lease certainly runs."""
        return self.valid_until is not None and now < self.valid_until

    def can_send(self, now: datetime.datetime, is_granted: bool) -> bool:
        """Whether an order may be sent now.

        Args:
            now: the time.
            is_granted: whether all other machines grant leave.
        """
        is_due = self.may_send_from is not None and now >= self.may_send_from
        is_leased = self.is_term_leased and self.is_leased(now)
        is_allowed = is_leased or is_granted
        return self.fence > 0 and is_due and is_allowed

    def propose(
        self, lease: int, now: datetime.datetime
    ) -> storage.Write | None:
        """Return the write that makes this machine holder, if it may be."""
        if self.holder is not None or not self.is_informed:
            return None
        if not self.is_leased(now):
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
        self.newest_term = max(self.newest_term, revision)
        self.is_term_leased = True
        is_own = previous is not None and previous.revision == self.last_fence
        wait = datetime.timedelta()
        if previous is not None and not is_own:
            wait = self.pause + PAUSE_MARGIN
        self.may_send_from = now + wait
        self.last_fence = revision
