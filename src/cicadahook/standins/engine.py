"""Stand-in for a model engine.

It executes orders, reports its state and cache events, and answers chat and
text completions with a fixed function of model and prompt.
"""

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
        weights: `host:port` of the weight store; if empty, a copy serves
            without fetching weights.
        batch: batch size and speed.
        report_lag_seconds: age of the load that `/state` reports.
        restart_seconds: time for which the engine is down after a crash.
        cache_prefixes: number of prompt prefixes that the cache holds.
        event_lag_seconds: age from which `/events` includes a cache event.
        event_gap: every `event_gap`-th cache event is lost; 0 loses none.
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
    """Faults of an engine in addition to the common ones.

    Attributes:
        delay_orders_seconds: delay between receiving and applying an order.
        lose_orders: number of orders that are neither applied nor answered.
        cut_streams: number of streams that are cut half-way.
        cross_answers: number of answers that carry the id and the text of
            another attempt.
        silence_open: the connections that are open now never send anything
            again.
    """

    delay_orders_seconds: float = 0.0
    lose_orders: int = 0
    cut_streams: int = 0
    cross_answers: int = 0
    silence_open: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prompt prefix that was added to or evicted from the cache.

    Attributes:
        number: sequence number, from 1.
        recorded_at_seconds: time of the event, on the monotonic clock.
        prefix: first characters of the prompt.
        is_added: whether the prefix was added, not evicted.
    """

    number: int
    recorded_at_seconds: float
    prefix: str
    is_added: bool


class EngineStandin:
    """One engine; a prompt that crashes it restarts it in the same process.

    Attributes:
        mode: settings.
        memory: accelerator memory and the copies in it.
        batch: requests being generated.
        faults: faults in force.
        fencing: highest fencing number received; a crash resets it.
        role: role that the last role order assigned.
        restarts: restarts so far.
        crashes: crashes so far.
        is_leaving: whether the engine has announced that it is leaving.
        down_until: end of the last restart, in seconds of the monotonic
            clock.
        cache: cached prompt prefixes, least recently used first.
        events: newest cache events.
        event_numbers: source of the numbers of cache events.
        load_samples: times and requests in flight, from which the delayed
            load is read.
        open_transports: open connections.
        silenced_transports: connections on which nothing is sent any more.
        orders_received: deliveries by order id.
        tasks: running background tasks.
        started: generations started so far.
        completions: generations answered in full so far.
    """

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
        """Identifier of this run of the engine; changes at each restart."""
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
        """Drop calls during a restart and hang silenced connections."""
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
        """Remove closed connections from the sets."""
        closed = {
            transport
            for transport in self.open_transports
            if transport is None or transport.is_closing()
        }
        self.open_transports -= closed
        self.silenced_transports -= closed

    def _silence_open_connections(self, own: Any) -> None:
        """Silence all open connections but `own` if `silence_open` is set."""
        if self.faults.faults.silence_open:
            self.silenced_transports |= self.open_transports - {own}
            self.faults.faults = dataclasses.replace(
                self.faults.faults, silence_open=False
            )

    async def _hang_if_silenced(self, request: web.Request) -> None:
        if request.transport in self.silenced_transports:
            await asyncio.Event().wait()

    async def check_health(self, request: web.Request) -> web.Response:
        """Return whether the engine is live or leaving."""
        del request
        state = "leaving" if self.is_leaving else "live"
        return web.json_response({"state": state})

    async def leave(self, request: web.Request) -> web.Response:
        """Mark the engine as leaving; it keeps serving."""
        self.is_leaving = True
        return await self.check_health(request)

    async def get_state(self, request: web.Request) -> web.Response:
        """Return memory, copies, fencing number, counters and delayed load."""
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
        """Return the requests in flight as of `report_lag_seconds` ago."""
        now = time.monotonic()
        self.load_samples.append((now, self.batch.in_flight))
        newest_due = self.load_samples[0]
        while self.load_samples[0][0] <= now - self.mode.report_lag_seconds:
            newest_due = self.load_samples.popleft()
        self.load_samples.appendleft(newest_due)
        return newest_due[1]

    async def get_events(self, request: web.Request) -> web.Response:
        """Return the cache events after a number that are old enough."""
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
        """Apply an order, unless a fault delays or loses it."""
        body = await request.json()
        active_faults = self.faults.faults
        if active_faults.lose_orders > 0:
            self.faults.faults = dataclasses.replace(
                active_faults, lose_orders=active_faults.lose_orders - 1
            )
            await asyncio.Event().wait()
        if active_faults.delay_orders_seconds:
            # The order is applied even if its sender has disconnected by then.
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
        """Apply an order unless its fencing number is old."""
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
        """Start loading a copy; a repeated order has no further effect."""
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
        """Unload a copy, at once or when its last request has ended."""
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
        """Fetch the weights of `copy`, with retries, then mark it serving."""
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
        """Answer a chat completion."""
        body = await request.json()
        prompt = generated_text.join_prompt(body["messages"])
        return await self._complete(request, body, prompt, True)

    async def complete_text(self, request: web.Request) -> web.StreamResponse:
        """Answer a text completion."""
        body = await request.json()
        return await self._complete(request, body, str(body["prompt"]), False)

    async def _complete(
        self,
        request: web.Request,
        body: dict[str, Any],
        prompt: str,
        is_chat: bool,
    ) -> web.StreamResponse:
        """Generate an answer if a copy of the model serves, else refuse."""
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
            self.crash()
            faults.drop_connection(request)
            return _refuse("crashed", 503)
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

    def crash(self) -> None:
        """Crash: drop connections, copies, jobs, cache and fencing number."""
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

    async def _generate(
        self, request: web.Request, completion: completions.CompletionRequest
    ) -> web.StreamResponse:
        """Submit a job to the batch and send its tokens, streamed or whole."""
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
        """Substitute another attempt's id and prompt if that fault is set."""
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
        """Return the prefill steps, 0 on a cache hit, and update the cache."""
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
        """Record a cache event unless `event_gap` loses it."""
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
            pass  # The entry cancelled the attempt and closed the connection.
        return response

    async def _send_tokens(
        self,
        request: web.Request,
        response: web.StreamResponse,
        completion: completions.CompletionRequest,
        job: batch_lib.Job,
        cut_at: int,
    ) -> None:
        """Send all tokens and the end marker, or cut the stream at `cut_at`."""
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
        """Return the token position at which to cut the stream, or -1."""
        remaining = self.faults.faults.cut_streams
        if not remaining:
            return -1
        self.faults.faults = dataclasses.replace(
            self.faults.faults, cut_streams=remaining - 1
        )
        return (completion.resume_from + completion.token_count) // 2


async def _read_tokens(job: batch_lib.Job) -> Any:
    """Yield the tokens of `job` as they are generated."""
    while (token := await job.output.get()) is not None:
        yield token


async def _try_fetch(session: aiohttp.ClientSession, url: str) -> bool:
    """Fetch `url`; return whether the answer was 200."""
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


def _refuse(code: str, status: int) -> web.Response:
    """Return an error answer; the engine has done nothing."""
    return web.json_response(
        {"error": {"code": code, "message": code}}, status=status
    )


async def _send_chunk(
    response: web.StreamResponse, chunk: dict[str, Any]
) -> None:
    """Write `chunk` as one server-sent event."""
    await response.write(b"data: " + json.dumps(chunk).encode() + b"\n\n")
