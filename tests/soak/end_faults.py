"""Faults that end the connections of upstreams."""

import random

from soak import node_faults


@node_faults.register
async def crash(
    injector: node_faults.FaultInjector, rng: random.Random
) -> None:
    """Close an upstream without notice; restart it under the same id."""
    async with injector.reserve_upstream(rng, "crash") as upstream:
        if upstream is None:
            return
        with injector.record_disturbance("crash", upstream.name):
            upstream.link.close()
            upstream.restart_as(upstream.id)
            await node_faults.sleep_fault_duration(rng)
            await upstream.link.open()
            injector.system.register_upstream(upstream.name)
