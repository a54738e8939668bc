"""Each key runs at most once, whatever fails and whichever entry is asked."""

import collections
import dataclasses
import datetime

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import idempotency
from cicadahook.core import idempotency_keys
from cicadahook.core import keyed_calls
from cicadahook.core import view

NAMES = ("vm1", "vm2", "vm3")
MODE = idempotency.LedgerMode(
    retention=datetime.timedelta(seconds=60), max_records=8
)
SKEW = datetime.timedelta(seconds=25)
CALL = keyed_calls.Call("booking-1", "content")
ANSWER = keyed_calls.Answer(201, "text/plain", b"booked")

indexes = st.integers(0, 1_000_000)
entries = st.sampled_from(NAMES)


def create_ledger(
    clock: clock_lib.Clock,
    name: str = "vm1",
    incarnation: str = "0" * 16,
    mode: idempotency.LedgerMode = MODE,
) -> idempotency.Ledger:
    """Return a new ledger."""
    return idempotency.Ledger(
        mode, idempotency_keys.Owner(name, incarnation), clock
    )


def read_error(decision: object) -> tuple[str, errors.Outcome]:
    """Return code and outcome of a refusal."""
    assert isinstance(decision, keyed_calls.Refuse), decision
    return decision.error.code, decision.error.outcome


