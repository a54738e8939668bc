"""The store returns from a copy that is older than the newest term."""

import asyncio
import pathlib
import signal
import time

import deployment
import store as store_lib
import testbed as testbed_lib

FOLDER = pathlib.Path(__file__).parent
AWAY_S = 0.5


async def play():
    store = store_lib.Store()
    bed = testbed_lib.Testbed(FOLDER, store, 3)
    engines = deployment.create_engines(store, 2)
    plain = deployment.create_plain(store, 2)
    callers = deployment.DraftCallers(bed, 12.0)
    try:
        await bed.open([*engines, *plain], deployment.create_configuration())
        await bed.start_nodes()
        bed.tasks.append(asyncio.create_task(callers.run()))
        if not await deployment.wait_for(
            lambda: deployment.find_holder(engines), 15
        ):
            raise RuntimeError("no orders")
        await asyncio.sleep(5)
        first = deployment.find_holder(engines)
        node = next(each for each in bed.nodes if each.name == first)
        bed.record(f"holder is {first}; planned stop of its machine")
        node.signal(signal.SIGTERM)
        copies = []
        while node.child.returncode is None:
            copies.append((time.monotonic(), store.take_copy()))
            await asyncio.sleep(0.1)
        bed.record(f"{first} has ended with {node.child.returncode}")
        if not await deployment.wait_for(
            lambda: deployment.find_holder(engines) not in (None, first), 20
        ):
            raise RuntimeError("no other holder")
        second = deployment.find_holder(engines)
        bed.record(f"holder is {second}")
        if testbed_lib.has_trouble():
            taken, copy = copies[-1]
            age = time.monotonic() - taken
            bed.record(f"store goes away at revision {store.revision}")
            store.go_away()
            await asyncio.sleep(AWAY_S)
            store.come_back(copy)
            bed.record(
                f"store is back at revision {store.revision}, from a copy"
                f" {age:.1f} s old"
            )
            store.put("op/config", bed.configuration)
            for worker in bed.workers:
                worker.beat()
        await asyncio.sleep(0.5)
        bed.record(f"the machine of {first} is started again")
        await node.spawn()
        await bed.wait_ready([node])
        await asyncio.sleep(8)
        deployment.record_orders(bed.record, engines)
        breaks = deployment.judge_holders(engines)
        for each in breaks:
            bed.record(f"ONE broken: {each}")
        bed.record(f"answers by status: {callers.statuses}")
        print(f"{len(breaks)} breaks of ONE", *breaks[:4], sep="\n")
        return 1 if breaks else 0
    finally:
        await bed.close()


if __name__ == "__main__":
    testbed_lib.run_case(play)
