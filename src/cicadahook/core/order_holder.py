"""State machine that decides whether a node may send orders to engines.

The order holder is the one node that may send orders; the time for which it
is holder is its term. The holder is named by a key in the store that is
deleted when the node's lease expires. The fence of the term is made of the
position of the write that made the node holder. The holder sends only while its
lease is certainly valid or all other nodes grant permission, and only once the
handover pause has passed since the last possible order of the previous holder.

A node that restarts resumes its own term without that pause, since no other
node sends in between. It may do so only if its former process had waited out
the pause of that term, which a separate key records.

A term ends with the era of the store in which it began: the store may have lost
any later one, and the leases. So the values of the keys name their era. The
first term of an era waits until leases of the earlier one have run out, too,
unless its holder is the one whose term the new era has ended.
"""

import dataclasses
import datetime
from typing import Final

from cicadahook.core import grants
from cicadahook.core import known_terms as known_terms_lib
from cicadahook.core import store_api
from cicadahook.core import terms

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
        era: newest known era of the store; 0 if none is known yet.
        era_seen_at: when that era became known.
        is_continuing: whether the own term was in force until that era.
        continuing_until: until when no other node can have sent orders since
            the own term was in force, whatever eras begin; None if there was
            no own term, or no lease for it.
        fence: fence of the own term until a newer term is known, else 0. It
            permits sending only together with a lease or grants.
        last_fence: fence of the newest own term in this process.
        may_send_from: when the first order of the own term may be sent.
        others_sent_until: until when an earlier process may have sent orders;
            None if there was none.
        valid_until: until when the own lease is certainly valid.
        keys_read_at: when the keys were first read in this era; None if not
            yet.
        is_term_leased: whether the present lease is that of the own term.
        resigned_fence: fence of the newest own term that this process has
            resigned from; 0 if none.
        known_terms: the newest term, by the store and by other nodes.
    """

    name: str
    token: str
    pause: datetime.timedelta
    lease_duration: datetime.timedelta
    holder: store_api.Item | None = None
    term: store_api.Item | None = None
    pause_end: store_api.Item | None = None
    era: int = 0
    era_seen_at: datetime.datetime | None = None
    is_continuing: bool = False
    continuing_until: datetime.datetime | None = None
    fence: int = 0
    last_fence: int = 0
    may_send_from: datetime.datetime | None = None
    others_sent_until: datetime.datetime | None = None
    valid_until: datetime.datetime | None = None
    keys_read_at: datetime.datetime | None = None
    is_term_leased: bool = False
    resigned_fence: int = 0
    known_terms: known_terms_lib.KnownTerms = dataclasses.field(
        default_factory=known_terms_lib.KnownTerms
    )

    @property
    def value(self) -> bytes:
        """Return the value of the keys while this process is holder.

        Older builds read the name only.
        """
        return f"{self.name} {self.token} {self.era}".encode()

    @property
    def newest_term(self) -> int:
        """Return the highest fence that the store has told this node."""
        return self.known_terms.newest

    @property
    def has_read_keys(self) -> bool:
        """Whether the keys have been read since the start."""
        return self.keys_read_at is not None

    def record_era(
        self, era: int, now: datetime.datetime, *, is_granted: bool
    ) -> bool:
        """Record an era of the store; a newer one ends the own term.

        Args:
            era: the era.
            now: the time.
            is_granted: whether all other nodes grant permission now.

        Returns:
            Whether it is newer than the one known.
        """
        if era <= self.era:
            return False
        if self.fence:
            # One that still waits may not have been the last to send.
            self.is_continuing = self.can_send(now, is_granted)
            self.continuing_until = self._find_end_of_silence()
        elif self.is_continuing:
            end = self.continuing_until
            self.is_continuing = end is not None and now < end
        newest_term = self.newest_term
        self._enter_era(era, now)
        self.known_terms.record(newest_term)
        return True

    def return_to_era(self, era: int, now: datetime.datetime) -> None:
        """Go back to the era of the store, which has denied a later one.

        The own term ended with the era that was believed. It is left to all
        nodes, as it was not renewed meanwhile.
        """
        self.resigned_fence = self.last_fence
        self.is_continuing = False
        self.continuing_until = None
        self._enter_era(era, now)

    def _enter_era(self, era: int, now: datetime.datetime) -> None:
        """Forget what held in another era."""
        self.era, self.era_seen_at = era, now
        self.fence = 0
        self.holder = self.term = self.pause_end = None
        self.keys_read_at = None
        self.record_lease_end()
        self.known_terms = known_terms_lib.KnownTerms(
            terms.compute_fence(store_api.Position(era, 0))
        )

    def observe_keys(
        self,
        holder: store_api.Item | None,
        term: store_api.Item | None,
        pause_end: store_api.Item | None,
        position: store_api.Position,
        now: datetime.datetime,
    ) -> None:
        """Process the keys as read at a position of the store.

        Args:
            holder: the holder's key, or None if there is no holder.
            term: the key of the newest term, or None if there was none.
            pause_end: the key of the newest term whose pause is over, or None.
            position: where they were read; keys older than the own term, or of
                an earlier era, are ignored.
            now: the time.
        """
        self.record_era(position.era, now, is_granted=False)
        is_outdated = terms.compute_fence(position) < self.fence
        if position.era < self.era or is_outdated:
            return
        if self.keys_read_at is None:
            self.keys_read_at = now
        previous, known_pause_end = self.term, self.pause_end
        self.holder = holder
        self.term = term
        self.pause_end = pause_end
        if holder is not None and holder.value == self.value:
            fence = terms.compute_fence(holder.position)
            if fence not in (self.fence, self.resigned_fence):
                self._begin_term(fence, previous, known_pause_end, now)
        elif term is not None:
            newest = terms.find_key_fence(term)
            self.known_terms.record(newest)
            if newest > self.fence:
                self.fence = 0

    def hear_term(self, fence: int, era: int, now: datetime.datetime) -> None:
        """Record a term that another node names.

        If it is newer than the own one, the own lease does not count until the
        store has renewed it once more.

        Args:
            fence: its fence.
            era: era in which it is said to be the newest; 0 if that is not
                told. One of another era says nothing of this one.
            now: the time.
        """
        if era in (0, self.era):
            self.known_terms.hear(fence, now)

    def record_won_term(
        self,
        write: store_api.Write,
        position: store_api.Position,
        now: datetime.datetime,
    ) -> bool:
        """Record that the own proposal was written, which begins the term.

        Returns:
            Whether it has begun. A proposal that was made in an earlier era
            than it was written in says nothing.
        """
        is_of_this_era = write.puts[0].value == self.value
        if not is_of_this_era or position.era != self.era:
            return False
        previous = self.term
        self.holder = store_api.Item(HOLDER_KEY, self.value, position)
        self.term = store_api.Item(TERM_KEY, self.value, position)
        fence = terms.compute_fence(position)
        if self.fence != fence:
            self._begin_term(fence, previous, self.pause_end, now)
        return True

    def record_renewal(self, sent: datetime.datetime) -> None:
        """Record that a lease renewal sent at `sent` has been answered."""
        if self.fence and self.is_term_leased:
            self.known_terms.deny_claims(sent)
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
        is_leased = self._is_term_valid(now + GRANT_REQUEST_LEAD)
        return self.fence > 0 and not is_leased

    def can_send(self, now: datetime.datetime, is_granted: bool) -> bool:
        """Return whether an order may be sent now.

        Args:
            now: the time.
            is_granted: whether all other nodes grant permission.
        """
        is_due = self.may_send_from is not None and now >= self.may_send_from
        is_allowed = self._is_term_valid(now) or is_granted
        return self.fence > 0 and is_due and is_allowed

    def _is_term_valid(self, now: datetime.datetime) -> bool:
        """Whether the lease of the own term is valid, and none is newer."""
        is_leased = self.is_term_leased and self.is_leased(now)
        return is_leased and self.known_terms.claimed <= self.fence

    def is_vacant(self) -> bool:
        """Return whether no other live process is known to be holder."""
        holder = self.holder
        if holder is None or self._is_from_earlier_process(holder):
            return True
        # A holder that names no era has fences below those of this one.
        is_outlived = self.is_continuing or not terms.names_era(holder)
        return is_outlived and terms.find_key_era(holder) < self.era

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
        if self._must_wait_for_last_holder(now):
            return None
        puts = [
            store_api.Put(HOLDER_KEY, self.value, lease),
            store_api.Put(TERM_KEY, self.value),
        ]
        if self._is_pause_over(self.term, self.pause_end):
            puts.append(store_api.Put(PAUSE_END_KEY, self.value))
        return store_api.Write(
            expected=(
                (HOLDER_KEY, self.holder.position if self.holder else None),
                (TERM_KEY, self.term.position if self.term else None),
            ),
            puts=tuple(puts),
        )

    def propose_pause_end(
        self, now: datetime.datetime
    ) -> store_api.Write | None:
        """Return the write that records the end of the own pause, if due."""
        if not self.fence or self.holder is None or self.term is None:
            return None
        if terms.compute_fence(self.holder.position) != self.fence:
            return None
        if self.may_send_from is None or now < self.may_send_from:
            return None
        if self._is_pause_over(self.term, self.pause_end):
            return None
        return store_api.Write(
            expected=((HOLDER_KEY, self.holder.position),),
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
        if terms.compute_fence(holder.position) != self.resigned_fence:
            return None
        return store_api.Write(
            expected=((HOLDER_KEY, holder.position),), deletes=(HOLDER_KEY,)
        )

    def _begin_term(
        self,
        fence: int,
        previous: store_api.Item | None,
        pause_end: store_api.Item | None,
        now: datetime.datetime,
    ) -> None:
        """Begin a term.

        The first order waits for the handover pause, unless there was no term
        before, or the previous term was this node's and its pause is over. If
        the previous term was that of this process, its pause continues.
        """
        self.fence = fence
        self.known_terms.record(fence)
        self.is_term_leased = True
        is_first = previous is None or terms.find_key_era(previous) < self.era
        is_own = is_first and self.is_continuing
        if previous is not None and not is_first:
            is_own = terms.find_key_fence(previous) == self.last_fence
        is_resumed = self._is_pause_over(previous, pause_end)
        is_alone = previous is None and self.era <= store_api.FIRST_ERA
        if is_own and self.may_send_from is not None:
            # A pause that has begun is completed, not skipped or restarted.
            self.may_send_from = max(now, self.may_send_from)
        elif is_alone or is_resumed:
            self.may_send_from = now
        else:
            others_end = max(now, self._find_end_of_earlier_leases(pause_end))
            self.may_send_from = others_end + self.pause + PAUSE_MARGIN
        if not is_alone and not is_own:
            self.others_sent_until = (
                now if is_resumed else self.may_send_from - self.pause
            )
        self.last_fence = fence

    def _find_end_of_silence(self) -> datetime.datetime | None:
        """Return until when others send nothing since the own lease was valid.

        Another node that becomes holder in the next era waits out a lease and
        the pause, and its own lease ends at the latest one lease after it.
        """
        if self.valid_until is None or not self.is_term_leased:
            return None
        renewed = self.valid_until - self.lease_duration + VALIDITY_MARGIN
        return min(self.valid_until, renewed + self.pause)

    def _find_end_of_earlier_leases(
        self, pause_end: store_api.Item | None
    ) -> datetime.datetime:
        """Return until when a holder may rely on a lease of an earlier era.

        Once a holder's pause has ended in this era, none does any more.
        """
        assert self.era_seen_at is not None, "the keys were read in an era"
        is_outlived = (
            pause_end is not None and terms.find_key_era(pause_end) == self.era
        )
        if self.era <= store_api.FIRST_ERA or is_outlived:
            return self.era_seen_at
        return self.era_seen_at + self.lease_duration

    def _is_from_earlier_process(self, holder: store_api.Item) -> bool:
        """Return whether the key was written by this node's last process.

        This process counts as another one in each era.
        """
        return terms.is_of(self.name, holder) and holder.value != self.value

    def _is_pause_over(
        self, term: store_api.Item | None, pause_end: store_api.Item | None
    ) -> bool:
        """Return whether a term of this era is this node's, its pause over."""
        return terms.is_pause_over(self.name, self.era, term, pause_end)

    def _must_wait_for_last_holder(self, now: datetime.datetime) -> bool:
        """Return whether the last holder, another node, still has priority.

        In an era without a term, that is the one whose term the era has ended.
        """
        term = self.term
        if term is None or self.is_continuing:
            return False
        if terms.find_key_era(term) == self.era and (
            self.holder is not None or terms.is_of(self.name, term)
        ):
            return False
        assert (
            self.keys_read_at is not None
        ), "proposed without knowing the keys"
        return now - self.keys_read_at < LAST_HOLDER_HEAD_START
