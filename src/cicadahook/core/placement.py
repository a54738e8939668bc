"""Placement: what a plan is made from, its steps, and known policies."""

from collections.abc import Callable, Iterator, Mapping
import dataclasses
import datetime
from typing import Final, Protocol

from cicadahook.core import clock as clock_lib
from cicadahook.core import pacing as pacing_lib
from cicadahook.core import table as table_lib
from cicadahook.core import upstream_record
from cicadahook.core import view as view_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A wanted change: load or unload one copy, and why."""

    action: upstream_record.Action
    row: str
    version: str
    memory_bytes: int
    upstream: str
    cause: str
    base: str = ""


@dataclasses.dataclass(frozen=True)
class PlacementMode:
    """Settings of the placement policies.

    Attributes:
        policy: name of a registered policy.
        move_price: attainment, in requests served in time, that one move
            must earn before it is made.
        upstream_rate: requests a second that one upstream serves in time; 0
            plans by the mean load of all upstreams instead.
        pacing: limits of the weight store.
    """

    policy: str = "adaptive"
    move_price: float = 1.0
    upstream_rate: float = 0.0
    pacing: pacing_lib.PacingMode = pacing_lib.PacingMode()


@dataclasses.dataclass(frozen=True)
class PlacementState:
    """What a plan is made from.

    Attributes:
        table: the table in force.
        upstreams: engines by address, live ones only.
        records: their records by address.
        demand: expected requests a second by row.
        serving: copies that each upstream reports as serving.
        now: the time.
    """

    table: table_lib.Table
    upstreams: Mapping[str, view_lib.Upstream]
    records: Mapping[str, upstream_record.UpstreamRecord]
    demand: Mapping[str, float]
    serving: Mapping[str, frozenset[upstream_record.CopyKey]]
    now: datetime.datetime = clock_lib.EPOCH


class Policy(Protocol):
    """Plans the next steps.

    Attributes:
        unplaced: rows that had no place in the last plan, with the reason.
    """

    unplaced: dict[str, str]

    def plan(self, state: PlacementState) -> Iterator[Step]:
        """Yield the steps to take next, the most urgent first."""


PolicyFactory = Callable[[PlacementMode], Policy]
POLICIES: Final[dict[str, PolicyFactory]] = {}


def register(name: str) -> Callable[[PolicyFactory], PolicyFactory]:
    """Return a decorator that registers a policy under `name`."""

    def add(factory: PolicyFactory) -> PolicyFactory:
        POLICIES[name] = factory
        return factory

    return add
