"""Stand-ins of workers: a plain service and a model engine."""

import asyncio
import dataclasses
import json
import time

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


@dataclasses.dataclass
class Arrival:
    """A request as a worker received it."""

    time: float
    method: str
    target: str
    headers: list
    body: bytes

    def get(self, name):
        """Return the value of a header, or an empty text."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return ""


async def read_head(reader):
    """Return method, target and headers of the next request, or None."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name, value.strip()))
    return method, target, headers


async def read_body(reader, headers):
    """Return the body of a request."""
    values = {name.lower(): value for name, value in headers}
    if "chunked" in values.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    return await reader.readexactly(int(values.get("content-length", 0)))


class Worker:
    """A worker of a plain service that records what it runs.

    Attributes:
        runs: the requests that it ran.
        answer: called with an arrival; returns the body, after `seconds`.
    """

    def __init__(self, name, service, zone, record):
        self.id, self.service, self.zone = name, service, zone
        self.record = record
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs = []
        self.arrivals = []
        self.more = []
        self.seconds = 0.02
        self.body = b"x" * 800
        self.server = None
        self.address = ""
        self.writers = set()
        self.is_reachable = True

    async def start(self, host, port=0):
        """Serve on a loopback address."""
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def describe(self):
        """Return the entry in the store."""
        return {
            "service_name": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence_number": 0,
            "born": self.born,
        }

    def stop(self):
        """End: no connection is accepted or kept any more."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, headers = head
                body = await read_body(reader, headers)
                arrival = Arrival(time.monotonic(), method, target, headers, body)
                await self.handle(arrival, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, arrival, writer):
        """Answer one request."""
        request_id = arrival.get("X-Request-Id")
        if arrival.target.startswith("/health"):
            await self.send(writer, 200, [("X-Instance-Id", self.id)], b"")
            return
        echo = [("X-Request-Id", request_id)]
        expected = arrival.get("X-Expected-Instance")
        if expected and expected != self.id:
            await self.send(writer, 421, echo + [("X-Not-Executed", "1")], b"")
            return
        if not request_id:
            await self.send(writer, 400, [("X-Not-Executed", "1")], b"")
            return
        self.runs.append(arrival)
        self.record(f"worker {self.id} runs {request_id}: {arrival.method} {arrival.target}")
        await asyncio.sleep(self.seconds)
        await self.send(
            writer, 200, echo + [("X-Response-Signature", SIGNATURE)], self.body
        )

    async def send(self, writer, status, headers, body):
        """Send an answer with a length."""
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (*headers, *self.more)]
        writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        await writer.drain()


class Engine(Worker):
    """A model engine: reports, takes orders, streams events.

    Attributes:
        orders: the orders that it received, with time, holder and fence.
    """

    def __init__(self, name, service, zone, record, models=()):
        super().__init__(name, service, zone, record)
        self.models = {model: set() for model in models}
        self.sequence = 0
        self.orders = []
        self.events = 5
        self.event_seconds = 0.02
        self.busy_until = 0.0

    def describe(self):
        """Return the entry in the store."""
        return {
            **super().describe(),
            "slots": 16,
            "sequence_number": self.sequence,
            "stage": "both",
            "models": self._list_models(),
            "available": {"in_memory": [], "on_disk": []},
        }

    def _list_models(self):
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    async def handle(self, arrival, writer):
        """Answer one request, order or report."""
        if arrival.target == "/report":
            report = {
                "stage": "both",
                "models": self._list_models(),
                "busy": time.monotonic() < self.busy_until,
                "sequence_number": self.sequence,
                "queued_requests": 0,
                "active_requests": 0,
                "kv_used": 0,
                "kv_total": 90000,
                "handles": 0,
                "born": self.born,
            }
            body = json.dumps(report).encode()
            await self.send(writer, 200, [("Content-Type", "application/json")], body)
            return
        if arrival.target == "/order":
            status = self.take_order(arrival)
            await self.send(writer, status, [], b"{}")
            return
        model = arrival.get("X-Model").partition("/")[0]
        echo = [("X-Request-Id", arrival.get("X-Request-Id"))]
        if model and model not in self.models:
            await self.send(writer, 421, echo + [("X-Not-Executed", "1")], b"")
            return
        expected = arrival.get("X-Expected-Instance")
        if expected and expected != self.id:
            await self.send(writer, 421, echo + [("X-Not-Executed", "1")], b"")
            return
        await self.run(arrival, writer)

    async def run(self, arrival, writer):
        """Stream an answer."""
        request_id = arrival.get("X-Request-Id")
        self.runs.append(arrival)
        self.record(f"engine {self.id} runs {request_id}")
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request_id}",
            f"X-Response-Signature: {SIGNATURE}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        head += [f"{name}: {value}" for name, value in self.more]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        first = int(arrival.get("Last-Event-Id") or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_seconds)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def take_order(self, arrival):
        """Carry out an order and return the status of its answer."""
        order = json.loads(arrival.body)
        expected = arrival.get("X-Expected-Instance")
        entry = (time.monotonic(), order.get("holder"), order.get("fencing_token"))
        if expected and expected != self.id:
            return 421
        self.orders.append(entry)
        self.record(f"engine {self.id} gets order {order}")
        if not order.get("holder") or order.get("fencing_token") is None:
            return 400
        if order.get("expected") not in (None, self.sequence):
            return 409
        if time.monotonic() < self.busy_until:
            return 409
        model, adapter = order["model"], order.get("adapter")
        if order["operation"] == "load":
            if adapter:
                if model not in self.models:
                    return 400
                if adapter in self.models[model]:
                    return 200
                self.models[model].add(adapter)
                self.sequence += 1
                return 202
            if model in self.models:
                return 200
            self.models[model] = set()
        else:
            if adapter:
                self.models.get(model, set()).discard(adapter)
                self.sequence += 1
                return 200
            self.models.pop(model, None)
        self.sequence += 1
        self.busy_until = time.monotonic() + 0.3
        return 202
