"""Learns the concurrency limit of an upstream from its ended attempts.

The limit lies slightly above the number of requests in flight beyond which
throughput stops growing.
"""

from collections.abc import Iterable
import dataclasses
import datetime
import math
from typing import Final

INITIAL_LIMIT: Final = 48.0
BUCKET_RATIO: Final = 1.2
MIN_BUCKET_SAMPLES: Final = 4
MAX_BUCKET_SAMPLES: Final = 40
BUCKET_EXPIRY: Final = datetime.timedelta(minutes=10)
GROWTH: Final = 1.5
HEADROOM: Final = 1.1
SATURATED_RATIO: Final = 1.15
FULL_SHARE: Final = 0.9
KNEE_REDUCTION: Final = 0.8
PACE_GAIN: Final = 0.1
NOISE_RATIO: Final = 0.25
TRUST_DECAY_SECONDS: Final = 20.0


@dataclasses.dataclass
class Bucket:
    """Samples observed at about the same number of requests in flight.

    Attributes:
        in_flight: mean of the requests in flight.
        pace: mean seconds per unit of work.
        samples: how many samples count, up to MAX_BUCKET_SAMPLES.
        updated: time of the newest sample.
    """

    in_flight: float
    pace: float
    samples: int
    updated: datetime.datetime

    @property
    def throughput(self) -> float:
        """Units of work a second over all requests in flight."""
        return self.in_flight / self.pace

    def add(
        self, in_flight: float, pace: float, now: datetime.datetime
    ) -> None:
        """Add one sample to the means."""
        self.samples = min(self.samples + 1, MAX_BUCKET_SAMPLES)
        self.in_flight += (in_flight - self.in_flight) / self.samples
        self.pace += (pace - self.pace) / self.samples
        self.updated = now


class LimitLearner:
    """Learns speed and knee of one upstream from ended attempts.

    The knee is the number of requests in flight at which throughput reaches
    its maximum. Below it a unit of work takes a constant time; above it the
    time grows in proportion to the requests in flight, so throughput stays
    constant. By Little's law the knee is the maximum throughput times the
    constant time. Samples are averaged per number of requests in flight, so a
    single slow answer has little effect.

    Attributes:
        knee: requests in flight that give the greatest throughput observed;
            0 until there are enough samples.
        limit: concurrency limit; INITIAL_LIMIT until a knee is known.
        pace: recent seconds per unit of work up to the knee; 0 is unknown.
        updated: time of the newest sample.
    """

    def __init__(self) -> None:
        self.buckets: dict[int, Bucket] = {}
        self.knee = 0.0
        self.limit = INITIAL_LIMIT
        self.pace = 0.0
        self.updated: datetime.datetime | None = None

    def add(
        self, in_flight: float, pace: float, now: datetime.datetime
    ) -> None:
        """Add a sample: `pace` seconds per unit with `in_flight` requests."""
        assert pace > 0, f"pace must be above 0, not {pace}"
        in_flight = max(1.0, in_flight)
        index = round(math.log(in_flight, BUCKET_RATIO))
        bucket = self.buckets.get(index)
        if bucket is None:
            self.buckets[index] = Bucket(in_flight, pace, 1, now)
        else:
            bucket.add(in_flight, pace, now)
        self._update_limit(now)
        self._update_pace(in_flight, pace)
        self.updated = now

    def _update_limit(self, now: datetime.datetime) -> None:
        """Derive knee and limit from the buckets with enough samples."""
        self.buckets = {
            index: bucket
            for index, bucket in self.buckets.items()
            if now - bucket.updated < BUCKET_EXPIRY
        }
        sampled = [
            bucket
            for bucket in self.buckets.values()
            if bucket.samples >= MIN_BUCKET_SAMPLES
        ]
        if not sampled:
            return
        base = _read_base(sampled)
        fullest = max(sampled, key=lambda bucket: bucket.in_flight)
        if fullest.pace < base * SATURATED_RATIO:
            # The knee has not been reached, so it may be anywhere above.
            self.limit = max(self.limit, GROWTH * fullest.in_flight)
            self.knee = self.limit
            return
        greatest = max(bucket.throughput for bucket in sampled)
        lowest = min(sampled, key=lambda bucket: bucket.in_flight)
        if lowest.throughput >= FULL_SHARE * greatest:
            # All samples lie above the knee, so lower the limit to find it.
            base *= KNEE_REDUCTION
        self.knee = base * greatest
        self.limit = max(1.0, HEADROOM * self.knee)

    def _update_pace(self, in_flight: float, pace: float) -> None:
        """Update the mean pace by the sample, scaled to below the knee."""
        level = pace / self._slowdown(in_flight)
        if not self.pace:
            self.pace = level
        self.pace += PACE_GAIN * (level - self.pace)

    def _slowdown(self, in_flight: float) -> float:
        return max(1.0, in_flight / self.knee) if self.knee else 1.0

    def predict_pace(
        self, in_flight: float, usual: float, now: datetime.datetime
    ) -> float:
        """Return the expected seconds per unit with `in_flight` requests.

        `usual` is the median pace of the upstreams of the service. Without new
        samples the learned pace decays towards it, so that an upstream that
        was slow is used again. A difference below NOISE_RATIO counts as noise.
        0 is returned if nothing is known.
        """
        if self.updated is None:
            return usual
        age = (now - self.updated).total_seconds()
        trust = math.exp(-max(0.0, age) / TRUST_DECAY_SECONDS)
        level = trust * self.pace + (1 - trust) * (usual or self.pace)
        if abs(level - usual) < NOISE_RATIO * usual:
            level = usual
        return level * self._slowdown(in_flight)


def _read_base(sampled: Iterable[Bucket]) -> float:
    """Return the mean pace of the buckets that seem to lie below the knee."""
    sampled = list(sampled)
    best = min(bucket.pace for bucket in sampled)
    flat = [
        bucket for bucket in sampled if bucket.pace < SATURATED_RATIO * best
    ]
    total = sum(bucket.pace * bucket.samples for bucket in flat)
    return total / sum(bucket.samples for bucket in flat)


def combine(own: float, peers: float) -> float:
    """Return the limit in force from this entry's and its peers' mean limit.

    0 means that none was learned.
    """
    if not own or not peers:
        return own or peers or INITIAL_LIMIT
    return (own + peers) / 2
