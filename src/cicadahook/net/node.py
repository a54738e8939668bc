"""The node process: creates, connects and runs all its components.

A node forwards callers' requests to upstreams, exchanges statuses with other
nodes and, while it is the holder, sends orders to engines.
"""

import asyncio
from collections.abc import Callable, Coroutine
import datetime
import functools
import random
import time
from typing import Any, Final

from cicadahook.core import allowances
from cicadahook.core import balancer as balancer_lib
from cicadahook.core import clock as clock_lib
from cicadahook.core import crash_suspects
from cicadahook.core import errors
from cicadahook.core import grants
from cicadahook.core import inventory as inventory_lib
from cicadahook.core import model_demand
from cicadahook.core import node_lifecycle
from cicadahook.core import order_holder
from cicadahook.core import picture_age
from cicadahook.core import residency as residency_lib
from cicadahook.core import retry_budget
from cicadahook.core import roster as roster_lib
from cicadahook.core import routes
from cicadahook.core import store_api
from cicadahook.core import store_sources
from cicadahook.core import stream_origins
from cicadahook.core import upstream_statements
from cicadahook.net import active_request
from cicadahook.net import address_directory
from cicadahook.net import change_feed
from cicadahook.net import copy_requests
from cicadahook.net import forwarder
from cicadahook.net import holder_lease
from cicadahook.net import logs
from cicadahook.net import node_peers
from cicadahook.net import node_platform
from cicadahook.net import order_sender
from cicadahook.net import orderer
from cicadahook.net import peer_probes
from cicadahook.net import peer_relay_messages
from cicadahook.net import peer_relay_server
from cicadahook.net import statement_recorder
from cicadahook.net import status_receiver
from cicadahook.net import status_reporter
from cicadahook.net import store_listeners
from cicadahook.net import store_relay
from cicadahook.net import store_watcher
from cicadahook.net import stream_resumption
from cicadahook.net import tasks as tasks_lib
from cicadahook.net import upstream_links
from cicadahook.net import version_recorder

RESTART_PAUSE: Final = datetime.timedelta(milliseconds=200)
MAINTENANCE_PERIOD: Final = datetime.timedelta(milliseconds=250)

logger: Final = logs.create_logger("node")


