"""State machine that decides whether a node may send orders to engines.

The order holder is the one node that may send orders; the time for which it
is holder is its term. The holder is named by a key in the store that is
deleted when the node's lease expires. The fence of the term is the revision of
the write that made the node holder. The holder sends only while its lease is
certainly valid or all other nodes grant permission, and only once the handover
pause has passed since the last possible order of the previous holder.

A node that restarts resumes its own term without that pause, since no other
node sends in between. It may do so only if its former process had waited out
the pause of that term, which a separate key records.
"""

import dataclasses
import datetime
from typing import Final

from cicadahook.core import grants
from cicadahook.core import store_api

HOLDER_KEY: Final = "cicada/orders/holder"
TERM_KEY: Final = "cicada/orders/term"
# Written once the holder's handover pause is over.
PAUSE_END_KEY: Final = "cicada/orders/settled"
# Nodes that start together leave the term to the last holder for this time.
# Nodes of a fleet start within 0.4 s of each other.
LAST_HOLDER_HEAD_START: Final = datetime.timedelta(seconds=1)
# Allows for the time between the check of the lease and the arrival of an
# order.
VALIDITY_MARGIN: Final = datetime.timedelta(milliseconds=400)
# A holder whose lease ends within this time asks for grants. They arrive within
# some statuses; the lease is renewed every 0.7 s.
GRANT_REQUEST_LEAD: Final = datetime.timedelta(milliseconds=1500)
# The previous holder may continue for as long as its last grant lasts.
PAUSE_MARGIN: Final = grants.GRANT_DURATION + datetime.timedelta(
    milliseconds=300
)


