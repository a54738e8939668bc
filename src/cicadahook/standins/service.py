"""Stand-in for a plain service, whose bookings must not run twice."""

import collections
import itertools

from aiohttp import web

from cicadahook.standins import faults


class ServiceStandin:
    """Runs bookings and counts the runs by the caller's name for them.

    Attributes:
        runs: number of runs by booking name; a test finds a repeated run
            here.
        booking_numbers: source of the numbers of bookings.
        faults: faults in force.
    """

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.booking_numbers = itertools.count(1)
        self.faults = faults.FaultControl(faults.Faults())

    def create_app(self) -> web.Application:
        """Return the application that serves bookings."""
        app = web.Application()
        self.faults.install(app)
        app.router.add_get("/healthz", self.check_health)
        app.router.add_post("/bookings", self.book)
        app.router.add_get("/bookings", self.get_runs)
        return app

    async def check_health(self, request: web.Request) -> web.Response:
        """Return that the service is live."""
        del request
        return web.json_response({"state": "live"})

    async def book(self, request: web.Request) -> web.Response:
        """Run a booking and count the run under the booking's name."""
        body = await request.json()
        name = str(body.get("name", ""))
        self.runs[name] += 1
        return web.json_response(
            {"booking": next(self.booking_numbers), "name": name}, status=201
        )

    async def get_runs(self, request: web.Request) -> web.Response:
        """Return the number of runs of each booking."""
        del request
        return web.json_response(dict(self.runs))
