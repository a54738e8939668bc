"""Faults of the store's history: it returns from an older copy of itself."""

import asyncio
import random
from typing import Final

from soak import node_checker
from soak import node_faults

COPY_AGE_SECONDS: Final = (0.0, 6.0)
AWAY_SECONDS: Final = (0.1, 1.0)
# A second return comes within a lease of the first one.
SECOND_SHARE: Final = 0.3


@node_faults.register
async def restore_store(
    injector: node_faults.FaultInjector, rng: random.Random
) -> None:
    """Let the store be away and return from a copy, sometimes twice."""
    if not injector.reserve_target(rng, [node_checker.STORE], "restore_store"):
        return
    store = injector.system.store
    copy = store.take_copy()
    await asyncio.sleep(rng.uniform(*COPY_AGE_SECONDS))
    with injector.record_disturbance("restore_store", node_checker.STORE):
        await store.run_drill(copy, rng.uniform(*AWAY_SECONDS))
        if rng.random() < SECOND_SHARE:
            await asyncio.sleep(rng.uniform(*AWAY_SECONDS))
            await store.run_drill(copy, rng.uniform(*AWAY_SECONDS))
    injector.busy_targets.discard(node_checker.STORE)
