"""Routing policies: which upstream gets a request."""

from collections.abc import Callable, Sequence
import dataclasses
import itertools
import random
from typing import Final, Protocol

from cicadahook.core import request as request_lib
from cicadahook.core import view as view_lib

WAIT_RATIO: Final = 0.7
CHANCE_STEPS: Final = 5
PREFIX_SAVING: Final = 0.1
OTHER_ZONE_COST: Final = 0.02
FILL_COST: Final = 1.0


@dataclasses.dataclass(frozen=True)
class RoutingMode:
    """Settings of the routing policies.

    Attributes:
        policy: name of a registered policy.
        zone: availability zone of this entry.
        seed: seeds the policy's random choices.
    """

    policy: str = "deadline"
    zone: str = ""
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What is known of an upstream at the moment of a choice.

    Attributes:
        upstream: the upstream.
        in_flight: requests in flight there from all entries, an estimate.
        limit: concurrency limit in force.
        has_room: whether this entry may send one more now.
        seconds: expected time of the request there; 0 is unknown.
        chance: probability that it ends within its deadline there.
        affinity: probability that its prefix is cached there.
    """

    upstream: view_lib.Upstream
    in_flight: float = 0.0
    limit: float = 1.0
    has_room: bool = True
    seconds: float = 0.0
    chance: float = 1.0
    affinity: float = 0.0


class Policy(Protocol):
    """Chooses among upstreams that can all serve the request."""

    def choose(
        self, request: request_lib.Request, loads: Sequence[Load]
    ) -> Load | None:
        """Return one of `loads` with room, or None to wait."""


PolicyFactory = Callable[[RoutingMode], Policy]
POLICIES: Final[dict[str, PolicyFactory]] = {}


def register(name: str) -> Callable[[PolicyFactory], PolicyFactory]:
    """Return a decorator that registers a policy under `name`."""

    def add(factory: PolicyFactory) -> PolicyFactory:
        POLICIES[name] = factory
        return factory

    return add


def create_policy(mode: RoutingMode) -> Policy:
    """Return a new policy as `mode` asks for."""
    return POLICIES[mode.policy](mode)


def _with_room(loads: Sequence[Load]) -> list[Load]:
    return [load for load in loads if load.has_room]


@register("round_robin")
class RoundRobin:
    """Takes the upstreams in turn."""

    def __init__(self, mode: RoutingMode) -> None:
        del mode
        self.counter = itertools.count()

    def choose(
        self, request: request_lib.Request, loads: Sequence[Load]
    ) -> Load | None:
        """Return the next one in turn."""
        del request
        free = _with_room(loads)
        return free[next(self.counter) % len(free)] if free else None


@register("random")
class Random:
    """Takes any upstream with the same probability."""

    def __init__(self, mode: RoutingMode) -> None:
        self.random = random.Random(mode.seed)

    def choose(
        self, request: request_lib.Request, loads: Sequence[Load]
    ) -> Load | None:
        """Return one drawn at random."""
        del request
        free = _with_room(loads)
        return self.random.choice(free) if free else None


@register("least_in_flight")
class LeastInFlight:
    """Takes the upstream with the fewest requests in flight."""

    def __init__(self, mode: RoutingMode) -> None:
        self.random = random.Random(mode.seed)

    def choose(
        self, request: request_lib.Request, loads: Sequence[Load]
    ) -> Load | None:
        """Return the least loaded one; ties are drawn at random."""
        del request
        return min(
            _with_room(loads),
            key=lambda load: (load.in_flight, self.random.random()),
            default=None,
        )


@register("power_of_two")
class PowerOfTwo:
    """Draws two upstreams and takes the one with fewer in flight."""

    def __init__(self, mode: RoutingMode) -> None:
        self.random = random.Random(mode.seed)

    def choose(
        self, request: request_lib.Request, loads: Sequence[Load]
    ) -> Load | None:
        """Return the less loaded one of two drawn at random."""
        del request
        free = _with_room(loads)
        if not free:
            return None
        drawn = self.random.sample(free, min(2, len(free)))
        return min(drawn, key=lambda load: load.in_flight)


@register("deadline")
class Deadline:
    """Takes the upstream with the best chance to finish in time.

    Chances are compared in coarse steps, so that where several are as good the
    cheaper place wins: shorter expected time, emptier, probably holding the
    prefix, in this zone. A request waits rather than go where its chance is
    much worse than on an upstream that is full at the moment.
    """

    def __init__(self, mode: RoutingMode) -> None:
        self.zone = mode.zone
        self.random = random.Random(mode.seed)

    def choose(
        self, request: request_lib.Request, loads: Sequence[Load]
    ) -> Load | None:
        """Return the best one, or None if waiting is better."""
        del request
        free = _with_room(loads)
        if not free:
            return None
        floor = WAIT_RATIO * max(load.chance for load in loads)
        best = min(free, key=self._rank)
        return best if best.chance >= floor else None

    def _rank(self, load: Load) -> tuple[int, float, float]:
        cost = load.seconds or 1.0
        cost *= 1 + FILL_COST * load.in_flight / load.limit
        cost *= 1 - PREFIX_SAVING * load.affinity
        if load.upstream.zone != self.zone:
            cost *= 1 + OTHER_ZONE_COST
        return -round(CHANCE_STEPS * load.chance), cost, self.random.random()
