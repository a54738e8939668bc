"""A control: follows table, upstreams and members, and publishes views."""

import asyncio
import contextlib
import dataclasses
from typing import Any, Final

import aiohttp
from aiohttp import web
import reactivex
from reactivex import operators as ops

from cicadahook.core import budget
from cicadahook.core import clock as clock_lib
from cicadahook.core import drains
from cicadahook.core import placement
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib
from cicadahook.net import engine
from cicadahook.net import figures
from cicadahook.net import fleet as fleet_lib
from cicadahook.net import http as http_lib
from cicadahook.net import keyvalue
from cicadahook.net import links
from cicadahook.net import logs
from cicadahook.net import members
from cicadahook.net import metrics
from cicadahook.net import operators
from cicadahook.net import placer
from cicadahook.net import tables
from cicadahook.net import wall

logger: Final = logs.create_logger("control")


@dataclasses.dataclass(frozen=True)
class ControlMode:
    """Settings of a control.

    Attributes:
        own: this VM as other members see it.
        key_value: `host:port` of the key-value service.
        vm_list: `host:port` of the VM list.
        placement: how copies are placed.
        operator_token: what operators must send to change anything; empty
            lets everyone.
    """

    own: view_lib.Member
    key_value: str
    vm_list: str
    placement: placement.PlacementMode
    operator_token: str = ""


class Control:
    """Wires the parts of a control and owns their tasks."""

    def __init__(
        self,
        mode: ControlMode,
        clock: clock_lib.Clock,
        session: aiohttp.ClientSession,
    ) -> None:
        self.mode = mode
        self.clock = clock
        client = keyvalue.KeyValueClient(mode.key_value, session)
        self.store = tables.TableStore(
            client.for_caller("table", budget.Priority.HIGH),
            mode.own.name,
            clock,
        )
        self.tables = self.store.tables
        self.fleet = fleet_lib.FleetWatcher(mode.vm_list, session)
        self.registry = members.MemberRegistry(client, mode.own)
        self.links = links.LinkServer(self.take_report)
        self.placer = placer.Placer(
            mode.own.name, client, engine.EngineClient(session), mode.placement
        )
        self.figures = figures.FigureKeeper(
            mode.own.name, mode.own.entry, clock, session
        )
        self.operators = operators.OperatorsApi(
            self.figures, self.store, self.links, mode.operator_token
        )
        self.wall = wall.WallApi(
            self.figures, self.links, clock, session, lambda: self.fleet.polls
        )
        self.view_count = 0
        self.tasks: list[asyncio.Task[None]] = []
        self._connect()

    def create_app(self) -> web.Application:
        """Return the application for entries and operators."""
        app = http_lib.create_app()
        app.router.add_get("/healthz", self.check_health)
        app.router.add_get("/readyz", self.check_ready)
        app.router.add_get("/metrics", metrics.show)
        app.router.add_get(links.LINK_PATH, self.links.serve)
        self.operators.install(app)
        self.wall.install(app)
        return app

    def _connect(self) -> None:
        """Derive views from the flows of tables, upstreams and members."""
        reactivex.combine_latest(
            self.tables, self.fleet.fleets, self.registry.members
        ).pipe(ops.map(self._create_view)).subscribe(self.links.views)
        self.tables.subscribe(self._give_table)
        self.fleet.fleets.subscribe(self._give_fleet)

    def _give_table(self, table: table_lib.Table) -> None:
        self.placer.table = table
        self._give_fleet(self.fleet.fleets.value)

    def _give_fleet(self, fleet: fleet_lib.Fleet) -> None:
        """Give the fleet to the placer, drained upstreams as leaving."""
        marked = drains.mark_for_placement(fleet.upstreams, self.tables.value)
        self.placer.fleet = dataclasses.replace(fleet, upstreams=marked)

    def _create_view(self, parts: Any) -> view_lib.View:
        """Return the next view."""
        table, fleet, known = parts
        self.view_count += 1
        return view_lib.View(
            control=self.mode.own.name,
            number=self.view_count,
            table=table,
            upstreams=drains.mark_for_routing(
                fleet.upstreams, fleet.copies, table
            ),
            copies=fleet.copies,
            members=drains.mark_members(known, table),
        )

    def take_report(self, report: view_lib.Report) -> None:
        """Note what an entry reports."""
        logger.debug("Report of %s.", report.entry)
        self.figures.take_report(report)

    def start(self) -> None:
        """Start the tasks."""
        for coroutine in (
            self.store.run(),
            self.store.run_catch_up(),
            self.fleet.run(),
            self.registry.run(),
            self.placer.run(),
        ):
            self.tasks.append(asyncio.create_task(coroutine))

    async def stop(self) -> None:
        """Leave and end the tasks."""
        for task in self.tasks:
            task.cancel()
        for task in self.tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self.registry.leave()

    async def check_health(self, request: web.Request) -> web.Response:
        """Answer that the process lives."""
        del request
        return web.json_response({"state": "live"})

    async def check_ready(self, request: web.Request) -> web.Response:
        """Answer 200 once a table is in force."""
        del request
        is_ready = self.tables.value.generation > 0
        return web.json_response(
            {"ready": is_ready}, status=200 if is_ready else 503
        )
