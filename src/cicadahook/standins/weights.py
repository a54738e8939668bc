"""Stand-in for the weight store, with a limited rate and concurrency."""

import asyncio
import dataclasses
import time

from aiohttp import web

from cicadahook.standins import faults


@dataclasses.dataclass(frozen=True)
class WeightsMode:
    """Limits of the store.

    Attributes:
        loads_per_second: loads that may start per second.
        full_speed_loads: concurrent loads that run at full speed; with more,
            the duration of each grows in proportion to their number.
        load_seconds: duration of one load at full speed.
    """

    loads_per_second: float = 1.0
    full_speed_loads: int = 2
    load_seconds: float = 0.2


class WeightsStandin:
    """Answers each load with an empty body when its duration has passed.

    Attributes:
        mode: limits.
        next_start: earliest start of the next load, in seconds of the
            monotonic clock.
        active: loads that are running.
        loads: loads finished so far.
        faults: faults in force.
    """

    def __init__(self, mode: WeightsMode = WeightsMode()) -> None:
        self.mode = mode
        self.next_start = 0.0
        self.active = 0
        self.loads = 0
        self.faults = faults.FaultControl(faults.Faults())

    def create_app(self) -> web.Application:
        """Return the application that serves weights."""
        app = web.Application()
        self.faults.install(app)
        app.router.add_get("/weights/{row}/{version}", self.fetch)
        app.router.add_get("/loads", self.get_loads)
        return app

    async def fetch(self, request: web.Request) -> web.Response:
        """Wait until the load may start and for its duration, then answer."""
        del request
        now = time.monotonic()
        start = max(now, self.next_start)
        self.next_start = start + 1.0 / self.mode.loads_per_second
        await asyncio.sleep(start - now)
        self.active += 1
        try:
            slowdown = max(1.0, self.active / self.mode.full_speed_loads)
            await asyncio.sleep(self.mode.load_seconds * slowdown)
        finally:
            self.active -= 1
        self.loads += 1
        return web.Response()

    async def get_loads(self, request: web.Request) -> web.Response:
        """Return the numbers of finished and of running loads."""
        del request
        return web.json_response({"loads": self.loads, "active": self.active})
