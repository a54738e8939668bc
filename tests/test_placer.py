"""Tests of placement by running controls.

They cover takeover by another leader, a restarted engine, and the explanation
of placement to operators.
"""

import asyncio
import contextlib
import time

import aiohttp
import pytest

from cicadahook.core import table as table_lib
from cicadahook.net import http_server
from cicadahook.net import placement_lease
from cicadahook.net import placer as placer_lib
from cicadahook.programs import control
from cicadahook.programs import local
from cicadahook.standins import engine as engine_lib

API_OFFSET = 49


def find_placers(system: local.LocalSystem) -> list[placer_lib.Placer]:
    """Return the placers of all controls."""
    return [
        part.control.placer
        for part in system.daemons
        if isinstance(part, control.ControlDaemon)
    ]


def find_leader(system: local.LocalSystem) -> placer_lib.Placer | None:
    """Return the placer that leads, if one does."""
    return next((p for p in find_placers(system) if p.leadership), None)


def is_everything_served(system: local.LocalSystem) -> bool:
    """Whether the engines serve each model and adapter of the example."""
    held = {
        row.name
        for row in local.ROWS
        for engine in system.engines
        if engine.memory.find_serving(row.name)
    }
    wanted = {row.name for row in local.ROWS if row.is_placed}
    return held == wanted


def crash(engine: engine_lib.EngineStandin) -> None:
    """Restart an engine, which loses all copies."""
    engine.restarts += 1
    engine.fencing = 0
    engine.memory.copies.clear()


@pytest.mark.parametrize("is_planned", [True, False])
async def test_successor_restores_what_is_lost(
    system: local.LocalSystem, is_planned: bool
) -> None:
    old = find_leader(system)
    assert old is not None
    await old._step_down()  # pylint: disable=protected-access
    if is_planned:
        await old.lease.release()
    old.lease.renew_or_acquire = _never_hold  # type: ignore[method-assign]
    started = time.monotonic()
    for engine in system.engines[:2]:
        crash(engine)
    while find_leader(system) is None:
        await asyncio.sleep(0.05)
    taken = time.monotonic() - started
    assert taken < 2 * placement_lease.LEASE_TTL.total_seconds()
    while not is_everything_served(system):
        await asyncio.sleep(0.05)
    assert not any(engine.memory.overcommits for engine in system.engines)


async def _never_hold() -> bool:
    return False


async def test_placement_is_explained(system: local.LocalSystem) -> None:
    placer = find_leader(system)
    assert placer is not None
    app = http_server.create_app()
    placer.install(app)
    server = http_server.Server(app, local.HOST, system.base_port + API_OFFSET)
    await server.start()
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(server.stop)
        base = f"http://{server.address}/placement"
        why = await fetch(system.session, f"{base}/why/inspector")
        assert len(why["copies"]) == 2
        assert why["moves"][0]["cause"] == "no copy"
        moves = await fetch(system.session, f"{base}/moves")
        assert len(moves["moves"]) >= len(local.ROWS)
        async with system.session.get(f"{base}/why/nobody") as response:
            assert response.status == 404


async def fetch(session: aiohttp.ClientSession, url: str) -> dict:  # type: ignore[type-arg]
    """Return the JSON object at `url`."""
    async with session.get(url) as response:
        assert response.status == 200
        answer: dict[str, object] = await response.json()
        return answer


def test_upstream_row_sets_the_rules() -> None:
    row = table_lib.Row(
        "10.0.0.1:80",
        table_lib.RowKind.UPSTREAM,
        checks_fencing=True,
        lateness_bound_seconds=5.0,
    )
    rules = placer_lib.read_rules(row)
    assert rules.checks_fencing
    assert rules.lateness_bound.total_seconds() == 5.0
    assert not placer_lib.read_rules(None).checks_fencing
