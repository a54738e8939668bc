"""Checks that nodes heed what upstreams state: limits, rests, leaving.

Also checks how often requests that crash upstreams reach them.
"""

import time
from typing import Final

from soak import node_checker

# A service's upstreams may fall over this often while they are brittle.
ALLOWED_FALLS: Final = 2
# After a rejection with a rest, requests that cross it are tolerated.
REST_GRACE_SECONDS: Final = 0.5
REST_SLACK: Final = 2

# In this time an upstream gets at most 1.5 times what its limit allows, and
# LIMIT_SLACK requests more.
LIMIT_WINDOW_SECONDS: Final = 4.0
LIMIT_SLACK: Final = 5
# From CONTACT_SECONDS after this crash on a part of prompts, at most
# FATAL_PART_SLACK more requests with it reach upstreams.
FATAL_PART_CRASHES: Final = 5
FATAL_PART_SLACK: Final = 3


def check_limit(
    checker: node_checker.GuaranteeChecker,
    upstream: str,
    rate: float,
    began: float,
    calls: list[float],
) -> None:
    """Check the calls to an upstream that has named a limit.

    Args:
        checker: records the calls, runs and faults.
        upstream: name of the upstream.
        rate: the limit, in requests per second.
        began: when it was named first.
        calls: when the upstream got calls.
    """
    late = [
        time for time in calls if time >= began + node_checker.CONTACT_SECONDS
    ]
    for first in late:
        end = first + LIMIT_WINDOW_SECONDS
        count = sum(first <= time < end for time in late)
        allowed = 1.5 * rate * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        if count > allowed and not checker.is_disturbed(
            node_checker.SOAK_PROCESS, began, end
        ):
            checker.results.record_violation(
                "named limits are kept",
                f"{upstream}: {count} calls in {LIMIT_WINDOW_SECONDS} s at"
                f" {rate} a second, {first - began:.3f} s after its naming",
            )
            return


def check_falls(
    checker: node_checker.GuaranteeChecker, name: str, falls: int
) -> None:
    """Check how often a brittle upstream fell over.

    The users' rule: at most 2 times and a tenth of the upstreams.
    """
    checker.results.counts["brittle_falls"] += falls
    if falls > ALLOWED_FALLS:
        checker.results.record_violation(
            "brittle upstreams keep up", f"{name} fell {falls} times"
        )


def check_rest(
    checker: node_checker.GuaranteeChecker,
    name: str,
    rest: float,
    began: float,
    arrivals: list[tuple[float, str]],
) -> None:
    """Check that nodes gave an upstream the rest that it asked for.

    The users' rule: after `REST_GRACE_SECONDS`, at most `REST_SLACK`
    requests of the node that was rejected.
    """
    nodes = {
        call.node
        for _, request_id in arrivals
        if (call := checker.calls.get(request_id)) is not None
    }
    for node in nodes - _list_excused(checker, began):
        own = [
            at
            for at, request_id in arrivals
            if request_id in checker.calls
            and checker.calls[request_id].node == node
        ]
        for first in own:
            late = [
                at
                for at in own
                if first + REST_GRACE_SECONDS < at < first + rest
            ]
            if len(late) > REST_SLACK:
                checker.results.record_violation(
                    "upstreams get their rest",
                    f"{name}: {len(late)} requests of {node} in {rest} s",
                )
                break
    checker.results.counts["checked_rests"] += 1


def check_leaving(
    checker: node_checker.GuaranteeChecker,
    name: str,
    arrivals: list[tuple[float, str]],
) -> None:
    """Check that an upstream that says it leaves gets no new requests."""
    if not arrivals:
        return
    first = arrivals[0][0]
    late = [
        request_id
        for _, request_id in arrivals
        if (call := checker.calls.get(request_id)) is not None
        and call.node not in _list_excused(checker, first)
        and call.began
        > first + node_checker.DRAIN_SECONDS + node_checker.ANSWER_SLACK_SECONDS
    ]
    if late:
        checker.results.record_violation(
            "leaving upstreams get nothing new", f"{name}: {late}"
        )
    checker.results.counts["checked_leavings"] += 1


def check_fatal_part(
    checker: node_checker.GuaranteeChecker,
    crashes: list[float],
    arrivals: list[tuple[float, str]],
) -> None:
    """Check the requests with a part that crashes upstreams.

    Args:
        checker: records the calls, runs and faults.
        crashes: when upstreams crashed on it, in order.
        arrivals: when such requests reached an upstream, with their ids.
    """
    checker.results.counts["crashes_by_part"] += len(crashes)
    if len(crashes) < FATAL_PART_CRASHES:
        return
    begin = crashes[FATAL_PART_CRASHES - 1] + node_checker.CONTACT_SECONDS
    late = [
        (at, request_id)
        for at, request_id in arrivals
        if at > begin
        and not any(
            checker.is_disturbed(
                target, begin, at, node_checker.CONTACT_SECONDS
            )
            for target in (node_checker.STORE, checker.calls[request_id].node)
        )
        and not any(
            stop.node == checker.calls[request_id].node
            and at - node_checker.CONTACT_SECONDS <= stop.ended
            for stop in checker.stops
        )
    ]
    if len(late) > FATAL_PART_SLACK:
        checker.results.record_violation(
            "parts that crash upstreams stop reaching them",
            f"{len(late)} requests after {len(crashes)} crashes: {late}",
        )


def _list_excused(
    checker: node_checker.GuaranteeChecker, begin: float
) -> set[str]:
    """Return the nodes that a fault or stop since `begin` excuses.

    Where links are cut, requests come from other nodes than their callers
    chose.
    """
    disturbed = checker.list_disturbed(time.monotonic() - begin)
    if any(
        each.kind == "cut" and each.target in disturbed
        for each in checker.disturbances
    ):
        return {call.node for call in checker.calls.values()}
    return disturbed
