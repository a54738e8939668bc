"""Faults that end the connections of upstreams."""

import asyncio
import random
from typing import Final

from soak import node_faults

OTHER_ID_SHARE: Final = 0.3
ALL_LINKS_SHARE: Final = 0.5
MAX_ENDS: Final = 3
END_PAUSE_SECONDS: Final = (0.0, 0.5)


@node_faults.register
async def crash(
    injector: node_faults.FaultInjector, rng: random.Random
) -> None:
    """Close an upstream without notice; restart it, mostly under its id."""
    async with injector.reserve_upstream(rng, "crash") as upstream:
        if upstream is None:
            return
        if rng.random() < OTHER_ID_SHARE:
            await injector.replace(upstream, rng, "crash")
            return
        with injector.record_disturbance("crash", upstream.name):
            upstream.restart_as(upstream.id)
            await node_faults.sleep_fault_duration(rng)
            await upstream.link.open()
            injector.system.register_upstream(upstream.name)


@node_faults.register
async def end_connections(
    injector: node_faults.FaultInjector, rng: random.Random
) -> None:
    """Let a proxy end all connections of links to an upstream in order."""
    async with injector.reserve_upstream(rng, "end_connections") as upstream:
        if upstream is None:
            return
        links = list(upstream.link.links.values())
        if rng.random() >= ALL_LINKS_SHARE:
            links = [rng.choice(links)]
        with injector.record_disturbance("link", upstream.name):
            for _ in range(rng.randint(1, MAX_ENDS)):
                await asyncio.sleep(rng.uniform(*END_PAUSE_SECONDS))
                for link in links:
                    link.end()
