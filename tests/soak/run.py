"""Runs the real processes under random faults and checks the guarantees.

    python tests/soak/run.py --seconds 60 --seed 1

Prints a JSON summary. Exits 0 if every guarantee held, 1 if one was
violated, 3 if the run itself failed.
"""

import argparse
import asyncio
import contextlib
import json
import pathlib
import random
import signal
import sys
import tempfile
from typing import Final

import aiohttp

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

# pylint: disable=wrong-import-position
import conftest
from soak import callers as callers_lib
from soak import faults as faults_lib
from soak import observer as observer_lib
from soak import processes
from soak import results as results_lib

BROKEN_EXIT_CODE: Final = 1
FAILED_EXIT_CODE: Final = 3
SETTLE_SECONDS: Final = 2.0


async def soak(
    seconds: float, seed: int, rate: float, logs: pathlib.Path
) -> results_lib.Results:
    """Run one soak; return its counts and violations.

    Args:
        seconds: time during which faults begin.
        seed: seed from which faults and requests are drawn.
        rate: requests a second on average.
        logs: directory for the logs of the processes.
    """
    results = results_lib.Results(seed)
    system = processes.System(conftest.find_base_port(), logs)
    async with aiohttp.ClientSession() as session:
        try:
            await system.start(session)
            observer = observer_lib.Observer(system, session, results)
            callers = callers_lib.Callers(
                system, session, results, random.Random(seed)
            )
            faults = faults_lib.FaultInjector(
                system, session, results, observer, random.Random(seed + 1)
            )
            await observer.wait_until_serving("started")
            observing = asyncio.create_task(observer.run())
            load = asyncio.create_task(callers.run(rate))
            await faults.run(seconds)
            await _end(load)
            await asyncio.sleep(SETTLE_SECONDS)
            await _end(observing)
            await observer.check_end()
        finally:
            await system.end()
    return results


async def _end(task: asyncio.Task[None]) -> None:
    """Cancel a task; raise its error if it has failed before."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


def main() -> None:
    """Run a soak with the flags of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=20.0)
    flags = parser.parse_args()
    logs = pathlib.Path(tempfile.mkdtemp(prefix="cicada-soak-"))
    print(f"logs in {logs}", flush=True)

    async def run() -> results_lib.Results:
        task = asyncio.current_task()
        assert task is not None, "runs in a task"
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await soak(flags.seconds, flags.seed, flags.rate, logs)

    try:
        results = asyncio.run(run())
    except (OSError, RuntimeError, ExceptionGroup, TimeoutError) as error:
        print(f"the run failed: {error!r}", file=sys.stderr)
        sys.exit(FAILED_EXIT_CODE)
    print(json.dumps(results.describe(), indent=2))
    sys.exit(BROKEN_EXIT_CODE if results.violations else 0)


if __name__ == "__main__":
    main()
