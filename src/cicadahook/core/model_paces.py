"""Relative paces of models, learned by all nodes together.

A pace is the time to read a prompt relative to the reference model.
"""

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
    """One node's estimate of the pace of a model.

    Attributes:
        model: its name.
        pace: mean time relative to that of the reference model.
        weight: number of observations, older ones counting less.
    """

    model: str
    pace: float
    weight: float


class ModelPaces:
    """Averages the estimates of all nodes.

    Attributes:
        own: estimates of this node, by model.
        peers: estimates of the other nodes, by node and model.
    """

    def __init__(self) -> None:
        self.own: dict[str, PaceEstimate] = {}
        self.peers: dict[str, dict[str, PaceEstimate]] = {}

    def record(self, model: str, pace: float) -> None:
        """Record one observation."""
        bounded = min(MAX_PACE, max(MIN_PACE, pace))
        known = self.own.get(model, PaceEstimate(model, bounded, 0.0))
        weight = known.weight * FADING
        mean = (known.pace * weight + bounded) / (weight + 1)
        self.own[model] = PaceEstimate(model, mean, weight + 1)

    def replace_peer(
        self, peer: str, estimates: Iterable[PaceEstimate]
    ) -> None:
        """Replace the estimates of another node."""
        self.peers[peer] = {entry.model: entry for entry in estimates}

    def get(self, model: str) -> float:
        """Return the expected pace of a model."""
        total, weight = PRIOR_PACE * PRIOR_WEIGHT, PRIOR_WEIGHT
        for estimates in (self.own, *self.peers.values()):
            entry = estimates.get(model)
            if entry is not None:
                total += entry.pace * entry.weight
                weight += entry.weight
        return total / weight
