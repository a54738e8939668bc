"""Nodes of the system, from their registrations and their status messages."""

from collections.abc import Iterable, Iterator
import dataclasses
import datetime
import math
from typing import Final

from cicadahook.core import balancer
from cicadahook.core import brittle_upstreams
from cicadahook.core import crash_records
from cicadahook.core import expected_waits
from cicadahook.core import grants
from cicadahook.core import leaving_upstreams
from cicadahook.core import model_paces
from cicadahook.core import reachability
from cicadahook.core import request_limits
from cicadahook.core import stream_origins
from cicadahook.core import token_buckets

STATUS_PERIOD: Final = datetime.timedelta(milliseconds=150)
# Number of nodes that receive the full status in one period; the others follow
# in the next periods. With 1.2 KB per status, a node sends at most 64 KB/s.
STATUS_FANOUT: Final = 8
# Number of rounds without a message after which a node counts as silent, where
# this exceeds SILENCE_LIMIT. In a round each node gets the full status once.
SILENT_ROUNDS: Final = 2.5
# A node that was silent for this time is left out of address answers.
SILENCE_LIMIT: Final = datetime.timedelta(milliseconds=1500)
# A node that is not registered and has sent no status for this time is
# considered removed. A node that was only partitioned must register again
# before it can become holder of orders. Leases last 3 s, and silence is
# detected after 1.5 s or a few rounds.
REMOVAL_DELAY: Final = datetime.timedelta(seconds=10)
ADDRESS_LIMIT: Final = 64


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """A node as it registers itself in the store.

    Attributes:
        name: unique name.
        zone: availability zone.
        region: region of that zone.
        front_address: `host:port` for callers.
        peer_address: `host:port` for other nodes.
        incarnation: start time of its process, in Unix milliseconds.
        has_narrow_link: whether its own link is too narrow to serve many other
            nodes; nodes of older builds do not tell.
    """

    name: str
    zone: str
    region: str
    front_address: str
    peer_address: str
    incarnation: int
    has_narrow_link: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamNews:
    """What a node tells others of single upstreams.

    Attributes:
        links: which upstreams it can reach.
        brittle: what it knows of brittle upstreams.
        leaving: upstreams that have said that they leave.
        loading: loads that the holder of orders has ordered and that are not
            done.
    """

    links: tuple[reachability.LinkStatement, ...] = ()
    brittle: tuple[brittle_upstreams.BrittleStatement, ...] = ()
    leaving: tuple[leaving_upstreams.LeavingStatement, ...] = ()
    loading: tuple[expected_waits.LoadStatement, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
# Nodes of older builds read it too, so that fields are added and never grouped.
# pylint: disable-next=too-many-instance-attributes
class NodeStatus:
    """Status message that a node sends to the others several times a second.

    Attributes:
        node: the sending node.
        number: sequence number of the message within an incarnation.
        is_ready: whether it accepts new callers.
        is_holder: whether it sends orders to engines.
        has_left: whether this is its last message.
        is_brief: whether loads, demand, paces and suspects are left out; those
            of the last full message still apply.
        fence: fencing number of its term as holder of orders; 0 if it has no
            term.
        newest_term: highest fencing number that the store has told it.
        grant: its grant to the holder that it knows.
        loads: its load on each upstream.
        wanted: recent demand on it, by model.
        paces: run times of models that it has observed.
        withdrawn: copies that it has ordered engines to drop.
        crash_suspects: what it knows of traits that may crash upstreams.
        limits: what upstreams last said of their request limits.
        origins: software versions that began streams here lately.
        upstreams: what it knows of single upstreams.
        is_cut_off: whether it lacks the links to most upstreams.
        capabilities: what its build can do, see `status_schedule`; empty if
            the build is older than that list.
        wants_grants: whether it needs the grants of all others as holder.
        allowances: what it has charged to each tenant that has a limit.
        lacks_store: whether the store does not answer it; nodes of older builds
            do not tell.
        era: era of the store to which `fence` and `newest_term` belong; 0 if
            it knows of none, or its build is older than this field.
    """

    node: NodeRecord
    number: int
    is_ready: bool
    is_holder: bool
    has_left: bool
    fence: int
    newest_term: int
    grant: grants.Grant = grants.Grant()
    is_brief: bool = False
    loads: tuple[balancer.InstanceLoad, ...] = ()
    wanted: tuple["ModelDemand", ...] = ()
    paces: tuple[model_paces.PaceEstimate, ...] = ()
    withdrawn: tuple["WithdrawnCopy", ...] = ()
    crash_suspects: tuple[crash_records.SuspectStatement, ...] = ()
    limits: tuple[request_limits.LimitStatement, ...] = ()
    origins: tuple[stream_origins.OriginStatement, ...] = ()
    upstreams: UpstreamNews = UpstreamNews()
    is_cut_off: bool = False
    capabilities: tuple[str, ...] = ()
    wants_grants: bool = False
    allowances: tuple[token_buckets.AllowanceStatement, ...] = ()
    lacks_store: bool = False
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ModelDemand:
    """Share of an engine that the requests for a model keep busy."""

    service: str
    model: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawnCopy:
    """A model that an engine has been ordered to drop."""

    instance: str
    model: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnState:
    """Whether this node accepts callers, and lacks links to upstreams."""

    is_ready: bool
    is_cut_off: bool = False


class Roster:
    """Tracks the other nodes.

    Attributes:
        own: this node.
        registered: nodes registered in the store, by name.
        statuses: newest status of each node, with its time of arrival.
    """

    def __init__(self, own: NodeRecord) -> None:
        self.own = own
        self.registered: dict[str, NodeRecord] = {}
        self.statuses: dict[str, tuple[datetime.datetime, NodeStatus]] = {}

    def record_status(self, status: NodeStatus, now: datetime.datetime) -> bool:
        """Record a status; return whether it is newer than the known one.

        A brief status keeps the lists of the last full one of the same
        incarnation.
        """
        name = status.node.name
        if name == self.own.name:
            return False
        known = self.statuses.get(name)
        if known is not None:
            newest = known[1]
            if (status.node.incarnation, status.number) <= (
                newest.node.incarnation,
                newest.number,
            ):
                return False
            if status.is_brief and newest.node == status.node:
                status = dataclasses.replace(
                    status,
                    loads=newest.loads,
                    wanted=newest.wanted,
                    paces=newest.paces,
                    crash_suspects=newest.crash_suspects,
                )
        self.statuses[name] = (now, status)
        return True

    def list_full_status_peers(
        self, number: int, now: datetime.datetime
    ) -> set[str]:
        """Return the names of the nodes that get the full status this period.

        Args:
            number: number of the period.
            now: the time.
        """
        names = sorted(record.name for record in self.list_peers(now))
        periods = self._count_periods()
        return set(names[number % periods :: periods])

    def get_silence_limit(self) -> datetime.timedelta:
        """Return the time without a status after which a node is silent."""
        return max(SILENCE_LIMIT, SILENT_ROUNDS * self.get_round_length())

    def get_round_length(self) -> datetime.timedelta:
        """Return the time in which each node gets one full status."""
        return self._count_periods() * STATUS_PERIOD

    def _count_periods(self) -> int:
        """Return the number of periods in which each node gets one status."""
        node_count = len(self.statuses.keys() | self.registered.keys())
        return max(1, math.ceil(node_count / STATUS_FANOUT))

    def list_peers(self, now: datetime.datetime) -> Iterator[NodeRecord]:
        """Yield the other nodes to which statuses are sent."""
        recent = {
            status.node.name: status.node for _, status in self.list_recent(now)
        }
        for name, record in (self.registered | recent).items():
            if name != self.own.name:
                yield record

    def list_required_granters(self, now: datetime.datetime) -> frozenset[str]:
        """Return the nodes whose grants a holder needs to send orders.

        A node that said it leaves may come back unseen and become holder.
        """
        removed = {
            name
            for name, (received_at, _) in self.statuses.items()
            if name not in self.registered
            and now - received_at >= REMOVAL_DELAY
        }
        known = self.statuses.keys() | self.registered.keys()
        return frozenset(known - removed - {self.own.name})

    def create_grant(
        self, term: int, era: int, now: datetime.datetime
    ) -> grants.Grant:
        """Return the grant of this node.

        Args:
            term: fence of the newest term that this node knows of.
            era: era of the store that this node believes. A term of an earlier
                one may have a higher fence than `term`.
            now: the time.
        """
        holders = [
            status
            for _, status in self.list_recent(now)
            if status.fence and status.fence >= term and status.era in (0, era)
        ]
        if not holders:
            return grants.Grant()
        newest = max(holders, key=lambda status: status.fence)
        return grants.Grant(newest.node.name, newest.fence, newest.number)

    def list_recent(
        self, now: datetime.datetime
    ) -> Iterator[tuple[datetime.datetime, NodeStatus]]:
        """Yield the newest status of each node that is not silent.

        Each status comes with its time of arrival.
        """
        limit = self.get_silence_limit()
        for received_at, status in self.statuses.values():
            if now - received_at < limit:
                yield received_at, status

    def find_recent(
        self, name: str, now: datetime.datetime
    ) -> NodeStatus | None:
        """Return the newest status of a node that is not silent."""
        known = self.statuses.get(name)
        if known is None or now - known[0] >= self.get_silence_limit():
            return None
        return known[1]

    def supports(self, node: NodeRecord, capability: str) -> bool:
        """Whether a process has told that its build can do something.

        One that has left may be followed by a process of an older build.
        """
        known = self.statuses.get(node.name)
        return (
            known is not None
            and known[1].node.incarnation == node.incarnation
            and not known[1].has_left
            and capability in known[1].capabilities
        )

    def count_nodes(self, now: datetime.datetime) -> int:
        """Return the number of nodes among which shared limits are divided."""
        return len(self.list_names(now))

    def list_names(self, now: datetime.datetime) -> frozenset[str]:
        """Return the nodes among which shared limits are divided."""
        names = {status.node.name for _, status in self.list_recent(now)}
        return frozenset(names | self.registered.keys() | {self.own.name})

    def is_member_host(self, host: str, now: datetime.datetime) -> bool:
        """Whether a node that is registered or heard runs on a host."""
        return any(
            record.peer_address.rpartition(":")[0] == host
            for record in self.list_peers(now)
        )

    def find_holder(self, now: datetime.datetime) -> NodeRecord | None:
        """Return the node that sends orders, if a status reports one."""
        holders = [
            status
            for _, status in self.list_recent(now)
            if status.is_holder and not status.has_left
        ]
        if not holders:
            return None
        return max(holders, key=lambda status: status.fence).node

    def list_addresses(
        self,
        zone: str,
        region: str,
        own: OwnState,
        now: datetime.datetime,
    ) -> tuple[str, ...]:
        """Return the addresses of ready nodes for callers, nearest first.

        Nodes that lack links to upstreams are left out, unless all do.
        """
        ready = [
            (status.node, status.is_cut_off)
            for _, status in self.list_recent(now)
            if status.is_ready
        ]
        if own.is_ready:
            ready.append((self.own, own.is_cut_off))
        records = [record for record, is_cut_off in ready if not is_cut_off]
        records = records or [record for record, _ in ready]
        return tuple(
            record.front_address
            for record in sorted(
                records,
                key=lambda record: (
                    record.zone != zone,
                    record.region != region,
                    record.name,
                ),
            )
        )[:ADDRESS_LIMIT]

    def replace_registrations(self, records: Iterable[NodeRecord]) -> None:
        """Replace the known registrations."""
        self.registered = {record.name: record for record in records}
