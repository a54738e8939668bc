"""Stand-in for the platform's VM list, which lags behind the truth."""

import asyncio
import dataclasses
from typing import Final

from aiohttp import web
import pydantic

from cicadahook.standins import faults


@dataclasses.dataclass(frozen=True)
class ListedVm:
    """A VM as the list shows it.

    Attributes:
        address: `host:port` of what it runs.
        zone: its availability zone.
        kind: `engine` or `service`.
        service: for a plain service, the name of its row.
        state: `live` or `leaving`.
    """

    address: str
    zone: str
    kind: str
    service: str = ""
    state: str = "live"


VMS_ADAPTER: Final = pydantic.TypeAdapter(tuple[ListedVm, ...])


class VmListStandin:
    """Serves the list; a change shows only after the lag.

    Attributes:
        vms: what the list shows.
        lag_seconds: how long a change takes to show.
    """

    def __init__(
        self, vms: tuple[ListedVm, ...] = (), lag_seconds: float = 0.0
    ) -> None:
        self.vms = vms
        self.lag_seconds = lag_seconds
        self.faults = faults.FaultControl(
            faults.Faults(), frozenset({"PUT /vms"})
        )
        self.tasks: set[asyncio.Task[None]] = set()

    def create_app(self) -> web.Application:
        """Return the application that serves the list."""
        app = web.Application()
        self.faults.install(app)
        app.router.add_get("/vms", self.get_vms)
        app.router.add_put("/vms", self.put_vms)
        return app

    async def get_vms(self, request: web.Request) -> web.Response:
        """Answer the list."""
        del request
        return web.json_response([dataclasses.asdict(vm) for vm in self.vms])

    async def put_vms(self, request: web.Request) -> web.Response:
        """Take a new list, which shows after the lag."""
        vms = VMS_ADAPTER.validate_json(await request.read())
        task = asyncio.create_task(self._publish_after_lag(vms))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return web.json_response({})

    async def _publish_after_lag(self, vms: tuple[ListedVm, ...]) -> None:
        await asyncio.sleep(self.lag_seconds)
        self.vms = vms
