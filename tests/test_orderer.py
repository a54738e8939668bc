"""Tests of the orderer with engines that lose and delay orders and restart.

The simulated engines never refuse an order for lack of memory. They track
what they were ordered to hold, and the test fails if that ever exceeds their
capacity. Time runs fifty times as fast as on a real platform.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import datetime
import random

import pytest

from cicadahook.core import engine_ledger
from cicadahook.core import engine_orders
from cicadahook.core import inventory
from cicadahook.core import order_holder
from cicadahook.core import residency
from cicadahook.core import routes
from cicadahook.core import store_api
from cicadahook.net import clock as clock_lib
from cicadahook.net import order_sender as sender_lib
from cicadahook.net import orderer as orderer_lib

MS = datetime.timedelta(milliseconds=1)
SIZES = {"a": 30.0, "b": 40.0, "c": 50.0, "d": 35.0, "e": 45.0}
POOL = routes.EnginePool(
    {
        name: routes.Model(
            name,
            size,
            2.0,
            frozenset({"a1", "a2", "a3"}),
            30 * MS,
            8 * MS,
            4 * MS,
        )
        for name, size in SIZES.items()
    },
    100.0,
    3,
    8,
    1000.0,
)
CONFIGURATION = routes.Configuration(
    1, (), {"s": routes.Service("s", POOL)}, routes.CallerLimits()
)


@dataclasses.dataclass
class EngineModel:
    """The actual state of one engine.

    Attributes:
        entry: its registration.
        held: adapters by model.
        loading: model that is being loaded; empty if none.
        sequence: number of orders accepted since its start.
        reports: unused list of reports.
    """

    entry: inventory.Instance
    held: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    loading: str = ""
    sequence: int = 0
    reports: list[engine_orders.EngineReport] = dataclasses.field(
        default_factory=list
    )

    def check(self) -> None:
        """Fail if the engine was ordered to hold more than its capacity."""
        used = sum(
            SIZES[name] + 2.0 * len(adapters)
            for name, adapters in self.held.items()
        )
        used += SIZES.get(self.loading, 0.0)
        assert used <= 100.0, f"{self.entry.id}: {self.held} {self.loading}"
        places = sum(len(adapters) for adapters in self.held.values())
        assert places <= 3, f"{self.entry.id}: {self.held}"

    def report(self) -> engine_orders.EngineReport:
        """Return a report of the current state."""
        return engine_orders.EngineReport(
            self.sequence,
            bool(self.loading),
            {
                name: inventory.Holding(name, 1, frozenset(adapters))
                for name, adapters in self.held.items()
            },
            frozenset(),
            self.entry.born,
        )


class EngineNetwork:
    """Delivers orders to simulated engines, and loses or delays some.

    Attributes:
        models: the engines by id.
        loss: share of orders that get no answer and are executed late.
        failures: messages of the capacity checks that failed.
    """

    def __init__(self, count: int, loss: float, seed: int) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.stock = inventory.Inventory()
        self.models: dict[str, EngineModel] = {}
        self.failures: list[str] = []
        self.tasks: set[asyncio.Task[None]] = set()
        for number in range(count):
            entry = inventory.Instance(
                f"e{number}", "s", f"e{number}:1", "z", 8
            )
            self.models[entry.id] = EngineModel(entry)
            self.stock.put(entry)

    async def send_order(
        self, instance: inventory.Instance, order: engine_orders.Order
    ) -> engine_orders.OrderResult:
        """Deliver an order now, late, or now without an answer."""
        await asyncio.sleep(0.0005)
        draw = self.random.random()
        if draw < self.loss:
            self._later(self.random.uniform(0.04, 0.24), instance, order)
            await asyncio.sleep(0.003)
            return engine_orders.OrderResult.UNKNOWN
        result = self._deliver(instance, order)
        if draw < 1.2 * self.loss:
            return engine_orders.OrderResult.UNKNOWN
        return result

    async def fetch_report(
        self, instance: inventory.Instance
    ) -> engine_orders.EngineReport | None:
        """Return a report that is 4 ms old."""
        report = self.models[instance.id].report()
        await asyncio.sleep(0.004)
        return report

    def restart(self, name: str) -> None:
        """Restart an engine, empty, under the same id."""
        model = self.models[name]
        model.entry = dataclasses.replace(
            model.entry, born=model.entry.born + 1
        )
        model.held, model.loading, model.sequence = {}, "", 0
        entry = model.entry
        asyncio.get_running_loop().call_later(
            0.02, lambda: self.stock.put(entry)
        )

    def _later(
        self,
        delay: float,
        instance: inventory.Instance,
        order: engine_orders.Order,
    ) -> None:
        async def deliver() -> None:
            await asyncio.sleep(delay)
            self._deliver(instance, order)

        task = asyncio.create_task(deliver())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _deliver(
        self, instance: inventory.Instance, order: engine_orders.Order
    ) -> engine_orders.OrderResult:
        model = self.models[instance.id]
        if order.expected_sequence != model.sequence or model.loading:
            return engine_orders.OrderResult.CONFLICT
        is_load = order.operation is engine_orders.Operation.LOAD
        if order.adapter and order.model not in model.held:
            return engine_orders.OrderResult.ABSENT
        model.sequence += 1
        if order.adapter and is_load:
            model.held[order.model].add(order.adapter)
        elif order.adapter:
            model.held[order.model].discard(order.adapter)
            self._check(model)
            return engine_orders.OrderResult.HELD
        elif is_load:
            model.loading = order.model
            asyncio.get_running_loop().call_later(
                0.02, self._finish_load, model, model.entry.born
            )
        else:
            model.held.pop(order.model, None)
        self._check(model)
        return engine_orders.OrderResult.ACCEPTED

    def _finish_load(self, model: EngineModel, born: int) -> None:
        if model.entry.born == born and model.loading:
            model.held.setdefault(model.loading, set())
            model.loading = ""

    def _check(self, model: EngineModel) -> None:
        try:
            model.check()
        except AssertionError as error:
            self.failures.append(str(error))


@pytest.fixture(autouse=True)
def run_faster(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the orderer's pauses fifty times as short."""
    for name in (
        "POLL_PERIOD",
        "OPERATION_SLACK",
        "ADAPTER_DELAY",
        "MODEL_RETRY_PAUSE",
        "PLAN_PERIOD",
        "MAX_WAIT",
        "UNRELIABLE_PERIOD",
    ):
        monkeypatch.setattr(orderer_lib, name, getattr(orderer_lib, name) / 50)
    lag = sender_lib.REPORT_LAG / 50
    monkeypatch.setattr(sender_lib, "REPORT_LAG", lag)
    for name in ("LATE_ORDER_PERIOD", "ADAPTER_GRACE_PERIOD"):
        monkeypatch.setattr(
            engine_ledger, name, getattr(engine_ledger, name) / 50
        )


