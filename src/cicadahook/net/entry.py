"""The entry's HTTP API: what callers see."""

import dataclasses
import datetime
from typing import Any, Final

import aiohttp
from aiohttp import web

from cicadahook.core import admission
from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import view as view_lib
from cicadahook.net import attempts
from cicadahook.net import completions
from cicadahook.net import dispatch
from cicadahook.net import http as http_lib
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import services

LIVE_STATES: Final = frozenset(
    {view_lib.MemberState.ALIVE, view_lib.MemberState.SUSPECT}
)

logger: Final = logs.create_logger("entry")


@dataclasses.dataclass(frozen=True)
class EntryMode:
    """Settings of an entry.

    Attributes:
        name: name of its VM.
        zone: its availability zone.
        keep: how long callers may keep an address answer.
        admission: how requests are admitted and routed.
    """

    name: str
    zone: str
    keep: datetime.timedelta
    admission: admission.AdmissionMode


class Entry:
    """Routes callers' requests by the newest view."""

    def __init__(
        self,
        mode: EntryMode,
        clock: clock_lib.Clock,
        session: aiohttp.ClientSession,
    ) -> None:
        self.mode = mode
        self.dispatcher = dispatch.Dispatcher(mode.admission, clock)
        self.completions = completions.CompletionsApi(
            mode.name,
            clock,
            self.dispatcher,
            attempts.UpstreamCaller(session),
        )
        self.services = services.ServicesApi(clock, self.dispatcher, session)
        self.is_draining = False
        self.address = ""

    @property
    def view(self) -> view_lib.View:
        """The newest view."""
        return self.dispatcher.view

    def create_app(self) -> web.Application:
        """Return the application that serves callers."""
        app = http_lib.create_app()
        app.router.add_get("/healthz", self.check_health)
        app.router.add_get("/readyz", self.check_ready)
        app.router.add_get("/metrics", metrics.show)
        app.router.add_get("/v1/locate", self.locate)
        app.router.add_get("/v1/models", self.list_models)
        self.completions.install(app)
        self.services.install(app)
        app.middlewares.append(self.count_refusals)
        return app

    def take_view(self, new: view_lib.View) -> None:
        """Use `new` from now on, unless its table is older than ours."""
        if new.table.generation < self.view.table.generation:
            logger.warning(
                "Kept table %d: %s has older %d.",
                self.view.table.generation,
                new.control,
                new.table.generation,
            )
            new = dataclasses.replace(new, table=self.view.table)
        self.dispatcher.view = new

    def create_report(self) -> view_lib.Report:
        """Return what happened since the previous report."""
        return view_lib.Report(
            entry=self.address,
            generation=self.view.table.generation,
            draining=self.is_draining,
            uses=self.dispatcher.create_uses(),
            demands=self.dispatcher.take_demands(),
        )

    @web.middleware
    async def count_refusals(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Count each refusal by its code."""
        try:
            response: web.StreamResponse = await handler(request)
            return response
        except errors.RefusalError as refusal:
            metrics.count_refusal(refusal.code, self.mode.name)
            raise

    async def check_health(self, request: web.Request) -> web.Response:
        """Answer that the process lives."""
        del request
        return web.json_response({"state": "live"})

    async def check_ready(self, request: web.Request) -> web.Response:
        """Answer 200 once requests can be routed, and until it drains."""
        del request
        is_ready = bool(self.view.number) and not self.is_draining
        return web.json_response(
            {"ready": is_ready}, status=200 if is_ready else 503
        )

    async def locate(self, request: web.Request) -> web.Response:
        """Answer the entries that a caller should use, nearest zone first."""
        zone = request.query.get("zone", self.mode.zone)
        live = [
            member
            for member in self.view.members
            if member.state in LIVE_STATES
        ]
        live.sort(key=lambda member: (member.zone != zone, member.name))
        return web.json_response(
            {
                "entries": [
                    {"address": member.entry, "zone": member.zone}
                    for member in live
                ],
                "keep_seconds": self.mode.keep.total_seconds(),
                "key_prefix": f"{self.mode.name}.",
            }
        )

    async def list_models(self, request: web.Request) -> web.Response:
        """Answer all models and adapters."""
        del request
        return web.json_response(
            {
                "object": "list",
                "data": [
                    {
                        "id": row.name,
                        "object": "model",
                        "created": 0,
                        "owned_by": row.base or "cicadahook",
                    }
                    for row in self.view.table.placed()
                ],
            }
        )
