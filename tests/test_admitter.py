"""Admission: grants, queues, limits and refusals of one entry."""

import dataclasses
import datetime

import pytest

from cicadahook.core import admission
from cicadahook.core import admitter as admitter_lib
from cicadahook.core import clock as clock_lib
from cicadahook.core import concurrency_limits
from cicadahook.core import request as request_lib
from cicadahook.core import routing
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib

Priority = request_lib.Priority
Code = admission.RefusalCode
LIMIT = int(concurrency_limits.INITIAL_LIMIT)


@dataclasses.dataclass
class Driver:
    """Drives the admitter of one entry, with short calls for tests."""

    clock: clock_lib.ManualClock
    admitter: admitter_lib.Admitter
    rows: dict[str, table_lib.Row]
    view: view_lib.View
    tickets: int = 0
    grants: dict[int, admission.Grant] = dataclasses.field(default_factory=dict)
    refusals: dict[int, admission.Refused] = dataclasses.field(
        default_factory=dict
    )

    def send(self, message: admission.Message) -> None:
        """Pass a message to the admitter and record its decisions."""
        for made in self.admitter.handle(message, self.clock.now()):
            assert made.ticket not in self.grants | self.refusals
            if isinstance(made, admission.Granted):
                self.grants[made.ticket] = made.grant
            else:
                self.refusals[made.ticket] = made

    def arrive(
        self,
        row: str = "a",
        priority: Priority = Priority.NORMAL,
        seconds: float = 10.0,
        excluded: frozenset[str] = frozenset(),
    ) -> int:
        """Let a request arrive; return its ticket."""
        self.tickets += 1
        now = self.clock.now()
        request = request_lib.Request(
            id=str(self.tickets),
            row=row,
            path="/",
            arrived=now,
            deadline=now + datetime.timedelta(seconds=seconds),
            priority=priority,
        )
        self.send(
            admission.Arrived(self.tickets, request, self.rows[row], excluded)
        )
        return self.tickets

    def end(
        self,
        ticket: int,
        end: admission.AttemptEnd = admission.AttemptEnd.SERVED,
    ) -> None:
        """End the attempt of a grant."""
        result = admission.AttemptResult(end, tokens=10)
        self.send(admission.Ended(self.grants[ticket].number, result))

    def advance(self, seconds: float) -> None:
        """Advance the clock, waking the admitter at the times it returned."""
        end = self.clock.now() + datetime.timedelta(seconds=seconds)
        while wake := self.admitter.wake_at(self.clock.now()):
            if wake > end:
                break
            self.clock.current = max(wake, self.clock.now())
            self.send(admission.Woken())
        self.clock.current = end

    def change(self, **changes: object) -> None:
        """Apply a changed view."""
        self.view = dataclasses.replace(self.view, **changes)  # type: ignore
        self.send(admission.ViewChanged(self.view))


def create_upstream(name: str) -> view_lib.Upstream:
    """Return a live engine."""
    return view_lib.Upstream(name, "z1", view_lib.UpstreamKind.ENGINE)


def create_driver(
    clock: clock_lib.ManualClock,
    upstreams: tuple[str, ...] = ("u1",),
    rows: tuple[table_lib.Row, ...] = (),
    queue_limit: int = 50,
    members: int = 1,
) -> Driver:
    """Return an entry e0 of `members` that knows `upstreams`, all serving."""
    rows = rows or tuple(create_row(name) for name in "ab")
    view = view_lib.View(
        number=1,
        table=table_lib.Table(1, rows),
        upstreams=tuple(create_upstream(name) for name in upstreams),
        copies=tuple(
            view_lib.Copy(row.name, name, "1", view_lib.CopyState.SERVING)
            for row in rows
            for name in upstreams
        ),
        members=tuple(
            view_lib.Member(f"e{index}", f"{index}:1", f"{index}:2", "z1")
            for index in range(members)
        ),
    )
    mode = admission.AdmissionMode(
        routing.RoutingMode(zone="z1"), "e0", queue_limit
    )
    driver = Driver(
        clock,
        admitter_lib.Admitter(mode),
        {row.name: row for row in rows},
        view,
    )
    driver.send(admission.ViewChanged(view))
    return driver


def create_row(name: str, **changes: object) -> table_lib.Row:
    """Return a model row."""
    row = table_lib.Row(name, table_lib.RowKind.MODEL, memory_bytes=1)
    return dataclasses.replace(row, **changes)  # type: ignore[arg-type]


