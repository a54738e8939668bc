"""Injects faults into the nodes, upstreams and store of a node soak.

The plan of the faults is drawn from the seed before the soak begins.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
import contextlib
import dataclasses
import os
import random
import signal
import time
from typing import Any, Final

import aiohttp

import brittle_state
import node_links
import node_process
from soak import node_checker
from soak import node_system
from soak import statement_checks

# Ranges from which the time between two faults and their lengths are drawn.
FAULT_PAUSE_SECONDS: Final = (0.3, 2.0)
FAULT_DURATION_SECONDS: Final = (0.3, 4.0)
FREEZE_IN_STOP_SECONDS: Final = (0.1, 1.0)
STOP_AFTER_START_SECONDS: Final = (0.0, 2.0)
SECOND_STOP_DELAY_SECONDS: Final = 0.5
# This share of crashes ends all connections in order; the others reset them.
IN_ORDER_SHARE: Final = 0.5
SECOND_SIGNAL_SHARE: Final = 0.3
# This share of leaving upstreams is not marked; only their entry is removed.
UNANNOUNCED_LEAVE_SHARE: Final = 0.3
UPSTREAM_FAULT_MODES: Final = (
    "full",
    "error",
    "reset",
    "crossed",
    "unsigned",
    "hang",
    "cut",
)
LIMIT_DURATION_SECONDS: Final = (4.5, 9.0)
LIMIT_RATES: Final = (0.3, 1.5, 5.0)
FATAL_PART_SECONDS: Final = (6.0, 10.0)
FATAL_REQUESTS_PER_SECOND: Final = 4.0
FATAL_CALL_SECONDS: Final = 3.0
CUT_SHARES: Final = (0.5, 1.0, 1.0)
CONTACT_SECONDS: Final = 3.0
BRITTLE_SECONDS: Final = (4.0, 8.0)
BRITTLE_BOUNDS: Final = (1.0, 3.0)
BRITTLE_SLOTS: Final = 1
BRITTLE_QUEUE: Final = 1
BRITTLE_RUN_SECONDS: Final = 0.2
REST_SECONDS: Final = (1.0, 3.0)
LEAVING_SECONDS: Final = (4.0, 7.0)
STORE_FAULTS: Final = ("is_down", "is_silent", "loses_answers")

FaultFunction = Callable[
    ["FaultInjector", random.Random], Coroutine[Any, Any, None]
]
FAULT_KINDS: Final[dict[str, FaultFunction]] = {}


def register(inject: FaultFunction) -> FaultFunction:
    """Add a kind of fault under the name of its function.

    Args:
        inject: brings about the fault and returns once it has ended.
    """
    FAULT_KINDS[inject.__name__] = inject
    return inject


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault that is to be injected.

    Attributes:
        at_seconds: time since the begin of the run.
        kind: key of `KINDS`.
        seed: seed from which target and length are drawn.
    """

    at_seconds: float
    kind: str
    seed: int


def draw_plan(
    rng: random.Random, seconds: float, kinds: tuple[str, ...]
) -> list[PlannedFault]:
    """Draw the faults of a run.

    Args:
        rng: generator to draw from.
        seconds: time during which faults begin.
        kinds: keys of `FAULT_KINDS` to draw from.
    """
    plan: list[PlannedFault] = []
    at = rng.uniform(*FAULT_PAUSE_SECONDS)
    while at < seconds:
        plan.append(PlannedFault(at, rng.choice(kinds), rng.randrange(1 << 32)))
        at += rng.uniform(*FAULT_PAUSE_SECONDS)
    return plan


