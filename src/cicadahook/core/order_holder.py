"""Which machine may send orders to engines, and from when on.

The holder is named by a key that ends with its machine's lease. Its fence is
the revision of the write that made it holder. It sends only while its lease
is certainly valid, or all other machines grant it leave, and only after the
last possible order of the holder before it is older than the handover pause.

A machine that starts again takes its own turn on without that pause, since no
other machine sends in between. It must know that its former process had
waited out the pause of that term, which a key of its own tells.
"""

import dataclasses
import datetime
from typing import Final

from cicadahook.core import grants
from cicadahook.core import store_api

HOLDER_KEY: Final = "cicada/orders/holder"
TERM_KEY: Final = "cicada/orders/term"
# Written once the holder's pause is over.
SETTLED_KEY: Final = "cicada/orders/settled"
# Machines that start together leave the turn to the last holder for so long;
# in trials they started within 0.4 s of each other.
LAST_HOLDER_HEAD_START: Final = datetime.timedelta(seconds=1)
# Between the check of the lease and the arrival of an order.
VALIDITY_MARGIN: Final = datetime.timedelta(milliseconds=400)
# The holder before may go on for as long as the last grant lasts.
PAUSE_MARGIN: Final = grants.GRANT_DURATION + datetime.timedelta(
    milliseconds=300
)


