"""Plans and orders model and adapter loads while this node is the holder.

`Orderer` loads copies that requests need and preloads models by demand. It
tracks each engine's memory in a ledger and sends through `OrderSender`.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import engine_ledger
from cicadahook.core import engine_orders
from cicadahook.core import inventory
from cicadahook.core import load_planning
from cicadahook.core import load_queue
from cicadahook.core import residency
from cicadahook.core import roster
from cicadahook.core import routes
from cicadahook.core import upstream_statements
from cicadahook.net import logs
from cicadahook.net import order_sender
from cicadahook.net import tasks

POLL_PERIOD: Final = datetime.timedelta(milliseconds=100)
# How much longer than planned an operation may take before it counts as failed.
OPERATION_SLACK: Final = datetime.timedelta(seconds=4)
# The platform specifies 5 to 10 ms for loading an adapter.
ADAPTER_DELAY: Final = datetime.timedelta(milliseconds=10)
# A state query takes 0.4 s if the engine reports and 1 s if it never does. A
# failed query that took longer than this limit means that it is silent.
REPORT_SILENCE_LIMIT: Final = datetime.timedelta(milliseconds=800)
MAX_ADAPTER_ATTEMPTS: Final = 3
MODEL_RETRY_PAUSE: Final = datetime.timedelta(milliseconds=150)
PLAN_PERIOD: Final = datetime.timedelta(milliseconds=300)
MAX_WAIT: Final = datetime.timedelta(seconds=10)

DONE_RESULTS: Final = frozenset(
    {engine_orders.OrderResult.ACCEPTED, engine_orders.OrderResult.HELD}
)

logger: Final = logs.create_logger("orders")


@dataclasses.dataclass(frozen=True)
class PlanningInputs:
    """Data that the orderer plans by.

    Attributes:
        registry: the registered upstreams.
        get_configuration: returns the newest configuration, if any.
        get_demand: returns, for a service, the share of an engine that the
            requests of all nodes for each model keep busy.
        get_copies_in_use: returns the (model, adapter) pairs of the requests
            that run on an engine.
        statements: what engines say of themselves.
    """

    registry: inventory.Inventory
    get_configuration: Callable[[], routes.Configuration | None]
    get_demand: Callable[[str], dict[str, float]]
    get_copies_in_use: Callable[[str], set[tuple[str, str]]]
    statements: upstream_statements.UpstreamStatements


class Orderer:
    """Loads models and adapters on request and ahead of requests.

    Attributes:
        sender: sends the orders while this node is the holder.
        inputs: the data that it plans by.
        engines: the known engines by instance id.
        loading: pending requests for a copy, by service, model, adapter and
            software version.
        load_limits: limits of loads from the weight store.
        load_queues: models that requests wait for, by service.
        operations: model loads in progress.
        adapters_without_slot: requested adapters, by service, model and
            adapter, for which no engine has a free slot.
        fence: fencing number of the term in which the ledgers were built.
        term_began: when that term began.
    """

    def __init__(
        self,
        sender: order_sender.OrderSender,
        inputs: PlanningInputs,
        clock: clock_lib.Clock,
        load_window: datetime.timedelta,
    ) -> None:
        self.sender = sender
        self.inputs = inputs
        self.clock = clock
        self.engines: dict[str, order_sender.Engine] = {}
        self.loading: dict[tuple[str, str, str, str], asyncio.Task[str]] = {}
        self.load_limits = load_queue.LoadLimits(load_window)
        self.load_queues: dict[str, load_queue.LoadQueue] = {}
        self.operations: set[asyncio.Task[bool]] = set()
        self.adapters_without_slot: set[tuple[str, str, str]] = set()
        self.fence = 0
        self.term_began = clock.now()

    async def ensure(
        self,
        service: str,
        key: residency.CopyKey,
        failed: frozenset[str] = frozenset(),
        software: str = "",
    ) -> residency.CopyKey | None:
        """Load a copy unless an engine holds it; return where it is.

        Args:
            service: name of the service.
            key: the copy needed, with the preferred engine.
            failed: engines that could not be reached or lack the copy.
            software: version of the engine's software; empty for any.

        Returns:
            The copy with its engine, or None if it could not be loaded.
        """
        if not self.can_send():
            return None
        pool = self._find_pool(service)
        if pool is None or key.model not in pool.models:
            return None
        self._refresh_engines(service, pool)
        for instance in failed & self.engines.keys():
            self.engines[instance].mark_unreliable(self.clock.now())
        name = (service, key.model, key.adapter, software)
        task = tasks.share(
            self.loading, name, lambda: self._load(service, pool, key, software)
        )
        instance = await asyncio.shield(task)
        if not instance:
            return None
        return residency.CopyKey(instance, key.model, key.adapter)

    def _is_unreliable(self, engine: order_sender.Engine) -> bool:
        return engine.is_unreliable(self.clock.now())

    def _find_pool(self, service: str) -> routes.EnginePool | None:
        configuration = self.inputs.get_configuration()
        if configuration is None or service not in configuration.services:
            return None
        return configuration.services[service].engines

    def _refresh_engines(self, service: str, pool: routes.EnginePool) -> None:
        """Create or update the ledgers of the engines registered now."""
        now = self.clock.now()
        if self.fence != self.sender.holder_state.fence:
            # Other holders may have sent orders since this node's last term.
            self.fence = self.sender.holder_state.fence
            self.term_began = now
            self.load_limits.windows.clear()
            for engine in self.engines.values():
                engine.ledger.sequence = None
        for entry in self.inputs.registry.list_usable(service):
            known = self.engines.get(entry.id)
            if known is None or known.ledger.instance.born != entry.born:
                ledger = engine_ledger.EngineLedger(entry, pool)
                if known is not None:
                    ledger.reservations = known.ledger.reservations
                    ledger.reserve_restart(self.term_began)
                self.engines[entry.id] = order_sender.Engine(ledger)
            else:
                known.ledger.instance = entry
                known.ledger.pool = pool

    def _list_engines(self, service: str) -> list[order_sender.Engine]:
        known = (
            self.engines.get(entry.id)
            for entry in self.inputs.registry.list_usable(service)
        )
        return [engine for engine in known if engine is not None]

    def _is_limited(self, engine: order_sender.Engine) -> bool:
        instance = engine.ledger.instance
        return self.inputs.statements.asks_for_less(instance, self.clock.now())

    def _list_assignable(self, service: str) -> list[order_sender.Engine]:
        """Return the engines on which models are placed and counted.

        Engines that name a request limit are left out, unless all do.
        """
        engines = self._list_engines(service)
        return [
            engine for engine in engines if not self._is_limited(engine)
        ] or engines

    def _list_holders(
        self, service: str, model: str
    ) -> list[order_sender.Engine]:
        """Return the engines that hold a model according to their ledgers.

        Those with a request limit count only if no other engine holds it, and
        while they have room.
        """
        holders = [
            engine
            for engine in self._list_engines(service)
            if engine.ledger.is_ready(model) and not self._is_unreliable(engine)
        ]
        unlimited = [
            engine for engine in holders if not self._is_limited(engine)
        ]
        now = self.clock.now()
        return unlimited or [
            engine
            for engine in holders
            if self.inputs.statements.has_room(engine.ledger.instance, now)
        ]

    async def _load(
        self,
        service: str,
        pool: routes.EnginePool,
        key: residency.CopyKey,
        software: str,
    ) -> str:
        """Load a model if necessary, then its adapter; return the engine."""
        name = (service, key.model, key.adapter)
        end = self.clock.now() + MAX_WAIT
        try:
            while self.clock.now() < end:
                if not self.can_send():
                    return ""
                instance = self._find_copy(service, key, software)
                if not instance:
                    await self._sync_all(service, self._is_unreliable)
                    instance = self._find_copy(service, key, software)
                if not instance:
                    instance = await self._place_model(
                        service, pool.models[key.model], pool, software
                    )
                if instance and key.adapter:
                    instance = await self._load_adapter(
                        service, instance, key, software
                    )
                    if not instance:
                        self.adapters_without_slot.add(name)
                if instance:
                    return instance
                await asyncio.sleep(MODEL_RETRY_PAUSE.total_seconds())
            return ""
        finally:
            self.adapters_without_slot.discard(name)

    async def _sync_all(
        self, service: str, is_passed: Callable[[order_sender.Engine], bool]
    ) -> None:
        """Query the engines of unknown state, except where `is_passed`."""
        unknown = [
            engine
            for engine in self._list_assignable(service)
            if engine.ledger.sequence is None and not is_passed(engine)
        ]
        await asyncio.gather(*(self._fetch_state(engine) for engine in unknown))

    async def _fetch_state(self, engine: order_sender.Engine) -> None:
        unreliable_since = engine.unreliable_since
        async with engine.lock:
            # Another task may have queried the engine without success while
            # this one waited for the lock.
            if engine.unreliable_since == unreliable_since:
                await self._resolve_state(engine)

    async def _resolve_state(self, engine: order_sender.Engine) -> bool:
        """Determine an engine's state; `engine.lock` must be held.

        An engine that does not report is marked unreliable. One that is still
        busy with an order of an earlier holder may be queried again at once.

        Returns:
            Whether the state is known now.
        """
        asked = self.clock.now()
        is_known = await self.sender.resolve_sequence(engine)
        now = self.clock.now()
        if not is_known and now - asked >= REPORT_SILENCE_LIMIT:
            engine.unreliable_since = now
        elif is_known and not engine.is_recently_unreliable(now):
            engine.unreliable_since = None
        return is_known

    def _find_copy(
        self, service: str, key: residency.CopyKey, software: str
    ) -> str:
        """Return an engine known to hold a model now; empty if none."""
        holders = [
            engine
            for engine in self._list_holders(service, key.model)
            if engine.ledger.sequence is not None and engine.runs(software)
        ]
        names = [engine.ledger.instance.id for engine in holders]
        if key.instance in names:
            return key.instance
        if not holders:
            return ""
        now = self.clock.now()
        freest = max(
            holders, key=lambda engine: engine.ledger.count_free_slots(now)
        )
        return freest.ledger.instance.id

    async def run(self) -> None:
        """Preload models while this node is the holder, until cancelled.

        The qualified name of this method is the value of a metric label.
        """
        while True:
            await asyncio.sleep(PLAN_PERIOD.total_seconds())
            configuration = self.inputs.get_configuration()
            if configuration is None:
                continue
            if not self.can_send():
                continue
            for service in configuration.list_engine_services():
                await self._preload(service)

    def can_send(self) -> bool:
        """Whether an order may be sent now."""
        return self.sender.can_send()

    def list_withdrawn_copies(self) -> tuple[roster.WithdrawnCopy, ...]:
        """Return the copies that engines were ordered to unload."""
        return tuple(
            roster.WithdrawnCopy(name, model)
            for name, engine in self.engines.items()
            for model, copy in engine.ledger.copies.items()
            if copy.state is engine_ledger.CopyState.UNLOADING
        )

    async def _preload(self, service: routes.Service) -> None:
        """Start the loads that are worth their cost before a request waits."""
        pool = service.engines
        assert pool is not None, f"{service.name} has no engines"
        self._refresh_engines(service.name, pool)
        await self._sync_all(
            service.name,
            lambda engine: engine.is_recently_unreliable(self.clock.now()),
        )
        window = self._get_window(service.name, pool)
        for _ in range(len(self.engines)):
            reserved = min(load_planning.RESERVED_LOADS, window.limit - 1)
            state = self._describe_service_state(
                service.name, window.is_open(self.clock.now(), reserved)
            )
            plan = load_planning.plan_ahead(pool.models, state)
            if plan is None:
                return
            self._start_load(plan, window)

    def _describe_service_state(
        self, service: str, is_store_open: bool
    ) -> load_planning.ServiceState:
        assignable = self._list_assignable(service)
        names = {engine.ledger.instance.id for engine in assignable}
        ledgers = tuple(
            engine.ledger
            for engine in assignable
            if not self._is_unreliable(engine)
            and (engine.ledger.sequence is not None or engine.ledger.is_busy)
        )
        return load_planning.ServiceState(
            ledgers,
            self.inputs.get_demand(service),
            {
                ledger.instance.id: self.inputs.get_copies_in_use(
                    ledger.instance.id
                )
                for ledger in ledgers
            },
            is_store_open,
            self.clock.now(),
            collections.Counter(
                model
                for name, model, _ in self.adapters_without_slot
                if name == service
            ),
            frozenset(
                name
                for engine in self._list_engines(service)
                if engine.ledger.instance.id not in names
                for name in load_planning.list_models(engine.ledger)
            ),
        )

    async def _place_model(
        self,
        service: str,
        model: routes.Model,
        pool: routes.EnginePool,
        software: str,
    ) -> str:
        """Load a model that no engine holds; return the engine or empty."""
        window = self._get_window(service, pool)
        state = self._describe_service_state(
            service, window.is_open(self.clock.now())
        ).restrict(software)
        if state.copies[model.name]:
            # A load of this model is already in progress.
            return ""
        queue = self.load_queues.setdefault(service, load_queue.LoadQueue())
        waiting = {
            name for known, name, _, _ in self.loading if known == service
        }
        if not queue.is_due(model.name, waiting, state):
            return ""
        plan = load_planning.plan_load(model, state)
        if plan is None:
            # No engine can load the model now; its requests keep waiting.
            logger.info("No engine for a model.", extra={"model": model.name})
            return ""
        load = self._start_load(plan, window)
        engine = self.engines[plan.instance]
        if await tasks.wait_while(
            load, lambda: self._is_usable(engine), POLL_PERIOD
        ):
            return plan.instance if load.result() else ""
        logger.info(
            "Engine left or restarted during a load; it is planned again.",
            extra={"model": model.name, "instance": plan.instance},
        )
        return ""

    def _start_load(
        self, plan: load_planning.LoadPlan, window: load_planning.LoadWindow
    ) -> asyncio.Task[bool]:
        """Start a task that executes a plan.

        The task goes on when its requester stops waiting, so that the ledger
        matches what the engine was ordered to do.
        """
        self.engines[plan.instance].ledger.planned = plan.model.name
        task = asyncio.create_task(self._execute_plan(plan, window))
        self.operations.add(task)
        task.add_done_callback(self.operations.discard)
        return task

    def _is_usable(self, engine: order_sender.Engine) -> bool:
        """Whether an engine is registered, not leaving, and not restarted."""
        known = engine.ledger.instance
        entry = self.inputs.registry.find_usable(known.id)
        return entry is not None and entry.born == known.born

    async def _execute_plan(
        self, plan: load_planning.LoadPlan, window: load_planning.LoadWindow
    ) -> bool:
        """Execute a plan; the engine's ledger must name it as planned."""
        engine = self.engines[plan.instance]
        logger.info(
            "Loads a model.",
            extra={
                "model": plan.model.name,
                "instance": plan.instance,
                "evicted": list(plan.evicted),
                "from_store": plan.is_from_store,
                "cost_seconds": round(plan.cost, 3),
                "eviction_seconds": round(plan.eviction_cost, 3),
                "engine_share": round(plan.engine_share, 3),
                "demand": round(plan.demand, 3),
                "fence": self.fence,
            },
        )
        try:
            for name in plan.evicted:
                if not await self._unload_model(engine, name):
                    return False
            if plan.is_from_store and not window.acquire(self.clock.now()):
                return False
            return await self._load_and_wait(engine, plan)
        finally:
            engine.ledger.planned = ""

    def _get_window(
        self, service: str, pool: routes.EnginePool
    ) -> load_planning.LoadWindow:
        others_sent_until = self.sender.holder_state.others_sent_until
        return self.load_limits.get(service, pool, others_sent_until)

    async def _unload_model(
        self, engine: order_sender.Engine, name: str
    ) -> bool:
        """Unload a model and wait until its memory is free."""
        copy = engine.ledger.copies.get(name)
        if copy is None:
            return True
        copy.state = engine_ledger.CopyState.UNLOADING
        result = await self.sender.order(
            engine, engine_orders.Operation.UNLOAD, copy.model
        )
        if result is engine_orders.OrderResult.HELD:
            engine.ledger.copies.pop(name, None)
            return True
        if result is not engine_orders.OrderResult.ACCEPTED:
            copy.state = engine_ledger.CopyState.READY
            return False
        return await self._wait_for(
            engine,
            lambda ledger: name not in ledger.copies,
            datetime.timedelta(),
        )

    async def _load_and_wait(
        self, engine: order_sender.Engine, plan: load_planning.LoadPlan
    ) -> bool:
        """Order a load and wait until the engine reports it as done."""
        async with engine.lock:
            result = await self._order_load(engine, plan.model)
        if result is engine_orders.OrderResult.HELD:
            return True
        if result is not engine_orders.OrderResult.ACCEPTED:
            return False
        await asyncio.sleep(plan.duration.total_seconds())
        return await self._wait_for(
            engine,
            lambda known: known.is_ready(plan.model.name),
            plan.duration,
        )

    async def _order_load(
        self, engine: order_sender.Engine, model: routes.Model
    ) -> engine_orders.OrderResult:
        """Order a load if it fits; `engine.lock` must be held."""
        if not await self._resolve_state(engine):
            return engine_orders.OrderResult.NOT_SENT
        ledger = engine.ledger
        now = self.clock.now()
        if ledger.is_ready(model.name):
            return engine_orders.OrderResult.HELD
        if ledger.count_free_mb(now) < model.size_mb:
            return engine_orders.OrderResult.NOT_SENT
        ledger.copies[model.name] = engine_ledger.ModelCopy(
            model, engine_ledger.CopyState.LOADING, now
        )
        result = await self.sender.send(
            engine, engine_orders.Operation.LOAD, model, ""
        )
        if result is engine_orders.OrderResult.HELD:
            ledger.copies[model.name].state = engine_ledger.CopyState.READY
        elif result is not engine_orders.OrderResult.ACCEPTED:
            del ledger.copies[model.name]
        return result

    async def _wait_for(
        self,
        engine: order_sender.Engine,
        is_done: Callable[[engine_ledger.EngineLedger], bool],
        duration: datetime.timedelta,
    ) -> bool:
        """Poll an engine until its reports show that an operation is done."""
        end = self.clock.now() + duration + OPERATION_SLACK
        while self.clock.now() < end:
            async with engine.lock:
                report = await self.sender.client.fetch_report(
                    engine.ledger.instance
                )
                is_fresh = (
                    report is not None
                    and report.born == engine.ledger.instance.born
                    and report.sequence == engine.ledger.sequence
                )
                if report is not None and is_fresh and not report.is_busy:
                    engine.ledger.apply_report(report, self.clock.now())
                    if is_done(engine.ledger):
                        return True
            await asyncio.sleep(POLL_PERIOD.total_seconds())
        logger.warning(
            "An operation did not end.",
            extra={"instance": engine.ledger.instance.id},
        )
        engine.ledger.sequence = None
        return False

    async def _load_adapter(
        self,
        service: str,
        preferred: str,
        key: residency.CopyKey,
        software: str,
    ) -> str:
        """Load an adapter where its model is; return the engine or empty."""
        for engine in self._rank_for_adapter(service, preferred, key.model):
            if not engine.runs(software):
                continue
            async with engine.lock:
                is_loaded = await self._load_adapter_at(engine, key)
            if is_loaded:
                await asyncio.sleep(ADAPTER_DELAY.total_seconds())
                return engine.ledger.instance.id
        return ""

    def _rank_for_adapter(
        self, service: str, preferred: str, model: str
    ) -> list[order_sender.Engine]:
        """Return the engines with a model, those with free slots first."""
        now = self.clock.now()
        return sorted(
            self._list_holders(service, model),
            key=lambda engine: (
                engine.ledger.count_free_slots(now) <= 0,
                engine.ledger.instance.id != preferred,
                -engine.ledger.count_free_slots(now),
            ),
        )

    async def _load_adapter_at(
        self, engine: order_sender.Engine, key: residency.CopyKey
    ) -> bool:
        """Load an adapter on one engine; `engine.lock` must be held."""
        for _ in range(MAX_ADAPTER_ATTEMPTS):
            if self._is_unreliable(engine) or not await self._resolve_state(
                engine
            ):
                return False
            if engine.ledger.is_ready(key.model, key.adapter):
                return True
            now = self.clock.now()
            copy = engine.ledger.copies.get(key.model)
            if copy is None or copy.state is not engine_ledger.CopyState.READY:
                return False
            is_full = (
                engine.ledger.count_free_slots(now) <= 0
                or engine.ledger.count_free_mb(now) < copy.model.adapter_mb
            )
            if is_full:
                if not await self._evict_adapter(engine):
                    return False
                continue
            copy.adapters[key.adapter] = now
            result = await self.sender.send(
                engine, engine_orders.Operation.LOAD, copy.model, key.adapter
            )
            if result in DONE_RESULTS:
                return True
            copy.adapters.pop(key.adapter, None)
        return False

    async def _evict_adapter(self, engine: order_sender.Engine) -> bool:
        """Unload the least recently loaded adapter that no request uses."""
        ledger = engine.ledger
        spare = ledger.find_spare_adapter(
            self.inputs.get_copies_in_use(ledger.instance.id), self.clock.now()
        )
        if spare is None:
            return False
        name, adapter = spare
        copy = ledger.copies[name]
        result = await self.sender.send(
            engine, engine_orders.Operation.UNLOAD, copy.model, adapter
        )
        if result is engine_orders.OrderResult.HELD:
            copy.adapters.pop(adapter, None)
        elif result is engine_orders.OrderResult.ACCEPTED:
            # The engine drops the adapter once the requests that use it have
            # ended, so its state must be queried again.
            ledger.sequence = None
        return result in DONE_RESULTS
