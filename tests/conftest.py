"""Shared fixtures."""

from collections.abc import AsyncIterator
import contextlib
import os
import random
import socket
from typing import Final

import pytest
import pytest_asyncio

from cicadahook.core import balancer as balancer_lib
from cicadahook.core import clock as clock_lib
from cicadahook.core import kept_connections
from cicadahook.core import reachability
from cicadahook.core import upstream_statements
from cicadahook.net import metrics
from cicadahook.programs import daemon
from cicadahook.programs import local
from cicadahook.programs import node_daemon as node_program
import node_testbed

FIRST_PORT: Final = 12000
BLOCK_SIZE: Final = 50
BLOCK_COUNT: Final = 400


@pytest.fixture(name="clock")
def create_clock() -> clock_lib.ManualClock:
    """Return a clock that the test advances."""
    return clock_lib.ManualClock()


@pytest.fixture(name="balancer")
def create_balancer(clock: clock_lib.ManualClock) -> balancer_lib.Balancer:
    """Return a balancer whose draws repeat."""
    return balancer_lib.Balancer(
        "z",
        clock,
        random.Random(1),
        upstream_statements.UpstreamStatements("n1", random.Random(1)),
        reachability.Reachability(
            random.Random(1), kept_connections.KeptConnections("n1")
        ),
    )


@pytest.fixture(scope="session", autouse=True)
def collect_metrics() -> None:
    """Set up metrics, which is allowed only once per process."""
    metrics.setup("")


def find_base_port() -> int:
    """Return the first port of a free block of ports.

    The blocks are below the range that the kernel uses for outgoing
    connections. Test runs side by side mostly begin at different blocks, and
    the workers of one run never use the same ones.
    """
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])
    workers = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
    own_blocks = range(worker, BLOCK_COUNT, workers)
    start = os.getppid() if workers > 1 else os.getpid()
    for step in range(len(own_blocks)):
        block = own_blocks[(start + step) % len(own_blocks)]
        base = FIRST_PORT + block * BLOCK_SIZE
        if all(is_free(base + offset) for offset in range(BLOCK_SIZE)):
            return base
    raise OSError("no free block of ports")


def is_free(port: int) -> bool:
    """Whether a server could listen on `port`."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return probe.connect_ex((local.HOST, port)) != 0


@contextlib.asynccontextmanager
async def run_system(
    operator_token: str = "",
) -> AsyncIterator[local.LocalSystem]:
    """Run the whole system with its stand-ins in this process."""
    async with daemon.open_session() as session:
        mode = local.LocalMode(find_base_port(), operator_token)
        running = local.LocalSystem(mode, session)
        await running.start()
        try:
            yield running
        finally:
            await running.stop()


@pytest_asyncio.fixture
async def system() -> AsyncIterator[local.LocalSystem]:
    """Yield a system that only one test uses."""
    async with run_system() as running:
        yield running


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def shared_system() -> AsyncIterator[local.LocalSystem]:
    """Yield a system that all tests of a module share."""
    async with run_system() as running:
        yield running


@pytest_asyncio.fixture
async def testbed(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[node_testbed.NodeTestbed]:
    """Run two nodes on a stand-in of the platform."""
    monkeypatch.setattr(node_program, "METRICS_PORT", 0)
    async with contextlib.AsyncExitStack() as stack:
        yield await stack.enter_async_context(
            node_testbed.run(find_base_port())
        )


@pytest_asyncio.fixture
async def large_testbed(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[node_testbed.NodeTestbed]:
    """Run two nodes with seven engines."""
    monkeypatch.setattr(node_program, "METRICS_PORT", 0)
    async with contextlib.AsyncExitStack() as stack:
        yield await stack.enter_async_context(
            node_testbed.run(find_base_port(), engine_count=7)
        )


@pytest_asyncio.fixture
async def linked_testbed(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[node_testbed.NodeTestbed]:
    """Run two nodes whose links to the upstreams can be cut."""
    monkeypatch.setattr(node_program, "METRICS_PORT", 0)
    async with contextlib.AsyncExitStack() as stack:
        yield await stack.enter_async_context(
            node_testbed.run(find_base_port(), has_links=True)
        )


@pytest_asyncio.fixture
async def platform() -> AsyncIterator[node_testbed.NodeTestbed]:
    """Run a stand-in of the platform without nodes."""
    async with node_testbed.open_platform(find_base_port()) as running:
        yield running


@pytest.fixture
def unused_port() -> int:
    """Return the first port of a free block."""
    return find_base_port()
