"""Keeps the record of the software versions that begin streams in the store.

`VersionRecords` decides what it says; the holder of orders writes it, and any
node adds a version that it wants to use.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import inventory as inventory_lib
from cicadahook.core import roster as roster_lib
from cicadahook.core import status_schedule
from cicadahook.core import store_api
from cicadahook.core import stream_origins
from cicadahook.core import version_records
from cicadahook.net import logs

PERIOD: Final = datetime.timedelta(milliseconds=250)
# The holder adds new versions; the others do where it does not.
ADDITION_DELAY: Final = datetime.timedelta(seconds=1)
# Longer than a change takes to come back by the watch.
WATCH_DELAY: Final = datetime.timedelta(seconds=1.2)
# Callers that resume streams at about the same time share one read.
READ_DELAY: Final = datetime.timedelta(milliseconds=20)
READ_TIMEOUT: Final = datetime.timedelta(milliseconds=500)
# Changes that precede a read arrive by the watch within this time.
CATCH_UP_TIMEOUT: Final = datetime.timedelta(milliseconds=400)
CATCH_UP_POLL: Final = datetime.timedelta(milliseconds=10)

logger: Final = logs.create_logger("versions")


@dataclasses.dataclass(frozen=True)
class RecorderInputs:
    """What the recorder looks at.

    Attributes:
        origins: versions that were registered.
        inventory: the registered upstreams.
        roster: the other nodes.
        is_holder: whether this node is the holder of orders.
        is_current: whether the store answers this node.
        get_position: returns the position that this node's picture has reached.
    """

    origins: stream_origins.StreamOrigins
    inventory: inventory_lib.Inventory
    roster: roster_lib.Roster
    is_holder: Callable[[], bool]
    is_current: Callable[[], bool]
    get_position: Callable[[], store_api.Position]


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """The record as the store holds it.

    Attributes:
        record: the record; None if there is none.
        position: position of the store at the read.
    """

    record: version_records.VersionRecord | None
    position: store_api.Position


class VersionRecorder:
    """Follows, writes and reads the record.

    Attributes:
        store: the platform's store.
        inputs: what the record depends on.
        clock: the time.
        records: what is known of the record.
        lease: lease for a new record; 0 without one.
        renewed: when the lease of the record was last renewed.
        missing_since: since when a registered version is not in the record.
        resting_until: until when the last write may not be known here.
        reading: the next read, which has not begun.
    """

    def __init__(
        self,
        store: store_api.Store,
        inputs: RecorderInputs,
        clock: clock_lib.Clock,
    ) -> None:
        self.store = store
        self.inputs = inputs
        self.clock = clock
        self.records = version_records.VersionRecords(
            is_first_start=inputs.origins.is_first_start
        )
        self.lease = 0
        self.renewed = clock.now()
        self.missing_since: datetime.datetime | None = None
        self.resting_until = clock.now()
        self.reading: asyncio.Task[Reading | None] | None = None

    def apply_listing(
        self, listing: store_api.Listing, *, is_after_outage: bool
    ) -> None:
        """Replace the record by the one listed."""
        del is_after_outage
        items = {item.key: item for item in listing.items}
        self.records.replace(
            items.get(version_records.RECORD_KEY), self.clock.now()
        )

    def apply_changes(self, changes: store_api.Changes) -> None:
        """Apply changes of the record."""
        for change in changes.changes:
            if change.key != version_records.RECORD_KEY:
                continue
            item = None
            if change.value is not None:
                item = store_api.Item(change.key, change.value, change.position)
            self.records.replace(item, self.clock.now())

    def apply_era(self) -> None:
        """Forget the lease for a new record; an older copy may lack it."""
        self.lease = 0

    async def run(self) -> None:
        """Keep the record up to date until cancelled.

        The qualified name of this method is the value of a metric label.
        """
        while True:
            if self.inputs.is_current():
                try:
                    await self._update()
                except errors.KeyValueError as error:
                    if isinstance(error, store_api.LeaseEndedError):
                        self.lease = 0
                    logger.info(
                        "Record of versions not written; it is tried again.",
                        extra={"error": str(error)},
                    )
            await asyncio.sleep(PERIOD.total_seconds())

    async def _update(self) -> None:
        now = self.clock.now()
        if self.inputs.is_holder():
            await self._renew(now)
            write = self.records.plan(self._observe(now), self.lease, now)
        else:
            self.lease = 0
            write = self._plan_late_additions(now)
        if write is None or now < self.resting_until:
            return
        # The watch tells of the own change, or of another one, by then.
        self.resting_until = now + WATCH_DELAY
        await self.store.write(write)
        logger.info(
            "Record of versions written.",
            extra={"record": write.puts[0].value.decode()},
        )

    async def _renew(self, now: datetime.datetime) -> None:
        """Renew the lease of the record, or get one for a new record."""
        stored = self.records.stored
        if stored is None or stored.record is None:
            if not self.lease:
                self.lease = await self.store.grant_lease(
                    version_records.LEASE_TTL
                )
                self.renewed = now
            return
        self.lease = 0
        if now - self.renewed < version_records.RENEWAL_PERIOD:
            return
        self.renewed = now
        await self.store.renew_lease(stored.record.lease)

    def _plan_late_additions(
        self, now: datetime.datetime
    ) -> store_api.Write | None:
        write = self.records.plan_additions(
            self.inputs.inventory.instances.values()
        )
        if write is None:
            self.missing_since = None
        elif self.missing_since is None:
            self.missing_since = now
        elif now - self.missing_since >= ADDITION_DELAY:
            self.missing_since = None
            return write
        return None

    def _observe(self, now: datetime.datetime) -> version_records.Observation:
        roster = self.inputs.roster
        peers = list(roster.list_peers(now))
        heard = [status for _, status in roster.list_recent(now)]
        capability = status_schedule.RECORDED_VERSIONS
        versions = self.inputs.origins.list_versions()
        for entry in self.inputs.inventory.instances.values():
            versions.setdefault(entry.service, set()).add(entry.software)
        return version_records.Observation(
            versions,
            self.inputs.origins.is_gapless(now),
            all(roster.supports(peer, capability) for peer in peers),
            any(capability not in status.capabilities for status in heard),
        )

    async def find_only(self, service: str) -> str | None:
        """Return the version of all streams of a service, if there is one.

        The store is asked after the call, so a version that began a stream
        before it is in the answer.
        """
        now = self.clock.now()
        stored = self.records.stored
        is_recorded = (
            stored is not None
            and stored.record is not None
            and stored.record.find_only(service) is not None
            # Older builds use versions that the record may not name yet.
            and not self._observe(now).has_older_nodes
        )
        if not is_recorded and not self.inputs.origins.find_only(service, now):
            return None
        if self.reading is None:
            self.reading = asyncio.create_task(self._read())
        reading = await asyncio.shield(self.reading)
        if reading is None:
            return None
        if not is_recorded:
            return await self._find_registered(service, reading.position)
        record = reading.record
        software = record.find_only(service) if record else None
        return self._confirm(service, software)

    async def _find_registered(
        self, service: str, position: store_api.Position
    ) -> str | None:
        """Return the only version that was registered lately, if there is one.

        Args:
            service: name of the service.
            position: position that the picture of the registrations must reach.
        """
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT.total_seconds()):
                while self.inputs.get_position() < position:
                    await asyncio.sleep(CATCH_UP_POLL.total_seconds())
        except TimeoutError:
            logger.info(
                "Version not named; the picture of the store is behind.",
                extra={
                    "service": service,
                    "position": str(position),
                    "own_position": str(self.inputs.get_position()),
                },
            )
            return None
        now = self.clock.now()
        self.inputs.origins.observe(
            self.inputs.inventory, now, is_current=self.inputs.is_current()
        )
        return self._confirm(
            service, self.inputs.origins.find_only(service, now)
        )

    def _confirm(self, service: str, software: str | None) -> str | None:
        """Return a version unless another one is registered."""
        registered = {
            entry.software
            for entry in self.inputs.inventory.instances.values()
            if entry.service == service
        }
        return software if registered <= {software} else None

    async def _read(self) -> Reading | None:
        await asyncio.sleep(READ_DELAY.total_seconds())
        self.reading = None
        try:
            async with asyncio.timeout(READ_TIMEOUT.total_seconds()):
                listing = await self.store.list_items(
                    version_records.RECORD_KEY
                )
        except (errors.KeyValueError, TimeoutError) as error:
            logger.info(
                "Record of versions not read.", extra={"error": repr(error)}
            )
            return None
        for item in listing.items:
            if item.key == version_records.RECORD_KEY:
                return Reading(
                    version_records.decode_record(
                        item.value, listing.position.era
                    ),
                    listing.position,
                )
        return Reading(None, listing.position)
