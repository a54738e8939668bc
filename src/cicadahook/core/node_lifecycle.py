"""Start and stop of a node: its settings, and its drain after a stop signal."""

import dataclasses
import datetime
from typing import Final

from cicadahook.core import tenants

# A request that is sent later than 3 s after the stop signal must be answered
# before the kill, which is not possible for a long stream. No request is
# accepted after this period, which ends a little earlier.
ACCEPT_PERIOD: Final = datetime.timedelta(milliseconds=2800)
# Shares of the grace period. Streams that still run in its last sixth may be
# cut off. A tenth is left for the last answers and for the process to end, also
# on a slow VM. Of a short grace period END_PERIOD is left, but never more than
# the last sixth.
ACCEPT_SHARE: Final = 0.45
EARLIEST_FINISH_SHARE: Final = 5 / 6
FINISH_SHARE: Final = 0.9
END_PERIOD: Final = datetime.timedelta(milliseconds=400)
# Each change in the store wakes all nodes that watch it. In larger fleets they
# pause before they watch again, so that one answer holds several changes.
# Without the pause, 34 nodes made 13,190 calls in 50 s. The pause is bounded
# because the shortest time limit for a change to reach a larger fleet is 3 s.
WATCHERS_WITHOUT_PAUSE: Final = 8
WATCH_PAUSE_PER_NODE: Final = datetime.timedelta(milliseconds=25)
MAX_WATCH_PAUSE: Final = datetime.timedelta(milliseconds=800)


@dataclasses.dataclass(frozen=True)
# One for each setting that the platform names.
# pylint: disable-next=too-many-instance-attributes
class NodeSettings:
    """Settings of a node process, fixed at its start.

    Attributes:
        name: unique name of the node.
        host: IP address of the node.
        zone: availability zone.
        region: region of that zone.
        front_port: port for requests of callers.
        ready_port: port on which the platform checks whether the node is
            ready.
        directory_port: port on which callers look up addresses.
        peer_port: port for messages of other nodes, by TCP and UDP.
        store_address: `host:port` of the platform's store.
        address_lifetime: time for which callers may cache an address answer.
        grace_period: time from a stop signal to the kill.
        handover_pause: minimum time between orders of two holders.
        retry_ratio: see `retry_budget.RetryBudgetMode`.
        retry_slack: see `retry_budget.RetryBudgetMode`.
        retry_window: see `retry_budget.RetryBudgetMode`.
        load_window: time window in which loads from the weight store are
            counted.
        is_first_start: whether the whole system starts for the first time.
        allowance_window: over which span the use of tenants is counted.
        link_mbps: bandwidth of the machine's link, in Mbit/s; 0 if its settings
            do not say.
        memory_mb: memory of the machine; 0 if its settings do not say.
        file_descriptors: descriptors that the process may open; 0 if its
            settings do not say.
    """

    name: str
    host: str
    zone: str
    region: str
    front_port: int
    ready_port: int
    directory_port: int
    peer_port: int
    store_address: str
    address_lifetime: datetime.timedelta
    grace_period: datetime.timedelta
    handover_pause: datetime.timedelta
    retry_ratio: float
    retry_slack: float
    retry_window: datetime.timedelta
    load_window: datetime.timedelta
    is_first_start: bool = False
    allowance_window: tenants.AllowanceWindow = tenants.AllowanceWindow()
    link_mbps: float = 0.0
    memory_mb: int = 0
    file_descriptors: int = 0

    @property
    def front_address(self) -> str:
        """Return `host:port` for callers."""
        return f"{self.host}:{self.front_port}"

    @property
    def peer_address(self) -> str:
        """Return `host:port` for other nodes."""
        return f"{self.host}:{self.peer_port}"


@dataclasses.dataclass(frozen=True, slots=True)
class DrainPlan:
    """Deadlines of a node's drain after a stop signal.

    Attributes:
        accepts_until: time until which new requests are accepted.
        finishes_until: time at which active requests are cut off.
        ends_at: time at which the process ends in any case.
    """

    accepts_until: datetime.datetime
    finishes_until: datetime.datetime
    ends_at: datetime.datetime

    def get_latest_start(
        self, duration: datetime.timedelta, *, is_retry: bool
    ) -> datetime.datetime:
        """Return the latest time to send a request to an upstream.

        Args:
            duration: expected time until the answer is complete.
            is_retry: whether an upstream may have run the request before, so
                that no other node can continue with it.
        """
        latest = self.finishes_until - duration
        return latest if is_retry else min(latest, self.accepts_until)


def plan_drain(
    started: datetime.datetime, grace_period: datetime.timedelta
) -> DrainPlan:
    """Return the drain of a node that got the stop signal at `started`."""
    accept = min(ACCEPT_PERIOD, ACCEPT_SHARE * grace_period)
    finish = max(
        EARLIEST_FINISH_SHARE * grace_period,
        min(FINISH_SHARE * grace_period, grace_period - END_PERIOD),
    )
    end = (finish + grace_period) / 2
    return DrainPlan(started + accept, started + finish, started + end)


def plan_watch_pause(nodes: int) -> datetime.timedelta:
    """Return the pause between two watches in a fleet of so many nodes."""
    excess = max(0, nodes - WATCHERS_WITHOUT_PAUSE)
    return min(MAX_WATCH_PAUSE, excess * WATCH_PAUSE_PER_NODE)
