"""One node: everything a machine runs, put together."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
import datetime
import json
import random
import time
from typing import Any, Final

from cicadahook.core import balancer as balancer_lib
from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import holder as holder_lib
from cicadahook.core import inventory as inventory_lib
from cicadahook.core import nodes
from cicadahook.core import popularity
from cicadahook.core import quarantine as quarantine_lib
from cicadahook.core import residency as residency_lib
from cicadahook.core import retrybudget
from cicadahook.core import roster as roster_lib
from cicadahook.core import routes
from cicadahook.core import storage
from cicadahook.net import copies as copies_lib
from cicadahook.net import directory as directory_lib
from cicadahook.net import forwarder as forwarder_lib
from cicadahook.net import leadership as leadership_lib
from cicadahook.net import logs
from cicadahook.net import orderer as orderer_lib
from cicadahook.net import peering
from cicadahook.net import watcher as watcher_lib

OWN_PREFIX: Final = "cicada/"
NODE_PREFIX: Final = "cicada/nodes/"
# Others that ran beside a crashing request are met with it by chance; the
# users' bound counts from the third crash.
MAX_DEATHS: Final = 3
RESTART_PAUSE: Final = datetime.timedelta(milliseconds=200)
HOUSEKEEPING_PERIOD: Final = datetime.timedelta(milliseconds=250)

logger: Final = logs.create_logger("node")


class ConfigurationListener:
    """Takes over each newer configuration."""

    def __init__(
        self,
        decode: Callable[[bytes], routes.Configuration],
        take: Callable[[routes.Configuration], None],
    ) -> None:
        self.decode = decode
        self.take = take
        self.version = 0

    def take_listing(
        self, listing: storage.Listing, *, is_after_outage: bool
    ) -> None:
        """Take the configuration that the store holds."""
        del is_after_outage
        for item in listing.items:
            self._take(item.value, item.revision)

    def take_changes(self, changes: storage.Changes) -> None:
        """Take each configuration written since."""
        for change in changes.changes:
            if change.value is not None:
                self._take(change.value, change.revision)

    def _take(self, value: bytes, revision: int) -> None:
        try:
            configuration = self.decode(value)
        except errors.CicadaError as error:
            logger.warning(
                "Configuration refused.",
                extra={"error": str(error), "revision": revision},
            )
            return
        if configuration.version <= self.version:
            return
        self.version = configuration.version
        logger.info(
            "Configuration in force.",
            extra={"version": configuration.version, "revision": revision},
        )
        self.take(configuration)


class InventoryListener:
    """Keeps the picture of the upstreams current."""

    def __init__(
        self,
        prefix: str,
        decode: Callable[[str, bytes], inventory_lib.Instance],
        stock: inventory_lib.Inventory,
        clock: clock_lib.Clock,
        on_change: Callable[[], None],
    ) -> None:
        self.prefix = prefix
        self.decode = decode
        self.stock = stock
        self.clock = clock
        self.on_change = on_change

    def take_listing(
        self, listing: storage.Listing, *, is_after_outage: bool
    ) -> None:
        """Replace all upstreams."""
        entries = [
            entry
            for item in listing.items
            if (entry := self._decode(item.key, item.value)) is not None
        ]
        self.stock.take_snapshot(
            entries, listing.revision, self.clock.now(), is_after_outage
        )
        logger.info(
            "Upstreams listed.",
            extra={"count": len(entries), "revision": listing.revision},
        )
        self.on_change()

    def take_changes(self, changes: storage.Changes) -> None:
        """Take note of each upstream that changed."""
        for change in changes.changes:
            name = change.key.removeprefix(self.prefix)
            entry = None
            if change.value is not None:
                entry = self._decode(change.key, change.value)
            if entry is None:
                self.stock.remove(name)
            else:
                self.stock.put(entry)
            logger.info(
                "Upstream changed.",
                extra={
                    "instance": name,
                    "revision": change.revision,
                    "is_leaving": entry.is_leaving if entry else None,
                    "models": sorted(entry.holdings) if entry else None,
                },
            )
        self.stock.revision = changes.revision
        self.on_change()

    def _decode(self, key: str, value: bytes) -> inventory_lib.Instance | None:
        try:
            return self.decode(key.removeprefix(self.prefix), value)
        except errors.CicadaError as error:
            logger.warning(
                "Entry of an upstream ignored.",
                extra={"key": key, "error": str(error)},
            )
            return None


class OwnKeysListener:
    """Follows the system's own keys: registrations and the holder."""

    def __init__(
        self,
        roster: roster_lib.Roster,
        turn: holder_lib.HolderMachine,
        clock: clock_lib.Clock,
    ) -> None:
        self.roster = roster
        self.turn = turn
        self.clock = clock
        self.items: dict[str, storage.Item] = {}
        self.is_holder_free = asyncio.Event()

    def take_listing(
        self, listing: storage.Listing, *, is_after_outage: bool
    ) -> None:
        """Replace all keys."""
        del is_after_outage
        self.items = {item.key: item for item in listing.items}
        self._apply(listing.revision)

    def take_changes(self, changes: storage.Changes) -> None:
        """Take note of changed keys."""
        for change in changes.changes:
            if change.value is None:
                self.items.pop(change.key, None)
            else:
                self.items[change.key] = storage.Item(
                    change.key, change.value, change.revision
                )
        self._apply(changes.revision)

    def _apply(self, revision: int) -> None:
        self.roster.take_registrations(self._decode_records())
        self.turn.take_keys(
            self.items.get(holder_lib.HOLDER_KEY),
            self.items.get(holder_lib.TERM_KEY),
            revision,
            self.clock.now(),
        )
        if self.turn.holder is None:
            self.is_holder_free.set()
        else:
            self.is_holder_free.clear()

    def _decode_records(self) -> Iterable[roster_lib.NodeRecord]:
        for key, item in self.items.items():
            if not key.startswith(NODE_PREFIX):
                continue
            try:
                yield roster_lib.NodeRecord(**json.loads(item.value))
            except (TypeError, ValueError) as error:
                logger.warning(
                    "Registration ignored.",
                    extra={"key": key, "error": repr(error)},
                )


