"""Routing policies: which upstream gets a request."""

from collections.abc import Callable, Mapping, Sequence
import dataclasses
import itertools
import random
from typing import Final, Protocol

from cicadahook.core import request as request_lib
from cicadahook.core import view as view_lib


@dataclasses.dataclass(frozen=True)
class RoutingMode:
    """Settings of the routing policies.

    Attributes:
        policy: name of a registered policy.
        zone: availability zone of this entry.
        seed: seeds the policy's random choices.
    """

    policy: str = "least_in_flight"
    zone: str = ""
    seed: int = 0


class Policy(Protocol):
    """Chooses among upstreams that can all serve the request."""

    def choose(
        self,
        request: request_lib.Request,
        candidates: Sequence[view_lib.Upstream],
        in_flight: Mapping[str, int],
    ) -> view_lib.Upstream:
        """Return one of `candidates`, which is never empty.

        `in_flight` counts the requests known to be in flight by address.
        """


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


@register("round_robin")
class RoundRobin:
    """Takes the candidates in turn."""

    def __init__(self, mode: RoutingMode) -> None:
        del mode
        self.counter = itertools.count()

    def choose(
        self,
        request: request_lib.Request,
        candidates: Sequence[view_lib.Upstream],
        in_flight: Mapping[str, int],
    ) -> view_lib.Upstream:
        """Return the next candidate in turn."""
        del request, in_flight
        return candidates[next(self.counter) % len(candidates)]


@register("random")
class Random:
    """Takes any candidate with the same probability."""

    def __init__(self, mode: RoutingMode) -> None:
        self.random = random.Random(mode.seed)

    def choose(
        self,
        request: request_lib.Request,
        candidates: Sequence[view_lib.Upstream],
        in_flight: Mapping[str, int],
    ) -> view_lib.Upstream:
        """Return a candidate drawn at random."""
        del request, in_flight
        return self.random.choice(candidates)


@register("least_in_flight")
class LeastInFlight:
    """Takes the candidate with the fewest requests in flight."""

    def __init__(self, mode: RoutingMode) -> None:
        self.random = random.Random(mode.seed)

    def choose(
        self,
        request: request_lib.Request,
        candidates: Sequence[view_lib.Upstream],
        in_flight: Mapping[str, int],
    ) -> view_lib.Upstream:
        """Return the least loaded candidate; ties are drawn at random."""
        del request
        return min(
            candidates,
            key=lambda upstream: (
                in_flight.get(upstream.address, 0),
                self.random.random(),
            ),
        )