class FaultInjector:
    """Injects faults, at most one at a time into each target.

    Attributes:
        system: nodes, upstreams and store of the run.
        session: session for requests to the nodes.
        checker: records the faults.
        busy_targets: names of the targets that have a fault.
    """

    def __init__(
        self, system: node_system.System, session: aiohttp.ClientSession
    ) -> None:
        self.system = system
        self.session = session
        self.checker = system.checker
        self.busy_targets: set[str] = set()

    async def run(self, plan: list[PlannedFault]) -> None:
        """Inject all faults of a plan; return once they have ended."""
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in plan:
                remaining_seconds = began + fault.at_seconds - time.monotonic()
                await asyncio.sleep(remaining_seconds)
                self.checker.results.counts[f"fault_{fault.kind}"] += 1
                inject = FAULT_KINDS[fault.kind]
                group.create_task(inject(self, random.Random(fault.seed)))

    def log(self, text: str) -> None:
        """Print a message with the time since the run began."""
        print(f"{self.checker.results.elapsed_seconds} {text}", flush=True)

    def reserve_target(
        self, rng: random.Random, names: list[str], kind: str
    ) -> str:
        """Reserve a random target without a fault.

        Returns:
            The name of the target; empty if all have a fault.
        """
        free = [name for name in names if name not in self.busy_targets]
        if not free:
            self.checker.results.counts["fault_without_target"] += 1
            return ""
        name = rng.choice(free)
        self.busy_targets.add(name)
        self.log(f"{kind} {name}")
        return name

    @contextlib.asynccontextmanager
    async def reserve_node(
        self, rng: random.Random, kind: str
    ) -> AsyncIterator[node_process.NodeProcess | None]:
        """Reserve a node without a fault; yield None if there is none."""
        nodes = {node.name: node for node in self.system.nodes}
        name = self.reserve_target(rng, list(nodes), kind)
        yield nodes.get(name)
        self.busy_targets.discard(name)

    @contextlib.asynccontextmanager
    async def reserve_upstream(
        self, rng: random.Random, kind: str
    ) -> AsyncIterator[node_system.Upstream | None]:
        """Reserve an upstream without a fault; yield None if there is none."""
        name = self.reserve_target(rng, list(self.system.upstreams), kind)
        upstream = self.system.upstreams.get(name)
        if upstream is not None:
            upstream.dies_in_order = rng.random() < IN_ORDER_SHARE
        yield upstream
        self.busy_targets.discard(name)

    def has_calm_helper(self) -> bool:
        """Whether no upstream and not all nodes had a fault lately."""
        nodes = {node.name for node in self.system.nodes}
        disturbed = self.busy_targets | self.checker.list_disturbed(
            CONTACT_SECONDS
        )
        return disturbed <= nodes and disturbed != nodes

    async def restart(self, node: node_process.NodeProcess) -> None:
        """Stop a node as planned and start it again."""
        await self.system.stop(node)
        self.log(f"{node.name} has stopped")
        await self.start(node)

    async def start(self, node: node_process.NodeProcess) -> None:
        """Start a node that has ended."""
        await node.start(self.session)
        self.log(f"{node.name} has started again")

    async def replace(
        self,
        upstream: node_system.Upstream,
        rng: random.Random,
        kind: str,
        software: str = "",
    ) -> None:
        """End an upstream, and start it under another id some time later."""
        with self.record_disturbance(kind, upstream.name):
            self.system.store.delete(f"servers/{upstream.id}")
            upstream.restart_as(f"{upstream.name}-{rng.randrange(1 << 32):x}")
            upstream.software = software or upstream.software
            await sleep_fault_duration(rng)
            await upstream.link.open()
            self.system.register_upstream(upstream.name)

    async def freeze(
        self, node: node_process.NodeProcess, seconds: float
    ) -> None:
        """Stop a node with SIGSTOP for some seconds, then continue it."""
        assert node.child is not None, "not started"
        with self.record_disturbance("freeze", node.name):
            node.child.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            node.child.send_signal(signal.SIGCONT)

    @contextlib.contextmanager
    def record_disturbance(self, kind: str, target: str) -> Iterator[None]:
        """Record a fault that lasts as long as the context."""
        disturbance = self.checker.begin_disturbance(kind, target)
        yield
        disturbance.ended = time.monotonic()


async def sleep_fault_duration(rng: random.Random) -> None:
    """Sleep for the random duration of a fault."""
    await asyncio.sleep(rng.uniform(*FAULT_DURATION_SECONDS))