def fill(driver: Driver, count: int = LIMIT) -> list[int]:
    """Occupy the first `count` slots."""
    tickets = [driver.arrive("b", seconds=1000) for _ in range(count)]
    assert set(tickets) <= driver.grants.keys()
    return tickets


def test_excess_waits_and_is_granted_when_a_slot_is_free(
    clock: clock_lib.ManualClock,
) -> None:
    driver = create_driver(clock)
    tickets = fill(driver)
    late = driver.arrive()
    assert late not in driver.grants
    clock.advance(datetime.timedelta(seconds=1))
    driver.end(tickets[0])
    assert driver.grants[late].upstream.address == "u1"


@pytest.mark.parametrize(
    ("first", "second"),
    [
        ((Priority.BACKGROUND, "a", 9.0), (Priority.INTERACTIVE, "a", 9.0)),
        ((Priority.NORMAL, "a", 9.0), (Priority.NORMAL, "a", 5.0)),
        ((Priority.NORMAL, "low", 5.0), (Priority.NORMAL, "high", 9.0)),
    ],
)
def test_more_urgent_request_overtakes(
    clock: clock_lib.ManualClock,
    first: tuple[Priority, str, float],
    second: tuple[Priority, str, float],
) -> None:
    rows = (
        create_row("a"),
        create_row("b"),
        create_row("low"),
        create_row("high", priority=5),
    )
    driver = create_driver(clock, rows=rows)
    tickets = fill(driver)
    waiting = [
        driver.arrive(row, priority, seconds)
        for priority, row, seconds in (first, second)
    ]
    clock.advance(datetime.timedelta(milliseconds=10))
    driver.end(tickets[0])
    assert waiting[1] in driver.grants
    assert waiting[0] not in driver.grants


def test_weights_share_a_contended_upstream(
    clock: clock_lib.ManualClock,
) -> None:
    rows = (create_row("a", weight=3.0), create_row("b"))
    driver = create_driver(clock, rows=rows)
    tickets = fill(driver)
    waiting = {
        row: [driver.arrive(row, seconds=1000) for _ in range(20)]
        for row in "ab"
    }
    for ticket in tickets[:12]:
        driver.end(ticket, admission.AttemptEnd.FAILED)
    served = {
        row: sum(ticket in driver.grants for ticket in waiting[row])
        for row in "ab"
    }
    assert served["a"] == pytest.approx(9, abs=1)
    assert served["b"] == pytest.approx(3, abs=1)


def test_background_finishes_beside_endless_interactive_load(
    clock: clock_lib.ManualClock,
) -> None:
    driver = create_driver(clock)
    running = fill(driver)
    background = driver.arrive("a", Priority.BACKGROUND, seconds=60)
    queued: list[int] = []
    for _ in range(400):
        queued.append(driver.arrive("a", Priority.INTERACTIVE, seconds=60))
        driver.advance(0.1)
        if running:
            driver.end(running.pop(0))
        running += [ticket for ticket in queued if ticket in driver.grants]
        queued = [ticket for ticket in queued if ticket not in driver.grants]
        if background in driver.grants:
            break
    assert background in driver.grants


def test_request_that_cannot_end_in_time_is_refused_at_once(
    clock: clock_lib.ManualClock,
) -> None:
    driver = create_driver(clock)
    for _ in range(5):
        ticket = driver.arrive("a")
        clock.advance(datetime.timedelta(seconds=2))
        driver.end(ticket)
    late = driver.arrive("a", seconds=0.5)
    assert driver.refusals[late].code is Code.TOO_LATE
    error = driver.refusals[late].create_error()
    assert error.outcome == "not_run"
    assert error.retry_after and error.status == 503


def test_waiting_request_is_refused_by_its_deadline(
    clock: clock_lib.ManualClock,
) -> None:
    driver = create_driver(clock)
    fill(driver)
    late = driver.arrive(seconds=3)
    driver.advance(2.9)
    assert late not in driver.refusals
    driver.advance(0.2)
    assert driver.refusals[late].code is Code.TOO_LATE


def test_retry_after_grows_with_the_queue(
    clock: clock_lib.ManualClock,
) -> None:
    driver = create_driver(clock, queue_limit=2000)
    for _ in range(5):
        ticket = driver.arrive("a")
        clock.advance(datetime.timedelta(seconds=1))
        driver.end(ticket)
    for _ in range(400):
        driver.arrive("a", seconds=1000)
    refused = driver.arrive("a", seconds=4)
    refusal = driver.refusals[refused]
    assert refusal.code is Code.OVERLOADED
    assert refusal.retry_after.total_seconds() == pytest.approx(
        (400 - LIMIT) / LIMIT, rel=0.1
    )


