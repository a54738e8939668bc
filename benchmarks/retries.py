"""Measures the load of retries on failing upstreams and the cost of an entry.

Run: python benchmarks/retries.py

First simulates retries, with and without a budget and ejection, while half of
the upstreams fail. Then compares the latency of streamed requests sent to an
engine directly and through an entry, and measures the entry's processor time.
"""

import asyncio
import dataclasses
import datetime
import json
import multiprocessing
import multiprocessing.connection
import random
import time
from typing import Final

import aiohttp
from hdrh import histogram

from cicadahook.core import clock as clock_lib
from cicadahook.core import retry
from cicadahook.core import table
from cicadahook.core import view as view_lib
from cicadahook.net import http_server
from cicadahook.programs import daemon
from cicadahook.programs import entry as entry_program
from cicadahook.programs import settings as settings_lib
from cicadahook.standins import accelerator_memory
from cicadahook.standins import batch
from cicadahook.standins import engine

SEED: Final = 7
SIMULATED_REQUESTS: Final = 20_000
UPSTREAM_COUNT: Final = 8
SIMULATED_REQUESTS_PER_SECOND: Final = 100
TIME_LEFT: Final = datetime.timedelta(seconds=30)
# Settings with a budget that is never exhausted.
NO_BUDGET: Final = retry.RetryMode(budget_ratio=1e6, budget_burst=1e6)
LOAD_REQUESTS_PER_SECOND: Final = 100
LOAD_SECONDS: Final = 10
TOKENS_PER_REQUEST: Final = 32
HOST: Final = "127.0.0.1"
MODEL: Final = "model"
SPAWN_CONTEXT: Final = multiprocessing.get_context("spawn")


@dataclasses.dataclass(frozen=True)
class Amplification:
    """Result of one simulated run.

    Attributes:
        reason: how the failing half of the upstreams fails.
        budget: whether retries had a budget.
        ejection: whether failing upstreams were ejected.
        attempts: mean attempts per request.
        served: share of the requests that were served.
    """

    reason: str
    budget: bool
    ejection: bool
    attempts: float
    served: float


def simulate(
    reason: retry.Reason, has_budget: bool, has_ejection: bool
) -> Amplification:
    """Simulate retries while half of the upstreams always fail."""
    clock = clock_lib.ManualClock()
    mode = retry.RetryMode() if has_budget else NO_BUDGET
    policy = retry.RetryPolicy(mode, clock, random.Random(SEED))
    rng = random.Random(SEED)
    attempts = served = 0
    for _ in range(SIMULATED_REQUESTS):
        clock.advance(
            datetime.timedelta(seconds=1 / SIMULATED_REQUESTS_PER_SECOND)
        )
        policy.record_request()
        excluded: set[int] = set()
        for number in range(1, mode.max_attempts + 1):
            attempts += 1
            ejected = policy.list_ejected() if has_ejection else frozenset()
            candidates = [
                upstream
                for upstream in range(UPSTREAM_COUNT)
                if upstream not in excluded and str(upstream) not in ejected
            ]
            upstream = rng.choice(candidates or list(range(UPSTREAM_COUNT)))
            if upstream >= UPSTREAM_COUNT // 2:
                served += 1
                policy.record_success(str(upstream))
                break
            excluded.add(upstream)
            policy.record_failure(str(upstream), reason)
            failure = retry.Failure(
                reason, str(upstream), True, number, TIME_LEFT
            )
            if isinstance(policy.decide(failure), retry.GiveUp):
                break
    return Amplification(
        reason.value,
        has_budget,
        has_ejection,
        attempts / SIMULATED_REQUESTS,
        served / SIMULATED_REQUESTS,
    )


def run_engine(pipe: multiprocessing.connection.Connection) -> None:
    """Run a stand-in engine until a message arrives on `pipe`.

    Runs in a process of its own and first sends the engine's address.
    """

    async def serve() -> None:
        standin = engine.EngineStandin(
            engine.EngineMode(batch=batch.BatchMode(knee=1000))
        )
        standin.memory.allocate(
            accelerator_memory.ResidentCopy(
                MODEL, "", "1", 1, view_lib.CopyState.SERVING
            )
        )
        server = http_server.Server(standin.create_app(), HOST, 0)
        await server.start()
        pipe.send(server.address)
        await asyncio.to_thread(pipe.recv)
        await server.stop()

    asyncio.run(serve())


def run_entry(
    pipe: multiprocessing.connection.Connection, upstream: str
) -> None:
    """Run an entry in a process of its own and send its CPU time.

    It sends its address, then None when the first message starts the
    measurement, and the CPU seconds since then when the second one ends it.
    """

    async def serve() -> None:
        settings = settings_lib.parse(
            settings_lib.EntrySettings,
            ["--port", "0", "--drain-seconds", "0", "--controls", f"{HOST}:9"],
        )
        async with daemon.open_session() as session:
            entry_daemon = entry_program.EntryDaemon(settings, session)
            await entry_daemon.server.start()
            entry_daemon.entry.address = entry_daemon.server.address
            entry_daemon.entry.apply_view(create_view(upstream))
            pipe.send(entry_daemon.server.address)
            await asyncio.to_thread(pipe.recv)
            started = time.process_time()
            pipe.send(None)
            await asyncio.to_thread(pipe.recv)
            pipe.send(time.process_time() - started)
            await entry_daemon.stop()

    asyncio.run(serve())


