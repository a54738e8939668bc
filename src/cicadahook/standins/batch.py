"""Continuous batching of a stand-in engine, with a knee in flight."""

import asyncio
import dataclasses
import heapq
import itertools


@dataclasses.dataclass(frozen=True)
class BatchMode:
    """Speed of an engine.

    Attributes:
        knee: requests in flight up to which a step takes no longer.
        step_seconds: time of one step up to the knee.
        batch_limit: requests in a batch; further ones wait by priority.
    """

    knee: int = 16
    step_seconds: float = 0.006
    batch_limit: int = 256


@dataclasses.dataclass(order=True)
class Job:
    """A request in the batch or waiting for it.

    Attributes:
        priority: lower goes first.
        number: order of arrival.
        tokens: tokens still to produce.
        prefill_steps: steps still to take before the first token.
        output: receives each token, then None at the end.
    """

    priority: int
    number: int
    tokens: list[str] = dataclasses.field(compare=False)
    prefill_steps: int = dataclasses.field(compare=False)
    output: asyncio.Queue[str | None] = dataclasses.field(
        compare=False, default_factory=asyncio.Queue
    )
    is_cancelled: bool = dataclasses.field(compare=False, default=False)


class Batch:
    """Runs all jobs a step at a time."""

    def __init__(self, mode: BatchMode) -> None:
        self.mode = mode
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.job_numbers = itertools.count()
        self.task: asyncio.Task[None] | None = None

    @property
    def in_flight(self) -> int:
        """Jobs running or waiting."""
        return len(self.running) + len(self.waiting)

    def submit(
        self, priority: int, tokens: list[str], prefill_steps: int
    ) -> Job:
        """Start a job and return it."""
        job = Job(priority, next(self.job_numbers), tokens[::-1], prefill_steps)
        heapq.heappush(self.waiting, job)
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._run_steps())
        return job

    def clear(self) -> None:
        """Drop all jobs, as a crash does."""
        self.running.clear()
        self.waiting.clear()

    async def _run_steps(self) -> None:
        """Step until nothing is left to do."""
        while self.in_flight:
            self._admit_waiting()
            slowdown = max(1.0, len(self.running) / self.mode.knee)
            await asyncio.sleep(self.mode.step_seconds * slowdown)
            self.running = [job for job in self.running if _advance(job)]

    def _admit_waiting(self) -> None:
        """Move waiting jobs into the batch while there is room."""
        while self.waiting and len(self.running) < self.mode.batch_limit:
            self.running.append(heapq.heappop(self.waiting))


def _advance(job: Job) -> bool:
    """Advance `job` by a step; return whether it goes on."""
    if job.is_cancelled:
        return False
    if job.prefill_steps > 0:
        job.prefill_steps -= 1
        return True
    if job.tokens:
        job.output.put_nowait(job.tokens.pop())
    if not job.tokens:
        job.output.put_nowait(None)
    return bool(job.tokens)
