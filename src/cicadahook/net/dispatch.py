"""Admission at an entry: who may make an attempt now, and at which upstream."""

import collections
import datetime
import itertools
from typing import Final

from cicadahook.core import admission
from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import request as request_lib
from cicadahook.core import routing
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib

RETRY_AFTER: Final = datetime.timedelta(seconds=1)


class Dispatcher:
    """Grants attempts by the newest view.

    Attributes:
        view: the newest view; set by its owner.
        in_flight: granted attempts that have not ended, by upstream.
    """

    def __init__(
        self, mode: routing.RoutingMode, clock: clock_lib.Clock
    ) -> None:
        self.clock = clock
        self.policy = routing.create_policy(mode)
        self.view = view_lib.View()
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.arrivals: collections.Counter[str] = collections.Counter()
        self.numbers = itertools.count(1)

    def note_arrival(self, row: table_lib.Row) -> None:
        """Count a request that arrived for `row`, once per request."""
        self.arrivals[row.name] += 1

    async def acquire(
        self,
        request: request_lib.Request,
        row: table_lib.Row,
        excluded: frozenset[str] = frozenset(),
    ) -> admission.Grant:
        """Wait for leave to make an attempt; `excluded` upstreams get none.

        Every grant must be passed to `release` once.

        Raises:
            errors.RefusalError: the request is refused, not run.
        """
        candidates = tuple(
            upstream
            for upstream in self.view.upstreams_for(row)
            if upstream.address not in excluded
        )
        if not candidates:
            raise errors.RefusalError(
                "no_copy",
                f"no upstream serves {row.name!r} at the moment",
                503,
                retry_after=RETRY_AFTER,
            )
        upstream = self.policy.choose(request, candidates, self.in_flight)
        self.in_flight[upstream.address] += 1
        return admission.Grant(
            next(self.numbers), row.name, upstream, self.clock.now()
        )

    def release(
        self, grant: admission.Grant, result: admission.AttemptResult
    ) -> None:
        """Take note that the attempt of `grant` has ended."""
        del result
        self.in_flight[grant.upstream.address] -= 1

    def create_uses(self) -> tuple[view_lib.UpstreamUse, ...]:
        """Return what this entry has in flight."""
        return tuple(
            view_lib.UpstreamUse(address, count)
            for address, count in self.in_flight.items()
            if count
        )

    def take_demands(self) -> tuple[view_lib.RowDemand, ...]:
        """Return the arrivals since the previous call."""
        arrivals, self.arrivals = self.arrivals, collections.Counter()
        return tuple(
            view_lib.RowDemand(row, count) for row, count in arrivals.items()
        )
