"""Test of separate processes, as on VMs, during a kill and a replacement."""

import pathlib
import random

import aiohttp

import conftest
from soak import callers as callers_lib
from soak import observer as observer_lib
from soak import processes
from soak import results as results_lib

SEED = 1
CHATS = 8


async def test_kill_and_replacement(tmp_path: pathlib.Path) -> None:
    results = results_lib.Results(SEED)
    system = processes.System(conftest.find_base_port(), tmp_path)
    async with aiohttp.ClientSession() as session:
        observer = observer_lib.Observer(system, session, results)
        callers = callers_lib.Callers(
            system, session, results, random.Random(SEED)
        )
        try:
            await system.start(session)
            await observer.wait_until_serving("started")
            await system.controls[0].kill()
            for _ in range(CHATS):
                await callers.chat()
            assert await system.entries[1].stop() == 0
            for process in (system.controls[0], system.entries[1]):
                await process.start(session)
            await observer.check_end()
        finally:
            await system.end()
    assert not results.violations
    assert results.counts["chat_whole"] == CHATS
