"""Routing policies, by which an entry chooses the upstream of a request."""

from collections.abc import Callable, Sequence
import dataclasses
import itertools
import random
from typing import Final, Protocol

from cicadahook.core import request as request_lib
from cicadahook.core import view as view_lib

WAIT_RATIO: Final = 0.7
CHANCE_STEPS: Final = 5
PREFIX_SAVING: Final = 0.02
OTHER_ZONE_SECONDS: Final = 0.001
UTILISATION_COST: Final = 1.0


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
    """Estimated load of an upstream when a policy chooses.

    Attributes:
        upstream: the upstream.
        in_flight: requests in flight there from all entries, an estimate.
        limit: concurrency limit in force.
        has_room: whether this entry may send one more now.
        seconds: expected duration of the request there; 0 is unknown.
        chance: probability that the request ends by its deadline there.
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
    """Return a new policy of the kind that `mode` names."""
    return POLICIES[mode.policy](mode)


def _with_room(loads: Sequence[Load]) -> list[Load]:
    return [load for load in loads if load.has_room]


@register("round_robin")
class RoundRobin:
    """Chooses the upstreams in turn."""

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
    """Chooses any upstream with the same probability."""

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
    """Chooses the upstream with the fewest requests in flight."""

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
    """Draws two upstreams and chooses the one with fewer in flight."""

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
    """Chooses the upstream with the best chance to end by the deadline.

    Chances are compared in coarse steps. Among upstreams with equal chances
    the cheapest is chosen: a shorter expected time, a lower load, a prefix
    that is probably cached and the zone of this entry lower the cost. A
    request waits if its chance at each upstream with room is much lower than
    at one that is full now.
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
        if load.upstream.zone != self.zone:
            cost += OTHER_ZONE_SECONDS
        cost *= 1 + UTILISATION_COST * load.in_flight / load.limit
        cost *= 1 - PREFIX_SAVING * load.affinity
        return -round(CHANCE_STEPS * load.chance), cost, self.random.random()
