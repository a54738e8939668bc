"""Helpers for asyncio tasks: restart after failure, sharing, and waiting."""

import asyncio
from collections.abc import Callable, Coroutine
import datetime
import logging
from typing import Any, Final, TypeVar

from cicadahook.net import metrics

RESTART_PAUSE: Final = datetime.timedelta(seconds=1)

KeyT = TypeVar("KeyT")
ResultT = TypeVar("ResultT")


async def keep_running(
    run: Callable[[], Coroutine[Any, Any, None]],
    logger: logging.Logger,
    pause: datetime.timedelta = RESTART_PAUSE,
) -> None:
    """Run a task until it is cancelled; restart it after each failure."""
    while True:
        try:
            await run()
        except Exception:  # pylint: disable=broad-exception-caught
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                logger.exception("Task %s failed while it was ended.", run)
                return
            logger.exception("Task %s failed and is run again.", run)
            metrics.create_counter(
                "cicada_task_failures", "Tasks that failed and were run again."
            ).add(1, {"task": run.__qualname__})
        await asyncio.sleep(pause.total_seconds())


def share(
    running: dict[KeyT, asyncio.Task[ResultT]],
    key: KeyT,
    start: Callable[[], Coroutine[Any, Any, ResultT]],
) -> asyncio.Task[ResultT]:
    """Return the task that runs for `key`, starting it if there is none.

    Callers must shield it when they await it, since others may await it too.
    """
    task = running.get(key)
    if task is None:
        task = asyncio.create_task(start())
        running[key] = task
        task.add_done_callback(lambda _: running.pop(key, None))
    return task


async def wait_while(
    task: asyncio.Task[Any],
    is_needed: Callable[[], bool],
    period: datetime.timedelta,
) -> bool:
    """Wait for a task while it is needed; return whether it has ended.

    Args:
        task: the task; it goes on when it is no longer needed.
        is_needed: called once in each period.
        period: time between two such calls.
    """
    while not task.done() and is_needed():
        await asyncio.wait({task}, timeout=period.total_seconds())
    return task.done()
