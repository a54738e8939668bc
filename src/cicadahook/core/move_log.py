"""Bounded history of the ordered loads and unloads, for operators."""

import collections
from collections.abc import Iterator
import dataclasses
import datetime
from typing import Final

from cicadahook.core import placement
from cicadahook.core import upstream_record

MAX_MOVES: Final = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A load or unload that was ordered."""

    at: datetime.datetime
    action: upstream_record.Action
    row: str
    version: str
    upstream: str
    cause: str


class MoveLog:
    """The newest moves; older ones are dropped."""

    def __init__(self) -> None:
        self.moves: collections.deque[Move] = collections.deque(
            maxlen=MAX_MOVES
        )

    def add(self, step: placement.Step, now: datetime.datetime) -> None:
        """Record a step that was ordered."""
        self.moves.append(
            Move(
                now,
                step.action,
                step.row,
                step.version,
                step.upstream,
                step.cause,
            )
        )

    def find(self, row: str) -> Iterator[Move]:
        """Yield the moves of a row, the oldest first."""
        return (move for move in self.moves if move.row == row)
