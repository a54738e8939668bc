"""Faults of the store: it returns from an older copy, or turns nodes away."""

import asyncio
import contextlib
import random
import time
from typing import Final

import aiohttp

import node_process
from soak import node_checker
from soak import node_faults

COPY_AGE_SECONDS: Final = (0.0, 6.0)
AWAY_SECONDS: Final = (0.1, 1.0)
# A second return comes within a lease of the first one.
SECOND_SHARE: Final = 0.3
WAYS_TO_TURN_AWAY: Final = ("is_rejecting", "is_silent")
CONFIGURATIONS: Final = (1, 3)
CONFIGURATION_PAUSE_SECONDS: Final = (0.0, 2.0)
# The users' rule for fleets that are not the smallest.
CONFIGURATION_SECONDS: Final = 3.0
PROBE_SECONDS: Final = 1.0
PROBE_PAUSE_SECONDS: Final = 0.1


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


@node_faults.register
async def turn_nodes_away(
    injector: node_faults.FaultInjector, rng: random.Random
) -> None:
    """Let the store serve some nodes only, while configurations change."""
    nodes = injector.system.nodes
    if not injector.reserve_target(
        rng, [node_checker.STORE], "turn_nodes_away"
    ):
        return
    turned_away = rng.sample(nodes, rng.randrange(1, len(nodes)))
    way = rng.choice(WAYS_TO_TURN_AWAY)
    injector.log(f"{way} {[node.name for node in turned_away]}")
    with contextlib.ExitStack() as stack:
        for node in turned_away:
            stack.enter_context(injector.record_disturbance(way, node.name))
            setattr(injector.system.views[node.name], way, True)
        for _ in range(rng.randint(*CONFIGURATIONS)):
            await asyncio.sleep(rng.uniform(*CONFIGURATION_PAUSE_SECONDS))
            path = injector.system.configure()
            await asyncio.gather(
                *(_check_configuration(injector, node, path) for node in nodes)
            )
        for node in turned_away:
            setattr(injector.system.views[node.name], way, False)
    injector.busy_targets.discard(node_checker.STORE)


async def _check_configuration(
    injector: node_faults.FaultInjector,
    node: node_process.NodeProcess,
    path: str,
) -> None:
    """Check that a node learns of a configuration in time."""
    began = time.monotonic()
    others = {each.name for each in injector.system.nodes}
    while not await _is_in_force(injector.session, node, path):
        if time.monotonic() - began < CONFIGURATION_SECONDS:
            await asyncio.sleep(PROBE_PAUSE_SECONDS)
            continue
        # That the store turns nodes away excuses none of them.
        since = began - node_faults.CONTACT_SECONDS
        faults = injector.busy_targets & others
        faults |= {
            each.target
            for each in injector.checker.disturbances
            if each.kind not in WAYS_TO_TURN_AWAY and each.ended > since
        }
        faults |= {
            stop.node for stop in injector.checker.stops if stop.ended > since
        }
        injector.checker.results.counts["late_configurations"] += 1
        if not faults:
            injector.checker.results.record_violation(
                "a configuration is in force in time",
                f"{path} at {node.name} after {CONFIGURATION_SECONDS} s",
            )
        return
    injector.checker.results.counts["configurations"] += 1


async def _is_in_force(
    session: aiohttp.ClientSession, node: node_process.NodeProcess, path: str
) -> bool:
    """Whether a node is not known to lack the route of a configuration."""
    try:
        async with session.post(
            f"http://{node.front_address}{path}",
            headers={
                "Host": "api.example",
                "X-Request-Id": f"{path} {node.name} {time.monotonic()}",
                "X-Deadline-Ms": "300",
            },
            timeout=aiohttp.ClientTimeout(total=PROBE_SECONDS),
        ) as response:
            return response.status != 404
    except (aiohttp.ClientError, TimeoutError):
        # It has ended or is frozen.
        return True