@contextlib.asynccontextmanager
async def run_orderer(
    network: EngineNetwork,
) -> AsyncIterator[orderer_lib.Orderer]:
    """Run an orderer on a node that is the holder all the time."""
    clock = clock_lib.BootClock()
    holder_state = order_holder.HolderStateMachine(
        "n1", "1", MS, datetime.timedelta(minutes=10)
    )
    holder_state.observe_keys(None, None, None, 1, clock.now())
    holder_state.record_renewal(clock.now())
    holder_state.observe_keys(
        store_api.Item(order_holder.HOLDER_KEY, holder_state.value, 2),
        store_api.Item(order_holder.TERM_KEY, holder_state.value, 2),
        None,
        2,
        clock.now(),
    )
    orderer = orderer_lib.Orderer(
        sender_lib.OrderSender(holder_state, network, clock, lambda: False),
        orderer_lib.PlanningInputs(
            network.stock,
            lambda: CONFIGURATION,
            lambda service: {name: 0.3 for name in SIZES},
            lambda instance: set(),
        ),
        clock,
        datetime.timedelta(seconds=5),
    )
    task = asyncio.create_task(orderer.run())
    try:
        yield orderer
    finally:
        task.cancel()
        for other in (*orderer.loading.values(), *orderer.operations):
            other.cancel()


async def ask(
    orderer: orderer_lib.Orderer, generator: random.Random
) -> residency.CopyKey | None:
    """Request a random model or adapter."""
    key = residency.CopyKey(
        "",
        generator.choice(list(SIZES)),
        generator.choice(["", "", "a1", "a2", "a3"]),
    )
    try:
        async with asyncio.timeout(0.4):
            return await orderer.ensure("s", key)
    except TimeoutError:
        return None


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("loss", [0.0, 0.3])
async def test_never_orders_more_than_fits(seed: int, loss: float) -> None:
    generator = random.Random(seed)
    network = EngineNetwork(3, loss, seed)
    async with run_orderer(network) as orderer:
        served = 0
        for step in range(60):
            held = await asyncio.gather(
                *(ask(orderer, generator) for _ in range(4))
            )
            served += sum(key is not None for key in held)
            if loss and step % 10 == 9:
                network.restart(generator.choice(list(network.models)))
    assert not network.failures
    assert served >= (200 if not loss else 60)


async def test_an_adapter_waits_for_no_other_engine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An engine of unknown state must not delay a request for another."""
    network = EngineNetwork(2, 0.0, 1)
    async with run_orderer(network) as orderer:
        held = await orderer.ensure("s", residency.CopyKey("", "a"))
        assert held is not None
        other = next(name for name in network.models if name != held.instance)
        clock = clock_lib.BootClock()
        monkeypatch.setattr(sender_lib, "REPORT_LAG", 5000 * MS)
        orderer.engines[other].last_sent = clock.now()
        orderer.engines[other].ledger.sequence = None
        async with asyncio.timeout(1):
            adapter = residency.CopyKey(held.instance, "a", "a1")
            assert await orderer.ensure("s", adapter) == adapter
