"""Faults of a soak of nodes, drawn from its seed before it begins."""

import asyncio
from collections.abc import Callable, Coroutine
import dataclasses
import random
import time
from typing import Any, Final

import aiohttp

import node_process
from soak import node_system

PAUSE_SECONDS: Final = (0.3, 2.0)
HOLD_SECONDS: Final = (0.3, 4.0)

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

    def take_node(
        self, rng: random.Random, kind: str
    ) -> node_process.NodeProcess | None:
        """Return a node that has no fault, or None."""
        nodes = {node.name: node for node in self.system.nodes}
        return nodes.get(self.take(rng, list(nodes), kind))

    async def replace(self, node: node_process.NodeProcess) -> None:
        """Stop a node as planned and start it again."""
        await self.system.stop(node)
        self.note(f"{node.name} has stopped")
        await node.start(self.session)
        self.note(f"{node.name} is back")


@register
async def terminate(faults: Faults, rng: random.Random) -> None:
    """SIGTERM, then a new start."""
    node = faults.take_node(rng, "terminate")
    if node is not None:
        await faults.replace(node)
        faults.busy.discard(node.name)
