"""Listeners that apply changes of the platform's store to a node.

Each listener handles the keys below one prefix: the configuration, the
upstreams, or the system's own keys.
"""

import asyncio
from collections.abc import Callable, Iterable
import time
from typing import Final

import msgspec

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import inventory as inventory_lib
from cicadahook.core import node_lifecycle
from cicadahook.core import order_holder
from cicadahook.core import roster as roster_lib
from cicadahook.core import routes
from cicadahook.core import store_api
from cicadahook.core import store_sources
from cicadahook.net import logs

# The system's own keys, and those of its nodes.
OWN_PREFIX: Final = "cicada/"
NODE_PREFIX: Final = "cicada/nodes/"
# A version with a thousand malformed entries still fits into one line.
MAX_PROBLEMS: Final = 10

RECORDS: Final = msgspec.json.Decoder(roster_lib.NodeRecord)

logger: Final = logs.create_logger("node")


def create_record(
    settings: node_lifecycle.NodeSettings,
) -> roster_lib.NodeRecord:
    """Return the record of this node and process start for other nodes."""
    return roster_lib.NodeRecord(
        settings.name,
        settings.zone,
        settings.region,
        settings.front_address,
        settings.peer_address,
        int(time.time() * 1000),
        0.0 < settings.link_mbps < store_sources.MIN_LINK_MBPS,
    )


def encode_record(record: roster_lib.NodeRecord) -> bytes:
    """Return the value of a node's registration in the store."""
    return msgspec.json.encode(record)


class ConfigurationListener:
    """Applies each newer configuration.

    Attributes:
        decode: decodes a configuration.
        apply: applies a configuration.
        version: version of the latest applied configuration.
    """

    def __init__(
        self,
        decode: Callable[[bytes], routes.Configuration],
        apply: Callable[[routes.Configuration], None],
    ) -> None:
        self.decode = decode
        self.apply = apply
        self.version = 0

    def apply_listing(
        self, listing: store_api.Listing, *, is_after_outage: bool
    ) -> None:
        """Apply the configuration in the store, if it is newer."""
        del is_after_outage
        for item in listing.items:
            self._apply_value(item.value, item.position)

    def apply_changes(self, changes: store_api.Changes) -> None:
        """Apply each newer configuration among the changes."""
        for change in changes.changes:
            if change.value is not None:
                self._apply_value(change.value, change.position)

    def _apply_value(self, value: bytes, position: store_api.Position) -> None:
        try:
            configuration = self.decode(value)
        except errors.CicadaError as error:
            logger.warning(
                "Configuration could not be decoded; it is ignored.",
                extra={"error": str(error), "position": str(position)},
            )
            return
        if configuration.version <= self.version:
            return
        self.version = configuration.version
        logger.info(
            "Configuration applied.",
            extra={
                "version": configuration.version,
                "position": str(position),
                "tenants": len(configuration.tenants.by_name),
            },
        )
        if configuration.tenants.problems:
            logger.warning(
                "Malformed tenants in the configuration; the rest is served.",
                extra={
                    "version": configuration.version,
                    "problems": configuration.tenants.problems[:MAX_PROBLEMS],
                    "count": len(configuration.tenants.problems),
                },
            )
        self.apply(configuration)


class InventoryListener:
    """Keeps the inventory of upstreams up to date."""

    def __init__(
        self,
        prefix: str,
        decode: Callable[[str, bytes], inventory_lib.Instance],
        inventory: inventory_lib.Inventory,
        clock: clock_lib.Clock,
        on_change: Callable[[], None],
    ) -> None:
        self.prefix = prefix
        self.decode = decode
        self.inventory = inventory
        self.clock = clock
        self.on_change = on_change

    def apply_listing(
        self, listing: store_api.Listing, *, is_after_outage: bool
    ) -> None:
        """Replace all upstreams by those listed."""
        instances = [
            instance
            for item in listing.items
            if (instance := self._decode(item.key, item.value)) is not None
        ]
        self.inventory.apply_snapshot(
            instances, listing.position, self.clock.now(), is_after_outage
        )
        logger.info(
            "Upstreams listed.",
            extra={
                "count": len(instances),
                "position": str(listing.position),
            },
        )
        self.on_change()

    def apply_changes(self, changes: store_api.Changes) -> None:
        """Apply changes of single upstreams."""
        for change in changes.changes:
            name = change.key.removeprefix(self.prefix)
            instance = None
            if change.value is not None:
                instance = self._decode(change.key, change.value)
            if instance is None:
                self.inventory.remove(name)
            else:
                self.inventory.put(instance)
            logger.info(
                "Upstream changed.",
                extra={
                    "instance": name,
                    "position": str(change.position),
                    "is_leaving": instance.is_leaving if instance else None,
                    "software": instance.software if instance else None,
                    "models": sorted(instance.holdings) if instance else None,
                },
            )
        self.inventory.position = changes.position
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
    """Follows the system's own keys: registrations of nodes and the holder."""

    def __init__(
        self,
        roster: roster_lib.Roster,
        holder_state: order_holder.HolderStateMachine,
        clock: clock_lib.Clock,
    ) -> None:
        self.roster = roster
        self.holder_state = holder_state
        self.clock = clock
        self.items: dict[str, store_api.Item] = {}
        self.is_holder_vacant = asyncio.Event()

    def apply_listing(
        self, listing: store_api.Listing, *, is_after_outage: bool
    ) -> None:
        """Replace all keys by those listed."""
        del is_after_outage
        self.items = {item.key: item for item in listing.items}
        self._apply(listing.position)

    def apply_changes(self, changes: store_api.Changes) -> None:
        """Apply changes of single keys."""
        for change in changes.changes:
            if change.value is None:
                self.items.pop(change.key, None)
            else:
                self.items[change.key] = store_api.Item(
                    change.key, change.value, change.position
                )
        self._apply(changes.position)

    def _apply(self, position: store_api.Position) -> None:
        self.roster.replace_registrations(self._decode_records())
        self.holder_state.observe_keys(
            self.items.get(order_holder.HOLDER_KEY),
            self.items.get(order_holder.TERM_KEY),
            self.items.get(order_holder.PAUSE_END_KEY),
            position,
            self.clock.now(),
        )
        if self.holder_state.is_vacant():
            self.is_holder_vacant.set()
        else:
            self.is_holder_vacant.clear()

    def _decode_records(self) -> Iterable[roster_lib.NodeRecord]:
        for key, item in self.items.items():
            if not key.startswith(NODE_PREFIX):
                continue
            try:
                yield RECORDS.decode(item.value)
            except (msgspec.MsgspecError, RecursionError) as error:
                logger.warning(
                    "Registration could not be decoded; it is ignored.",
                    extra={"key": key, "error": repr(error)},
                )