def test_full_queue_refuses_the_least_urgent(
    clock: clock_lib.ManualClock,
) -> None:
    driver = create_driver(clock, queue_limit=2)
    fill(driver)
    waiting = [driver.arrive(priority=Priority.BACKGROUND) for _ in range(2)]
    urgent = driver.arrive(priority=Priority.INTERACTIVE)
    assert driver.refusals[waiting[1]].code is Code.OVERLOADED
    assert urgent not in driver.refusals
    last = driver.arrive(priority=Priority.BACKGROUND)
    assert driver.refusals[last].code is Code.OVERLOADED


def test_caller_that_left_gets_no_slot(clock: clock_lib.ManualClock) -> None:
    driver = create_driver(clock)
    tickets = fill(driver)
    left, stays = driver.arrive(), driver.arrive()
    driver.send(admission.Left(left))
    for ticket in tickets:
        clock.advance(datetime.timedelta(milliseconds=10))
        driver.end(ticket)
    assert left not in driver.grants
    assert stays in driver.grants
    assert driver.admitter.loads.get("u1").own == 1


@pytest.mark.parametrize(
    "state", [view_lib.UpstreamState.LEAVING, view_lib.UpstreamState.DEAD]
)
def test_leaving_upstream_gets_nothing_new(
    clock: clock_lib.ManualClock, state: view_lib.UpstreamState
) -> None:
    driver = create_driver(clock, ("u1", "u2"))
    fill(driver, 2 * LIMIT)
    waiting = driver.arrive()
    driver.change(
        upstreams=(
            dataclasses.replace(create_upstream("u1"), state=state),
            create_upstream("u2"),
        )
    )
    clock.advance(datetime.timedelta(milliseconds=10))
    by_upstream = {
        grant.upstream.address: ticket
        for ticket, grant in driver.grants.items()
    }
    driver.end(by_upstream["u1"])
    assert waiting not in driver.grants
    driver.end(by_upstream["u2"])
    assert driver.grants[waiting].upstream.address == "u2"


def test_no_copy_is_refused_and_excluded_upstreams_are_left_out(
    clock: clock_lib.ManualClock,
) -> None:
    driver = create_driver(clock, ("u1", "u2"))
    ticket = driver.arrive(excluded=frozenset({"u1"}))
    assert driver.grants[ticket].upstream.address == "u2"
    ticket = driver.arrive(excluded=frozenset({"u1", "u2"}))
    assert driver.refusals[ticket].code is Code.NO_COPY
    waiting_fill = fill(driver, 2 * LIMIT - 1)
    waiting = driver.arrive()
    driver.change(copies=())
    assert driver.refusals[waiting].code is Code.NO_COPY
    assert waiting_fill


def test_row_rate_is_refused_with_the_time_to_come_back(
    clock: clock_lib.ManualClock,
) -> None:
    rows = (create_row("a", rate_per_second=2.0), create_row("b"))
    driver = create_driver(clock, rows=rows)
    tickets = [driver.arrive("a") for _ in range(5)]
    assert len(driver.refusals) == 3
    refusal = driver.refusals[tickets[-1]]
    assert refusal.code is Code.ROW_RATE
    assert refusal.create_error().status == 429
    clock.advance(datetime.timedelta(seconds=0.5))
    assert driver.arrive("a") in driver.grants


def test_row_concurrency_holds_and_frees(
    clock: clock_lib.ManualClock,
) -> None:
    rows = (create_row("a", max_in_flight=2), create_row("b"))
    driver = create_driver(clock, rows=rows)
    tickets = [driver.arrive("a") for _ in range(3)]
    assert tickets[2] not in driver.grants
    clock.advance(datetime.timedelta(milliseconds=10))
    driver.end(tickets[0])
    assert tickets[2] in driver.grants


def test_peers_use_counts_against_limit(clock: clock_lib.ManualClock) -> None:
    driver = create_driver(clock, members=4)
    driver.change(peer_loads=(view_lib.PeerLoad("u1", 12, 16.0),))
    tickets = [driver.arrive(seconds=1000) for _ in range(6)]
    assert sum(ticket in driver.grants for ticket in tickets) == 16 // 4
