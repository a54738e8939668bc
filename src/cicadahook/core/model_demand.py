"""Tracks the recent demand for each model of the engine services."""

import dataclasses
import datetime
import math
from typing import Final

# Time constant of the exponential decay.
DECAY_TIME: Final = datetime.timedelta(seconds=3)
# Models with a smaller share are forgotten.
NEGLIGIBLE_SHARE: Final = 0.001


@dataclasses.dataclass
class _Share:
    value: float
    updated: datetime.datetime


class ModelDemandTracker:
    """Tracks demand as exponentially decaying shares of an engine's time.

    Attributes:
        shares: share of one engine's time, by service and model.
    """

    def __init__(self) -> None:
        self.shares: dict[tuple[str, str], _Share] = {}

    def record_request(
        self,
        service: str,
        model: str,
        work: datetime.timedelta,
        now: datetime.datetime,
    ) -> None:
        """Add a request to the demand.

        Args:
            service: name of the service.
            model: name of the model.
            work: time of an engine that the request takes.
            now: the time.
        """
        share = self.shares.setdefault((service, model), _Share(0.0, now))
        share.value = self._decay(share, now) + work / DECAY_TIME
        share.updated = now

    def list_shares(
        self, now: datetime.datetime
    ) -> dict[tuple[str, str], float]:
        """Return the share of an engine's time that each model uses."""
        shares = {
            key: self._decay(share, now) for key, share in self.shares.items()
        }
        for key, value in shares.items():
            if value < NEGLIGIBLE_SHARE:
                del self.shares[key]
        return {
            key: value
            for key, value in shares.items()
            if value >= NEGLIGIBLE_SHARE
        }

    def _decay(self, share: _Share, now: datetime.datetime) -> float:
        age = (now - share.updated) / DECAY_TIME
        return share.value * math.exp(-max(0.0, age))
