"""Room of upstream stand-ins that fail when they reject too much."""

import asyncio
import dataclasses


@dataclasses.dataclass
class BrittleState:
    """Room of an upstream that fails when it rejects too much.

    Attributes:
        bound: rejections in a second beyond which it crashes.
        slots: requests that it runs at once.
        queue: requests that wait for a slot at the most.
        run_seconds: time that a request takes.
        waiting: requests that wait for a slot.
        running: requests that have one.
        rejections: when it rejected a request, by the event loop's clock.
    """

    bound: float
    slots: int
    queue: int
    run_seconds: float
    waiting: int = 0
    running: int = 0
    rejections: list[float] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        self.free = asyncio.Semaphore(self.slots)

    def is_full(self) -> bool:
        """Whether another request would neither run nor wait."""
        return self.waiting + self.running >= self.slots + self.queue

    def reject(self, now: float) -> bool:
        """Record a rejection; return whether it is one too many."""
        self.rejections.append(now)
        recent = [time for time in self.rejections if now - time < 1]
        return len(recent) > self.bound

    async def run(self) -> None:
        """Run one request."""
        self.waiting += 1
        try:
            async with self.free:
                self.waiting -= 1
                self.running += 1
                try:
                    await asyncio.sleep(self.run_seconds)
                finally:
                    self.running -= 1
                    self.waiting += 1
        finally:
            self.waiting -= 1
