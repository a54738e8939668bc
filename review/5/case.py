"""Another writer's entry stands in the list of workers."""

import asyncio
import pathlib
import random
import time

import deployment
import store as store_lib
import testbed as testbed_lib

FOLDER = pathlib.Path(__file__).parent
APPLY_S = 2.0
DRAIN_S = 2.0
JUDGED_S = 6.0
LINGER_S = 2.6  # a worker serves for drain_ms "and a little longer"
# A number of another type than the whole one that is due there.
ENTRY = (
    b'{"service_name":"portal","address":"%s","zone":"z-a","version":"v1",'
    b'"slots":1e999,"state":"ready","cold_remaining_ms":0,"sequence_number":1,'
    b'"born":1765000000000}'
)


async def call_often(bed, per_s, answers):
    """Send signings to all nodes until cancelled."""
    generator = random.Random(3)
    calls, count = set(), 0

    async def send(node, request_id):
        status, _, _ = await bed.call(node, "/sign/", request_id, data=b"notice")
        answers[request_id] = status
        bed.record(f"{request_id} at {node.name}: {status}")

    while True:
        await asyncio.sleep(generator.expovariate(per_s))
        count += 1
        task = asyncio.create_task(
            send(bed.nodes[count % len(bed.nodes)], f"s{count}")
        )
        calls.add(task)
        task.add_done_callback(calls.discard)


async def play():
    store = store_lib.Store()
    bed = testbed_lib.Testbed(FOLDER, store, 3)
    plain = deployment.create_plain(store, 4)
    breaks, answers, has_ended = [], {}, False
    try:
        await bed.open(plain, deployment.create_configuration())
        await bed.start_nodes()
        bed.tasks.append(asyncio.create_task(call_often(bed, 150.0, answers)))
        await asyncio.sleep(5)
        if testbed_lib.has_trouble():
            address = f"{bed.platform}:{bed.base + 299}".encode()
            store.write([("servers/i-another", ENTRY % address, 0)])
            bed.record(f"another writer writes {ENTRY % address}")
        await asyncio.sleep(4)
        added = deployment.route("added", "/added/", "idempotent", "portal")
        acked = bed.configure(deployment.create_configuration(2, [added]))
        left = time.monotonic()
        for leaving in plain[:2]:
            leaving.state = "draining"
            leaving.beat()
            bed.record(f"{leaving.id} reports draining")
        count = 0
        while time.monotonic() < acked + JUDGED_S:
            for node in bed.nodes:
                count += 1
                sent = time.monotonic()
                status, _, body = await bed.call(
                    node, "/added/", f"a{count}", method="GET"
                )
                bed.record(f"a{count} at {node.name}: {status} {body[:60]!r}")
                if status == 404 and sent - acked > APPLY_S:
                    breaks.append(
                        f"CONFIG: a{count} sent to {node.name}"
                        f" {sent - acked:.3f} s after the ack: 404"
                    )
            await asyncio.sleep(0.1)
            if not has_ended and time.monotonic() > left + LINGER_S:
                has_ended = True
                for leaving in plain[:2]:
                    bed.record(f"{leaving.id} ends")
                    leaving.end()
        await asyncio.sleep(1)
        for leaving in plain[:2]:
            breaks += [
                f"DRAIN: {request_id} reached {leaving.id}"
                f" {at - left:.3f} s after it had reported draining"
                for at, request_id, _, status in leaving.arrivals
                if at > left + DRAIN_S and status != 421
            ]
        for each in breaks:
            bed.record(f"broken: {each}")
        lost = [name for name, status in answers.items() if status in (0, 502, 504)]
        text = (
            f"{len(breaks)} breaks; {len(lost)} signings were passed on and"
            f" broken off: {lost[:9]}"
        )
        bed.record(text)
        print(text, *breaks[:3], *breaks[-2:], sep="\n")
        return 1 if breaks else 0
    finally:
        await bed.close()


if __name__ == "__main__":
    testbed_lib.run_case(play)
