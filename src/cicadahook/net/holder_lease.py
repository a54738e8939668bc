"""Renews this node's store lease and proposes it as holder of orders.

The lease also keeps the node's registration; `HolderStateMachine` decides
what may be proposed.
"""

import asyncio
from collections.abc import Callable
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import order_holder
from cicadahook.core import store_api
from cicadahook.net import logs

# A shorter lease hands over sooner; a longer one survives longer outages.
LEASE_TTL: Final = datetime.timedelta(seconds=3)
RENEWAL_PERIOD: Final = datetime.timedelta(milliseconds=700)
# A handover takes longer than the pause, so a short cut is waited out.
RESIGN_DELAY: Final = datetime.timedelta(seconds=1)
# A leaving node is near the end of its grace period; the store answers in
# about 4 ms.
LEAVE_TIMEOUT: Final = datetime.timedelta(milliseconds=200)

logger: Final = logs.create_logger("leadership")


class Leadership:
    """Renews the lease and proposes this node as holder.

    The qualified name of `run` is the value of a metric label, so this class
    keeps its name.

    Attributes:
        holder_state: decides what may be proposed and sent.
        has_active_holder: returns whether another node still sends orders by
            the grants of all others, although its holder key has expired.
        is_cut_off: returns whether this node reaches few engines and another
            one reaches them.
        cut_off_since: since when; None while it is not.
        registration: the key and value that register this node.
        lease: id of the lease; 0 without one.
        is_registered: whether the registration was written with this lease.
        is_stopping: whether proposals have ended.
    """

    def __init__(
        self,
        store: store_api.Store,
        holder_state: order_holder.HolderStateMachine,
        registration: store_api.Put,
        clock: clock_lib.Clock,
        has_active_holder: Callable[[], bool],
        is_cut_off: Callable[[], bool],
    ) -> None:
        self.has_active_holder = has_active_holder
        self.is_cut_off = is_cut_off
        self.cut_off_since: datetime.datetime | None = None
        self.store = store
        self.holder_state = holder_state
        self.registration = registration
        self.clock = clock
        self.lease = 0
        self.is_registered = False
        self.is_stopping = False

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        while True:
            try:
                await self._renew()
            except store_api.LeaseEndedError as error:
                logger.warning(
                    "Lease expired before its renewal; a new one is requested.",
                    extra={"error": str(error)},
                )
                self.lease = 0
                self.is_registered = False
                self.holder_state.record_lease_end()
                continue
            except errors.KeyValueUnavailableError as error:
                logger.info("Lease not renewed.", extra={"error": str(error)})
            await self._resign_if_cut_off()
            await asyncio.sleep(RENEWAL_PERIOD.total_seconds())

    async def _resign_if_cut_off(self) -> None:
        """Leave the term to another node if this one reaches few engines."""
        now = self.clock.now()
        if not self.is_cut_off():
            self.cut_off_since = None
        elif self.cut_off_since is None:
            self.cut_off_since = now
        elif now - self.cut_off_since >= RESIGN_DELAY:
            if self.holder_state.resign():
                logger.warning("Resigned as holder; engines are out of reach.")
        write = self.holder_state.propose_end_of_term()
        if write is None:
            return
        try:
            await self.store.write(write)
        except errors.KeyValueError as error:
            logger.info(
                "End of the own term not written; it is tried again.",
                extra={"error": str(error)},
            )

    def stop_proposing(self) -> None:
        """Propose no new term; a running one lasts until the process ends."""
        self.is_stopping = True

    async def leave(self) -> None:
        """End the lease, so that others remove this node at once.

        A holder lets it expire instead: if it restarts in time, it resumes
        its own term without the pause that another node has to make.
        """
        if not self.lease or self.holder_state.fence:
            return
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT.total_seconds()):
                await self.store.end_lease(self.lease)
        except (errors.KeyValueError, TimeoutError) as error:
            logger.info(
                "Lease could not be ended; it expires by itself.",
                extra={"error": repr(error)},
            )

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
        """Write that the handover pause of this node's term is over."""
        write = self.holder_state.propose_pause_end(self.clock.now())
        if write is None:
            return
        try:
            await self.store.write(write)
        except errors.KeyValueConflictError as error:
            logger.info(
                "End of the handover pause not written; keys have changed.",
                extra={"error": str(error)},
            )

    async def propose(self) -> None:
        """Propose this node as holder if there is none."""
        write = self.holder_state.propose(self.lease, self.clock.now())
        if write is None or self.is_stopping or self.has_active_holder():
            return
        if self.cut_off_since is not None and self.is_cut_off():
            return
        try:
            revision = await self.store.write(write)
        except errors.KeyValueConflictError as error:
            logger.info(
                "Proposal as holder lost; another node may have won.",
                extra={"error": str(error)},
            )
            return
        self.holder_state.record_won_term(revision, self.clock.now())
        logger.info("Became holder of orders.", extra={"fence": revision})
