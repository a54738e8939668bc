"""The store returns from an older copy while node processes serve."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import itertools
import pathlib

import aiohttp
import pytest

import conftest
import node_store
from soak import node_checker
from soak import node_system
from soak import order_checker
from soak import results as results_lib

LEASE_SECONDS = 3.0
GRACE_SECONDS = 3.0
AWAY_SECONDS = 0.3
# From the store's return to the start of a node.
START_DELAY_SECONDS = 0.5
# Longer than a holder waits in a new era.
TURN_SECONDS = 9.0
POLL_SECONDS = 0.05
CALL_SECONDS = 1.5
REVIEW = next(
    kind for kind in node_checker.REQUEST_KINDS if kind.name == "review"
)
# More than the engines have places for, so that orders are needed all the time.
ADAPTERS = tuple(
    f"{model}/a{number}"
    for number in (1, 2, 3)
    for model in ("big", "small", "other")
)


class DrillSetup:
    """Nodes under requests that need orders all the time.

    Attributes:
        system: the nodes, the store and the upstreams.
        session: session for requests to them.
        statuses: statuses of the answers.
    """

    def __init__(
        self, system: node_system.System, session: aiohttp.ClientSession
    ) -> None:
        self.system = system
        self.session = session
        self.statuses: list[int] = []

    async def call(self) -> None:
        """Ask for one adapter after the other until cancelled."""
        for number in itertools.count():
            node = self.system.nodes[number % len(self.system.nodes)]
            call = node_checker.Call(
                f"r{number}",
                node.name,
                REVIEW,
                "/review/1/10",
                ADAPTERS[number % len(ADAPTERS)],
                b"",
                CALL_SECONDS,
            )
            self.system.checker.calls[call.id] = call
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.session.post(
                    f"http://{node.front_address}{call.path}",
                    headers=node_system.create_headers(call),
                ) as response:
                    await response.read()
                    self.statuses.append(response.status)
            await asyncio.sleep(POLL_SECONDS)

    def find_holder(self) -> str:
        """Return the node that sent the newest order; empty if none has."""
        newest = max(
            (
                (upstream.order_times[-1], upstream.orders[-1]["holder"])
                for upstream in self.system.upstreams.values()
                if upstream.orders
            ),
            default=(0.0, ""),
        )
        return str(newest[1])

    def count_orders(self) -> int:
        """Return how many orders the upstreams got."""
        return sum(
            len(upstream.orders) for upstream in self.system.upstreams.values()
        )

    async def wait_for_holder(self, is_wanted: Callable[[str], bool]) -> str:
        """Return the holder once it is as wanted."""
        async with asyncio.timeout(3 * TURN_SECONDS):
            while not is_wanted(self.find_holder()):
                await asyncio.sleep(POLL_SECONDS)
        return self.find_holder()

    async def stop_holder(self, name: str) -> node_store.StoreCopy:
        """Stop a node; return a copy of the store from before its end."""
        node = next(each for each in self.system.nodes if each.name == name)
        node.terminate()
        copies = [self.system.store.take_copy()]
        ending = asyncio.create_task(node.wait())
        while not ending.done():
            copies.append(self.system.store.take_copy())
            await asyncio.sleep(POLL_SECONDS)
        return copies[-2]

    async def start(self, name: str) -> None:
        """Start a node again."""
        node = next(each for each in self.system.nodes if each.name == name)
        await node.start(self.session)

    def list_violations(self) -> list[str]:
        """Return where two holders broke the rule."""
        return order_checker.list_violations(
            self.system.upstreams.values(), LEASE_SECONDS
        )


@pytest.fixture(name="setup")
async def run_setup(tmp_path: pathlib.Path) -> AsyncIterator[DrillSetup]:
    """Run nodes and their callers."""
    system = node_system.System(
        conftest.find_base_port(),
        GRACE_SECONDS,
        tmp_path,
        results_lib.Results(0),
    )
    for node in system.nodes:
        node.lease_ms = int(1000 * LEASE_SECONDS)
    async with aiohttp.ClientSession() as session, system.run(session):
        setup = DrillSetup(system, session)
        calling = asyncio.create_task(setup.call())
        yield setup
        calling.cancel()


async def test_a_holder_that_starts_again_takes_no_term_up_that_was_lost(
    setup: DrillSetup,
) -> None:
    first = await setup.wait_for_holder(bool)
    copy = await setup.stop_holder(first)
    second = await setup.wait_for_holder(lambda name: name != first)
    await setup.system.store.run_drill(copy, AWAY_SECONDS)
    await asyncio.sleep(START_DELAY_SECONDS)
    await setup.start(first)
    await asyncio.sleep(TURN_SECONDS)
    assert not setup.list_violations()
    # The last holder goes on.
    assert setup.find_holder() == second


async def test_the_holder_goes_on_at_once_after_the_store_returned(
    setup: DrillSetup,
) -> None:
    holder = await setup.wait_for_holder(bool)
    await asyncio.sleep(1)
    copy = setup.system.store.take_copy()
    await asyncio.sleep(1)
    for _ in range(2):
        await setup.system.store.run_drill(copy, AWAY_SECONDS)
        # Those of the earlier term may still come for a moment.
        await asyncio.sleep(AWAY_SECONDS)
        count = setup.count_orders()
        async with asyncio.timeout(LEASE_SECONDS):
            while setup.count_orders() == count:
                await asyncio.sleep(POLL_SECONDS)
        assert setup.find_holder() == holder
    assert not setup.list_violations()
    registered = [
        key
        for key in setup.system.store.items
        if key.startswith("cicada/nodes")
    ]
    assert len(registered) == len(setup.system.nodes)
