"""Tests of the order in which models that no engine holds are loaded."""

from collections.abc import Collection, Sequence
import datetime
import random
from typing import Final

import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import engine_ledger
from cicadahook.core import inventory
from cicadahook.core import load_planning
from cicadahook.core import load_queue
from cicadahook.core import routes

NOW = clock_lib.EPOCH
SECOND = datetime.timedelta(seconds=1)
MODELS = {
    name: routes.Model(name, 40.0, 1.0, frozenset(), 3 * SECOND, SECOND, SECOND)
    for name in ("busy", "warm", "rare", *(f"rare{n}" for n in range(40)))
}
POOL = routes.EnginePool(MODELS, 80.0, 4, 8, 3.0)


def create_state(
    demand: dict[str, float],
    now: datetime.datetime = NOW,
    busy: int = 0,
    engines: int = 1,
    held: Sequence[Collection[str]] = (),
) -> load_planning.ServiceState:
    """Return engines with the models that they hold; the first are busy."""
    ledgers = []
    for number in range(engines):
        entry = inventory.Instance(
            id=f"e{number}",
            service="chat",
            address="a:1",
            zone="z",
            slots=8,
            is_leaving=False,
        )
        ledger = engine_ledger.EngineLedger(entry, POOL)
        ledger.planned = "other" if number < busy else ""
        for name in held[number] if held else ():
            ledger.copies[name] = engine_ledger.ModelCopy(
                MODELS[name], engine_ledger.CopyState.READY, now
            )
        ledgers.append(ledger)
    return load_planning.ServiceState(tuple(ledgers), demand, {}, True, now)


def test_the_model_with_most_demand_is_loaded_first() -> None:
    queue = load_queue.LoadQueue()
    state = create_state({"busy": 0.4, "rare": 0.01})
    assert queue.is_due("busy", {"busy", "rare"}, state)
    assert not queue.is_due("rare", {"busy", "rare"}, state)


def test_as_many_models_are_due_as_engines_are_free() -> None:
    queue = load_queue.LoadQueue()
    waiting = {"busy", "warm", "rare"}
    demand = {"busy": 0.4, "warm": 0.1, "rare": 0.01}
    state = create_state(demand, engines=4, busy=2)
    due = {name for name in waiting if queue.is_due(name, waiting, state)}
    assert due == {"busy", "warm"}


def test_a_model_that_waits_long_comes_before_a_busy_one() -> None:
    queue = load_queue.LoadQueue()
    waiting = {"busy", "rare"}
    demand = {"busy": 0.4}
    queue.is_due("rare", {"rare"}, create_state(demand))
    for second in range(1, 9):
        now = NOW + second * SECOND
        queue.is_due("rare", {"rare"}, create_state(demand, now))
    later = create_state(demand, NOW + 9 * SECOND)
    assert queue.is_due("rare", waiting, later)


def test_a_model_that_nothing_waited_for_begins_anew() -> None:
    queue = load_queue.LoadQueue()
    queue.is_due("rare", {"rare"}, create_state({}))
    later = NOW + load_queue.IDLE_PERIOD
    queue.is_due("busy", {"busy"}, create_state({}, later))
    assert "rare" not in queue.began


def test_a_model_that_was_loaded_begins_anew() -> None:
    queue = load_queue.LoadQueue()
    queue.is_due("rare", {"rare"}, create_state({}))
    state = create_state({})
    state.ledgers[0].planned = "rare"
    queue.is_due("rare", {"rare"}, state)
    assert "rare" not in queue.began


def test_limits_begin_anew_where_the_rate_changes() -> None:
    limits = load_queue.LoadLimits(5 * SECOND)
    first = limits.get("chat", POOL, None)
    assert first.limit == 15
    assert limits.get("chat", POOL, NOW) is first
    slower = routes.EnginePool(MODELS, 80.0, 4, 8, 1.0)
    changed = limits.get("chat", slower, NOW)
    assert changed.limit == 5
    # What an earlier holder may have begun counts.
    assert len(changed.started) == 5 - load_planning.SPARE_LOADS


# The load that the rest answers: two busy models lose their engines while
# requests for many rare ones keep asking for loads too.
ENGINES: Final = 3
LOAD_SECONDS: Final = 3.5
SECONDS: Final = 30
STEP_SECONDS: Final = 0.15


def play(seed: int, *, is_ranked: bool) -> tuple[float, int]:
    """Play loads of models that are evicted again by the next ones.

    Returns:
        Requests that met a copy, by demand and second, and the number of rare
        models that were never loaded.
    """
    generator = random.Random(seed)
    queue = load_queue.LoadQueue()
    rare = [name for name in MODELS if name.startswith("rare")][:12]
    demand = {"busy": 0.4, "warm": 0.4} | {name: 0.01 for name in rare}
    ends = [0.0] * ENGINES
    held: list[set[str]] = [set() for _ in range(ENGINES)]
    loaded: set[str] = set()
    served = 0.0
    for step in range(int(SECONDS / STEP_SECONDS)):
        at = step * STEP_SECONDS
        now = NOW + at * SECOND
        present = set().union(*held)
        served += STEP_SECONDS * sum(
            share for name, share in demand.items() if name in present
        )
        waiting = {name for name in demand if name not in present}
        order = sorted(waiting)
        generator.shuffle(order)
        for name in order:
            free = [e for e in range(ENGINES) if ends[e] <= at]
            if not free:
                break
            state = create_state(
                demand, now, ENGINES - len(free), ENGINES, held
            )
            if is_ranked and not queue.is_due(name, waiting, state):
                continue
            # An engine has room for two models, of which it keeps the busier.
            engine = min(
                free, key=lambda e: sum(demand[name] for name in held[e])
            )
            if len(held[engine]) == 2:
                held[engine].remove(min(held[engine], key=demand.__getitem__))
            ends[engine] = at + LOAD_SECONDS
            held[engine].add(name)
            loaded.add(name)
    return served, len(set(rare) - loaded)


@pytest.mark.parametrize("seed", range(10))
def test_rare_models_are_loaded_too(seed: int) -> None:
    _, starved = play(seed, is_ranked=True)
    assert starved == 0


def test_busy_models_are_served_sooner() -> None:
    ranked = sum(play(seed, is_ranked=True)[0] for seed in range(30))
    unranked = sum(play(seed, is_ranked=False)[0] for seed in range(30))
    assert ranked > unranked
