"""Chooses the engine on which a wanted model is to be loaded.

Answers demand that moves to other models within seconds: a model is loaded
where that takes least time and drops the least wanted models.
"""

import collections
from collections.abc import Iterable, Mapping
import dataclasses
import datetime
from typing import Final

from cicadahook.core import engines
from cicadahook.core import routes

# Seconds of waiting that dropping a model costs for each request a second.
DROP_SECONDS_PER_RATE: Final = 2.0
# The same if another engine holds the model too.
SPARE_DROP_SHARE: Final = 0.2
# Least cost of dropping the last copy, which some request will want again.
LAST_COPY_SECONDS: Final = 0.5
# What a load from the weight store costs besides its time.
STORE_LOAD_SECONDS: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """How a model gets onto an engine.

    Attributes:
        instance: id of the engine.
        model: the model.
        evicted: models to unload before.
        is_from_store: whether it comes from the weight store.
        duration: how long the load takes.
        cost: seconds, with what the evictions cost.
    """

    instance: str
    model: routes.Model
    evicted: tuple[str, ...]
    is_from_store: bool
    duration: datetime.timedelta
    cost: float


class LoadWindow:
    """Counts loads from the weight store in a sliding window.

    Attributes:
        limit: loads that may begin in the window.
        window: its span.
        begun: when the latest loads began.
    """

    def __init__(self, limit: int, window: datetime.timedelta) -> None:
        self.limit = limit
        self.window = window
        self.begun: collections.deque[datetime.datetime] = collections.deque()

    def take(self, now: datetime.datetime) -> bool:
        """Begin a load, if one more may begin now."""
        if not self.is_open(now):
            return False
        self.begun.append(now)
        return True

    def is_open(self, now: datetime.datetime) -> bool:
        """Whether one more load may begin now."""
        while self.begun and self.begun[0] <= now - self.window:
            self.begun.popleft()
        return len(self.begun) < self.limit


def plan_load(
    model: routes.Model,
    ledgers: Iterable[engines.EngineLedger],
    demand: Mapping[str, float],
    is_store_open: bool,
    now: datetime.datetime,
) -> LoadPlan | None:
    """Return the cheapest way to load `model`, or None if there is none.

    Args:
        model: what is wanted.
        ledgers: the engines that take orders.
        demand: requests a second for each model.
        is_store_open: whether a load from the weight store may begin.
        now: the time.
    """
    usable = list(ledgers)
    holders = collections.Counter(
        name
        for ledger in usable
        for name, copy in ledger.copies.items()
        if copy.state is engines.CopyState.READY
    )
    plans = (
        _plan_on(ledger, model, demand, holders, now)
        for ledger in usable
        if not ledger.is_busy and model.name not in ledger.copies
    )
    possible = [
        plan
        for plan in plans
        if plan is not None and (is_store_open or not plan.is_from_store)
    ]
    return min(possible, key=lambda plan: plan.cost, default=None)


def _plan_on(
    ledger: engines.EngineLedger,
    model: routes.Model,
    demand: Mapping[str, float],
    holders: Mapping[str, int],
    now: datetime.datetime,
) -> LoadPlan | None:
    """Return how `model` gets onto one engine, if it fits there."""
    duration, is_from_store = _find_source(ledger, model)
    cost = duration.total_seconds()
    if is_from_store:
        cost += STORE_LOAD_SECONDS
    missing = model.size_mb - ledger.count_free_mb(now)
    evicted: list[str] = []
    by_cost = sorted(
        (
            (_price_drop(copy, demand, holders), name)
            for name, copy in ledger.copies.items()
            if copy.state is engines.CopyState.READY
        ),
    )
    for price, name in by_cost:
        if missing <= 0:
            break
        evicted.append(name)
        missing -= ledger.copies[name].size_mb
        cost += price
    if missing > 0:
        return None
    return LoadPlan(
        ledger.instance.id,
        model,
        tuple(evicted),
        is_from_store,
        duration,
        cost,
    )


def _find_source(
    ledger: engines.EngineLedger, model: routes.Model
) -> tuple[datetime.timedelta, bool]:
    if model.name in ledger.instance.in_memory:
        return model.memory_load, False
    if model.name in ledger.instance.on_disk:
        return model.disk_load, False
    return model.store_load, True


def _price_drop(
    copy: engines.ModelCopy,
    demand: Mapping[str, float],
    holders: Mapping[str, int],
) -> float:
    """Return the seconds of waiting that dropping a copy costs."""
    rate = demand.get(copy.model.name, 0.0)
    price = DROP_SECONDS_PER_RATE * rate
    if holders.get(copy.model.name, 0) > 1:
        return price * SPARE_DROP_SHARE
    return price + LAST_COPY_SECONDS
