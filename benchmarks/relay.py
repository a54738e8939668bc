"""Measures the processor time of an entry for relayed requests and tokens.

Run: python benchmarks/relay.py [--seconds 8]

Starts one control, one entry and stand-ins as separate processes on loopback,
and reads the processor time and memory of control and entry from /proc.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import time
from typing import Any, Final

import aiohttp
import fire

HOST: Final = "127.0.0.1"
BASE_PORT: Final = 9700
BIN_DIRECTORY: Final = pathlib.Path(sys.executable).parent
START_SECONDS: Final = 20.0
POLL_SECONDS: Final = 0.1
MODEL: Final = "model-0"
TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True)
class ProcessUsage:
    """Resource usage of a process.

    Attributes:
        cpu_seconds: processor time since the process started.
        resident_mb: current resident memory, in MB.
    """

    cpu_seconds: float
    resident_mb: float


@dataclasses.dataclass(frozen=True)
class MeasuredProcesses:
    """The processes whose usage is measured."""

    entry: subprocess.Popen[bytes]
    control: subprocess.Popen[bytes]


def port(offset: int) -> int:
    """Return the port `offset` above the base port."""
    return BASE_PORT + offset


def url(offset: int, path: str) -> str:
    """Return the URL of `path` on the port `offset` above the base port."""
    return f"http://{HOST}:{port(offset)}{path}"


def read_usage(process: subprocess.Popen[bytes]) -> ProcessUsage:
    """Return the resource usage of `process` so far."""
    stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text("ascii")
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(fields[21])
    return ProcessUsage(
        ticks / TICKS_PER_SECOND,
        pages * os.sysconf("SC_PAGE_SIZE") / 1_000_000,
    )


@contextlib.contextmanager
def run_system() -> Iterator[MeasuredProcesses]:
    """Start all processes, yield the measured ones and stop all afterwards."""
    address = f"{HOST}:{port(0)}"
    commands = [
        ["cicada-standin", "keyvalue", "--port", str(port(20))],
        ["cicada-standin", "vmlist", "--port", str(port(21))],
        ["cicada-standin", "engine", "--port", str(port(31)), "--knee=1000"],
        [
            "cicada-control",
            f"--port={port(11)}",
            f"--entry={address}",
            f"--key-value={HOST}:{port(20)}",
            f"--vm-list={HOST}:{port(21)}",
        ],
        [
            "cicada-entry",
            f"--port={port(0)}",
            f"--controls={HOST}:{port(11)}",
        ],
    ]
    with contextlib.ExitStack() as stack:
        started = []
        for command in commands:
            process = subprocess.Popen(
                [str(BIN_DIRECTORY / command[0]), *command[1:]],
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            stack.callback(process.wait)
            stack.callback(process.terminate)
            started.append(process)
        yield MeasuredProcesses(entry=started[4], control=started[3])


async def request_json(
    session: aiohttp.ClientSession, method: str, target: str, body: Any
) -> Any:
    """Return the JSON answer to a request, which is repeated on failure.

    Raises:
        TimeoutError: no request succeeded within START_SECONDS.
    """
    deadline = time.monotonic() + START_SECONDS
    while True:
        with contextlib.suppress(aiohttp.ClientError):
            async with session.request(method, target, json=body) as response:
                if response.status < 400:
                    return await response.json()
        if time.monotonic() > deadline:
            raise TimeoutError(target)
        await asyncio.sleep(POLL_SECONDS)


async def prepare(session: aiohttp.ClientSession, row_count: int) -> None:
    """Fill the VM list and the table, and wait until a request is served."""
    vms = [{"address": f"{HOST}:{port(31)}", "zone": "z1", "kind": "engine"}]
    await request_json(session, "PUT", url(21, "/vms"), vms)
    rows = [
        {"name": f"model-{index}", "kind": "model", "memory_bytes": 1000}
        for index in range(row_count)
    ]
    await request_json(session, "PUT", url(11, "/table/rows"), {"rows": rows})
    probe = {**create_body(1), "stream": False}
    await request_json(session, "POST", url(0, "/v1/completions"), probe)


def create_body(tokens: int) -> dict[str, Any]:
    """Return the body of a streamed completion request for `tokens` tokens."""
    return {
        "model": MODEL,
        "prompt": "measure",
        "max_tokens": tokens,
        "stream": True,
    }


async def send_load(
    session: aiohttp.ClientSession, rate: float, tokens: int, seconds: float
) -> int:
    """Send `rate` requests a second; return how many were served in full."""

    async def send() -> bool:
        target = url(0, "/v1/completions")
        async with session.post(target, json=create_body(tokens)) as response:
            answer = await response.read()
        return answer.endswith(b"data: [DONE]\n\n")

    tasks = []
    for _ in range(int(rate * seconds)):
        tasks.append(asyncio.create_task(send()))
        await asyncio.sleep(1 / rate)
    return sum(await asyncio.gather(*tasks))


async def measure_idle(
    session: aiohttp.ClientSession, system: MeasuredProcesses, seconds: float
) -> dict[str, float]:
    """Return usage and key-value calls of the daemons without load."""
    calls = await request_json(session, "GET", url(20, "/calls"), None)
    before = read_usage(system.control), read_usage(system.entry)
    await asyncio.sleep(seconds)
    after = read_usage(system.control), read_usage(system.entry)
    calls_after = await request_json(session, "GET", url(20, "/calls"), None)
    return {
        "control_core_percent": _compute_core_percent(
            before[0], after[0], seconds
        ),
        "entry_core_percent": _compute_core_percent(
            before[1], after[1], seconds
        ),
        "control_resident_mb": after[0].resident_mb,
        "entry_resident_mb": after[1].resident_mb,
        "kv_reads_per_second": (calls_after["reads"] - calls["reads"])
        / seconds,
        "kv_writes_per_second": (calls_after["writes"] - calls["writes"])
        / seconds,
    }


def _compute_core_percent(
    before: ProcessUsage, after: ProcessUsage, seconds: float
) -> float:
    return 100 * (after.cpu_seconds - before.cpu_seconds) / seconds


async def measure_load(
    session: aiohttp.ClientSession,
    system: MeasuredProcesses,
    rate: float,
    tokens: int,
    seconds: float,
) -> dict[str, float]:
    """Return the entry's processor time per request under load."""
    before = read_usage(system.entry)
    served = await send_load(session, rate, tokens, seconds)
    after = read_usage(system.entry)
    cpu = after.cpu_seconds - before.cpu_seconds
    return {
        "rate": rate,
        "tokens": tokens,
        "sent": int(rate * seconds),
        "served": served,
        "entry_cpu_ms_per_request": 1000 * cpu / max(served, 1),
        "entry_resident_mb": after.resident_mb,
    }


async def measure_table_size(row_count: int, seconds: float) -> None:
    """Print all measurements with a table of `row_count` rows."""
    connector = aiohttp.TCPConnector(limit=0)
    with run_system() as system:
        async with aiohttp.ClientSession(connector=connector) as session:
            await prepare(session, row_count)
            idle = await measure_idle(session, system, seconds)
            print(json.dumps({"rows": row_count, **idle}), flush=True)
            for rate, tokens in ((20.0, 1), (20.0, 33), (20.0, 65)):
                result = await measure_load(
                    session, system, rate, tokens, seconds
                )
                print(json.dumps(result), flush=True)


def main(seconds: float = 8.0, rows: tuple[int, ...] = (1, 200)) -> None:
    """Measure with each size of the table.

    Args:
        seconds: duration of each measurement.
        rows: numbers of rows in the table.
    """
    for row_count in rows:
        asyncio.run(measure_table_size(row_count, seconds))


if __name__ == "__main__":
    fire.Fire(main)
