"""Faults of a soak run, drawn by a seeded generator."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import itertools
import math
import random
import time
from typing import Any, Final

import aiohttp

from cicadahook.standins import engine
from soak import ledger as ledger_lib
from soak import observer as observer_lib
from soak import processes

PAUSE_SECONDS: Final = (0.2, 1.5)
HOLD_SECONDS: Final = (0.5, 5.0)
LEAVING_SECONDS: Final = 6.0
CALL_SECONDS: Final = 5.0
AT_ONCE: Final = 2
CRASH_SENDS: Final = 8
CRASH_PAUSE_SECONDS: Final = 0.3
ORDER_TRIES: Final = 5
PLATFORM_FAULTS: Final = (
    {"down": True},
    {"silent": True},
    {"latency_seconds": 0.7},
    {"lose_replies": 5},
)
KEY_VALUE_FAULTS: Final = (
    *PLATFORM_FAULTS,
    {"silent_watches": True},
    {"lose_write_replies": 5},
)
ENGINE_FAULTS: Final = (
    {"cut_streams": 3},
    {"cross_answers": 3},
    {"silence_open": True},
    {"lose_orders": 2},
    {"delay_orders_seconds": 3.0},
    {"latency_seconds": 0.5},
    {"lose_replies": 3},
)
SERVICE_FAULTS: Final = (
    {"latency_seconds": 1.0},
    {"lose_replies": 3},
    {"down": True},
)

Fault = Callable[[], Awaitable[None]]


class Faults:
    """Brings about faults, at most two at a time on different processes."""

    def __init__(
        self,
        system: processes.System,
        session: aiohttp.ClientSession,
        ledger: ledger_lib.Ledger,
        observer: observer_lib.Observer,
        rng: random.Random,
    ) -> None:
        self.system = system
        self.session = session
        self.ledger = ledger
        self.observer = observer
        self.rng = rng
        self.busy: set[str] = set()
        self.crash_count = 0

    async def run(self, seconds: float) -> None:
        """Bring about faults for so long; return once all have ended."""
        end = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                if len(self.busy) < AT_ONCE:
                    group.create_task(self._bring_about())
                await asyncio.sleep(self.rng.uniform(*PAUSE_SECONDS))

    async def _bring_about(self) -> None:
        """Bring about one random fault on a process that has none."""
        kinds: tuple[Callable[[processes.Process], Awaitable[None]], ...] = (
            self.kill,
            self.pause,
            self.replace,
            self.order,
            self.order,
            self.pause if self.observer.leaving else self.leave,
            self.crash,
        )
        kind = self.rng.choice(kinds)
        free = [
            part
            for part in self._targets(kind.__name__)
            if part.name not in self.busy
        ]
        part = self.rng.choice(free)
        self.busy.add(part.name)
        print(
            f"{self.ledger.elapsed_seconds} {kind.__name__} {part.name}",
            flush=True,
        )
        self.ledger.counts[f"fault_{kind.__name__}"] += 1
        try:
            await kind(part)
        finally:
            self.busy.discard(part.name)

    def _targets(self, kind: str) -> tuple[processes.Process, ...]:
        """Return the processes that a kind of fault may strike."""
        daemons = (*self.system.controls, *self.system.entries)
        match kind:
            case "replace":
                return daemons
            case "order":
                platform = (self.system.key_value, self.system.vm_list)
                upstreams = (*self.system.engines, *self.system.services)
                return (*platform, *upstreams)
            case "leave":
                return tuple(self.system.engines)
            case "crash":
                return tuple(self.system.entries)
        return (*daemons, *self.system.engines)

    async def kill(self, part: processes.Process) -> None:
        """Kill a process and start a new one in its place."""
        await part.kill()
        await self._hold()
        await part.start(self.session)

    async def pause(self, part: processes.Process) -> None:
        """Freeze a process for a while."""
        part.pause()
        await self._hold()
        part.resume()

    async def replace(self, part: processes.Process) -> None:
        """Stop a process as planned and start a new one in its place."""
        code = await part.stop()
        if code:
            self.ledger.note_broken(
                "a planned stop exits 0", f"{part.name} exited {code}"
            )
        await part.start(self.session)

    async def order(self, part: processes.Process) -> None:
        """Order a fault of a stand-in, then none."""
        choices: tuple[dict[str, Any], ...] = PLATFORM_FAULTS
        if part is self.system.key_value:
            choices = KEY_VALUE_FAULTS
        if part in self.system.engines:
            choices = ENGINE_FAULTS
        if part in self.system.services:
            choices = SERVICE_FAULTS
        fault = self.rng.choice(choices)
        print(f"{self.ledger.elapsed_seconds} {part.name} {fault}", flush=True)
        await self._put_faults(part, fault)
        await self._hold()
        await self._put_faults(part, {})

    async def leave(self, part: processes.Process) -> None:
        """Show an engine as leaving, then replace its VM."""
        leaving = observer_lib.Leaving(part, math.inf)
        self.observer.leaving = leaving
        await self.system.list_vms(self.session, part)
        leaving.since = time.monotonic()
        await asyncio.sleep(LEAVING_SECONDS)
        self.observer.leaving = None
        await part.kill()
        await self.system.list_vms(self.session)
        await part.start(self.session)

    async def crash(self, part: processes.Process) -> None:
        """Send a request that crashes engines, again and again, to all."""
        self.crash_count += 1
        prompt = f"{engine.CRASH_MARKER} {self.crash_count}"
        body = {"model": processes.MODELS[0], "prompt": prompt}
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        entries = itertools.cycle((part, *self.system.entries))
        for entry in itertools.islice(entries, CRASH_SENDS):
            url = f"http://{entry.address}/v1/completions"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.session.post(
                    url, json=body, timeout=timeout
                ) as response:
                    self.ledger.counts[f"crash_{response.status}"] += 1
            await asyncio.sleep(CRASH_PAUSE_SECONDS)

    async def _hold(self) -> None:
        await asyncio.sleep(self.rng.uniform(*HOLD_SECONDS))

    async def _put_faults(
        self, part: processes.Process, fault: dict[str, Any]
    ) -> None:
        """Order faults, again if a crash cuts the order off."""
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        url = f"http://{part.address}/faults"
        for _ in range(ORDER_TRIES):
            with contextlib.suppress(aiohttp.ClientConnectionError):
                async with self.session.put(
                    url, json=fault, timeout=timeout
                ) as response:
                    response.raise_for_status()
                    return
            await asyncio.sleep(CRASH_PAUSE_SECONDS)
        raise RuntimeError(f"{part.name} takes no faults")
