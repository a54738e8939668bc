"""Views, which a control sends to its entry, and the entry's reports to it."""

import dataclasses
import datetime
import enum
import functools

from cicadahook.core import table as table_lib


class UpstreamKind(enum.StrEnum):
    """Kind of software on an upstream VM."""

    ENGINE = "engine"
    SERVICE = "service"


class UpstreamState(enum.StrEnum):
    """Whether an upstream accepts new work."""

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


class CopyState(enum.StrEnum):
    """State of a copy of a row on an upstream."""

    LOADING = "loading"
    SERVING = "serving"
    UNLOADING = "unloading"


class MemberState(enum.StrEnum):
    """State of a member as the other members know it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream VM as last polled.

    Attributes:
        address: `host:port` of its HTTP API.
        zone: its availability zone.
        kind: kind of software on it.
        service: for a plain service, the name of its row.
        state: whether it accepts new work.
        capacity_bytes: accelerator memory, in bytes.
        incarnation: identifies its process; changes with each restart.
        in_flight: requests in flight by its own report, which lags behind.
        role: role that it was ordered to take, such as `prefill`.
    """

    address: str
    zone: str
    kind: UpstreamKind
    service: str = ""
    state: UpstreamState = UpstreamState.LIVE
    capacity_bytes: int = 0
    incarnation: str = ""
    in_flight: int = 0
    role: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """A copy of a row on an upstream."""

    row: str
    upstream: str
    version: str
    state: CopyState


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An entry VM of the system.

    Attributes:
        name: name of the VM, unique and constant during its lifetime.
        entry: `host:port` of its entry's HTTP API.
        control: `host:port` of its control's HTTP API.
        zone: its availability zone.
        state: state of the member as the others know it.
        incarnation: version of its state, which the member itself raises to
            refute a suspicion.
        generation: table generation that it last announced as in force.
    """

    name: str
    entry: str
    control: str
    zone: str
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    generation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """Load that the other entries report for an upstream.

    Attributes:
        upstream: its address.
        in_flight: requests that they have in flight there, in all.
        limit: mean of the concurrency limits that they learned; 0 means none.
    """

    upstream: str
    in_flight: int
    limit: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRowLoad:
    """Load that the other entries report for a row.

    Attributes:
        row: its name.
        in_flight: requests that they have in flight for it, in all.
        arrivals_per_second: sum of their arrival rates, in requests per second.
    """

    row: str
    in_flight: int
    arrivals_per_second: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A request that was running on upstreams when they died.

    Attributes:
        fingerprint: hash of its content.
        deaths: incarnations of the upstreams that died while it ran.
        last_seen: time of the latest of these deaths.
    """

    fingerprint: str
    deaths: tuple[str, ...]
    last_seen: datetime.datetime


@dataclasses.dataclass(frozen=True)
class View:
    """Immutable state from which an entry routes requests.

    Attributes:
        control: name of the control that created the view.
        number: sequence number of the view at that control.
        table: table in force.
        upstreams: all known upstreams.
        copies: all known copies.
        members: all known entry VMs.
        peer_loads: loads of upstreams by the other entries.
        peer_row_loads: loads of rows by the other entries.
        suspects: requests suspected of crashing upstreams, from all entries.
    """

    control: str = ""
    number: int = 0
    table: table_lib.Table = table_lib.Table()
    upstreams: tuple[Upstream, ...] = ()
    copies: tuple[Copy, ...] = ()
    members: tuple[Member, ...] = ()
    peer_loads: tuple[PeerLoad, ...] = ()
    peer_row_loads: tuple[PeerRowLoad, ...] = ()
    suspects: tuple[Suspect, ...] = ()

    @functools.cached_property
    def upstream_by_address(self) -> dict[str, Upstream]:
        """Upstreams by address."""
        return {upstream.address: upstream for upstream in self.upstreams}

    @functools.cached_property
    def serving(self) -> dict[str, tuple[Upstream, ...]]:
        """Live upstreams that hold a serving copy, by row name."""
        found: dict[str, list[Upstream]] = {}
        for copy in self.copies:
            upstream = self.upstream_by_address.get(copy.upstream)
            if upstream is None or upstream.state is not UpstreamState.LIVE:
                continue
            if copy.state is CopyState.SERVING:
                found.setdefault(copy.row, []).append(upstream)
        return {row: tuple(upstreams) for row, upstreams in found.items()}

    def upstreams_for(self, row: table_lib.Row) -> tuple[Upstream, ...]:
        """Return the live upstreams that can serve `row`."""
        if row.kind is not table_lib.RowKind.SERVICE:
            return self.serving.get(row.name, ())
        return tuple(
            upstream
            for upstream in self.upstreams
            if upstream.service == row.name
            and upstream.state is UpstreamState.LIVE
        )


@dataclasses.dataclass(frozen=True, slots=True)
class RowDemand:
    """Demand for a row at an entry since its previous report.

    Attributes:
        row: its name.
        arrivals: requests that arrived.
        refusals: requests that were refused.
        in_flight: requests in flight now.
    """

    row: str
    arrivals: int
    refusals: int = 0
    in_flight: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUse:
    """Use of an upstream by an entry.

    Attributes:
        upstream: its address.
        in_flight: requests in flight.
        limit: concurrency limit that the entry learned; 0 means none yet.
    """

    upstream: str
    in_flight: int
    limit: float = 0.0


@dataclasses.dataclass(frozen=True)
class Report:
    """Report of an entry to its control, sent a few times a second.

    Attributes:
        entry: `host:port` of the entry.
        generation: table generation that the entry has in force.
        draining: whether the entry is leaving.
        uses: its use of each upstream.
        demands: demand by row since its previous report.
        suspects: requests that the entry suspects of crashing upstreams.
    """

    entry: str
    generation: int
    draining: bool = False
    uses: tuple[UpstreamUse, ...] = ()
    demands: tuple[RowDemand, ...] = ()
    suspects: tuple[Suspect, ...] = ()
