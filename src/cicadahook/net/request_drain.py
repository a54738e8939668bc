"""Limits the time of a node's requests while the node drains."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import node_lifecycle
from cicadahook.core import route_durations
from cicadahook.net import active_request

# Other nodes accept the request at once.
RETRY_AFTER: Final = datetime.timedelta()
# An adapter that fits into memory is loaded within this time. A model is not,
# and another node can wait for it just as well.
MAX_COPY_WAIT: Final = datetime.timedelta(milliseconds=300)


class RequestDrain:
    """Limits each request to the time that is left for it.

    A request that was sent to an upstream may run until the node ends. A
    request that still waits is refused as soon as it could not finish here, so
    that another node can serve it.

    Attributes:
        plan: times at which the node stops accepting and finishing requests;
            None until it is asked to stop.
        durations: observed durations of requests, by route.
        active_requests: requests in progress.
        body_reads: time limits of the bodies that are being read.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.plan: node_lifecycle.DrainPlan | None = None
        self.durations = route_durations.RouteDurations()
        self.active_requests: set[active_request.ActiveRequest] = set()
        self.body_reads: set[asyncio.Timeout] = set()

    def start(self, plan: node_lifecycle.DrainPlan) -> None:
        """Limit all requests, current and future, by a plan."""
        self.plan = plan
        for active in self.active_requests:
            self._reschedule(active)
        for timeout in self.body_reads:
            self._reschedule_body_read(timeout)

    def check_open(self) -> None:
        """Refuse a new request once the node accepts no more.

        Raises:
            errors.RefusalError: the node accepts no more requests.
        """
        if self.plan and self.clock.now() >= self.plan.accepts_until:
            raise active_request.create_refusal("stopping", 503, RETRY_AFTER)

    def check_attempt(
        self, active: active_request.ActiveRequest, upstream: str = ""
    ) -> None:
        """Refuse an attempt that would probably be cut off.

        Args:
            active: the request.
            upstream: id of the upstream to which it would be sent; empty if
                it has not been chosen.

        Raises:
            errors.RefusalError: the answer would not end before the node does.
        """
        if self.plan is None or active.has_begun:
            return
        duration = self._predict(active, upstream)
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
        """Return how long a request may wait for a copy on this node."""
        return wait if self.plan is None else min(wait, MAX_COPY_WAIT)

    def is_cut_short(self, active: active_request.ActiveRequest) -> bool:
        """Whether the plan ended a request before its own deadline."""
        return self.plan is not None and self.clock.now() < active.deadline

    @contextlib.asynccontextmanager
    async def limit(
        self, active: active_request.ActiveRequest
    ) -> AsyncIterator[None]:
        """Limit the time in which a request is served.

        Raises:
            TimeoutError: the time limit has passed.
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
        """Limit the time in which the body of a request is read.

        Args:
            deadline: when the body must have been read.

        Raises:
            errors.RefusalError: the body did not end in time.
        """
        try:
            async with asyncio.timeout_at(self._convert(deadline)) as timeout:
                self._reschedule_body_read(timeout)
                self.body_reads.add(timeout)
                try:
                    yield
                finally:
                    self.body_reads.discard(timeout)
        except TimeoutError as error:
            self.check_open()
            raise active_request.create_refusal("body_late", 408) from error

    def update_time_limit(self, active: active_request.ActiveRequest) -> None:
        """Adjust the time limit after an attempt was sent or was not run."""
        self._reschedule(active)

    def record_duration(self, active: active_request.ActiveRequest) -> None:
        """Record how long an upstream took for a complete answer."""
        if active.sent_at is not None:
            self.durations.record(
                active.route.name,
                self.clock.now() - active.sent_at,
                active.instance,
            )

    def _predict(
        self, active: active_request.ActiveRequest, upstream: str
    ) -> datetime.timedelta:
        """Return how long a request takes once it is sent to an upstream.

        One that may be repeated is expected to take the mean time: cut off, it
        runs again at another node. For any other one it is the time within
        which nearly all end there, and no less than requests in progress have
        taken already. Where none has ended, only the time limit is sure.
        """
        route = active.route
        if route.is_repeatable or not upstream:
            return self.durations.predict(route.name)
        longest = self.durations.predict_longest(route.name, upstream)
        if longest is None:
            return route.timeout
        now = self.clock.now()
        is_known = self.durations.has_observed(route.name, upstream)
        ages = [
            now - other.sent_at
            for other in self.active_requests
            if other.sent_at is not None
            and other.route.name == route.name
            and (other.instance == upstream or not is_known)
        ]
        return min(route.timeout, max([longest, *ages]))

    def _reschedule(self, active: active_request.ActiveRequest) -> None:
        if active.timeout is None or active.timeout.expired():
            return
        end = min(active.deadline, self._get_limit(active))
        active.timeout.reschedule(self._convert(end))

    def _reschedule_body_read(self, timeout: asyncio.Timeout) -> None:
        if self.plan is None or timeout.expired():
            return
        current = timeout.when()
        assert current is not None, "the read of a body has a deadline"
        timeout.reschedule(min(current, self._convert(self.plan.accepts_until)))

    def _convert(self, end: datetime.datetime) -> float:
        """Return a time on the event loop's clock, in seconds."""
        left = max(datetime.timedelta(), end - self.clock.now())
        return asyncio.get_running_loop().time() + left.total_seconds()

    def _get_limit(
        self, active: active_request.ActiveRequest
    ) -> datetime.datetime:
        """Return when the plan ends a request."""
        if self.plan is None:
            return active.deadline
        if active.possible_runs:
            return self.plan.finishes_until
        duration = self.durations.predict(active.route.name)
        return self.plan.get_latest_start(duration, is_retry=False)
