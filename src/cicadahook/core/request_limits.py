"""Request limits that upstreams name in their answers.

An upstream in need names how many requests a second it takes from all nodes
together. The nodes tell each other the newest statement of each upstream.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import datetime
import math
import random
from typing import Final

from cicadahook.core import inventory

# Statements in one status message; the others follow in later messages.
MAX_STATEMENTS: Final = 16
MILLISECOND: Final = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class LimitStatement:
    """What an upstream last said of its limit, as nodes tell each other.

    Attributes:
        instance: id of the upstream.
        born: start of its incarnation; see `inventory.Instance`.
        rate: requests per second that it takes from all nodes; infinite if it
            has stopped naming a limit.
        age_ms: time since its answer arrived.
    """

    instance: str
    born: int
    rate: float
    age_ms: int


@dataclasses.dataclass
class KnownLimit:
    """The newest statement of an upstream's incarnation.

    Attributes:
        born: start of the incarnation.
        rate: requests per second; infinite if there is no limit.
        heard: when an answer last said so.
    """

    born: int
    rate: float
    heard: datetime.datetime


class RequestLimits:
    """Limits of the registered upstreams, as known to one node.

    Attributes:
        own: name of the node.
        limits: newest statements by instance id; upstreams that never named a
            limit have none.
        registered: start of the registered incarnations, by instance id.
    """

    def __init__(self, own: str, generator: random.Random) -> None:
        self.own = own
        self.random = generator
        self.limits: dict[str, KnownLimit] = {}
        self.registered: dict[str, int] = {}

    def update_registered(
        self, instances: Mapping[str, inventory.Instance]
    ) -> None:
        """Drop the limits of upstreams that left or restarted."""
        self.registered = {
            name: entry.born for name, entry in instances.items()
        }
        self.limits = {
            name: limit
            for name, limit in self.limits.items()
            if self.registered.get(name) == limit.born
        }

    def record_answer(
        self,
        instance: inventory.Instance,
        rate: float | None,
        now: datetime.datetime,
    ) -> bool:
        """Record what an answer of an upstream says of its limit.

        Args:
            instance: the upstream.
            rate: requests per second; None if the answer names no limit.
            now: when the answer arrived.

        Returns:
            Whether the limit has changed.
        """
        if rate is None and instance.id not in self.limits:
            return False
        return self._record(
            instance.id,
            KnownLimit(instance.born, math.inf if rate is None else rate, now),
        )

    def merge(
        self, statements: Iterable[LimitStatement], now: datetime.datetime
    ) -> None:
        """Record statements that another node has sent."""
        for statement in statements:
            if not statement.rate >= 0:
                continue
            heard = now - statement.age_ms * MILLISECOND
            self._record(
                statement.instance,
                KnownLimit(statement.born, statement.rate, heard),
            )

    def _record(self, instance: str, limit: KnownLimit) -> bool:
        """Record a statement unless a newer one is known."""
        if self.registered.get(instance) != limit.born:
            return False
        known = self.limits.get(instance)
        if known is not None and known.heard > limit.heard:
            return False
        self.limits[instance] = limit
        before = math.inf if known is None else known.rate
        return before != limit.rate

    def find(self, instance: inventory.Instance) -> KnownLimit | None:
        """Return the limit in force at an upstream, if any."""
        limit = self.limits.get(instance.id)
        if limit is None or limit.born != instance.born:
            return None
        return None if math.isinf(limit.rate) else limit

    def list_statements(
        self, now: datetime.datetime
    ) -> tuple[LimitStatement, ...]:
        """Return statements to be sent to other nodes."""
        names = list(self.limits)
        if len(names) > MAX_STATEMENTS:
            names = self.random.sample(names, MAX_STATEMENTS)
        return tuple(
            LimitStatement(
                name, limit.born, limit.rate, (now - limit.heard) // MILLISECOND
            )
            for name, limit in ((name, self.limits[name]) for name in names)
        )
