"""A worker that names a limit leaves while requests wait for a load."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import bed as bed_lib  # pylint: disable=wrong-import-position

DRAIN_S = 2.0
LINGER_S = 1.5  # how much longer the leaving worker goes on serving
LIMIT = 1.0  # requests a second, from all machines together
LOAD_S = 5.8
EVENTS, GAP_S = 20, 0.1


def slow_loads(worker) -> None:
    """Have a worker's loads take `load_time_s`."""
    apply = worker._order  # pylint: disable=protected-access

    def order(message) -> int:
        if worker.busy:
            return 409
        before = {name: set(held) for name, held in worker.models.items()}
        status = apply(message)
        is_load = message["operation"] == "load" and not message.get("adapter")
        if status == 202 and is_load:
            after, worker.models = worker.models, before
            worker.busy = True

            async def finish() -> None:
                await asyncio.sleep(LOAD_S)
                worker.models, worker.busy = after, False
                worker.register()

            asyncio.ensure_future(finish())
        return status

    worker._order = order  # pylint: disable=protected-access


async def play(bed) -> bool:
    leaving, other = [w for w in bed.workers if w.models is not None]
    sign = leaving.sign
    leaving.sign = lambda head: sign(head) | {"Server-Limit": str(LIMIT)}
    leaving.events, leaving.gap_s = EVENTS, GAP_S
    slow_loads(other)
    await asyncio.sleep(2.0)

    async def send(number: int) -> bed_lib.Answer:
        node = bed.nodes[number % len(bed.nodes)]
        answer = await bed_lib.call(
            node.front, "POST", "/chat/a",
            {"X-Request-Id": f"r{number}", "X-Model": "big",
             "X-Token-Counts": "800,80", "X-Deadline-Ms": "8000",
             "X-Prompt-Prefix": f"a:100,{number:x}:700"}, b"draft")
        bed.record.add(f"r{number} at {node.name}: {answer}")
        return answer

    tasks = [asyncio.ensure_future(send(number)) for number in range(2)]
    await asyncio.gather(*tasks)
    tasks = [asyncio.ensure_future(send(number)) for number in range(2, 14)]
    await asyncio.sleep(0.1)
    if bed_lib.TROUBLE:
        leaving.state = "draining"
        leaving.register()
        bed.record.add(f"{leaving.id} reports draining; the store accepts it")
    acknowledged = time.monotonic()
    await asyncio.sleep(DRAIN_S + LINGER_S)
    if bed_lib.TROUBLE:
        leaving.crash()
        bed.store.delete(f"servers/{leaving.id}")
        bed.record.add(f"{leaving.id} exits")
    answers = await asyncio.gather(*tasks)
    late = [(name, round(at - acknowledged, 2))
            for at, name, _, _ in leaving.runs
            if bed_lib.TROUBLE and at > acknowledged + DRAIN_S]
    cut = sum(answer.status == 200 and not answer.whole for answer in answers)
    text = (f"requests that reached {leaving.id} later than {DRAIN_S} s after"
            f" the ack: {late}; streams that were cut: {cut}")
    bed.record.add(text)
    print(text)
    return bool(late)


def create_config() -> dict:
    config = bed_lib.create_config()
    for route in config["routes"]:
        if route["name"] == "chat":
            # As aisle-review-routine has on the sheet.
            route.update(timeout_ms=8000, target_latency_ms=2500)
    for service in config["services"]:
        for model in service.get("inference_engine", {}).get("models", []):
            model["load_time_s"] = LOAD_S
    return config


if __name__ == "__main__":
    bed_lib.main(HERE, play, nodes=2, portal=1, engines=2, held=("small",),
                 config=create_config())
