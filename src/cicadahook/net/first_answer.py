"""Asks several sources for the same, each a little after the one before.

A source that fails is followed by the next one at once, and one that is late is
not waited for alone. So the time until an answer is bounded by how long one
source is waited for, not by the sum of their time limits.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
import dataclasses
import datetime
from typing import Any, Generic, TypeVar

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Question(Generic[T]):
    """A way to ask one source.

    Attributes:
        ask: asks; returns None if the source cannot answer.
        patience: how long to wait before the next source is asked too.
    """

    ask: Callable[[], Coroutine[Any, Any, T | None]]
    patience: datetime.timedelta


async def get(questions: Iterable[Question[T]]) -> T | None:
    """Return the first answer of any source; cancel the other questions.

    Whatever an answer entails is left to the caller: another one may have
    arrived at the same time, and is dropped.

    Returns:
        None if no source can answer.

    Raises:
        Exception: what a question raised.
    """
    asked: set[asyncio.Task[T | None]] = set()
    try:
        for question in questions:
            newest = asyncio.create_task(question.ask())
            asked.add(newest)
            answer = await _wait(asked, newest, question.patience)
            if answer is not None:
                return answer
        return await _wait(asked, None, None)
    finally:
        for task in asked:
            task.cancel()
        await asyncio.gather(*asked, return_exceptions=True)


async def _wait(
    asked: set[asyncio.Task[T | None]],
    newest: asyncio.Task[T | None] | None,
    patience: datetime.timedelta | None,
) -> T | None:
    """Return the first answer to what is asked.

    Args:
        asked: questions without an answer so far; those that have ended are
            taken out.
        newest: the question whose end without an answer is not waited beyond.
        patience: how long to wait at the most; None for any time.
    """
    loop = asyncio.get_running_loop()
    end = None if patience is None else loop.time() + patience.total_seconds()
    while asked:
        left = None if end is None else max(0.0, end - loop.time())
        done, _ = await asyncio.wait(
            asked, timeout=left, return_when=asyncio.FIRST_COMPLETED
        )
        asked -= done
        answers = [task.result() for task in done]
        for answer in answers:
            if answer is not None:
                return answer
        if not done or newest in done:
            return None
    return None