class IdempotencyMachine(stateful.RuleBasedStateMachine):
    """Simulates three entries, a key-value store and a run-counting service."""

    def __init__(self) -> None:
        super().__init__()
        self.births = 0
        self.clocks = {
            name: clock_lib.ManualClock(clock_lib.EPOCH + number * SKEW)
            for number, name in enumerate(NAMES)
        }
        self.ledgers = {name: self.create(name) for name in NAMES}
        self.keys = ["own-1"]
        self.stored: dict[str, tuple[keyed_calls.Claim, int]] = {}
        self.revision = 0
        self.is_out = False
        self.late: list[keyed_calls.MakeClaim] = []
        self.claims: list[tuple[str, keyed_calls.MakeClaim]] = []
        self.runs: list[tuple[str, str]] = []
        self.sent: list[str] = []
        self.saves: list[tuple[str, keyed_calls.ClaimUpdate]] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def create(self, name: str) -> idempotency.Ledger:
        """Return the ledger of a new process."""
        self.births += 1
        return create_ledger(self.clocks[name], name, f"{self.births:016x}")

    @stateful.rule(name=entries)
    def locate(self, name: str) -> None:
        """Ask an entry for a prefix."""
        self.keys.append(self.ledgers[name].issue_prefix() + "1")

    @stateful.rule(index=indexes, name=entries)
    def send_any(self, index: int, name: str) -> None:
        """Send a call under any key so far."""
        self.send(self.keys[index % len(self.keys)], name)

    @stateful.rule(name=entries)
    def send_newest(self, name: str) -> None:
        """Send a call under the newest issued key."""
        self.send(self.keys[-1], name)

    @stateful.rule(name=entries)
    def send_own(self, name: str) -> None:
        """Send a call under a key that the caller made up."""
        self.send(self.keys[0], name)

    def send(self, key: str, name: str) -> None:
        """Send a call under `key` to an entry."""
        call = keyed_calls.Call(key, f"content of {key}")
        decision = self.ledgers[name].admit(call)
        if isinstance(decision, keyed_calls.Forward):
            self.forward(call, decision.owner)
        else:
            self.apply(name, key, decision)

    def forward(
        self, call: keyed_calls.Call, owner: idempotency_keys.Owner
    ) -> None:
        """Ask the owner, then the successors, as the entries do."""
        asked = [owner.entry, *(name for name in NAMES if name != owner.entry)]
        for name in asked:
            decision = self.ledgers[name].admit(call)
            if not isinstance(decision, keyed_calls.Forward):
                self.apply(name, call.key, decision)
                return

    def apply(
        self, name: str, key: str, decision: keyed_calls.Decision
    ) -> None:
        """Check an answer, or queue an effect."""
        match decision:
            case keyed_calls.Run():
                self.runs.append((name, key))
            case keyed_calls.MakeClaim():
                self.claims.append((name, decision))
            case keyed_calls.Replay(answer):
                assert answer.body == key.encode()
                assert self.counts[key] == 1
            case keyed_calls.Refuse(error):
                if error.outcome is errors.Outcome.NOT_RUN:
                    self.assert_not_run(key)
                if error.outcome is errors.Outcome.RAN:
                    assert self.counts[key] == 1

    def assert_not_run(self, key: str) -> None:
        """Fail if a call of `key` has reached the service or still may."""
        assert not self.counts[key] and key not in self.sent, key

    @stateful.precondition(lambda self: self.claims)
    @stateful.rule(
        index=indexes,
        fate=st.sampled_from(["done", "reply lost", "late", "lost"]),
        is_read=st.booleans(),
    )
    def claim(self, index: int, fate: str, is_read: bool) -> None:
        """Let a claim's write or its reply succeed, be delayed or be lost."""
        name, wanted = self.claims.pop(index % len(self.claims))
        record = wanted.claim.record
        call = keyed_calls.Call(record.key, record.fingerprint)
        ledger = self.ledgers[name]
        if fate == "late":
            self.late.append(wanted)
        elif not self.is_out and fate != "lost":
            self.write(wanted)
        is_known = is_read or fate == "done"
        if self.is_out or not is_known or record.key not in self.stored:
            self.apply(name, record.key, ledger.abandon_claim(record.key))
            return
        found = ledger.resolve_claim(call, *self.stored[record.key])
        self.apply(name, record.key, found)

    def write(self, wanted: keyed_calls.MakeClaim) -> None:
        """Write a claim by compare-and-swap."""
        key = wanted.claim.record.key
        _, revision = self.stored.get(key, (None, 0))
        if revision == wanted.expected:
            self.revision += 1
            self.stored[key] = wanted.claim, self.revision

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(index=indexes)
    def arrive_late(self, index: int) -> None:
        """Let a delayed write take effect."""
        self.write(self.late.pop(index % len(self.late)))

    @stateful.precondition(lambda self: self.runs)
    @stateful.rule(
        index=indexes,
        end=st.sampled_from(["answered", "reply lost", "not sent", "pending"]),
    )
    def run_call(self, index: int, end: str) -> None:
        """End a run."""
        name, key = self.runs.pop(index % len(self.runs))
        ledger = self.ledgers[name]
        if end == "not sent":
            self.assert_not_run(key)
            effect = ledger.record_not_run(key)
        elif end == "answered":
            self.count(key)
            answer = keyed_calls.Answer(201, "text/plain", key.encode())
            effect = ledger.record_answered(key, answer)
        else:
            if end == "pending":
                self.sent.append(key)
            else:
                self.count(key)
            effect = ledger.record_unknown(key)
        if effect is not None:
            self.saves.append((name, effect))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(index=indexes)
    def reach_service(self, index: int) -> None:
        """Let a call arrive whose entry no longer waits."""
        self.count(self.sent.pop(index % len(self.sent)))

    def count(self, key: str) -> None:
        """Run a call at the service."""
        self.counts[key] += 1
        assert self.counts[key] == 1, f"{key} ran twice"

    @stateful.precondition(lambda self: self.saves and not self.is_out)
    @stateful.rule(index=indexes)
    def save(self, index: int) -> None:
        """Write the end of a claimed call."""
        name, effect = self.saves.pop(index % len(self.saves))
        record = effect.claim.record
        stored = self.stored.get(record.key)
        if stored and stored[0].record.token == record.token:
            if isinstance(effect, keyed_calls.DropClaim):
                del self.stored[record.key]
            else:
                self.revision += 1
                self.stored[record.key] = effect.claim, self.revision
        if isinstance(effect, keyed_calls.SaveClaim):
            self.ledgers[name].record_saved(record.key)

    @stateful.rule(is_out=st.booleans())
    def switch_outage(self, is_out: bool) -> None:
        """Begin or end an outage of the key-value service."""
        self.is_out = is_out

    @stateful.rule(name=entries)
    def kill(self, name: str) -> None:
        """Replace an entry that died; what it sent may still arrive."""
        self.sent += [key for run, key in self.runs if run == name]
        self.replace(name)

    @stateful.rule(name=entries, takers=st.sets(entries))
    def stop(self, name: str, takers: set[str]) -> None:
        """Stop as planned: runs end, then other entries take the records."""
        ledger = self.ledgers[name]
        ledger.seal()
        for _, key in [run for run in self.runs if run[0] == name]:
            self.count(key)
            answer = keyed_calls.Answer(201, "text/plain", key.encode())
            ledger.record_answered(key, answer)
        for part in ledger.hand_over():
            for taker in takers - {name}:
                self.ledgers[taker].inherit(part)
        self.replace(name)

    def replace(self, name: str) -> None:
        """Start a new process in place of the entry's old one."""
        self.claims = [claim for claim in self.claims if claim[0] != name]
        self.runs = [run for run in self.runs if run[0] != name]
        self.saves = [save for save in self.saves if save[0] != name]
        self.ledgers[name] = self.create(name)

    @stateful.rule(seconds=st.integers(1, 50))
    def wait(self, seconds: int) -> None:
        """Advance all clocks."""
        for clock in self.clocks.values():
            clock.advance(datetime.timedelta(seconds=seconds))

    @stateful.invariant()
    def stays_bounded(self) -> None:
        """No entry holds more records than it may."""
        for ledger in self.ledgers.values():
            assert ledger.size <= MODE.max_records


