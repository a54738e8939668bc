"""A machine of the system: its settings, how it watches and how it ends."""

import dataclasses
import datetime
from typing import Final

# A request that is sent later than 3 s after the stop signal must be answered
# before the kill, which a long stream can't be; the users' rules say so.
ACCEPT_PERIOD: Final = datetime.timedelta(milliseconds=2800)
# Shares of the grace period. Streams that still run in its last sixth may be
# cut off; a tenth is left for the last answers and for the process to end,
# also on a slow machine, and more of a short one.
ACCEPT_SHARE: Final = 0.45
EARLIEST_FINISH_SHARE: Final = 5 / 6
FINISH_SHARE: Final = 0.9
END_PERIOD: Final = datetime.timedelta(milliseconds=400)
# Each change in the store wakes all machines that watch it. In larger fleets
# they pause before they ask again, so that one answer holds several changes:
# 34 machines made 13,190 calls in 50 s without. The shortest bound on changes
# of a larger fleet is 3 s.
WATCHERS_WITHOUT_PAUSE: Final = 8
WATCH_PAUSE_PER_NODE: Final = datetime.timedelta(milliseconds=25)
MAX_WATCH_PAUSE: Final = datetime.timedelta(milliseconds=800)


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """What a node process needs to know at its start.

    Attributes:
        name: unique name of the machine.
        host: its IP address.
        zone: availability zone.
        region: region of that zone.
        front_port: where callers send requests.
        ready_port: where the platform asks whether the node is ready.
        directory_port: where callers ask for addresses.
        peer_port: where other nodes send messages, by TCP and UDP.
        store_address: `host:port` of the platform's store.
        address_lifetime: how long callers may keep an address answer.
        grace_period: time from a stop signal to the kill.
        handover_pause: least time between orders of two holders.
        retry_ratio: see `retrybudget.RetryBudgetMode`.
        retry_slack: the same.
        retry_window: the same.
        load_window: span in which loads from the weight store are counted.
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
    """How a machine ends after a stop signal.

    Attributes:
        accepts_until: until when requests are still taken.
        finishes_until: when those under way are cut off.
        ends_at: when the process ends, whatever is left.
    """

    accepts_until: datetime.datetime
    finishes_until: datetime.datetime
    ends_at: datetime.datetime

    def get_latest_start(
        self, duration: datetime.timedelta, *, is_retry: bool
    ) -> datetime.datetime:
        """Return until when an upstream may be asked for an answer.

        Args:
            duration: how long it probably takes.
            is_retry: whether an upstream may have run it before; another
                machine could not be asked to go on.
        """
        latest = self.finishes_until - duration
        return latest if is_retry else min(latest, self.accepts_until)


def plan_drain(
    started: datetime.datetime, grace_period: datetime.timedelta
) -> DrainPlan:
    """Return how a machine ends that was told to stop at `started`."""
    accept = min(ACCEPT_PERIOD, ACCEPT_SHARE * grace_period)
    finish = max(
        EARLIEST_FINISH_SHARE * grace_period,
        min(FINISH_SHARE * grace_period, grace_period - END_PERIOD),
    )
    end = (finish + grace_period) / 2
    return DrainPlan(started + accept, started + finish, started + end)


def plan_watch_pause(nodes: int) -> datetime.timedelta:
    """Return the pause between two watches in a fleet of some size."""
    excess = max(0, nodes - WATCHERS_WITHOUT_PAUSE)
    return min(MAX_WATCH_PAUSE, excess * WATCH_PAUSE_PER_NODE)
