"""Tests of the command lines: output, exit codes, signals and bad flags."""

import asyncio
import contextlib
import pathlib
import signal
import socket
import subprocess
import sys
import time

import aiohttp
import pytest

from cicadahook.programs import daemon
from cicadahook.programs import local
import conftest


def run(program: str, *flags: str) -> subprocess.CompletedProcess[str]:
    """Run a program until it ends, and return its output and exit code."""
    path = pathlib.Path(sys.executable).with_name(program)
    return subprocess.run(
        [path, *flags], capture_output=True, text=True, check=False, timeout=25
    )


def test_local_stops_by_itself_with_code_0() -> None:
    port = conftest.find_base_port()
    ended = run("cicada-local", "--seconds=0.5", f"--base-port={port}")
    assert (ended.returncode, ended.stderr) == (0, "")
    assert ended.stdout == local.create_guide(port) + "\n"


@pytest.mark.parametrize(
    "number", [signal.SIGINT, signal.SIGTERM], ids=["int", "term"]
)
@pytest.mark.parametrize("is_ready", [False, True], ids=["starting", "serving"])
def test_local_ends_at_one_signal(
    number: signal.Signals, is_ready: bool
) -> None:
    """A signal stops it with code 0, also during the start."""
    port = conftest.find_base_port()
    path = pathlib.Path(sys.executable).with_name("cicada-local")
    with subprocess.Popen(
        [path, f"--base-port={port}"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        try:
            wait_until_listening(port + local.ENTRY_OFFSET)
            if is_ready:
                assert process.stdout is not None
                process.stdout.readline()
            process.send_signal(number)
            _, errors = process.communicate(timeout=10)
        finally:
            process.kill()
    assert process.returncode == 0
    assert "Traceback" not in errors


def wait_until_listening(port: int) -> None:
    """Wait up to 10 s until a loopback port accepts connections."""
    for _ in range(200):
        with contextlib.suppress(ConnectionRefusedError):
            socket.create_connection((local.HOST, port)).close()
            return
        time.sleep(0.05)
    raise TimeoutError(f"nothing listens on port {port}")


async def test_an_entry_is_ready_once_it_can_serve() -> None:
    """An entry must not report ready while it would still refuse requests."""
    async with daemon.open_session() as session:
        mode = local.LocalMode(conftest.find_base_port())
        system = local.LocalSystem(mode, session)
        starting = asyncio.create_task(system.start())
        try:
            while not starting.done():
                await check_readiness(system)
                await asyncio.sleep(0.05)
            starting.result()
            assert await check_readiness(system)
        finally:
            await starting
            await system.stop()


async def check_readiness(system: local.LocalSystem) -> bool:
    """Return whether an entry is ready; fail if it is, but can't serve."""
    url = f"http://{system.entries[0]}"
    body = {
        "model": "inspector",
        "messages": [{"role": "user", "content": "hello"}],
    }
    try:
        async with system.session.get(f"{url}/readyz") as response:
            if response.status != 200:
                return False
        async with system.session.post(
            f"{url}/v1/chat/completions", json=body
        ) as response:
            assert response.status == 200, await response.text()
    except aiohttp.ClientConnectorError:
        return False
    return True


async def test_taken_port_is_named(system: local.LocalSystem) -> None:
    ended = run("cicada-local", f"--base-port={system.base_port}")
    assert ended.returncode == 1
    assert "can't listen on 127.0.0.1" in ended.stderr
    assert "Traceback" not in ended.stderr


@pytest.mark.parametrize(
    ("program", "flags", "named"),
    [
        ("cicada-local", ["--base-port=99999"], "--base-port: '99999'"),
        ("cicada-local", ["--seconds=long"], "--seconds: 'long'"),
        ("cicada-standin", ["engine", "--knee=many"], "--knee: 'many'"),
        ("cicada-control", ["--operator-token=a b"], "--operator-token"),
    ],
)
def test_bad_flag_exits_2_and_is_named(
    program: str, flags: list[str], named: str
) -> None:
    ended = run(program, *flags)
    assert ended.returncode == 2
    assert named in ended.stderr
    assert "Traceback" not in ended.stderr
