"""Runs nodes on loopback with stand-ins of the store and the upstreams."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import dataclasses
import datetime
import functools
from typing import Any

import aiohttp
from aiohttp import web
from cicadahook.core import node_lifecycle
from cicadahook.platform import caller_server
from cicadahook.programs import node_daemon as node_program
import node_links
import node_store
import node_upstreams

HOST = "127.0.0.1"
NODE_COUNT = 2
# Offsets from the first port of a block.
VIEW_OFFSET = 40
LINK_OFFSET = 42


def create_configuration(version: int = 1) -> dict[str, Any]:
    """Return a configuration with a plain service and an engine service."""

    def route(name: str, prefix: str, kind: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "hostname": "api.example",
            "path_prefix": prefix,
            "route_kind": kind,
            "timeout_ms": 2000,
            "target_latency_ms": 400,
            "priority": 1,
            "service_name": "plain",
            "max_attempts": 1,
            **more,
        }

    model = {
        "weights_mb": 40.0,
        "load_time_s": 0.1,
        "adapters": 3,
        "adapter_size_mb": 1.0,
    }
    return {
        "version": version,
        "routes": [
            route("read", "/read/", "idempotent", max_attempts=2),
            route("write", "/write/", "non_idempotent"),
            route("chat", "/chat/", "streaming", service_name="engines"),
            route(
                "review",
                "/review/",
                "streaming",
                service_name="engines",
                max_attempts=2,
                resumable=True,
            ),
        ],
        "services": [
            {"name": "plain", "health_path": "/health"},
            {
                "name": "engines",
                "health_path": "/health",
                "inference_engine": {
                    "slots": 8,
                    "weights_mb": 100.0,
                    "adapter_slots": 2,
                    "loads_per_s": 10.0,
                    "models": [
                        {"name": "big", **model},
                        {"name": "small", **model},
                        {"name": "other", **model},
                    ],
                },
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def create_settings(
    name: str, base: int, store: str
) -> node_lifecycle.NodeSettings:
    """Return the settings of a node whose ports begin at `base`."""
    second = datetime.timedelta(seconds=1)
    return node_lifecycle.NodeSettings(
        name=name,
        host=HOST,
        zone="zone-a",
        region="region",
        front_port=base,
        ready_port=base + 1,
        directory_port=base + 2,
        peer_port=base + 3,
        store_address=store,
        address_lifetime=5 * second,
        grace_period=2 * second,
        handover_pause=0.3 * second,
        retry_ratio=0.2,
        retry_slack=50.0,
        retry_window=10 * second,
        load_window=5 * second,
    )


@dataclasses.dataclass
class NodeTestbed:
    """Nodes and stand-ins that a test works with.

    Attributes:
        store: stand-in of the platform's store.
        store_address: `host:port` of the store.
        plain: upstreams of the plain service.
        engines: model engines.
        programs: the nodes.
        tasks: tasks that run the nodes.
        links: links of each node to the upstreams, by the node's number and
            the upstream's id; empty if nodes connect to upstreams directly.
        session: HTTP session of the callers.
    """

    store: node_store.StoreStandin
    store_address: str
    plain: list[node_upstreams.UpstreamStandin]
    engines: list[node_upstreams.UpstreamStandin]
    programs: list[node_program.NodeProgram]
    tasks: list[asyncio.Task[None]]
    session: aiohttp.ClientSession
    links: list[dict[str, node_links.Link]] = dataclasses.field(
        default_factory=list
    )

    def register(self, upstream: node_upstreams.UpstreamStandin) -> None:
        """Write an upstream's registration to the store."""
        self.store.put(f"servers/{upstream.id}", upstream.describe())

    @contextlib.asynccontextmanager
    async def call(
        self, path: str, node: int = 0, **options: Any
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request to a node."""
        settings = self.programs[node].settings
        headers = {
            "Host": "api.example",
            "X-Request-Id": "r1",
            **options.pop("headers", {}),
        }
        method = options.pop("method", "POST")
        async with self.session.request(
            method,
            f"http://{settings.front_address}{path}",
            headers=headers,
            **options,
        ) as response:
            yield response

    async def get(self, port_offset: int, path: str) -> tuple[int, Any]:
        """Return status and body of a GET from the first node."""
        port = self.programs[0].settings.front_port + port_offset
        async with self.session.get(f"http://{HOST}:{port}{path}") as response:
            return response.status, await response.read()


async def wait_until(check: Callable[[], bool], seconds: float = 5.0) -> None:
    """Wait until `check` holds."""
    async with asyncio.timeout(seconds):
        while not check():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def open_platform(
    base: int, engine_count: int = 2
) -> AsyncIterator[NodeTestbed]:
    """Run the store, two plain upstreams and some engines, without nodes.

    Args:
        base: first of a block of free ports.
        engine_count: number of engines, at most 7; each from the third on
            holds the same as the first.
    """
    async with contextlib.AsyncExitStack() as stack:
        store = node_store.StoreStandin()
        plain = [
            node_upstreams.UpstreamStandin(f"p{number}", "plain")
            for number in (1, 2)
        ]
        engines = [
            node_upstreams.UpstreamStandin(f"e{number}", "engines")
            for number in range(1, engine_count + 1)
        ]
        for engine in engines:
            engine.models = {"big": set()}
        engines[1].models = {"small": {"a1"}}
        await stack.enter_async_context(
            caller_server.listen(web.Server(store.handle), HOST, base)
        )
        session = await stack.enter_async_context(aiohttp.ClientSession())
        testbed = NodeTestbed(
            store, f"{HOST}:{base}", plain, engines, [], [], session
        )
        for offset, upstream in enumerate([*plain, *engines]):
            port = base + 1 + offset
            upstream.address = f"{HOST}:{port}"
            await stack.enter_async_context(
                caller_server.listen(web.Server(upstream.handle), HOST, port)
            )
            testbed.register(upstream)
            upstream.crash_state.on_restart = functools.partial(
                testbed.register, upstream
            )
        store.put("op/config", create_configuration())
        yield testbed


@contextlib.asynccontextmanager
async def open_links(
    base: int, testbed: NodeTestbed
) -> AsyncIterator[tuple[str, ...]]:
    """Open a link of each node to each upstream.

    Args:
        base: first of a block of free ports.
        testbed: the platform.

    Yields:
        The `host:port` at which each node sees the store.
    """
    upstreams = [*testbed.plain, *testbed.engines]
    async with contextlib.AsyncExitStack() as stack:
        views = []
        for number in range(NODE_COUNT):
            links = {}
            for offset, upstream in enumerate(upstreams):
                port = base + LINK_OFFSET + number * len(upstreams) + offset
                upstream_port = int(upstream.address.rsplit(":", 1)[1])
                link = node_links.Link(port, upstream_port)
                await link.open()
                stack.callback(link.close)
                links[upstream.id] = link
            testbed.links.append(links)
            view = node_links.StoreView(
                testbed.store,
                {
                    upstream.address: f"{HOST}:{links[upstream.id].port}"
                    for upstream in upstreams
                },
            )
            port = base + VIEW_OFFSET + number
            await stack.enter_async_context(
                caller_server.listen(web.Server(view.handle), HOST, port)
            )
            views.append(f"{HOST}:{port}")
        yield tuple(views)


@contextlib.asynccontextmanager
async def run(
    base: int,
    engine_count: int = 2,
    *,
    has_links: bool = False,
    revision: int = 1,
) -> AsyncIterator[NodeTestbed]:
    """Run two nodes with their own store and upstreams.

    Args:
        base: first of a block of free ports.
        engine_count: number of engines, see `open_platform`; 2 with links.
        has_links: whether nodes reach upstreams by links that can be cut.
        revision: revision of the store when the nodes start, at the least.
    """
    async with contextlib.AsyncExitStack() as stack:
        testbed = await stack.enter_async_context(
            open_platform(base, engine_count)
        )
        testbed.store.revision = max(testbed.store.revision, revision)
        stores: tuple[str, ...] = (testbed.store_address,) * NODE_COUNT
        if has_links:
            stores = await stack.enter_async_context(open_links(base, testbed))
        for number, store in enumerate(stores):
            settings = create_settings(
                f"n{number}", base + 10 + 10 * number, store
            )
            program = node_program.NodeProgram(settings)
            testbed.programs.append(program)
            testbed.tasks.append(asyncio.create_task(program.run()))
        await wait_until(
            lambda: all(is_ready(node) for node in testbed.programs)
        )
        await wait_until(
            lambda: any(can_order(node) for node in testbed.programs)
        )
        yield testbed
        for program in testbed.programs:
            program.stopped.set()
        await asyncio.gather(*testbed.tasks)


def is_ready(program: node_program.NodeProgram) -> bool:
    """Whether a node accepts callers and knows another node."""
    node = program.node
    if node is None or not node.is_ready():
        return False
    return bool(list(node.roster.list_recent(program.clock.now())))


def can_order(program: node_program.NodeProgram) -> bool:
    """Whether a node may send orders."""
    assert program.node is not None, "not started"
    return program.node.orderer.can_send()


def list_eras(testbed: NodeTestbed) -> list[int]:
    """Return the era of the store that each running node believes."""
    return [
        program.node.relayed_store.store.eras.current
        for program in testbed.programs
        if program.node is not None
    ]
