"""Measures four controls and entries as processes, idle and during failures.

The failures are an outage of the key-value service, the recovery from it and
the death of a node. Prints JSON lines: calls to the key-value service per
second, time from an edit until it is in force on every control, and memory
and processor time of each daemon.

Run: python benchmarks/processes.py [BASE_PORT]
"""

import asyncio
from collections.abc import Iterator
import json
import os
import pathlib
import subprocess
import sys
import time
from typing import Any, Final

import aiohttp

HOST: Final = "127.0.0.1"
NODE_COUNT: Final = 4
DEFAULT_BASE_PORT: Final = 11000
START_SECONDS: Final = 15.0
IDLE_SECONDS: Final = 20.0
OUTAGE_PHASE: Final = "in_outage"
OUTAGE_SECONDS: Final = 15.0
RECOVERY_SECONDS: Final = 10.0
NODE_FAILURE_SECONDS: Final = 10.0
EDIT_COUNT: Final = 20
POLL_SECONDS: Final = 0.01
PAGE_KIB: Final = os.sysconf("SC_PAGE_SIZE") // 1024
TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")


class Cluster:
    """The processes of stand-ins, four controls and four entries.

    Attributes:
        base: lowest port.
        session: HTTP session for requests to the processes.
        processes: running processes by name.
    """

    def __init__(self, base: int, session: aiohttp.ClientSession) -> None:
        self.base = base
        self.session = session
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self) -> None:
        """Start all processes."""
        self._start_process(
            "keyvalue", "standin", "keyvalue", f"--port={self.base}"
        )
        self._start_process(
            "vmlist", "standin", "vmlist", f"--port={self.base + 1}"
        )
        for index in range(NODE_COUNT):
            name = f"vm{index}"
            self._start_process(
                f"control{index}",
                "control",
                f"--name={name}",
                f"--port={self.control_port(index)}",
                f"--entry={HOST}:{self.entry_port(index)}",
                f"--key-value={HOST}:{self.base}",
                f"--vm-list={HOST}:{self.base + 1}",
                "--cluster-key=a benchmark's key",
                "--log-level=ERROR",
            )
            self._start_process(
                f"entry{index}",
                "entry",
                f"--name={name}",
                f"--port={self.entry_port(index)}",
                f'--controls=["{HOST}:{self.control_port(index)}"]',
                "--log-level=ERROR",
            )

    def control_port(self, index: int) -> int:
        """Return the port of a control."""
        return self.base + 10 + index

    def entry_port(self, index: int) -> int:
        """Return the port of an entry."""
        return self.base + 20 + index

    def _start_process(self, name: str, program: str, *arguments: str) -> None:
        code = f"from cicadahook.programs import {program} as p; p.main()"
        command = [sys.executable, "-c", code, *arguments]
        # pylint: disable-next=consider-using-with
        self.processes[name] = subprocess.Popen(command)

    def kill(self, index: int) -> None:
        """Kill the control and the entry of a VM."""
        for name in (f"control{index}", f"entry{index}"):
            process = self.processes.pop(name)
            process.kill()
            process.wait()

    def stop(self) -> None:
        """Stop all processes."""
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            process.wait(timeout=70)

    async def request_json(
        self, method: str, port: int, path: str, **arguments: Any
    ) -> Any:
        """Send a request to a process and return its JSON answer."""
        url = f"http://{HOST}:{port}{path}"
        async with self.session.request(method, url, **arguments) as response:
            response.raise_for_status()
            return await response.json()

    async def count_calls(self) -> dict[str, int]:
        """Return the calls that the key-value service received, by kind."""
        calls: dict[str, int] = await self.request_json(
            "GET", self.base, "/calls"
        )
        return calls

    async def time_edit(self, number: int) -> float:
        """Edit a row; return the seconds until all controls have the edit."""
        row = {
            "name": "bench",
            "kind": "service",
            "rate_per_second": float(number),
        }
        answer = await self.request_json(
            "PUT",
            self.control_port(number % NODE_COUNT),
            "/table/rows",
            json={"rows": [row]},
        )
        started = time.monotonic()
        for index in range(NODE_COUNT):
            while True:
                port = self.control_port(index)
                table = await self.request_json("GET", port, "/table")
                if table["generation"] >= answer["generation"]:
                    break
                await asyncio.sleep(POLL_SECONDS)
        return time.monotonic() - started

    def read_usage(self) -> Iterator[tuple[str, float, float]]:
        """Yield name, memory in MB and processor seconds of each process."""
        for name, process in self.processes.items():
            proc_directory = pathlib.Path("/proc") / str(process.pid)
            pages = int((proc_directory / "statm").read_text().split()[1])
            fields = (
                (proc_directory / "stat").read_text().rpartition(")")[2].split()
            )
            seconds = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
            yield name, pages * PAGE_KIB / 1024, seconds


async def measure_rates(cluster: Cluster, phase: str, seconds: float) -> None:
    """Print calls per second, and usage of each process, during a phase.

    Calls are not counted during the outage, as the key-value service then does
    not report their number.
    """
    is_counting = phase != OUTAGE_PHASE
    calls = await cluster.count_calls() if is_counting else {}
    cpu_before = {name: cpu for name, _, cpu in cluster.read_usage()}
    await asyncio.sleep(seconds)
    if is_counting:
        calls_after = await cluster.count_calls()
        print_line(
            f"calls_a_second_{phase}",
            {
                kind: (calls_after[kind] - calls[kind]) / seconds
                for kind in calls
            },
        )
    for daemon, memory, cpu in cluster.read_usage():
        share = (cpu - cpu_before[daemon]) / seconds
        print_line(f"usage_{phase}", {"mb": memory, "core": share}, daemon)


def print_line(
    measure: str, values: dict[str, float], daemon: str = ""
) -> None:
    """Print one JSON line."""
    line = {"measure": measure, **({"daemon": daemon} if daemon else {})}
    rounded = {name: round(value, 4) for name, value in values.items()}
    print(json.dumps({**line, **rounded}), flush=True)


async def measure_edits(cluster: Cluster) -> None:
    """Print the times until edits are in force, and the calls per edit."""
    calls = await cluster.count_calls()
    times = sorted(
        [await cluster.time_edit(number) for number in range(EDIT_COUNT)]
    )
    calls_after = await cluster.count_calls()
    print_line(
        "in_force_seconds",
        {
            "p50": times[EDIT_COUNT // 2],
            "p99": times[int(EDIT_COUNT * 0.99)],
            "worst": times[-1],
        },
    )
    print_line(
        "calls_an_edit",
        {
            kind: (calls_after[kind] - calls[kind]) / EDIT_COUNT
            for kind in calls
        },
    )


async def run(base: int) -> None:
    """Start the processes, measure all phases and stop the processes."""
    async with aiohttp.ClientSession() as session:
        cluster = Cluster(base, session)
        try:
            cluster.start()
            await asyncio.sleep(START_SECONDS)
            await cluster.time_edit(EDIT_COUNT)
            await measure_rates(cluster, "in_rest", IDLE_SECONDS)
            await measure_edits(cluster)
            await cluster.request_json(
                "PUT", base, "/faults", json={"down": True}
            )
            await measure_rates(cluster, OUTAGE_PHASE, OUTAGE_SECONDS)
            await cluster.request_json("PUT", base, "/faults", json={})
            await measure_rates(cluster, "at_recovery", RECOVERY_SECONDS)
            cluster.kill(NODE_COUNT - 1)
            await measure_rates(cluster, "at_a_death", NODE_FAILURE_SECONDS)
        finally:
            cluster.stop()


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]) if sys.argv[1:] else DEFAULT_BASE_PORT))
