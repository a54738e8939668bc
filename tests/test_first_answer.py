"""Tests of questions to several sources, of which one answer is enough."""

import asyncio
from collections.abc import Callable, Coroutine
import datetime

import pytest

from cicadahook.net import first_answer

PATIENCE = datetime.timedelta(milliseconds=50)
LONG = 10.0


class Sources:
    """Sources that answer with their name, fail or keep silent.

    Attributes:
        asked: names of the sources that were asked.
        cancelled: names of those whose question was cancelled.
    """

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.cancelled: list[str] = []

    def create(
        self, name: str, after: float = 0.0, *, is_able: bool = True
    ) -> first_answer.Question[str]:
        """Return a question that is answered after some seconds."""

        async def ask() -> str | None:
            self.asked.append(name)
            try:
                await asyncio.sleep(after)
            except asyncio.CancelledError:
                self.cancelled.append(name)
                raise
            return name if is_able else None

        return first_answer.Question(ask, PATIENCE)


async def measure(
    get: Callable[[], Coroutine[None, None, str | None]],
) -> tuple[str | None, float]:
    """Return an answer, and the seconds until it came."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    return await get(), loop.time() - began


async def test_one_source_is_asked_while_it_answers_in_time() -> None:
    sources = Sources()
    questions = [sources.create("a", 0.01), sources.create("b")]
    assert await first_answer.get(questions) == "a"
    assert sources.asked == ["a"]


async def test_the_next_source_is_asked_at_once_behind_one_that_fails() -> None:
    sources = Sources()
    questions = [
        sources.create("a", is_able=False),
        sources.create("b", is_able=False),
        sources.create("c"),
    ]
    answer, seconds = await measure(lambda: first_answer.get(questions))
    assert answer == "c"
    assert seconds < PATIENCE.total_seconds()


async def test_silent_sources_cost_their_patience_and_not_their_limit() -> None:
    sources = Sources()
    questions = [
        sources.create("a", LONG),
        sources.create("b", LONG),
        sources.create("c"),
    ]
    answer, seconds = await measure(lambda: first_answer.get(questions))
    assert answer == "c"
    assert seconds < 4 * PATIENCE.total_seconds()
    assert sorted(sources.cancelled) == ["a", "b"]


async def test_a_late_answer_counts_while_no_other_has_come() -> None:
    sources = Sources()
    questions = [sources.create("a", 0.1), sources.create("b", LONG)]
    assert await first_answer.get(questions) == "a"
    assert sources.cancelled == ["b"]


async def test_there_is_no_answer_if_all_fail() -> None:
    sources = Sources()
    questions = [
        sources.create("a", 0.1, is_able=False),
        sources.create("b", is_able=False),
    ]
    nobody: list[first_answer.Question[str]] = []
    assert await first_answer.get(questions) is None
    assert await first_answer.get(nobody) is None


async def test_an_error_ends_all_questions() -> None:
    sources = Sources()

    async def fail() -> str | None:
        raise ValueError("history lost")

    questions = [
        sources.create("a", LONG),
        first_answer.Question(fail, PATIENCE),
    ]
    with pytest.raises(ValueError):
        await first_answer.get(questions)
    assert sources.cancelled == ["a"]
