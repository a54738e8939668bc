"""Tasks that are run again after a failure, or shared by those who wait."""

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
    """Run a task again after an unexpected error, until it is cancelled."""
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

    Whoever waits for it must shield it, since others may wait too.
    """
    task = running.get(key)
    if task is None:
        task = asyncio.create_task(start())
        running[key] = task
        task.add_done_callback(lambda _: running.pop(key, None))
    return task


async def wait_while(
    task: asyncio.Task[Any],
    is_worth_it: Callable[[], bool],
    period: datetime.timedelta,
) -> bool:
    """Wait for a task while that is worth it; return whether it has ended.

    Args:
        task: runs on if it is not worth it any more.
        is_worth_it: asked once in each period.
        period: time between two questions.
    """
    while not task.done() and is_worth_it():
        await asyncio.wait({task}, timeout=period.total_seconds())
    return task.done()
