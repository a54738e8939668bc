"""Tests of restarted tasks and shared tasks."""

import asyncio
import datetime
import logging

from cicadahook.net import tasks

LOGGER = logging.getLogger("test")
NO_PAUSE = datetime.timedelta()


async def test_runs_a_failed_task_again() -> None:
    """An unexpected error must not stop a background task for good."""
    runs = 0
    is_restarted = asyncio.Event()

    async def run() -> None:
        nonlocal runs
        runs += 1
        if runs == 1:
            raise ValueError("a fault")
        is_restarted.set()
        await asyncio.Event().wait()

    task = asyncio.create_task(tasks.keep_running(run, LOGGER, NO_PAUSE))
    async with asyncio.timeout(1):
        await is_restarted.wait()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert runs == 2 and task.cancelled()


async def test_a_task_that_fails_while_it_is_ended_ends() -> None:
    """A clean-up that fails during cancellation must not restart the task.

    On shutdown, resources that the clean-up uses may be closed already.
    """
    started = asyncio.Event()

    async def run() -> None:
        started.set()
        try:
            await asyncio.Event().wait()
        finally:
            raise RuntimeError("session is closed")

    task = asyncio.create_task(tasks.keep_running(run, LOGGER, NO_PAUSE))
    await started.wait()
    task.cancel()
    async with asyncio.timeout(1):
        await asyncio.gather(task, return_exceptions=True)


async def test_those_who_wait_share_one_task() -> None:
    """Concurrent callers share a task; a later caller starts a new one."""
    running: dict[str, asyncio.Task[int]] = {}
    starts = 0

    async def start() -> int:
        nonlocal starts
        starts += 1
        await asyncio.sleep(0)
        return starts

    first = tasks.share(running, "a", start)
    assert tasks.share(running, "a", start) is first
    assert await first == 1
    await asyncio.sleep(0)
    assert not running
    assert await tasks.share(running, "a", start) == 2
