"""Queue of requests waiting for admission, by priority, weight and deadline."""

from collections.abc import Iterator
import dataclasses
import datetime
import heapq
from typing import Final, NamedTuple

from cicadahook.core import request as request_lib
from cicadahook.core import table as table_lib

AGED_SHARE: Final = 0.5
AGED_RANK: Final = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """A request that waits for the grant of an attempt.

    Attributes:
        ticket: unique in this entry.
        request: the caller's request.
        row: its row.
        excluded: upstreams that it must not go to.
        since: when it began to wait.
    """

    ticket: int
    request: request_lib.Request
    row: table_lib.Row
    excluded: frozenset[str]
    since: datetime.datetime

    def is_aged(self, now: datetime.datetime) -> bool:
        """Whether it has waited for half of the time until its deadline."""
        time_limit = self.request.deadline - self.since
        return now - self.since > AGED_SHARE * time_limit


class LaneKey(NamedTuple):
    """Requests with the same key can go to the same upstreams."""

    row: str
    priority: request_lib.Priority
    excluded: frozenset[str]


@dataclasses.dataclass(eq=False)
class Lane:
    """Waiting requests of one key; earliest deadline first.

    Attributes:
        key: what they share.
        heap: (deadline, ticket, waiter), a heap.
        finish: virtual time at which its last granted request ended.
    """

    key: LaneKey
    heap: list[tuple[datetime.datetime, int, Waiter]]
    finish: float = 0.0

    @property
    def head(self) -> Waiter:
        """The request to serve first."""
        return self.heap[0][2]


class WaitingQueue:
    """All waiting requests of an entry, in lanes.

    Lanes are served by priority, then by row priority, then by weighted fair
    queueing. A lane whose first request has waited for half of its time goes
    before all others, so that no priority starves.

    Attributes:
        limit: requests that may wait at once.
        lanes: lanes that are not empty, by key.
        waiters: waiting requests by ticket.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.lanes: dict[LaneKey, Lane] = {}
        self.waiters: dict[int, Waiter] = {}
        self.virtual_time = 0.0

    def __len__(self) -> int:
        return len(self.waiters)

    def push(self, waiter: Waiter) -> None:
        """Add a request; there must be room."""
        assert len(self.waiters) < self.limit, "waiting queue over its limit"
        key = create_key(waiter)
        lane = self.lanes.get(key)
        if lane is None:
            lane = Lane(key, [], self.virtual_time)
            self.lanes[key] = lane
        entry = (waiter.request.deadline, waiter.ticket, waiter)
        heapq.heappush(lane.heap, entry)
        self.waiters[waiter.ticket] = waiter

    def remove(self, ticket: int) -> Waiter | None:
        """Remove and return a request, or return None if it does not wait."""
        waiter = self.waiters.pop(ticket, None)
        if waiter is None:
            return None
        lane = self.lanes[create_key(waiter)]
        if lane.head is waiter:
            heapq.heappop(lane.heap)
        else:
            lane.heap = [item for item in lane.heap if item[1] != ticket]
            heapq.heapify(lane.heap)
        if not lane.heap:
            del self.lanes[lane.key]
        return waiter

    def charge(self, lane: Lane) -> None:
        """Advance the virtual time of `lane`, whose head is served."""
        self.virtual_time = max(self.virtual_time, lane.finish)
        lane.finish = self.virtual_time + 1 / lane.head.row.weight

    def order(self, now: datetime.datetime) -> list[Lane]:
        """Return the lanes in the order in which they are served."""
        return sorted(self.lanes.values(), key=lambda lane: _rank(lane, now))

    def ahead_of(self, key: LaneKey) -> Iterator[Lane]:
        """Yield the lanes that a new request of `key` may wait for."""
        return (
            lane
            for lane in self.lanes.values()
            if lane.key.priority <= key.priority
        )

    def find_victim(self, priority: request_lib.Priority) -> Waiter | None:
        """Return the least urgent request that waits below `priority`."""
        below = [
            lane for lane in self.lanes.values() if lane.key.priority > priority
        ]
        if not below:
            return None
        worst = max(below, key=lambda lane: lane.key.priority)
        return max(worst.heap)[2]


def create_key(waiter: Waiter) -> LaneKey:
    """Return the key of the lane of `waiter`."""
    return LaneKey(waiter.row.name, waiter.request.priority, waiter.excluded)


def _rank(
    lane: Lane, now: datetime.datetime
) -> tuple[int, int, float, datetime.datetime, int]:
    head = lane.head
    if head.is_aged(now):
        rank, row_priority = AGED_RANK, 0
    else:
        rank, row_priority = int(lane.key.priority), head.row.priority
    deadline = head.request.deadline
    return rank, -row_priority, lane.finish, deadline, head.ticket
