"""Placement policies: which upstream holds a copy of which row."""

from collections.abc import Callable, Iterator, Mapping
import dataclasses
from typing import Final, Protocol

from cicadahook.core import record as record_lib
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A wanted change: load or unload one copy, and why."""

    action: record_lib.Action
    row: table_lib.Row
    upstream: str
    cause: str


@dataclasses.dataclass(frozen=True)
class PlacementMode:
    """Settings of the placement policies.

    Attributes:
        policy: name of a registered policy.
        move_price: attainment, in requests served in time, that one move
            must earn before it is made.
    """

    policy: str = "static"
    move_price: float = 1.0


@dataclasses.dataclass(frozen=True)
class Situation:
    """What a plan is made from.

    Attributes:
        table: the table in force.
        upstreams: engines by address, live ones only.
        records: their records by address.
        demand: requests a second by row.
    """

    table: table_lib.Table
    upstreams: Mapping[str, view_lib.Upstream]
    records: Mapping[str, record_lib.UpstreamRecord]
    demand: Mapping[str, float]


class Policy(Protocol):
    """Plans the next steps."""

    def plan(self, situation: Situation) -> Iterator[Step]:
        """Yield the steps to take next, the most urgent first."""


PolicyFactory = Callable[[PlacementMode], Policy]
POLICIES: Final[dict[str, PolicyFactory]] = {}


def register(name: str) -> Callable[[PolicyFactory], PolicyFactory]:
    """Return a decorator that registers a policy under `name`."""

    def add(factory: PolicyFactory) -> PolicyFactory:
        POLICIES[name] = factory
        return factory

    return add


def create_policy(mode: PlacementMode) -> Policy:
    """Return a new policy as `mode` asks for."""
    return POLICIES[mode.policy](mode)


@register("static")
class StaticSpread:
    """Gives every row its minimum of copies where most memory is free."""

    def __init__(self, mode: PlacementMode) -> None:
        self.mode = mode

    def plan(self, situation: Situation) -> Iterator[Step]:
        """Yield a load for each missing copy that fits somewhere."""
        free = {
            address: situation.records[address].free_bytes
            for address in situation.upstreams
        }
        for row in sorted(situation.table.placed(), key=_urgency):
            holders = _holders(row.name, situation)
            for _ in range(row.min_copies - len(holders)):
                target = _choose_target(row, holders, free, situation)
                if target is None:
                    break
                free[target] -= row.memory_bytes
                holders.add(target)
                yield Step(record_lib.Action.LOAD, row, target, "missing copy")


def _urgency(row: table_lib.Row) -> tuple[bool, int, int, str]:
    """Order rows: models before adapters, then by priority and size."""
    is_adapter = row.kind is table_lib.RowKind.ADAPTER
    return is_adapter, -row.priority, -row.memory_bytes, row.name


def _holders(row: str, situation: Situation) -> set[str]:
    """Return the live upstreams that hold `row` or were ordered to."""
    return {
        address
        for address in situation.upstreams
        if situation.records[address].holds(row)
    }


def _choose_target(
    row: table_lib.Row,
    holders: set[str],
    free: Mapping[str, int],
    situation: Situation,
) -> str | None:
    """Return the upstream with most free memory that may take `row`."""
    candidates = [
        address
        for address, free_bytes in free.items()
        if address not in holders
        and free_bytes >= row.memory_bytes
        and (not row.base or situation.records[address].has_resident(row.base))
    ]
    return max(candidates, key=lambda address: free[address], default=None)
