"""Signals in the first moment of a node's process end it in order, or not."""

import asyncio
import pathlib
import signal

import aiohttp
import pytest

import node_process
import node_testbed

STOP_SECONDS = 8.0
# Modules that take most of the time until a node has started.
LATE_MODULES = ("capnp", "aiohttp")


def handles(child: asyncio.subprocess.Process, number: int) -> bool:
    """Whether a process has a handler for a signal."""
    lines = (
        pathlib.Path(f"/proc/{child.pid}/status")
        .read_text("ascii")
        .splitlines()
    )
    caught = next(line for line in lines if line.startswith("SigCgt"))
    return bool(int(caught.split()[1], 16) >> (number - 1) & 1)


def list_loaded(child: asyncio.subprocess.Process) -> list[str]:
    """Return which late modules a process has loaded."""
    maps = pathlib.Path(f"/proc/{child.pid}/maps").read_text("utf-8")
    return [name for name in LATE_MODULES if f"/{name}/" in maps]


async def send_early(
    process: node_process.NodeProcess, number: signal.Signals
) -> list[str]:
    """Start a node and send a signal once it is handled.

    Returns:
        What the process had loaded by then.
    """
    await process.spawn()
    assert process.child is not None
    while not handles(process.child, number):
        assert process.child.returncode is None
        await asyncio.sleep(0.001)
    process.child.send_signal(number)
    return list_loaded(process.child)


@pytest.fixture(name="process")
def create_process(
    platform: node_testbed.NodeTestbed, tmp_path: pathlib.Path
) -> node_process.NodeProcess:
    """Return a node that has not been started."""
    base = int(platform.store_address.rsplit(":", 1)[1]) + 30
    return node_process.NodeProcess(
        "n1",
        node_process.create_host(base, 1),
        base,
        platform.store_address,
        tmp_path,
    )


async def test_a_reload_signal_while_a_node_is_loaded_does_not_end_it(
    process: node_process.NodeProcess,
) -> None:
    assert not await send_early(process, signal.SIGHUP)
    assert process.child is not None
    try:
        async with (
            aiohttp.ClientSession() as session,
            asyncio.timeout(node_process.START_SECONDS),
        ):
            while not await process.is_ready(session):
                assert process.child.returncode is None
                await asyncio.sleep(0.05)
    finally:
        if process.child.returncode is None:
            process.child.kill()
            await process.child.wait()


async def test_a_stop_signal_while_a_node_is_loaded_ends_it_in_order(
    process: node_process.NodeProcess,
) -> None:
    assert not await send_early(process, signal.SIGTERM)
    assert process.child is not None
    async with asyncio.timeout(STOP_SECONDS):
        assert await process.child.wait() == 0
    messages = [line["message"] for line in process.read_log()]
    assert messages == ["Stop signal received before the start."]
