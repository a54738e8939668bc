"""State machine of admission at an entry: grants, queues or refuses requests.

For each request it decides whether an attempt may start now, and at which
upstream.
"""

from collections.abc import Iterator
import dataclasses
import datetime
import itertools
from typing import Final

from cicadahook.core import admission
from cicadahook.core import attempt_predictor
from cicadahook.core import limit_shares
from cicadahook.core import routing
from cicadahook.core import row_quotas
from cicadahook.core import upstream_loads
from cicadahook.core import view as view_lib
from cicadahook.core import waiting_queue

MIN_CHANCE: Final = 0.1
MIN_BUSY_CHANCE: Final = 0.65
MIN_QUEUE_CHANCE: Final = 0.4
MIN_RETRY_AFTER: Final = datetime.timedelta(seconds=1)
MAX_RETRY_AFTER: Final = datetime.timedelta(minutes=1)
PROBE_PERIOD: Final = datetime.timedelta(seconds=5)
POLL_PERIOD: Final = datetime.timedelta(milliseconds=100)
LIVE_STATES: Final = frozenset(
    {view_lib.MemberState.ALIVE, view_lib.MemberState.SUSPECT}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A granted attempt that has not ended.

    Attributes:
        grant: the permission given to the attempt.
        in_flight: requests in flight at the upstream when it was granted.
    """

    grant: admission.Grant
    in_flight: float


class Admitter:
    """Decides on requests as a deterministic state machine.

    Each message yields decisions. A request without a decision waits; it is
    granted or refused by its deadline, provided that `Woken` is sent at the
    times that `wake_at` returns.

    Attributes:
        view: the newest view.
        attempts: granted attempts that have not ended, by grant number.
    """

    def __init__(self, mode: admission.AdmissionMode) -> None:
        self.mode = mode
        self.policy = routing.create_policy(mode.routing)
        self.view = view_lib.View()
        self.loads = upstream_loads.UpstreamLoads()
        self.quotas = row_quotas.Quotas()
        self.queue = waiting_queue.WaitingQueue(mode.queue_limit)
        self.predictor = attempt_predictor.AttemptPredictor(self.loads)
        self.attempts: dict[int, Attempt] = {}
        self.last_grants: dict[str, datetime.datetime] = {}
        self.numbers = itertools.count(1)

    def handle(
        self, message: admission.Message, now: datetime.datetime
    ) -> list[admission.Decision]:
        """Return the decisions that follow from `message`."""
        match message:
            case admission.Arrived():
                return list(self._arrive(message, now))
            case admission.Left():
                self.queue.remove(message.ticket)
                return []
            case admission.Ended():
                ended = self._end(message, now)
                return list(self._serve_waiting(now, ended))
            case admission.ViewChanged():
                self._apply_view(message.view, now)
            case admission.Woken():
                pass
        return list(self._serve_waiting(now))

    def wake_at(self, now: datetime.datetime) -> datetime.datetime | None:
        """Return when to send `Woken`, or None if nothing waits."""
        if not self.queue.waiters:
            return None
        heads = (lane.head for lane in self.queue.lanes.values())
        earliest = min(head.request.deadline for head in heads)
        return min(earliest, now + POLL_PERIOD)

    def _apply_view(self, view: view_lib.View, now: datetime.datetime) -> None:
        """Apply `view`, and drop the state of rows that were removed."""
        self.view = view
        fleet = self._place_in_fleet()
        self.loads.apply_view(view, fleet, now)
        self.quotas.apply_view(view, fleet, now)
        self.predictor.forget_rows(view.table)
        self.last_grants = {
            name: granted
            for name, granted in self.last_grants.items()
            if view.table.find(name)
        }

    def _place_in_fleet(self) -> limit_shares.Fleet:
        names = sorted(
            member.name
            for member in self.view.members
            if member.state in LIVE_STATES
        )
        if self.mode.entry not in names:
            return limit_shares.Fleet(len(names) + 1, len(names))
        return limit_shares.Fleet(len(names), names.index(self.mode.entry))

    def _arrive(
        self, message: admission.Arrived, now: datetime.datetime
    ) -> Iterator[admission.Decision]:
        """Grant, refuse or queue a new request."""
        waiter = waiting_queue.Waiter(
            message.ticket, message.request, message.row, message.excluded, now
        )
        if not message.is_retry:
            pause = self.quotas.admit(message.row, now)
            if pause is not None:
                yield _refuse(waiter, admission.RefusalCode.ROW_RATE, pause)
                return
        key = waiting_queue.create_key(waiter)
        decision = None
        if key not in self.queue.lanes:
            decision = self._decide(waiter, now)
        if decision is None:
            decision = self._check_wait(waiter, now)
        if decision is not None:
            yield decision
            return
        yield from self._enqueue(waiter)

    def _enqueue(
        self, waiter: waiting_queue.Waiter
    ) -> Iterator[admission.Decision]:
        """Queue a request; a full queue refuses the least urgent one."""
        if len(self.queue) >= self.queue.limit:
            victim = self.queue.find_victim(waiter.request.priority)
            refused = victim or waiter
            yield _refuse(
                refused, admission.RefusalCode.OVERLOADED, MIN_RETRY_AFTER
            )
            if victim is None:
                return
            self.queue.remove(victim.ticket)
        self.queue.push(waiter)

    def _serve_waiting(
        self, now: datetime.datetime, ended: admission.Grant | None = None
    ) -> Iterator[admission.Decision]:
        """Decide on waiting requests until all lanes are blocked.

        If an attempt ended, only the slot that it frees at its upstream or in
        its row is granted.
        """
        blocked = set(self._find_unaffected(ended)) if ended else set()
        while len(blocked) < len(self.queue.lanes):
            if ended and not self._has_room(ended.upstream, now):
                blocked |= {
                    key for key in self.queue.lanes if key.row != ended.row
                }
            for lane in self.queue.order(now):
                if lane.key in blocked:
                    continue
                decision = self._decide(lane.head, now)
                if decision is None:
                    blocked.add(lane.key)
                    continue
                if isinstance(decision, admission.Granted):
                    self.queue.charge(lane)
                self.queue.remove(decision.ticket)
                yield decision
                break

    def _find_unaffected(
        self, ended: admission.Grant
    ) -> Iterator[waiting_queue.LaneKey]:
        """Yield the lanes whose requests can't use the slot of `ended`."""
        return (
            lane.key
            for lane in self.queue.lanes.values()
            if lane.key.row != ended.row
            and not any(
                upstream.address == ended.upstream.address
                for upstream in self._find_candidates(lane.head)
            )
        )

    def _has_room(
        self, upstream: view_lib.Upstream, now: datetime.datetime
    ) -> bool:
        load = self.loads.get(upstream.address)
        return load.own < self.loads.allow(load, now)

    def _decide(
        self, waiter: waiting_queue.Waiter, now: datetime.datetime
    ) -> admission.Decision | None:
        """Grant or refuse a request now, or return None if it must wait."""
        candidates = self._find_candidates(waiter)
        if not candidates:
            return _refuse(
                waiter, admission.RefusalCode.NO_COPY, MIN_RETRY_AFTER
            )
        loads = self.predictor.create_loads(waiter, candidates, now)
        if self._is_too_late(waiter, loads, now):
            return _refuse(
                waiter, admission.RefusalCode.TOO_LATE, MIN_RETRY_AFTER
            )
        if not self.quotas.has_room(waiter.row, now):
            return None
        chosen = self.policy.choose(waiter.request, loads)
        if chosen is None:
            return None
        return self._grant(waiter, chosen, now)

    def _find_candidates(
        self, waiter: waiting_queue.Waiter
    ) -> tuple[view_lib.Upstream, ...]:
        upstreams = self.view.upstreams_for(waiter.row)
        if not waiter.excluded:
            return upstreams
        return tuple(
            upstream
            for upstream in upstreams
            if upstream.address not in waiter.excluded
        )

    def _is_too_late(
        self,
        waiter: waiting_queue.Waiter,
        loads: list[routing.Load],
        now: datetime.datetime,
    ) -> bool:
        """Whether no upstream is likely to end the request by its deadline.

        While other requests wait, a higher chance is required, so that no slot
        is spent on a request that will probably miss its deadline. A row
        without a grant for PROBE_PERIOD gets one anyway, so that a wrong
        estimate corrects itself.
        """
        if waiter.request.deadline <= now:
            return True
        least = MIN_BUSY_CHANCE if self.queue.waiters else MIN_CHANCE
        if max(load.chance for load in loads) >= least:
            return False
        last = self.last_grants.get(waiter.row.name)
        return last is not None and now - last < PROBE_PERIOD

    def _check_wait(
        self, waiter: waiting_queue.Waiter, now: datetime.datetime
    ) -> admission.Refused | None:
        """Refuse a request whose predicted wait makes it miss its deadline."""
        wait = self._predict_wait(waiter, now)
        late = dataclasses.replace(
            waiter.request, deadline=waiter.request.deadline - wait
        )
        loads = self.predictor.create_loads(
            dataclasses.replace(waiter, request=late),
            self._find_candidates(waiter),
            now,
        )
        if max(load.chance for load in loads) >= MIN_QUEUE_CHANCE:
            return None
        return _refuse(waiter, admission.RefusalCode.OVERLOADED, wait)

    def _predict_wait(
        self, waiter: waiting_queue.Waiter, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return the expected wait behind the requests that are queued now."""
        own = {upstream.address for upstream in self._find_candidates(waiter)}
        ahead = 0.0
        for lane in self.queue.ahead_of(waiting_queue.create_key(waiter)):
            theirs = {
                upstream.address
                for upstream in self._find_candidates(lane.head)
            }
            part = len(own & theirs) / max(1, len(theirs))
            ahead += part * len(lane.heap)
        seconds = ahead * self.predictor.predict_interval(waiter.row, own, now)
        seconds = max(seconds, self._predict_row_wait(waiter, now))
        return min(datetime.timedelta(seconds=seconds), MAX_RETRY_AFTER)

    def _predict_row_wait(
        self, waiter: waiting_queue.Waiter, now: datetime.datetime
    ) -> float:
        """Return the expected seconds until the row's own limit has room."""
        allowed = max(1, self.quotas.allow(waiter.row, now))
        own = self.quotas.in_flight(waiter.row.name)
        lane = self.queue.lanes.get(waiting_queue.create_key(waiter))
        before = own + (len(lane.heap) if lane else 0) + 1 - allowed
        addresses = {
            upstream.address for upstream in self._find_candidates(waiter)
        }
        seconds = self.predictor.predict_seconds(waiter.row, addresses, now)
        return max(0.0, before) * seconds / allowed

    def _grant(
        self,
        waiter: waiting_queue.Waiter,
        chosen: routing.Load,
        now: datetime.datetime,
    ) -> admission.Granted:
        """Grant an attempt at the chosen upstream."""
        address = chosen.upstream.address
        load = self.loads.get(address)
        assert load.own < self.loads.allow(load, now), f"{address} over limit"
        load.own += 1
        self.quotas.start(waiter.row.name)
        self.predictor.record_sent(waiter, address, now)
        self.last_grants[waiter.row.name] = now
        grant = admission.Grant(
            next(self.numbers), waiter.row.name, chosen.upstream, now
        )
        self.attempts[grant.number] = Attempt(grant, chosen.in_flight + 1)
        return admission.Granted(waiter.ticket, grant)

    def _end(
        self, message: admission.Ended, now: datetime.datetime
    ) -> admission.Grant:
        """Free the slot of an attempt and learn from it; return its grant."""
        attempt = self.attempts.pop(message.number)
        address = attempt.grant.upstream.address
        load = self.loads.get(address)
        in_flight = load.predict_in_flight(self.loads.fleet.entries)
        load.own -= 1
        assert load.own >= 0, f"{address}: more ends than grants"
        self.quotas.end(attempt.grant.row)
        mean = (attempt.in_flight + in_flight) / 2
        self.predictor.learn(attempt.grant, message.result, mean, now)
        return attempt.grant


def _refuse(
    waiter: waiting_queue.Waiter,
    code: admission.RefusalCode,
    retry_after: datetime.timedelta,
) -> admission.Refused:
    return admission.Refused(
        waiter.ticket,
        code,
        REASONS[code].format(row=waiter.row.name),
        max(MIN_RETRY_AFTER, retry_after),
    )


REASONS: Final = {
    admission.RefusalCode.NO_COPY: "no upstream serves {row!r} at the moment",
    admission.RefusalCode.TOO_LATE: (
        "a request to {row!r} can't be served before its deadline"
    ),
    admission.RefusalCode.OVERLOADED: (
        "{row!r} has more work waiting than can be served in time"
    ),
    admission.RefusalCode.ROW_RATE: "{row!r} is over its rate limit",
}
