"""The store returns from a copy in a fleet whose nodes follow each other."""

import asyncio
import pathlib
import time

import deployment
import store as store_lib
import testbed as testbed_lib

FOLDER = pathlib.Path(__file__).parent
NODES = 10
APPLY_S = 3.0
DRAIN_S = 3.0
CONTACT_S = 4.0
AWAY_S = 0.1
STORM_GAP_S = 0.33
STORM_COUNT = 12
JUDGED_S = 8.0


async def send_often(bed, per_s, answers):
    """Send signings to all nodes until cancelled."""
    calls, count = set(), 0

    async def send(node, request_id):
        status, _, _ = await bed.call(node, "/sign/", request_id, data=b"notice")
        answers[status] = answers.get(status, 0) + 1
        bed.record(f"{request_id} at {node.name}: {status}")

    while True:
        await asyncio.sleep(1 / per_s)
        count += 1
        task = asyncio.create_task(
            send(bed.nodes[count % len(bed.nodes)], f"s{count}")
        )
        calls.add(task)
        task.add_done_callback(calls.discard)


async def play():
    store = store_lib.Store()
    bed = testbed_lib.Testbed(
        FOLDER, store, NODES, 3000, ("z-a", "z-b", "z-c")
    )
    plain = deployment.create_plain(store, 6)
    answers, breaks, routes = {}, [], []
    version = 1

    def change():
        nonlocal version
        version += 1
        routes.append(
            deployment.route(
                f"r{version}", f"/added-{version}/", "idempotent", "portal"
            )
        )
        return bed.configure(deployment.create_configuration(version, routes))

    try:
        await bed.open(plain, deployment.create_configuration())
        await bed.start_nodes(60)
        bed.tasks.append(asyncio.create_task(send_often(bed, 150.0, answers)))
        await asyncio.sleep(6)
        copy, taken = store.take_copy(), time.monotonic()
        for _ in range(STORM_COUNT):
            await asyncio.sleep(STORM_GAP_S)
            change()
        await asyncio.sleep(0.05)
        if testbed_lib.has_trouble():
            bed.record(f"store goes away at revision {store.revision}")
            store.go_away()
            await asyncio.sleep(AWAY_S)
            store.come_back(copy)
            bed.record(
                f"store is back at revision {store.revision}, from a copy"
                f" {time.monotonic() - taken:.1f} s old"
            )
            store.put("op/config", bed.configuration)
            for worker in plain:
                worker.beat()
        await asyncio.sleep(CONTACT_S + 0.5)
        acked = change()
        for leaving in plain[:3]:
            leaving.state = "draining"
            leaving.beat()
            bed.record(f"{leaving.id} reports draining")
        left = time.monotonic()
        bed.record(f"revision of the store: {store.revision}")
        count = 0
        while time.monotonic() < acked + JUDGED_S:
            for node in bed.nodes:
                count += 1
                sent = time.monotonic()
                status, _, _ = await bed.call(
                    node, f"/added-{version}/", f"a{count}", method="GET"
                )
                bed.record(f"a{count} at {node.name}: {status}")
                if status == 404 and sent - acked > APPLY_S:
                    breaks.append(
                        f"CONFIG: version {version} not in force at {node.name}"
                        f" {sent - acked:.3f} s after its ack"
                    )
            await asyncio.sleep(0.2)
        for leaving in plain[:3]:
            breaks += [
                f"DRAIN: {request_id} reached {leaving.id}"
                f" {at - left:.3f} s after it had reported draining"
                for at, request_id, _, status in leaving.arrivals
                if at > left + DRAIN_S and status != 421
            ]
        for each in breaks:
            bed.record(f"broken: {each}")
        kinds = [sum(each.startswith(k) for each in breaks) for k in ("CONFIG", "DRAIN")]
        text = f"{kinds[0]} breaks of CONFIG, {kinds[1]} of DRAIN"
        bed.record(f"{text}; answers by status: {answers}")
        print(text, *breaks[:2], *breaks[-2:], sep="\n")
        return 1 if breaks else 0
    finally:
        await bed.close()


if __name__ == "__main__":
    testbed_lib.run_case(play)
