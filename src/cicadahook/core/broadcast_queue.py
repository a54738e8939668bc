"""News spread by adding each piece to a bounded number of messages."""

import dataclasses
import heapq
import itertools
from typing import Generic, TypeVar

UpdateT = TypeVar("UpdateT")


@dataclasses.dataclass
class Broadcast(Generic[UpdateT]):
    """A piece of news.

    Attributes:
        news: what is told.
        age: counts down, so that the newest piece has the lowest.
        sends: times that it was sent.
    """

    update: UpdateT
    age: int
    sends: int = 0


class BroadcastQueue(Generic[UpdateT]):
    """News by subject; the least sent goes first, then the newest."""

    def __init__(self) -> None:
        self.by_subject: dict[str, Broadcast[UpdateT]] = {}
        self.ages = itertools.count(0, -1)

    def add(self, subject: str, update: UpdateT) -> None:
        """Spread `news` in place of older news of `subject`."""
        self.by_subject[subject] = Broadcast(update, next(self.ages))

    def remove(self, subject: str) -> None:
        """Stop spreading news of `subject`."""
        self.by_subject.pop(subject, None)

    def next_batch(self, limit: int, sends: int) -> tuple[UpdateT, ...]:
        """Return up to `limit` pieces for a message.

        Args:
            limit: most pieces to return.
            sends: times that each piece is sent in all.
        """
        chosen = heapq.nsmallest(
            limit,
            self.by_subject.items(),
            key=lambda item: (item[1].sends, item[1].age),
        )
        for subject, broadcast in chosen:
            broadcast.sends += 1
            if broadcast.sends >= sends:
                del self.by_subject[subject]
        return tuple(broadcast.update for _, broadcast in chosen)
