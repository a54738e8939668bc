"""Runs the admission state machine of an entry.

The dispatcher turns its decisions into futures for the waiting requests and
schedules its timer.
"""

import asyncio
import collections
import itertools
from typing import Final

from cicadahook.core import admission
from cicadahook.core import admitter
from cicadahook.core import clock as clock_lib
from cicadahook.core import request as request_lib
from cicadahook.core import table
from cicadahook.core import view as view_lib
from cicadahook.net import logs
from cicadahook.net import metrics

GRANTED: Final = "granted"
CALLER_LEFT: Final = "caller_left"

logger: Final = logs.create_logger("dispatch")


class Dispatcher:
    """Grants attempts according to the latest view.

    Attributes:
        admitter: the state machine that decides.
        waiting: futures of the requests that wait for a decision, by ticket.
        arrivals: requests since the last collection, by row name.
        refusals: refused requests since the last collection, by row name.
        timer: the next wake-up of the state machine, if it asked for one.
    """

    def __init__(
        self, mode: admission.AdmissionMode, clock: clock_lib.Clock
    ) -> None:
        self.mode = mode
        self.clock = clock
        self.admitter = admitter.Admitter(mode)
        self.waiting: dict[int, asyncio.Future[admission.Decision]] = {}
        self.arrivals: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[str] = collections.Counter()
        self.tickets = itertools.count(1)
        self.timer: asyncio.TimerHandle | None = None

    @property
    def view(self) -> view_lib.View:
        """The latest view."""
        return self.admitter.view

    @view.setter
    def view(self, new: view_lib.View) -> None:
        self._handle(admission.ViewChanged(new))

    def record_arrival(self, row: table.Row) -> None:
        """Count a request for `row`; called once per request."""
        self.arrivals[row.name] += 1

    async def acquire(
        self,
        request: request_lib.Request,
        row: table.Row,
        excluded: frozenset[str] = frozenset(),
        is_retry: bool = False,
    ) -> admission.Grant:
        """Wait for a grant to make an attempt.

        Every grant must be passed to `release` once. A retry of a request that
        had a grant before does not count against the rate of its row.

        Args:
            request: the request to run.
            row: the row that it addresses.
            excluded: addresses of upstreams that must not get the attempt.
            is_retry: whether the request had a grant before.

        Raises:
            errors.RefusalError: the request was refused and has not run.
        """
        ticket = next(self.tickets)
        future: asyncio.Future[admission.Decision]
        future = asyncio.get_running_loop().create_future()
        self.waiting[ticket] = future
        self._handle(
            admission.Arrived(ticket, request, row, excluded, is_retry)
        )
        try:
            decision = await future
        except asyncio.CancelledError:
            self._abandon(ticket, future)
            raise
        if isinstance(decision, admission.Refused):
            self.refusals[row.name] += 1
            raise decision.create_error()
        return decision.grant

    def _abandon(
        self, ticket: int, future: asyncio.Future[admission.Decision]
    ) -> None:
        """Stop waiting; a grant made at the same time is released."""
        self.waiting.pop(ticket, None)
        self._count(CALLER_LEFT)
        if future.cancelled() or not future.done():
            self._handle(admission.Left(ticket))
            return
        decision = future.result()
        if isinstance(decision, admission.Granted):
            self.release(
                decision.grant,
                admission.AttemptResult(admission.AttemptEnd.CANCELLED),
            )

    def release(
        self, grant: admission.Grant, result: admission.AttemptResult
    ) -> None:
        """Record that the attempt of `grant` has ended."""
        self._handle(admission.Ended(grant.number, result))

    def _handle(self, message: admission.Message) -> None:
        """Pass a message to the state machine and deliver its decisions."""
        now = self.clock.now()
        for decision in self.admitter.handle(message, now):
            self._deliver(decision)
        self._schedule_wake()

    def _deliver(self, decision: admission.Decision) -> None:
        """Resolve the future of the waiting request."""
        future = self.waiting.pop(decision.ticket)
        if isinstance(decision, admission.Granted):
            self._count(GRANTED)
        else:
            self._count(decision.code.value)
            logger.debug("Refused: %s.", decision.reason)
        if not future.done():
            future.set_result(decision)
            return
        # The request was cancelled while this decision was made.
        if isinstance(decision, admission.Granted):
            asyncio.get_running_loop().call_soon(
                self.release,
                decision.grant,
                admission.AttemptResult(admission.AttemptEnd.CANCELLED),
            )

    def _count(self, result: str) -> None:
        counter = metrics.create_counter(
            "cicada_admissions", "Decisions of admission, by result and node."
        )
        counter.add(1, {"result": result, "node": self.mode.entry})

    def _schedule_wake(self) -> None:
        """Schedule the next wake-up that the state machine asks for."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        now = self.clock.now()
        wake_at = self.admitter.wake_at(now)
        if wake_at is None:
            return
        delay = max(0.0, (wake_at - now).total_seconds())
        self.timer = asyncio.get_running_loop().call_later(delay, self._wake)

    def _wake(self) -> None:
        self.timer = None
        self._handle(admission.Woken())

    def create_uses(self) -> tuple[view_lib.UpstreamUse, ...]:
        """Return the requests in flight and learned limits, by upstream."""
        return self.admitter.loads.create_uses()

    def collect_demands(self) -> tuple[view_lib.RowDemand, ...]:
        """Return the demand for each row since the previous call."""
        arrivals, self.arrivals = self.arrivals, collections.Counter()
        refusals, self.refusals = self.refusals, collections.Counter()
        quotas = self.admitter.quotas
        in_flight = {
            name: quota.own for name, quota in quotas.rows.items() if quota.own
        }
        names = sorted(arrivals.keys() | refusals.keys() | in_flight.keys())
        return tuple(
            view_lib.RowDemand(
                name, arrivals[name], refusals[name], in_flight.get(name, 0)
            )
            for name in names
        )
