"""Keeps this machine's lease, its registration and its turn as holder."""

import asyncio
from collections.abc import Callable
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import order_holder
from cicadahook.core import store_api
from cicadahook.net import logs

# A shorter lease hands over sooner, a longer one bridges longer outages.
LEASE_TTL: Final = datetime.timedelta(seconds=3)
RENEWAL_PERIOD: Final = datetime.timedelta(milliseconds=700)
# The end of the grace period is near when a machine leaves; the store answers
# in some 4 ms.
LEAVE_TIMEOUT: Final = datetime.timedelta(milliseconds=200)

logger: Final = logs.create_logger("leadership")


class Leadership:
    """Renews the lease and proposes this machine as holder.

    Attributes:
        holder_state: decides what may be proposed and sent.
        hears_holder: whether another machine still sends orders, by leave of
            all others, though its key is gone.
        lease: id of the lease; 0 without one.
        is_stopping: whether nothing is to be proposed any more.
    """

    def __init__(
        self,
        store: store_api.Store,
        holder_state: order_holder.HolderStateMachine,
        registration: store_api.Put,
        clock: clock_lib.Clock,
        has_active_holder: Callable[[], bool],
    ) -> None:
        self.has_active_holder = has_active_holder
        self.store = store
        self.holder_state = holder_state
        self.registration = registration
        self.clock = clock
        self.lease = 0
        self.is_registered = False
        self.is_stopping = False

    async def run(self) -> None:
        """Renew until cancelled."""
        while True:
            try:
                await self._renew()
            except store_api.LeaseEndedError as error:
                logger.warning("Lease ended.", extra={"error": str(error)})
                self.lease = 0
                self.is_registered = False
                self.holder_state.record_lease_end()
                continue
            except errors.KeyValueUnavailableError as error:
                logger.info("Lease not renewed.", extra={"error": str(error)})
            await asyncio.sleep(RENEWAL_PERIOD.total_seconds())

    def stop_proposing(self) -> None:
        """Take no new turn; one that runs goes on until the process ends."""
        self.is_stopping = True

    async def leave(self) -> None:
        """End the lease, so that others count this machine no more.

        A holder lets it lapse instead: started again in time, it takes its
        own turn on without the pause that another machine would have to make.
        """
        if not self.lease or self.holder_state.fence:
            return
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT.total_seconds()):
                await self.store.end_lease(self.lease)
        except (errors.KeyValueError, TimeoutError) as error:
            logger.info("Lease left to lapse.", extra={"error": repr(error)})

    async def _renew(self) -> None:
        sent = self.clock.now()
        if self.lease:
            await self.store.renew_lease(self.lease)
        else:
            self.lease = await self.store.grant_lease(LEASE_TTL)
        self.holder_state.record_renewal(sent)
        if not self.is_registered and not self.is_stopping:
            put = store_api.Put(
                self.registration.key, self.registration.value, self.lease
            )
            await self.store.write(store_api.Write(puts=(put,)))
            self.is_registered = True
        await self.propose()
        await self._report_settled()

    async def _report_settled(self) -> None:
        """Tell that the pause of the own turn is over."""
        write = self.holder_state.propose_pause_end(self.clock.now())
        if write is None:
            return
        try:
            await self.store.write(write)
        except errors.KeyValueConflictError as error:
            logger.info("Turn not settled.", extra={"error": str(error)})

    async def propose(self) -> None:
        """Propose this machine as holder if nobody is."""
        write = self.holder_state.propose(self.lease, self.clock.now())
        if write is None or self.is_stopping or self.has_active_holder():
            return
        try:
            revision = await self.store.write(write)
        except errors.KeyValueConflictError as error:
            logger.info("Another is holder.", extra={"error": str(error)})
            return
        self.holder_state.record_won_term(revision, self.clock.now())
        logger.info("Became holder of orders.", extra={"fence": revision})
