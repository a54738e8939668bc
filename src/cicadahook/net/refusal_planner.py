"""Decides how a request that no upstream may get now is refused."""

import datetime
from typing import Final

from cicadahook.core import errors
from cicadahook.core import inventory
from cicadahook.net import active_request
from cicadahook.net import request_drain

RETRY_AFTER: Final = datetime.timedelta(milliseconds=500)
LOAD_RETRY_AFTER: Final = datetime.timedelta(milliseconds=1200)
# Callers that wait for one copy return within this factor of its expected time.
COPY_RETURN_SPREAD: Final = 1.2


class RefusalPlanner:
    """Creates refusals with the time after which their callers may return.

    A request that an upstream may have run gets no promise that it has not.

    Attributes:
        components: what requests are forwarded with.
        drain: whether the node is stopping.
    """

    def __init__(
        self,
        components: active_request.ForwarderComponents,
        drain: request_drain.RequestDrain,
    ) -> None:
        self.components = components
        self.drain = drain

    def draw_delay(self, delay: datetime.timedelta) -> datetime.timedelta:
        """Return a randomised delay after which a caller may return.

        Callers that return at the same time would meet the same obstacle.
        """
        return delay * self.components.generator.uniform(0.7, 1.3)

    def plan(
        self,
        active: active_request.ActiveRequest,
        code: str,
        retry_after: datetime.timedelta,
    ) -> errors.RefusalError:
        """Return the refusal of a request that may get no upstream now."""
        if active.possible_runs:
            return active_request.create_refusal(
                "attempts_failed", 502, outcome="unknown"
            )
        return active_request.create_refusal(code, 503, retry_after)

    def plan_give_up(
        self, active: active_request.ActiveRequest, reason: str
    ) -> errors.RefusalError:
        """Return the refusal of a request that cannot be retried."""
        if active.possible_runs:
            return active_request.create_refusal(reason, 502, outcome="unknown")
        return active_request.create_refusal(
            reason, 503, self.draw_delay(RETRY_AFTER)
        )

    def plan_overloaded(self) -> errors.RefusalError:
        """Return the refusal of a request that would begin too late."""
        return active_request.create_refusal(
            "overloaded", 503, self.draw_delay(LOAD_RETRY_AFTER)
        )

    def plan_no_copy(
        self,
        active: active_request.ActiveRequest,
        expected: datetime.timedelta,
    ) -> errors.RefusalError:
        """Return the refusal of a request whose copy will be there too late.

        Args:
            active: the request.
            expected: how much longer the copy should take.
        """
        if self.drain.plan is not None:
            return self.plan(active, "stopping", request_drain.RETRY_AFTER)
        factor = self.components.generator.uniform(1.0, COPY_RETURN_SPREAD)
        delay = max(RETRY_AFTER, expected) * factor
        return self.plan(active, "no_copy", delay)

    def plan_unreachable(
        self, active: active_request.ActiveRequest
    ) -> errors.RefusalError:
        """Return the refusal of a request whose upstreams no node reaches."""
        return self.plan(active, "unreachable", self.draw_delay(RETRY_AFTER))

    def plan_no_upstream(
        self,
        active: active_request.ActiveRequest,
        usable: list[inventory.Instance],
    ) -> errors.RefusalError:
        """Return the refusal of a request without an upstream.

        If all of `usable` have reached their request limits, it says when there
        will be room.
        """
        statements = self.components.statements
        now = self.components.clock.now()
        if usable and not any(
            statements.has_room(entry, now) for entry in usable
        ):
            if any(statements.has_room_soon(entry, now) for entry in usable):
                return self.plan(
                    active, "upstream_full", self.draw_delay(RETRY_AFTER)
                )
            is_resting = all(
                statements.is_resting(entry, now) for entry in usable
            )
            return self.plan(
                active,
                "upstream_rest" if is_resting else "upstream_limit",
                statements.plan_return(usable, now),
            )
        return self.plan(active, "no_upstream", self.draw_delay(RETRY_AFTER))
