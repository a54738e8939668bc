"""Learned limits, row quotas, affinity and the routing policies."""

from collections.abc import Callable
import datetime
import random

import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import concurrency_limits
from cicadahook.core import limit_shares
from cicadahook.core import prefix_affinity
from cicadahook.core import request as request_lib
from cicadahook.core import routing
from cicadahook.core import row_quotas
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib
from cicadahook.core import work_estimates

SECOND = datetime.timedelta(seconds=1)


def create_engine(knee: int, base: float) -> Callable[[float], float]:
    """Return the pace of an engine by its requests in flight."""
    return lambda in_flight: base * max(1.0, in_flight / knee)


def teach(
    learner: concurrency_limits.LimitLearner,
    clock: clock_lib.ManualClock,
    pace_of: Callable[[float], float],
    samples: int,
    noise: float,
) -> None:
    """Run requests at up to the limit, with noisy paces."""
    generator = random.Random(1)
    for _ in range(samples):
        in_flight = generator.uniform(0.3, 1.0) * learner.limit
        factor = generator.lognormvariate(0, noise)
        clock.advance(datetime.timedelta(milliseconds=20))
        learner.add(in_flight, pace_of(in_flight) * factor, clock.now())


@pytest.mark.parametrize("knee", [4, 16, 80])
@pytest.mark.parametrize("noise", [0.0, 0.2])
def test_knee_is_found(
    clock: clock_lib.ManualClock, knee: int, noise: float
) -> None:
    learner = concurrency_limits.LimitLearner()
    teach(learner, clock, create_engine(knee, 0.006), 3000, noise)
    assert 0.95 * knee <= learner.limit <= 1.4 * knee


def test_limit_of_an_upstream_that_slowed_down_stays(
    clock: clock_lib.ManualClock,
) -> None:
    learner = concurrency_limits.LimitLearner()
    teach(learner, clock, create_engine(16, 0.006), 2000, 0.1)
    teach(learner, clock, create_engine(16, 0.024), 3000, 0.1)
    assert 10 <= learner.limit <= 24
    assert learner.predict_pace(1, 0.006, clock.now()) == pytest.approx(
        0.024, rel=0.3
    )
    clock.advance(60 * SECOND)
    assert learner.predict_pace(1, 0.006, clock.now()) < 0.008


@pytest.mark.parametrize(
    ("own", "peers", "combined"),
    [
        (0, 0, concurrency_limits.INITIAL_LIMIT),
        (10, 0, 10),
        (0, 20, 20),
        (10, 20, 15),
    ],
)
def test_limits_are_combined(own: float, peers: float, combined: float) -> None:
    assert concurrency_limits.combine(own, peers) == combined


@pytest.mark.parametrize("shares_of_load", [(1, 1, 1, 1), (6, 1, 1, 0)])
def test_row_rate_holds_over_all_entries(
    clock: clock_lib.ManualClock, shares_of_load: tuple[int, ...]
) -> None:
    row = table_lib.Row(
        "a", table_lib.RowKind.MODEL, memory_bytes=1, rate_per_second=20.0
    )
    table = table_lib.Table(1, (row,))
    entries = [row_quotas.Quotas() for _ in shares_of_load]
    admitted = 0
    for step in range(400):
        if step % 10 == 0:
            share_views(entries, table, clock)
        for entry, count in zip(entries, shares_of_load, strict=True):
            for _ in range(count):
                admitted += entry.admit(row, clock.now()) is None
        clock.advance(SECOND / 20)
    assert 0.85 * 400 <= admitted <= 1.15 * 400 + 20


def share_views(
    entries: list[row_quotas.Quotas],
    table: table_lib.Table,
    clock: clock_lib.ManualClock,
) -> None:
    """Send each entry the use of the others."""
    for rank, entry in enumerate(entries):
        others = [other for other in entries if other is not entry]
        load = view_lib.PeerRowLoad(
            "a",
            sum(other.in_flight("a") for other in others),
            sum(
                other.rows["a"].arrivals_per_second
                for other in others
                if "a" in other.rows
            ),
        )
        view = view_lib.View(table=table, peer_row_loads=(load,))
        entry.apply_view(
            view, limit_shares.Fleet(len(entries), rank), clock.now()
        )


