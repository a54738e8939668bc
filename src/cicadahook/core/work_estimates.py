"""Estimates of the work of a row's requests and their chance to end in time."""

import dataclasses
import math
from typing import Final

GAIN: Final = 0.02
PACE_SPREAD: Final = 0.1
MIN_UNITS: Final = 1.0


@dataclasses.dataclass
class WorkEstimate:
    """Distribution of the units of work of a row's requests.

    Units are tokens; a request without tokens counts as one unit. Their
    logarithm is assumed to be normally distributed.

    Attributes:
        mean: mean of the logarithm.
        variance: variance of the logarithm.
        samples: number of samples.
    """

    mean: float = 0.0
    variance: float = 0.0
    samples: int = 0

    def add(self, units: float) -> None:
        """Add the work of a served request."""
        level = math.log(max(MIN_UNITS, units))
        self.samples += 1
        gain = max(GAIN, 1 / self.samples)
        step = level - self.mean
        self.mean += gain * step
        self.variance = (1 - gain) * (self.variance + gain * step * step)

    def add_partial(self, units: float) -> None:
        """Add the work of a request that was cut off, a lower bound."""
        if self.samples and math.log(max(MIN_UNITS, units)) > self.mean:
            self.add(units)

    @property
    def median(self) -> float:
        """Units that half of the requests stay below."""
        return math.exp(self.mean)

    def chance(self, slack_seconds: float, pace: float) -> float:
        """Return the chance that a request ends within `slack_seconds`.

        `pace` is in seconds per unit, 0 if unknown. Without a pace or samples
        any time left counts as enough.
        """
        if slack_seconds <= 0:
            return 0.0
        if not self.samples or not pace:
            return 1.0
        spread = math.sqrt(self.variance + PACE_SPREAD**2)
        distance = math.log(slack_seconds / pace) - self.mean
        return 0.5 * (1 + math.erf(distance / spread / math.sqrt(2)))
