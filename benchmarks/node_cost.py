"""Measures the processor time of one node, split by what it is spent on.

Run: PYTHONPATH=src:tests python benchmarks/node_cost.py

The node runs in this process, and what surrounds it in another one, see
`node_cost_platform.py`. Times come from the processor clocks of this process
and its threads.
"""

import asyncio
from collections.abc import Callable, Iterator
import contextlib
import cProfile
import datetime
import functools
import json
import logging
import os
import pathlib
import pstats
import resource
import subprocess
import sys
import threading
import time
import types
from typing import Any, Final

import fire
import node_cost_platform as surroundings
import tabulate

from cicadahook.core import node_lifecycle
from cicadahook.net import caller_server
from cicadahook.net import holder_lease
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import node as node_lib
from cicadahook.net import orderer
from cicadahook.net import status_reporter
from cicadahook.net import store_listeners
from cicadahook.net import store_watcher
from cicadahook.programs import node_daemon

SECOND: Final = datetime.timedelta(seconds=1)
# Connections are opened and leases taken in this time.
SETTLING_SECONDS: Final = 8.0
# Rows of a profile that are printed.
PROFILE_ROWS: Final = 70
SURROUNDINGS: Final = pathlib.Path(surroundings.__file__)

# Functions whose own time and that of what they call is one kind, except for
# calls of other kinds among these.
FUNCTIONS: Final[tuple[tuple[str, Any, str], ...]] = (
    ("statuses received", status_reporter.StatusEndpoint, "datagram_received"),
    ("statuses sent", status_reporter.StatusReporter, "send"),
    ("configuration", store_listeners.ConfigurationListener, "apply_changes"),
    ("upstreams' entries", store_listeners.InventoryListener, "apply_changes"),
    ("logging", logging.Logger, "handle"),
    ("logging", logging.handlers.QueueListener, "handle"),
)
COROUTINES: Final[tuple[tuple[str, Any, str], ...]] = (
    ("requests", caller_server.CallerServer, "handle"),
    ("watch of the store", store_watcher.Watcher, "run"),
    ("lease", holder_lease.Leadership, "run"),
    ("maintenance", node_lib.Node, "_keep_house"),
    ("planning", orderer.Orderer, "run"),
)


class Account:
    """Processor time by kind; time of a kind within another is not its own.

    Attributes:
        seconds: own time of each kind.
        calls: number of calls, or steps of coroutines, of each kind.
    """

    def __init__(self) -> None:
        self.seconds: dict[str, float] = {}
        self.calls: dict[str, int] = {}
        self.local = threading.local()

    @contextlib.contextmanager
    def measure(self, kind: str) -> Iterator[None]:
        """Count the time of the context as that of a kind."""
        outer: float = getattr(self.local, "inner", 0.0)
        self.local.inner = 0.0
        begin = time.thread_time()
        try:
            yield
        finally:
            total = time.thread_time() - begin
            own = total - self.local.inner
            self.seconds[kind] = self.seconds.get(kind, 0.0) + own
            self.calls[kind] = self.calls.get(kind, 0) + 1
            self.local.inner = outer + total

    def wrap(self, kind: str, function: Callable[..., Any]) -> Any:
        """Return a function whose time counts as that of a kind."""

        @functools.wraps(function)
        def measured(*args: Any, **options: Any) -> Any:
            with self.measure(kind):
                return function(*args, **options)

        return measured

    def wrap_coroutine(self, kind: str, function: Callable[..., Any]) -> Any:
        """Return a coroutine function whose steps count as a kind."""

        @types.coroutine
        def drive(coroutine: Any) -> Any:
            resume: Callable[[], Any] = functools.partial(coroutine.send, None)
            while True:
                try:
                    with self.measure(kind):
                        awaited = resume()
                except StopIteration as end:
                    return end.value
                try:
                    value = yield awaited
                    resume = functools.partial(coroutine.send, value)
                except BaseException as error:  # pylint: disable=W0718
                    resume = functools.partial(coroutine.throw, error)

        @functools.wraps(function)
        async def measured(*args: Any, **options: Any) -> Any:
            return await drive(function(*args, **options))

        return measured

    def install(self) -> None:
        """Measure all kinds from now on."""
        for kind, owner, name in FUNCTIONS:
            setattr(owner, name, self.wrap(kind, getattr(owner, name)))
        for kind, owner, name in COROUTINES:
            function = getattr(owner, name)
            setattr(owner, name, self.wrap_coroutine(kind, function))
        for name in dir(metrics):
            if name.startswith(("count_", "record_")):
                function = getattr(metrics, name)
                setattr(metrics, name, self.wrap("metrics", function))


