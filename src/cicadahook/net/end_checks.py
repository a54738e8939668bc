"""Asks upstreams whether they live on behind answers that end unstated."""

import asyncio
from collections.abc import Awaitable, Callable
import datetime
from typing import Final

import aiohttp

from cicadahook.core import answer_ends
from cicadahook.core import inventory
from cicadahook.net import logs
from cicadahook.net import metrics

Ask = Callable[[inventory.Instance], Awaitable[answer_ends.Reply | None]]
Question = asyncio.Task[answer_ends.Reply | None]
# Id, start and address of an upstream.
Key = tuple[str, int, str]

logger: Final = logs.create_logger("upstreams")


class EndChecker:
    """Checks that answers which ended with their connection are whole.

    A question tells of all answers that ended before it was sent, so each
    upstream is asked once at a time.

    Attributes:
        lost: connections that were lost.
        ask: asks an upstream for a reply; None if there is none in time.
        running: questions that are being asked, by upstream.
        waiting: questions that will be asked when those are answered.
    """

    def __init__(self, lost: answer_ends.LostConnections, ask: Ask) -> None:
        self.lost = lost
        self.ask = ask
        self.running: dict[Key, Question] = {}
        self.waiting: dict[Key, Question] = {}

    async def close(self) -> None:
        """Stop asking."""
        tasks = [*self.running.values(), *self.waiting.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def prepare(self, instance: inventory.Instance) -> None:
        """Ask an upstream that has begun such an answer, for a connection."""
        self._ask_soon(instance)

    async def check(
        self,
        instance: inventory.Instance,
        ended: datetime.datetime,
        request_id: str,
    ) -> None:
        """Check that an answer is whole.

        Args:
            instance: the upstream that answered.
            ended: when the connection of the answer ended.
            request_id: id of the request, for the log.

        Raises:
            aiohttp.ClientPayloadError: that is not shown.
        """
        question = self._ask_soon(instance)
        # Others wait for it too, so it must not be cancelled.
        await asyncio.wait({question})
        reply = None if question.cancelled() else question.result()
        verdict = self.lost.judge(instance.address, ended, reply)
        metrics.count_end_check(str(verdict))
        logger.info(
            "End of an answer without a length checked.",
            extra={
                "request_id": request_id,
                "instance": instance.id,
                "verdict": str(verdict),
                "took_ms": int(
                    (self.lost.clock.now() - ended).total_seconds() * 1000
                ),
            },
        )
        if verdict is not answer_ends.Verdict.WHOLE:
            raise aiohttp.ClientPayloadError(
                f"A body without a length ended; it may not be whole: {verdict}"
            )

    def _ask_soon(self, instance: inventory.Instance) -> Question:
        """Return a question that is not sent yet; answers share it."""
        key = (instance.id, instance.born, instance.address)
        question = self.waiting.get(key)
        if question is None:
            question = asyncio.create_task(self._ask_in_turn(key, instance))
            self.waiting[key] = question
        return question

    async def _ask_in_turn(
        self, key: Key, instance: inventory.Instance
    ) -> answer_ends.Reply | None:
        try:
            if (earlier := self.running.get(key)) is not None:
                await asyncio.wait({earlier})
        finally:
            question = self.waiting.pop(key)
        self.running[key] = question
        try:
            return await self.ask(instance)
        finally:
            if self.running.get(key) is question:
                del self.running[key]
