"""The operators' dashboard: a live web page with the state of all nodes.

Its paths and event fields keep the name `wall`.
"""

import asyncio
from collections.abc import Callable
import datetime
import importlib.resources
import json
from typing import Final

import aiohttp
from aiohttp import web
import pydantic

from cicadahook.core import clock as clock_lib
from cicadahook.core import dashboard
from cicadahook.core import dashboard_builder
from cicadahook.core import view
from cicadahook.net import control_links
from cicadahook.net import entry_metrics
from cicadahook.net import logs

POLL_PAUSE: Final = datetime.timedelta(seconds=0.7)
CALL_TIMEOUT: Final = datetime.timedelta(seconds=1)
NODE_PATH: Final = "/wall/node"
ANY_ORIGIN: Final = {"Access-Control-Allow-Origin": "*"}

logger: Final = logs.create_logger("wall")

_NODE: Final = pydantic.TypeAdapter(dashboard.NodeFigures)
_WALL: Final = pydantic.TypeAdapter(dashboard.Wall)


class DashboardApi:
    """Serves the page, and polls all nodes for figures while it is open.

    Attributes:
        collector: the figures that this node knows itself.
        count_polls: returns how often the VM list was polled.
        answers: newest figures by node, None before the first answer, with
            their time.
        last_poll_count: result of `count_polls` when it last changed.
        polled_at: when `last_poll_count` changed.
        watchers: number of open event streams.
        updated: set after each poll of the nodes, then replaced.
    """

    def __init__(
        self,
        collector: entry_metrics.EntryMetricsCollector,
        link_server: control_links.LinkServer,
        clock: clock_lib.Clock,
        session: aiohttp.ClientSession,
        count_polls: Callable[[], int],
    ) -> None:
        self.collector = collector
        self.links = link_server
        self.clock = clock
        self.session = session
        self.count_polls = count_polls
        self.answers: dict[
            str, tuple[dashboard.NodeFigures | None, datetime.datetime]
        ] = {}
        self.last_poll_count = -1
        self.polled_at = clock.now()
        self.watchers = 0
        self.is_stopping = False
        self.updated = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def install(self, app: web.Application) -> None:
        """Add the routes to `app`."""
        app.router.add_get("/", self.show_page)
        app.router.add_get(NODE_PATH, self.show_node)
        app.router.add_get("/wall/events", self.send_events)
        app.on_shutdown.append(self.stop)

    async def show_page(self, request: web.Request) -> web.Response:
        """Respond with the HTML page."""
        del request
        files = importlib.resources.files("cicadahook.net")
        content = (files / "wall.html").read_text(encoding="utf-8")
        return web.Response(text=content, content_type="text/html")

    async def show_node(self, request: web.Request) -> web.Response:
        """Respond with the figures of this node itself."""
        del request
        generation = self.links.views.value.table.generation
        node = await self.collector.describe(generation)
        return web.json_response(_NODE.dump_python(node, mode="json"))

    async def send_events(self, request: web.Request) -> web.StreamResponse:
        """Send the page's data after each poll as server-sent events."""
        headers = {"Content-Type": "text/event-stream", **ANY_ORIGIN}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        self.watchers += 1
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._poll())
        try:
            while not self.is_stopping:
                await self.updated.wait()
                await response.write(self._encode())
        except ConnectionError:
            logger.info("A dashboard client disconnected.")
        finally:
            self.watchers -= 1
        return response

    async def stop(self, app: web.Application) -> None:
        """End all event streams."""
        del app
        self.is_stopping = True
        self.updated.set()

    def _encode(self) -> bytes:
        """Return the page's current data as one event."""
        now = self.clock.now()
        answers = {
            name: dashboard.Answer(node, (now - taken).total_seconds())
            for name, (node, taken) in self.answers.items()
        }
        shown = dashboard_builder.create_dashboard(
            self.links.views.value,
            answers,
            round((now - self.polled_at).total_seconds(), 1),
        )
        content = json.dumps(_WALL.dump_python(shown, mode="json"))
        return f"data: {content}\n\n".encode()

    async def _poll(self) -> None:
        """Request all nodes' figures while event streams are open."""
        while self.watchers and not self.is_stopping:
            members = self.links.views.value.members
            await asyncio.gather(*map(self._ask, members))
            names = {member.name for member in members}
            self.answers = {
                name: answer
                for name, answer in self.answers.items()
                if name in names
            }
            if self.count_polls() != self.last_poll_count:
                self.last_poll_count = self.count_polls()
                self.polled_at = self.clock.now()
            self.updated.set()
            self.updated = asyncio.Event()
            await asyncio.sleep(POLL_PAUSE.total_seconds())

    async def _ask(self, member: view.Member) -> None:
        """Request the figures of one node; on failure, keep the last ones."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT.total_seconds())
        url = f"http://{member.control}{NODE_PATH}"
        now = self.clock.now()
        self.answers.setdefault(member.name, (None, now))
        try:
            async with self.session.get(url, timeout=timeout) as response:
                response.raise_for_status()
                node = _NODE.validate_json(await response.read())
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            logger.info(
                "Figures of %s could not be read: %r.", member.name, error
            )
            return
        self.answers[member.name] = (node, self.clock.now())
