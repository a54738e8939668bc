"""Account of what a process holds for its clients, and who gives way.

All connections of clients share the memory and the descriptors of a process.
The account knows how much each of them holds. It chooses which ones give way
when there is too much, and which ones are over their time. Times are seconds
on a clock that does not advance while the machine is suspended.
"""

from collections.abc import Iterable
import dataclasses
import datetime
import enum
import heapq
from typing import Final, Protocol, TypeVar

MEBIBYTE: Final = 1024 * 1024
# The smallest machines, which older settings files do not describe, have this
# much; a larger one is described by its settings.
DEFAULT_MEMORY_MB: Final = 512
DEFAULT_DESCRIPTORS: Final = 8192
# A node that has served a few requests uses some 85 MB; 96 MB leave room for
# its statuses and the configuration.
OWN_MEMORY_MB: Final = 96
# Bodies grow while they are read and leave holes: a process was measured to
# grow by 1.6 times what it held. The rest is left for requests on their way to
# upstreams and for answers.
MEMORY_SHARE: Final = 0.2
# The largest body that a configuration allows by default fits twice.
MIN_HELD_BYTES: Final = 8 * MEBIBYTE
# Descriptors of the process itself: listeners, store, logs, event loop.
OWN_DESCRIPTORS: Final = 32
# Each request in progress may need a connection to an upstream as well.
CLIENT_SHARE: Final = 0.4
PEER_SHARE: Final = 0.15
# Readiness checks and metrics come from a few addresses.
PROBE_SHARE: Final = 0.05
MIN_CONNECTIONS: Final = 8
# What the objects of an idle connection use: 300 of them took 2 MB.
CONNECTION_BYTES: Final = 8 * 1024
# What the objects of a header field use besides its bytes.
FIELD_BYTES: Final = 256
# After the account was full, connections give way until so much is held. So it
# is not full again at once, and the choice is made rarely.
RELIEF_SHARE: Final = 0.875
# Of many connections that have asked nothing, one in so many gives way at a
# time, so that not every new one leads to a look at all of them.
CROWD_SHARE: Final = 1 / 32
# Connections that are being closed count beside the limit up to this share of
# it; their clients get a moment to read what was written last.
CLOSING_SHARE: Final = 0.25
# A client that connects to ask sends its head within a round trip.
GRACE_SECONDS: Final = 0.25
# More connections without a head than this share of the limit are a flood.
FLOOD_SHARE: Final = 0.25
# Connections without progress for so long give way before others.
STALL: Final = datetime.timedelta(seconds=1)


class Pool(enum.Enum):
    """Who connects: each pool has a number of connections of its own."""

    CLIENTS = "clients"
    PEERS = "peers"
    PROBES = "probes"


class Stage(enum.Enum):
    """What a connection waits for."""

    # Nothing has been asked on it yet.
    NEW = "new"
    # The rest of a request head.
    HEAD = "head"
    # The rest of a request body.
    BODY = "body"
    # The answer to a complete request.
    RUNNING = "running"
    # The same, while further requests wait behind it.
    QUEUED = "queued"
    # Its client, to read an answer.
    UNREAD = "unread"
    # The next request.
    IDLE = "idle"
    # Its end.
    CLOSING = "closing"


class Reason(enum.StrEnum):
    """Why a client met a limit."""

    HEAD_TOO_LARGE = "head_too_large"
    HEAD_LATE = "head_late"
    BODY_STALLED = "body_stalled"
    MALFORMED = "malformed"
    IDLE = "idle"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    ANSWER_NOT_READ = "answer_not_read"
    NOT_CLOSED = "not_closed"


class Holder(Protocol):
    """A connection, as the account sees it.

    Attributes:
        pool: who connects.
        held: bytes held for it.
    """

    pool: Pool
    held: int

    @property
    def stage(self) -> Stage:
        """What it waits for."""

    @property
    def since(self) -> float:
        """When it began to wait for that, or made progress."""


HolderT = TypeVar("HolderT", bound=Holder)


@dataclasses.dataclass(frozen=True)
class HeldLimits:
    """How much may be held for clients.

    Attributes:
        max_bytes: bytes for all connections.
        max_connections: connections of each pool.
    """

    max_bytes: int
    max_connections: dict[Pool, int]


@dataclasses.dataclass(frozen=True)
class TimeLimits:
    """How long a connection may wait for its client, in seconds.

    Attributes:
        head: from the first byte of a request head to its end.
        idle: for a request, for more of a body, and for the client to read
            more of an answer.
        close: for the client to take what was written before the close.
    """

    head: float
    idle: float
    close: float


