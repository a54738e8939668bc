"""Tests of the operators' client and API against a running system."""

import asyncio
from collections.abc import Callable
import json
import pathlib
import sys
from typing import Any

import aiohttp
import pytest

from cicadahook.core import view as view_lib
from cicadahook.programs import cicadactl
from cicadahook.programs import entry as entry_program
from cicadahook.programs import local
import conftest

Ctl = Callable[..., Any]
LEAVING = view_lib.UpstreamState.LEAVING
POLL_SECONDS = 0.05

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest.fixture(name="ctl")
def create_ctl(
    shared_system: local.LocalSystem, monkeypatch: pytest.MonkeyPatch
) -> Ctl:
    """Return a function that runs cicadactl and returns its exit code."""
    control = f"{local.HOST}:{shared_system.base_port + local.CONTROL_OFFSET}"
    monkeypatch.setenv(cicadactl.CONTROL_VARIABLE, f"127.0.0.1:1,{control}")

    async def run(*arguments: str) -> Any:
        monkeypatch.setattr(sys, "argv", ["cicadactl", *arguments])
        try:
            await asyncio.to_thread(cicadactl.main)
        except SystemExit as stop:
            return stop.code
        return 0

    return run


async def test_set_keeps_other_columns(
    ctl: Ctl, capsys: pytest.CaptureFixture[str]
) -> None:
    assert await ctl("table", "set", "simplifier", "--weight=2.5") == 0
    assert "In force on every live node" in capsys.readouterr().out
    assert await ctl("table", "show", "simplifier", "--json") == 0
    (row,) = json.loads(capsys.readouterr().out)["rows"]
    assert (row["weight"], row["min_copies"]) == (2.5, 2)
    assert await ctl("table", "history", "--json") == 0
    newest = json.loads(capsys.readouterr().out)["versions"][0]
    assert newest["rows"] == ["simplifier"]


async def test_row_that_fits_nowhere_is_refused(
    ctl: Ctl, capsys: pytest.CaptureFixture[str]
) -> None:
    size = "--memory-bytes=900000000000"
    assert await ctl("table", "set", "giant", "--kind=model", size) == 1
    error = capsys.readouterr().err
    assert "giant" in error and "memory_bytes" in error
    assert await ctl("table", "show", "giant") == 1


async def test_csv_round_trip_changes_only_edited_cells(
    ctl: Ctl, capsys: pytest.CaptureFixture[str], tmp_path: pathlib.Path
) -> None:
    csv_file = tmp_path / "table.csv"
    assert await ctl("table", "export", str(csv_file)) == 0
    assert await ctl("table", "import", str(csv_file)) == 0
    assert "Nothing to change" in capsys.readouterr().out
    edited = csv_file.read_text().replace("inspector-beams", "inspector-bays")
    csv_file.write_text(edited)
    assert await ctl("table", "import", str(csv_file), "--replace") == 0
    assert await ctl("table", "show", "inspector-bays") == 0
    assert await ctl("table", "show", "inspector-beams") == 1


@pytest.mark.parametrize(
    ("arguments", "code", "named"),
    [
        (("table", "set", "portal", "--weight=big"), 1, "'weight'"),
        (("table", "set", "portal", "--colour=red"), 1, "'colour'"),
        (("table", "set", "portal", "--min_copies=0"), 1, "'min_copies'"),
        (("table", "unset", "nobody"), 1, "'nobody'"),
        (("table", "import", "/nowhere.csv"), 1, "/nowhere.csv"),
        (("drain", "vm99"), 1, "vm99"),
        (("dance",), 2, "dance"),
        (("--control=127.0.0.1:1", "status"), 3, "127.0.0.1:1"),
    ],
)
async def test_exit_codes_and_reasons(
    ctl: Ctl,
    capsys: pytest.CaptureFixture[str],
    arguments: tuple[str, ...],
    code: int,
    named: str,
) -> None:
    assert await ctl(*arguments) == code
    assert named in capsys.readouterr().err


async def test_placement_is_explained(
    ctl: Ctl, capsys: pytest.CaptureFixture[str]
) -> None:
    assert await ctl("why", "inspector", "--json") == 0
    answer = json.loads(capsys.readouterr().out)
    assert (answer["row"], answer["leads"]) == ("inspector", True)
    assert await ctl("why", "inspector") == 0
    assert await ctl("moves") == 0
    assert "inspector" in capsys.readouterr().out
    assert await ctl("why", "nobody") == 1


async def test_drained_vm_is_left_out_of_addresses(
    ctl: Ctl, shared_system: local.LocalSystem
) -> None:
    entry = shared_system.base_port + local.ENTRY_OFFSET
    url = f"http://{local.HOST}:{entry}/v1/locate"
    for command, is_shown in (("drain", False), ("undrain", True)):
        assert await ctl(command, "vm2") == 0
        async with shared_system.session.get(url) as response:
            listed = (await response.json())["entries"]
        addresses = [item["address"] for item in listed]
        assert (f"{local.HOST}:{entry + 1}" in addresses) is is_shown


async def test_drained_engine_leaves_once_its_rows_are_elsewhere(
    ctl: Ctl, shared_system: local.LocalSystem
) -> None:
    engine = shared_system.standins_by_name["engine-1"]
    entry = shared_system.daemons[1]
    assert isinstance(entry, entry_program.EntryDaemon)
    assert await ctl("drain", engine) == 0
    while True:
        view = entry.entry.view
        assert all(map(view.upstreams_for, view.table.placed()))
        if view.upstream_by_address[engine].state is LEAVING:
            break
        await asyncio.sleep(POLL_SECONDS)
    assert await ctl("undrain", engine) == 0


async def test_race_in_one_row_is_refused_with_both_values(
    shared_system: local.LocalSystem,
) -> None:
    port = shared_system.base_port + local.CONTROL_OFFSET
    url = f"http://{local.HOST}:{port}"
    session = shared_system.session
    async with session.get(f"{url}/table") as response:
        rows = (await response.json())["rows"]
    base = next(row for row in rows if row["name"] == "portal")

    async def edit(weight: float) -> tuple[int, str]:
        change = {"name": "portal", "base": base}
        body = {"edits": [{**change, "row": {**base, "weight": weight}}]}
        async with session.post(f"{url}/table/edits", json=body) as response:
            return response.status, await response.text()

    assert (await edit(4.25))[0] == 200
    status, answer = await edit(8.25)
    assert status == 409
    assert "4.25" in answer and "8.25" in answer


async def test_changes_need_the_token() -> None:
    async with conftest.run_system("secret") as system:
        url = (
            f"http://{local.HOST}:{system.base_port + local.CONTROL_OFFSET}"
            "/table/edits"
        )
        for token, status in (("", 401), ("wrong", 401), ("secret", 200)):
            headers = {"Authorization": f"Bearer {token}"}
            async with aiohttp.ClientSession(headers=headers) as session:
                async with session.post(url, json={"edits": []}) as response:
                    assert response.status == status
