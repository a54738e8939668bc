"""A small platform on loopback: store, workers, callers and real nodes.

Uses the standard library only. The nodes are started as the deploy file says:
`python3 -m cicadahook.programs.node` at the repository's root, with
`target/deps` on Python's path and a settings file named by `CICADAHOOK_BOOT`.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Head:
    """First line and fields of a message."""

    def __init__(self, raw: bytes) -> None:
        self.raw = raw
        lines = raw.decode("latin-1").split("\r\n")
        self.line = lines[0]
        self.fields = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                self.fields.append((name.strip().lower(), value.strip()))

    def get(self, name: str, default: str = "") -> str:
        for known, value in self.fields:
            if known == name.lower():
                return value
        return default


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return Head(raw[:-4])


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    if head.get("transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if not size:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(head.get("content-length", "0") or 0))


def encode(status: int, body: bytes, fields: dict | None = None) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.began = time.monotonic()
        self.out = (folder / "record.txt").open("w", encoding="utf-8")

    def add(self, text: str) -> None:
        self.out.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.out.flush()


class Store:
    """The platform's store: keys with revisions, leases and watches."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.log: list[dict] = []
        self.revision = 10
        self.leases: dict[int, list] = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.address = ""
        # Called with the peer's host and the call; returns "ok", "busy" (503),
        # "silent" or "lost" (carried out, not answered).
        self.rule = lambda host, method, path: "ok"
        self.calls: list[tuple[float, str, str, str]] = []

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self._expire())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (ttl, end) in list(self.leases.items()):
                if end <= now:
                    self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v["lease"] == lease]:
            self.delete(key)

    def _next(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str, value, lease: int = 0, revision: int = 0) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        if not revision:
            self.revision += 1
            revision = self.revision
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": revision,
            "created": known["created"] if known else revision,
            "lease": lease,
        }
        self.items[key] = item
        self.log.append(item)
        self._next()

    def delete(self, key: str, revision: int = 0) -> None:
        if key not in self.items:
            return
        del self.items[key]
        if not revision:
            self.revision += 1
            revision = self.revision
        self.log.append({"key": key, "revision": revision, "deleted": True})
        self._next()

    def read(self, key: str) -> bytes:
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else b""

    async def _serve(self, reader, writer) -> None:
        host = writer.get_extra_info("peername")[0]
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                method, target, _ = head.line.split(" ")
                path, _, query = target.partition("?")
                self.calls.append((time.monotonic(), host, method, path))
                rule = self.rule(host, method, path)
                if rule == "busy":
                    writer.write(encode(503, b"{}"))
                    await writer.drain()
                    continue
                if rule == "silent":
                    await asyncio.sleep(3600)
                status, answer = await self._answer(
                    method, path, urllib.parse.parse_qs(query), body
                )
                if rule == "lost":
                    await asyncio.sleep(3600)
                writer.write(encode(status, json.dumps(answer).encode(),
                                    {"Content-Type": "application/json"}))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, query, body):
        def first(name, default=""):
            return query.get(name, [default])[0]

        if path == "/kv-key":
            item = self.items.get(first("key"))
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/kv-range":
            prefix, after = first("path_prefix"), first("after")
            found = [self.items[key] for key in sorted(self.items)
                     if key.startswith(prefix) and key > after]
            return 200, {"items": found[:50], "has_more": len(found) > 50,
                         "at": self.revision}
        if path == "/kv-watch":
            prefix, after = first("path_prefix"), int(first("after", "0"))
            end = time.monotonic() + int(first("wait_ms", "0")) / 1000
            if after > self.revision:
                return 410, {}
            while True:
                events = [e for e in self.log if e["revision"] > after
                          and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-txn":
            return self._write(json.loads(body))
        if path == "/kv-lease":
            ttl = max(1000, int(json.loads(body)["ttl_ms"])) / 1000
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl, time.monotonic() + ttl]
            return 200, {"lease": self.next_lease, "ttl_ms": int(ttl * 1000)}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + ttl
            return 200, {"lease": lease, "ttl_ms": int(ttl * 1000)}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    def _write(self, body):
        items = [self.items.get(row["key"]) for row in body.get("expected", [])]
        for row, item in zip(body.get("expected", []), items):
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [i for i in items if i]}
        for row in body.get("set_keys", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        revision = self.revision
        for row in body.get("set_keys", []):
            self.put(row["key"], base64.b64decode(row["value"]),
                     row.get("lease", 0), revision)
        for key in body.get("delete_keys", []):
            self.delete(key, revision)
        return 200, {"revision": revision}


class Worker:
    """A worker: a plain service, or an engine with models.

    `answer` may be replaced: it is called with the head, the body, reader and
    writer of a request that the worker runs, and returns whether the channel
    is kept.
    """

    def __init__(self, bed: "Bed", name: str, service: str, slots: int = 8,
                 models: dict | None = None) -> None:
        self.bed, self.id, self.service = bed, name, service
        self.slots = slots
        self.models = models
        self.sequence = 0
        self.software = "v1"
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.address = ""
        self.runs: list[tuple[float, str, Head, bytes]] = []
        self.orders: list[tuple[float, dict]] = []
        self.work_s = 0.03
        self.events = 5
        self.gap_s = 0.02
        self.running = 0
        self.busy = False
        self.answer = self.answer_soundly
        self.server = None
        self.writers: set = set()

    def describe(self) -> dict:
        entry = {
            "service_name": self.service, "address": self.address,
            "zone": "zone-a", "version": self.software, "slots": self.slots,
            "state": self.state, "cold_remaining_ms": 0,
            "sequence_number": self.sequence, "born": self.born,
        }
        if self.models is not None:
            entry.update(stage="both", models=self._list_models(),
                         available={"in_memory": [], "on_disk": []})
        return entry

    def _list_models(self) -> list:
        return [{"name": name, "version": 1, "adapters": sorted(adapters)}
                for name, adapters in (self.models or {}).items()]

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 20)
        self.address = "127.0.0.1:%d" % (
            self.server.sockets[0].getsockname()[1])
        self.register()

    def register(self) -> None:
        self.bed.store.put(f"servers/{self.id}", self.describe())

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                if not await self._handle(head, body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, head, body, reader, writer) -> bool:
        method, path, _ = head.line.split(" ", 2)
        expected = head.get("x-expected-instance", self.id)
        echo = {"X-Instance-Id": self.id}
        if head.get("x-request-id"):
            echo["X-Request-Id"] = head.get("x-request-id")
        if expected != self.id:
            writer.write(encode(421, b"", {**echo, "X-Not-Executed": "1"}))
            await writer.drain()
            return True
        if path == "/health" and method == "GET":
            writer.write(encode(200, b"", echo))
        elif path == "/report" and self.models is not None:
            writer.write(encode(200, json.dumps({
                "stage": "both", "models": self._list_models(), "busy": self.busy,
                "sequence_number": self.sequence, "queued_requests": 0,
                "active_requests": self.running, "kv_used": 0,
                "kv_total": 100000, "handles": 0, "incoming": [],
                "born": self.born}).encode(), echo))
        elif path == "/order" and self.models is not None:
            order = json.loads(body)
            self.orders.append((time.monotonic(), order))
            self.bed.record.add(f"order at {self.id}: {json.dumps(order)}")
            writer.write(encode(self._order(order), b"{}", echo))
        else:
            model, _, adapter = head.get("x-model").partition("/")
            if self.models is not None and (
                model not in self.models
                or (adapter and adapter not in self.models[model])
            ):
                writer.write(encode(421, b"", {**echo, "X-Not-Executed": "1"}))
                await writer.drain()
                return True
            self.runs.append((time.monotonic(), head.get("x-request-id"),
                              head, body))
            self.running += 1
            self.bed.record.add(
                f"run at {self.id}: {head.line!r} id {head.get('x-request-id')}"
                f" body {len(body)} B")
            try:
                return await self.answer(head, body, reader, writer)
            finally:
                self.running -= 1
        await writer.drain()
        return True

    def _order(self, order) -> int:
        if order.get("expected", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        held = self.models
        if order["operation"] == "load":
            held.setdefault(order["model"], set())
            if order.get("adapter"):
                held[order["model"]].add(order["adapter"])
        elif order.get("adapter"):
            held.get(order["model"], set()).discard(order["adapter"])
        else:
            held.pop(order["model"], None)
        return 202

    def sign(self, head) -> dict:
        fields = {"X-Response-Signature": f"{self.id}.{len(self.runs)}"}
        if head.get("x-request-id"):
            fields["X-Request-Id"] = head.get("x-request-id")
        return fields

    async def answer_soundly(self, head, body, reader, writer) -> bool:
        fields = self.sign(head)
        if self.models is not None:
            fields["Content-Type"] = "text/event-stream"
            fields["Transfer-Encoding"] = "chunked"
            writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
                f"{n}: {v}\r\n" for n, v in fields.items()) + "\r\n").encode())
            first = int(head.get("last-event-id", "0") or 0) + 1
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.gap_s)
                event = f"id: {number}\ndata: {self.id} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        await asyncio.sleep(self.work_s)
        writer.write(encode(200, f"answer of {self.id}".encode(), fields))
        await writer.drain()
        return True

    def crash(self) -> None:
        """End at once: open channels are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()


class Node:
    """A process of the system."""

    def __init__(self, bed: "Bed", number: int, memory_mb: int) -> None:
        self.bed = bed
        self.name = f"front-{number}"
        self.host = f"127.{bed.block[0]}.{bed.block[1]}.{number}"
        self.memory_mb = memory_mb
        self.process = None
        self.starts = 0
        self.more = ""
        self.front, self.ready = f"{self.host}:8149", f"{self.host}:8141"

    @property
    def pid(self) -> int:
        return self.process.pid

    async def start(self) -> None:
        path = self.bed.folder / f"{self.name}.toml"
        path.write_text(f'''\
node_name = "{self.name}"
role = "node"
machine_class = "front"
serves = ["front","directory"]
ip_address = "{self.host}"
zone = "zone-a"
region = "region-a"
internal_port_range = [7380,7395]
seed_nodes = []
first_start = {"true" if not self.starts else "false"}
heartbeat_interval_ms = 1200
[zones]
zone-a = "region-a"
[listen_addresses]
front = "{self.front}"
ready = "{self.ready}"
directory = "{self.host}:8143"
[limits]
cpu_share = 0.717
cpu_cores = 3
memory_mb = {self.memory_mb}
file_descriptors = 8200
link_mbps = 2000.0
disk_mb = 0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_period_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 58
lease_ms = 3000
ceiling_window_s = 5
ttl_max_s = 5
{self.more}
[platform_settings]
address = "{self.bed.store.address}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
''', encoding="utf-8")
        environment = {k: v for k, v in os.environ.items()
                       if k in ("PATH", "HOME", "LANG")}
        environment |= {"CICADAHOOK_BOOT": str(path),
                        "PYTHONPATH": str(ROOT / "target" / "deps")}
        log = (self.bed.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3", "-m", "cicadahook.programs.node", cwd=ROOT,
            env=environment, stdout=log, stderr=log)
        log.close()
        self.starts += 1
        self.bed.record.add(f"{self.name} started")

    async def wait_ready(self, seconds: float = 25.0) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return
            if self.process.returncode is not None:
                raise RuntimeError(f"{self.name}: {self.process.returncode}")
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} isn't ready")

    async def is_ready(self, seconds: float = 1.0) -> bool:
        try:
            answer = await asyncio.wait_for(
                call(self.ready, "GET", "/ready", {}), seconds)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    def get_memory_mb(self) -> float:
        """Return the resident memory of the process; 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def signal(self, number: int) -> None:
        self.bed.record.add(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)


