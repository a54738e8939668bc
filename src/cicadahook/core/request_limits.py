"""Request limits that upstreams name in their answers, kept by all nodes.

An upstream in need names how many requests a second it takes from all nodes
together. The nodes tell each other the newest statement of each upstream and
how many requests they have sent there. Nodes that hear each other use their
shares together, whichever of them needs them; a node that hears nobody uses its
own share only. In a large fleet only some nodes send to a limited upstream,
selected by a hash that all nodes compute alike, since each sender may send a
request after any pause.
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
# Longest time between the messages of a node whose requests are counted as they
# are sent. The share of a node heard less often is left to it.
MAX_MESSAGE_GAP: Final = datetime.timedelta(milliseconds=500)
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
        sent: requests that the telling node has sent to it under limits.
    """

    instance: str
    born: int
    rate: float
    age_ms: int
    sent: int = 0


@dataclasses.dataclass
class KnownLimit:
    """The newest statement of an upstream's incarnation.

    Attributes:
        born: start of the incarnation.
        rate: requests per second; infinite if there is no limit.
        heard: when an answer last said so.
        next_send: when this node may send the next request.
        next_order: when this node may send the next order or report query.
        next_return: when the next caller who is refused should return.
        sent: requests that this node has sent under limits.
        peers_sent: the same of the other nodes, by name.
    """

    born: int
    rate: float
    heard: datetime.datetime
    next_send: datetime.datetime = NEVER
    next_order: datetime.datetime = NEVER
    next_return: datetime.datetime = NEVER
    sent: int = 0
    peers_sent: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerContact:
    """When another node was last heard.

    Attributes:
        heard: when its last message arrived.
        is_steady: whether the message before came within `MAX_MESSAGE_GAP`.
    """

    heard: datetime.datetime
    is_steady: bool


