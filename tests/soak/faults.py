"""Injects random faults into the processes of a soak."""

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
from soak import observer as observer_lib
from soak import processes
from soak import results as results_lib

PAUSE_SECONDS: Final = (0.2, 1.5)
HOLD_SECONDS: Final = (0.5, 5.0)
LEAVING_SECONDS: Final = 6.0
CALL_SECONDS: Final = 5.0
CONCURRENT_FAULT_LIMIT: Final = 2
CRASH_SENDS: Final = 8
CRASH_PAUSE_SECONDS: Final = 0.3
ORDER_ATTEMPTS: Final = 5
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


class FaultInjector:
    """Injects faults, at most two at a time and into different processes.

    Attributes:
        system: processes of the run.
        session: session for all requests.
        results: receives counts and violations.
        observer: is notified of a leaving engine.
        rng: generator of all random choices.
        busy: names of the processes that have a fault.
        crash_count: number of crash faults so far.
    """

    def __init__(
        self,
        system: processes.System,
        session: aiohttp.ClientSession,
        results: results_lib.Results,
        observer: observer_lib.Observer,
        rng: random.Random,
    ) -> None:
        self.system = system
        self.session = session
        self.results = results
        self.observer = observer
        self.rng = rng
        self.busy: set[str] = set()
        self.crash_count = 0

    async def run(self, seconds: float) -> None:
        """Inject faults for some seconds; return once all have ended."""
        end = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                if len(self.busy) < CONCURRENT_FAULT_LIMIT:
                    group.create_task(self._inject())
                await asyncio.sleep(self.rng.uniform(*PAUSE_SECONDS))

    async def _inject(self) -> None:
        """Inject one random fault into a process that has none."""
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
            process
            for process in self._targets(kind.__name__)
            if process.name not in self.busy
        ]
        process = self.rng.choice(free)
        self.busy.add(process.name)
        print(
            f"{self.results.elapsed_seconds} {kind.__name__} {process.name}",
            flush=True,
        )
        self.results.counts[f"fault_{kind.__name__}"] += 1
        try:
            await kind(process)
        finally:
            self.busy.discard(process.name)

    def _targets(self, kind: str) -> tuple[processes.Process, ...]:
        """Return the processes into which a kind of fault may be injected."""
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

    async def kill(self, process: processes.Process) -> None:
        """Kill a process and start a new one in its place."""
        await process.kill()
        await self._hold()
        await process.start(self.session)

    async def pause(self, process: processes.Process) -> None:
        """Freeze a process for a random time."""
        process.pause()
        await self._hold()
        process.resume()

    async def replace(self, process: processes.Process) -> None:
        """Stop a process as planned and start a new one in its place."""
        code = await process.stop()
        if code:
            self.results.record_violation(
                "a planned stop exits 0", f"{process.name} exited with {code}"
            )
        await process.start(self.session)

    async def order(self, process: processes.Process) -> None:
        """Set a random fault of a stand-in, then clear it."""
        choices: tuple[dict[str, Any], ...] = PLATFORM_FAULTS
        if process is self.system.key_value:
            choices = KEY_VALUE_FAULTS
        if process in self.system.engines:
            choices = ENGINE_FAULTS
        if process in self.system.services:
            choices = SERVICE_FAULTS
        fault = self.rng.choice(choices)
        print(
            f"{self.results.elapsed_seconds} {process.name} {fault}", flush=True
        )
        await self._put_faults(process, fault)
        await self._hold()
        await self._put_faults(process, {})

    async def leave(self, process: processes.Process) -> None:
        """Mark an engine as leaving, then replace its VM."""
        leaving = observer_lib.Leaving(process, math.inf)
        self.observer.leaving = leaving
        await self.system.put_vms(self.session, process)
        leaving.since = time.monotonic()
        await asyncio.sleep(LEAVING_SECONDS)
        self.observer.leaving = None
        await process.kill()
        await self.system.put_vms(self.session)
        await process.start(self.session)

    async def crash(self, process: processes.Process) -> None:
        """Send a crashing request repeatedly, to all entries in turn."""
        self.crash_count += 1
        prompt = f"{engine.CRASH_MARKER} {self.crash_count}"
        body = {"model": processes.MODELS[0], "prompt": prompt}
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        entries = itertools.cycle((process, *self.system.entries))
        for entry in itertools.islice(entries, CRASH_SENDS):
            url = f"http://{entry.address}/v1/completions"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.session.post(
                    url, json=body, timeout=timeout
                ) as response:
                    self.results.counts[f"crash_{response.status}"] += 1
            await asyncio.sleep(CRASH_PAUSE_SECONDS)

    async def _hold(self) -> None:
        await asyncio.sleep(self.rng.uniform(*HOLD_SECONDS))

    async def _put_faults(
        self, process: processes.Process, fault: dict[str, Any]
    ) -> None:
        """Set the faults of a stand-in.

        A crash of the stand-in may break the connection; the call is retried.
        """
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        url = f"http://{process.address}/faults"
        for _ in range(ORDER_ATTEMPTS):
            with contextlib.suppress(aiohttp.ClientConnectionError):
                async with self.session.put(
                    url, json=fault, timeout=timeout
                ) as response:
                    response.raise_for_status()
                    return
            await asyncio.sleep(CRASH_PAUSE_SECONDS)
        raise RuntimeError(f"{process.name} did not accept the faults")
