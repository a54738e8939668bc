"""Keeps the rest that upstreams ask for when they reject a request.

The rest is asked of one node and concerns only what that node sends. After it,
one request at a time shows whether the upstream takes requests again.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import datetime
import random
from typing import Final

from cicadahook.core import inventory

# A longer rest would outlast the cause of it.
MAX_REST: Final = datetime.timedelta(minutes=10)
# The nodes and callers that were turned away return within this share of the
# rest after it, but not longer than MAX_SPREAD.
SPREAD_SHARE: Final = 0.3
MAX_SPREAD: Final = datetime.timedelta(seconds=1)


@dataclasses.dataclass
class Rest:
    """The rest of one incarnation.

    Attributes:
        born: start of the incarnation.
        until: when it ends.
        running: requests sent after its end and not answered yet.
    """

    born: int
    until: datetime.datetime
    running: int = 0


class UpstreamRests:
    """The upstreams that want nothing from this node for a while.

    Attributes:
        rests: their rests, by instance id, until a request shows that they take
            requests again.
        registered: start of the registered incarnations, by instance id.
    """

    def __init__(self, generator: random.Random) -> None:
        self.random = generator
        self.rests: dict[str, Rest] = {}
        self.registered: dict[str, int] = {}

    def update_registered(
        self, instances: Mapping[str, inventory.Instance]
    ) -> None:
        """Drop the rests of upstreams that left or restarted."""
        self.registered = {
            name: entry.born for name, entry in instances.items()
        }
        self.rests = {
            name: rest
            for name, rest in self.rests.items()
            if self.registered.get(name) == rest.born
        }

    def record_answer(
        self,
        instance: inventory.Instance,
        rest: datetime.timedelta,
        now: datetime.datetime,
    ) -> bool:
        """Record a rejection that asks for rest; return whether it extends one.

        It counts from when the answer is read. A shorter one shortens nothing.
        """
        if self.registered.get(instance.id) != instance.born or not rest:
            return False
        until = now + min(rest, MAX_REST)
        until += min(MAX_SPREAD, SPREAD_SHARE * rest) * self.random.random()
        known = self.rests.get(instance.id)
        if known is None:
            self.rests[instance.id] = Rest(instance.born, until)
            return True
        is_resting = known.until > now
        known.until = max(known.until, until)
        return not is_resting

    def get_end(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> datetime.datetime | None:
        """Return when the rest of an upstream ends; None if it has."""
        rest = self.rests.get(instance.id)
        if rest is None or rest.born != instance.born or rest.until <= now:
            return None
        return rest.until

    def has_room(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> bool:
        """Whether this node may send a request to an upstream now."""
        rest = self.rests.get(instance.id)
        if rest is None or rest.born != instance.born:
            return True
        return rest.until <= now and not rest.running

    def record_send(self, instance: inventory.Instance) -> None:
        """Record that a request is sent after a rest."""
        rest = self.rests.get(instance.id)
        if rest is not None:
            rest.running += 1

    def record_end(self, instance: inventory.Instance) -> None:
        """Record that a request has ended."""
        rest = self.rests.get(instance.id)
        if rest is not None:
            rest.running = max(0, rest.running - 1)

    def record_accepted(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> None:
        """Record that an upstream runs requests again, if its rest is over."""
        rest = self.rests.get(instance.id)
        if rest is not None and rest.until <= now:
            del self.rests[instance.id]

    def plan_return(
        self, instances: Iterable[inventory.Instance], now: datetime.datetime
    ) -> datetime.timedelta:
        """Return after which time a refused caller should return.

        Callers get different times, since few may return at once.
        """
        ends = [
            end
            for entry in instances
            if (end := self.get_end(entry, now)) is not None
        ]
        left = min(ends, default=now) - now
        return left + MAX_SPREAD * self.random.random()
