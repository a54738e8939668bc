"""Interface of the placement policies: their input, steps and registry."""

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
    """A planned load or unload of one copy.

    Attributes:
        action: whether the copy is loaded or unloaded.
        row: name of the row.
        version: weights version.
        memory_bytes: accelerator memory of the copy, in bytes.
        upstream: address of the upstream.
        cause: why the step is planned.
        base: for an adapter, its model row.
    """

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
        move_price: minimum gain of one move, in requests served in time.
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
    """State of the fleet from which a plan is made.

    Attributes:
        table: the table in force.
        upstreams: live engines, by address.
        records: their records, by address.
        demand: expected requests a second, by row.
        serving: copies that each upstream reports as serving, by address.
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
