"""Request limits that upstreams name in their answers, kept by all nodes.

An upstream in need names how many requests a second it takes from all nodes
together. The nodes tell each other the newest statement of each upstream. Each
node sends its equal share without asking the others: a lost message or a node
that is cut off changes no share. In a large fleet only some nodes send to a
limited upstream, selected by a hash that all nodes compute alike, since each
sender may send a request after any pause.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import datetime
import math
import random
from typing import Final

from cicadahook.core import hashing
from cicadahook.core import inventory

# Nodes that send to one limited upstream. Each may send one request at any
# moment, and 5 beyond the limit are tolerated in 4 s.
MAX_SENDERS: Final = 4
# Shares that no sender uses, so that the limit also holds while a node sends
# that the others do not know of.
SPARE_SHARES: Final = 1
# An upstream that takes less, or nothing, is still asked this often in all, in
# requests per second: only its answers show that the limit has ended.
MIN_RATE: Final = 1 / 60
# Share of the time until the next request may follow that a request without
# need of this upstream counts as its cost.
SLOT_COST_SHARE: Final = 0.1
# After this time without a statement a limit may have ended. A request that
# shows it is worth this share of the time since the last statement.
RECHECK_DELAY: Final = datetime.timedelta(seconds=1)
RECHECK_GAIN_SHARE: Final = 0.1
# Callers who are told to return later than this rarely have the time.
MAX_RETURN_DELAY: Final = datetime.timedelta(seconds=10)
# Statements in one status message; the others follow in later messages.
MAX_STATEMENTS: Final = 16
MILLISECOND: Final = datetime.timedelta(milliseconds=1)
NEVER: Final = datetime.datetime.min.replace(tzinfo=datetime.UTC)


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
        next_send: when this node may send the next request.
        next_return: when the next caller who is refused should return.
    """

    born: int
    rate: float
    heard: datetime.datetime
    next_send: datetime.datetime = NEVER
    next_return: datetime.datetime = NEVER


class RequestLimits:
    """Limits of the registered upstreams, as known to one node.

    Attributes:
        own: name of the node.
        limits: newest statements by instance id; upstreams that never named a
            limit have none.
        registered: start of the registered incarnations, by instance id.
        nodes: names of the nodes that share the limits, including this one.
        roles: whether this node sends to a limited upstream, by instance id, as
            far as computed for `nodes`.
    """

    def __init__(self, own: str, generator: random.Random) -> None:
        self.own = own
        self.random = generator
        self.limits: dict[str, KnownLimit] = {}
        self.registered: dict[str, int] = {}
        self.nodes = frozenset({own})
        self.roles: dict[str, bool] = {}

    def replace_nodes(self, names: Iterable[str]) -> None:
        """Replace the names of the other nodes that may send requests."""
        nodes = frozenset({self.own, *names})
        if nodes != self.nodes:
            self.nodes = nodes
            self.roles.clear()

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
        self.roles = {
            name: role
            for name, role in self.roles.items()
            if name in self.limits
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
            now,
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
                now,
            )

    def _record(
        self, instance: str, limit: KnownLimit, now: datetime.datetime
    ) -> bool:
        """Record a statement unless a newer one is known.

        After a new limit the nodes begin to send at different times.
        """
        if self.registered.get(instance) != limit.born:
            return False
        known = self.limits.get(instance)
        if known is not None and known.heard > limit.heard:
            return False
        self.limits[instance] = limit
        before = math.inf if known is None else known.rate
        if known is not None and before == limit.rate:
            limit.next_send = known.next_send
            limit.next_return = known.next_return
            return False
        if not math.isinf(limit.rate):
            interval = self._get_interval(limit)
            limit.next_send = now + interval * self.random.random()
            if known is not None and not math.isinf(before):
                limit.next_send = min(known.next_send, now + interval)
        return before != limit.rate

    def find(self, instance: inventory.Instance) -> KnownLimit | None:
        """Return the limit in force at an upstream, if any."""
        limit = self.limits.get(instance.id)
        if limit is None or limit.born != instance.born:
            return None
        return None if math.isinf(limit.rate) else limit

    def has_room(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> bool:
        """Whether this node may send a request to an upstream now."""
        limit = self.find(instance)
        if limit is None:
            return True
        return now >= limit.next_send and self._is_sender(instance.id)

    def record_send(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> None:
        """Record that a request is sent to an upstream that has room."""
        limit = self.find(instance)
        if limit is not None:
            limit.next_send = now + self._get_interval(limit)

    def get_cost_ms(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> float:
        """Return the cost of using a limited upstream's room now, in ms.

        Requests that other upstreams can serve leave the room of a limited one
        to those that it alone can serve. Without these, a request is sent now
        and then to learn whether the limit is still in force; its cost is
        negative.
        """
        limit = self.find(instance)
        if limit is None:
            return 0.0
        silence = now - limit.heard
        if silence >= RECHECK_DELAY:
            return -RECHECK_GAIN_SHARE * (silence / MILLISECOND)
        return SLOT_COST_SHARE * (self._get_interval(limit) / MILLISECOND)

    def plan_return(
        self, instances: Iterable[inventory.Instance], now: datetime.datetime
    ) -> datetime.timedelta:
        """Return after which time a refused caller should return.

        Callers get different times, as far apart as requests may be sent.

        Args:
            instances: the limited upstreams that could serve the request.
            now: the time.
        """
        limits = filter(None, map(self.find, instances))
        earliest = min(limits, key=self._get_return_time, default=None)
        if earliest is None:
            return datetime.timedelta()
        delay = max(self._get_return_time(earliest) - now, MILLISECOND)
        if delay > MAX_RETURN_DELAY:
            return MAX_RETURN_DELAY * self.random.uniform(0.5, 1.0)
        earliest.next_return = now + delay + self._get_interval(earliest)
        return delay

    def _get_return_time(self, limit: KnownLimit) -> datetime.datetime:
        return max(limit.next_send, limit.next_return)

    def _get_interval(self, limit: KnownLimit) -> datetime.timedelta:
        """Return the time between the requests of this node."""
        shares = min(len(self.nodes), MAX_SENDERS) + SPARE_SHARES
        return datetime.timedelta(seconds=shares / max(limit.rate, MIN_RATE))

    def _is_sender(self, instance: str) -> bool:
        """Whether this node is among those that send to a limited upstream."""
        if len(self.nodes) <= MAX_SENDERS:
            return True
        if instance not in self.roles:
            own_rank = hashing.hash64(f"{instance} {self.own}")
            before = sum(
                hashing.hash64(f"{instance} {name}") < own_rank
                for name in self.nodes
            )
            self.roles[instance] = before < MAX_SENDERS
        return self.roles[instance]

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