class Surroundings:
    """The process of all that surrounds the node."""

    def __init__(self, peers: int, *, has_holder: bool) -> None:
        self.process = subprocess.Popen(  # pylint: disable=consider-using-with
            [
                sys.executable,
                str(SURROUNDINGS),
                f"--peers={peers}",
                f"--has_holder={int(has_holder)}",
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def read(self) -> dict[str, int]:
        """Return the next answer."""
        assert self.process.stdout is not None, "piped"
        answer: dict[str, int] = json.loads(self.process.stdout.readline())
        return answer

    async def ask(self, **command: float) -> dict[str, int]:
        """Send a command and return its answer."""
        assert self.process.stdin is not None, "piped"
        self.process.stdin.write(json.dumps(command) + "\n")
        self.process.stdin.flush()
        return await asyncio.to_thread(self.read)

    def close(self) -> None:
        """End the process."""
        assert self.process.stdin is not None, "piped"
        self.process.stdin.close()
        self.process.wait()


def create_settings() -> node_lifecycle.NodeSettings:
    """Return the settings of the node."""
    base = surroundings.NODE_PORT
    return node_lifecycle.NodeSettings(
        name="n0",
        host=surroundings.HOST,
        zone=surroundings.ZONES[0],
        region="region",
        front_port=base,
        ready_port=base + 1,
        directory_port=base + 2,
        peer_port=base + 3,
        store_address=f"{surroundings.HOST}:{surroundings.STORE_PORT}",
        address_lifetime=5 * SECOND,
        grace_period=2 * SECOND,
        handover_pause=0.3 * SECOND,
        retry_ratio=0.2,
        retry_slack=50.0,
        retry_window=10 * SECOND,
        load_window=5 * SECOND,
    )


class Measurement:
    """Runs phases and keeps the processor time of each.

    Attributes:
        rows: milliseconds a second by kind, for each phase.
        profile: collects a profile of a phase; None for none.
        profiled: name of that phase.
    """

    def __init__(
        self, account: Account, profile: cProfile.Profile | None, profiled: str
    ) -> None:
        self.account = account
        self.profile = profile
        self.profiled = profiled
        self.rows: list[dict[str, Any]] = []

    @contextlib.contextmanager
    def measure(self, phase: str) -> Iterator[dict[str, Any]]:
        """Measure a phase; its row may be added to."""
        begin, seconds = time.monotonic(), dict(self.account.seconds)
        calls, times = dict(self.account.calls), os.times()
        is_profiled = self.profile is not None and phase == self.profiled
        if self.profile is not None and is_profiled:
            self.profile.enable()
        row: dict[str, Any] = {"phase": phase}
        yield row
        if self.profile is not None and is_profiled:
            self.profile.disable()
        passed = time.monotonic() - begin
        row["user"] = 1000 * (os.times().user - times.user) / passed
        row["system"] = 1000 * (os.times().system - times.system) / passed
        row["total"] = row["user"] + row["system"]
        known = 0.0
        for kind, now in sorted(self.account.seconds.items()):
            spent = 1000 * (now - seconds.get(kind, 0.0)) / passed
            count = self.account.calls[kind] - calls.get(kind, 0)
            row[kind], known = spent, known + spent
            row[f"{kind}, ms a call"] = spent * passed / count if count else 0.0
        if known:
            row["event loop, sockets, HTTP"] = row["total"] - known
        self.rows.append(row)

    def print(self) -> None:
        """Print all phases side by side."""
        names = dict.fromkeys(name for row in self.rows for name in row)
        del names["phase"]
        rows = [[name] + [row.get(name) for row in self.rows] for name in names]
        headers = ["ms of processor time a second"]
        headers += [row["phase"] for row in self.rows]
        print(tabulate.tabulate(rows, headers, floatfmt=".3f"))


async def run(
    measurement: Measurement,
    peers: int,
    rate: float,
    seconds: float,
    *,
    is_holder: bool,
) -> None:
    """Run the node and all phases."""
    around = Surroundings(peers, has_holder=not is_holder)
    around.read()
    program = node_daemon.NodeProgram(create_settings())
    task = asyncio.create_task(program.run())
    try:
        await asyncio.sleep(SETTLING_SECONDS)
        node = program.node
        assert node is not None and node.is_ready(), "not ready"
        assert node.orderer.can_send() == is_holder, "not as asked for"
        await around.ask(rate=rate, seconds=SETTLING_SECONDS / 2)
        with measurement.measure("at rest"):
            await asyncio.sleep(seconds)
        with measurement.measure("requests") as row:
            answer = await around.ask(rate=rate, seconds=seconds)
            row.update(answer)
        with measurement.measure("configurations"):
            await around.ask(configurations=int(seconds / 2))
        with measurement.measure("entries"):
            await around.ask(entries=int(10 * seconds / 2))
    finally:
        program.stopped.set()
        await task
        around.close()
    rows = {row["phase"]: row for row in measurement.rows}
    extra = rows["requests"]["total"] - rows["at rest"]["total"]
    rows["requests"]["ms a request"] = extra / rate
    usage = resource.getrusage(resource.RUSAGE_SELF)
    rows["entries"]["most MB of memory"] = usage.ru_maxrss / 1024


def main(
    *,
    peers: int = 25,
    rate: float = 15.0,
    seconds: float = 10.0,
    is_holder: bool = False,
    profile: str = "",
    phase: str = "requests",
    split: bool = True,
) -> None:
    """Measure a node.

    Args:
        peers: number of other nodes.
        rate: requests a second to this node.
        seconds: length of a phase.
        is_holder: whether the node sends the orders.
        profile: order of a profile that is printed, such as `tottime`; the
            other figures are too high then.
        phase: the phase of that profile.
        split: whether to split the time, which takes about a tenth more.
    """
    node_daemon.METRICS_PORT = 0  # type: ignore[misc]
    account = Account()
    if split:
        account.install()
    profiler = cProfile.Profile(time.thread_time) if profile else None
    measurement = Measurement(account, profiler, phase)
    with open(os.devnull, "w", encoding="utf-8") as sink:
        with contextlib.redirect_stdout(sink):
            listener = logs.setup_stream()
        metrics.setup("")
        node_daemon.limit_collections()
        asyncio.run(run(measurement, peers, rate, seconds, is_holder=is_holder))
        listener.stop()
    measurement.print()
    if profiler is not None:
        pstats.Stats(profiler).sort_stats(profile).print_stats(PROFILE_ROWS)


if __name__ == "__main__":
    fire.Fire(main)
