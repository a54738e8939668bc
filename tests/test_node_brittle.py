"""Tests that brittle upstreams are not made to fail by rejections."""

import asyncio

import pytest

import brittle_state
import node_testbed
import node_upstreams
import test_node_limits

# The users' rule: while its upstreams are brittle, a service has at most 2
# falls and a tenth of the number of its upstreams.
ALLOWED_FALLS = 2
ALLOWED_FALLS_SHARE = 0.1
CONTACT_SECONDS = 3.0
SECONDS = 11.0
BOUND = 8.0
SLOTS = 3
RUN_SECONDS = 0.1
RESTART_SECONDS = 2.5
LONG_QUEUE, SHORT_QUEUE = 12, 2


def make_brittle(upstream: node_upstreams.UpstreamStandin) -> None:
    """Let an upstream be brittle, with a long queue."""
    upstream.brittle = brittle_state.BrittleState(
        BOUND, SLOTS, LONG_QUEUE, RUN_SECONDS
    )
    upstream.crash_state.restart_seconds = RESTART_SECONDS


@pytest.mark.parametrize("per_second", [50, 90, 150])
async def test_brittle_upstreams_do_not_fall_over_under_overload(
    testbed: node_testbed.NodeTestbed, per_second: int
) -> None:
    for upstream in testbed.plain:
        make_brittle(upstream)
        testbed.register(upstream)
    sending = asyncio.create_task(
        test_node_limits.send(testbed, SECONDS, per_second, "/write/item")
    )
    await asyncio.sleep(CONTACT_SECONDS)
    for upstream in testbed.plain:
        assert upstream.brittle is not None
        upstream.brittle.queue = SHORT_QUEUE
    answers = await sending
    falls = sum(len(each.crash_state.times) for each in testbed.plain)
    served = sum(status == 200 for status, _ in answers)
    room = len(testbed.plain) * SLOTS / RUN_SECONDS * SECONDS
    allowed = ALLOWED_FALLS + ALLOWED_FALLS_SHARE * len(testbed.plain)
    assert falls <= allowed, f"{served} of {len(answers)} served"
    assert served >= min(len(answers), room) / 2
    assert {status for status, _ in answers} <= {200, 503, 504}
