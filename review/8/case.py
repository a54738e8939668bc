"""Requests whose ids have a letter of ISO 8859-1, as "Concepción"."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import bed as bed_lib  # pylint: disable=wrong-import-position

COUNT = 20


async def play(bed) -> bool:
    place = "Concepción" if bed_lib.TROUBLE else "Concepcion"
    sent: set[str] = set()
    answers = []
    for number in range(COUNT):
        node = bed.nodes[number % len(bed.nodes)]
        name = f"pedido-{place}-{number}"
        sent.add(name)
        answer = await asyncio.wait_for(
            bed_lib.call(node.front, "POST", "/write/notices",
                         {"X-Request-Id": name, "X-Deadline-Ms": "3000"},
                         b"sign"), 5)
        bed.record.add(f"sent {name!r} to {node.name}: {answer}")
        answers.append(answer.status)
    # The stand-in reads and writes the bytes of fields as they are.
    ran = [name for worker in bed.workers for _, name, _, _ in worker.runs]
    foreign = [name for name in ran if name not in sent]
    text = (f"{len(ran)} runs, {len(foreign)} of them with an id that no"
            f" requester sent, as {foreign[:1]}; answers"
            f" { {status: answers.count(status) for status in set(answers)} }")
    bed.record.add(text)
    print(text)
    return bool(foreign)


if __name__ == "__main__":
    bed_lib.main(HERE, play, nodes=2, portal=2, engines=1)
