"""Node processes on loopback with stand-ins of their store and upstreams.

A link of each node to each upstream can delay, hold back or reset bytes.
"""

import asyncio
import contextlib
import functools
import pathlib
import signal
import time
from typing import Any, Final

import aiohttp
from aiohttp import web

from cicadahook.platform import caller_server
import node_links
import node_process
import node_store
import node_testbed
import node_upstreams
from soak import closing_response
from soak import node_checker
from soak import results as results_lib
from soak import stray_bytes

NODE_COUNT: Final = 4
PORT_OFFSET: Final = 10
LINK_OFFSET: Final = 20
WEIGHTS_MB: Final = 100.0
MODEL_MB: Final = 40.0
ADAPTER_MB: Final = 1.0
ADAPTER_SLOTS: Final = 2
LOAD_SECONDS: Final = 0.6
POLL_SECONDS: Final = 0.2
PROBE_SECONDS: Final = 2.0
PLAIN_PARTS: Final = 3
UPSTREAM_NAMES: Final = ("p1", "p2", "p3", "e1", "e2", "e3", "e4")
MODELS: Final = ("big", "small", "other")


class Upstream(node_upstreams.UpstreamStandin):
    """An upstream behind a link, which records its runs.

    Attributes:
        name: own name, which stays the same when it restarts under another id.
        link: the link that nodes connect to.
        checker: records the runs.
        address: `host:port` of the link.
        leaving_since: monotonic time since which its entry is marked as
            leaving or removed; None while it is ready.
        strays: what it sends beside its answers; None for nothing.
        dies_in_order: whether all its connections end in order when it
            crashes, instead of by a reset.
    """

    strays: stray_bytes.StrayBytes | None = None
    dies_in_order: bool = False

    def __init__(
        self,
        name: str,
        service: str,
        link: node_links.LinkGroup,
        checker: node_checker.GuaranteeChecker,
    ) -> None:
        super().__init__(name, service)
        self.name = name
        self.link = link
        self.checker = checker
        self.leaving_since: float | None = None
        self.address = f"{node_testbed.HOST}:{link.port}"

    def restart_as(self, name: str) -> None:
        """End all connections and restart under an id, with no models."""
        self.link.close(in_order=self.dies_in_order)
        self.restart()
        self.id = name
        self.state = "ready"
        self.says_leaving = False
        self.leaving_since = None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call, maybe with stray bytes beside the answer."""
        strays = self.strays
        if strays is None:
            return await super().handle(request)
        place, stray = strays.draw(request)
        if place == stray_bytes.BEFORE:
            strays.send_before(request, stray)
        elif place == stray_bytes.BETWEEN:
            strays.due[request.transport] = stray
        response = await super().handle(request)
        if place in (stray_bytes.AFTER, stray_bytes.IDLE):
            await strays.send_after(
                request, response, stray, is_idle=place == stray_bytes.IDLE
            )
        return response

    def list_arrivals(self, begin: float) -> list[tuple[float, str]]:
        """Return time and request id of the arrivals since a time."""
        return [
            (arrival.time, arrival.headers.get("X-Request-Id", ""))
            for arrival in self.arrivals
            if arrival.time >= begin
        ]

    def crash(self) -> None:
        """Crash, which excuses what the upstream breaks off."""
        disturbance = self.checker.begin_disturbance("crash", self.name)
        disturbance.ended = time.monotonic() + self.crash_state.restart_seconds
        if self.dies_in_order:
            self.link.end()
        else:
            for transport in self.crash_state.transports:
                node_links.reset(transport)
        super().crash()

    @property
    def states_ends(self) -> bool:
        """Whether its next answer states its end."""
        # Stray bytes would be part of a body without a length.
        return self.strays is not None or len(self.arrivals) % 2 == 1

    async def _stream(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        self.stream_type = (
            web.StreamResponse
            if self.states_ends
            else closing_response.ClosingResponse
        )
        return await super()._stream(request, headers)

    async def _answer_plainly(
        self, request: web.BaseRequest, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        if self.states_ends:
            return await super()._answer_plainly(request, headers, body)
        answer = node_checker.create_plain_answer(
            request.raw_path, request.headers["X-Request-Id"], body
        )
        count, seconds = node_checker.parse_work(request.path)
        response = closing_response.ClosingResponse(headers=headers)
        pause = count * seconds / PLAIN_PARTS
        await response.send(request, answer, PLAIN_PARTS, pause)
        return response

    async def _answer(
        self, request: web.BaseRequest, body: bytes
    ) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id", "")
        run = self.checker.begin_run(
            request_id,
            self.name,
            self.leaving_since,
            self.software,
            "Last-Event-Id" in request.headers,
        )
        try:
            response = await super()._answer(request, body)
            run.status = response.status
            # Nodes ask twice whether nothing is missing from a stream.
            run.is_whole_unstated = (
                isinstance(response, closing_response.ClosingResponse)
                and response.is_whole
                and response.has_body
            )
            return response
        finally:
            run.ended = time.monotonic()

    async def _create_answer(
        self, request: web.BaseRequest, body: bytes
    ) -> bytes:
        count, seconds = node_checker.parse_work(request.path)
        await asyncio.sleep(count * seconds)
        request_id = request.headers["X-Request-Id"]
        return node_checker.create_plain_answer(
            request.raw_path, request_id, body
        )

    def _plan_stream(self, request: web.BaseRequest) -> tuple[int, float]:
        return node_checker.parse_work(request.path)

    def _create_event(self, request: web.BaseRequest, number: int) -> bytes:
        if self.strays is not None and number > 1:
            self.strays.send_between(request)
        return node_checker.create_event(
            request.headers["X-Request-Id"], number
        )

    def _order(self, order: dict[str, Any]) -> web.Response:
        response = super()._order(order)
        adapters = sum(map(len, self.models.values()))
        weight = MODEL_MB * len(self.models) + ADAPTER_MB * adapters
        if weight > WEIGHTS_MB or adapters > ADAPTER_SLOTS:
            self.checker.results.record_violation(
                "no overcommit", f"{self.name}: {self.models} after {order}"
            )
        return response


class System:
    """The nodes, the store and the upstreams of one run.

    Attributes:
        base: first port of the run.
        checker: records the calls, runs and faults.
        store: the store stand-in.
        upstreams: the upstreams by name.
        views: the store as each node sees it, by the node's name.
        version: version of the newest configuration.
        hosts: loopback address of each node, by its name.
        nodes: the node processes.
    """

    def __init__(
        self,
        base: int,
        grace_seconds: float,
        logs: pathlib.Path,
        results: results_lib.Results,
    ) -> None:
        self.base = base
        self.checker = node_checker.GuaranteeChecker(results)
        self.store = node_store.StoreStandin()
        self.hosts = {
            f"n{number}": node_process.create_host(base, number)
            for number in range(1, NODE_COUNT + 1)
        }
        self.views: dict[str, node_links.StoreView] = {}
        self.version = 0
        self.upstreams: dict[str, Upstream] = {}
        for offset, name in enumerate(UPSTREAM_NAMES):
            service = "plain" if name.startswith("p") else "engines"
            link = node_links.LinkGroup(
                base + LINK_OFFSET + offset, base + 1 + offset, self.hosts
            )
            upstream = Upstream(name, service, link, self.checker)
            upstream.crash_state.on_restart = functools.partial(
                self.register_upstream, name
            )
            self.upstreams[name] = upstream
        for name in ("e1", "e3"):
            self.upstreams[name].models = {"big": set()}
        for name in ("e2", "e4"):
            self.upstreams[name].models = {"small": {"a1"}}
        self.nodes = [
            node_process.NodeProcess(
                name,
                host,
                base + PORT_OFFSET,
                f"{host}:{base}",
                logs,
                grace_seconds,
            )
            for name, host in self.hosts.items()
        ]

    @contextlib.asynccontextmanager
    async def run(self, session: aiohttp.ClientSession) -> Any:
        """Run the system; at the end, kill the nodes that still run."""
        async with contextlib.AsyncExitStack() as stack:
            for name, upstream in self.upstreams.items():
                server = web.Server(upstream.handle, handler_cancellation=True)
                port = upstream.link.upstream_port
                await stack.enter_async_context(
                    caller_server.listen(server, node_testbed.HOST, port)
                )
                await upstream.link.open()
                stack.callback(upstream.link.close)
                self.register_upstream(name)
            for name, host in self.hosts.items():
                view = self.views[name] = node_links.StoreView(
                    self.store,
                    {
                        upstream.address: f"{host}:{upstream.link.port}"
                        for upstream in self.upstreams.values()
                    },
                )
                await stack.enter_async_context(
                    caller_server.listen(
                        web.Server(view.handle), host, self.base
                    )
                )
            self.configure()
            try:
                await asyncio.gather(
                    *(node.start(session) for node in self.nodes)
                )
                yield
            finally:
                await asyncio.gather(*map(_kill, self.nodes))

    def configure(self) -> str:
        """Write a configuration; return a path that only it allows."""
        self.version += 1
        path = f"/version-{self.version}/"
        self.store.put("op/config", create_configuration(self.version, path))
        return path

    def register_upstream(self, name: str) -> None:
        """Write the entry of an upstream to the store."""
        upstream = self.upstreams[name]
        self.store.put(f"servers/{upstream.id}", upstream.describe())

    async def stop(self, node: node_process.NodeProcess) -> None:
        """Stop a node as planned and check its exit code."""
        stop = node_checker.PlannedStop(
            node.name, time.monotonic(), node.grace_seconds
        )
        self.checker.stops.append(stop)
        node.terminate()
        code = await node.wait()
        stop.ended = time.monotonic()
        took = stop.ended - stop.signalled
        is_frozen = self.checker.is_disturbed(
            node.name, stop.signalled, stop.signalled + node.grace_seconds
        )
        if code == -signal.SIGTERM and not node.has_started():
            # The node had opened nothing yet, so nothing could be lost.
            self.checker.results.counts["ended_before_start"] += 1
        elif code and not is_frozen:
            self.checker.results.record_violation(
                "a planned stop exits 0 in time",
                f"{node.name} exited with {code} after {took:.3f} s of"
                f" {node.grace_seconds}; its last log line says"
                f" {node.read_log()[-1]['message']}",
            )

    async def find_unserved(self, session: aiohttp.ClientSession) -> list[str]:
        """Return the nodes that are not ready and the requests that fail."""
        probes = [
            self._probe(session, node, kind, model)
            for node in self.nodes
            for kind in node_checker.REQUEST_KINDS
            for model in (MODELS if kind.is_stream else ("",))
        ]
        ready = await asyncio.gather(
            *(node.is_ready(session) for node in self.nodes)
        )
        unserved = [
            f"{node.name} is not ready"
            for node, is_ready in zip(self.nodes, ready, strict=True)
            if not is_ready
        ]
        return unserved + [
            each for each in await asyncio.gather(*probes) if each
        ]

    async def check_cut_off(
        self, session: aiohttp.ClientSession, node: node_process.NodeProcess
    ) -> None:
        """Record a violation if a node without links does not serve."""
        for kind in node_checker.REQUEST_KINDS:
            model = MODELS[0] if kind.is_stream else ""
            if unserved := await self._probe(session, node, kind, model):
                self.checker.results.record_violation(
                    "served without links", unserved
                )

    async def _probe(
        self,
        session: aiohttp.ClientSession,
        node: node_process.NodeProcess,
        kind: node_checker.RequestKind,
        model: str,
    ) -> str:
        """Return why a node does not serve a request; empty if it does."""
        name = f"{node.name} {kind.name} {model}"
        call = node_checker.Call(
            f"probe {name} {time.monotonic()}",
            node.name,
            kind,
            f"/{kind.name}/1/10",
            model,
            b"",
            kind.timeout_seconds,
        )
        self.checker.calls[call.id] = call
        timeout = aiohttp.ClientTimeout(total=PROBE_SECONDS)
        try:
            async with session.post(
                f"http://{node.front_address}{call.path}",
                headers=create_headers(call),
                timeout=timeout,
            ) as response:
                content = await response.read()
                return "" if response.status == 200 else f"{name}: {content!r}"
        except (aiohttp.ClientError, TimeoutError) as error:
            return f"{name}: {error!r}"

    async def wait_until_serving(self, session: aiohttp.ClientSession) -> None:
        """Wait until everything is served; record a violation if it is late."""
        began = time.monotonic()
        unserved = await self.find_unserved(session)
        while unserved:
            if time.monotonic() > began + node_checker.RECOVERY_SECONDS:
                for detail in unserved:
                    self.checker.results.record_violation("recovered", detail)
                return
            await asyncio.sleep(POLL_SECONDS)
            unserved = await self.find_unserved(session)
        took = int((time.monotonic() - began) * 1000)
        self.checker.results.counts["milliseconds_until_recovered"] = took


def create_headers(call: node_checker.Call) -> dict[str, str]:
    """Return the headers of a request."""
    headers = {
        "Host": "api.example",
        "X-Request-Id": call.id,
        "X-Deadline-Ms": str(int(call.timeout_seconds * 1000)),
    }
    if call.model:
        headers |= {"X-Model": call.model, "X-Token-Counts": "10,10"}
    if call.resumed:
        headers["Resumes"] = call.resumed
        headers["Last-Event-Id"] = str(call.last_event)
    if call.parts:
        headers["X-Prompt-Prefix"] = call.parts
    return headers


def create_configuration(version: int, path: str) -> dict[str, Any]:
    """Return the configuration that the operators write to the store.

    Args:
        version: its version.
        path: path of a route to a service without upstreams.
    """
    configuration = node_testbed.create_configuration(version)
    seconds = {
        kind.name: kind.timeout_seconds for kind in node_checker.REQUEST_KINDS
    }
    for route in configuration["routes"]:
        route["timeout_ms"] = int(seconds[route["name"]] * 1000)
    for model in configuration["services"][1]["inference_engine"]["models"]:
        model["load_time_s"] = LOAD_SECONDS
    configuration["services"].append({"name": "none", "health_path": "/health"})
    configuration["routes"].append(
        {
            **configuration["routes"][0],
            "name": "version",
            "path_prefix": path,
            "service_name": "none",
        }
    )
    return configuration


async def _kill(node: node_process.NodeProcess) -> None:
    """Kill a node process if it still runs."""
    if node.child is not None and node.child.returncode is None:
        node.child.kill()
        await node.child.wait()
