"""Stand-ins of workers: a plain service and a model engine.

They are sound unless a case changes them.
"""

import asyncio
import json
import time

from aiohttp import web

HEARTBEAT_S = 1.2


class Worker:
    """A worker of one service; an engine if it has `models`.

    Attributes:
        arrivals: (time, request id, node-side address, status) of requests.
        runs: (time, request id) of requests that it began to work on.
        orders: (time, holder, fence, operation, model, adapter, status).
        is_registered: whether it writes its entry.
    """

    def __init__(self, store, name, service, zone, models=None, **settings):
        self.store = store
        self.id = name
        self.service = service
        self.zone = zone
        self.models = models  # model: set of adapters; None for a plain one
        self.slots = settings.get("slots", 8)
        self.work_s = settings.get("work_s", 0.05)
        self.adapter_slots = settings.get("adapter_slots", 4)
        self.weights = settings.get("weights", {})
        self.weights_mb = settings.get("weights_mb", 0.0)
        self.load_s = settings.get("load_s", 0.3)
        self.version = settings.get("version", "v1")
        self.events = settings.get("events", 5)
        self.address = ""
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_busy = False
        self.is_registered = True
        self.in_use = {}
        self.headers = {}
        self.reject = None  # called with a request; an answer, or None
        self.fault = None  # awaited instead of an answer
        self.arrivals = []
        self.runs = []
        self.orders = []
        self.written = None
        self.listener = None
        self.server = None

    async def open(self, host, port):
        self.address = f"{host}:{port}"
        self.server = web.Server(
            self.handle, handler_cancellation=True, access_log=None
        )
        self.listener = await asyncio.get_running_loop().create_server(
            self.server, host, port, reuse_address=True
        )

    def end(self):
        """Exit: break off all that runs, and refuse new connections."""
        self.is_registered = False
        self.store.delete(f"servers/{self.id}")
        self.listener.close()
        for connection in list(self.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def describe(self):
        fields = {
            "service_name": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence_number": self.sequence,
            "born": self.born,
        }
        if self.models is not None:
            fields["stage"] = "both"
            fields["models"] = self._list_models()
            fields["available"] = {"in_memory": [], "on_disk": []}
        return fields

    def _list_models(self):
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    def beat(self):
        """Write the entry if more than the sequence number has changed."""
        if not self.is_registered or self.store.is_away:
            return
        fields = self.describe()
        known = self.store.read(f"servers/{self.id}") or {}
        if {**known, "sequence_number": 0} != {**fields, "sequence_number": 0}:
            self.store.put(f"servers/{self.id}", fields)

    async def run(self):
        """Write the entry at each heartbeat until cancelled."""
        while True:
            self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, request):
        body = await request.read()
        if self.fault is not None:
            self.arrivals.append(
                (
                    time.monotonic(),
                    request.headers.get("X-Request-Id", ""),
                    request.remote,
                    0,
                )
            )
            return await self.fault(request)
        if request.path == "/report":
            return self._answer(
                web.json_response(
                    {
                        "stage": "both",
                        "models": self._list_models(),
                        "busy": self.is_busy,
                        "sequence_number": self.sequence,
                        "queued_requests": 0,
                        "active_requests": sum(self.in_use.values()),
                        "kv_used": 0,
                        "kv_total": 90000,
                        "handles": 0,
                        "incoming": [],
                        "born": self.born,
                    }
                )
            )
        if request.path == "/order":
            return self._answer(self._order(request, json.loads(body)))
        if request.path == "/health":
            status = 200 if self.state == "ready" else 503
            return web.Response(
                status=status, headers={"X-Instance-Id": self.id}
            )
        return await self._serve(request)

    def _answer(self, response):
        response.headers.update(self.headers)
        return response

    def _order(self, request, order):
        status = self._decide(request, order)
        self.orders.append(
            (
                time.monotonic(),
                order.get("holder"),
                order.get("fencing_token"),
                order.get("operation"),
                order.get("model"),
                order.get("adapter"),
                status,
            )
        )
        return web.Response(status=status)

    def _decide(self, request, order):
        if request.headers.get("X-Expected-Instance", self.id) != self.id:
            return 421
        if not order.get("holder") or "fencing_token" not in order:
            return 400
        model, adapter = order["model"], order.get("adapter")
        is_load = order["operation"] == "load"
        if "expected" in order and order["expected"] != self.sequence:
            return 409
        if self.is_busy and not adapter:
            return 409
        held = self.models.get(model)
        if adapter:
            if held is None:
                return 400
            if is_load == (adapter in held):
                return 200
            self.sequence += 1
            if is_load:
                held.add(adapter)
                return 202
            held.discard(adapter)
            return 200
        if is_load == (held is not None):
            return 200
        self.sequence += 1
        self.is_busy = True
        asyncio.get_running_loop().call_later(
            self.load_s if is_load else 0.01, self._finish, model, is_load
        )
        return 202

    def _finish(self, model, is_load):
        self.is_busy = False
        if is_load:
            self.models[model] = set()
        else:
            self.models.pop(model, None)
        self.beat()

    async def _serve(self, request):
        request_id = request.headers.get("X-Request-Id", "")
        expected = request.headers.get("X-Expected-Instance", self.id)
        name = request.headers.get("X-Model", "")
        model, _, adapter = name.partition("/")
        status, answer = 0, None
        if expected != self.id:
            status = 421
        elif self.models is not None and (
            model not in self.models
            or (adapter and adapter not in self.models[model])
        ):
            status = 421
        if status:
            answer = web.Response(
                status=status,
                headers={"X-Request-Id": request_id, "X-Instance-Id": self.id},
            )
        elif self.reject is not None:
            answer = self.reject(request)
            if answer is not None:
                answer.headers["X-Request-Id"] = request_id
        peer = request.transport.get_extra_info("peername")
        self.arrivals.append(
            (
                time.monotonic(),
                request_id,
                peer[0] if peer else "",
                answer.status if answer is not None else 200,
            )
        )
        if answer is not None:
            return self._answer(answer)
        self.runs.append((time.monotonic(), request_id))
        self.in_use[name] = self.in_use.get(name, 0) + 1
        try:
            return await self._run(request, request_id)
        finally:
            self.in_use[name] -= 1

    async def _run(self, request, request_id):
        headers = {
            "X-Request-Id": request_id,
            "X-Response-Signature": f"sig-{request_id}",
            **self.headers,
        }
        if self.models is None:
            await asyncio.sleep(self.work_s)
            return web.Response(body=b"done " + self.id.encode(), headers=headers)
        response = web.StreamResponse(
            headers={**headers, "X-Weight-Versions": "1"}
        )
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.work_s / self.events)
            await response.write(
                f"id: {number}\ndata: {self.id} {number}\n\n".encode()
            )
        await response.write_eof()
        return response
