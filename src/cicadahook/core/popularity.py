"""How often each model has been asked for lately."""

import dataclasses
import datetime
import math
from typing import Final

MEMORY: Final = datetime.timedelta(seconds=5)
NEGLIGIBLE_RATE: Final = 0.01


@dataclasses.dataclass
class _Rate:
    value: float
    updated: datetime.datetime


class Popularity:
    """Exponentially decaying rates of requests, by service and model."""

    def __init__(self) -> None:
        self.rates: dict[tuple[str, str], _Rate] = {}

    def note_request(
        self, service: str, model: str, now: datetime.datetime
    ) -> None:
        """Take note of one request."""
        rate = self.rates.setdefault((service, model), _Rate(0.0, now))
        rate.value = self._decay(rate, now) + 1 / MEMORY.total_seconds()
        rate.updated = now

    def list_rates(
        self, now: datetime.datetime
    ) -> dict[tuple[str, str], float]:
        """Return requests a second, without the models hardly asked for."""
        rates = {
            key: self._decay(rate, now) for key, rate in self.rates.items()
        }
        for key, value in rates.items():
            if value < NEGLIGIBLE_RATE:
                del self.rates[key]
        return {
            key: value
            for key, value in rates.items()
            if value >= NEGLIGIBLE_RATE
        }

    def _decay(self, rate: _Rate, now: datetime.datetime) -> float:
        age = (now - rate.updated) / MEMORY
        return rate.value * math.exp(-max(0.0, age))
