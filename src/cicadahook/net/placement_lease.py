"""The lease that elects the control that plans placement.

The lease only avoids duplicate work. If two nodes both believe that they
lead, the compare-and-swap on each upstream's record keeps them apart.
"""

import dataclasses
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.net import keyvalue
from cicadahook.net import logs

LEADER_KEY: Final = "placement/leader"
LEASE_TTL: Final = datetime.timedelta(seconds=3)
RENEW_PAUSE: Final = datetime.timedelta(seconds=1)
FOLLOW_PAUSE: Final = datetime.timedelta(seconds=2)

logger: Final = logs.create_logger("leader")


@dataclasses.dataclass
class PlacementLease:
    """Acquires and renews the lease of a placement group.

    Attributes:
        node: name of this node.
        client: client of the key-value service.
        clock: source of the current time.
        lease: id of the lease held; empty if none.
        leadership: unique name of this node's newest leadership; empty if it
            has not led yet.
        renewed_at: when the lease was last renewed.
        checked_at: when this node last tried to acquire the lease.
    """

    node: str
    client: keyvalue.KeyValueClient
    clock: clock_lib.Clock
    lease: str = ""
    leadership: str = ""
    renewed_at: datetime.datetime = clock_lib.EPOCH
    checked_at: datetime.datetime = clock_lib.EPOCH

    async def renew_or_acquire(self) -> bool:
        """Renew or acquire the lease when due; return whether this node leads.

        Raises:
            errors.KeyValueError: the service did not answer, and the lease
                may have expired.
        """
        now = self.clock.now()
        if self.lease and now < self.renewed_at + RENEW_PAUSE:
            return True
        if self.lease and await self.client.renew(self.lease):
            self.renewed_at = now
            return True
        if self.lease:
            logger.warning("Lease of leadership %s expired.", self.leadership)
        self.lease = ""
        return await self._acquire(now)

    async def _acquire(self, now: datetime.datetime) -> bool:
        """Acquire the lease if it is free; checks once per FOLLOW_PAUSE."""
        if now < self.checked_at + FOLLOW_PAUSE:
            return False
        self.checked_at = now
        holder = await self.client.get(LEADER_KEY)
        if holder.revision != keyvalue.ABSENT_REVISION:
            return False
        lease = await self.client.grant(LEASE_TTL)
        try:
            revision = await self.client.put(
                LEADER_KEY, self.node, keyvalue.ABSENT_REVISION, lease
            )
        except errors.KeyValueConflictError:
            await self.client.revoke(lease)
            return False
        self.lease = lease
        self.renewed_at = now
        self.leadership = f"{self.node}@{revision}"
        logger.info("This node leads placement as %s.", self.leadership)
        return True

    async def release(self) -> None:
        """End the lease, so that a successor need not wait for its expiry."""
        lease, self.lease = self.lease, ""
        if not lease:
            return
        try:
            await self.client.revoke(lease)
        except errors.KeyValueError as error:
            logger.warning(
                "Placement lease could not be ended and will expire: %s.", error
            )

    def may_have_lapsed(self) -> bool:
        """Return whether the lease may have expired by this node's clock."""
        return not self.lease or self.clock.now() > self.renewed_at + LEASE_TTL
