"""Tests that the work of a plan of loads grows no faster than the fleet."""

import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import engine_ledger
from cicadahook.core import inventory
from cicadahook.core import load_planning
from cicadahook.core import routes
from test_load_queue import SECOND

HELD = 2


def create_state(engines: int, most: float = 0.1) -> load_planning.ServiceState:
    """Return full engines, three models for each, and demand for all.

    Args:
        engines: number of engines.
        most: demand for the first model, in shares of an engine.
    """
    models = {
        f"m{number}": routes.Model(
            f"m{number}", 40.0, 1.0, frozenset(), 3 * SECOND, SECOND, SECOND
        )
        for number in range(3 * engines)
    }
    names = list(models)
    pool = routes.EnginePool(models, 40.0 * HELD, 4, 8, 3.0)
    ledgers = []
    for number in range(engines):
        ledger = engine_ledger.EngineLedger(
            inventory.Instance(f"e{number}", "s", "h:1", "z", 8), pool
        )
        for name in names[number * HELD :][:HELD]:
            ledger.copies[name] = engine_ledger.ModelCopy(
                models[name], engine_ledger.CopyState.READY, clock_lib.EPOCH
            )
        ledgers.append(ledger)
    demand = {name: 0.1 for name in names} | {names[0]: most}
    return load_planning.ServiceState(
        tuple(ledgers), demand, {}, True, clock_lib.EPOCH
    )


@pytest.mark.parametrize("engines", [4, 16, 64])
def test_each_copy_is_looked_at_a_few_times_a_plan(
    engines: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    state = create_state(engines, most=3.0)
    looks = 0

    def count_looks(*_: object) -> bool:
        nonlocal looks
        looks += 1
        return True

    monkeypatch.setattr(engine_ledger.EngineLedger, "is_ready", count_looks)
    models = state.ledgers[0].pool.models
    load_planning.plan_ahead(models, state)
    assert 0 < looks <= 2 * HELD * engines


def test_no_engine_is_tried_for_models_that_fit_nowhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    state = create_state(64)
    tried = []
    plan_load = load_planning.plan_load

    def record_plan(
        model: routes.Model, known: load_planning.ServiceState
    ) -> load_planning.LoadPlan | None:
        tried.append(model.name)
        return plan_load(model, known)

    monkeypatch.setattr(load_planning, "plan_load", record_plan)
    assert load_planning.plan_ahead(state.ledgers[0].pool.models, state) is None
    held = {name for ledger in state.ledgers for name in ledger.copies}
    assert set(tried) <= held
