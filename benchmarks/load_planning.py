"""Times the plans of loads that a holder of orders makes in each period.

Run: python benchmarks/load_planning.py
"""

import datetime
import random
import time
from typing import Final

import fire
import tabulate

from cicadahook.core import clock as clock_lib
from cicadahook.core import engine_ledger
from cicadahook.core import inventory
from cicadahook.core import load_planning
from cicadahook.core import routes

SECOND: Final = datetime.timedelta(seconds=1)
ENGINE_MB: Final = 83_000.0
MODEL_MB: Final = (16_100.0, 34_300.0)
HELD: Final = 3
SEED: Final = 1


def create_state(engines: int, models: int) -> load_planning.ServiceState:
    """Return engines full of models, and a demand that few models have."""
    generator = random.Random(SEED)
    names = [f"m{number}" for number in range(models)]
    by_name = {
        name: routes.Model(
            name,
            generator.choice(MODEL_MB),
            1.0,
            frozenset(),
            2 * SECOND,
            SECOND / 3,
            SECOND / 2,
        )
        for name in names
    }
    pool = routes.EnginePool(by_name, ENGINE_MB, 8, 48, 16.0)
    ledgers = []
    for number in range(engines):
        entry = inventory.Instance(f"e{number}", "s", "h:1", "z", 48)
        ledger = engine_ledger.EngineLedger(entry, pool)
        for name in generator.sample(names, HELD):
            if ledger.count_free_mb(clock_lib.EPOCH) < by_name[name].size_mb:
                continue
            ledger.copies[name] = engine_ledger.ModelCopy(
                by_name[name],
                engine_ledger.CopyState.READY,
                clock_lib.EPOCH,
            )
        ledgers.append(ledger)
    demand = {name: 2.0 / (rank + 1) for rank, name in enumerate(names)}
    return load_planning.ServiceState(
        tuple(ledgers), demand, {}, True, clock_lib.EPOCH
    )


def measure(runs: int = 20) -> None:
    """Print the milliseconds of a plan by engines and models."""
    rows = []
    for engines, models in ((16, 50), (32, 100), (64, 200), (128, 400)):
        state = create_state(engines, models)
        by_name = dict(state.ledgers[0].pool.models)
        began = time.process_time()
        for _ in range(runs):
            fresh = load_planning.ServiceState(
                state.ledgers, state.demand, {}, True, state.now
            )
            load_planning.plan_ahead(by_name, fresh)
        elapsed = (time.process_time() - began) / runs
        rows.append((engines, models, elapsed * 1000))
    print(tabulate.tabulate(rows, ("engines", "models", "ms"), floatfmt=".2f"))


if __name__ == "__main__":
    fire.Fire(measure)
