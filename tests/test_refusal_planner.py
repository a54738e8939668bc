"""Tests that refused callers are not told to return at the same moment."""

import random
import types
from typing import Any

import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.net import refusal_planner

CALLERS = 50


@pytest.fixture(name="planner")
def create_planner(
    clock: clock_lib.ManualClock,
) -> refusal_planner.RefusalPlanner:
    """Return a planner of a node that knows no upstream."""
    components: Any = types.SimpleNamespace(
        generator=random.Random(1), statements=None, clock=clock
    )
    drain: Any = types.SimpleNamespace(plan=None)
    return refusal_planner.RefusalPlanner(components, drain)


@pytest.mark.parametrize("code", ["no_upstream", "sends_exhausted"])
def test_each_refused_caller_has_a_time_of_its_own(
    planner: refusal_planner.RefusalPlanner, code: str
) -> None:
    active: Any = types.SimpleNamespace(possible_runs=0)
    pauses = []
    for _ in range(CALLERS):
        if code == "no_upstream":
            refusal = planner.plan_no_upstream(active, [])
        else:
            refusal = planner.plan_give_up(active, code)
        assert (refusal.code, refusal.status) == (code, 503)
        assert refusal.retry_after is not None
        pauses.append(refusal.retry_after / refusal_planner.RETRY_AFTER)
    assert len(set(pauses)) == CALLERS
    assert 0.7 <= min(pauses) < 0.8 and 1.2 < max(pauses) <= 1.3


def test_a_request_that_may_have_run_gets_no_time_to_return(
    planner: refusal_planner.RefusalPlanner,
) -> None:
    active: Any = types.SimpleNamespace(possible_runs=1)
    for refusal in (
        planner.plan_no_upstream(active, []),
        planner.plan_give_up(active, "sends_exhausted"),
    ):
        assert (refusal.status, refusal.retry_after) == (502, None)