@dataclasses.dataclass
class HolderStateMachine:
    """One machine's part in taking turns as holder of orders.

    Attributes:
        name: name of the machine.
        token: differs for each start of the process.
        pause: least time between orders of two holders.
        lease_length: how long a lease runs after a renewal.
        holder: the holder's key as last seen, or None if it is free.
        term: the record of the newest term as last seen.
        settled: the key of the newest term whose pause is over.
        fence: own fence until a newer term is known, else 0. Without lease
            and grants it allows nothing.
        last_fence: fence of the newest own term in this process.
        may_send_from: when the first own order may go.
        others_sent_until: until when an earlier process may have sent orders;
            None if there was none.
        valid_until: until when the own lease certainly runs.
        informed: when the keys were first seen; None if not yet.
        is_term_leased: whether the present lease is that of the own term.
        newest_term: highest fence that this machine knows of.
    """

    name: str
    token: str
    pause: datetime.timedelta
    lease_length: datetime.timedelta
    holder: store_api.Item | None = None
    term: store_api.Item | None = None
    settled: store_api.Item | None = None
    fence: int = 0
    last_fence: int = 0
    may_send_from: datetime.datetime | None = None
    others_sent_until: datetime.datetime | None = None
    valid_until: datetime.datetime | None = None
    keys_read_at: datetime.datetime | None = None
    is_term_leased: bool = False
    newest_term: int = 0

    @property
    def value(self) -> bytes:
        """Return what the keys hold while this process is holder."""
        return f"{self.name} {self.token}".encode()

    @property
    def has_read_keys(self) -> bool:
        """Whether the keys have been seen since the start."""
        return self.keys_read_at is not None

    def observe_keys(
        self,
        holder: store_api.Item | None,
        term: store_api.Item | None,
        settled: store_api.Item | None,
        revision: int,
        now: datetime.datetime,
    ) -> None:
        """Take note of the keys as they stood at `revision` of the store."""
        if revision < self.fence:
            return
        if self.keys_read_at is None:
            self.keys_read_at = now
        previous, known = self.term, self.settled
        self.holder = holder
        self.term = term
        self.settled = settled
        if holder is not None and holder.value == self.value:
            if self.fence != holder.revision:
                self._begin_term(holder.revision, previous, known, now)
        elif term is not None:
            self.record_term(term.revision)

    def record_term(self, fence: int) -> None:
        """Take note of a term; a newer one than the own ends that."""
        self.newest_term = max(self.newest_term, fence)
        if fence > self.fence:
            self.fence = 0

    def record_won_term(self, revision: int, now: datetime.datetime) -> None:
        """Take note that the own proposal has been written."""
        previous = self.term
        self.holder = store_api.Item(HOLDER_KEY, self.value, revision)
        self.term = store_api.Item(TERM_KEY, self.value, revision)
        if self.fence != revision:
            self._begin_term(revision, previous, self.settled, now)

    def record_renewal(self, sent: datetime.datetime) -> None:
        """Take note that a renewal sent at `sent` has been answered."""
        self.valid_until = sent + self.lease_length - VALIDITY_MARGIN

    def record_lease_end(self) -> None:
        """Take note that the lease has ended; the next one is no term's."""
        self.valid_until = None
        self.is_term_leased = False

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

    def is_vacant(self) -> bool:
        """Whether no living process is known to be holder."""
        return self.holder is None or self._is_from_earlier_process(self.holder)

    def propose(
        self, lease: int, now: datetime.datetime
    ) -> store_api.Write | None:
        """Return the write that makes this machine holder, if it may be."""
        if self.keys_read_at is None or not self.is_leased(now):
            return None
        if not self.is_vacant():
            return None
        if self.holder is None and self._must_wait_for_last_holder(now):
            return None
        puts = [
            store_api.Put(HOLDER_KEY, self.value, lease),
            store_api.Put(TERM_KEY, self.value),
        ]
        if self._is_own_pause_over(self.term, self.settled):
            puts.append(store_api.Put(SETTLED_KEY, self.value))
        return store_api.Write(
            expected=(
                (HOLDER_KEY, self.holder.revision if self.holder else 0),
                (TERM_KEY, self.term.revision if self.term else 0),
            ),
            puts=tuple(puts),
        )

    def propose_pause_end(
        self, now: datetime.datetime
    ) -> store_api.Write | None:
        """Return the write that tells that the own pause is over, if it is."""
        if not self.fence or self.holder is None or self.term is None:
            return None
        if self.may_send_from is None or now < self.may_send_from:
            return None
        if self._is_own_pause_over(self.term, self.settled):
            return None
        return store_api.Write(
            expected=((HOLDER_KEY, self.fence),),
            puts=(store_api.Put(SETTLED_KEY, self.value),),
        )

    def _begin_term(
        self,
        revision: int,
        previous: store_api.Item | None,
        settled: store_api.Item | None,
        now: datetime.datetime,
    ) -> None:
        """Begin a term; wait unless no other machine had one since ours."""
        self.fence = revision
        self.newest_term = max(self.newest_term, revision)
        self.is_term_leased = True
        is_own = previous is not None and previous.revision == self.last_fence
        is_resumed = self._is_own_pause_over(previous, settled)
        if is_own and self.may_send_from is not None:
            # A pause that has begun is waited out.
            self.may_send_from = max(now, self.may_send_from)
        elif previous is None or is_resumed:
            self.may_send_from = now
        else:
            self.may_send_from = now + self.pause + PAUSE_MARGIN
        if previous is not None and not is_own:
            self.others_sent_until = now if is_resumed else now + PAUSE_MARGIN
        self.last_fence = revision

    def _is_from_earlier_process(self, holder: store_api.Item) -> bool:
        """Whether the holder's key is that of this machine's last process."""
        return self._is_own(holder) and holder.value != self.value

    def _is_own(self, item: store_api.Item) -> bool:
        return item.value.split(b" ")[0] == self.name.encode()

    def _is_own_pause_over(
        self, term: store_api.Item | None, settled: store_api.Item | None
    ) -> bool:
        """Whether a term is this machine's, and its pause was waited out."""
        return (
            term is not None
            and settled is not None
            and self._is_own(term)
            and settled.value == term.value
            and settled.revision >= term.revision
        )

    def _must_wait_for_last_holder(self, now: datetime.datetime) -> bool:
        """Whether another machine should have the turn that just started."""
        if self.term is None or self._is_own(self.term):
            return False
        assert (
            self.keys_read_at is not None
        ), "proposed without knowing the keys"
        return now - self.keys_read_at < LAST_HOLDER_HEAD_START
