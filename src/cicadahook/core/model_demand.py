"""How much work each model has been asked for lately."""

import dataclasses
import datetime
import math
from typing import Final

DECAY_TIME: Final = datetime.timedelta(seconds=3)
NEGLIGIBLE_SHARE: Final = 0.001


@dataclasses.dataclass
class _Share:
    value: float
    updated: datetime.datetime


class ModelDemandTracker:
    """Exponentially decaying shares of an engine, by service and model."""

    def __init__(self) -> None:
        self.shares: dict[tuple[str, str], _Share] = {}

    def record_request(
        self,
        service: str,
        model: str,
        work: datetime.timedelta,
        now: datetime.datetime,
    ) -> None:
        """Take note of a request that takes an engine `work`."""
        share = self.shares.setdefault((service, model), _Share(0.0, now))
        share.value = self._decay(share, now) + work / DECAY_TIME
        share.updated = now

    def list_shares(
        self, now: datetime.datetime
    ) -> dict[tuple[str, str], float]:
        """Return the share of an engine that each model keeps busy."""
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
