"""The store's revision counter stands above 2**32: nodes lose the store."""

import asyncio
import pathlib
import time

import fleet
import store as store_lib
import workers

HEARTBEAT_SECONDS = 1.2
CONFIG_APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
LARGE_REVISION = 5_000_000_000


def create_config(version, service):
    """Return a configuration whose route goes to one service."""
    return fleet.create_config(
        version,
        [
            fleet.create_route("notices", "/notices/", "non_idempotent", service),
            fleet.create_route("lookups", "/lookups/", "idempotent", "desk", max_attempts=2),
        ],
        [{"name": name, "health_path": "/health"} for name in ("old", "new", "desk")],
    )


async def beat(store, every):
    """Write the workers' entries as heartbeats do."""
    while True:
        for worker in every:
            store.put(f"servers/{worker.id}", worker.describe())
        await asyncio.sleep(HEARTBEAT_SECONDS)


async def send(case, node, path, name):
    """Send one request to a node; return its answer."""
    sent = time.monotonic()
    headers = [("X-Request-Id", name), ("X-Deadline-Ms", "1500")]
    try:
        answer = await case.call(case.nodes[node], "POST", path, headers, b"{}")
    except (OSError, EOFError, TimeoutError) as error:
        case.record(f"request {name} to {node}: {error!r}")
        return sent, None
    case.record(f"request {name} {path} to {node}: {answer}")
    return sent, answer


async def play(case):
    """Return what broke."""
    store = store_lib.Store(LARGE_REVISION if case.trouble else 1, era=1)
    await store.start(case.host(1))
    case.record(f"the store's revision is {store.revision}")
    every = []
    for number, (name, service) in enumerate(
        (("i-old", "old"), ("i-new", "new"), ("i-desk1", "desk"), ("i-desk2", "desk"))
    ):
        worker = workers.Worker(name, service, "biobio-a", case.record)
        await worker.start(case.host(20 + number))
        every.append(worker)
    old, new, desk1, desk2 = every
    store.put("op/config", create_config(3, "old"))
    beating = asyncio.create_task(beat(store, every))
    names = ("front-a", "front-b", "front-c")
    for number, name in enumerate(names):
        await case.spawn_node(name, 10 + number, store.address)
    for name in names:
        await case.wait_ready(name)
    for number in range(3):
        _, answer = await send(case, names[number], "/notices/1", f"first{number}")
        if answer is None or answer.status != 200:
            raise fleet.CannotRunError("the first requests were not served")
    # Nodes become holder of orders, and are in touch for longer than contact_ms.
    await asyncio.sleep(8)

    problems = []
    store.put("op/config", create_config(7, "new"))
    acked = time.monotonic()
    case.record("config 7 acked: /notices/ goes to the service 'new'")
    desk1.state = "draining"
    store.put("servers/i-desk1", desk1.describe())
    drained = time.monotonic()
    case.record("entry of i-desk1 acked: draining")
    await asyncio.sleep(CONFIG_APPLY_SECONDS + 0.5)
    known = {each.id: len(each.runs) for each in every}
    for number in range(10):
        for name in names:
            await send(case, name, "/notices/2", f"{name}-notice{number}")
            await send(case, name, "/lookups/2", f"{name}-lookup{number}")
    stale = old.runs[known["i-old"] :]
    late = desk1.runs[known["i-desk1"] :]
    case.record(
        f"{len(stale)} requests sent over {CONFIG_APPLY_SECONDS} s after the ack of"
        f" config 7 ran at the old service, {len(new.runs)} at the new one"
    )
    case.record(
        f"{len(late)} requests sent over {DRAIN_SECONDS} s after the ack ran at the"
        f" draining worker, {len(desk2.runs)} at the other one"
    )
    if stale:
        problems.append(
            f"CONFIG: {len(stale)} of 30 requests, sent over"
            f" {CONFIG_APPLY_SECONDS} s after the ack of config 7, were run by the"
            " service of config 3"
        )
    if late:
        problems.append(
            f"DRAIN: {len(late)} of 30 requests, sent over {DRAIN_SECONDS} s after"
            " the ack of 'draining', reached that worker"
        )
    assert acked <= drained
    beating.cancel()
    for worker in every:
        worker.stop()
    await store.stop()
    return problems


fleet.run(pathlib.Path(__file__).parent, play)
