"""The ledger of an entry, which lets each idempotency key run at most once.

Only the entry process that issued a key's prefix may run the key, so its record
in this ledger decides. Any other key is claimed in the key-value service before
its call is dispatched, so the claim there decides.
"""

from collections.abc import Iterator
import dataclasses
import datetime
import itertools
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import idempotency_keys
from cicadahook.core import keyed_calls

RETRY_AFTER: Final = datetime.timedelta(seconds=1)
ABSENT_REVISION: Final = 0
PART_RECORDS: Final = 100


@dataclasses.dataclass(frozen=True)
class LedgerMode:
    """Settings of the records.

    Attributes:
        retention: how long after its issue a prefix is accepted.
        max_records: records held, those taken over from others included.
        max_answer_bytes: larger answers are not kept for resends.
    """

    retention: datetime.timedelta = datetime.timedelta(hours=1)
    max_records: int = 20_000
    max_answer_bytes: int = 16 * 1024


@dataclasses.dataclass
class InheritedRecords:
    """Records that a stopped process handed over, by key; see HandOver."""

    forgotten_before: datetime.datetime
    records: dict[str, keyed_calls.Record]
    received: datetime.datetime
    is_complete: bool = False


class Ledger:
    """The records of one entry process, and of those that handed over to it.

    Attributes:
        records: own records by key.
        inherited: records handed over by stopped processes, by owner.
        is_sealed: whether new calls are no longer run.
    """

    def __init__(
        self,
        mode: LedgerMode,
        owner: idempotency_keys.Owner,
        clock: clock_lib.Clock,
    ) -> None:
        self.mode = mode
        self.owner = owner
        self.clock = clock
        self.records: dict[str, keyed_calls.Record] = {}
        self.inherited: dict[idempotency_keys.Owner, InheritedRecords] = {}
        self.is_sealed = False
        self.serials = itertools.count(1)

    @property
    def size(self) -> int:
        """Number of records held."""
        inherited = sum(
            len(handed_over.records) for handed_over in self.inherited.values()
        )
        return len(self.records) + inherited

    def issue_prefix(self) -> str:
        """Return a new key prefix that names this process."""
        return idempotency_keys.format_prefix(
            self.owner, self.clock.now(), next(self.serials)
        )

    def admit(self, call: keyed_calls.Call) -> keyed_calls.Decision:
        """Decide what happens with a call that arrived."""
        issued = idempotency_keys.parse(call.key)
        if issued is None:
            return self._admit_claimed(call)
        if not issued.suffix:
            return _refuse(
                "bad_key",
                "header Idempotency-Key: add a text of your own to the prefix",
                400,
                errors.Outcome.NOT_RUN,
            )
        if issued.owner == self.owner:
            return self._admit_issued(call, issued)
        if issued.owner in self.inherited:
            return self._admit_inherited(call, issued)
        return keyed_calls.Forward(issued.owner)

    def _admit_issued(
        self, call: keyed_calls.Call, issued: idempotency_keys.IssuedKey
    ) -> keyed_calls.Decision:
        """Decide on a key that only this process may run."""
        record = self.records.get(call.key)
        if record is not None:
            return _answer_resend(call, record)
        if self._is_expired(issued):
            return _refuse_expired()
        if issued.issued > self.clock.now():
            return _refuse(
                "bad_key",
                "header Idempotency-Key: its prefix was never issued",
                400,
                errors.Outcome.NOT_RUN,
            )
        if self.is_sealed:
            return _refuse_left()
        if not self._make_room():
            return _refuse_full(errors.Outcome.NOT_RUN)
        self.records[call.key] = keyed_calls.Record(
            call.key, call.fingerprint, keyed_calls.State.RUNNING
        )
        return keyed_calls.Run()

    def _admit_inherited(
        self, call: keyed_calls.Call, issued: idempotency_keys.IssuedKey
    ) -> keyed_calls.Decision:
        """Decide on a key of a process that handed its records over."""
        handed_over = self.inherited[issued.owner]
        record = handed_over.records.get(call.key)
        if record is not None:
            return _answer_resend(call, record)
        if not handed_over.is_complete:
            return keyed_calls.Forward(issued.owner)
        if issued.issued < handed_over.forgotten_before or self._is_expired(
            issued
        ):
            return _refuse_expired()
        return _refuse_left()

    def _admit_claimed(self, call: keyed_calls.Call) -> keyed_calls.Decision:
        """Decide on a key that has to be claimed."""
        record = self.records.get(call.key)
        if record is not None:
            return _answer_resend(call, record)
        # Another entry may have run the key, so nothing here proves that it
        # did not run.
        if self.is_sealed:
            return keyed_calls.Refuse(
                create_draining_error(errors.Outcome.UNKNOWN)
            )
        if not self._make_room():
            return _refuse_full(errors.Outcome.UNKNOWN)
        return self._start_claim(call, ABSENT_REVISION)

    def _start_claim(
        self, call: keyed_calls.Call, expected: int
    ) -> keyed_calls.Decision:
        token = f"{self.owner.incarnation}-{next(self.serials)}"
        record = keyed_calls.Record(
            call.key, call.fingerprint, keyed_calls.State.CLAIMING, token=token
        )
        self.records[call.key] = record
        running = dataclasses.replace(record, state=keyed_calls.State.RUNNING)
        return keyed_calls.MakeClaim(
            keyed_calls.Claim(self.owner, running), expected
        )

    def confirm_claim(self, key: str) -> keyed_calls.Run:
        """Record that the claim of `key` was written."""
        record = self.records[key]
        assert (
            record.state is keyed_calls.State.CLAIMING
        ), f"{key} claimed twice"
        self.records[key] = dataclasses.replace(
            record, state=keyed_calls.State.RUNNING
        )
        return keyed_calls.Run()

    def abandon_claim(self, key: str) -> keyed_calls.Refuse:
        """Give up the claim of `key`, as it is unknown whether it was written.

        The claim may still be written later. Its token is dropped here, so the
        call is never run under it.
        """
        self._forget_claim(key)
        return keyed_calls.Refuse(
            errors.RefusalError(
                "key_value_unavailable",
                "the key could not be claimed; a key with the key_prefix of"
                " GET /v1/locate needs no claim",
                503,
                errors.Outcome.UNKNOWN,
                RETRY_AFTER,
            )
        )

    def resolve_claim(
        self, call: keyed_calls.Call, claim: keyed_calls.Claim, revision: int
    ) -> keyed_calls.Decision:
        """Decide on a claim that was found in place of this entry's claim."""
        own = self.records[call.key]
        if claim.record.token == own.token:
            return self.confirm_claim(call.key)
        self._forget_claim(call.key)
        if claim.record.state is not keyed_calls.State.RUNNING:
            return _answer_resend(call, claim.record)
        if claim.claimant == self.owner:
            # A claim of this process without a record of its token was given
            # up before its call was dispatched.
            return self._start_claim(call, revision)
        return _refuse(
            "in_progress",
            "another entry holds this key; its call may be running",
            409,
            errors.Outcome.UNKNOWN,
            RETRY_AFTER,
        )

    def _forget_claim(self, key: str) -> None:
        record = self.records.pop(key)
        assert (
            record.state is keyed_calls.State.CLAIMING
        ), f"{key} was dispatched"

    def record_answered(
        self, key: str, answer: keyed_calls.Answer
    ) -> keyed_calls.ClaimUpdate | None:
        """Record the answer of the run of `key`."""
        body = answer.body or b""
        if len(body) > self.mode.max_answer_bytes:
            answer = dataclasses.replace(answer, body=None)
        return self._record_end(key, keyed_calls.State.ANSWERED, answer)

    def record_unknown(self, key: str) -> keyed_calls.ClaimUpdate | None:
        """Record that the run of `key` may or may not have taken place."""
        return self._record_end(key, keyed_calls.State.UNKNOWN, None)

    def record_not_run(self, key: str) -> keyed_calls.ClaimUpdate | None:
        """Drop the record of `key`: no byte of its call reached an upstream."""
        record = self.records.pop(key)
        assert record.state is keyed_calls.State.RUNNING, f"{key} ended twice"
        return (
            keyed_calls.DropClaim(keyed_calls.Claim(self.owner, record))
            if record.token
            else None
        )

    def _record_end(
        self,
        key: str,
        state: keyed_calls.State,
        answer: keyed_calls.Answer | None,
    ) -> keyed_calls.ClaimUpdate | None:
        record = self.records[key]
        assert record.state is keyed_calls.State.RUNNING, f"{key} ended twice"
        ended = dataclasses.replace(record, state=state, answer=answer)
        self.records[key] = ended
        return (
            keyed_calls.SaveClaim(keyed_calls.Claim(self.owner, ended))
            if record.token
            else None
        )

    def record_saved(self, key: str) -> None:
        """Record that the key-value service holds the final claim of `key`."""
        del self.records[key]

    def seal(self) -> None:
        """Stop accepting new calls."""
        self.is_sealed = True

    def hand_over(self) -> tuple[keyed_calls.HandOver, ...]:
        """Return the own records and the inherited ones, in parts.

        The ledger must be sealed and no call may be running.
        """
        assert self.is_sealed, "records handed over by a running ledger"
        self._drop_expired()
        horizon = self.clock.now() - self.mode.retention
        issued = [rec for rec in self.records.values() if not rec.token]
        assert all(
            record.state
            in (keyed_calls.State.ANSWERED, keyed_calls.State.UNKNOWN)
            for record in issued
        ), "records handed over while a call runs"
        inherited = (
            _split(
                owner,
                max(horizon, handed_over.forgotten_before),
                list(handed_over.records.values()),
            )
            for owner, handed_over in self.inherited.items()
            if handed_over.is_complete
        )
        own = _split(self.owner, horizon, issued)
        return tuple(itertools.chain(own, *inherited))

    def inherit(self, handed: keyed_calls.HandOver) -> bool:
        """Store the records of a stopped process; False if they don't fit."""
        assert handed.owner != self.owner, "records handed to their owner"
        self._drop_expired()
        if self.size + len(handed.records) > self.mode.max_records:
            return False
        handed_over = self.inherited.setdefault(
            handed.owner,
            InheritedRecords(handed.forgotten_before, {}, self.clock.now()),
        )
        handed_over.records.update(
            (record.key, record) for record in handed.records
        )
        if not handed_over.is_complete:
            handed_over.forgotten_before = handed.forgotten_before
            handed_over.is_complete = handed.is_complete
        return True

    def _make_room(self) -> bool:
        """Return whether a record may be added, after dropping expired ones."""
        if self.size >= self.mode.max_records:
            self._drop_expired()
        return self.size < self.mode.max_records

    def _drop_expired(self) -> None:
        """Drop records whose keys are refused from now on."""
        for key, record in list(self.records.items()):
            if (
                record.state is not keyed_calls.State.RUNNING
                and self._is_dropped(key)
            ):
                del self.records[key]
        for owner, handed_over in list(self.inherited.items()):
            for key in list(handed_over.records):
                if self._is_dropped(key):
                    del handed_over.records[key]
            if handed_over.received + self.mode.retention < self.clock.now():
                del self.inherited[owner]

    def _is_dropped(self, key: str) -> bool:
        issued = idempotency_keys.parse(key)
        return issued is not None and self._is_expired(issued)

    def _is_expired(self, issued: idempotency_keys.IssuedKey) -> bool:
        return issued.issued + self.mode.retention < self.clock.now()


