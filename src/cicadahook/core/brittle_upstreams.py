"""Keeps what waits small at upstreams that fail when they reject too much.

A brittle upstream names how many requests it can reject in a second. Nodes tell
each other what they run there, how much was rejected and how much it takes at
once, and together send no more than that.
"""

import collections
from collections.abc import Iterable, Mapping
import dataclasses
import datetime
import math
import random
from typing import Final

from cicadahook.core import inventory

# What an upstream takes at once is lowered by a rejection to this share of what
# ran there, and raised again by one request in RAISE_PERIOD.
LOWERING_SHARE: Final = 0.8
RAISE_PERIOD: Final = datetime.timedelta(seconds=1)
REJECTION_WINDOW: Final = datetime.timedelta(seconds=1)
# Nodes hear of each other's rejections with a delay, so they stop at this share
# of the bound.
BOUND_SHARE: Final = 0.25
# What another node told counts for this time.
PEER_EXPIRY: Final = datetime.timedelta(seconds=2)
# Statements in one status message; the others follow in later messages.
MAX_STATEMENTS: Final = 32
MILLISECOND: Final = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class BrittleStatement:
    """What a node tells others of a brittle upstream.

    Attributes:
        instance: id of the upstream.
        born: start of its incarnation; see `inventory.Instance`.
        bound: rejections in a second beyond which it fails; negative if it has
            stopped naming a bound.
        age_ms: time since its answer arrived.
        running: requests of the telling node that have not ended.
        rejected: rejections that the node got in the last second.
        capacity: requests that it takes at once, as far as the node knows.
    """

    instance: str
    born: int
    bound: float
    age_ms: int
    running: int
    rejected: int
    capacity: float


@dataclasses.dataclass
class Brittleness:
    """What this node knows of one brittle incarnation.

    Attributes:
        born: start of the incarnation.
        bound: rejections in a second beyond which it fails; None if it has
            stopped naming a bound.
        heard: when an answer last said so.
        capacity: requests that it takes at once.
        lowered: when that was last lowered or raised.
        rejections: times of own rejections.
        peers: what the other nodes told last, with the time, by name.
    """

    born: int
    bound: float | None
    heard: datetime.datetime
    capacity: float
    lowered: datetime.datetime
    rejections: collections.deque[datetime.datetime] = dataclasses.field(
        default_factory=collections.deque
    )
    peers: dict[str, tuple[datetime.datetime, BrittleStatement]] = (
        dataclasses.field(default_factory=dict)
    )