@register
async def terminate(injector: FaultInjector, rng: random.Random) -> None:
    """Stop a node with SIGTERM, sometimes sent twice, then start it again."""
    async with injector.reserve_node(rng, "terminate") as node:
        if node is None:
            return
        child = node.child
        assert child is not None, "not started"
        replacing = asyncio.create_task(injector.restart(node))
        if rng.random() < SECOND_SIGNAL_SHARE:
            await sleep_fault_duration(rng)
            if child.returncode is None:
                # `send_signal` polls the child first and may so consume the
                # exit code for which the event loop waits.
                with contextlib.suppress(ProcessLookupError):  # Ended already.
                    os.kill(child.pid, signal.SIGTERM)
        await replacing


@register
async def terminate_two(injector: FaultInjector, rng: random.Random) -> None:
    """Stop two nodes with SIGTERM within half a second."""
    second = random.Random(rng.random())
    async with asyncio.TaskGroup() as group:
        group.create_task(terminate(injector, rng))
        await asyncio.sleep(second.uniform(0, SECOND_STOP_DELAY_SECONDS))
        group.create_task(terminate(injector, second))


@register
async def terminate_at_start(
    injector: FaultInjector, rng: random.Random
) -> None:
    """Stop a node with SIGTERM while it starts or just after."""
    async with injector.reserve_node(rng, "terminate_at_start") as node:
        if node is None:
            return
        await injector.system.stop(node)
        await node.spawn()
        await asyncio.sleep(rng.uniform(*STOP_AFTER_START_SECONDS))
        await injector.system.stop(node)
        await injector.start(node)


@register
async def kill(injector: FaultInjector, rng: random.Random) -> None:
    """Kill a node with SIGKILL, then start it again."""
    async with injector.reserve_node(rng, "kill") as node:
        if node is None:
            return
        assert node.child is not None, "not started"
        with injector.record_disturbance("kill", node.name):
            node.child.kill()
            await node.child.wait()
        await sleep_fault_duration(rng)
        await injector.start(node)


@register
async def freeze(injector: FaultInjector, rng: random.Random) -> None:
    """Freeze a node with SIGSTOP, then continue it with SIGCONT."""
    async with injector.reserve_node(rng, "freeze") as node:
        if node is not None:
            await injector.freeze(node, rng.uniform(*FAULT_DURATION_SECONDS))


@register
async def freeze_stopping(injector: FaultInjector, rng: random.Random) -> None:
    """Stop a node with SIGTERM and freeze it before it has ended."""
    async with injector.reserve_node(rng, "freeze_stopping") as node:
        if node is None:
            return
        replacing = asyncio.create_task(injector.restart(node))
        await asyncio.sleep(rng.uniform(*FREEZE_IN_STOP_SECONDS))
        await injector.freeze(node, rng.uniform(*FREEZE_IN_STOP_SECONDS))
        await replacing


@register
async def hang_up(injector: FaultInjector, rng: random.Random) -> None:
    """Send SIGHUP to a node, which must not affect callers."""
    async with injector.reserve_node(rng, "hang_up") as node:
        if node is not None:
            assert node.child is not None, "not started"
            node.child.send_signal(signal.SIGHUP)


@register
async def leave(injector: FaultInjector, rng: random.Random) -> None:
    """Replace an upstream that leaves, with or without a leaving mark."""
    async with injector.reserve_upstream(rng, "leave") as upstream:
        if upstream is None:
            return
        if rng.random() < UNANNOUNCED_LEAVE_SHARE:
            injector.system.store.delete(f"servers/{upstream.id}")
        else:
            upstream.state = "draining"
            injector.system.register_upstream(upstream.name)
        upstream.leaving_since = time.monotonic()
        await asyncio.sleep(node_checker.DRAIN_SECONDS)
        await sleep_fault_duration(rng)
        await injector.replace(upstream, rng, "leave")


