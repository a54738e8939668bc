"""Checks that the holders of orders take turns as the users require."""

from collections.abc import Callable, Iterable
import itertools
from typing import Final

import node_upstreams
from soak import node_system

# Orders that arrive so soon after their sender was thawed or a link healed do
# not count.
THAW_SECONDS: Final = 0.3


def list_violations(
    upstreams: Iterable[node_upstreams.UpstreamStandin],
    lease_seconds: float,
    is_excused: Callable[[str, float], bool] = lambda holder, time: False,
) -> list[str]:
    """Return where two holders sent orders to one upstream against the rule.

    The users' rule: no two holders with one fence, no lower fence after a
    higher one, no two holders within `lease_seconds`.

    Args:
        upstreams: the upstreams.
        lease_seconds: minimum time between orders of two holders.
        is_excused: returns whether an order does not count, by its sender and
            its time.
    """
    violations = []
    for upstream in upstreams:
        arrivals = [
            (time, order)
            for time, order in zip(
                upstream.order_times, upstream.orders, strict=True
            )
            if not is_excused(order["holder"], time)
        ]
        for (began, earlier), (ended, later) in itertools.pairwise(arrivals):
            fences = earlier["fencing_token"], later["fencing_token"]
            is_turn = earlier["holder"] != later["holder"]
            is_early = is_turn and ended - began < lease_seconds
            is_shared = is_turn and fences[0] == fences[1]
            if fences[1] < fences[0] or is_early or is_shared:
                violations.append(
                    f"{upstream.id}: {later['holder']} with {fences[1]},"
                    f" {ended - began:.3f} s after {earlier['holder']} with"
                    f" {fences[0]}"
                )
    return violations


def check(system: node_system.System) -> None:
    """Record where holders did not take turns in a run."""
    checker = system.checker
    for detail in list_violations(
        system.upstreams.values(),
        system.nodes[0].lease_ms / 1000,
        lambda holder, time: checker.is_disturbed(
            holder, time, time, THAW_SECONDS
        ),
    ):
        checker.results.record_violation("holders take turns", detail)
    checker.results.counts["orders"] = sum(
        len(upstream.orders) for upstream in system.upstreams.values()
    )