def create_draining_error(outcome: errors.Outcome) -> errors.RefusalError:
    """Return the refusal of requests that arrive while the entry drains."""
    return errors.RefusalError(
        "draining",
        "this entry is leaving; ask another one",
        503,
        outcome,
        RETRY_AFTER,
    )


def _split(
    owner: idempotency_keys.Owner,
    forgotten_before: datetime.datetime,
    records: list[keyed_calls.Record],
) -> Iterator[keyed_calls.HandOver]:
    """Yield the hand-over of `records` in parts; the last completes it."""
    starts = range(0, max(1, len(records)), PART_RECORDS)
    for start in starts:
        part = tuple(records[start : start + PART_RECORDS])
        yield keyed_calls.HandOver(
            owner, forgotten_before, part, start == starts[-1]
        )


def _answer_resend(
    call: keyed_calls.Call, record: keyed_calls.Record
) -> keyed_calls.Decision:
    """Decide on a call whose key has a record."""
    if call.fingerprint != record.fingerprint:
        return _refuse(
            "key_reused",
            "header Idempotency-Key: used before with another content",
            422,
            errors.Outcome.NOT_RUN,
        )
    if record.state in (keyed_calls.State.CLAIMING, keyed_calls.State.RUNNING):
        return keyed_calls.Join()
    if record.state is keyed_calls.State.UNKNOWN:
        return _refuse(
            "outcome_unknown",
            "the call was sent and its answer was lost; it is not sent again",
            502,
            errors.Outcome.UNKNOWN,
        )
    assert record.answer is not None, f"{call.key} answered with nothing"
    if record.answer.body is None:
        return _refuse(
            "answer_not_kept",
            "the call ran; its answer was too large to keep for resends",
            409,
            errors.Outcome.RAN,
        )
    return keyed_calls.Replay(record.answer)


def _refuse(
    code: str,
    reason: str,
    status: int,
    outcome: errors.Outcome,
    retry_after: datetime.timedelta | None = None,
) -> keyed_calls.Refuse:
    return keyed_calls.Refuse(
        errors.RefusalError(code, reason, status, outcome, retry_after)
    )


def _refuse_expired() -> keyed_calls.Refuse:
    return _refuse(
        "key_expired",
        "header Idempotency-Key: its prefix is older than records are kept,"
        " so the call may have run before",
        410,
        errors.Outcome.UNKNOWN,
    )


def _refuse_left() -> keyed_calls.Refuse:
    return _refuse(
        "owner_left",
        "the entry of this key stopped without running it; take a new"
        " key_prefix from GET /v1/locate",
        409,
        errors.Outcome.NOT_RUN,
    )


def _refuse_full(outcome: errors.Outcome) -> keyed_calls.Refuse:
    return _refuse(
        "records_full",
        "this entry keeps no more keys for now",
        503,
        outcome,
        RETRY_AFTER,
    )
