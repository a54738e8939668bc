"""Runs node processes under random faults and checks the guarantees.

    python tests/soak/node_run.py --seconds 60 --seed 1

Prints a JSON summary. Exits 0 if every guarantee held, 1 if one was
violated, 3 if the run itself failed.

Seeds that found a fault; test_node_drain.py holds a test for each cause:

    1 --kinds terminate --grace-seconds 3 --seconds 20: the interpreter's own
        end took longer than what was left of the grace period
    206, 226 --seconds 20: a second SIGTERM close to the end changed the exit
        code
"""

import argparse
import asyncio
import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
from typing import Final

import aiohttp

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

# pylint: disable=wrong-import-position
import conftest
import older_build
from soak import end_checker
from soak import end_faults
from soak import node_callers
from soak import node_checker
from soak import node_faults
from soak import node_system
from soak import order_checker
from soak import results as results_lib
from soak import status_faults
from soak import store_faults
from soak import stray_faults

# Each registers kinds of faults.
FAULT_MODULES: Final = (end_faults, status_faults, store_faults, stray_faults)
# Of the store at the start; a part of the runs crosses the end of 32 bits.
REVISIONS: Final = (1, 2**32 - 500, 5_000_000_000, 2**53, 2**62)
BROKEN_EXIT_CODE: Final = 1
FAILED_EXIT_CODE: Final = 3
GRACE_SECONDS: Final = (3.0, 8.0)
RETRY_SLACK: Final = 50
SETTLE_SECONDS: Final = 1.0
LAG_POLL_SECONDS: Final = 0.02
LAG_LIMIT_SECONDS: Final = 0.1


async def soak(
    seconds: float,
    seed: int,
    logs: pathlib.Path,
    grace_seconds: float | None = None,
    kinds: tuple[str, ...] = tuple(node_faults.FAULT_KINDS),
    *,
    build: str = "",
    retry_slack: int = RETRY_SLACK,
) -> results_lib.Results:
    """Run one soak; return its counts and violations.

    Args:
        seconds: time during which faults begin.
        seed: seed from which faults and requests are drawn.
        logs: directory for the logs of the nodes.
        grace_seconds: grace period of the nodes; drawn if None.
        kinds: kinds of faults.
        build: commit whose nodes run; empty for those of this checkout.
        retry_slack: retries that the nodes may spend in a window.
    """
    rng = random.Random(seed)
    grace_seconds = grace_seconds or rng.choice(GRACE_SECONDS)
    plan = node_faults.draw_plan(rng, seconds, kinds)
    results = results_lib.Results(seed)
    system = node_system.System(
        conftest.find_base_port(), grace_seconds, logs, results
    )
    # A generator of its own, so that earlier seeds keep their faults.
    system.store.revision = random.Random(f"store {seed}").choice(REVISIONS)
    for node in system.nodes:
        node.retry_slack = retry_slack
        node.source = older_build.extract(build, logs) if build else None
    async with aiohttp.ClientSession() as session, system.run(session):
        callers = [
            node_callers.Caller(
                f"c{number}", system, session, random.Random(rng.random())
            )
            for number in range(node_callers.CALLER_COUNT)
        ]
        async with asyncio.TaskGroup() as group:
            for caller in callers:
                group.create_task(caller.run())
            lag_monitor = group.create_task(_monitor_lag(system.checker))
            await node_faults.FaultInjector(system, session).run(plan)
            await system.wait_until_serving(session)
            for caller in callers:
                caller.is_stopping = True
            lag_monitor.cancel()
        await asyncio.gather(*map(system.stop, system.nodes))
        await asyncio.sleep(SETTLE_SECONDS)
        system.checker.check_runs()
        end_checker.check(system.checker)
        order_checker.check(system)
    results.counts["grace_seconds"] = int(grace_seconds)
    results.counts["calls"] = len(system.checker.calls)
    return results


async def _monitor_lag(checker: node_checker.GuaranteeChecker) -> None:
    """Record the times at which this process, or its whole VM, was delayed."""
    results = checker.results
    while True:
        began = time.monotonic()
        await asyncio.sleep(LAG_POLL_SECONDS)
        lag = time.monotonic() - began - LAG_POLL_SECONDS
        milliseconds = int(lag * 1000)
        name = "longest_lag_milliseconds"
        results.counts[name] = max(results.counts[name], milliseconds)
        if lag > LAG_LIMIT_SECONDS:
            checker.disturbances.append(
                node_checker.Disturbance(
                    "late", node_checker.SOAK_PROCESS, began, time.monotonic()
                )
            )
            print(
                f"{results.elapsed_seconds} event loop late by {lag:.3f} s",
                flush=True,
            )


def main() -> None:
    """Run a soak with the flags of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--grace-seconds", type=float)
    parser.add_argument(
        "--kinds", nargs="+", default=list(node_faults.FAULT_KINDS)
    )
    parser.add_argument("--build", default="")
    parser.add_argument("--retry-slack", type=int, default=RETRY_SLACK)
    parser.add_argument("--logs", type=pathlib.Path)
    flags = parser.parse_args()
    logs = pathlib.Path(
        tempfile.mkdtemp(prefix=f"node-{flags.seed}-", dir=flags.logs)
    )
    print(f"logs in {logs}", flush=True)

    async def run() -> results_lib.Results:
        task = asyncio.current_task()
        assert task is not None, "runs in a task"
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await soak(
            flags.seconds,
            flags.seed,
            logs,
            flags.grace_seconds,
            tuple(flags.kinds),
            build=flags.build,
            retry_slack=flags.retry_slack,
        )

    try:
        results = asyncio.run(run())
    except (
        OSError,
        RuntimeError,
        ExceptionGroup,
        TimeoutError,
        asyncio.CancelledError,
    ) as error:
        print(f"the run failed: {error!r}", file=sys.stderr)
        sys.exit(FAILED_EXIT_CODE)
    summary = json.dumps(results.describe(), indent=2)
    print(summary)
    if results.violations:
        (logs / "summary.json").write_text(summary, encoding="utf-8")
        sys.exit(BROKEN_EXIT_CODE)
    shutil.rmtree(logs)


if __name__ == "__main__":
    main()
