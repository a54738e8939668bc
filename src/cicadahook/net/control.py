"""The control process: creates, connects and runs all its components.

A control follows the table, the upstreams and the members, plans placement
while it leads, and publishes views to the entries linked to it.
"""

import asyncio
import contextlib
import dataclasses
import datetime
from typing import Final

import aiohttp
from aiohttp import web
import reactivex

from cicadahook.core import clock as clock_lib
from cicadahook.core import drain_marks
from cicadahook.core import keyvalue_limits
from cicadahook.core import placement
from cicadahook.core import table as table_lib
from cicadahook.core import view
from cicadahook.net import control_links
from cicadahook.net import control_peers
from cicadahook.net import dashboard
from cicadahook.net import engine_client
from cicadahook.net import entry_metrics
from cicadahook.net import entry_reports
from cicadahook.net import fleet as fleet_lib
from cicadahook.net import gossip
from cicadahook.net import http_server
from cicadahook.net import keyvalue
from cicadahook.net import logs
from cicadahook.net import member_registry
from cicadahook.net import metrics
from cicadahook.net import operators_api
from cicadahook.net import placer
from cicadahook.net import table_store
from cicadahook.net import tasks as tasks_lib

VIEW_PAUSE: Final = datetime.timedelta(seconds=0.1)
LOAD_PAUSE: Final = datetime.timedelta(seconds=0.4)

logger: Final = logs.create_logger("control")


@dataclasses.dataclass(frozen=True)
class ControlMode:
    """Settings of a control.

    Attributes:
        own: the member record of this VM.
        key_value: `host:port` of the key-value service.
        vm_list: `host:port` of the VM list.
        placement: settings of placement.
        operator_token: token that operators must send with every change;
            empty to allow changes without one.
        cluster_key: secret shared by all controls.
        peers: addresses of controls through which to join the cluster.
        call_budget: limits of the calls to the key-value service.
    """

    own: view.Member
    key_value: str
    vm_list: str
    placement: placement.PlacementMode
    operator_token: str = ""
    cluster_key: str = ""
    peers: tuple[str, ...] = ()
    call_budget: keyvalue_limits.BudgetMode = keyvalue_limits.BudgetMode()


