"""Test of separate processes, as on VMs, during a kill and a replacement."""

import pathlib
import random

import aiohttp

import conftest
from soak import callers as callers_lib
from soak import ledger as ledger_lib
from soak import observer as observer_lib
from soak import processes

SEED = 1
CHATS = 8


async def test_kill_and_replacement(tmp_path: pathlib.Path) -> None:
    ledger = ledger_lib.Ledger(SEED)
    system = processes.System(conftest.find_base_port(), tmp_path)
    async with aiohttp.ClientSession() as session:
        observer = observer_lib.Observer(system, session, ledger)
        callers = callers_lib.Callers(
            system, session, ledger, random.Random(SEED)
        )
        try:
            await system.start(session)
            await observer.wait_until_well("started")
            await system.controls[0].kill()
            for _ in range(CHATS):
                await callers.chat()
            assert await system.entries[1].stop() == 0
            for part in (system.controls[0], system.entries[1]):
                await part.start(session)
            await observer.check_end()
        finally:
            await system.end()
    assert not ledger.broken
    assert ledger.counts["chat_whole"] == CHATS
