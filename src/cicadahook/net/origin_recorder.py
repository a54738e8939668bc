"""Keeps the origins of streams in the store, see `origin_records`."""

import asyncio
import datetime
from typing import Final

from cicadahook.core import errors
from cicadahook.core import origin_records
from cicadahook.core import status_schedule
from cicadahook.core import store_api
from cicadahook.core import stream_origins
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import version_recorder

# Streams that began within this time, and the time that nodes take to tell of
# them, may be missing after the loss of all nodes.
PERIOD: Final = datetime.timedelta(milliseconds=400)
# Each lease is used for a part of its length, so that keys live for at least
# the other part.
LEASE_USE: Final = datetime.timedelta(seconds=40)
LEASE_TTL: Final = LEASE_USE + stream_origins.RETENTION

logger: Final = logs.create_logger("versions")


class OriginRecorder:
    """Writes and reads the origins in the store.

    Attributes:
        store: the platform's store.
        versions: recorder of the versions that services have.
        inputs: what the recorder looks at.
        clock: the time.
        records: decides what is written.
        lease: lease of new keys; 0 without one.
        granted: when it was granted.
        count: number of writes of this process.
    """

    def __init__(self, versions: version_recorder.VersionRecorder) -> None:
        self.store = versions.store
        self.versions = versions
        self.inputs = versions.inputs
        self.clock = versions.clock
        self.records = origin_records.OriginRecords(self.inputs.origins)
        self.lease = 0
        self.granted = self.clock.now()
        self.count = 0

    def apply_listing(
        self, listing: store_api.Listing, *, is_after_outage: bool
    ) -> None:
        """Add the origins that are listed; others may be lost."""
        del is_after_outage
        self.records.restart()
        for item in listing.items:
            self._apply(item.key, item.value)

    def apply_changes(self, changes: store_api.Changes) -> None:
        """Add new origins; those of keys that end are too old to matter."""
        for change in changes.changes:
            if change.value is not None:
                self._apply(change.key, change.value)

    def apply_era(self) -> None:
        """Forget the lease; its number may be another node's by now."""
        self.lease = 0

    def _apply(self, key: str, value: bytes) -> None:
        try:
            batches = origin_records.decode_batches(value)
        except ValueError as error:
            logger.warning(
                "Origins of streams ignored; they cannot be read.",
                extra={"key": key, "error": str(error)},
            )
            return
        self.records.apply(batches, self.clock.now())

    async def run(self) -> None:
        """Write new origins until cancelled.

        The qualified name of this method is the value of a metric label.
        """
        while True:
            if self.inputs.is_current():
                try:
                    await self._write()
                except errors.KeyValueError as error:
                    if isinstance(error, store_api.LeaseEndedError):
                        self.lease = 0
                    logger.info(
                        "Origins of streams not written; it is tried again.",
                        extra={"error": str(error)},
                    )
            await asyncio.sleep(PERIOD.total_seconds())

    async def _write(self) -> None:
        now = self.clock.now()
        batches = self.records.plan(self._list_needed(), self._get_rank(), now)
        if not batches:
            return
        if not self.lease or now - self.granted >= LEASE_USE:
            self.lease = await self.store.grant_lease(LEASE_TTL)
            self.granted = now
        own = self.inputs.roster.own
        self.count += 1
        key = (
            f"{origin_records.KEY_PREFIX}{own.name}/{own.incarnation}/"
            f"{self.count}"
        )
        value = origin_records.encode_batches(batches)
        await self.store.write(
            store_api.Write(puts=(store_api.Put(key, value, self.lease),))
        )
        self.records.apply(batches, self.clock.now())
        count = sum(len(batch.list_hashes()) for batch in batches)
        metrics.count_stored_origins(count, own.name)
        logger.info(
            "Origins of streams written.", extra={"key": key, "count": count}
        )

    def _list_needed(self) -> set[str]:
        """Return the services whose streams may be of several versions."""
        stored = self.versions.records.stored
        record = stored.record if stored else None
        return {
            service
            for service in self.inputs.origins.unstored
            if record is None or record.find_only(service) is None
        }

    def _get_rank(self) -> int:
        """Return the number of nodes that write before this one."""
        roster = self.inputs.roster
        return sum(
            status.node.name < roster.own.name
            and not status.has_left
            and status_schedule.STORED_ORIGINS in status.capabilities
            for _, status in roster.list_recent(self.clock.now())
        )
