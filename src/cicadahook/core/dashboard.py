"""Messages of the control room's wall screen."""

import dataclasses
import enum

from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib


class Severity(enum.StrEnum):
    """How bad a piece of news is; the order is that of the screen."""

    BAD = "bad"
    WARNING = "warning"
    NOTE = "note"


@dataclasses.dataclass(frozen=True, slots=True)
class ReasonCount:
    """How often something happened for one reason in the last minute."""

    reason: str
    last_minute: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowRate:
    """What one entry sees of a row."""

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
        age_seconds: time since the report came.
        uses: what it has in flight at upstreams.
        rows: what it sees of rows.
    """

    entry: str
    generation: int
    is_draining: bool
    age_seconds: float
    uses: tuple[view_lib.UpstreamUse, ...] = ()
    rows: tuple[RowRate, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class NodeFigures:
    """What one control knows first-hand.

    Attributes:
        node: name of its VM.
        generation: table generation that it has in force.
        entries: entries linked to it.
        refusals: refusals of its VM's entry.
        retries: further attempts of its VM's entry.
    """

    node: str
    generation: int
    entries: tuple[EntryFigures, ...] = ()
    refusals: tuple[ReasonCount, ...] = ()
    retries: tuple[ReasonCount, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The newest figures of a node and their age; None if there are none."""

    figures: NodeFigures | None
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A piece of news."""

    severity: Severity
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class RowLine:
    """One row of the table as shown.

    Attributes:
        name: its name.
        kind: what it describes.
        serving: copies that serve.
        changing: copies being loaded or unloaded.
        wanted: copies to keep at least.
        in_flight: requests in flight over all entries.
        arrivals_per_second: arrival rate over all entries.
        max_in_flight: its limit; 0 is none.
        rate_per_second: its limit; 0 is none.
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
    """One upstream as shown; `limit` is what the entries allow in all."""

    address: str
    zone: str
    state: view_lib.UpstreamState
    runs: str
    in_flight: int
    limit: float


@dataclasses.dataclass(frozen=True, slots=True)
class MemberLine:
    """One entry VM as shown; generations are None without an answer."""

    name: str
    zone: str
    state: view_lib.MemberState
    control: str
    generation: int | None
    entry_generation: int | None
    age_seconds: float


@dataclasses.dataclass(frozen=True)
class Wall:
    """All that the screen shows.

    Attributes:
        control: name of the control that shows it.
        generation: newest table generation in force anywhere.
        upstreams_age_seconds: time since the upstreams were last polled.
        problems: what operators should look at, worst first.
        rows: rows of the table, those with too few copies first.
        upstreams: upstreams, those that are not live first.
        members: entry VMs, those that are not alive first.
        refusals: refusals of all entries, the most frequent first.
        retries: further attempts of all entries, the most frequent first.
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