async def watch_memory(node: Node, kills: list) -> None:
    """Kill a process beyond its machine's memory, and start it again.

    So the platform does; see "Memory and descriptors" and "Ends" in DEPLOY.md.
    """
    while True:
        await asyncio.sleep(0.05)
        used = node.get_memory_mb()
        if node.process.returncode is None and used > node.memory_mb:
            node.bed.record.add(
                f"{node.name} uses {used:.0f} MB of {node.memory_mb} MB")
            node.signal(signal.SIGKILL)
            await node.process.wait()
            kills.append(node.name)
            await asyncio.sleep(0.5)
            await node.start()


class Answer:
    """What a caller got; status 0 if the channel ended before a head."""

    def __init__(self, status=0, head=None, body=b"", whole=False) -> None:
        self.status, self.head, self.body, self.whole = (
            status, head, body, whole)

    def __str__(self) -> str:
        return f"{self.status} {len(self.body)} B whole {self.whole}"


async def read_answer(reader) -> Answer:
    head = await read_head(reader)
    if head is None:
        return Answer()
    status = int(head.line.split(" ")[1])
    answer = Answer(status, head)
    try:
        if head.get("transfer-encoding").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                if not size:
                    await reader.readline()
                    break
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
        else:
            answer.body = await reader.readexactly(
                int(head.get("content-length", "0") or 0))
        answer.whole = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    return answer


