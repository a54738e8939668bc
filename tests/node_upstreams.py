"""Stand-ins of upstreams: a plain service and a model engine."""

import asyncio
from collections.abc import Callable, Mapping
import dataclasses
import json
import socket
import struct
from typing import Any

from aiohttp import web
import multidict

import brittle_state

RESET = struct.pack("ii", 1, 0)
LIMIT_HEADER = "Server-Limit"
BRITTLE_HEADER = "Server-Brittle"
LEAVING_HEADER = "Server-Leaving"
HEALTH_PATH = "/health"


@dataclasses.dataclass
class Arrival:
    """A request as an upstream received it, by the event loop's clock.

    Attributes:
        path: path and query.
        headers: headers.
        body: body.
        time: when it came.
        connection: its connection.
        first_id: id of the first request that came on it.
        is_answered_twice: whether stray bytes were sent before its answer.
    """

    path: str
    headers: "multidict.CIMultiDictProxy[str]"
    body: bytes
    time: float = 0.0
    connection: asyncio.Transport | None = None
    first_id: str = ""
    is_answered_twice: bool = False

    @property
    def id(self) -> str:
        """Id of the request; empty if it has none."""
        return self.headers.get("X-Request-Id", "")


def list_shared_parts(headers: Mapping[str, str]) -> list[str]:
    """Return the parts of a prompt that other requests may hold too."""
    parts = headers.get("X-Prompt-Prefix", "").split(",")
    return [part.partition(":")[0] for part in parts[:-1]]


@dataclasses.dataclass
class CrashState:
    """Crashes of an upstream.

    Attributes:
        fatal_parts: parts of prompts that crash it when it begins an answer.
        restart_seconds: time from a crash to its restart.
        on_restart: called when it has restarted.
        times: when it crashed, by the event loop's clock.
        is_down: whether it has crashed and not restarted yet.
        transports: connections of the requests that it runs.
        restarting: tasks that restart it.
    """

    fatal_parts: set[str] = dataclasses.field(default_factory=set)
    restart_seconds: float = 0.5
    on_restart: Callable[[], None] = lambda: None
    times: list[float] = dataclasses.field(default_factory=list)
    is_down: bool = False
    transports: set[asyncio.Transport] = dataclasses.field(default_factory=set)
    restarting: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)