def test_single_slot_of_a_row_goes_round_the_entries(
    clock: clock_lib.ManualClock,
) -> None:
    holders = []
    for _ in range(4):
        holders.append(
            [
                limit_shares.allow(
                    1,
                    limit_shares.Usage(),
                    limit_shares.Fleet(4, rank),
                    clock.now(),
                )
                for rank in range(4)
            ]
        )
        clock.advance(SECOND)
    assert all(sum(holder) == 1 for holder in holders)
    assert [sum(turns) for turns in zip(*holders, strict=True)] == [1] * 4


def test_prefix_is_remembered_and_fades(clock: clock_lib.ManualClock) -> None:
    memory = prefix_affinity.PrefixMemory()
    upstreams = ("u1", "u2", "u3")
    before = memory.rate("a", "prefix", upstreams, clock.now())
    assert sorted(before) == [0, 0, prefix_affinity.HOME_AFFINITY]
    memory.record("a", "prefix", "u2", clock.now())
    assert memory.rate("a", "prefix", upstreams, clock.now())[1] == 1
    clock.advance(1000 * SECOND)
    assert memory.rate("a", "prefix", upstreams, clock.now())[1] < 0.31
    for index in range(2 * prefix_affinity.MEMORY_PREFIXES):
        memory.record("a", str(index), "u1", clock.now())
    assert len(memory.sent) == prefix_affinity.MEMORY_PREFIXES


def test_chance_falls_with_the_time_left() -> None:
    work = work_estimates.WorkEstimate()
    assert work.chance(0.001, 1.0) == 1.0
    generator = random.Random(2)
    for _ in range(500):
        work.add(generator.lognormvariate(4, 0.5))
    chances = [work.chance(slack, 0.01) for slack in (0, 0.2, 0.55, 1.5)]
    assert chances[0] == 0
    assert chances == sorted(chances)
    assert chances[2] == pytest.approx(0.5, abs=0.15)
    assert chances[3] > 0.9


def create_load(name: str, **known: float) -> routing.Load:
    """Return the load of an upstream in zone z1."""
    upstream = view_lib.Upstream(name, "z1", view_lib.UpstreamKind.ENGINE)
    return routing.Load(upstream, **known)  # type: ignore[arg-type]


REQUEST = request_lib.Request(
    "1", "a", "/", clock_lib.EPOCH, clock_lib.EPOCH + SECOND
)


@pytest.mark.parametrize("policy", sorted(routing.POLICIES))
def test_policy_keeps_to_upstreams_with_room(policy: str) -> None:
    chooser = routing.create_policy(routing.RoutingMode(policy, "z1"))
    loads = [create_load("u1", has_room=False), create_load("u2", limit=9)]
    for _ in range(10):
        assert chooser.choose(REQUEST, loads) is loads[1]
    assert chooser.choose(REQUEST, loads[:1]) is None


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        ({"chance": 0.9}, {"chance": 0.4}),
        ({"seconds": 1.0}, {"seconds": 3.0}),
        ({"in_flight": 1.0, "limit": 16}, {"in_flight": 9.0, "limit": 16}),
        ({"affinity": 1.0}, {"affinity": 0.0}),
    ],
)
def test_deadline_policy_prefers(
    better: dict[str, float], worse: dict[str, float]
) -> None:
    chooser = routing.create_policy(routing.RoutingMode("deadline", "z1"))
    loads = [create_load("u1", **worse), create_load("u2", **better)]
    assert chooser.choose(REQUEST, loads) is loads[1]


def test_deadline_policy_waits_for_a_much_better_upstream() -> None:
    chooser = routing.create_policy(routing.RoutingMode("deadline", "z1"))
    slow = create_load("u1", chance=0.2)
    full = create_load("u2", chance=0.9, has_room=False)
    assert chooser.choose(REQUEST, [slow, full]) is None
