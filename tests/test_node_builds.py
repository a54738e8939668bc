"""Tests that nodes of this build and of earlier ones serve together.

Nodes of both builds run as processes and are replaced one after the other, in
both directions, while callers send requests.
"""

import asyncio
import contextlib
import pathlib
import random
import time

import aiohttp
import pytest

import conftest
import older_build
from soak import node_callers
from soak import node_checker
from soak import node_faults
from soak import node_system
from soak import results as results_lib

# Landed builds that users may have in service.
COMMITS = ("2dac39a", "35bbf33", "cff274e")
GRACE_SECONDS = 4.0
OUTAGE_SECONDS = 2.0
CALM_SECONDS = 0.5
SEED = 7
KINDS = {kind.name for kind in node_checker.REQUEST_KINDS}


class Upgrade:
    """A fleet whose nodes are replaced by nodes of another build.

    Attributes:
        system: the nodes, the store and the upstreams.
        faults: stops, kills and starts nodes.
        older: import path of the earlier build.
    """

    def __init__(
        self,
        system: node_system.System,
        session: aiohttp.ClientSession,
        older: pathlib.Path,
    ) -> None:
        self.system = system
        self.faults = node_faults.FaultInjector(system, session)
        self.older = older

    async def replace(self, number: int, source: pathlib.Path | None) -> None:
        """Replace a node by one of another build; None for this one."""
        node = self.system.nodes[number]
        node.source = source
        await self.faults.restart(node)
        await asyncio.sleep(CALM_SECONDS)

    async def lose_store(self) -> None:
        """Let the store be away for some time."""
        with self.faults.record_disturbance("is_down", node_checker.STORE):
            self.system.store.faults.is_down = True
            await asyncio.sleep(OUTAGE_SECONDS)
            self.system.store.faults.is_down = False

    async def kill_all(self) -> None:
        """Kill all nodes at once and start them again."""
        with contextlib.ExitStack() as stack:
            for node in self.system.nodes:
                assert node.child is not None, "not started"
                stack.enter_context(
                    self.faults.record_disturbance("kill", node.name)
                )
                node.child.kill()
            await asyncio.gather(
                *(
                    node.child.wait()
                    for node in self.system.nodes
                    if node.child is not None
                )
            )
            await asyncio.gather(*map(self.faults.start, self.system.nodes))

    async def run(self) -> None:
        """Replace all nodes, and go back half-way in between."""
        await self.replace(0, None)
        await self.replace(1, None)
        await self.lose_store()
        await self.replace(0, self.older)
        await self.kill_all()
        for number in (2, 0, 3):
            await self.replace(number, None)


async def roll(
    commit: str, folder: pathlib.Path
) -> tuple[results_lib.Results, list[str]]:
    """Replace nodes of an earlier build under load.

    Returns:
        What callers got, and the messages in the nodes' logs.
    """
    older = older_build.extract(commit, folder / "older")
    logs = folder / "logs"
    logs.mkdir()
    results = results_lib.Results(SEED)
    system = node_system.System(
        conftest.find_base_port(), GRACE_SECONDS, logs, results
    )
    for node in system.nodes:
        node.source = older
    generator = random.Random(SEED)
    async with aiohttp.ClientSession() as session, system.run(session):
        callers = [
            node_callers.Caller(
                f"c{number}", system, session, random.Random(generator.random())
            )
            for number in range(node_callers.CALLER_COUNT)
        ]
        async with asyncio.TaskGroup() as group:
            for caller in callers:
                group.create_task(caller.run())
            await Upgrade(system, session, older).run()
            await system.wait_until_serving(session)
            for caller in callers:
                caller.is_stopping = True
        await asyncio.gather(*map(system.stop, system.nodes))
        await asyncio.sleep(1)
        system.checker.check_runs()
    messages = [
        line["message"] for node in system.nodes for line in node.read_log()
    ]
    return results, messages


def compute_served(results: results_lib.Results) -> float:
    """Return the share of the requests that were served."""
    counts = {
        name: count
        for name, count in results.counts.items()
        if name.split("_")[0] in KINDS
    }
    served = sum(
        count for name, count in counts.items() if name.endswith("_200")
    )
    return served / sum(counts.values())


@pytest.mark.parametrize("commit", COMMITS)
@pytest.mark.timeout(180)
async def test_builds_replace_each_other_under_load(
    commit: str, tmp_path: pathlib.Path
) -> None:
    results, messages = await roll(commit, tmp_path)
    assert not results.violations
    assert results.counts["chat_200"] and results.counts["write_200"]
    assert "Datagram dropped; it is not a status." not in messages


def test_a_missing_history_is_told(tmp_path: pathlib.Path) -> None:
    with pytest.raises(RuntimeError, match="history"):
        older_build.extract("0" * 40, tmp_path)


async def test_nodes_of_both_builds_load_the_copies_of_each_other(
    tmp_path: pathlib.Path,
) -> None:
    """Each of the nodes serves all models, whichever is the holder."""
    older = older_build.extract("35bbf33", tmp_path / "older")
    for number, sources in enumerate(((older, None), (None, older))):
        logs = tmp_path / f"logs{number}"
        logs.mkdir()
        system = node_system.System(
            conftest.find_base_port(),
            GRACE_SECONDS,
            logs,
            results_lib.Results(SEED),
        )
        system.nodes = system.nodes[:2]
        for node, source in zip(system.nodes, sources, strict=True):
            node.source = source
        async with aiohttp.ClientSession() as session, system.run(session):
            began = time.monotonic()
            while unserved := await system.find_unserved(session):
                assert time.monotonic() < began + 15, unserved
                await asyncio.sleep(0.2)
