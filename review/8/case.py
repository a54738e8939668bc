"""Requests with one part that crashes workers, behind 64 other shared parts."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import bed as bed_lib  # pylint: disable=wrong-import-position

FATAL = "dead0"
CONTACT_S = 3.0
BACK_S = 2.0
PLACE = int(os.environ.get("PLACE", "66"))  # of the fatal part in the prompt
PARTS = 72
SECONDS = 45.0


async def play(bed) -> bool:
    crashes: list[float] = []
    arrivals: list[float] = []
    engines = [w for w in bed.workers if w.models is not None]

    async def come_back(worker, port: int) -> None:
        await asyncio.sleep(BACK_S)
        worker.born = int(time.time() * 1000)
        worker.sequence = 0
        await worker.start(port)
        bed.record.add(f"{worker.id} is back")

    def equip(worker) -> None:
        async def answer(head, body, reader, writer) -> bool:
            parts = [p.split(":")[0]
                     for p in head.get("x-prompt-prefix").split(",")]
            if FATAL not in parts:
                return await worker.answer_soundly(head, body, reader, writer)
            arrivals.append(time.monotonic())
            await asyncio.sleep(0.04)
            if bed_lib.TROUBLE:
                if worker.server is not None:
                    crashes.append(time.monotonic())
                    bed.record.add(f"{worker.id} crashes")
                    port = int(worker.address.rsplit(":", 1)[1])
                    worker.crash()
                    asyncio.ensure_future(come_back(worker, port))
                return False
            return await worker.answer_soundly(head, body, reader, writer)

        worker.answer = answer

    for engine in engines:
        equip(engine)

    async def send(number: int, has_fatal: bool) -> None:
        node = bed.nodes[number % len(bed.nodes)]
        shared = [f"c{n:x}" for n in range(PARTS - 1)]
        if has_fatal:
            shared[PLACE - 1] = FATAL
        ids = [*shared, f"f{number:06x}{int(has_fatal)}"]
        name = f"{'fatal' if has_fatal else 'sound'}-{number}"
        try:
            answer = await asyncio.wait_for(
                bed_lib.call(
                    node.front, "POST", "/chat/a",
                    {"X-Request-Id": name, "X-Model": "big",
                     "X-Token-Counts": f"{20 * PARTS},20",
                     "X-Deadline-Ms": "3000",
                     "X-Prompt-Prefix": ",".join(f"{i}:20" for i in ids)},
                    f"question {number}".encode()), 4)
            bed.record.add(f"{name} at {node.name}: {answer}")
        except (asyncio.TimeoutError, OSError) as error:
            bed.record.add(f"{name} at {node.name}: {error!r}")

    tasks = []
    began = time.monotonic()
    number = 0
    while time.monotonic() - began < SECONDS:
        number += 1
        tasks.append(asyncio.ensure_future(send(number, False)))
        if number % 3 == 0:
            tasks.append(asyncio.ensure_future(send(number, True)))
        await asyncio.sleep(0.2)
    await asyncio.gather(*tasks)
    late = []
    if len(crashes) >= 5:
        late = [a for a in arrivals if a > crashes[4] + CONTACT_S]
    bed.record.add(
        f"{len(crashes)} crashes; {len(arrivals)} arrivals with the part,"
        f" {len(late)} of them later than {CONTACT_S} s after the fifth crash"
        " (three are allowed)")
    print(f"crashes {len(crashes)}, late arrivals {len(late)}")
    return len(late) > 3


if __name__ == "__main__":
    bed_lib.main(HERE, play, nodes=2, portal=1, engines=4)