IdempotencyMachine.TestCase.settings = settings(
    max_examples=400, stateful_step_count=30, derandomize=True, deadline=None
)
test_idempotency_machine = IdempotencyMachine.TestCase


def test_claim_given_up_by_this_process_is_made_again(
    clock: clock_lib.ManualClock,
) -> None:
    ledger = create_ledger(clock)
    first = ledger.admit(CALL)
    assert isinstance(first, keyed_calls.MakeClaim)
    assert (
        read_error(ledger.abandon_claim(CALL.key))[0] == "key_value_unavailable"
    )
    ledger.admit(CALL)
    again = ledger.resolve_claim(CALL, first.claim, 7)
    assert isinstance(again, keyed_calls.MakeClaim)
    assert again.expected == 7
    assert ledger.resolve_claim(CALL, again.claim, 8) == keyed_calls.Run()


def test_claim_of_an_earlier_process_is_never_taken_over(
    clock: clock_lib.ManualClock,
) -> None:
    earlier = create_ledger(clock, incarnation="1" * 16).admit(CALL)
    assert isinstance(earlier, keyed_calls.MakeClaim)
    ledger = create_ledger(clock)
    ledger.admit(CALL)
    decision = ledger.resolve_claim(CALL, earlier.claim, 7)
    assert read_error(decision) == ("in_progress", errors.Outcome.UNKNOWN)


def test_successor_answers_only_for_what_it_knows(
    clock: clock_lib.ManualClock,
) -> None:
    owner = create_ledger(clock)
    lost, kept, unused = (owner.issue_prefix() + "a" for _ in range(3))
    handed = keyed_calls.HandOver(
        owner.owner,
        clock.now() + datetime.timedelta(milliseconds=1),
        (keyed_calls.Record(kept, "", keyed_calls.State.ANSWERED, ANSWER),),
        is_complete=False,
    )
    successor = create_ledger(clock, "vm2", "2" * 16)
    assert successor.inherit(handed)
    sent = [keyed_calls.Call(key, "") for key in (lost, kept, unused)]
    assert successor.admit(sent[0]) == keyed_calls.Forward(owner.owner)
    assert successor.admit(sent[1]) == keyed_calls.Replay(ANSWER)
    assert successor.inherit(dataclasses.replace(handed, is_complete=True))
    assert read_error(successor.admit(sent[0]))[0] == "key_expired"
    assert successor.inherit(
        dataclasses.replace(
            handed, forgotten_before=clock.now(), is_complete=True
        )
    )
    assert successor.admit(sent[1]) == keyed_calls.Replay(ANSWER)
    fresh = create_ledger(clock, "vm3", "3" * 16)
    fresh.inherit(keyed_calls.HandOver(owner.owner, clock_lib.EPOCH, ()))
    assert read_error(fresh.admit(sent[2])) == (
        "owner_left",
        errors.Outcome.NOT_RUN,
    )


