"""Data of the operators' dashboard, which a control serves below `/wall`."""

import dataclasses
import enum

from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib


class Severity(enum.StrEnum):
    """Severity of a problem, in the order in which problems are displayed."""

    BAD = "bad"
    WARNING = "warning"
    NOTE = "note"


@dataclasses.dataclass(frozen=True, slots=True)
class ReasonCount:
    """Number of events for one reason in the last minute."""

    reason: str
    last_minute: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowRate:
    """Load of one entry for a row."""

    row: str
    in_flight: int
    arrivals_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntryFigures:
    """The newest report of an entry.

    Attributes:
        entry: its address.
        generation: table generation that it has in force.
        is_draining: whether it is leaving.
        age_seconds: time since the report arrived.
        uses: its use of each upstream.
        rows: its load for each row.
    """

    entry: str
    generation: int
    is_draining: bool
    age_seconds: float
    uses: tuple[view_lib.UpstreamUse, ...] = ()
    rows: tuple[RowRate, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class NodeFigures:
    """Figures that one control collects itself.

    Attributes:
        node: name of its VM.
        generation: table generation that it has in force.
        entries: figures of the entries that are linked to it.
        refusals: refusals by the entry on its VM.
        retries: retries by the entry on its VM.
    """

    node: str
    generation: int
    entries: tuple[EntryFigures, ...] = ()
    refusals: tuple[ReasonCount, ...] = ()
    retries: tuple[ReasonCount, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Newest figures of a node, or None if there are none, and their age."""

    figures: NodeFigures | None
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A problem that operators should look at."""

    severity: Severity
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class RowLine:
    """One row of the table as displayed.

    Attributes:
        name: name of the row.
        kind: what the row describes.
        serving: number of serving copies.
        changing: number of copies that are being loaded or unloaded.
        wanted: minimum number of copies.
        in_flight: requests in flight over all entries.
        arrivals_per_second: arrival rate over all entries.
        max_in_flight: limit of requests in flight; 0 means none.
        rate_per_second: limit of the arrival rate; 0 means none.
    """

    name: str
    kind: table_lib.RowKind
    serving: int
    changing: int
    wanted: int
    in_flight: int
    arrivals_per_second: float
    max_in_flight: int
    rate_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLine:
    """One upstream as displayed; `limit` is the sum of the entries' limits."""

    address: str
    zone: str
    state: view_lib.UpstreamState
    runs: str
    in_flight: int
    limit: float


@dataclasses.dataclass(frozen=True, slots=True)
class MemberLine:
    """One entry VM as displayed.

    The generations of control and entry are None if they did not answer.
    """

    name: str
    zone: str
    state: view_lib.MemberState
    control: str
    generation: int | None
    entry_generation: int | None
    age_seconds: float


@dataclasses.dataclass(frozen=True)
class Wall:
    """Content of the dashboard.

    Attributes:
        control: name of the control that serves the dashboard.
        generation: newest table generation in force on any node.
        upstreams_age_seconds: time since the upstreams were last polled.
        problems: problems to look at, the most severe first.
        rows: rows of the table, those with too few copies first.
        upstreams: upstreams, those that are not live first.
        members: entry VMs, those that are not alive first.
        refusals: refusals of all entries, the most frequent first.
        retries: retries of all entries, the most frequent first.
    """

    control: str
    generation: int
    upstreams_age_seconds: float
    problems: tuple[Problem, ...]
    rows: tuple[RowLine, ...]
    upstreams: tuple[UpstreamLine, ...]
    members: tuple[MemberLine, ...]
    refusals: tuple[ReasonCount, ...]
    retries: tuple[ReasonCount, ...]