@register
async def misbehave(injector: FaultInjector, rng: random.Random) -> None:
    """Let an upstream answer wrongly, late, or not at all."""
    async with injector.reserve_upstream(rng, "misbehave") as upstream:
        if upstream is None:
            return
        mode = rng.choice(UPSTREAM_FAULT_MODES)
        injector.log(f"{upstream.name} {mode}")
        with injector.record_disturbance(mode, upstream.name):
            if mode == "cut":
                upstream.cut_after = 2
            else:
                upstream.mode = mode
            await sleep_fault_duration(rng)
            upstream.mode, upstream.cut_after = "ok", 0


@register
async def name_limit(injector: FaultInjector, rng: random.Random) -> None:
    """Let an upstream name a request limit, and check that it is kept."""
    async with injector.reserve_upstream(rng, "name_limit") as upstream:
        if upstream is None:
            return
        upstream.limit = rate = rng.choice(LIMIT_RATES)
        began = time.monotonic()
        await asyncio.sleep(rng.uniform(*LIMIT_DURATION_SECONDS))
        statement_checks.check_limit(
            injector.checker, upstream.name, rate, began, upstream.calls
        )
        upstream.limit = None


@register
async def replace_software(injector: FaultInjector, rng: random.Random) -> None:
    """Restart an engine with another software version."""
    async with injector.reserve_upstream(rng, "replace_software") as upstream:
        if upstream is None:
            return
        await injector.replace(
            upstream, rng, "replace_software", f"v{rng.randrange(3)}"
        )


@register
async def send_fatal_part(injector: FaultInjector, rng: random.Random) -> None:
    """Send requests with a part that crashes engines; check their number."""
    engines = {
        name: upstream
        for name, upstream in injector.system.upstreams.items()
        if upstream.service == "engines"
    }
    if engines.keys() & injector.busy_targets:
        injector.checker.results.counts["fault_without_target"] += 1
        return
    injector.busy_targets |= engines.keys()
    part = f"fatal{rng.randrange(1 << 32):x}"
    injector.log(f"send_fatal_part {part}")
    crashed = {
        name: len(engine.crash_state.times) for name, engine in engines.items()
    }
    for engine in engines.values():
        engine.crash_state.fatal_parts = {part}
        engine.dies_in_order = rng.random() < IN_ORDER_SHARE
    end = time.monotonic() + rng.uniform(*FATAL_PART_SECONDS)
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end:
            group.create_task(_send_fatal(injector, rng, part))
            await asyncio.sleep(rng.expovariate(FATAL_REQUESTS_PER_SECOND))
    statement_checks.check_fatal_part(
        injector.checker,
        sorted(
            at
            for name, engine in engines.items()
            for at in engine.crash_state.times[crashed[name] :]
        ),
        [
            (arrival.time, arrival.headers["X-Request-Id"])
            for engine in engines.values()
            for arrival in engine.arrivals
            if part in arrival.headers.get("X-Prompt-Prefix", "")
        ],
    )
    for engine in engines.values():
        engine.crash_state.fatal_parts = set()
    await asyncio.sleep(
        max(e.crash_state.restart_seconds for e in engines.values())
    )
    injector.busy_targets -= engines.keys()


async def _send_fatal(
    injector: FaultInjector, rng: random.Random, part: str
) -> None:
    """Send one request with a part that crashes engines."""
    number = rng.randrange(1 << 32)
    node = rng.choice(injector.system.nodes)
    call = node_checker.Call(
        f"{part}-{number:x}",
        node.name,
        node_checker.REQUEST_KINDS[2],
        "/chat/2/10",
        rng.choice(("big", "small")),
        b"%x" % number,
        FATAL_CALL_SECONDS,
        f"aa:4,{part}:4,{number:x}:2",
    )
    injector.checker.calls[call.id] = call
    timeout = aiohttp.ClientTimeout(total=FATAL_CALL_SECONDS)
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with injector.session.post(
            f"http://{node.front_address}{call.path}",
            headers=node_system.create_headers(call),
            data=call.body,
            timeout=timeout,
        ) as response:
            await response.read()