@dataclasses.dataclass
class HolderStateMachine:
    """Decides when one node may become order holder and send orders.

    Attributes:
        name: name of the node.
        token: differs for each start of the process.
        pause: minimum time between orders of two holders.
        lease_duration: how long a lease is valid after a renewal.
        holder: the holder's key as last read, or None if there is no holder.
        term: the key of the newest term as last read.
        pause_end: the key of the newest term whose pause is over, as last read.
        fence: fence of the own term until a newer term is known, else 0. It
            permits sending only together with a lease or grants.
        last_fence: fence of the newest own term in this process.
        may_send_from: when the first order of the own term may be sent.
        others_sent_until: until when an earlier process may have sent orders;
            None if there was none.
        valid_until: until when the own lease is certainly valid.
        keys_read_at: when the keys were first read; None if not yet.
        is_term_leased: whether the present lease is that of the own term.
        newest_term: highest fence that this node knows of.
        resigned_fence: fence of the newest own term that this process has
            resigned from; 0 if none.
    """

    name: str
    token: str
    pause: datetime.timedelta
    lease_duration: datetime.timedelta
    holder: store_api.Item | None = None
    term: store_api.Item | None = None
    pause_end: store_api.Item | None = None
    fence: int = 0
    last_fence: int = 0
    may_send_from: datetime.datetime | None = None
    others_sent_until: datetime.datetime | None = None
    valid_until: datetime.datetime | None = None
    keys_read_at: datetime.datetime | None = None
    is_term_leased: bool = False
    newest_term: int = 0
    resigned_fence: int = 0

    @property
    def value(self) -> bytes:
        """Return the value of the keys while this process is holder."""
        return f"{self.name} {self.token}".encode()

    @property
    def has_read_keys(self) -> bool:
        """Whether the keys have been read since the start."""
        return self.keys_read_at is not None

    def observe_keys(
        self,
        holder: store_api.Item | None,
        term: store_api.Item | None,
        pause_end: store_api.Item | None,
        revision: int,
        now: datetime.datetime,
    ) -> None:
        """Process the keys as read at `revision` of the store.

        Args:
            holder: the holder's key, or None if there is no holder.
            term: the key of the newest term, or None if there was none.
            pause_end: the key of the newest term whose pause is over, or None.
            revision: revision of the store; keys older than the own term are
                ignored.
            now: the time.
        """
        if revision < self.fence:
            return
        if self.keys_read_at is None:
            self.keys_read_at = now
        previous, known_pause_end = self.term, self.pause_end
        self.holder = holder
        self.term = term
        self.pause_end = pause_end
        if holder is not None and holder.value == self.value:
            if holder.revision not in (self.fence, self.resigned_fence):
                self._begin_term(
                    holder.revision, previous, known_pause_end, now
                )
        elif term is not None:
            self.record_term(term.revision)

    def record_term(self, fence: int) -> None:
        """Record a term; one that is newer than the own ends the own term."""
        self.newest_term = max(self.newest_term, fence)
        if fence > self.fence:
            self.fence = 0

    def record_won_term(self, revision: int, now: datetime.datetime) -> None:
        """Record that the own proposal was written, which begins the term."""
        previous = self.term
        self.holder = store_api.Item(HOLDER_KEY, self.value, revision)
        self.term = store_api.Item(TERM_KEY, self.value, revision)
        if self.fence != revision:
            self._begin_term(revision, previous, self.pause_end, now)

    def record_renewal(self, sent: datetime.datetime) -> None:
        """Record that a lease renewal sent at `sent` has been answered."""
        self.valid_until = sent + self.lease_duration - VALIDITY_MARGIN

    def record_lease_end(self) -> None:
        """Record that the lease has ended; a new lease is not the term's."""
        self.valid_until = None
        self.is_term_leased = False

    def is_leased(self, now: datetime.datetime) -> bool:
        """Return whether the own lease is certainly valid."""
        return self.valid_until is not None and now < self.valid_until

    def wants_grants(self, now: datetime.datetime) -> bool:
        """Return whether the holder may soon have to go on without a lease."""
        is_leased = self.is_term_leased and self.is_leased(
            now + GRANT_REQUEST_LEAD
        )
        return self.fence > 0 and not is_leased

    def can_send(self, now: datetime.datetime, is_granted: bool) -> bool:
        """Return whether an order may be sent now.

        Args:
            now: the time.
            is_granted: whether all other nodes grant permission.
        """
        is_due = self.may_send_from is not None and now >= self.may_send_from
        is_leased = self.is_term_leased and self.is_leased(now)
        is_allowed = is_leased or is_granted
        return self.fence > 0 and is_due and is_allowed

    def is_vacant(self) -> bool:
        """Return whether no other live process is known to be holder."""
        return self.holder is None or self._is_from_earlier_process(self.holder)

    def propose(
        self, lease: int, now: datetime.datetime
    ) -> store_api.Write | None:
        """Return the write that makes this node holder, or None if not allowed.

        Args:
            lease: id of the own lease, to which the holder's key is attached.
            now: the time.
        """
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
        if self._is_own_pause_over(self.term, self.pause_end):
            puts.append(store_api.Put(PAUSE_END_KEY, self.value))
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
        """Return the write that records the end of the own pause, if due."""
        if not self.fence or self.holder is None or self.term is None:
            return None
        if self.may_send_from is None or now < self.may_send_from:
            return None
        if self._is_own_pause_over(self.term, self.pause_end):
            return None
        return store_api.Write(
            expected=((HOLDER_KEY, self.fence),),
            puts=(store_api.Put(PAUSE_END_KEY, self.value),),
        )

    def resign(self) -> bool:
        """End the own term; return whether there was one.

        No order is sent in it any more, whatever is read later.
        """
        if not self.fence:
            return False
        self.resigned_fence, self.fence = self.fence, 0
        self.is_term_leased = False
        return True

    def propose_end_of_term(self) -> store_api.Write | None:
        """Return the write that lets others follow a resigned holder."""
        holder = self.holder
        if holder is None or holder.value != self.value:
            return None
        if holder.revision != self.resigned_fence:
            return None
        return store_api.Write(
            expected=((HOLDER_KEY, holder.revision),), deletes=(HOLDER_KEY,)
        )

    def _begin_term(
        self,
        revision: int,
        previous: store_api.Item | None,
        pause_end: store_api.Item | None,
        now: datetime.datetime,
    ) -> None:
        """Begin a term.

        The first order waits for the handover pause, unless there was no term
        before, or the previous term was this node's and its pause is over. If
        the previous term was that of this process, its pause continues.
        """
        self.fence = revision
        self.newest_term = max(self.newest_term, revision)
        self.is_term_leased = True
        is_own = previous is not None and previous.revision == self.last_fence
        is_resumed = self._is_own_pause_over(previous, pause_end)
        if is_own and self.may_send_from is not None:
            # A pause that has begun is completed, not skipped or restarted.
            self.may_send_from = max(now, self.may_send_from)
        elif previous is None or is_resumed:
            self.may_send_from = now
        else:
            self.may_send_from = now + self.pause + PAUSE_MARGIN
        if previous is not None and not is_own:
            self.others_sent_until = now if is_resumed else now + PAUSE_MARGIN
        self.last_fence = revision

    def _is_from_earlier_process(self, holder: store_api.Item) -> bool:
        """Return whether the key was written by this node's last process."""
        return self._is_own(holder) and holder.value != self.value

    def _is_own(self, item: store_api.Item) -> bool:
        return item.value.split(b" ")[0] == self.name.encode()

    def _is_own_pause_over(
        self, term: store_api.Item | None, pause_end: store_api.Item | None
    ) -> bool:
        """Return whether a term is this node's and its pause is over."""
        return (
            term is not None
            and pause_end is not None
            and self._is_own(term)
            and pause_end.value == term.value
            and pause_end.revision >= term.revision
        )

    def _must_wait_for_last_holder(self, now: datetime.datetime) -> bool:
        """Return whether the last holder, another node, still has priority."""
        if self.term is None or self._is_own(self.term):
            return False
        assert (
            self.keys_read_at is not None
        ), "proposed without knowing the keys"
        return now - self.keys_read_at < LAST_HOLDER_HEAD_START
