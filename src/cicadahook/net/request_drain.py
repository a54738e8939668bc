"""Ends the requests of a machine in time when it is told to stop."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import durations as durations_lib
from cicadahook.core import node_lifecycle
from cicadahook.net import active_request

# Other machines take the request right away.
RETRY_AFTER: Final = datetime.timedelta()
# An adapter that finds a place is there by then; a model is not, and another
# machine may as well begin to wait for it.
COPY_WAIT: Final = datetime.timedelta(milliseconds=300)


class RequestDrain:
    """Gives each request the time that is left for it.

    What was sent to an upstream may go on until the machine ends. What still
    waits is refused as soon as it could not be finished here, so that another
    machine begins it.

    Attributes:
        plan: how the machine ends; None while it has not been told to stop.
        durations: how long requests take.
        works: requests under way.
        readings: limits of the requests that are being read.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.plan: node_lifecycle.DrainPlan | None = None
        self.durations = durations_lib.DurationBook()
        self.active_requests: set[active_request.ActiveRequest] = set()
        self.body_reads: set[asyncio.Timeout] = set()

    def start(self, plan: node_lifecycle.DrainPlan) -> None:
        """End all requests by a plan from now on."""
        self.plan = plan
        for active in self.active_requests:
            self._reschedule(active)
        for timeout in self.body_reads:
            self._reschedule_reading(timeout)

    def check_open(self) -> None:
        """Refuse a request that comes too late.

        Raises:
            errors.RefusalError: the machine takes no more requests.
        """
        if self.plan and self.clock.now() >= self.plan.accepts_until:
            raise active_request.create_refusal("stopping", 503, RETRY_AFTER)

    def check_attempt(self, active: active_request.ActiveRequest) -> None:
        """Refuse to begin what would probably be cut off.

        Raises:
            errors.RefusalError: the answer would end after the machine.
        """
        if self.plan is None or active.has_begun:
            return
        duration = self.durations.predict(active.route.name)
        if self.clock.now() < self.plan.get_latest_start(
            duration, is_retry=active.possible_runs > 0
        ):
            return
        if active.possible_runs:
            raise active_request.create_refusal(
                "stopping", 502, outcome="unknown"
            )
        raise active_request.create_refusal("stopping", 503, RETRY_AFTER)

    def limit_copy_wait(self, wait: datetime.timedelta) -> datetime.timedelta:
        """Return how long a request may wait here for a copy."""
        return wait if self.plan is None else min(wait, COPY_WAIT)

    def is_cut_short(self, active: active_request.ActiveRequest) -> bool:
        """Whether time ran out by the plan, before the request's deadline."""
        return self.plan is not None and self.clock.now() < active.deadline

    @contextlib.asynccontextmanager
    async def limit(
        self, active: active_request.ActiveRequest
    ) -> AsyncIterator[None]:
        """Serve a request within its time.

        Raises:
            TimeoutError: its time is over.
        """
        async with asyncio.timeout(None) as active.timeout:
            self._reschedule(active)
            self.active_requests.add(active)
            try:
                yield
            finally:
                self.active_requests.discard(active)

    @contextlib.asynccontextmanager
    async def limit_body_read(
        self, deadline: datetime.datetime
    ) -> AsyncIterator[None]:
        """Read a request while it could still be begun.

        Args:
            deadline: when it must have been read.

        Raises:
            errors.RefusalError: it came too late.
        """
        try:
            async with asyncio.timeout_at(self._convert(deadline)) as timeout:
                self._reschedule_reading(timeout)
                self.body_reads.add(timeout)
                try:
                    yield
                finally:
                    self.body_reads.discard(timeout)
        except TimeoutError as error:
            self.check_open()
            raise active_request.create_refusal("body_late", 408) from error

    def update_time_limit(self, active: active_request.ActiveRequest) -> None:
        """Take note that a request was sent, or that it was not run."""
        self._reschedule(active)

    def record_duration(self, active: active_request.ActiveRequest) -> None:
        """Learn from a whole answer."""
        if active.sent_at is not None:
            self.durations.note(
                active.route.name, self.clock.now() - active.sent_at
            )

    def _reschedule(self, active: active_request.ActiveRequest) -> None:
        if active.timeout is None or active.timeout.expired():
            return
        end = min(active.deadline, self._get_limit(active))
        active.timeout.reschedule(self._convert(end))

    def _reschedule_reading(self, timeout: asyncio.Timeout) -> None:
        if self.plan is None or timeout.expired():
            return
        known = timeout.when()
        assert known is not None, "reading has a deadline"
        timeout.reschedule(min(known, self._convert(self.plan.accepts_until)))

    def _convert(self, end: datetime.datetime) -> float:
        """Return a time by the clock of the event loop, in seconds."""
        left = max(datetime.timedelta(), end - self.clock.now())
        return asyncio.get_running_loop().time() + left.total_seconds()

    def _get_limit(
        self, active: active_request.ActiveRequest
    ) -> datetime.datetime:
        """Return when the machine's end ends a request."""
        if self.plan is None:
            return active.deadline
        if active.possible_runs:
            return self.plan.finishes_until
        duration = self.durations.predict(active.route.name)
        return self.plan.get_latest_start(duration, is_retry=False)
