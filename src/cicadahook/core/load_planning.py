"""Plans loads of models: chooses the engine and the models to evict there.

Demand can move to other models within seconds, so a model is loaded where the
load takes least time and evicts the models with the least demand.
"""

import collections
from collections.abc import Iterable, Mapping, Set
import dataclasses
import datetime
import functools
import math
from typing import Final

from cicadahook.core import engine_ledger
from cicadahook.core import expected_waits
from cicadahook.core import routes

# An engine that is busy for at most this share of time needs no further copies
# of its models elsewhere.
CALM_SHARE: Final = 0.25
# Share of an engine's time that one copy of a model is meant to use.
SHARE_PER_COPY: Final = 0.4
# Share of the engines that may at once load models before requests wait for
# them.
AHEAD_SHARE: Final = 0.25
# Models of engines with more than this load get further copies even while
# `AHEAD_SHARE` of the engines are loading.
OVERLOADED_SHARE: Final = 1.0
# Cost of evicting a copy whose demand fills one engine, in seconds of waiting.
EVICTION_COST_SECONDS: Final = 10.0
# Share of that cost if another engine holds the model too.
SPARE_EVICTION_SHARE: Final = 0.2
# Cost of evicting the last copy, as a share of the time of a load from the
# weight store: some request will need the model again.
LAST_COPY_SHARE: Final = 0.5
# Cost of evicting a model in use, in seconds: an unload waits for the requests
# that use the model.
IN_USE_SECONDS: Final = 1.5
# Cost of a load from the weight store besides its time, in seconds.
STORE_LOAD_COST_SECONDS: Final = 0.5
# Delay of a load on an engine whose load is 1, in seconds.
BUSY_ENGINE_SECONDS: Final = 2.0
# Gain of a further copy of a model whose demand fills one engine, in seconds of
# waiting.
COPY_GAIN_SECONDS: Final = 10.0
# Cost of one request that waits for an adapter slot, in seconds of waiting.
STARVED_SECONDS: Final = 1.0
# Minimum gain of a further copy; less does not justify the orders.
MIN_GAIN_SECONDS: Final = 0.1
# Maximum cost of the evictions for a model that requests wait for.
MAX_EVICTION_COST_SECONDS: Final = 3.5
# Loads from the weight store that are reserved for models that requests wait
# for.
RESERVED_LOADS: Final = 2
# Loads that the platform allows in a window beyond the rate. A new holder
# starts at most this number while loads of the previous holder may still count.
SPARE_LOADS: Final = 3
MILLISECOND: Final = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """A load of a model onto an engine.

    Attributes:
        instance: id of the engine.
        model: the model.
        evicted: names of the models to unload before.
        is_from_store: whether the model is loaded from the weight store.
        duration: how long the load takes.
        cost: total cost in seconds, including the evictions.
        eviction_cost: cost of the evictions, in seconds of waiting.
        engine_share: share of the engine's time that is in use already.
        demand: share of an engine's time that the model uses.
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
        limit: number of loads that may start in the window.
        window: length of the window.
        started: when the loads in the window started.
    """

    def __init__(self, limit: int, window: datetime.timedelta) -> None:
        self.limit = limit
        self.window = window
        self.started: collections.deque[datetime.datetime] = collections.deque()

    def count_earlier_loads(self, until: datetime.datetime) -> None:
        """Count the loads that an earlier holder may have started.

        The platform allows `SPARE_LOADS` beyond the rate, so this number of
        loads stays available.

        Args:
            until: latest time at which the earlier holder started loads.
        """
        spare = min(SPARE_LOADS, self.limit)
        self.started.extend([until] * (self.limit - spare))

    def acquire(self, now: datetime.datetime) -> bool:
        """Count the start of a load; return False if none may start now."""
        if not self.is_open(now):
            return False
        self.started.append(now)
        return True

    def is_open(self, now: datetime.datetime, reserved: int = 0) -> bool:
        """Return whether a load may start now and leave `reserved` others."""
        while self.started and self.started[0] <= now - self.window:
            self.started.popleft()
        return len(self.started) + reserved < self.limit


