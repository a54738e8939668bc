"""Ends an entry's open requests before its process is killed."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import idempotency
from cicadahook.core import request as request_lib
from cicadahook.net import logs

logger: Final = logs.create_logger("entry")


class ShutdownLimit:
    """Limits each open request to the time that the process has left.

    Attributes:
        end: when open requests are ended; None while no end is known.
        timeouts: timeouts of the requests in progress.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.end: datetime.datetime | None = None
        self.timeouts: set[asyncio.Timeout] = set()

    def set_end(self, end: datetime.datetime) -> None:
        """End all requests, current and future, at `end`."""
        self.end = end
        for timeout in self.timeouts:
            if not timeout.expired():
                timeout.reschedule(self.get_loop_end())

    def get_loop_end(self) -> float | None:
        """Return the end on the event loop's clock, in seconds, if known."""
        if self.end is None:
            return None
        left = self.end - self.clock.now()
        return asyncio.get_running_loop().time() + left.total_seconds()

    def cap_deadline(self, request: request_lib.Request) -> request_lib.Request:
        """Return `request` with its deadline no later than the end.

        Admission then refuses requests that would probably not end in time.
        """
        if self.end is None or request.deadline <= self.end:
            return request
        return dataclasses.replace(request, deadline=self.end)

    @contextlib.asynccontextmanager
    async def limit(self, name: str) -> AsyncIterator[None]:
        """Limit the time in which a request is served.

        Args:
            name: name of the request in the log.

        Raises:
            errors.RefusalError: the end came before the answer was complete.
        """
        timeout = asyncio.timeout_at(self.get_loop_end())
        try:
            async with timeout:
                self.timeouts.add(timeout)
                try:
                    yield
                finally:
                    self.timeouts.discard(timeout)
        except TimeoutError as error:
            if not timeout.expired():
                raise
            logger.warning("Request %s is cut off: the process ends.", name)
            raise errors.RefusalError(
                "stopping",
                "this entry ended before the answer was whole; ask another one",
                504,
                errors.Outcome.UNKNOWN,
                idempotency.RETRY_AFTER,
            ) from error
