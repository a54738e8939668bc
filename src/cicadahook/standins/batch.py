"""Continuous batching of a stand-in engine.

A step advances every running request by one token or one prefill step. Its
duration is constant up to the knee, a number of running requests, and grows in
proportion to their number beyond.
"""

import asyncio
import dataclasses
import heapq
import itertools


@dataclasses.dataclass(frozen=True)
class BatchMode:
    """Batch size and speed of an engine.

    Attributes:
        knee: number of running requests up to which the duration of a step
            is constant.
        step_seconds: duration of one step up to the knee.
        batch_limit: largest number of running requests; further ones wait in
            order of priority.
    """

    knee: int = 16
    step_seconds: float = 0.006
    batch_limit: int = 256


@dataclasses.dataclass(order=True)
class Job:
    """A request in the batch or waiting for it.

    Attributes:
        priority: jobs of a lower number start first.
        number: order of arrival, which decides between equal priorities.
        tokens: tokens still to produce, the next one last.
        prefill_steps: steps left before the first token.
        output: receives each token, then None at the end.
        is_cancelled: whether the job is to be dropped at the next step.
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
    """Runs all jobs in steps.

    Attributes:
        mode: batch size and speed.
        running: jobs in the batch.
        waiting: heap of the jobs that wait for room in the batch.
        job_numbers: source of the numbers of jobs.
        task: task that runs the steps, if it has been started.
    """

    def __init__(self, mode: BatchMode) -> None:
        self.mode = mode
        self.running: list[Job] = []
        self.waiting: list[Job] = []
        self.job_numbers = itertools.count()
        self.task: asyncio.Task[None] | None = None

    @property
    def in_flight(self) -> int:
        """Number of jobs running or waiting."""
        return len(self.running) + len(self.waiting)

    def submit(
        self, priority: int, tokens: list[str], prefill_steps: int
    ) -> Job:
        """Queue a job, start the steps if none are running, and return the job.

        Args:
            priority: jobs of a lower number start first.
            tokens: tokens to produce.
            prefill_steps: steps before the first token.
        """
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
        """Run steps until no job is left."""
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
    """Advance `job` by one step; return whether it is unfinished."""
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
