"""Which upstreams each node can reach.

That an upstream cannot be reached is a fact of a pair, a node and an upstream:
the network between the two may be cut while the upstream serves other nodes.
Nodes tell each other in their statuses what they reach.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
import dataclasses
import datetime
import random
from typing import Final

from cicadahook.core import inventory
from cicadahook.core import kept_connections

# A link on which nothing was heard for this time may be cut unseen.
HEARD_EXPIRY: Final = datetime.timedelta(seconds=10)
# Statements of another node count for this time, or longer in large fleets.
PEER_EXPIRY: Final = datetime.timedelta(seconds=2)
# A peer that could not pass on a request is left out for this time.
PEER_PAUSE: Final = datetime.timedelta(milliseconds=500)
# Open connections may live on while new ones are refused. With an answer within
# this time, requests may still be sent where no other node can help.
LIVE_CONNECTION_PERIOD: Final = datetime.timedelta(seconds=2)
# A sound upstream may be silent for about a second.
SILENCE_TOLERANCE: Final = datetime.timedelta(milliseconds=1500)
# What the way through another node costs, in ms: two more transfers.
DETOUR_MS: Final = 10.0
# Cost of a link on which new connections fail and no other node can help.
DOUBTFUL_MS: Final = 1500.0
# Statements in one status message; the others follow in later messages.
MAX_STATEMENTS: Final = 48
MILLISECOND: Final = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class LinkStatement:
    """What a node tells others of its link to an upstream.

    Attributes:
        instance: id of the upstream.
        born: start of its incarnation; see `inventory.Instance`.
        is_cut: whether the node cannot connect to it.
        age_ms: time since the node last heard from it; meaningless if it never
            has, which `is_heard` says.
        is_heard: whether the node has heard from it.
    """

    instance: str
    born: int
    is_cut: bool
    age_ms: int = 0
    is_heard: bool = False


@dataclasses.dataclass
class Link:
    """The link between one node and one incarnation of an upstream.

    Attributes:
        born: start of the incarnation.
        heard: when the upstream was last heard; None if never.
        cut_since: since when new connections fail; None while they do not.
        is_refused: whether a new connection was refused since then, and not
            only left unanswered.
    """

    born: int
    heard: datetime.datetime | None = None
    cut_since: datetime.datetime | None = None
    is_refused: bool = False

    def was_heard_after(self, time: datetime.datetime) -> bool:
        """Whether the upstream was heard after `time`."""
        return self.heard is not None and self.heard > time


class Reachability:
    """The links of this node and what other nodes tell of theirs.

    Attributes:
        links: own links, by id of the upstream.
        registered: start of the registered incarnations, by instance id.
        peers: links of the other nodes, by their names and instance id.
        told: when each other node last told of its links.
        avoided_peers: until when another node is not asked to pass on requests.
        peer_expiry: how long statements of other nodes count.
        kept: connections that this node keeps.
    """

    def __init__(
        self,
        generator: random.Random,
        kept: kept_connections.KeptConnections,
    ) -> None:
        self.random = generator
        self.kept = kept
        self.links: dict[str, Link] = {}
        self.registered: dict[str, int] = {}
        self.peers: dict[str, dict[str, Link]] = {}
        self.told: dict[str, datetime.datetime] = {}
        self.avoided_peers: dict[str, datetime.datetime] = {}
        self.peer_expiry = PEER_EXPIRY

    def update_registered(
        self, instances: Mapping[str, inventory.Instance]
    ) -> None:
        """Drop the links to upstreams that left or restarted."""
        self.registered = {
            name: entry.born for name, entry in instances.items()
        }
        self.links = {
            name: link
            for name, link in self.links.items()
            if self.registered.get(name) == link.born
        }
        self.kept.drop_unlisted(instances.values())

    def forget_peer(self, name: str) -> None:
        """Drop what another node has told, which passes on no requests."""
        self.told.pop(name, None)
        self.peers.pop(name, None)
        self.avoided_peers.pop(name, None)

    def replace_nodes(self, names: Iterable[str]) -> None:
        """Drop what nodes other than `names` have told."""
        for name in self.peers.keys() - set(names):
            self.forget_peer(name)

    def record_heard(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> None:
        """Record an answer, which may come on an old connection."""
        link = self._get(instance)
        if link is not None:
            link.heard = now

    def record_connected(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> bool:
        """Record a new connection; return whether the link was cut before."""
        link = self._get(instance)
        if link is None:
            return False
        was_cut = link.cut_since is not None
        link.heard, link.cut_since, link.is_refused = now, None, False
        return was_cut

    def record_failure(
        self,
        instance: inventory.Instance,
        now: datetime.datetime,
        *,
        is_refused: bool,
    ) -> bool:
        """Record a failed connection; return whether the link is newly cut."""
        link = self._get(instance)
        if link is None:
            return False
        link.is_refused |= is_refused
        if link.cut_since is not None:
            return False
        link.cut_since = now
        return True

    def record_peer_failure(
        self, peer: str, instance: inventory.Instance, now: datetime.datetime
    ) -> None:
        """Record that another node could not reach an upstream either."""
        links = self.peers.setdefault(peer, {})
        link = links.setdefault(instance.id, Link(instance.born))
        link.born, link.cut_since = instance.born, now

    def avoid_peer(self, peer: str, now: datetime.datetime) -> None:
        """Record that another node could not pass on a request."""
        self.avoided_peers[peer] = now + PEER_PAUSE

    def _get(self, instance: inventory.Instance) -> Link | None:
        """Return the own link to a registered upstream."""
        if self.registered.get(instance.id) != instance.born:
            return None
        link = self.links.get(instance.id)
        if link is None:
            link = self.links[instance.id] = Link(instance.born)
        return link

    def merge(
        self,
        peer: str,
        statements: Iterable[LinkStatement],
        now: datetime.datetime,
    ) -> None:
        """Record what another node tells of its links."""
        links = self.peers[peer] = {}
        self.told[peer] = now
        for statement in statements:
            heard = None
            if statement.is_heard and statement.age_ms < 2**31:
                heard = now - statement.age_ms * MILLISECOND
            links[statement.instance] = Link(
                statement.born, heard, now if statement.is_cut else None
            )

    def count_cut_since(self, time: datetime.datetime) -> int:
        """Return the number of own links that were cut after `time`."""
        return sum(
            link.cut_since is not None and link.cut_since > time
            for link in self.links.values()
        )

    def is_cut(self, instance: inventory.Instance) -> bool:
        """Whether this node cannot open connections to an upstream."""
        link = self.links.get(instance.id)
        return (
            link is not None
            and link.born == instance.born
            and link.cut_since is not None
        )

    def find_peer_links(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> Iterator[tuple[str, Link]]:
        """Yield what other nodes told lately of their links to an upstream."""
        for peer, links in self.peers.items():
            link = links.get(instance.id)
            is_known = link is not None and link.born == instance.born
            if link is not None and is_known and self._is_told(peer, now):
                yield peer, link

    def _is_told(self, peer: str, now: datetime.datetime) -> bool:
        """Whether another node has told of its links lately."""
        told = self.told.get(peer)
        return told is not None and now - told < self.peer_expiry

    def list_helpers(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> tuple[str, ...]:
        """Return the nodes that may pass on requests to an upstream.

        Those that have heard from it come first. The others say nothing of it
        and reach other upstreams.
        """
        helpers: list[str] = []
        unknown: list[str] = []
        for peer, links in self.peers.items():
            is_avoided = now < self.avoided_peers.get(peer, now)
            if is_avoided or not self._is_told(peer, now):
                continue
            link = links.get(instance.id)
            if link is None or link.born != instance.born:
                if any(other.cut_since is None for other in links.values()):
                    unknown.append(peer)
            elif link.cut_since is None:
                helpers.append(peer)
        return (*helpers, *unknown)

    def _list_lacked(self, now: datetime.datetime) -> set[str]:
        """Return the upstreams that other nodes cannot reach."""
        return {
            name
            for peer, links in self.peers.items()
            if self._is_told(peer, now)
            for name, link in links.items()
            if link.cut_since is not None
        }

    def find_unreachable(
        self, instances: Iterable[inventory.Instance], now: datetime.datetime
    ) -> frozenset[str]:
        """Return the ids of the upstreams that no request can reach now."""
        # Mostly no link is cut, and each request asks for all upstreams.
        cut = {
            name
            for name, link in self.links.items()
            if link.cut_since is not None
        }
        if not cut:
            return frozenset()
        return frozenset(
            entry.id
            for entry in instances
            if entry.id in cut and not self._has_path(entry, now)
        )

    def _has_path(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> bool:
        if not self.is_cut(instance):
            return True
        link = self.links[instance.id]
        assert link.cut_since is not None, "cut"
        if not link.is_refused and now - link.cut_since < SILENCE_TOLERANCE:
            return True
        if link.was_heard_after(
            max(link.cut_since, now - LIVE_CONNECTION_PERIOD)
        ):
            return True
        return bool(self.list_helpers(instance, now))

    def get_cost_ms(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> float:
        """Return what the way to an upstream costs, in ms."""
        if not self.is_cut(instance):
            return self.kept.get_cost_ms(instance, now)
        return DETOUR_MS if self.list_helpers(instance, now) else DOUBTFUL_MS

    def is_cut_off(
        self,
        instances: Collection[inventory.Instance],
        now: datetime.datetime,
    ) -> bool:
        """Whether this node lacks most links, and another node has them."""
        cut = [entry for entry in instances if self.is_cut(entry)]
        if 2 * len(cut) <= len(instances):
            return False
        reached = lost = 0
        for entry in cut:
            links = [link for _, link in self.find_peer_links(entry, now)]
            if any(
                link.cut_since is None
                and link.was_heard_after(now - HEARD_EXPIRY)
                for link in links
            ):
                reached += 1
            elif links:
                lost += 1
        return reached > lost

    def list_statements(
        self, now: datetime.datetime
    ) -> tuple[LinkStatement, ...]:
        """Return statements on own links to be sent to other nodes.

        These are the links that are cut, those to upstreams that another node
        lacks, and the one that was heard last, which shows that there is one.
        """
        heard = {
            name: link
            for name, link in self.links.items()
            if link.cut_since is None
            and link.was_heard_after(now - HEARD_EXPIRY)
        }
        newest = max(
            heard, key=lambda name: heard[name].heard or now, default=""
        )
        lacked = self._list_lacked(now)
        told = [
            (name, link)
            for name, link in self.links.items()
            if link.cut_since is not None
            or name == newest
            or (name in heard and name in lacked)
        ]
        if len(told) > MAX_STATEMENTS:
            told = self.random.sample(told, MAX_STATEMENTS)
        return tuple(
            LinkStatement(
                name,
                link.born,
                link.cut_since is not None,
                (now - link.heard) // MILLISECOND if link.heard else 0,
                link.heard is not None,
            )
            for name, link in told
        )