def test_large_hand_over_comes_in_parts(clock: clock_lib.ManualClock) -> None:
    mode = idempotency.LedgerMode()
    ledger = create_ledger(clock, mode=mode)
    count = idempotency.PART_RECORDS + 1
    for _ in range(count):
        key = ledger.issue_prefix() + "a"
        ledger.admit(keyed_calls.Call(key, ""))
        ledger.record_unknown(key)
    ledger.seal()
    parts = ledger.hand_over()
    assert [part.is_complete for part in parts] == [False, True]
    assert sum(len(part.records) for part in parts) == count


def test_key_expires_with_its_record(clock: clock_lib.ManualClock) -> None:
    ledger = create_ledger(clock)
    key = ledger.issue_prefix() + "a"
    call = keyed_calls.Call(key, "content")
    assert ledger.admit(call) == keyed_calls.Run()
    ledger.record_answered(key, ANSWER)
    assert ledger.admit(call) == keyed_calls.Replay(ANSWER)
    clock.advance(MODE.retention + datetime.timedelta(seconds=1))
    fresh = keyed_calls.Call(ledger.issue_prefix() + "b", "content")
    for _ in range(MODE.max_records):
        ledger.admit(keyed_calls.Call(ledger.issue_prefix() + "b", "content"))
    assert read_error(ledger.admit(fresh))[0] == "records_full"
    assert key not in ledger.records
    assert read_error(ledger.admit(call)) == (
        "key_expired",
        errors.Outcome.UNKNOWN,
    )


def test_running_record_outlives_its_prefix(
    clock: clock_lib.ManualClock,
) -> None:
    ledger = create_ledger(clock)
    call = keyed_calls.Call(ledger.issue_prefix() + "a", "content")
    ledger.admit(call)
    clock.advance(MODE.retention + datetime.timedelta(seconds=1))
    for _ in range(MODE.max_records):
        ledger.admit(keyed_calls.Call(ledger.issue_prefix() + "b", "content"))
    assert ledger.admit(call) == keyed_calls.Join()
    ledger.record_answered(call.key, ANSWER)
    assert ledger.admit(call) == keyed_calls.Replay(ANSWER)


def test_large_answer_is_known_but_not_kept(
    clock: clock_lib.ManualClock,
) -> None:
    ledger = create_ledger(clock)
    call = keyed_calls.Call(ledger.issue_prefix() + "a", "content")
    ledger.admit(call)
    ledger.record_answered(
        call.key,
        keyed_calls.Answer(201, "", b"x" * (MODE.max_answer_bytes + 1)),
    )
    assert read_error(ledger.admit(call)) == (
        "answer_not_kept",
        errors.Outcome.RAN,
    )


@pytest.mark.parametrize(
    ("suffix", "shift", "code"),
    [("", 0, "bad_key"), ("a", 1, "bad_key")],
)
def test_key_that_was_not_issued_is_refused(
    clock: clock_lib.ManualClock, suffix: str, shift: int, code: str
) -> None:
    ledger = create_ledger(clock)
    issued = clock.now() + datetime.timedelta(seconds=shift)
    prefix = idempotency_keys.format_prefix(ledger.owner, issued, 1)
    decision = ledger.admit(keyed_calls.Call(prefix + suffix, "content"))
    assert read_error(decision) == (code, errors.Outcome.NOT_RUN)


def test_same_key_with_other_content_is_refused(
    clock: clock_lib.ManualClock,
) -> None:
    ledger = create_ledger(clock)
    key = ledger.issue_prefix() + "a"
    ledger.admit(keyed_calls.Call(key, "content"))
    decision = ledger.admit(keyed_calls.Call(key, "other content"))
    assert read_error(decision) == ("key_reused", errors.Outcome.NOT_RUN)


def test_successors_keep_their_order_when_one_leaves() -> None:
    owner = idempotency_keys.Owner("vm1", "0" * 16)
    members = [view.Member(f"vm{n}", f"h:{n}", "", "") for n in range(9)]
    ranked = idempotency_keys.rank_successors(owner, members)
    left = [member for member in members if member != ranked[0]]
    assert idempotency_keys.rank_successors(owner, left) == ranked[1:]