class Node:
    """Creates and connects the components of one node, and runs its tasks.

    Attributes:
        is_stopping: whether new callers must use another node.
        roster: the known nodes and their newest statuses.
        relayed_store: the store, or nodes that watch it.
        grants: grants received from other nodes while this one is the holder.
        links: the links to the upstreams, and ways around them.
        origins: software versions that began streams.
        copies: requests copies from the holder of orders.
        holder_state: this node's part in the choice of the holder.
        reporter: tells other nodes of this one.
        tasks: running background tasks.
    """

    def __init__(
        self,
        settings: node_lifecycle.NodeSettings,
        platform: node_platform.Platform,
        clock: clock_lib.Clock,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.is_stopping = False
        generator = random.Random(settings.name + str(time.time_ns()))
        self.roster = roster_lib.Roster(store_listeners.create_record(settings))
        self.grants = grants.ReceivedGrants()
        self.holder_state = order_holder.HolderStateMachine(
            settings.name,
            str(self.roster.own.incarnation),
            settings.handover_pause,
            holder_lease.LEASE_TTL,
        )
        statements = upstream_statements.UpstreamStatements(
            settings.name, generator
        )
        age = picture_age.PictureAge(clock)
        inventory = inventory_lib.Inventory(statements.leaving, age)
        residency = residency_lib.Residency()
        self.copy_client = node_peers.CopyClient()
        self.links = upstream_links.UpstreamLinks(
            platform.upstreams,
            inventory,
            statements,
            self.roster,
            clock,
            generator=generator,
            session=self.copy_client.session,
        )
        balancer = balancer_lib.Balancer(
            settings.zone, clock, generator, statements, self.links.reachability
        )
        self.orderer = orderer.Orderer(
            order_sender.OrderSender(
                self.holder_state,
                order_sender.PacedEngineApi(
                    platform.upstreams, statements, clock, settings.name
                ),
                clock,
                self.is_granted,
            ),
            orderer.PlanningInputs(
                inventory,
                lambda: self.forwarder.configuration,
                self.get_demand,
                balancer.list_used_copies,
                statements,
            ),
            clock,
            settings.load_window,
        )
        self.copies = copy_requests.CopyRequester(
            self.orderer,
            self.copy_client,
            self.roster,
            inventory,
            residency,
            clock,
        )
        self.components = active_request.ForwarderComponents(
            clock,
            inventory,
            residency,
            balancer,
            crash_suspects.CrashSuspects(clock),
            self.links.paths,
            self.copies,
            retry_budget.RetryBudgetMode(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window,
            ),
            generator,
            model_demand.ModelDemandTracker(),
            statements,
            self.links.reachability,
            self.links.may_have_ended,
            allowances.Allowances(
                settings.name,
                generator,
                is_first_start=settings.is_first_start,
                window=settings.allowance_window,
            ),
        )
        platform.upstreams.statement_listener = self.statement_recorder.record
        self.origins = stream_origins.StreamOrigins(
            is_first_start=settings.is_first_start
        )
        origin_client = stream_resumption.OriginClient(
            self.copy_client.session,
            lambda: self.roster.list_peers(self.clock.now()),
        )
        self.forwarder = forwarder.Forwarder(
            settings.name,
            self.components,
            stream_resumption.StreamResumption(
                self.origins,
                origin_client.ask,
                version_recorder.VersionRecorder(
                    platform.store,
                    version_recorder.RecorderInputs(
                        self.origins,
                        inventory,
                        self.roster,
                        lambda: bool(self.holder_state.fence),
                        self.is_store_current,
                        lambda: self.relayed_store.position,
                    ),
                    clock,
                ),
                clock,
                generator=generator,
                node=settings.name,
            ),
        )
        self.directory = address_directory.AddressDirectory(
            self.roster, clock, self.get_own_state, settings.address_lifetime
        )
        self.leadership = holder_lease.Leadership(
            platform.store,
            self.holder_state,
            store_api.Put(
                store_listeners.NODE_PREFIX + settings.name,
                store_listeners.encode_record(self.roster.own),
            ),
            clock,
            self.has_active_holder,
            self.is_cut_off_from_engines,
            is_granted=self.is_granted,
        )
        self.own_keys = store_listeners.OwnKeysListener(
            self.roster, self.holder_state, clock
        )
        self.relayed_store = store_relay.RelayedStore(
            platform.store,
            store_sources.StoreSources(self.roster, platform.store.contact),
            self.copy_client.session,
            age,
            platform.redact,
        )
        platform.store.eras.listeners += [
            self.leadership.apply_era,
            inventory.apply_era,
            self.relayed_store.apply_era,
            self.forwarder.resumption.apply_era,
        ]
        self.reporter = status_reporter.StatusReporter(
            status_reporter.StatusEndpoint(self.receiver.receive),
            status_reporter.StatusSources(
                self.roster,
                self.grants,
                self.holder_state,
                self.forwarder,
                self.orderer,
                self.links,
                self.origins,
                self.is_ready,
                platform.store.contact,
            ),
            clock,
        )
        self.watcher = self._create_watcher(platform, generator)
        self.tasks: set[asyncio.Task[None]] = set()

    def _create_watcher(
        self, platform: node_platform.Platform, generator: random.Random
    ) -> store_watcher.Watcher:
        """Return the watcher that passes store changes to the components."""
        listeners: dict[str, store_watcher.StoreListener] = {
            platform.configuration_key: store_listeners.ConfigurationListener(
                platform.decode_configuration, self.apply_configuration
            ),
            platform.instance_prefix: store_listeners.InventoryListener(
                platform.instance_prefix,
                platform.decode_instance,
                self.components.inventory,
                self.clock,
                self.apply_inventory,
            ),
            store_listeners.OWN_PREFIX: self.own_keys,
            **self.forwarder.resumption.recorders,
            "": self.relayed_store.feed,
        }
        return store_watcher.Watcher(
            self.relayed_store,
            "",
            store_watcher.PrefixFanout(listeners),
            generator,
            self.relayed_store.get_pause,
        )

    def is_granted(self) -> bool:
        """Whether all other nodes grant this one to go on as holder."""
        now = self.clock.now()
        needed = self.roster.list_required_granters(now)
        return self.grants.is_complete(needed, now)

    def has_active_holder(self) -> bool:
        """Whether another node reports that it sends orders."""
        return self.roster.find_holder(self.clock.now()) is not None

    def is_store_current(self) -> bool:
        """Whether the store answers and all registrations are known."""
        is_listed = self.components.inventory.position > store_api.ORIGIN
        return is_listed and self.watcher.is_connected

    def is_ready(self) -> bool:
        """Whether this node accepts new callers."""
        is_informed = self.forwarder.configuration is not None
        return (
            is_informed
            and bool(self.components.inventory.instances)
            and not self.is_stopping
        )

    @functools.cached_property
    def receiver(self) -> status_receiver.StatusReceiver:
        """Applies what other nodes tell."""
        return status_receiver.StatusReceiver(
            status_receiver.StatusTargets(
                self.roster,
                self.grants,
                self.holder_state,
                self.forwarder,
                self.links,
                self.origins,
                self.copies,
                self.relayed_store.store.eras,
            ),
            self.clock,
        )

    @functools.cached_property
    def relay_server(self) -> peer_relay_server.RelayServer:
        """Sends requests of other nodes to upstreams."""
        return peer_relay_server.RelayServer(
            self.components,
            self.links.client,
            self.forwarder.drain,
            self.settings.name,
            self.accepts_relayed,
        )

    def accepts_relayed(self, host: str) -> bool:
        """Whether a host may pass requests on through this node.

        Only nodes of the system may name the tenant that upstreams are told.
        """
        return (
            not self.forwarder.admission.needs_keys
            or self.roster.is_member_host(host, self.clock.now())
        )

    @functools.cached_property
    def statement_recorder(self) -> statement_recorder.StatementRecorder:
        """Records what upstreams say of themselves."""
        return statement_recorder.StatementRecorder(
            self.statements, self.clock, self.settings.name
        )

    @property
    def statements(self) -> upstream_statements.UpstreamStatements:
        """What upstreams say of themselves."""
        return self.components.statements

    def get_own_state(self) -> roster_lib.OwnState:
        """Return whether this node accepts callers, and lacks links."""
        return roster_lib.OwnState(self.is_ready(), self.links.is_cut_off())

    def is_cut_off_from_engines(self) -> bool:
        """Whether this node lacks most links to engines that others have."""
        configuration = self.forwarder.configuration
        if configuration is None:
            return False
        services = {each.name for each in configuration.list_engine_services()}
        return self.links.is_cut_off(services)

    def apply_configuration(self, configuration: routes.Configuration) -> None:
        """Replace the configuration by a newer one."""
        self.forwarder.configuration = configuration

    def apply_inventory(self) -> None:
        """Update the components that depend on the registered upstreams."""
        known = self.components.inventory.instances
        for name in (
            self.components.residency.incarnations.keys() - known.keys()
        ):
            self.components.residency.forget(name)
        for entry in known.values():
            self.components.residency.record_registration(entry)
        self.components.balancer.drop_unlisted(known)
        self.statements.update_registered(known)
        self.links.reachability.update_registered(known)
        self.forwarder.crash_guard.apply_inventory()

    def get_demand(self, service: str) -> dict[str, float]:
        """Return the demand for the models of a service, at all nodes."""
        now = self.clock.now()
        statuses = (status for _, status in self.roster.list_recent(now))
        return model_demand.sum_demand(
            service, self.components.demand_tracker.list_shares(now), statuses
        )

    def create_peer_server(self) -> node_peers.PeerServer:
        """Return the server of calls of other nodes."""
        copies = node_peers.CopyServer(self.orderer.ensure)
        answers = stream_resumption.OriginServer(self.origins)
        return node_peers.PeerServer(
            {
                node_peers.COPIES_PATH: copies.handle,
                stream_resumption.ORIGINS_PATH: answers.handle,
                change_feed.CHANGES_PATH: self.relayed_store.feed.handle,
                peer_relay_messages.RELAY_PATH: self.relay_server.handle,
                peer_probes.PROBE_PATH: peer_probes.ProbeServer(
                    self.components.inventory, self.links.find_out_reached
                ).handle,
            }
        )

    async def start(self) -> None:
        """Start all tasks that run beside the HTTP servers."""
        await self.reporter.endpoint.open(
            self.settings.host, self.settings.peer_port
        )
        self._start_task(self.watcher.run)
        self._start_task(self.leadership.run)
        self._start_task(self._keep_house)
        self._start_task(self.reporter.run)
        self._start_task(self._propose_when_open)
        self._start_task(self.orderer.run)
        self._start_task(self.relay_server.run)
        for recorder in self.forwarder.resumption.recorders.values():
            self._start_task(recorder.run)

    async def stop(self) -> None:
        """Send the last status to the other nodes and stop all tasks."""
        self.reporter.has_left = True
        self.reporter.send()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.reporter.endpoint.close()
        await self.copy_client.close()
        await self.links.close()

    def _start_task(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        task = asyncio.create_task(
            tasks_lib.keep_running(run, logger, RESTART_PAUSE)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _keep_house(self) -> None:
        """Do periodic maintenance until cancelled.

        The qualified names of this and the next tasks are metric label
        values, so they stay.
        """
        while True:
            now = self.clock.now()
            self.components.balancer.peer_expiry = max(
                balancer_lib.PEER_EXPIRY, self.roster.get_silence_limit()
            )
            self.components.inventory.drop_expired(now)
            self.origins.observe(
                self.components.inventory,
                now,
                is_current=self.is_store_current(),
            )
            self.forwarder.node_count = self.roster.count_nodes(now)
            self.statements.replace_nodes(self.roster.list_names(now))
            self.links.update_nodes()
            self.forwarder.admission.charges.update_nodes(self.roster)
            self.receiver.withdraw(self.orderer.list_withdrawn_copies())
            self.copies.waits.drop_idle(now)
            if self.holder_state.fence:
                self.copies.waits.merge(self.reporter.list_loads(), now)
            await asyncio.sleep(MAINTENANCE_PERIOD.total_seconds())

    async def _propose_when_open(self) -> None:
        while True:
            await self.own_keys.is_holder_vacant.wait()
            if self.leadership.lease:
                try:
                    await self.leadership.propose()
                except errors.KeyValueError as error:
                    logger.info(
                        "Proposal as holder failed; it is tried again.",
                        extra={"error": str(error)},
                    )
            await asyncio.sleep(MAINTENANCE_PERIOD.total_seconds())
