"""Faults of upstreams that send bytes which are no answer to a request."""

import random
from typing import Final

from soak import node_faults
from soak import stray_bytes
import stray_upstream

# Share of the answers beside which stray bytes stand.
STRAY_SHARES: Final = (0.1, 0.3, 1.0)


async def _send(
    injector: node_faults.FaultInjector,
    rng: random.Random,
    kind: str,
    strays: stray_bytes.StrayBytes,
) -> None:
    """Let an upstream send stray bytes for a while."""
    async with injector.reserve_upstream(rng, kind) as upstream:
        if upstream is None:
            return
        with injector.record_disturbance("strays", upstream.name):
            upstream.strays = strays
            await node_faults.sleep_fault_duration(rng)
            upstream.strays = None
        injector.checker.results.counts.update(strays.sent)


@node_faults.register
async def send_strays(
    injector: node_faults.FaultInjector, rng: random.Random
) -> None:
    """Let an upstream send any cut of any answer at any place."""
    share = rng.choice(STRAY_SHARES)
    strays = stray_bytes.StrayBytes(random.Random(rng.random()), share)
    await _send(injector, rng, "send_strays", strays)


@node_faults.register
async def send_cut_refusals(
    injector: node_faults.FaultInjector, rng: random.Random
) -> None:
    """Let an upstream send cut refusals in front of its answers."""
    share = rng.choice(STRAY_SHARES)
    strays = stray_bytes.StrayBytes(
        random.Random(rng.random()),
        share,
        stray_upstream.REFUSALS,
        (stray_bytes.BEFORE,),
    )
    await _send(injector, rng, "send_cut_refusals", strays)


@node_faults.register
async def send_refusals_again(
    injector: node_faults.FaultInjector, rng: random.Random
) -> None:
    """Let an upstream send whole refusals in front of its answers."""
    share = rng.choice(STRAY_SHARES)
    strays = stray_bytes.StrayBytes(
        random.Random(rng.random()),
        share,
        stray_upstream.REFUSALS,
        (stray_bytes.BEFORE,),
        is_cut=False,
    )
    await _send(injector, rng, "send_refusals_again", strays)
