"""Measures the time from an accepted edit until each dashboard receives it.

Run: python benchmarks/dashboard_delay.py

Runs a system of four VMs in one process on loopback, with one dashboard client
for each control. The pauses between edits are drawn with a fixed seed.
"""

import asyncio
import json
import random
import statistics
import time
from typing import Final

import aiohttp

from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.programs import daemon
from cicadahook.programs import local

EDIT_COUNT: Final = 30
SEED: Final = 1
BASE_PORT: Final = 13800


async def record_generations(
    system: local.LocalSystem,
    index: int,
    received: dict[tuple[int, int], float],
) -> None:
    """Record when a dashboard first receives each table generation.

    Args:
        system: the running system.
        index: index of the control that serves the dashboard.
        received: monotonic seconds of the receipt by control index and
            generation; filled in place.
    """
    port = system.base_port + local.CONTROL_OFFSET + index
    url = f"http://{local.HOST}:{port}/wall/events"
    async with system.session.get(
        url, timeout=aiohttp.ClientTimeout()
    ) as response:
        async for line in response.content:
            if line.startswith(b"data: "):
                dashboard = json.loads(line.removeprefix(b"data: "))
                key = index, dashboard["generation"]
                received.setdefault(key, time.monotonic())


async def edit(system: local.LocalSystem, weight: float) -> int:
    """Set the weight of the first row; return the resulting generation."""
    url = f"http://{local.HOST}:{system.base_port + local.CONTROL_OFFSET}"
    async with system.session.get(f"{url}/table") as response:
        rows = (await response.json())["rows"]
    body = {"rows": [{**rows[0], "weight": weight}]}
    async with system.session.put(f"{url}/table/rows", json=body) as response:
        generation: int = (await response.json())["generation"]
        return generation


async def main() -> None:
    """Measure and print the delays in seconds."""
    rng = random.Random(SEED)
    logs.setup(logs.LogFormat.PLAIN, "ERROR")
    metrics.setup("")
    received: dict[tuple[int, int], float] = {}
    accepted: dict[int, float] = {}
    async with daemon.open_session() as session:
        system = local.LocalSystem(local.LocalMode(BASE_PORT), session)
        await system.start()
        watchers = [
            asyncio.create_task(record_generations(system, index, received))
            for index in range(local.VM_COUNT)
        ]
        for number in range(EDIT_COUNT):
            await asyncio.sleep(rng.uniform(0.5, 1.5))
            accepted[await edit(system, number + 2.0)] = time.monotonic()
        await asyncio.sleep(2.0)
        for watcher in watchers:
            watcher.cancel()
        await system.stop()
    delays = [
        received[index, generation] - at
        for generation, at in accepted.items()
        for index in range(local.VM_COUNT)
        if (index, generation) in received
    ]
    skipped = EDIT_COUNT * local.VM_COUNT - len(delays)
    print(f"edits shown {len(delays)}, overtaken by the next {skipped}")
    print(f"p50 {statistics.median(delays):.2f} s, worst {max(delays):.2f} s")


if __name__ == "__main__":
    asyncio.run(main())
