"""Stand-in for the platform's VM list, whose changes appear with a lag."""

import asyncio
import dataclasses
from typing import Final

from aiohttp import web
import pydantic

from cicadahook.standins import faults


@dataclasses.dataclass(frozen=True)
class ListedVm:
    """An entry of the VM list.

    Attributes:
        address: `host:port` of the engine or service on the VM.
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
    """Serves the VM list; a change appears in it only after the lag.

    Attributes:
        vms: VMs that the list contains now.
        lag_seconds: time until a change appears.
        faults: faults in force.
        tasks: tasks that hold back a change until it appears.
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
        """Return the list."""
        del request
        return web.json_response([dataclasses.asdict(vm) for vm in self.vms])

    async def put_vms(self, request: web.Request) -> web.Response:
        """Accept a new list, which replaces the current one after the lag."""
        vms = VMS_ADAPTER.validate_json(await request.read())
        task = asyncio.create_task(self._publish_after_lag(vms))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return web.json_response({})

    async def _publish_after_lag(self, vms: tuple[ListedVm, ...]) -> None:
        await asyncio.sleep(self.lag_seconds)
        self.vms = vms
