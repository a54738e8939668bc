"""Carries out placement: leader lease, records, orders to engines."""

import asyncio
import dataclasses
import datetime
from typing import Final

import pydantic

from cicadahook.core import errors
from cicadahook.core import placement
from cicadahook.core import record as record_lib
from cicadahook.core import table as table_lib
from cicadahook.core import view
from cicadahook.net import engine
from cicadahook.net import fleet as fleet_lib
from cicadahook.net import keyvalue
from cicadahook.net import logs

LEADER_KEY: Final = "placement/leader"
RECORD_PREFIX: Final = "records/"
LEASE_TTL: Final = datetime.timedelta(seconds=3)
STEP_PAUSE: Final = datetime.timedelta(seconds=0.5)

logger: Final = logs.create_logger("placer")

_RECORD: Final = pydantic.TypeAdapter(record_lib.UpstreamRecord)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record with its revision in the key-value service."""

    record: record_lib.UpstreamRecord
    revision: int


class Placer:
    """Plans while it holds the leader lease.

    Attributes:
        table: the table in force; set by its owner.
        fleet: the upstreams as last seen; set by its owner.
    """

    def __init__(
        self,
        node: str,
        client: keyvalue.KeyValueClient,
        engines: engine.EngineClient,
        mode: placement.PlacementMode,
    ) -> None:
        self.node = node
        self.client = client
        self.engines = engines
        self.policy = placement.create_policy(mode)
        self.table = table_lib.Table()
        self.fleet = fleet_lib.Fleet()
        self.lease = ""
        self.fencing = 0
        self.order_count = 0

    async def run(self) -> None:
        """Plan and order until cancelled."""
        while True:
            try:
                if await self._lead():
                    await self._step()
            except errors.KeyValueError as error:
                logger.warning("Placement waits: %s.", error)
            await asyncio.sleep(STEP_PAUSE.total_seconds())

    async def _lead(self) -> bool:
        """Return whether this node holds the leader lease."""
        if self.lease and await self.client.renew(self.lease):
            return True
        self.lease = ""
        lease = await self.client.grant(LEASE_TTL)
        try:
            self.fencing = await self.client.put(
                LEADER_KEY, self.node, keyvalue.ABSENT_REVISION, lease
            )
        except errors.KeyValueConflictError:
            await self.client.revoke(lease)
            return False
        self.lease = lease
        logger.info("Leads placement with fencing number %d.", self.fencing)
        return True

    async def _step(self) -> None:
        """Plan once and carry out the plan's steps."""
        stored = await self._read_records()
        situation = placement.Situation(
            self.table,
            self._live_engines(),
            {address: item.record for address, item in stored.items()},
            {},
        )
        for step in self.policy.plan(situation):
            item = stored[step.upstream]
            stored[step.upstream] = await self._carry_out(step, item)

    def _live_engines(self) -> dict[str, view.Upstream]:
        """Return the engines that take new work, by address."""
        return {
            upstream.address: upstream
            for upstream in self.fleet.upstreams
            if upstream.kind is view.UpstreamKind.ENGINE
            and upstream.state is view.UpstreamState.LIVE
        }

    async def _read_records(self) -> dict[str, StoredRecord]:
        """Return the records of all live engines, new ones included."""
        snapshot = await self.client.list(RECORD_PREFIX)
        stored = {
            entry.key.removeprefix(RECORD_PREFIX): StoredRecord(
                _RECORD.validate_json(entry.value), entry.revision
            )
            for entry in snapshot.entries
        }
        for address, upstream in self._live_engines().items():
            if address not in stored:
                new = record_lib.UpstreamRecord(
                    address, upstream.capacity_bytes
                )
                stored[address] = StoredRecord(new, keyvalue.ABSENT_REVISION)
        return stored

    async def _carry_out(
        self, step: placement.Step, item: StoredRecord
    ) -> StoredRecord:
        """Intend, send and settle one order."""
        self.order_count += 1
        order = record_lib.Order(
            id=f"{self.node}-{self.fencing}-{self.order_count}",
            action=step.action,
            row=step.row.name,
            base=step.row.base,
            version=step.row.version,
            memory_bytes=step.row.memory_bytes,
            fencing=self.fencing,
            sends=1,
        )
        item = await self._write(item, item.record.with_order(order))
        logger.info(
            "Order %s: %s %s on %s: %s.",
            order.id,
            order.action,
            order.row,
            step.upstream,
            step.cause,
        )
        try:
            await self.engines.send_order(step.upstream, order)
        except errors.UpstreamError as error:
            logger.warning("Order %s not answered: %s.", order.id, error)
            return item
        return await self._write(item, item.record.with_settled(order.id))

    async def _write(
        self, item: StoredRecord, record: record_lib.UpstreamRecord
    ) -> StoredRecord:
        """Replace the stored record by compare-and-swap."""
        revision = await self.client.put(
            RECORD_PREFIX + record.upstream,
            _RECORD.dump_json(record).decode(),
            item.revision,
        )
        return StoredRecord(record, revision)