class Node:
    """Wires the parts of one machine together.

    Attributes:
        is_stopping: whether new callers are to go elsewhere.
    """

    def __init__(
        self,
        settings: nodes.NodeSettings,
        store: storage.Store,
        client: Any,
        clock: clock_lib.Clock,
        configuration_key: str,
        instance_prefix: str,
        decode_configuration: Callable[[bytes], routes.Configuration],
        decode_instance: Callable[[str, bytes], inventory_lib.Instance],
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.generator = random.Random(settings.name + str(time.time_ns()))
        self.is_stopping = False
        self.number = 0
        incarnation = int(time.time() * 1000)
        self.record = roster_lib.NodeRecord(
            settings.name,
            settings.zone,
            settings.region,
            settings.front_address,
            settings.peer_address,
            incarnation,
        )
        self.roster = roster_lib.Roster(self.record)
        self.stock = inventory_lib.Inventory()
        self.residency = residency_lib.Residency()
        self.balancer = balancer_lib.Balancer(
            settings.zone, clock, self.generator
        )
        self.quarantine = quarantine_lib.Quarantine(
            quarantine_lib.QuarantineMode(max_deaths=MAX_DEATHS), clock
        )
        self.popularity = popularity.Popularity()
        self.turn = holder_lib.HolderMachine(
            settings.name,
            str(incarnation),
            settings.handover_pause,
            leadership_lib.LEASE,
        )
        self.orderer = orderer_lib.Orderer(
            self.turn,
            client,
            self.stock,
            clock,
            settings.load_window,
            lambda: self.forwarder.configuration,
            self.get_demand,
            self.balancer.list_used_copies,
        )
        self.copy_client = peering.CopyClient()
        self.copies = copies_lib.Copies(
            self.orderer, self.copy_client, self.roster, clock
        )
        self.forwarder = forwarder_lib.Forwarder(
            settings.name,
            forwarder_lib.Parts(
                clock,
                self.stock,
                self.residency,
                self.balancer,
                self.quarantine,
                client,
                self.copies,
                retrybudget.RetryBudgetMode(
                    settings.retry_ratio,
                    settings.retry_slack,
                    settings.retry_window,
                ),
                self.generator,
                self.popularity,
            ),
        )
        self.directory = directory_lib.Directory(
            self.roster, clock, self.is_ready, settings.address_lifetime
        )
        self.leadership = leadership_lib.Leadership(
            store,
            self.turn,
            storage.Put(
                NODE_PREFIX + settings.name,
                json.dumps(_to_fields(self.record)).encode(),
            ),
            clock,
        )
        self.own_keys = OwnKeysListener(self.roster, self.turn, clock)
        self.statuses = peering.StatusEndpoint(self.take_status)
        self.copy_server = peering.CopyServer(self.orderer.ensure)
        listeners: dict[str, watcher_lib.Listener] = {
            configuration_key: ConfigurationListener(
                decode_configuration, self.take_configuration
            ),
            instance_prefix: InventoryListener(
                instance_prefix,
                decode_instance,
                self.stock,
                clock,
                self.take_inventory,
            ),
            OWN_PREFIX: self.own_keys,
        }
        self.watcher = watcher_lib.Watcher(
            store, "", watcher_lib.Fanout(listeners), self.generator
        )
        self.tasks: set[asyncio.Task[None]] = set()

    def is_ready(self) -> bool:
        """Whether new callers may come."""
        is_informed = self.forwarder.configuration is not None
        return is_informed and bool(self.stock.instances) and not self.is_stopping

    def take_configuration(self, configuration: routes.Configuration) -> None:
        """Use a newer configuration."""
        self.forwarder.configuration = configuration

    def take_inventory(self) -> None:
        """Bring what depends on the upstreams up to date."""
        known = self.stock.instances
        for name in self.residency.incarnations.keys() - known.keys():
            self.residency.forget(name)
        for entry in known.values():
            self.residency.take_instance(entry)
        self.balancer.forget_others(known)
        self.forwarder.note_deaths(
            self.forwarder.crashes.compare(self.stock, self.clock.now())
        )

    def take_status(self, status: roster_lib.NodeStatus) -> None:
        """Take note of what another node tells."""
        if self.roster.take_status(status, self.clock.now()):
            self.balancer.take_peer_loads(status.node.name, status.loads)
            self.balancer.paces.take_peer(status.node.name, status.paces)
            self.quarantine.merge(status.suspects)
            self.withdraw(status.withdrawn)

    def withdraw(self, copies: Iterable[roster_lib.WithdrawnCopy]) -> None:
        """Send nothing more to copies that engines were ordered to drop."""
        now = self.clock.now()
        for copy in copies:
            self.residency.note_missing(
                residency_lib.CopyKey(copy.instance, copy.model), now
            )

    def get_demand(self, service: str) -> dict[str, float]:
        """Return the share of an engine that each model keeps busy."""
        now = self.clock.now()
        demand: dict[str, float] = {}
        for (name, model), share in self.popularity.list_shares(now).items():
            if name == service:
                demand[model] = demand.get(model, 0.0) + share
        for _, status in self.roster.list_heard(now):
            for wanted in status.wanted:
                if wanted.service == service:
                    demand[wanted.model] = (
                        demand.get(wanted.model, 0.0) + wanted.share
                    )
        return demand

    async def start(self) -> None:
        """Start all tasks that run beside the listening ports."""
        await self.statuses.open(self.settings.host, self.settings.peer_port)
        self._spawn(self.watcher.run)
        self._spawn(self.leadership.run)
        self._spawn(self._keep_house)
        self._spawn(self._tell_status)
        self._spawn(self._propose_when_free)
        self._spawn(self.orderer.run)

    async def stop(self) -> None:
        """Stop all tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.statuses.close()
        await self.copy_client.close()

    def _spawn(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        task = asyncio.create_task(self._supervise(run))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _supervise(
        self, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Start a task again if it fails: the others need its work."""
        while True:
            try:
                await run()
            except Exception:  # pylint: disable=broad-exception-caught
                logger.exception("A task failed and starts again.")
            await asyncio.sleep(RESTART_PAUSE.total_seconds())

    async def _keep_house(self) -> None:
        while True:
            now = self.clock.now()
            self.stock.drop_expired(now)
            self.forwarder.machines = self.roster.count_machines(now)
            self.withdraw(self.orderer.list_withdrawn())
            await asyncio.sleep(HOUSEKEEPING_PERIOD.total_seconds())

    async def _tell_status(self) -> None:
        while True:
            now = self.clock.now()
            self.statuses.send(
                self.create_status(), self.roster.list_peers(now)
            )
            await asyncio.sleep(peering.STATUS_PERIOD.total_seconds())

    async def _propose_when_free(self) -> None:
        while True:
            await self.own_keys.is_holder_free.wait()
            if self.leadership.lease:
                try:
                    await self.leadership.propose()
                except errors.KeyValueError as error:
                    logger.info("Not proposed.", extra={"error": str(error)})
            await asyncio.sleep(HOUSEKEEPING_PERIOD.total_seconds())

    def create_status(self) -> roster_lib.NodeStatus:
        """Return what this node tells the others."""
        now = self.clock.now()
        configuration = self.forwarder.configuration
        self.number += 1
        return roster_lib.NodeStatus(
            node=self.record,
            number=self.number,
            is_ready=self.is_ready(),
            is_holder=self.turn.can_send(now),
            fence=self.turn.fence,
            configuration=configuration.version if configuration else 0,
            inventory=self.stock.revision,
            loads=self.balancer.list_own_loads(),
            wanted=tuple(
                roster_lib.ModelDemand(service, model, share)
                for (service, model), share in self.popularity.list_shares(
                    now
                ).items()
            ),
            paces=tuple(self.balancer.paces.own.values()),
            withdrawn=self.orderer.list_withdrawn(),
            suspects=self.quarantine.list_suspects(),
        )


def _to_fields(record: roster_lib.NodeRecord) -> dict[str, object]:
    return {
        "name": record.name,
        "zone": record.zone,
        "region": record.region,
        "front_address": record.front_address,
        "peer_address": record.peer_address,
        "incarnation": record.incarnation,
    }