class UpstreamStandin:
    """Stand-in of an upstream that records what it receives.

    Attributes:
        id: its instance id.
        arrivals: requests in the order of their arrival.
        mode: how it answers requests: `ok`, `full`, `error`, `reset` (after
            the head of an answer without a length), `crossed` (with the id of
            another request), `unsigned` or `hang`.
        models: adapters that it holds, by model.
        sequence: number of accepted orders.
        orders: bodies of received orders.
        order_times: when they came, by the event loop's clock.
        running: number of requests in progress.
        events: number of events in a stream.
        event_seconds: time between events.
        cut_after: number of the event in which a stream is cut; 0 for none.
        born: start time in Unix milliseconds.
        is_silent: whether orders and reports get no answer.
        is_busy: whether it reports that it is carrying out an order.
        limit: value of the request limit that it names; None for none.
        calls: times of all calls that it received, by the event loop's clock.
        cut_bytes: how much of that event is sent.
        cuts_resumed: whether `cut_after` applies to resumed streams too.
        software: version of its software.
        continuation: bytes of a stream that goes on, and then its end; None
            for the events that come next.
        crash_state: its crashes.
        brittle: its room if it is brittle, else None.
        rest: value of `Retry-After` in its rejections; None for none.
        says_leaving: whether its answers say that it leaves.
        stray: what it sends in front of its answer where its connection has
            been used before, `{earlier}` being the id of the first request;
            empty for nothing.
        stream_type: class of its streams.
    """

    cut_bytes: int = 7
    cuts_resumed: bool = True
    rest: float | str | None = None
    says_leaving: bool = False
    software: str = "v1"
    is_busy: bool = False
    stray: str = ""
    continuation: bytes | None = None
    stream_type: type[web.StreamResponse] = web.StreamResponse

    def __init__(self, name: str, service: str) -> None:
        self.id = name
        self.service = service
        self.arrivals: list[Arrival] = []
        self.mode = "ok"
        self.models: dict[str, set[str]] = {}
        self.sequence = 0
        self.orders: list[dict[str, Any]] = []
        self.order_times: list[float] = []
        self.running = 0
        self.events = 5
        self.event_seconds = 0.01
        self.cut_after = 0
        self.address = ""
        self.state = "ready"
        self.born = 1_700_000_000_000
        self.is_silent = False
        self.limit: float | str | None = None
        self.calls: list[float] = []
        self.crash_state = CrashState()
        self.brittle: brittle_state.BrittleState | None = None

    def describe(self) -> dict[str, Any]:
        """Return its registration in the store."""
        return {
            "service_name": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": self.software,
            "slots": 4,
            "state": self.state,
            "cold_remaining_ms": 0,
            "models": self._list_models(),
            "available": {"in_memory": [], "on_disk": []},
            "sequence_number": self.sequence,
            "born": self.born,
        }

    def restart(self) -> None:
        """Restart under the same id, without copies."""
        self.born += 1
        self.models = {}
        self.sequence = 0

    def crash(self) -> None:
        """Break off all it runs, and restart with the models that it held."""
        self.crash_state.times.append(asyncio.get_running_loop().time())
        self.crash_state.is_down = True
        for transport in self.crash_state.transports:
            transport.abort()
        task = asyncio.create_task(self._come_back(self.models))
        self.crash_state.restarting.add(task)
        task.add_done_callback(self.crash_state.restarting.discard)

    async def _come_back(self, models: dict[str, set[str]]) -> None:
        await asyncio.sleep(self.crash_state.restart_seconds)
        self.restart()
        self.models = models
        self.crash_state.is_down = False
        self.crash_state.on_restart()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call; each answer names the limit in force."""
        transport = request.transport
        if self.crash_state.is_down or transport is None:
            if transport is not None:
                transport.abort()
            return web.Response()
        self.calls.append(asyncio.get_running_loop().time())
        if self.is_silent and request.path in ("/report", "/order"):
            await asyncio.Event().wait()
        if request.path == "/report":
            return self._name_limit(
                web.json_response(
                    {
                        "stage": "both",
                        "models": self._list_models(),
                        "busy": self.is_busy,
                        "sequence_number": self.sequence,
                        "incoming": [],
                        "born": self.born,
                    }
                )
            )
        if request.path == HEALTH_PATH:
            return self._name_limit(self._tell_health(request))
        if request.path == "/order":
            order = json.loads(await request.read())
            return self._name_limit(self._order(order))
        body = await request.read()
        arrival = self._record(request, body, transport)
        self.running += 1
        self.crash_state.transports.add(transport)
        try:
            rejection = self._reject(request)
            if rejection is not None:
                return self._name_limit(rejection)
            if self.stray and arrival.first_id != arrival.id:
                arrival.is_answered_twice = True
                stray = self.stray.format(earlier=arrival.first_id)
                transport.write(stray.encode())
            return await self._answer(request, body)
        except ConnectionError:
            if not self.crash_state.times:
                raise
            return web.Response()
        finally:
            self.running -= 1
            self.crash_state.transports.discard(transport)

    def _record(
        self,
        request: web.BaseRequest,
        body: bytes,
        connection: asyncio.Transport,
    ) -> Arrival:
        """Record a request and return its record."""
        arrival = Arrival(
            request.raw_path, request.headers, body, self.calls[-1], connection
        )
        before = [
            each for each in self.arrivals if each.connection is connection
        ]
        arrival.first_id = before[0].first_id if before else arrival.id
        self.arrivals.append(arrival)
        return arrival

    def _name_limit(self, response: web.Response) -> web.Response:
        """Add the limit in force to an answer."""
        if self.limit is not None:
            response.headers[LIMIT_HEADER] = str(self.limit)
        return response

    def _tell_health(self, request: web.BaseRequest) -> web.Response:
        """Return the answer to a question about its health."""
        is_meant = (
            request.headers.get("X-Expected-Instance", self.id) == self.id
        )
        return web.json_response(
            {"born": self.born},
            status=200 if is_meant else 421,
            headers={"X-Instance-Id": self.id},
        )

    def _reject(self, request: web.BaseRequest) -> web.Response | None:
        """Return the answer to a request that it does not run, else None."""
        expected = request.headers.get("X-Expected-Instance", self.id)
        model, _, adapter = request.headers.get("X-Model", "").partition("/")
        is_missing = model and (
            model not in self.models
            or (adapter and adapter not in self.models[model])
        )
        echoed = {"X-Request-Id": request.headers.get("X-Request-Id", "")}
        if expected != self.id or is_missing:
            return web.Response(
                status=421, headers={**echoed, "X-Instance-Id": self.id}
            )
        is_full = self.mode == "full"
        brittle = self.brittle
        if brittle and brittle.is_full():
            is_full = True
            if brittle.reject(asyncio.get_running_loop().time()):
                self.crash()
        if not is_full:
            return None
        headers = {**echoed, "X-Not-Executed": "1"}
        if brittle:
            headers[BRITTLE_HEADER] = str(brittle.bound)
        if self.rest is not None:
            headers["Retry-After"] = str(self.rest)
        if self.says_leaving:
            headers[LEAVING_HEADER] = "1"
        return web.Response(status=503, headers=headers)

    async def _answer(
        self, request: web.BaseRequest, body: bytes
    ) -> web.StreamResponse:
        """Run a request and answer it."""
        request_id = request.headers.get("X-Request-Id", "")
        headers = {
            "X-Request-Id": request_id,
            "X-Response-Signature": f"sig-{request_id}",
        }
        if self.limit is not None:
            headers[LIMIT_HEADER] = str(self.limit)
        if self.says_leaving:
            headers[LEAVING_HEADER] = "1"
        if self.brittle is not None:
            headers[BRITTLE_HEADER] = str(self.brittle.bound)
            await self.brittle.run()
        if self.mode == "error":
            return web.Response(status=500, body=b"broken", headers=headers)
        if self.mode == "crossed":
            headers["X-Request-Id"] = "another"
        if self.mode == "unsigned":
            del headers["X-Response-Signature"]
        if self.mode == "hang":
            await asyncio.sleep(30)
        if self.mode == "reset":
            await self._reset(request, headers)
        if "X-Model" in request.headers:
            return await self._stream(request, headers)
        return await self._answer_plainly(request, headers, body)

    async def _answer_plainly(
        self, request: web.BaseRequest, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        answer = await self._create_answer(request, body)
        return web.Response(body=answer, headers=headers)

    async def _create_answer(
        self, request: web.BaseRequest, body: bytes
    ) -> bytes:
        """Return the body of a plain answer."""
        del request, body
        return b"answer"

    def _plan_stream(self, request: web.BaseRequest) -> tuple[int, float]:
        """Return the number of events and the seconds between them."""
        del request
        return self.events, self.event_seconds

    def _create_event(self, request: web.BaseRequest, number: int) -> bytes:
        del request
        return f"id: {number}\ndata: piece {number}\n\n".encode()

    async def _reset(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> None:
        """Answer without a length, then reset the connection."""
        transport = request.transport
        assert transport is not None, "no connection"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", "ans"])
        transport.write(head.encode())
        await asyncio.sleep(0.05)
        sock: socket.socket = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        transport.abort()

    async def _stream(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = self.stream_type(headers=headers)
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        if self.crash_state.fatal_parts & set(
            list_shared_parts(request.headers)
        ):
            await asyncio.sleep(self.event_seconds / 2)
            self.crash()
            return response
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        if self.continuation is not None and first > 1:
            await response.write(self.continuation)
            await response.write_eof()
            return response
        count, seconds = self._plan_stream(request)
        for number in range(first, count + 1):
            await asyncio.sleep(seconds)
            event = self._create_event(request, number)
            if number == self.cut_after and (first == 1 or self.cuts_resumed):
                if self.cut_bytes:
                    await response.write(event[: self.cut_bytes])
                assert request.transport is not None, "no connection"
                request.transport.close()
                return response
            await response.write(event)
        await response.write_eof()
        return response

    def _order(self, order: dict[str, Any]) -> web.Response:
        self.orders.append(order)
        self.order_times.append(asyncio.get_running_loop().time())
        if order.get("expected", self.sequence) != self.sequence:
            return web.Response(status=409)
        model, adapter = order["model"], order.get("adapter")
        self.sequence += 1
        if order["operation"] == "load":
            held = self.models.setdefault(model, set())
            if adapter:
                held.add(adapter)
        elif adapter:
            self.models[model].discard(adapter)
        else:
            self.models.pop(model, None)
        return web.Response(status=202)

    def _list_models(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.models.items()
        ]