def plan_limits(memory_mb: int, descriptors: int) -> HeldLimits:
    """Return what may be held on a machine.

    Args:
        memory_mb: memory of the machine.
        descriptors: number of descriptors that the process may open.
    """
    usable = max(0, memory_mb - OWN_MEMORY_MB) * MEBIBYTE
    free = descriptors - OWN_DESCRIPTORS
    shares = {
        Pool.CLIENTS: CLIENT_SHARE,
        Pool.PEERS: PEER_SHARE,
        Pool.PROBES: PROBE_SHARE,
    }
    return HeldLimits(
        max(MIN_HELD_BYTES, int(usable * MEMORY_SHARE)),
        {
            pool: max(MIN_CONNECTIONS, int(free * share))
            for pool, share in shares.items()
        },
    )


class HeldBytes:
    """What is held for all connections of clients.

    Attributes:
        limits: how much may be held.
        total: bytes held now.
        counts: number of connections of each pool.
    """

    def __init__(self, limits: HeldLimits) -> None:
        self.limits = limits
        self.total = 0
        self.counts = dict.fromkeys(Pool, 0)

    @property
    def is_full(self) -> bool:
        """Whether more is held than allowed."""
        return self.total > self.limits.max_bytes

    def open(self, holder: Holder) -> None:
        """Record a new connection."""
        self.counts[holder.pool] += 1
        self.add(holder, CONNECTION_BYTES)

    def close(self, holder: Holder) -> None:
        """Record that a connection has ended; it holds nothing any more."""
        self.counts[holder.pool] -= 1
        self.add(holder, -holder.held)

    def add(self, holder: Holder, size: int) -> None:
        """Record that `size` more bytes are held for a connection."""
        holder.held += size
        self.total += size

    def choose_for_bytes(
        self, holders: Iterable[HolderT], now: float
    ) -> list[HolderT]:
        """Return the connections that give way until there is room.

        The largest do, and first those that stand still. A request that may
        have been sent to an upstream never does.
        """
        excess = self.total - self.limits.max_bytes * RELIEF_SHARE
        candidates = [
            holder
            for holder in holders
            if holder.stage in (Stage.HEAD, Stage.BODY, Stage.UNREAD)
        ]
        stall = STALL.total_seconds()
        candidates.sort(
            key=lambda holder: (now - holder.since < stall, -holder.held)
        )
        chosen = []
        for holder in candidates:
            if excess <= 0:
                break
            chosen.append(holder)
            excess -= holder.held
        return chosen

    def choose_for_connection(
        self, holders: Iterable[HolderT], pool: Pool, now: float
    ) -> list[HolderT]:
        """Return the connections that give way to a new one, which is counted.

        Those without a complete head do, the oldest first; then bodies that
        stand still, then those on which requests are piled up, which end with
        their next answer, then young connections if there are many, then the
        kept connection that is idle for the longest time, then other bodies.
        If there is none, the new one can't be kept.
        """
        limit = self.limits.max_connections[pool]
        if self.counts[pool] <= limit:
            return []
        stages: dict[Stage, list[HolderT]] = {stage: [] for stage in Stage}
        for holder in holders:
            if holder.pool is pool:
                stages[holder.stage].append(holder)
        closing = stages[Stage.CLOSING]
        if self.counts[pool] - len(closing) <= limit:
            excess = len(closing) - int(limit * CLOSING_SHARE)
            return _list_oldest(closing, max(0, excess))
        stall = STALL.total_seconds()
        headless = stages[Stage.NEW] + stages[Stage.HEAD]
        slow = [each for each in headless if now - each.since >= GRACE_SECONDS]
        bodies = stages[Stage.BODY]
        stalled = [body for body in bodies if now - body.since >= stall]
        # A new connection soon sends its request, unless there is a flood.
        is_flooded = len(headless) > limit * FLOOD_SHARE
        for group, share in (
            (slow, CROWD_SHARE),
            (stalled, 0.0),
            (stages[Stage.QUEUED], 0.0),
            (headless if is_flooded else [], CROWD_SHARE),
            (stages[Stage.IDLE], 0.0),
            (bodies, 0.0),
        ):
            if group:
                return _list_oldest(group, max(1, int(len(group) * share)))
        return headless


def _list_oldest(holders: Iterable[HolderT], count: int) -> list[HolderT]:
    return heapq.nsmallest(count, holders, key=lambda holder: holder.since)


def find_overdue(
    stage: Stage, waited: float, limits: TimeLimits
) -> Reason | None:
    """Return why a connection is over its time, or None if it is not.

    Args:
        stage: what it waits for.
        waited: how long it has waited, in seconds.
        limits: how long it may.
    """
    if stage is Stage.HEAD and waited > limits.head:
        return Reason.HEAD_LATE
    if stage is Stage.BODY and waited > limits.idle:
        return Reason.BODY_STALLED
    if stage is Stage.UNREAD and waited > limits.idle:
        return Reason.ANSWER_NOT_READ
    if stage in (Stage.NEW, Stage.IDLE) and waited > limits.idle:
        return Reason.IDLE
    if stage is Stage.CLOSING and waited > limits.close:
        return Reason.NOT_CLOSED
    return None