class RequestLimits:
    """Limits of the registered upstreams, as known to one node.

    Attributes:
        own: name of the node.
        limits: newest statements by instance id; upstreams that never named a
            limit have none.
        registered: start of the registered incarnations, by instance id.
        nodes: names of the nodes that share the limits, including this one.
        senders: nodes that send to a limited upstream, by instance id, as far
            as computed for `nodes`.
        contacts: when each other node was last heard, by its name.
    """

    def __init__(self, own: str, generator: random.Random) -> None:
        self.own = own
        self.random = generator
        self.limits: dict[str, KnownLimit] = {}
        self.registered: dict[str, int] = {}
        self.nodes = frozenset({own})
        self.senders: dict[str, frozenset[str]] = {}
        self.contacts: dict[str, PeerContact] = {}

    def replace_nodes(self, names: Iterable[str]) -> None:
        """Replace the names of the other nodes that may send requests."""
        nodes = frozenset({self.own, *names})
        if nodes != self.nodes:
            self.nodes = nodes
            self.senders.clear()
            self.contacts = {
                name: contact
                for name, contact in self.contacts.items()
                if name in nodes
            }

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
        self.senders = {
            name: senders
            for name, senders in self.senders.items()
            if name in self.limits
        }

    def record_answer(
        self,
        instance: inventory.Instance,
        rate: float | None,
        now: datetime.datetime,
        sent: datetime.datetime,
    ) -> bool:
        """Record what an answer of an upstream says of its limit.

        An answer may be read long after it was written, for example by a node
        that was frozen. That it names no limit counts from when its request was
        sent, so that it does not end a limit that was named meanwhile.

        Args:
            instance: the upstream.
            rate: requests per second; None if the answer names no limit.
            now: when the answer is read.
            sent: when its request was sent.

        Returns:
            Whether the limit has changed.
        """
        if rate is not None:
            limit = KnownLimit(instance.born, rate, now)
        elif instance.id in self.limits:
            limit = KnownLimit(instance.born, math.inf, sent)
        else:
            return False
        return self._record(instance.id, limit, now)

    def merge(
        self,
        node: str,
        statements: Iterable[LimitStatement],
        now: datetime.datetime,
    ) -> None:
        """Record statements that another node has sent."""
        last = self.contacts.get(node)
        is_steady = last is not None and now - last.heard < MAX_MESSAGE_GAP
        self.contacts[node] = PeerContact(now, is_steady)
        for statement in statements:
            if not statement.rate >= 0:
                continue
            heard = now - statement.age_ms * MILLISECOND
            self._record(
                statement.instance,
                KnownLimit(statement.born, statement.rate, heard),
                now,
            )
            self._count_peer_sends(node, statement, is_steady, now)

    def _count_peer_sends(
        self,
        node: str,
        statement: LimitStatement,
        is_steady: bool,
        now: datetime.datetime,
    ) -> None:
        """Delay the next request by those that another node has sent.

        What a node sends while it is not heard is in its own share.
        """
        limit = self.limits.get(statement.instance)
        if limit is None or limit.born != statement.born:
            return
        before = limit.peers_sent.get(node, statement.sent)
        limit.peers_sent[node] = statement.sent
        # A restarted node counts from 0.
        added = statement.sent - (before if before <= statement.sent else 0)
        if added and is_steady and not math.isinf(limit.rate):
            interval = self._get_interval(statement.instance, limit, now)
            limit.next_send = max(limit.next_send, now) + added * interval

    def _record(
        self, instance: str, limit: KnownLimit, now: datetime.datetime
    ) -> bool:
        """Record a statement unless a newer one is known.

        After a new limit the nodes begin to send at different times. After a
        changed one as many requests count as sent as before.
        """
        if self.registered.get(instance) != limit.born:
            return False
        known = self.limits.get(instance)
        if known is None:
            known = self.limits[instance] = dataclasses.replace(
                limit, rate=math.inf
            )
        elif known.heard > limit.heard:
            return False
        known.heard = limit.heard
        before, known.rate = known.rate, limit.rate
        if before == limit.rate:
            return False
        if not math.isinf(limit.rate):
            if math.isinf(before):
                interval = self._get_interval(instance, known, now)
                known.next_send = now + interval * self.random.random()
            elif known.next_send > now:
                factor = max(before, MIN_RATE) / max(known.rate, MIN_RATE)
                known.next_send = now + (known.next_send - now) * factor
            known.next_order = known.next_return = NEVER
        return True

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
        return now >= limit.next_send and self.own in self._get_senders(
            instance.id
        )

    def record_send(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> None:
        """Record that a request is sent to an upstream that has room."""
        limit = self.find(instance)
        if limit is not None:
            limit.sent += 1
            limit.next_send = max(limit.next_send, now) + self._get_interval(
                instance.id, limit, now
            )

    def acquire_order(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> bool:
        """Record an order or report query if it may be sent now.

        Every second slot at least is left to requests, since only their answers
        show that a limit has ended.
        """
        limit = self.find(instance)
        if limit is None:
            return True
        if now < limit.next_order or not self.has_room(instance, now):
            return False
        self.record_send(instance, now)
        limit.next_order = limit.next_send + self._get_interval(
            instance.id, limit, now
        )
        return True

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
        interval = self._get_interval(instance.id, limit, now)
        return SLOT_COST_SHARE * (interval / MILLISECOND)

    def plan_return(
        self, instances: Iterable[inventory.Instance], now: datetime.datetime
    ) -> datetime.timedelta:
        """Return after which time a refused caller should return.

        Callers get different times, as far apart as requests may be sent.

        Args:
            instances: the limited upstreams that could serve the request.
            now: the time.
        """
        times = {
            entry.id: max(limit.next_send, limit.next_return)
            for entry in instances
            if (limit := self.find(entry)) is not None
        }
        if not times:
            return datetime.timedelta()
        name = min(times, key=times.__getitem__)
        delay = max(times[name] - now, MILLISECOND)
        if delay > MAX_RETURN_DELAY:
            return MAX_RETURN_DELAY * self.random.uniform(0.5, 1.0)
        # The other nodes refuse callers as well, and know nothing of this one.
        limit = self.limits[name]
        interval = self._get_interval(name, limit, now)
        limit.next_return = (
            now + delay + interval * self._count_visible(name, now)
        )
        return delay

    def _get_interval(
        self, instance: str, limit: KnownLimit, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return the time between requests of the nodes heard from."""
        shares = len(self._get_senders(instance)) + SPARE_SHARES
        rate = max(limit.rate, MIN_RATE) * self._count_visible(instance, now)
        return datetime.timedelta(seconds=shares / rate)

    def _count_visible(self, instance: str, now: datetime.datetime) -> int:
        """Return the number of senders whose requests this node counts."""
        others = self._get_senders(instance) - {self.own}
        return 1 + sum(self._is_visible(name, now) for name in others)

    def _is_visible(self, node: str, now: datetime.datetime) -> bool:
        contact = self.contacts.get(node)
        return (
            contact is not None
            and contact.is_steady
            and now - contact.heard < MAX_MESSAGE_GAP
        )

    def _get_senders(self, instance: str) -> frozenset[str]:
        """Return the nodes that send to a limited upstream."""
        if len(self.nodes) <= MAX_SENDERS:
            return self.nodes
        if instance not in self.senders:
            ranked = sorted(
                self.nodes,
                key=lambda name: hashing.hash64(f"{instance} {name}"),
            )
            self.senders[instance] = frozenset(ranked[:MAX_SENDERS])
        return self.senders[instance]

    def list_statements(
        self, now: datetime.datetime
    ) -> tuple[LimitStatement, ...]:
        """Return statements to be sent to other nodes."""
        names = list(self.limits)
        if len(names) > MAX_STATEMENTS:
            names = self.random.sample(names, MAX_STATEMENTS)
        return tuple(
            LimitStatement(
                name,
                limit.born,
                limit.rate,
                (now - limit.heard) // MILLISECOND,
                limit.sent,
            )
            for name, limit in ((name, self.limits[name]) for name in names)
        )
