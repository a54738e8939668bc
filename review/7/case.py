"""A node that watches the store for others is cut off from the store."""

import asyncio
import pathlib
import random
import time

import deployment
import store as store_lib
import testbed as testbed_lib

FOLDER = pathlib.Path(__file__).parent
NODES = 10
APPLY_S = 3.0
CUT_S = 5.0
STORM_GAP_S = 0.33
STORM_COUNT = 8


class CountingStore(store_lib.Store):
    """Knows which nodes watch it."""

    def __init__(self):
        super().__init__()
        self.watched = {}

    async def handle(self, request, name=""):
        if request.path == "/kv-watch":
            self.watched[name] = time.monotonic()
        return await super().handle(request, name)


async def probe(bed, node, path, version, acked, results):
    """Ask a node for a route until it is late by a second."""
    count = 0
    while time.monotonic() < acked + APPLY_S + 1.0:
        if time.monotonic() > acked + APPLY_S - 0.5:
            count += 1
            request_id = f"{node.name}-v{version}-{count}"
            sent = time.monotonic()
            status, _, body = await bed.call(
                node, path, request_id, method="GET"
            )
            results.append((sent, sent - acked, node.name, version, status))
            bed.record(
                f"{request_id} {path} sent {sent - acked:.3f} s after the ack:"
                f" {status} {body[:60]!r}"
            )
        await asyncio.sleep(0.04)


async def play():
    generator = random.Random(time.time_ns())
    store = CountingStore()
    bed = testbed_lib.Testbed(
        FOLDER, store, NODES, 3000, ("z-a", "z-b", "z-c")
    )
    plain = deployment.create_plain(store, 4)
    results, probes = [], []
    cut = None
    try:
        await bed.open(plain, deployment.create_configuration())
        await bed.start_nodes(60)
        await asyncio.sleep(8)
        store.watched.clear()
        await asyncio.sleep(3)
        watchers = sorted(store.watched)
        bed.record(f"nodes that watch the store: {watchers}")
        cut_at = time.monotonic() + generator.uniform(0.4, 1.4)
        routes = []
        for number in range(STORM_COUNT):
            version = number + 2
            path = f"/added-{version}/"
            routes.append(
                deployment.route(f"r{version}", path, "idempotent", "portal")
            )
            acked = bed.configure(
                deployment.create_configuration(version, routes)
            )
            for node in bed.nodes:
                probes.append(
                    asyncio.create_task(
                        probe(bed, node, path, version, acked, results)
                    )
                )
            end = time.monotonic() + STORM_GAP_S
            while time.monotonic() < end:
                if cut is None and time.monotonic() > cut_at:
                    cut = generator.choice(watchers)
                    if testbed_lib.has_trouble():
                        bed.record(f"{cut} is cut off from the store")
                        store.cut.add(cut)
                await asyncio.sleep(0.005)
        await asyncio.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
        store.cut.clear()
        bed.record("the cut is over")
        await asyncio.gather(*probes)
        breaks = [
            f"{name}: version {version} not in force {after:.3f} s after its ack"
            for sent, after, name, version, status in sorted(results)
            if after > APPLY_S and status == 404 and name != cut
        ]
        for each in breaks:
            bed.record(f"CONFIG broken: {each}")
        print(f"{len(breaks)} breaks of CONFIG", *breaks[:4], sep="\n")
        return 1 if breaks else 0
    finally:
        await bed.close()


if __name__ == "__main__":
    testbed_lib.run_case(play)