@register
async def harm_link(injector: FaultInjector, rng: random.Random) -> None:
    """Let the link to an upstream delay, hold back or reset bytes."""
    async with injector.reserve_upstream(rng, "harm_link") as upstream:
        if upstream is None:
            return
        mode = rng.choice(list(node_links.LinkMode))
        injector.log(f"{upstream.name} {mode}")
        with injector.record_disturbance("link", upstream.name):
            if mode is node_links.LinkMode.WELL:
                upstream.link.reset()
            upstream.link.mode = mode
            await sleep_fault_duration(rng)
            upstream.link.mode = node_links.LinkMode.WELL


@register
async def cut_off_node(injector: FaultInjector, rng: random.Random) -> None:
    """Cut the links of a node to all or most upstreams, and restore them."""
    async with injector.reserve_node(rng, "cut_off_node") as node:
        if node is None:
            return
        kind = rng.choice(list(node_links.Cut))
        share = rng.choice(CUT_SHARES)
        links = [
            upstream.link
            for upstream in injector.system.upstreams.values()
            if rng.random() < share
        ]
        injector.log(f"{node.name} {kind} {len(links)}")
        with injector.record_disturbance("cut", node.name):
            for link in links:
                link.cut(node.name, kind)
            await asyncio.sleep(CONTACT_SECONDS)
            if injector.has_calm_helper():
                injector.checker.results.counts["checked_cuts"] += 1
                await injector.system.check_cut_off(injector.session, node)
            await sleep_fault_duration(rng)
            for link in links:
                await link.restore(node.name)


@register
async def make_brittle(injector: FaultInjector, rng: random.Random) -> None:
    """Let a plain upstream have little room and fail when it rejects much."""
    async with injector.reserve_upstream(rng, "make_brittle") as upstream:
        if upstream is None or upstream.service != "plain":
            return
        falls = len(upstream.crash_state.times)
        upstream.brittle = brittle_state.BrittleState(
            rng.choice(BRITTLE_BOUNDS),
            BRITTLE_SLOTS,
            BRITTLE_QUEUE,
            BRITTLE_RUN_SECONDS,
        )
        await asyncio.sleep(rng.uniform(*BRITTLE_SECONDS))
        statement_checks.check_falls(
            injector.checker,
            upstream.name,
            len(upstream.crash_state.times) - falls,
        )
        upstream.brittle = None
        await asyncio.sleep(upstream.crash_state.restart_seconds)


@register
async def ask_for_rest(injector: FaultInjector, rng: random.Random) -> None:
    """Let an upstream reject all requests and ask for rest."""
    async with injector.reserve_upstream(rng, "ask_for_rest") as upstream:
        if upstream is None:
            return
        rest = rng.choice(REST_SECONDS)
        began = time.monotonic()
        with injector.record_disturbance("rest", upstream.name):
            upstream.mode, upstream.rest = "full", rest
            await asyncio.sleep(rng.uniform(1.0, 2.0) * rest)
            upstream.mode, upstream.rest = "ok", None
        statement_checks.check_rest(
            injector.checker,
            upstream.name,
            rest,
            began,
            upstream.list_arrivals(began),
        )


@register
async def say_leaving(injector: FaultInjector, rng: random.Random) -> None:
    """Let an upstream say that it leaves while the store lists it as ready."""
    async with injector.reserve_upstream(rng, "say_leaving") as upstream:
        if upstream is None:
            return
        began = time.monotonic()
        upstream.says_leaving = True
        await asyncio.sleep(rng.uniform(*LEAVING_SECONDS))
        statement_checks.check_leaving(
            injector.checker, upstream.name, upstream.list_arrivals(began)
        )
        await injector.replace(upstream, rng, "say_leaving")


@register
async def harm_store(injector: FaultInjector, rng: random.Random) -> None:
    """Let the store be down, be silent, or lose the answers of writes."""
    name = injector.reserve_target(rng, [node_checker.STORE], "harm_store")
    if not name:
        return
    fault = rng.choice(STORE_FAULTS)
    injector.log(f"store {fault}")
    with injector.record_disturbance(fault, name):
        setattr(injector.system.store.faults, fault, True)
        await sleep_fault_duration(rng)
        setattr(injector.system.store.faults, fault, False)
        # A write lets waiting watches answer.
        injector.system.store.put("operators/note", fault)
    injector.busy_targets.discard(name)
