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
from cicadahook.core import store_eras
from cicadahook.net import logs
from cicadahook.net import metrics

# A shorter lease hands over sooner; a longer one survives longer outages.
LEASE_TTL: Final = datetime.timedelta(seconds=3)
RENEWAL_PERIOD: Final = datetime.timedelta(milliseconds=700)
# A handover takes longer than the pause, so a short cut is waited out.
RESIGN_DELAY: Final = datetime.timedelta(seconds=1)
# A leaving node is near the end of its grace period; the store answers in
# about 4 ms.
LEAVE_TIMEOUT: Final = datetime.timedelta(milliseconds=200)

# Larger integers are rounded by programs that read JSON numbers as doubles.
MAX_EXACT_FENCE: Final = 2**53

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
        is_granted: returns whether all other nodes grant this one to go on as
            holder.
        era_began: set when a new era of the store has ended the own term.
    """

    def __init__(
        self,
        store: store_api.Store,
        holder_state: order_holder.HolderStateMachine,
        registration: store_api.Put,
        clock: clock_lib.Clock,
        has_active_holder: Callable[[], bool],
        is_cut_off: Callable[[], bool],
        *,
        is_granted: Callable[[], bool] = lambda: False,
    ) -> None:
        self.is_granted = is_granted
        self.era_began = asyncio.Event()
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
                self._drop_lease()
                self.holder_state.record_lease_end()
                continue
            except errors.KeyValueUnavailableError as error:
                logger.info("Lease not renewed.", extra={"error": str(error)})
            await self._resign_if_cut_off()
            await self._wait()

    def apply_era(self, change: store_eras.EraChange) -> None:
        """Give up what rests on another era of the store.

        The lease may be lost, and its number that of another node's by now. The
        others get theirs at their next renewal, so that they do not all write
        at once.
        """
        state = self.holder_state
        if change.is_denial:
            state.return_to_era(change.era, self.clock.now())
            self._drop_lease()
            logger.warning(
                "Store denies the era that another node named.",
                extra={"era": change.era, "previous_era": change.previous},
            )
            return
        previous, newest_term = state.era, state.newest_term
        if not state.record_era(
            change.era, self.clock.now(), is_granted=self.is_granted()
        ):
            return
        if not previous:
            logger.info(
                "Era of the store is known.",
                extra={"era": change.era, "source": change.source},
            )
            return
        self._drop_lease()
        if state.is_continuing:
            self.era_began.set()
        is_own = change.source == store_eras.STORE
        metrics.count_store_era(state.name, "store" if is_own else "node")
        logger.warning(
            "Store returned from an older copy; its leases are given up.",
            extra={
                "era": change.era,
                "source": change.source,
                "previous_era": previous,
                "newest_term": newest_term,
                "was_holder": state.is_continuing,
            },
        )

    def _drop_lease(self) -> None:
        self.lease = 0
        self.is_registered = False

    async def _wait(self) -> None:
        """Wait for the next renewal, or for an era that ends the own term."""
        try:
            async with asyncio.timeout(RENEWAL_PERIOD.total_seconds()):
                await self.era_began.wait()
        except TimeoutError:
            return
        self.era_began.clear()

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
        lease = self.lease
        if lease:
            await self.store.renew_lease(lease)
        else:
            lease = self.lease = await self.store.grant_lease(LEASE_TTL)
        if self.lease != lease:
            # An era began meanwhile; the next renewal gets another lease.
            return
        self.holder_state.record_renewal(sent)
        if not self.is_registered and not self.is_stopping:
            put = store_api.Put(
                self.registration.key, self.registration.value, lease
            )
            await self.store.write(store_api.Write(puts=(put,)))
            self.is_registered = self.lease == lease
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
        if not self.lease or self.is_stopping or self.has_active_holder():
            return
        write = self.holder_state.propose(self.lease, self.clock.now())
        if write is None:
            return
        if self.cut_off_since is not None and self.is_cut_off():
            return
        try:
            position = await self.store.write(write)
        except errors.KeyValueConflictError as error:
            logger.info(
                "Proposal as holder lost; another node may have won.",
                extra={"error": str(error)},
            )
            return
        now = self.clock.now()
        if not self.holder_state.record_won_term(write, position, now):
            logger.info(
                "Proposal as holder outlived its era; it is made again.",
                extra={"position": str(position)},
            )
            return
        if self.holder_state.fence > MAX_EXACT_FENCE:
            logger.warning(
                "Engines that read numbers as floating-point ones may not tell"
                " the fence of this term from that of the next.",
                extra={"fence": self.holder_state.fence},
            )
        logger.info(
            "Became holder of orders.",
            extra={
                "fence": self.holder_state.fence,
                "position": str(position),
                "is_continuing": self.holder_state.is_continuing,
            },
        )
