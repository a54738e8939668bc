"""The programs that people start: cicada-local and cicada-standin."""

import pathlib
import subprocess
import sys

import pytest

import conftest
from cicadahook.programs import local


def run(program: str, *flags: str) -> subprocess.CompletedProcess[str]:
    """Run a program until it ends."""
    path = pathlib.Path(sys.executable).with_name(program)
    return subprocess.run(
        [path, *flags], capture_output=True, text=True, check=False, timeout=25
    )


def test_local_stops_by_itself_with_code_0() -> None:
    port = conftest.find_base_port()
    ended = run("cicada-local", "--seconds=0.5", f"--base-port={port}")
    assert (ended.returncode, ended.stderr) == (0, "")
    assert ended.stdout == local.create_guide(port) + "\n"


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
