"""Seeded synthetic traffic of deployments, for load tests and experiments."""

from collections.abc import Callable, Iterator, Sequence
import dataclasses
import datetime
import enum
import math
import random
from typing import Final

from cicadahook.core import errors
from cicadahook.core import request as request_lib

PROMPT_GROUPS: Final = 8
PROMPT_WORDS: Final = 40


class UnknownMixError(errors.CicadaError):
    """No traffic mix has the given name."""


class CallKind(enum.StrEnum):
    """Kind of a call."""

    COMPLETION = "completion"
    BOOKING = "booking"


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficClass:
    """Requests of one kind.

    Attributes:
        name: name of the class in the results.
        share: share of all requests, relative to the other classes.
        kind: kind of the calls.
        priority: priority of the requests.
        deadline: time after which the answer is useless.
        tokens: minimum and maximum number of tokens of an answer.
        resend_share: share of the requests that are sent again with the same
            key although they were answered.
    """

    name: str
    share: float
    kind: CallKind
    priority: request_lib.Priority
    deadline: datetime.timedelta
    tokens: tuple[int, int] = (0, 0)
    resend_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class BurstMode:
    """Bursts of arrivals, which do not change the mean rate.

    Attributes:
        factor: rate within a burst relative to the mean rate.
        length: mean length of a burst.
        share: share of time covered by bursts; factor * share is below 1.
    """

    factor: float = 3.0
    length: datetime.timedelta = datetime.timedelta(seconds=2)
    share: float = 0.1

    def __post_init__(self) -> None:
        if not 0 <= self.factor * self.share < 1:
            raise errors.SettingsError(
                f"bursts: factor * share must be below 1, not"
                f" {self.factor} * {self.share}"
            )


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """Traffic mix of one deployment.

    Attributes:
        classes: classes of requests.
        row_skew: exponent of the Zipf distribution of rows; 0 is uniform.
        bursts: settings of the bursts.
    """

    classes: tuple[TrafficClass, ...]
    row_skew: float = 1.0
    bursts: BurstMode = BurstMode()


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request to send.

    Attributes:
        number: sequence number, from 0.
        at: time after the start.
        traffic: class of the request.
        row: name of the row that it addresses.
        prompt: text of a completion, or name of a booking.
        tokens: number of tokens of the answer.
        is_resent: whether it is sent again after its answer.
    """

    number: int
    at: datetime.timedelta
    traffic: TrafficClass
    row: str
    prompt: str
    tokens: int
    is_resent: bool


MIXES: Final[dict[str, Callable[[], Mix]]] = {}


def register_mix(create: Callable[[], Mix]) -> Callable[[], Mix]:
    """Register the traffic mix that `create` returns, under its name."""
    MIXES[create.__name__] = create
    return create


def create_mix(name: str) -> Mix:
    """Return the traffic mix registered as `name`.

    Raises:
        UnknownMixError: no such mix is registered.
    """
    if name not in MIXES:
        allowed = ", ".join(sorted(MIXES))
        raise UnknownMixError(f"mix: {name!r} must be one of {allowed}")
    return MIXES[name]()


@register_mix
def biobio() -> Mix:
    """Return interactive findings, background aisle reviews, and bookings."""
    return Mix(
        (
            TrafficClass(
                "finding",
                0.6,
                CallKind.COMPLETION,
                request_lib.Priority.INTERACTIVE,
                datetime.timedelta(seconds=2),
                (16, 64),
            ),
            TrafficClass(
                "aisle_review",
                0.3,
                CallKind.COMPLETION,
                request_lib.Priority.BACKGROUND,
                datetime.timedelta(seconds=30),
                (64, 192),
            ),
            TrafficClass(
                "booking",
                0.1,
                CallKind.BOOKING,
                request_lib.Priority.INTERACTIVE,
                datetime.timedelta(seconds=5),
                resend_share=0.2,
            ),
        )
    )


@register_mix
def aarwil() -> Mix:
    """Return counter replies, letters, long background notices, and orders."""
    return Mix(
        (
            TrafficClass(
                "counter_reply",
                0.5,
                CallKind.COMPLETION,
                request_lib.Priority.INTERACTIVE,
                datetime.timedelta(seconds=1.5),
                (8, 48),
            ),
            TrafficClass(
                "letter",
                0.25,
                CallKind.COMPLETION,
                request_lib.Priority.NORMAL,
                datetime.timedelta(seconds=10),
                (48, 160),
            ),
            TrafficClass(
                "long_notice",
                0.15,
                CallKind.COMPLETION,
                request_lib.Priority.BACKGROUND,
                datetime.timedelta(seconds=60),
                (160, 400),
            ),
            TrafficClass(
                "publish_order",
                0.1,
                CallKind.BOOKING,
                request_lib.Priority.INTERACTIVE,
                datetime.timedelta(seconds=5),
                resend_share=0.2,
            ),
        ),
        row_skew=0.8,
        bursts=BurstMode(factor=4.0, share=0.15),
    )


def generate(
    mix: Mix,
    rows: Sequence[str],
    rate: float,
    length: datetime.timedelta,
    rng: random.Random,
) -> Iterator[Arrival]:
    """Yield the arrivals within `length` in order of time.

    Args:
        mix: traffic mix.
        rows: names of the models and adapters, the most popular first.
        rate: mean number of requests per second.
        length: time span of the arrivals.
        rng: only source of randomness, so that a seed repeats the arrivals.
    """
    shares = [traffic.share for traffic in mix.classes]
    popularity = [(rank + 1) ** -mix.row_skew for rank in range(len(rows))]
    seconds = length.total_seconds()
    for number, at_seconds in enumerate(
        _generate_times(mix.bursts, rate, seconds, rng)
    ):
        (traffic,) = rng.choices(mix.classes, shares)
        (row,) = rng.choices(rows, popularity)
        yield Arrival(
            number=number,
            at=datetime.timedelta(seconds=at_seconds),
            traffic=traffic,
            row=row,
            prompt=_create_prompt(traffic.kind, row, number, rng),
            tokens=rng.randint(*traffic.tokens),
            is_resent=rng.random() < traffic.resend_share,
        )


def _generate_times(
    bursts: BurstMode, rate: float, seconds: float, rng: random.Random
) -> Iterator[float]:
    """Yield times of a Poisson process with bursts, in seconds.

    Bursts and the times between them have exponential lengths.
    """
    calm_factor = (1 - bursts.factor * bursts.share) / (1 - bursts.share)
    burst_seconds = bursts.length.total_seconds()
    calm_seconds = math.inf
    if bursts.share:
        calm_seconds = burst_seconds * (1 - bursts.share) / bursts.share
    at_seconds, is_burst = 0.0, False
    while at_seconds < seconds:
        mean = burst_seconds if is_burst else calm_seconds
        stay = rng.expovariate(1 / mean) if math.isfinite(mean) else seconds
        end = min(seconds, at_seconds + stay)
        factor = bursts.factor if is_burst else calm_factor
        yield from _generate_steady(at_seconds, end, rate * factor, rng)
        at_seconds, is_burst = end, not is_burst


def _generate_steady(
    start: float, end: float, rate: float, rng: random.Random
) -> Iterator[float]:
    """Yield times of a Poisson process with a constant rate, in seconds."""
    at_seconds = start
    while rate > 0:
        at_seconds += rng.expovariate(rate)
        if at_seconds >= end:
            return
        yield at_seconds


def _create_prompt(
    kind: CallKind, row: str, number: int, rng: random.Random
) -> str:
    """Return a prompt with the prefix of its group, or a booking's name."""
    if kind is CallKind.BOOKING:
        return f"{row}-{number}-{rng.getrandbits(32):08x}"
    group = rng.randrange(PROMPT_GROUPS)
    prefix = " ".join(f"{row}-{group}" for _ in range(PROMPT_WORDS))
    return f"{prefix} request {number}"
