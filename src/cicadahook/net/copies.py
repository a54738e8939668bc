"""Gets copies loaded, by this machine or by the holder of orders."""

import asyncio
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import residency as residency_lib
from cicadahook.core import roster as roster_lib
from cicadahook.net import orderer as orderer_lib
from cicadahook.net import peering
from cicadahook.net import tasks as tasks_lib

# While no machine is holder, one may become it within this time.
HOLDER_POLL: Final = datetime.timedelta(milliseconds=100)
RETRY_PAUSE: Final = datetime.timedelta(milliseconds=100)


class Copies:
    """Asks whoever may send orders; equal requests share one call.

    A request waits for a copy until its own deadline, since the next holder
    or a free engine may turn up any moment.

    Attributes:
        asking: calls under way, by service and copy.
    """

    def __init__(
        self,
        orderer: orderer_lib.Orderer,
        client: peering.CopyClient,
        roster: roster_lib.Roster,
        clock: clock_lib.Clock,
    ) -> None:
        self.orderer = orderer
        self.client = client
        self.roster = roster
        self.clock = clock
        self.asking: dict[
            tuple[str, str, str],
            asyncio.Task[residency_lib.CopyKey | None],
        ] = {}

    async def ensure(
        self,
        service: str,
        key: residency_lib.CopyKey,
        failed: frozenset[str],
    ) -> residency_lib.CopyKey | None:
        """Return where a copy is, waiting until it is loaded."""
        while True:
            held = await asyncio.shield(self._share(service, key, failed))
            if held is not None:
                return held
            await asyncio.sleep(RETRY_PAUSE.total_seconds())

    def _share(
        self,
        service: str,
        key: residency_lib.CopyKey,
        failed: frozenset[str],
    ) -> "asyncio.Task[residency_lib.CopyKey | None]":
        name = (service, key.model, key.adapter)
        return tasks_lib.share(
            self.asking, name, lambda: self._ask(service, key, failed)
        )

    async def _ask(
        self,
        service: str,
        key: residency_lib.CopyKey,
        failed: frozenset[str],
    ) -> residency_lib.CopyKey | None:
        now = self.clock.now()
        if self.orderer.can_send():
            return await self.orderer.ensure(service, key, failed)
        holder = self.roster.find_holder(now)
        if holder is None:
            await asyncio.sleep(HOLDER_POLL.total_seconds())
            return None
        return await self.client.ask(holder, service, key, failed)
