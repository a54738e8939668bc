"""How long models take, learned by all machines together."""

from collections.abc import Iterable
import dataclasses
from typing import Final

PRIOR_PACE: Final = 0.6
PRIOR_WEIGHT: Final = 2.0
MIN_PACE: Final = 0.05
MAX_PACE: Final = 4.0
# Observations count less from one to the next, so that old ones fade.
FADING: Final = 0.97


@dataclasses.dataclass(frozen=True, slots=True)
class PaceEstimate:
    """What one machine has seen of a model.

    Attributes:
        model: its name.
        pace: mean time against that of the reference model.
        weight: observations behind it.
    """

    model: str
    pace: float
    weight: float


class PaceBook:
    """Averages the estimates of all machines.

    Attributes:
        own: estimates of this machine, by model.
        peers: estimates of the other machines, by machine and model.
    """

    def __init__(self) -> None:
        self.own: dict[str, PaceEstimate] = {}
        self.peers: dict[str, dict[str, PaceEstimate]] = {}

    def note(self, model: str, pace: float) -> None:
        """Take note of one observation."""
        bounded = min(MAX_PACE, max(MIN_PACE, pace))
        known = self.own.get(model, PaceEstimate(model, bounded, 0.0))
        weight = known.weight * FADING
        mean = (known.pace * weight + bounded) / (weight + 1)
        self.own[model] = PaceEstimate(model, mean, weight + 1)

    def take_peer(self, peer: str, estimates: Iterable[PaceEstimate]) -> None:
        """Replace what another machine has told."""
        self.peers[peer] = {entry.model: entry for entry in estimates}

    def get(self, model: str) -> float:
        """Return the pace to expect of a model."""
        total, weight = PRIOR_PACE * PRIOR_WEIGHT, PRIOR_WEIGHT
        for book in (self.own, *self.peers.values()):
            entry = book.get(model)
            if entry is not None:
                total += entry.pace * entry.weight
                weight += entry.weight
        return total / weight