async def call(address, method, path, fields, body=b"", raw=None) -> Answer:
    """Send one request on a new channel and return its answer."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port),
                                                   limit=1 << 22)
    try:
        if raw is None:
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": "api.example", **fields}
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in fields.items()]
            raw = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
        writer.write(raw)
        try:
            await writer.drain()
            return await read_answer(reader)
        except ConnectionError:
            return Answer()
    finally:
        writer.close()


def create_config(version: int = 1) -> dict:
    def route(name, prefix, kind, service, **more):
        return {"name": name, "hostname": "api.example", "path_prefix": prefix,
                "route_kind": kind, "timeout_ms": 3000,
                "target_latency_ms": 400, "priority": 1,
                "service_name": service, "max_attempts": 1, **more}

    model = {"weights_mb": 40.0, "load_time_s": 0.5, "adapters": 3,
             "adapter_size_mb": 1.0}
    return {
        "version": version,
        "routes": [
            route("read", "/read/", "idempotent", "portal", max_attempts=2),
            route("write", "/write/", "non_idempotent", "portal"),
            route("chat", "/chat/", "streaming", "models",
                  session_affinity=True, target_gap_ms=500),
            route("review", "/review/", "streaming", "models", max_attempts=2,
                  resumable=True, session_affinity=True, target_gap_ms=500),
        ],
        "services": [
            {"name": "portal", "health_path": "/health"},
            {"name": "models", "health_path": "/health",
             "inference_engine": {
                 "slots": 96, "weights_mb": 100.0, "adapter_slots": 2,
                 "loads_per_s": 10.0, "kv_cache_tokens": 200000,
                 "models": [{"name": "big", **model},
                            {"name": "small", **model},
                            {"name": "rare", **model}]}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


class Bed:
    """Everything of one case."""

    def __init__(self, folder: str) -> None:
        self.case = pathlib.Path(folder)
        self.record = Record(self.case)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        self.block = self._find_block()
        self.store = Store()
        self.workers: list[Worker] = []
        self.nodes: list[Node] = []

    def _find_block(self) -> tuple[int, int]:
        """Return the middle of loopback addresses on which ports are free."""
        while True:
            block = (random.randint(64, 126), random.randint(1, 254))
            try:
                for number in range(1, 5):
                    for port in (8141, 8143, 8149, 7380, 9464):
                        with socket.socket() as sock:
                            sock.bind(("127.%d.%d.%d" % (*block, number), port))
                return block
            except OSError:
                continue

    async def open(self, nodes=2, portal=2, engines=2, memory_mb=560,
                   config=None, held=("big", "small")) -> None:
        """Start everything; all engines but the first hold what `held` says."""
        await self.store.start()
        for number in range(1, portal + 1):
            self.workers.append(Worker(self, f"p{number}", "portal"))
        for number in range(1, engines + 1):
            names = ("big", "small") if number == 1 else held
            models = {name: set() for name in names}
            self.workers.append(
                Worker(self, f"e{number}", "models", 96, models))
        for worker in self.workers:
            await worker.start()
        self.store.put("op/config", config or create_config())
        asyncio.ensure_future(self._beat())
        self.nodes = [Node(self, n, memory_mb) for n in range(1, nodes + 1)]
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.wait_ready()
        await asyncio.sleep(1.0)

    async def _beat(self) -> None:
        """Workers write their entries about every heartbeat, if changed."""
        while True:
            await asyncio.sleep(1.2)
            for worker in self.workers:
                key = f"servers/{worker.id}"
                if worker.server is not None and self.store.read(key) != (
                    json.dumps(worker.describe()).encode()
                ):
                    worker.register()

    async def close(self) -> None:
        for node in self.nodes:
            process = node.process
            if process is not None and process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        self.temporary.cleanup()


def main(folder: str, play, **options) -> None:
    """Play a case: exit with 1 if the rule broke, 0 if it held, else 2."""

    async def run() -> int:
        bed = Bed(folder)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(110):
                await bed.open(**options)
                broken = await play(bed)
        except (Exception, asyncio.CancelledError) as error:
            bed.record.add(f"couldn't run: {error!r}")
            print(f"couldn't run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await bed.close()
        verdict = f"rule {'broken' if broken else 'held'}; trouble {TROUBLE}"
        bed.record.add(verdict)
        print(verdict)
        return 1 if broken else 0

    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)
