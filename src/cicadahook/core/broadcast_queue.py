"""Queue of updates that are piggybacked on gossip messages.

Each update is added to a bounded number of messages.
"""

import dataclasses
import heapq
import itertools
from typing import Generic, TypeVar

UpdateT = TypeVar("UpdateT")


@dataclasses.dataclass
class Broadcast(Generic[UpdateT]):
    """An update that is being spread.

    Attributes:
        update: the content.
        age: sequence number that counts down, so the newest update has the
            lowest.
        sends: number of messages that carried it so far.
    """

    update: UpdateT
    age: int
    sends: int = 0


class BroadcastQueue(Generic[UpdateT]):
    """Latest update of each subject.

    Updates sent least often come first, among them the newest.
    """

    def __init__(self) -> None:
        self.by_subject: dict[str, Broadcast[UpdateT]] = {}
        self.ages = itertools.count(0, -1)

    def add(self, subject: str, update: UpdateT) -> None:
        """Queue `update` in place of an older update of `subject`."""
        self.by_subject[subject] = Broadcast(update, next(self.ages))

    def remove(self, subject: str) -> None:
        """Stop spreading the update of `subject`."""
        self.by_subject.pop(subject, None)

    def next_batch(self, limit: int, sends: int) -> tuple[UpdateT, ...]:
        """Return the updates for the next message.

        Args:
            limit: maximum number of updates to return.
            sends: number of messages after which an update is dropped.
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
