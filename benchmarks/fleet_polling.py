"""Measures the processor time that polling the fleet's engines takes.

Run: python benchmarks/fleet_polling.py

The engines are stand-ins in separate processes. Only the processor time of
this process, which runs the fleet watcher, is measured.
"""

import asyncio
import contextlib
import json
import pathlib
import subprocess
import sys
import time
from typing import Final

from cicadahook.net import fleet
from cicadahook.net import http_server
from cicadahook.programs import daemon
from cicadahook.standins import vmlist

HOST: Final = "127.0.0.1"
LIST_PORT: Final = 10_300
ENGINE_PORT: Final = 10_301
ENGINE_COUNTS: Final = (4, 8, 16, 32)
START_SECONDS: Final = 10.0
MEASURED_SECONDS: Final = 6.0
STANDIN_PROGRAM: Final = pathlib.Path(sys.executable).parent / "cicada-standin"


async def measure(count: int) -> dict[str, float]:
    """Return the percentage of a core that polling `count` engines takes."""
    listed = tuple(
        vmlist.ListedVm(f"{HOST}:{ENGINE_PORT + index}", "zone1", "engine")
        for index in range(count)
    )
    server = http_server.Server(
        vmlist.VmListStandin(listed).create_app(), HOST, LIST_PORT
    )
    await server.start()
    async with daemon.open_session() as session:
        watcher = fleet.FleetWatcher(f"{HOST}:{LIST_PORT}", session)
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(START_SECONDS / 5)
        before = time.process_time()
        await asyncio.sleep(MEASURED_SECONDS)
        cpu_seconds = time.process_time() - before
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
    await server.stop()
    live = sum(
        upstream.state == "live" for upstream in watcher.fleets.value.upstreams
    )
    return {
        "engines": count,
        "live": live,
        "core_percent": round(100 * cpu_seconds / MEASURED_SECONDS, 2),
    }


async def run() -> None:
    """Start the engines, and measure with each number of them in the list."""
    with contextlib.ExitStack() as stack:
        for index in range(ENGINE_COUNTS[-1]):
            process = subprocess.Popen(  # pylint: disable=consider-using-with
                [
                    str(STANDIN_PROGRAM),
                    "engine",
                    f"--port={ENGINE_PORT + index}",
                ],
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            stack.callback(process.wait)
            stack.callback(process.terminate)
        await asyncio.sleep(START_SECONDS)
        for count in ENGINE_COUNTS:
            print(json.dumps(await measure(count)), flush=True)


if __name__ == "__main__":
    asyncio.run(run())
