"""Waits of requests for room at engines and for copies on them."""

import asyncio
import datetime
from typing import Final

from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.core import residency
from cicadahook.net import active_request
from cicadahook.net import refusal_planner
from cicadahook.net import request_drain

# How long a request waits for room at the engines that hold its copy before a
# copy is loaded elsewhere.
MAX_ROOM_WAIT: Final = datetime.timedelta(milliseconds=300)
POLL_PERIOD: Final = datetime.timedelta(milliseconds=50)
# A copy that has come ends the wait by itself. Its expected time is looked at
# again after a share of that time, within these bounds.
EXPECTED_SHARE: Final = 0.25
MIN_COPY_PERIOD: Final = datetime.timedelta(milliseconds=100)
MAX_COPY_PERIOD: Final = datetime.timedelta(milliseconds=500)
# Time in which the holder of orders answers for a copy that it knows.
ANSWER_TIME: Final = datetime.timedelta(milliseconds=30)
# Time from the end of a wait to the first piece of an answer.
FIRST_PIECE_TIME: Final = datetime.timedelta(milliseconds=60)


class EngineWaits:
    """Lets requests wait while they can still be served in time.

    Attributes:
        components: what requests are forwarded with.
        drain: limits the waits once the node is asked to stop.
        refusals: decides how requests without an upstream are refused.
    """

    def __init__(
        self,
        components: active_request.ForwarderComponents,
        drain: request_drain.RequestDrain,
        refusals: refusal_planner.RefusalPlanner,
    ) -> None:
        self.components = components
        self.clock = components.clock
        self.drain = drain
        self.refusals = refusals

    async def wait_for_room(
        self,
        ready: list[inventory.Instance],
        generation: forwarding.Generation | None,
    ) -> inventory.Instance | None:
        """Return an upstream once it has room; None if late.

        A copy elsewhere is worth its load only if the limits are too low for
        the demand. Plain requests wait only for others to end.
        """
        statements = self.components.statements
        end = self.clock.now() + MAX_ROOM_WAIT
        while (now := self.clock.now()) < end:
            if all(statements.is_resting(entry, now) for entry in ready):
                return None
            if generation is None and not any(
                statements.has_room_soon(entry, now) for entry in ready
            ):
                return None
            await asyncio.sleep(POLL_PERIOD.total_seconds())
            chosen = self._choose_current(ready, generation)
            if chosen is not None:
                return chosen
        return None

    def _choose_current(
        self,
        ready: list[inventory.Instance],
        generation: forwarding.Generation | None,
    ) -> inventory.Instance | None:
        """Return the best of the upstreams that are still ready, if any.

        While a request waits, an upstream may begin to leave, restart, or lose
        its copy or its link.
        """
        components, now = self.components, self.clock.now()
        current = components.inventory.list_current(ready)
        unreachable = components.reachability.find_unreachable(current, now)
        current = [entry for entry in current if entry.id not in unreachable]
        if generation is not None:
            current = components.residency.list_holders(
                current, generation.model, generation.adapter, now
            )
        return components.balancer.choose(current, generation)

    async def wait_for_copy(
        self,
        active: active_request.ActiveRequest,
        key: residency.CopyKey,
        ready: list[inventory.Instance],
        generation: forwarding.Generation,
    ) -> inventory.Instance | None:
        """Return an engine once a copy is loaded or a limit has room.

        Args:
            active: the request.
            key: the copy, with the preferred engine.
            ready: engines that hold it and have reached their request limits.
            generation: what the request asks for.

        Raises:
            errors.RefusalError: the copy will not be there in time.
        """
        components = self.components
        now = self.clock.now()
        wanted = active_request.WantedCopy(
            active.service.name,
            key,
            active.excluded
            | components.reachability.find_unreachable(
                components.inventory.list_usable(active.service.name), now
            ),
            active.required_software or "",
        )
        latest = active.latest_first_piece - FIRST_PIECE_TIME
        wait = self.drain.limit_copy_wait(latest - now)
        load = components.copies.begin(wanted)
        try:
            async with asyncio.timeout(wait.total_seconds()):
                await self._await_load(load, wanted, ready, generation, latest)
        except TimeoutError:
            pass
        finally:
            has_ended = load.done()
            load.cancel()
        if not has_ended:
            chosen = self._choose_current(ready, generation)
            if chosen is not None:
                return chosen
            raise self.refusals.plan_no_copy(
                active, components.copies.estimate_wait(wanted)
            )
        held = load.result()
        if held is None:
            return None
        candidate = components.inventory.find_usable(held.instance)
        if candidate is not None:
            components.residency.record_held(held, self.clock.now())
        return candidate

    async def _await_load(
        self,
        load: asyncio.Task[residency.CopyKey | None],
        wanted: active_request.WantedCopy,
        ready: list[inventory.Instance],
        generation: forwarding.Generation,
        latest: datetime.datetime,
    ) -> None:
        """Return once a load has ended, or is not worth waiting for."""
        # The holder may know of a copy that is not registered yet.
        pause = ANSWER_TIME
        while True:
            await asyncio.wait({load}, timeout=pause.total_seconds())
            if load.done() or self._choose_current(ready, generation):
                return
            expected = self.components.copies.estimate_wait(wanted)
            if self.clock.now() + expected > latest:
                return
            pause = POLL_PERIOD if ready else _plan_pause(expected)


def _plan_pause(expected: datetime.timedelta) -> datetime.timedelta:
    """Return when to look again at a copy that is expected after a time."""
    return min(MAX_COPY_PERIOD, max(MIN_COPY_PERIOD, EXPECTED_SHARE * expected))
