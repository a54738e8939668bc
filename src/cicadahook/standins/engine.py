"""Stand-in for a model engine: orders, state, chat and completions."""

import asyncio
import collections
import dataclasses
import itertools
import json
import time
from typing import Any, Final

import aiohttp
from aiohttp import web

from cicadahook.core import view
from cicadahook.standins import accelerator_memory
from cicadahook.standins import batch as batch_lib
from cicadahook.standins import completions
from cicadahook.standins import faults
from cicadahook.standins import generated_text

CRASH_MARKER: Final = "CRASH-THE-ENGINE"
PREFIX_CHARACTERS: Final = 64
DEFAULT_PRIORITY: Final = 1
EVENT_LIMIT: Final = 1000
CACHE_MISS_PREFILL_STEPS: Final = 4


@dataclasses.dataclass(frozen=True)
class EngineMode:
    """Settings of an engine.

    Attributes:
        capacity_bytes: accelerator memory, in bytes.
        checks_fencing: whether orders with an old fencing number are refused.
        weights: `host:port` of the weight store; empty loads at once.
        batch: speed.
        report_lag_seconds: age of the load that `/state` reports.
        restart_seconds: time down after a crash.
        cache_prefixes: prompt prefixes that the cache holds.
        event_lag_seconds: age at which a cache event shows.
        event_gap: every so many cache events one is lost; 0 loses none.
    """

    capacity_bytes: int = 80_000_000_000
    checks_fencing: bool = True
    weights: str = ""
    batch: batch_lib.BatchMode = batch_lib.BatchMode()
    report_lag_seconds: float = 0.5
    restart_seconds: float = 1.0
    cache_prefixes: int = 64
    event_lag_seconds: float = 0.5
    event_gap: int = 0