@dataclasses.dataclass(frozen=True)
class ServiceState:
    """State of a service and its engines for which a load is planned.

    Attributes:
        ledgers: the engines that accept orders.
        demand: share of an engine's time that each model uses, by name.
        used: model and adapter of the requests at each engine, by id.
        is_store_open: whether a load from the weight store may start.
        now: the time.
        starved: number of requests that wait for an adapter slot, by model.
        limited_models: models on engines that name a request limit, which are
            not among `ledgers`.
    """

    ledgers: tuple[engine_ledger.EngineLedger, ...]
    demand: Mapping[str, float]
    used: Mapping[str, Set[tuple[str, str]]]
    is_store_open: bool
    now: datetime.datetime
    starved: Mapping[str, int] = dataclasses.field(default_factory=dict)
    limited_models: Set[str] = frozenset()

    def restrict(self, software: str) -> "ServiceState":
        """Return the state with the engines of one software version only.

        Args:
            software: the version; empty for all.
        """
        if not software:
            return self
        ledgers = tuple(
            ledger
            for ledger in self.ledgers
            if ledger.instance.software == software
        )
        return dataclasses.replace(self, ledgers=ledgers)

    @functools.cached_property
    def copies(self) -> "collections.Counter[str]":
        """Number of engines that hold or will hold each model."""
        return collections.Counter(
            name for ledger in self.ledgers for name in list_models(ledger)
        )

    @functools.cached_property
    def planned(self) -> "collections.Counter[str]":
        """Number of copies of each model that are being loaded."""
        return collections.Counter(ledger.planned for ledger in self.ledgers)

    @functools.cached_property
    def ready(self) -> "collections.Counter[str]":
        """Number of engines that hold each model now."""
        return collections.Counter(
            name
            for ledger in self.ledgers
            for name in ledger.copies
            if ledger.is_ready(name)
        )

    @functools.cached_property
    def free_mb(self) -> dict[str, float]:
        """Free memory of each engine, in MB, by id."""
        return {
            ledger.instance.id: ledger.count_free_mb(self.now)
            for ledger in self.ledgers
        }

    @functools.cached_property
    def evictable(self) -> dict[str, list[tuple[float, str]]]:
        """Costs and names of the copies that each engine may drop, by id.

        The cheapest copies of an engine come first.
        """
        return {
            ledger.instance.id: sorted(
                (_compute_eviction_cost(ledger, copy, self), name)
                for name, copy in ledger.copies.items()
                if copy.state is engine_ledger.CopyState.READY
            )
            for ledger in self.ledgers
        }

    @functools.cached_property
    def shares(self) -> dict[str, float]:
        """Share of each engine's time that its models use, by id."""
        return {
            ledger.instance.id: sum(
                self.demand.get(name, 0.0) / max(1, self.copies[name])
                for name in list_models(ledger)
            )
            for ledger in self.ledgers
        }

    @functools.cached_property
    def peaks(self) -> dict[str, float]:
        """Share of the busiest engine that holds each model, by model."""
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
    """Return the cheapest load of a model that requests wait for.

    Returns:
        The load, or None if all suitable engines are busy, if the weight store
        allows no load now, or if the load would evict models in demand.
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
    """Return a load that is worthwhile before any request waits for it.

    Further copies of models on the busiest engines come first. They may evict
    models without demand, which load again within a second from host memory or
    disk. Then come models without a copy, as far as memory is free: at most
    one request waits for each of them.

    Args:
        models: the models of the service, by name.
        state: the state of the service.

    Returns:
        The load, or None if none is worthwhile or enough engines are loading.
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
    """Return a load of a model without a copy, if memory is free for it.

    A copy on an engine that names a request limit is enough until a request
    finds no room there.
    """
    most_free = max(state.free_mb.values(), default=0.0)
    for name, model in models.items():
        is_missing = not state.copies[name] and name not in state.limited_models
        if is_missing and model.size_mb <= most_free:
            plan = plan_load(model, state)
            if plan is not None and not plan.evicted:
                return plan
    return None


def _plan_relief(
    models: Mapping[str, routes.Model], state: ServiceState
) -> LoadPlan | None:
    """Return a further copy of the model with the largest shortage."""
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
        if not _has_too_few(name, state):
            continue
        plan = plan_load(models[name], state)
        if plan is not None and _is_worthwhile(plan, state):
            return plan
    return None


def _compute_shortage_cost(name: str, state: ServiceState) -> float:
    """Return the waiting that the lack of copies of a model causes, in s."""
    load = state.peaks.get(name, 0.0) * state.demand.get(name, 0.0)
    waiting = STARVED_SECONDS * state.starved.get(name, 0)
    return COPY_GAIN_SECONDS * load + waiting


def _has_too_few(name: str, state: ServiceState) -> bool:
    """Return whether the demand for a model may need a further copy."""
    wanted = math.ceil(state.demand.get(name, 0.0) / SHARE_PER_COPY)
    if state.starved.get(name, 0):
        wanted += 1
    planned = state.planned[name]
    ready = state.copies[name] - planned
    # One copy at a time, unless the demand fills more engines than hold it.
    most = max(1, math.ceil(state.demand.get(name, 0.0)) - ready)
    return state.copies[name] < wanted and planned < most


def _is_worthwhile(plan: LoadPlan, state: ServiceState) -> bool:
    """Return whether a further copy saves more waiting than it costs."""
    name = plan.model.name
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
    """Return the load of `model` onto one engine, or None if it can't fit."""
    duration, is_from_store = _find_source(ledger, model)
    missing = model.size_mb - state.free_mb[ledger.instance.id]
    evicted: list[str] = []
    eviction_cost = 0.0
    for copy_cost, name in state.evictable[ledger.instance.id]:
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
    """Return the cost of evicting a copy, in seconds of waiting."""
    name = copy.model.name
    copy_cost = EVICTION_COST_SECONDS * state.demand.get(name, 0.0)
    if state.ready[name] > 1:
        copy_cost *= SPARE_EVICTION_SHARE
    else:
        copy_cost += LAST_COPY_SHARE * copy.model.store_load.total_seconds()
    in_use = {model for model, _ in state.used.get(ledger.instance.id, ())}
    if name in in_use:
        copy_cost += IN_USE_SECONDS
    return copy_cost


def list_loads(
    ledgers: Iterable[engine_ledger.EngineLedger], now: datetime.datetime
) -> tuple[expected_waits.LoadStatement, ...]:
    """Return the loads in progress, as the holder tells the other nodes."""
    return tuple(
        expected_waits.LoadStatement(
            ledger.instance.service,
            name,
            max(0, (copy.loaded + duration - now) // MILLISECOND),
        )
        for ledger in ledgers
        for name, copy in ledger.copies.items()
        if copy.state is engine_ledger.CopyState.LOADING
        for duration, _ in (_find_source(ledger, copy.model),)
    )
