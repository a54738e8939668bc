"""The machines of the system, from registrations and from what they tell."""

from collections.abc import Iterable, Iterator
import dataclasses
import datetime
import math
from typing import Final

from cicadahook.core import balancer
from cicadahook.core import grants
from cicadahook.core import paces as paces_lib
from cicadahook.core import view

STATUS_PERIOD: Final = datetime.timedelta(milliseconds=150)
# Machines that are told everything in one period; the others have their turn
# in the next ones. With 1.2 KB a status, that is 64 KB/s a machine at most.
STATUS_FANOUT: Final = 8
# Turns after which a machine counts as silent, when turns take long.
SILENT_ROUNDS: Final = 2.5
# A machine that was silent for so long is left out of address answers.
SILENCE_LIMIT: Final = datetime.timedelta(milliseconds=1500)
# A machine that is neither registered nor heard for so long is taken to be
# gone for good. One that was only cut off must register again before it can
# take a turn; leases last 3 s, and silence shows after 1.5 s or a few turns.
REMOVAL_DELAY: Final = datetime.timedelta(seconds=10)
ADDRESS_LIMIT: Final = 64


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """A machine as it registers itself in the store.

    Attributes:
        name: unique name.
        zone: availability zone.
        region: region of that zone.
        front_address: `host:port` for callers.
        peer_address: `host:port` for other nodes.
        incarnation: start of its process, in Unix milliseconds.
    """

    name: str
    zone: str
    region: str
    front_address: str
    peer_address: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """What a machine tells the others several times a second.

    Attributes:
        node: who it is.
        number: grows with each message of an incarnation.
        is_ready: whether it takes new callers.
        is_holder: whether it sends orders to engines.
        has_left: whether this is its last message.
        is_brief: whether loads, demand, paces and suspects are left out, as
            the last message that had them told them.
        fence: fence of its term as holder of orders; 0 if it has none.
        newest_term: highest fence that it knows of.
        grant: leave for the holder that it knows.
        configuration: version of its configuration.
        inventory: revision of its picture of the upstreams.
        loads: its work at each upstream.
        wanted: work that it was asked for lately, by model.
        paces: how long models take, as it has seen.
        withdrawn: copies that it has ordered engines to drop.
        suspects: requests suspected of crashing upstreams.
    """

    node: NodeRecord
    number: int
    is_ready: bool
    is_holder: bool
    has_left: bool
    fence: int
    newest_term: int
    configuration: int
    inventory: int
    grant: grants.Grant = grants.Grant()
    is_brief: bool = False
    loads: tuple[balancer.InstanceLoad, ...] = ()
    wanted: tuple["ModelDemand", ...] = ()
    paces: tuple[paces_lib.PaceEstimate, ...] = ()
    withdrawn: tuple["WithdrawnCopy", ...] = ()
    suspects: tuple[view.Suspect, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ModelDemand:
    """The share of an engine that requests for a model keep busy."""

    service: str
    model: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawnCopy:
    """A model that an engine has been ordered to drop."""

    instance: str
    model: str


class Roster:
    """Tracks the other machines.

    Attributes:
        own: this machine.
        registered: machines registered in the store, by name.
        statuses: newest message of each machine, with the time it came.
    """

    def __init__(self, own: NodeRecord) -> None:
        self.own = own
        self.registered: dict[str, NodeRecord] = {}
        self.statuses: dict[str, tuple[datetime.datetime, NodeStatus]] = {}

    def record_status(self, status: NodeStatus, now: datetime.datetime) -> bool:
        """Take note of a message; return whether it is news."""
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
                    suspects=newest.suspects,
                )
        self.statuses[name] = (now, status)
        return True

    def list_full_status_peers(
        self, number: int, now: datetime.datetime
    ) -> set[str]:
        """Return the machines that are told everything this time.

        Args:
            number: counts the periods.
            now: the time.
        """
        names = sorted(record.name for record in self.list_peers(now))
        periods = self._count_periods()
        return set(names[number % periods :: periods])

    def get_silence_limit(self) -> datetime.timedelta:
        """Return after how long a machine counts as silent."""
        round_length = self._count_periods() * STATUS_PERIOD
        return max(SILENCE_LIMIT, SILENT_ROUNDS * round_length)

    def _count_periods(self) -> int:
        """Return the periods in which each machine is told everything once."""
        node_count = len(self.statuses.keys() | self.registered.keys())
        return max(1, math.ceil(node_count / STATUS_FANOUT))

    def list_peers(self, now: datetime.datetime) -> Iterator[NodeRecord]:
        """Yield the other machines to which messages are sent."""
        recent = {
            status.node.name: status.node for _, status in self.list_recent(now)
        }
        for name, record in (self.registered | recent).items():
            if name != self.own.name:
                yield record

    def list_required_granters(self, now: datetime.datetime) -> frozenset[str]:
        """Return the machines without whose leave no holder goes on."""
        removed = {
            name
            for name, (received_at, status) in self.statuses.items()
            if status.has_left
            or (
                name not in self.registered
                and now - received_at >= REMOVAL_DELAY
            )
        }
        known = self.statuses.keys() | self.registered.keys()
        return frozenset(known - removed - {self.own.name})

    def create_grant(self, term: int, now: datetime.datetime) -> grants.Grant:
        """Return what this machine grants, knowing of terms up to `term`."""
        holders = [
            status
            for _, status in self.list_recent(now)
            if status.fence and status.fence >= term
        ]
        if not holders:
            return grants.Grant()
        newest = max(holders, key=lambda status: status.fence)
        return grants.Grant(newest.node.name, newest.fence, newest.number)

    def list_recent(
        self, now: datetime.datetime
    ) -> Iterator[tuple[datetime.datetime, NodeStatus]]:
        """Yield the newest message of each machine that still speaks."""
        limit = self.get_silence_limit()
        for received_at, status in self.statuses.values():
            if now - received_at < limit:
                yield received_at, status

    def count_nodes(self, now: datetime.datetime) -> int:
        """Return how many machines share what all may use together."""
        names = {status.node.name for _, status in self.list_recent(now)}
        return len(names | self.registered.keys() | {self.own.name})

    def find_holder(self, now: datetime.datetime) -> NodeRecord | None:
        """Return the machine that sends orders, if one says so."""
        holders = [
            status
            for _, status in self.list_recent(now)
            if status.is_holder and not status.has_left
        ]
        if not holders:
            return None
        return max(holders, key=lambda status: status.fence).node

    def list_addresses(
        self, zone: str, region: str, is_own_ready: bool, now: datetime.datetime
    ) -> tuple[str, ...]:
        """Return addresses for callers, nearest first."""
        records = [
            status.node
            for _, status in self.list_recent(now)
            if status.is_ready
        ]
        if is_own_ready:
            records.append(self.own)
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
        """Replace all registrations."""
        self.registered = {record.name: record for record in records}
