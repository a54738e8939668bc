"""Chooses the engine on which a wanted model is to be loaded.

Answers demand that moves to other models within seconds: a model is loaded
where that takes least time and drops the least wanted models.
"""

import collections
from collections.abc import Mapping, Set
import dataclasses
import datetime
import functools
import math
from typing import Final

from cicadahook.core import engine_ledger
from cicadahook.core import routes

# An engine that is busy for no more than this share needs no relief.
CALM_SHARE: Final = 0.25
# Share of an engine that one copy of a model is to carry.
SHARE_PER_COPY: Final = 0.4
# Share of the engines that may load ahead of requests at once.
AHEAD_SHARE: Final = 0.25
# An engine that is asked for more than this share gets relief at any time.
OVERLOADED_SHARE: Final = 1.0
# Seconds of waiting that dropping a copy costs for a full engine's work.
EVICTION_COST_SECONDS: Final = 10.0
# The same if another engine holds the model too.
SPARE_EVICTION_SHARE: Final = 0.2
# Share of the time of a load from the store that dropping the last copy costs,
# since some request will want it again.
LAST_COPY_SHARE: Final = 0.5
# An unload waits for the requests that use the model.
IN_USE_SECONDS: Final = 1.5
# What a load from the weight store costs besides its time.
STORE_LOAD_COST_SECONDS: Final = 0.5
# Seconds that the work of a full engine delays what is loaded there.
BUSY_ENGINE_SECONDS: Final = 2.0
# Seconds of waiting that a further copy saves for a full engine's work.
COPY_GAIN_SECONDS: Final = 10.0
# What a request that waits for a place for an adapter loses.
STARVED_SECONDS: Final = 1.0
# A further copy must save as much to be worth the orders.
MIN_GAIN_SECONDS: Final = 0.1
# A model that requests wait for replaces no others that are worth more.
MAX_EVICTION_COST_SECONDS: Final = 3.5
# Loads from the store that are left for models that requests wait for.
RESERVED_LOADS: Final = 2
# Loads that the rules allow in a window beyond the rate; a new holder begins
# no more while those of the one before it may still count.
SPARE_LOADS: Final = 3


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
        eviction_cost: seconds of waiting that the evictions cost.
        engine_share: share of the engine that is busy already.
        demand: share of an engine that the model keeps busy.
    """

    instance: str
    model: routes.Model
    evicted: tuple[str, ...]
    is_from_store: bool
    duration: datetime.timedelta
    cost: float
    eviction_cost: float
    engine_share: float
    demand: float


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
        self.started: collections.deque[datetime.datetime] = collections.deque()

    def count_earlier_loads(self, until: datetime.datetime) -> None:
        """Count what an earlier holder may have begun until then.

        The platform allows `SPARE_LOADS` beyond the rate.
        """
        spare = min(SPARE_LOADS, self.limit)
        self.started.extend([until] * (self.limit - spare))

    def acquire(self, now: datetime.datetime) -> bool:
        """Begin a load, if one more may begin now."""
        if not self.is_open(now):
            return False
        self.started.append(now)
        return True

    def is_open(self, now: datetime.datetime, reserved: int = 0) -> bool:
        """Whether a load may begin now that leaves `reserved` ones."""
        while self.started and self.started[0] <= now - self.window:
            self.started.popleft()
        return len(self.started) + reserved < self.limit


@dataclasses.dataclass(frozen=True)
class ServiceState:
    """What is known of a service when a load is planned.

    Attributes:
        ledgers: the engines that take orders.
        demand: share of an engine that each model keeps busy.
        used: model and adapter of the requests at each engine.
        is_store_open: whether a load from the weight store may begin.
        now: the time.
        starved: requests that wait for a place for an adapter, by model.
    """

    ledgers: tuple[engine_ledger.EngineLedger, ...]
    demand: Mapping[str, float]
    used: Mapping[str, Set[tuple[str, str]]]
    is_store_open: bool
    now: datetime.datetime
    starved: Mapping[str, int] = dataclasses.field(default_factory=dict)

    @functools.cached_property
    def copies(self) -> "collections.Counter[str]":
        """Return how many engines hold or will hold each model."""
        return collections.Counter(
            name for ledger in self.ledgers for name in list_models(ledger)
        )

    def count_planned(self, model: str) -> int:
        """Return how many copies of a model are being loaded."""
        return sum(ledger.planned == model for ledger in self.ledgers)

    def count_ready(self, model: str) -> int:
        """Return how many engines hold a model now."""
        return sum(ledger.is_ready(model) for ledger in self.ledgers)

    @functools.cached_property
    def shares(self) -> dict[str, float]:
        """Return the share of each engine that its models keep busy, by id."""
        return {
            ledger.instance.id: sum(
                self.demand.get(name, 0.0) / max(1, self.copies[name])
                for name in list_models(ledger)
            )
            for ledger in self.ledgers
        }

    @functools.cached_property
    def peaks(self) -> dict[str, float]:
        """Return the share of the busiest engine that holds each model."""
        peaks: dict[str, float] = {}
        for ledger in self.ledgers:
            share = self.shares[ledger.instance.id]
            for name in list_models(ledger):
                peaks[name] = max(share, peaks.get(name, 0.0))
        return peaks


def list_models(ledger: engine_ledger.EngineLedger) -> set[str]:
    """Return the models that an engine holds or will hold."""
    names = {
        name
        for name, copy in ledger.copies.items()
        if copy.state is not engine_ledger.CopyState.UNLOADING
    }
    return names | {ledger.planned} if ledger.planned else names


def plan_load(model: routes.Model, state: ServiceState) -> LoadPlan | None:
    """Return the cheapest way to load a model that requests wait for.

    Returns None if all engines that could take it are busy, or if it would
    have to replace models that are in demand themselves.
    """
    plans = (
        _plan_on(ledger, model, state)
        for ledger in state.ledgers
        if not ledger.is_busy and model.name not in ledger.copies
    )
    possible = [
        plan
        for plan in plans
        if plan is not None
        and plan.eviction_cost <= MAX_EVICTION_COST_SECONDS
        and (state.is_store_open or not plan.is_from_store)
    ]
    return min(possible, key=lambda plan: plan.cost, default=None)


def plan_ahead(
    models: Mapping[str, routes.Model], state: ServiceState
) -> LoadPlan | None:
    """Return a load that is worth it before any request waits for it.

    Further copies of models whose engines are busiest come first; they may
    replace models that nobody asks for, which load again within a second from
    where they were. Then come models without a copy, as far as memory is free:
    one request or none waits for each of them.
    """
    busy = sum(ledger.is_busy for ledger in state.ledgers)
    if busy < math.ceil(AHEAD_SHARE * len(state.ledgers)) or not state.demand:
        return _plan_relief(models, state) or _plan_missing(models, state)
    overloaded = {
        name: model
        for name, model in models.items()
        if state.peaks.get(name, 0.0) > OVERLOADED_SHARE
    }
    return _plan_relief(overloaded, state)


def _plan_missing(
    models: Mapping[str, routes.Model], state: ServiceState
) -> LoadPlan | None:
    """Return a load of a model without a copy, if memory is free for it."""
    for name, model in models.items():
        if not state.copies[name]:
            plan = plan_load(model, state)
            if plan is not None and not plan.evicted:
                return plan
    return None


def _plan_relief(
    models: Mapping[str, routes.Model], state: ServiceState
) -> LoadPlan | None:
    """Return a further copy of the model whose engines are busiest."""
    by_shortage = sorted(
        (
            (_compute_shortage_cost(name, state), name)
            for name in models
            if state.copies[name]
        ),
        reverse=True,
    )
    for shortage, name in by_shortage:
        if shortage <= 0:
            break
        plan = plan_load(models[name], state)
        if plan is not None and _is_worthwhile(plan, state):
            return plan
    return None


def _compute_shortage_cost(name: str, state: ServiceState) -> float:
    """Return the seconds of waiting that the copies of a model cause."""
    load = state.peaks.get(name, 0.0) * state.demand.get(name, 0.0)
    waiting = STARVED_SECONDS * state.starved.get(name, 0)
    return COPY_GAIN_SECONDS * load + waiting


def _is_worthwhile(plan: LoadPlan, state: ServiceState) -> bool:
    """Whether a further copy saves more waiting than it costs."""
    name = plan.model.name
    wanted = math.ceil(state.demand.get(name, 0.0) / SHARE_PER_COPY)
    if state.starved.get(name, 0):
        wanted += 1
    planned = state.count_planned(name)
    ready = state.copies[name] - planned
    # One copy at a time, unless the work fills more engines than hold it.
    most = max(1, math.ceil(state.demand.get(name, 0.0)) - ready)
    if state.copies[name] >= wanted or planned >= most:
        return False
    gain = STARVED_SECONDS * state.starved.get(name, 0)
    peak = state.peaks.get(name, 0.0)
    if peak > CALM_SHARE:
        relief = peak - plan.engine_share
        gain += COPY_GAIN_SECONDS * state.demand.get(name, 0.0) * relief
    cost = MIN_GAIN_SECONDS + plan.eviction_cost
    if plan.is_from_store:
        cost += STORE_LOAD_COST_SECONDS
    return gain > cost


def _plan_on(
    ledger: engine_ledger.EngineLedger, model: routes.Model, state: ServiceState
) -> LoadPlan | None:
    """Return how `model` gets onto one engine, if it fits there."""
    duration, is_from_store = _find_source(ledger, model)
    missing = model.size_mb - ledger.count_free_mb(state.now)
    evicted: list[str] = []
    eviction_cost = 0.0
    by_cost = sorted(
        (_compute_eviction_cost(ledger, copy, state), name)
        for name, copy in ledger.copies.items()
        if copy.state is engine_ledger.CopyState.READY
    )
    for copy_cost, name in by_cost:
        if missing <= 0:
            break
        evicted.append(name)
        missing -= ledger.copies[name].size_mb
        eviction_cost += copy_cost
    if missing > 0:
        return None
    cost = duration.total_seconds() + eviction_cost
    engine_share = state.shares[ledger.instance.id]
    cost += BUSY_ENGINE_SECONDS * engine_share
    if is_from_store:
        cost += STORE_LOAD_COST_SECONDS
    return LoadPlan(
        ledger.instance.id,
        model,
        tuple(evicted),
        is_from_store,
        duration,
        cost,
        eviction_cost,
        engine_share,
        state.demand.get(model.name, 0.0),
    )


def _find_source(
    ledger: engine_ledger.EngineLedger, model: routes.Model
) -> tuple[datetime.timedelta, bool]:
    if model.name in ledger.instance.in_memory:
        return model.memory_load, False
    if model.name in ledger.instance.on_disk:
        return model.disk_load, False
    return model.store_load, True


def _compute_eviction_cost(
    ledger: engine_ledger.EngineLedger,
    copy: engine_ledger.ModelCopy,
    state: ServiceState,
) -> float:
    """Return the seconds of waiting that dropping a copy costs."""
    name = copy.model.name
    copy_cost = EVICTION_COST_SECONDS * state.demand.get(name, 0.0)
    if state.count_ready(name) > 1:
        copy_cost *= SPARE_EVICTION_SHARE
    else:
        copy_cost += LAST_COPY_SHARE * copy.model.store_load.total_seconds()
    in_use = {model for model, _ in state.used.get(ledger.instance.id, ())}
    if name in in_use:
        copy_cost += IN_USE_SECONDS
    return copy_cost