class BrittleUpstreams:
    """The brittle upstreams that one node knows of.

    Attributes:
        known: what is known of each, by instance id.
        registered: the registered upstreams, by id.
        running: own requests that have not ended, by instance id.
        node_count: number of nodes that share the upstreams.
    """

    def __init__(self) -> None:
        self.known: dict[str, Brittleness] = {}
        self.registered: dict[str, inventory.Instance] = {}
        self.running: collections.Counter[str] = collections.Counter()
        self.node_count = 1

    def update_registered(
        self, instances: Mapping[str, inventory.Instance]
    ) -> None:
        """Drop what is known of upstreams that left or restarted."""
        self.registered = dict(instances)
        self.known = {
            name: state
            for name, state in self.known.items()
            if name in instances and instances[name].born == state.born
        }

    def record_answer(
        self,
        instance: inventory.Instance,
        bound: float | None,
        now: datetime.datetime,
        sent: datetime.datetime,
    ) -> bool:
        """Record the bound that an answer names, or that it names none.

        That it names none counts from when its request was sent, since the
        answer may be read late. Return whether the bound has changed.
        """
        heard = sent if bound is None else now
        return self._record(instance.id, instance.born, bound, heard, now)

    def _record(
        self,
        name: str,
        born: int,
        bound: float | None,
        heard: datetime.datetime,
        now: datetime.datetime,
    ) -> bool:
        registered = self.registered.get(name)
        if registered is None or registered.born != born:
            return False
        state = self.known.get(name)
        if state is None:
            if bound is None:
                return False
            slots = float(max(1, registered.slots))
            self.known[name] = Brittleness(born, bound, heard, slots, now)
            return True
        if state.heard > heard:
            return False
        before, state.bound, state.heard = state.bound, bound, heard
        return before != bound

    def merge(
        self,
        node: str,
        statements: Iterable[BrittleStatement],
        now: datetime.datetime,
    ) -> None:
        """Record what another node tells."""
        for told in statements:
            numbers = (told.bound, told.capacity)
            if not all(math.isfinite(number) for number in numbers):
                continue
            if told.age_ms >= 2**31:
                continue
            bound = told.bound if told.bound >= 0 else None
            heard = now - told.age_ms * MILLISECOND
            self._record(told.instance, told.born, bound, heard, now)
            state = self.known.get(told.instance)
            if state is None or state.born != told.born:
                continue
            state.peers[node] = (now, told)
            if told.capacity < state.capacity:
                state.capacity, state.lowered = max(1.0, told.capacity), now

    def find(self, instance: inventory.Instance) -> Brittleness | None:
        """Return what is known of an upstream if it is brittle now."""
        state = self.known.get(instance.id)
        if state is None or state.born != instance.born or state.bound is None:
            return None
        return state

    def has_room(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> bool:
        """Whether this node may send a request to an upstream now.

        Each node has its share of what the upstream takes at once, and what
        others leave as long as nothing is rejected.
        """
        state = self.find(instance)
        if state is None or state.bound is None:
            return True
        told = self._list_told(state, now)
        rejected = self._count_rejections(state, now) + sum(
            statement.rejected for statement in told
        )
        if rejected and rejected >= BOUND_SHARE * state.bound:
            return False
        capacity = self._get_capacity(state, instance, now)
        room = max(1.0, capacity / self.node_count)
        if not rejected:
            left = capacity - sum(statement.running for statement in told)
            room = max(room, left)
        return self.running[instance.id] + 1 <= room

    def _list_told(
        self, state: Brittleness, now: datetime.datetime
    ) -> list[BrittleStatement]:
        """Return what other nodes told lately."""
        return [
            statement
            for heard, statement in state.peers.values()
            if now - heard < PEER_EXPIRY
        ]

    def _get_capacity(
        self,
        state: Brittleness,
        instance: inventory.Instance,
        now: datetime.datetime,
    ) -> float:
        """Return what an upstream takes at once, raised by the time passed."""
        raised = (now - state.lowered) / RAISE_PERIOD
        return min(float(max(1, instance.slots)), state.capacity + raised)

    def _count_rejections(
        self, state: Brittleness, now: datetime.datetime
    ) -> int:
        """Return the number of own rejections within the window."""
        while state.rejections and now - state.rejections[0] > REJECTION_WINDOW:
            state.rejections.popleft()
        return len(state.rejections)

    def record_send(self, instance: inventory.Instance) -> None:
        """Record that a request is sent."""
        self.running[instance.id] += 1

    def record_end(
        self,
        instance: inventory.Instance,
        now: datetime.datetime,
        *,
        is_rejected: bool,
    ) -> None:
        """Record that a request has ended."""
        running = self.running[instance.id]
        self.running[instance.id] -= 1
        if self.running[instance.id] <= 0:
            del self.running[instance.id]
        state = self.known.get(instance.id)
        if not is_rejected or state is None or state.born != instance.born:
            return
        state.rejections.append(now)
        others = sum(
            statement.running for statement in self._list_told(state, now)
        )
        lowered = max(1.0, (running - 1 + others) * LOWERING_SHARE)
        capacity = self._get_capacity(state, instance, now)
        state.capacity, state.lowered = min(capacity, lowered), now

    def list_statements(
        self, now: datetime.datetime, generator: random.Random
    ) -> tuple[BrittleStatement, ...]:
        """Return statements to be sent to other nodes, drawn if too many."""
        known = [
            (name, state)
            for name, state in self.known.items()
            if name in self.registered
        ]
        if len(known) > MAX_STATEMENTS:
            known = generator.sample(known, MAX_STATEMENTS)
        return tuple(
            BrittleStatement(
                name,
                state.born,
                -1.0 if state.bound is None else state.bound,
                (now - state.heard) // MILLISECOND,
                self.running[name],
                self._count_rejections(state, now),
                self._get_capacity(state, self.registered[name], now),
            )
            for name, state in known
        )