@dataclasses.dataclass(frozen=True)
class EngineFaults(faults.Faults):
    """Faults of an engine beside the common ones.

    Attributes:
        delay_orders_seconds: orders take this long to arrive.
        lose_orders: so many orders get lost before they arrive.
        cut_streams: so many streams are cut in the middle.
        cross_answers: so many answers carry another attempt's id and text.
        silence_open: connections open now go silent for good.
    """

    delay_orders_seconds: float = 0.0
    lose_orders: int = 0
    cut_streams: int = 0
    cross_answers: int = 0
    silence_open: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix that entered or left the cache."""

    number: int
    recorded_at_seconds: float
    prefix: str
    is_added: bool


class EngineStandin:
    """One engine, restarted in place when a prompt crashes it."""

    def __init__(self, mode: EngineMode = EngineMode()) -> None:
        self.mode = mode
        self.memory = accelerator_memory.AcceleratorMemory(mode.capacity_bytes)
        self.batch = batch_lib.Batch(mode.batch)
        self.faults = faults.FaultControl(EngineFaults())
        self.fencing = 0
        self.role = ""
        self.restarts = 0
        self.crashes = 0
        self.is_leaving = False
        self.down_until = 0.0
        self.cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[CacheEvent] = collections.deque(
            maxlen=EVENT_LIMIT
        )
        self.event_numbers = itertools.count(1)
        self.load_samples: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.open_transports: set[Any] = set()
        self.silenced_transports: set[Any] = set()
        self.orders_received: collections.Counter[str] = collections.Counter()
        self.tasks: set[asyncio.Task[None]] = set()
        self.started = 0
        self.completions = 0

    @property
    def incarnation(self) -> str:
        """Changes at each restart."""
        return f"{id(self):x}-{self.restarts}"

    def create_app(self) -> web.Application:
        """Return the application that serves the engine's API."""
        app = web.Application()
        app.middlewares.append(self.connection_middleware)
        self.faults.install(app)
        app.router.add_get("/healthz", self.check_health)
        app.router.add_get("/state", self.get_state)
        app.router.add_get("/events", self.get_events)
        app.router.add_post("/orders", self.receive_order)
        app.router.add_post("/leave", self.leave)
        app.router.add_post("/v1/chat/completions", self.complete_chat)
        app.router.add_post("/v1/completions", self.complete_text)
        return app

    @web.middleware
    async def connection_middleware(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Apply crashes and silent connections."""
        if request.path == "/faults":
            response: web.StreamResponse = await handler(request)
            self._silence_open_connections(request.transport)
            return response
        self._discard_closed()
        self.open_transports.add(request.transport)
        if time.monotonic() < self.down_until:
            faults.drop_connection(request)
            raise web.HTTPServiceUnavailable()
        await self._hang_if_silenced(request)
        response = await handler(request)
        await self._hang_if_silenced(request)
        return response

    def _discard_closed(self) -> None:
        """Drop closed connections from the sets."""
        closed = {
            transport
            for transport in self.open_transports
            if transport is None or transport.is_closing()
        }
        self.open_transports -= closed
        self.silenced_transports -= closed

    def _silence_open_connections(self, own: Any) -> None:
        """Silence the open connections if that was ordered."""
        if self.faults.faults.silence_open:
            self.silenced_transports |= self.open_transports - {own}
            self.faults.faults = dataclasses.replace(
                self.faults.faults, silence_open=False
            )

    async def _hang_if_silenced(self, request: web.Request) -> None:
        if request.transport in self.silenced_transports:
            await asyncio.Event().wait()

    async def check_health(self, request: web.Request) -> web.Response:
        """Answer that the engine lives and whether it is leaving."""
        del request
        state = "leaving" if self.is_leaving else "live"
        return web.json_response({"state": state})

    async def leave(self, request: web.Request) -> web.Response:
        """Announce that the engine is leaving."""
        self.is_leaving = True
        return await self.check_health(request)

    async def get_state(self, request: web.Request) -> web.Response:
        """Answer memory, copies, fencing number and the lagging load."""
        del request
        return web.json_response(
            {
                **self.memory.describe(),
                "incarnation": self.incarnation,
                "fencing": self.fencing,
                "role": self.role,
                "state": "leaving" if self.is_leaving else "live",
                "in_flight": self._delayed_load(),
                "crashes": self.crashes,
                "started": self.started,
                "completions": self.completions,
            }
        )

    def _delayed_load(self) -> int:
        """Return the load as it was `report_lag_seconds` ago."""
        now = time.monotonic()
        self.load_samples.append((now, self.batch.in_flight))
        newest_due = self.load_samples[0]
        while self.load_samples[0][0] <= now - self.mode.report_lag_seconds:
            newest_due = self.load_samples.popleft()
        self.load_samples.appendleft(newest_due)
        return newest_due[1]

    async def get_events(self, request: web.Request) -> web.Response:
        """Answer the cache events after a number, late and with gaps."""
        after = int(request.query.get("after", "0"))
        due = time.monotonic() - self.mode.event_lag_seconds
        due_events = [
            {
                "number": event.number,
                "prefix": event.prefix,
                "added": event.is_added,
            }
            for event in self.events
            if event.number > after and event.recorded_at_seconds <= due
        ]
        return web.json_response({"events": due_events})

    async def receive_order(self, request: web.Request) -> web.Response:
        """Take a load, unload, role or fence order."""
        body = await request.json()
        active_faults = self.faults.faults
        if active_faults.lose_orders > 0:
            self.faults.faults = dataclasses.replace(
                active_faults, lose_orders=active_faults.lose_orders - 1
            )
            await asyncio.Event().wait()
        if active_faults.delay_orders_seconds:
            # The order is on its way whether or not its sender still waits.
            return await asyncio.shield(
                asyncio.create_task(
                    self._apply_delayed_order(
                        body, active_faults.delay_orders_seconds
                    )
                )
            )
        return self._apply_order(body)

    async def _apply_delayed_order(
        self, body: dict[str, Any], delay_seconds: float
    ) -> web.Response:
        await asyncio.sleep(delay_seconds)
        return self._apply_order(body)

    def _apply_order(self, body: dict[str, Any]) -> web.Response:
        """Apply an order that has arrived."""
        self.orders_received[str(body["id"])] += 1
        fencing = int(body["fencing"])
        if self.mode.checks_fencing and fencing < self.fencing:
            return _refuse("old_fencing", 409)
        self.fencing = max(self.fencing, fencing)
        match body["action"]:
            case "load":
                return self._load(body)
            case "unload":
                return self._unload(str(body["row"]), str(body["version"]))
            case "role":
                self.role = str(body["role"])
                return web.json_response({"state": "done"})
            case "fence":
                return web.json_response({"state": "done"})
        return _refuse("unknown_action", 400)

    def _load(self, body: dict[str, Any]) -> web.Response:
        """Start to load a copy; repeating the order changes nothing."""
        key = str(body["row"]), str(body["version"])
        if key in self.memory.copies:
            state = self.memory.copies[key].state
            return web.json_response({"state": state.value})
        if not self.memory.is_base_serving(str(body.get("base", ""))):
            return _refuse("base_missing", 409)
        copy = accelerator_memory.ResidentCopy(
            row=key[0],
            base=str(body.get("base", "")),
            version=key[1],
            memory_bytes=int(body["memory_bytes"]),
            state=view.CopyState.LOADING,
        )
        if not self.memory.allocate(copy):
            return _refuse("overcommit", 507)
        self._start_task(self._fetch_weights(copy))
        return web.json_response({"state": copy.state.value})

    def _unload(self, row: str, version: str) -> web.Response:
        """Start to unload a copy, which ends when its requests have."""
        copy = self.memory.copies.get((row, version))
        if copy is None:
            return web.json_response({"state": "absent"})
        copy.state = view.CopyState.UNLOADING
        if not copy.in_flight:
            self.memory.free(row, version)
        return web.json_response({"state": "unloading"})

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _fetch_weights(
        self, copy: accelerator_memory.ResidentCopy
    ) -> None:
        """Fetch the weights of `copy` until it works, then serve it."""
        if self.mode.weights:
            url = (
                f"http://{self.mode.weights}/weights/{copy.row}/{copy.version}"
            )
            async with aiohttp.ClientSession() as session:
                while not await _try_fetch(session, url):
                    await asyncio.sleep(0.2)
        if copy.state is view.CopyState.LOADING:
            copy.state = view.CopyState.SERVING

    async def complete_chat(self, request: web.Request) -> web.StreamResponse:
        """Answer a chat."""
        body = await request.json()
        prompt = generated_text.join_prompt(body["messages"])
        return await self._complete(request, body, prompt, True)

    async def complete_text(self, request: web.Request) -> web.StreamResponse:
        """Answer a plain prompt."""
        body = await request.json()
        return await self._complete(request, body, str(body["prompt"]), False)

    async def _complete(
        self,
        request: web.Request,
        body: dict[str, Any],
        prompt: str,
        is_chat: bool,
    ) -> web.StreamResponse:
        """Generate and send an answer."""
        completion = completions.CompletionRequest(
            model=str(body["model"]),
            prompt=prompt,
            token_count=int(
                body.get("max_tokens") or generated_text.DEFAULT_TOKENS
            ),
            resume_from=int(body.get("resume_from", 0)),
            priority=int(body.get("priority", DEFAULT_PRIORITY)),
            attempt_id=request.headers.get("X-Attempt-Id", "none"),
            is_chat=is_chat,
            is_stream=bool(body.get("stream")),
        )
        if CRASH_MARKER in prompt:
            return self._crash(request)
        copy = self.memory.find_serving(completion.model)
        if copy is None:
            return _refuse("not_resident", 404)
        copy.in_flight += 1
        self.started += 1
        try:
            return await self._generate(request, completion)
        finally:
            copy.in_flight -= 1
            is_unloading = copy.state is view.CopyState.UNLOADING
            if is_unloading and not copy.in_flight:
                self.memory.free(copy.row, copy.version)

    def _crash(self, request: web.Request) -> web.Response:
        """Die: drop all connections and all state, and restart later."""
        self.crashes += 1
        self.restarts += 1
        self.down_until = time.monotonic() + self.mode.restart_seconds
        overcommits = self.memory.overcommits
        self.memory = accelerator_memory.AcceleratorMemory(
            self.mode.capacity_bytes
        )
        self.memory.overcommits = overcommits
        self.batch.clear()
        self.cache.clear()
        self.fencing = 0
        for transport in self.open_transports:
            if transport is not None:
                transport.abort()
        faults.drop_connection(request)
        return _refuse("crashed", 503)

    async def _generate(
        self, request: web.Request, completion: completions.CompletionRequest
    ) -> web.StreamResponse:
        """Run a job and send its tokens."""
        completion = self._substitute_attempt(completion)
        tokens = list(
            generated_text.generate_tokens(
                completion.model, completion.prompt, completion.token_count
            )
        )
        job = self.batch.submit(
            completion.priority,
            tokens[completion.resume_from :],
            self._prefill_steps(completion),
        )
        try:
            if completion.is_stream:
                return await self._stream(request, completion, job)
            parts = [token async for token in _read_tokens(job)]
            self.completions += 1
            return web.json_response(
                completions.describe_answer(completion, "".join(parts))
            )
        finally:
            job.is_cancelled = True

    def _substitute_attempt(
        self, completion: completions.CompletionRequest
    ) -> completions.CompletionRequest:
        """Swap in another attempt's id and prompt if that was ordered."""
        remaining = self.faults.faults.cross_answers
        if not remaining:
            return completion
        self.faults.faults = dataclasses.replace(
            self.faults.faults, cross_answers=remaining - 1
        )
        return dataclasses.replace(
            completion, attempt_id="another-attempt", prompt="another prompt"
        )

    def _prefill_steps(self, completion: completions.CompletionRequest) -> int:
        """Return the steps before the first token; cache hits take none."""
        prefix = completion.prompt[:PREFIX_CHARACTERS]
        is_hit = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if is_hit:
            return 0
        self._record_event(prefix, True)
        while len(self.cache) > self.mode.cache_prefixes:
            oldest, _ = self.cache.popitem(last=False)
            self._record_event(oldest, False)
        return CACHE_MISS_PREFILL_STEPS

    def _record_event(self, prefix: str, is_added: bool) -> None:
        """Publish a cache event unless it falls into a gap."""
        number = next(self.event_numbers)
        if self.mode.event_gap and number % self.mode.event_gap == 0:
            return
        self.events.append(
            CacheEvent(number, time.monotonic(), prefix, is_added)
        )

    async def _stream(
        self,
        request: web.Request,
        completion: completions.CompletionRequest,
        job: batch_lib.Job,
    ) -> web.StreamResponse:
        """Send the tokens of `job` as server-sent events."""
        cut_at = self._next_cut_position(completion)
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Attempt-Id": completion.attempt_id,
            }
        )
        await response.prepare(request)
        try:
            await self._send_tokens(request, response, completion, job, cut_at)
        except ConnectionError:
            pass  # The entry cancelled the attempt.
        return response

    async def _send_tokens(
        self,
        request: web.Request,
        response: web.StreamResponse,
        completion: completions.CompletionRequest,
        job: batch_lib.Job,
        cut_at: int,
    ) -> None:
        """Send all tokens and the end, or cut the stream at `cut_at`."""
        position = completion.resume_from
        async for token in _read_tokens(job):
            if position == cut_at:
                faults.drop_connection(request)
                return
            await self._hang_if_silenced(request)
            await _send_chunk(
                response,
                completions.describe_chunk(completion, token, position),
            )
            position += 1
        await self._hang_if_silenced(request)
        await _send_chunk(
            response, completions.describe_chunk(completion, None, position)
        )
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        self.completions += 1

    def _next_cut_position(
        self, completion: completions.CompletionRequest
    ) -> int:
        """Return the position at which to cut the stream, or -1."""
        remaining = self.faults.faults.cut_streams
        if not remaining:
            return -1
        self.faults.faults = dataclasses.replace(
            self.faults.faults, cut_streams=remaining - 1
        )
        return (completion.resume_from + completion.token_count) // 2


async def _read_tokens(job: batch_lib.Job) -> Any:
    """Yield the tokens of `job` until its end."""
    while (token := await job.output.get()) is not None:
        yield token


async def _try_fetch(session: aiohttp.ClientSession, url: str) -> bool:
    """Fetch `url`; return whether it worked."""
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


def _refuse(code: str, status: int) -> web.Response:
    """Answer that the engine did nothing."""
    return web.json_response(
        {"error": {"code": code, "message": code}}, status=status
    )


async def _send_chunk(
    response: web.StreamResponse, chunk: dict[str, Any]
) -> None:
    """Write `chunk` as one server-sent event."""
    await response.write(b"data: " + json.dumps(chunk).encode() + b"\n\n")
