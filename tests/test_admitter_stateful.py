"""Checks the admitter against a simple oracle, over random messages."""

import datetime
import itertools
from typing import Final

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from cicadahook.core import admission
from cicadahook.core import admitter as admitter_lib
from cicadahook.core import clock as clock_lib
from cicadahook.core import limit_shares
from cicadahook.core import request as request_lib
from cicadahook.core import routing
from cicadahook.core import row_quotas
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib

UPSTREAMS: Final = ("u1", "u2")
LATENESS: Final = datetime.timedelta(milliseconds=1)
ROWS: Final = (
    table_lib.Row("a", table_lib.RowKind.MODEL, memory_bytes=1),
    table_lib.Row(
        "b", table_lib.RowKind.MODEL, memory_bytes=1, max_in_flight=3
    ),
    table_lib.Row(
        "c", table_lib.RowKind.MODEL, memory_bytes=1, rate_per_second=3.0
    ),
)


class AdmitterMachine(stateful.RuleBasedStateMachine):
    """Sends random messages and checks the decisions by its own records."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clock_lib.ManualClock()
        self.tickets = itertools.count(1)
        self.waiting: dict[int, request_lib.Request] = {}
        self.running: dict[int, admission.Grant] = {}
        self.answered: set[int] = set()
        self.left: set[int] = set()
        self.leaving: set[str] = set()
        self.view = view_lib.View()
        self.admitter = admitter_lib.Admitter(admission.AdmissionMode())

    @stateful.initialize(
        policy=strategies.sampled_from(sorted(routing.POLICIES))
    )
    def start(self, policy: str) -> None:
        """Start an entry with two upstreams."""
        mode = admission.AdmissionMode(
            routing.RoutingMode(policy, "z1"), "e0", queue_limit=12
        )
        self.admitter = admitter_lib.Admitter(mode)
        self.change_view(0, 0, 16.0)

    def send(self, message: admission.Message) -> None:
        """Pass a message to the admitter and check each of its decisions."""
        now = self.clock.now()
        for made in self.admitter.handle(message, now):
            assert made.ticket in self.waiting, "answered twice or after leave"
            request = self.waiting.pop(made.ticket)
            self.answered.add(made.ticket)
            if isinstance(made, admission.Refused):
                assert made.retry_after > datetime.timedelta()
                continue
            assert now < request.deadline, "granted after the deadline"
            assert made.grant.upstream.address not in self.leaving
            assert made.grant.number not in self.running
            self.running[made.grant.number] = made.grant
            self.check_limits(made.grant)

    def check_limits(self, grant: admission.Grant) -> None:
        """Check that the grant kept the limits of upstream and row."""
        loads = self.admitter.loads
        known = loads.get(grant.upstream.address)
        own = sum(
            other.upstream.address == grant.upstream.address
            for other in self.running.values()
        )
        peers = known.peers
        fair = -(-max(1, int(known.limit)) // loads.fleet.entries)
        assert own <= max(fair, int(known.limit) - peers)
        of_row = sum(other.row == grant.row for other in self.running.values())
        row = self.view.table.by_name[grant.row]
        assert not row.max_in_flight or of_row <= row.max_in_flight

    @stateful.rule(
        row=strategies.sampled_from(ROWS),
        priority=strategies.sampled_from(list(request_lib.Priority)),
        milliseconds=strategies.integers(1, 20_000),
        excluded=strategies.sets(strategies.sampled_from(UPSTREAMS)),
        count=strategies.integers(1, 12),
    )
    def arrive(
        self,
        row: table_lib.Row,
        priority: request_lib.Priority,
        milliseconds: int,
        excluded: set[str],
        count: int,
    ) -> None:
        """Let equal requests arrive at once."""
        now = self.clock.now()
        for _ in range(count):
            ticket = next(self.tickets)
            request = request_lib.Request(
                id="same",
                row=row.name,
                path="/",
                arrived=now,
                deadline=now + datetime.timedelta(milliseconds=milliseconds),
                priority=priority,
                prefix="a prefix",
            )
            self.waiting[ticket] = request
            self.send(
                admission.Arrived(ticket, request, row, frozenset(excluded))
            )

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        data=strategies.data(),
        end=strategies.sampled_from(list(admission.AttemptEnd)),
        tokens=strategies.integers(0, 300),
    )
    def end(
        self,
        data: strategies.DataObject,
        end: admission.AttemptEnd,
        tokens: int,
    ) -> None:
        """End any running attempt, in any order."""
        number = data.draw(strategies.sampled_from(sorted(self.running)))
        del self.running[number]
        result = admission.AttemptResult(end, tokens=tokens)
        self.send(admission.Ended(number, result))

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=strategies.data())
    def leave(self, data: strategies.DataObject) -> None:
        """Let a waiting caller leave."""
        ticket = data.draw(strategies.sampled_from(sorted(self.waiting)))
        del self.waiting[ticket]
        self.send(admission.Left(ticket))

    @stateful.rule(milliseconds=strategies.integers(1, 6_000))
    def advance(self, milliseconds: int) -> None:
        """Advance the clock, waking the admitter at the times it returns."""
        end = self.clock.now() + datetime.timedelta(milliseconds=milliseconds)
        while wake := self.admitter.wake_at(self.clock.now()):
            if wake > end:
                break
            self.clock.current = max(wake, self.clock.now())
            self.send(admission.Woken())
        self.clock.current = end

    @stateful.rule(
        peers=strategies.integers(0, 20),
        members=strategies.integers(0, 4),
        limit=strategies.floats(1, 40),
        leaving=strategies.sets(strategies.sampled_from(UPSTREAMS)),
        incarnation=strategies.sampled_from(("1", "2")),
    )
    def change_view(
        self,
        peers: int,
        members: int,
        limit: float,
        leaving: set[str] = frozenset(),  # type: ignore[assignment]
        incarnation: str = "1",
    ) -> None:
        """Apply a new view, possibly delayed or from another control."""
        self.leaving = set(leaving)
        states = {name: view_lib.UpstreamState.LEAVING for name in self.leaving}
        self.view = view_lib.View(
            number=1,
            table=table_lib.Table(1, ROWS),
            upstreams=tuple(
                view_lib.Upstream(
                    name,
                    "z1",
                    view_lib.UpstreamKind.ENGINE,
                    state=states.get(name, view_lib.UpstreamState.LIVE),
                    incarnation=incarnation,
                )
                for name in UPSTREAMS
            ),
            copies=tuple(
                view_lib.Copy(row.name, name, "1", view_lib.CopyState.SERVING)
                for row in ROWS
                for name in UPSTREAMS
            ),
            members=tuple(
                view_lib.Member(f"e{index}", "1:1", "1:2", "z1")
                for index in range(members)
            ),
            peer_loads=tuple(
                view_lib.PeerLoad(name, peers, limit) for name in UPSTREAMS
            ),
        )
        self.send(admission.ViewChanged(self.view))

    @stateful.invariant()
    def no_slot_is_leaked(self) -> None:
        """The counts of own requests in flight equal the running attempts."""
        for name in UPSTREAMS:
            own = sum(
                grant.upstream.address == name
                for grant in self.running.values()
            )
            assert self.admitter.loads.get(name).own == own
        for row in ROWS:
            of_row = sum(
                grant.row == row.name for grant in self.running.values()
            )
            assert self.admitter.quotas.in_flight(row.name) == of_row
        assert self.admitter.queue.waiters.keys() == self.waiting.keys()

    @stateful.invariant()
    def none_waits_past_its_deadline(self) -> None:
        """Each waiting request is decided on by its deadline."""
        now = self.clock.now()
        assert all(
            request.deadline >= now - LATENESS
            for request in self.waiting.values()
        )

    def teardown(self) -> None:
        """End all attempts; each waiting request must then get a decision."""
        for _ in range(len(self.running) + len(self.waiting)):
            for number in sorted(self.running):
                self.clock.advance(datetime.timedelta(milliseconds=1))
                del self.running[number]
                result = admission.AttemptResult(admission.AttemptEnd.SERVED)
                self.send(admission.Ended(number, result))
        self.advance(21_000)
        assert not self.waiting, "a request was never answered"


TestAdmitter = AdmitterMachine.TestCase
TestAdmitter.settings = hypothesis.settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_shares_of_entries_never_exceed_the_limit() -> None:
    now = clock_lib.EPOCH
    for entries, limit in itertools.product(range(1, 6), range(1, 40)):
        shared = sum(
            limit_shares.allow(
                limit,
                limit_shares.Usage(own=limit, own_reported=limit),
                limit_shares.Fleet(entries, rank),
                now,
            )
            for rank in range(entries)
        )
        assert shared == limit


def test_often_sent_views_hand_out_free_slots_once(
    clock: clock_lib.ManualClock,
) -> None:
    quota = row_quotas.Quotas()
    row = table_lib.Row(
        "a", table_lib.RowKind.MODEL, memory_bytes=1, max_in_flight=16
    )
    view = view_lib.View(table=table_lib.Table(1, (row,)))
    for _ in range(20):
        quota.apply_view(view, limit_shares.Fleet(4, 0), clock.now())
        while quota.has_room(row, clock.now()):
            quota.start("a")
        clock.advance(datetime.timedelta(milliseconds=10))
    assert quota.in_flight("a") == 4


def test_shares_grow_into_what_peers_leave() -> None:
    own = 0
    for _ in range(20):
        usage = limit_shares.Usage(own, own, peers=4)
        own = limit_shares.allow(
            16, usage, limit_shares.Fleet(4, 0), clock_lib.EPOCH
        )
    assert 9 <= own <= 12
