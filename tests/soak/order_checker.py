"""Checks that the holders of orders take turns as the users require."""

from collections.abc import Iterable
import itertools

import node_upstreams


def list_violations(
    upstreams: Iterable[node_upstreams.UpstreamStandin], lease_seconds: float
) -> list[str]:
    """Return where two holders sent orders to one upstream against the rule.

    The users' rule: no two holders with one fence, no lower fence after a
    higher one, no two holders within `lease_seconds`.
    """
    violations = []
    for upstream in upstreams:
        arrivals = zip(upstream.order_times, upstream.orders, strict=True)
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