def create_view(upstream: str) -> view_lib.View:
    """Return a view with one model that serves on one upstream."""
    row = table.Row(MODEL, table.RowKind.MODEL, memory_bytes=1)
    return view_lib.View(
        "vm1",
        1,
        table.Table(1, (row,)),
        (view_lib.Upstream(upstream, "zone1", view_lib.UpstreamKind.ENGINE),),
        (view_lib.Copy(MODEL, upstream, "1", view_lib.CopyState.SERVING),),
    )


@dataclasses.dataclass
class Latencies:
    """Latencies of the requests of one load, in microseconds.

    Attributes:
        first_line: times to the first line of the answer.
        total: times to the end of the answer.
        failed: number of incomplete answers.
    """

    first_line: histogram.HdrHistogram
    total: histogram.HdrHistogram
    failed: int = 0


async def send(
    session: aiohttp.ClientSession, url: str, latencies: Latencies
) -> None:
    """Send one streamed request and record its latencies."""
    started = time.perf_counter()
    body = {
        "model": MODEL,
        "prompt": "the same prompt",
        "max_tokens": TOKENS_PER_REQUEST,
        "stream": True,
    }
    async with session.post(url, json=body) as response:
        line = await response.content.readline()
        first_line = time.perf_counter() - started
        rest = await response.read()
        total = time.perf_counter() - started
    if not line or not rest.endswith(b"data: [DONE]\n\n"):
        latencies.failed += 1
    latencies.first_line.record_value(int(first_line * 1e6))
    latencies.total.record_value(int(total * 1e6))


async def send_load(address: str, interval_seconds: float) -> Latencies:
    """Send requests at a constant interval and return their latencies."""
    latencies = Latencies(
        histogram.HdrHistogram(1, 60_000_000, 3),
        histogram.HdrHistogram(1, 60_000_000, 3),
    )
    async with daemon.open_session() as session:
        async with asyncio.TaskGroup() as group:
            for _ in range(LOAD_REQUESTS_PER_SECOND * LOAD_SECONDS):
                url = f"http://{address}/v1/completions"
                group.create_task(send(session, url, latencies))
                await asyncio.sleep(interval_seconds)
    return latencies


def describe(name: str, latencies: Latencies) -> dict[str, float | str]:
    """Return one output line, with percentiles in milliseconds."""
    return {
        "path": name,
        "failed": latencies.failed,
        "first_p50_ms": latencies.first_line.get_value_at_percentile(50) / 1000,
        "first_p99_ms": latencies.first_line.get_value_at_percentile(99) / 1000,
        "whole_p50_ms": latencies.total.get_value_at_percentile(50) / 1000,
        "whole_p99_ms": latencies.total.get_value_at_percentile(99) / 1000,
    }


def measure_entry() -> None:
    """Print the latency without and with an entry, and the entry's CPU time."""
    engine_pipe, engine_end = SPAWN_CONTEXT.Pipe()
    upstream = SPAWN_CONTEXT.Process(target=run_engine, args=(engine_end,))
    upstream.start()
    address = engine_pipe.recv()
    entry_pipe, entry_end = SPAWN_CONTEXT.Pipe()
    entry = SPAWN_CONTEXT.Process(target=run_entry, args=(entry_end, address))
    entry.start()
    entry_address = entry_pipe.recv()
    for _ in range(2):
        direct = asyncio.run(send_load(address, 1 / LOAD_REQUESTS_PER_SECOND))
        print(json.dumps(describe("direct", direct)))
    entry_pipe.send(None)
    entry_pipe.recv()
    via_entry = asyncio.run(
        send_load(entry_address, 1 / LOAD_REQUESTS_PER_SECOND)
    )
    entry_pipe.send(None)
    cpu_seconds = entry_pipe.recv()
    print(json.dumps(describe("through an entry", via_entry)))
    requests = LOAD_REQUESTS_PER_SECOND * LOAD_SECONDS
    print(
        json.dumps(
            {
                "cpu_ms_per_request": cpu_seconds / requests * 1000,
                "cpu_us_per_token": cpu_seconds
                / requests
                / TOKENS_PER_REQUEST
                * 1e6,
                "tokens_per_request": TOKENS_PER_REQUEST,
            }
        )
    )
    engine_pipe.send(None)
    entry.join()
    upstream.join()


if __name__ == "__main__":
    for failing in (retry.Reason.UNREACHABLE, retry.Reason.CUT):
        for budget, ejection in (
            (False, False),
            (True, False),
            (True, True),
        ):
            result = simulate(failing, budget, ejection)
            print(json.dumps(dataclasses.asdict(result)))
    measure_entry()