class Control:
    """Creates and connects the components of a control; owns their tasks."""

    def __init__(
        self,
        mode: ControlMode,
        clock: clock_lib.Clock,
        session: aiohttp.ClientSession,
    ) -> None:
        self.mode = mode
        self.clock = clock
        client = keyvalue.KeyValueClient(
            mode.key_value,
            session,
            gate=keyvalue.CallGate(clock, mode=mode.call_budget),
        )
        self.store = table_store.TableStore(
            client.for_caller("table", keyvalue_limits.Priority.HIGH),
            mode.own.name,
            clock,
        )
        self.tables = self.store.tables
        self.fleet = fleet_lib.FleetWatcher(mode.vm_list, session)
        self.registry = member_registry.MemberRegistry(
            client.for_caller("members"), mode.own
        )
        self.gossip = gossip.GossipEndpoint(mode.own, mode.cluster_key, clock)
        self.peers = control_peers.PeerApi(
            self.store, self.gossip.sealer, session
        )
        self.reports = entry_reports.EntryReportTracker(
            mode.own.entry, self.gossip, clock
        )
        self.links = control_links.LinkServer(
            self.record_report, self._adapt_view
        )
        self.placer = placer.Placer(
            mode.own.name,
            client.for_caller("placement"),
            engine_client.EngineClient(session),
            mode.placement,
        )
        self.entry_metrics = entry_metrics.EntryMetricsCollector(
            mode.own.name, mode.own.entry, clock, session
        )
        self.operators = operators_api.OperatorsApi(
            self.entry_metrics, self.store, self.links, mode.operator_token
        )
        self.dashboard = dashboard.DashboardApi(
            self.entry_metrics,
            self.links,
            clock,
            session,
            lambda: self.fleet.poll_count,
        )
        self.view_count = 0
        self.changed = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self._connect()

    def create_app(self) -> web.Application:
        """Return the HTTP application for entries, operators and peers."""
        app = http_server.create_app()
        app.router.add_get("/healthz", self.check_health)
        app.router.add_get("/readyz", self.check_ready)
        app.router.add_get("/metrics", metrics.serve)
        app.router.add_get(control_links.LINK_PATH, self.links.serve)
        self.operators.install(app)
        self.dashboard.install(app)
        self.peers.install(app)
        self.placer.install(app)
        return app

    def _connect(self) -> None:
        """Subscribe the components to each other's changing state."""
        self.store.fetch_from_peer = self.peers.fetch
        self.tables.subscribe(self._apply_table)
        self.fleet.fleets.subscribe(self._apply_fleet)
        self.gossip.newest.subscribe(
            lambda newest: self.store.record_newest(
                newest.generation, newest.source
            )
        )
        self.registry.seeds.subscribe(
            lambda seeds: self.gossip.set_seeds((*seeds, *self.mode.peers))
        )
        reactivex.combine_latest(
            self.tables, self.fleet.fleets, self.gossip.members
        ).subscribe(lambda _: self.changed.set())

    def _apply_table(self, table: table_lib.Table) -> None:
        self.placer.table = table
        self._apply_fleet(self.fleet.fleets.value)
        self.gossip.announce_table(table.generation)

    def _apply_fleet(self, fleet: fleet_lib.Fleet) -> None:
        """Pass the fleet to the placer, with drained upstreams as leaving."""
        self.store.upstreams = fleet.upstreams
        marked = drain_marks.mark_for_placement(
            fleet.upstreams, self.tables.value
        )
        self.placer.fleet = dataclasses.replace(fleet, upstreams=marked)

    def record_report(self, report: view.Report) -> None:
        """Record the report of an entry."""
        self.reports.record(report)
        self.entry_metrics.record_report(report)

    def _adapt_view(self, newest: view.View, entry: str) -> view.View:
        """Return `newest` without the loads that `entry` itself reported."""
        load_aggregator = self.gossip.load_aggregator
        return dataclasses.replace(
            newest,
            peer_loads=load_aggregator.sum_upstreams(entry),
            peer_row_loads=load_aggregator.sum_rows(entry),
        )

    async def _publish_views(self) -> None:
        """Publish a view after each change, and loads every LOAD_PAUSE.

        The qualified name of this method is the value of a metric label.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOAD_PAUSE.total_seconds()):
                    await self.changed.wait()
            self.changed.clear()
            self._exchange_state()
            new = self._create_view()
            if dataclasses.replace(new, number=self.view_count) != (
                self.links.views.value
            ):
                self.view_count += 1
                self.links.views.on_next(
                    dataclasses.replace(new, number=self.view_count)
                )
            await asyncio.sleep(VIEW_PAUSE.total_seconds())

    def _exchange_state(self) -> None:
        """Pass generations, states and demand between the components."""
        generation = self.tables.value.generation
        self.gossip.set_generation_in_force(
            self.reports.generation_in_force(generation)
        )
        self.gossip.set_state(self.reports.state())
        self.store.peers = self.gossip.find_peers()
        self.placer.update_demand(self.gossip.load_aggregator.rates())

    def _create_view(self) -> view.View:
        """Return a view of the current state and the loads of all entries."""
        fleet = self.fleet.fleets.value
        table = self.tables.value
        return view.View(
            control=self.mode.own.name,
            table=table,
            upstreams=drain_marks.mark_for_routing(
                fleet.upstreams, fleet.copies, table
            ),
            copies=fleet.copies,
            members=drain_marks.mark_members(
                self.reports.correct_members(self.gossip.members.value), table
            ),
            peer_loads=self.gossip.load_aggregator.sum_upstreams(),
            peer_row_loads=self.gossip.load_aggregator.sum_rows(),
            suspects=self.gossip.load_aggregator.merge_suspects(),
        )

    async def start(self) -> None:
        """Open the gossip socket and start the tasks.

        Raises:
            OSError: the UDP port is in use.
        """
        host, _, port = self.mode.own.control.rpartition(":")
        await self.gossip.open(host, int(port))
        for run in (
            self.store.run,
            self.store.run_catch_up,
            self.fleet.run,
            self.registry.run,
            self.gossip.run,
            self.placer.run,
            self._publish_views,
        ):
            self.tasks.append(
                asyncio.create_task(tasks_lib.keep_running(run, logger))
            )

    async def stop(self) -> None:
        """Notify peers, hand over linked entries, remove the registration."""
        for task in self.tasks:
            task.cancel()
        for task in self.tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self.gossip.close()
        await self.links.close()
        await self.registry.leave()

    async def check_health(self, request: web.Request) -> web.Response:
        """Respond that the process is alive."""
        del request
        return web.json_response({"state": "live"})

    async def check_ready(self, request: web.Request) -> web.Response:
        """Respond with status 200 once a table is in force, else 503."""
        del request
        is_ready = self.tables.value.generation > 0
        return web.json_response(
            {"ready": is_ready}, status=200 if is_ready else 503
        )
