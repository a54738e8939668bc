"""Faults of a soak of nodes, drawn from its seed before it begins."""

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

import node_process
from soak import node_book
from soak import node_system

PAUSE_SECONDS: Final = (0.3, 2.0)
HOLD_SECONDS: Final = (0.3, 4.0)
EARLY_SECONDS: Final = (0.1, 1.0)
START_SECONDS: Final = (0.0, 2.0)
TOGETHER_SECONDS: Final = 0.5
SECOND_SIGNAL_SHARE: Final = 0.3
# Some upstreams never say that they leave; their entries go.
WORDLESS_SHARE: Final = 0.3
MODES: Final = (
    "full",
    "error",
    "reset",
    "crossed",
    "unsigned",
    "hang",
    "cut",
)
STORE_HARMS: Final = ("is_down", "is_silent", "loses_answers")

Bring = Callable[["Faults", random.Random], Coroutine[Any, Any, None]]
KINDS: Final[dict[str, Bring]] = {}


def register(bring: Bring) -> Bring:
    """Add a kind of fault under the name of its function."""
    KINDS[bring.__name__] = bring
    return bring


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault to come.

    Attributes:
        at_seconds: time from the begin of the run.
        kind: key of `KINDS`.
        seed: from which target and length are drawn.
    """

    at_seconds: float
    kind: str
    seed: int


def draw_plan(
    rng: random.Random, seconds: float, kinds: tuple[str, ...]
) -> list[PlannedFault]:
    """Return the faults of a run."""
    plan: list[PlannedFault] = []
    at = rng.uniform(*PAUSE_SECONDS)
    while at < seconds:
        plan.append(PlannedFault(at, rng.choice(kinds), rng.randrange(1 << 32)))
        at += rng.uniform(*PAUSE_SECONDS)
    return plan


class Faults:
    """Brings faults about, one at a time on each target."""

    def __init__(
        self, system: node_system.System, session: aiohttp.ClientSession
    ) -> None:
        self.system = system
        self.session = session
        self.book = system.book
        self.busy: set[str] = set()

    async def run(self, plan: list[PlannedFault]) -> None:
        """Bring about all faults; return once they have ended."""
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in plan:
                left = began + fault.at_seconds - time.monotonic()
                await asyncio.sleep(left)
                self.book.ledger.counts[f"fault_{fault.kind}"] += 1
                bring = KINDS[fault.kind]
                group.create_task(bring(self, random.Random(fault.seed)))

    def note(self, text: str) -> None:
        """Print what happens, with the time of the run."""
        print(f"{self.book.ledger.elapsed_seconds} {text}", flush=True)

    def take(self, rng: random.Random, names: list[str], kind: str) -> str:
        """Return a target that has no fault, or nothing."""
        free = [name for name in names if name not in self.busy]
        if not free:
            self.book.ledger.counts["fault_without_target"] += 1
            return ""
        name = rng.choice(free)
        self.busy.add(name)
        self.note(f"{kind} {name}")
        return name

    @contextlib.asynccontextmanager
    async def use_node(
        self, rng: random.Random, kind: str
    ) -> AsyncIterator[node_process.NodeProcess | None]:
        """Keep a node without a fault from others; None if there is none."""
        nodes = {node.name: node for node in self.system.nodes}
        name = self.take(rng, list(nodes), kind)
        yield nodes.get(name)
        self.busy.discard(name)

    @contextlib.asynccontextmanager
    async def use_upstream(
        self, rng: random.Random, kind: str
    ) -> AsyncIterator[node_system.Upstream | None]:
        """Keep an upstream without a fault from others, or None."""
        name = self.take(rng, list(self.system.upstreams), kind)
        yield self.system.upstreams.get(name)
        self.busy.discard(name)

    async def replace(self, node: node_process.NodeProcess) -> None:
        """Stop a node as planned and start it again."""
        await self.system.stop(node)
        self.note(f"{node.name} has stopped")
        await self.start(node)

    async def start(self, node: node_process.NodeProcess) -> None:
        """Start a node again."""
        await node.start(self.session)
        self.note(f"{node.name} is back")

    async def freeze(
        self, node: node_process.NodeProcess, seconds: float
    ) -> None:
        """Freeze a node for a while."""
        assert node.child is not None, "not started"
        with self.disturb("freeze", node.name):
            node.child.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            node.child.send_signal(signal.SIGCONT)

    @contextlib.contextmanager
    def disturb(self, kind: str, target: str) -> Iterator[None]:
        """Take note of a fault while it lasts."""
        disturbance = self.book.begin_disturbance(kind, target)
        yield
        disturbance.ended = time.monotonic()


async def hold(rng: random.Random) -> None:
    """Let a fault last."""
    await asyncio.sleep(rng.uniform(*HOLD_SECONDS))


@register
async def terminate(faults: Faults, rng: random.Random) -> None:
    """SIGTERM, at times twice, then a new start."""
    async with faults.use_node(rng, "terminate") as node:
        if node is None:
            return
        child = node.child
        assert child is not None, "not started"
        replacing = asyncio.create_task(faults.replace(node))
        if rng.random() < SECOND_SIGNAL_SHARE:
            await hold(rng)
            if child.returncode is None:
                # Its own `send_signal` may take the exit code from the loop.
                with contextlib.suppress(ProcessLookupError):  # It has ended.
                    os.kill(child.pid, signal.SIGTERM)
        await replacing


@register
async def terminate_two(faults: Faults, rng: random.Random) -> None:
    """SIGTERM to two nodes within half a second."""
    second = random.Random(rng.random())
    async with asyncio.TaskGroup() as group:
        group.create_task(terminate(faults, rng))
        await asyncio.sleep(second.uniform(0, TOGETHER_SECONDS))
        group.create_task(terminate(faults, second))


@register
async def terminate_at_start(faults: Faults, rng: random.Random) -> None:
    """SIGTERM to a node that has just started, or is about to."""
    async with faults.use_node(rng, "terminate_at_start") as node:
        if node is None:
            return
        await faults.system.stop(node)
        await node.spawn()
        await asyncio.sleep(rng.uniform(*START_SECONDS))
        await faults.system.stop(node)
        await faults.start(node)


@register
async def kill(faults: Faults, rng: random.Random) -> None:
    """SIGKILL, then a new start."""
    async with faults.use_node(rng, "kill") as node:
        if node is None:
            return
        assert node.child is not None, "not started"
        with faults.disturb("kill", node.name):
            node.child.kill()
            await node.child.wait()
        await hold(rng)
        await faults.start(node)


@register
async def freeze(faults: Faults, rng: random.Random) -> None:
    """SIGSTOP, then SIGCONT."""
    async with faults.use_node(rng, "freeze") as node:
        if node is not None:
            await faults.freeze(node, rng.uniform(*HOLD_SECONDS))


@register
async def freeze_stopping(faults: Faults, rng: random.Random) -> None:
    """SIGTERM, and SIGSTOP and SIGCONT before the end."""
    async with faults.use_node(rng, "freeze_stopping") as node:
        if node is None:
            return
        replacing = asyncio.create_task(faults.replace(node))
        await asyncio.sleep(rng.uniform(*EARLY_SECONDS))
        await faults.freeze(node, rng.uniform(*EARLY_SECONDS))
        await replacing


@register
async def hang_up(faults: Faults, rng: random.Random) -> None:
    """SIGHUP, which changes nothing for callers."""
    async with faults.use_node(rng, "hang_up") as node:
        if node is not None:
            assert node.child is not None, "not started"
            node.child.send_signal(signal.SIGHUP)


@register
async def crash(faults: Faults, rng: random.Random) -> None:
    """An upstream is gone at once and comes back under its id."""
    async with faults.use_upstream(rng, "crash") as upstream:
        if upstream is None:
            return
        with faults.disturb("crash", upstream.name):
            upstream.link.close()
            upstream.begin_anew(upstream.id)
            await hold(rng)
            await upstream.link.open()
            faults.system.register(upstream.name)


@register
async def leave(faults: Faults, rng: random.Random) -> None:
    """An upstream leaves, with or without a word, and another comes."""
    async with faults.use_upstream(rng, "leave") as upstream:
        if upstream is None:
            return
        store, key = faults.system.store, f"servers/{upstream.id}"
        if rng.random() < WORDLESS_SHARE:
            store.delete(key)
        else:
            upstream.state = "draining"
            faults.system.register(upstream.name)
        upstream.leaves = time.monotonic()
        await asyncio.sleep(node_book.DRAIN_SECONDS)
        await hold(rng)
        with faults.disturb("leave", upstream.name):
            upstream.link.close()
            store.delete(key)
            upstream.begin_anew(f"{upstream.name}-{rng.randrange(1 << 32):x}")
            await hold(rng)
            await upstream.link.open()
            faults.system.register(upstream.name)


@register
async def misbehave(faults: Faults, rng: random.Random) -> None:
    """An upstream answers wrongly, late, or not at all."""
    async with faults.use_upstream(rng, "misbehave") as upstream:
        if upstream is None:
            return
        mode = rng.choice(MODES)
        faults.note(f"{upstream.name} {mode}")
        with faults.disturb(mode, upstream.name):
            if mode == "cut":
                upstream.cut_after = 2
            else:
                upstream.mode = mode
            await hold(rng)
            upstream.mode, upstream.cut_after = "ok", 0


@register
async def harm_link(faults: Faults, rng: random.Random) -> None:
    """The link to an upstream delays, holds or resets."""
    async with faults.use_upstream(rng, "harm_link") as upstream:
        if upstream is None:
            return
        mode = rng.choice(list(node_system.LinkMode))
        faults.note(f"{upstream.name} {mode}")
        with faults.disturb("link", upstream.name):
            if mode is node_system.LinkMode.WELL:
                upstream.link.reset()
            upstream.link.mode = mode
            await hold(rng)
            upstream.link.mode = node_system.LinkMode.WELL


@register
async def harm_store(faults: Faults, rng: random.Random) -> None:
    """The store is down, silent, or loses answers of writes."""
    name = faults.take(rng, [node_book.STORE], "harm_store")
    if not name:
        return
    harm = rng.choice(STORE_HARMS)
    faults.note(f"store {harm}")
    with faults.disturb(harm, name):
        setattr(faults.system.store.faults, harm, True)
        await hold(rng)
        setattr(faults.system.store.faults, harm, False)
        # Watches that wait may answer now.
        faults.system.store.put("operators/note", harm)
    faults.busy.discard(name)
