"""All nodes are killed at once while streams of two software versions run."""

import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import bed as bed_lib  # pylint: disable=wrong-import-position

CONTACT_S = 3.0
TIME_LIMIT_S = 20.0
EVENTS, GAP_S = 90, 0.15
STREAMS = 30
# After a broken channel requesters wait so long before each further attempt.
RETRY_PAUSES_S = (0.5, 1.0, 2.0, 3.0, 3.0, 3.0)


class Stream:
    """A stream as its requester sees it."""

    def __init__(self, bed, name: str) -> None:
        self.bed, self.name = bed, name
        self.attempts: list[tuple[str, float, float, bool, str]] = []
        self.last = ""
        self.first_id = ""
        self.workers: set[str] = set()
        self.ended = False

    async def run(self) -> None:
        """Take the stream, and take it up again after a broken channel."""
        began = time.monotonic()
        await self.attempt(began)
        for pause in RETRY_PAUSES_S:
            if self.ended or time.monotonic() - began > TIME_LIMIT_S:
                return
            await asyncio.sleep(pause)
            await self.attempt(began)

    async def attempt(self, began: float) -> None:
        number = len(self.attempts)
        left = TIME_LIMIT_S - (time.monotonic() - began)
        place = int(self.name[:-1], 16) + number
        node = self.bed.nodes[place % len(self.bed.nodes)]
        request_id = f"{self.name}-{number}"
        fields = {"X-Request-Id": request_id, "X-Model": "big",
                  "X-Token-Counts": "600,360", "X-Prompt-Prefix":
                  f"a:200,{self.name}:400",
                  "X-Deadline-Ms": str(int(left * 1000))}
        if self.last:
            fields["Last-Event-Id"] = self.last
            fields["Resumes"] = self.first_id
        sent, before, result = time.monotonic(), self.last, "no channel"
        try:
            result = await asyncio.wait_for(self.read(node, fields), left)
        except (asyncio.TimeoutError, OSError,
                asyncio.IncompleteReadError) as error:
            result = type(error).__name__
        goes_on = self.last != before
        if goes_on and not self.first_id:
            self.first_id = request_id
        self.attempts.append((node.name, sent, node.ready_since, goes_on,
                              result))
        self.bed.record.add(
            f"{request_id} at {node.name}, after event {before or '-'}:"
            f" {result}, up to event {self.last or '-'}")

    async def read(self, node, fields) -> str:
        host, port = node.front.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = ["POST /review/a HTTP/1.1", "Host: api.example",
                     *(f"{n}: {v}" for n, v in fields.items()),
                     "Content-Length: 2", "", "hi"]
            writer.write("\r\n".join(lines).encode())
            head = await bed_lib.read_head(reader)
            if head is None:
                return "closed"
            status = head.line.split(" ")[1]
            if status != "200":
                body = await bed_lib.read_body(reader, head)
                return f"{status} {body.decode()}"
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                if not size:
                    self.ended = True
                    return "complete"
                data = await reader.readexactly(size + 2)
                for line in data.decode().splitlines():
                    if line.startswith("id: "):
                        self.last = line[4:]
                    if line.startswith("data: "):
                        self.workers.add(line.split(" ")[1])
        except ValueError:
            return "closed midway"
        finally:
            writer.close()


async def play(bed) -> bool:
    engines = [w for w in bed.workers if w.models is not None]
    for number, engine in enumerate(engines):
        engine.software = "v1" if number % 2 else "v2"
        engine.events, engine.gap_s = EVENTS, GAP_S
        engine.register()
    for node in bed.nodes:
        node.ready_since = time.monotonic()
    await asyncio.sleep(3.0)
    streams = [Stream(bed, f"{number:x}f") for number in range(STREAMS)]
    tasks = []
    for stream in streams:
        tasks.append(asyncio.ensure_future(stream.run()))
        await asyncio.sleep(0.05)
    await asyncio.sleep(2.0)
    if bed_lib.TROUBLE:
        killed = bed.nodes
        if os.environ.get("KILLED"):
            killed = bed.nodes[:int(os.environ["KILLED"])]
        for node in killed:
            node.signal(signal.SIGKILL)
        for node in killed:
            await node.process.wait()
        await asyncio.sleep(0.5)
        for node in killed:
            node.ready_since = float("inf")
            await node.start()
        for node in killed:
            await node.wait_ready()
            node.ready_since = time.monotonic()
            bed.record.add(f"{node.name} is ready")
    await asyncio.sleep(CONTACT_S + 0.5)
    fresh = [Stream(bed, f"{number:x}e") for number in range(STREAMS)]
    for stream in fresh:
        tasks.append(asyncio.ensure_future(stream.run()))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)

    def is_in_touch(attempt) -> bool:
        _, sent, ready_since, _, _ = attempt
        return sent >= ready_since + CONTACT_S

    resumed = [a for s in streams for a in s.attempts[1:] if is_in_touch(a)]
    went_on = sum(a[3] for a in resumed)
    begun = [s.attempts[0] for s in fresh if is_in_touch(s.attempts[0])]
    began = sum(a[3] for a in begun)
    text = (f"taken up again at nodes in touch: {len(resumed)}, of which"
            f" {went_on} went on; new streams there: {len(begun)}, of which"
            f" {began} began; complete in the end:"
            f" {sum(s.ended for s in streams)} of {len(streams)}")
    bed.record.add(text)
    print(text)
    if len(resumed) < 12:
        return False
    return went_on / len(resumed) < began / max(1, len(begun)) / 2


def create_config() -> dict:
    config = bed_lib.create_config()
    for route in config["routes"]:
        if route["name"] == "review":
            route.update(timeout_ms=20000, target_latency_ms=2500)
    return config


if __name__ == "__main__":
    bed_lib.main(HERE, play, nodes=3, portal=1, engines=4,
                 config=create_config())
