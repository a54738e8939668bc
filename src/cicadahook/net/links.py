"""Links between an entry and a control: views down, reports up."""

import asyncio
from collections.abc import Callable
import datetime
from typing import Final

import aiohttp
from aiohttp import web
from reactivex import subject

from cicadahook.core import view
from cicadahook.net import codec
from cicadahook.net import logs

HEARTBEAT_SECONDS: Final = 2.0
RECONNECT_PAUSE: Final = datetime.timedelta(seconds=0.3)
REPORT_PAUSE: Final = datetime.timedelta(seconds=0.5)
LINK_PATH: Final = "/link"

logger: Final = logs.create_logger("links")


class LinkServer:
    """A control's side: sends each new view to every connected entry."""

    def __init__(self, on_report: Callable[[view.Report], None]) -> None:
        self.on_report = on_report
        self.views: subject.BehaviorSubject[view.View] = (
            subject.BehaviorSubject(view.View())
        )

    async def serve(self, request: web.Request) -> web.WebSocketResponse:
        """Serve one entry until it disconnects."""
        socket = web.WebSocketResponse(heartbeat=HEARTBEAT_SECONDS)
        await socket.prepare(request)
        fresh = asyncio.Event()
        subscription = self.views.subscribe(lambda _: fresh.set())
        sender = asyncio.create_task(self._send(socket, fresh))
        try:
            async for message in socket:
                if message.type is aiohttp.WSMsgType.BINARY:
                    self.on_report(codec.REPORTS.decode(message.data))
        except codec.DecodeError as error:
            logger.warning("Bad report dropped with its link: %s.", error)
        finally:
            subscription.dispose()
            sender.cancel()
        return socket

    async def _send(
        self, socket: web.WebSocketResponse, fresh: asyncio.Event
    ) -> None:
        """Send the newest view whenever there is one; skip older ones."""
        while True:
            await fresh.wait()
            fresh.clear()
            newest = self.views.value
            if newest.number:
                await socket.send_bytes(codec.VIEWS.encode(newest))


class LinkClient:
    """An entry's side: takes views from the first control that answers.

    Attributes:
        controls: `host:port` of the controls, this VM's own first.
    """

    def __init__(
        self,
        controls: tuple[str, ...],
        session: aiohttp.ClientSession,
        on_view: Callable[[view.View], None],
        create_report: Callable[[], view.Report],
    ) -> None:
        self.controls = controls
        self.session = session
        self.on_view = on_view
        self.create_report = create_report

    async def run(self) -> None:
        """Stay linked to some control until cancelled."""
        while True:
            for control in self.controls:
                try:
                    await self._stay_linked(control)
                except (
                    aiohttp.ClientError,
                    TimeoutError,
                    codec.DecodeError,
                ) as error:
                    logger.info("Link to %s lost: %r.", control, error)
                await asyncio.sleep(RECONNECT_PAUSE.total_seconds())

    async def _stay_linked(self, control: str) -> None:
        """Take views from `control` until the link breaks."""
        async with self.session.ws_connect(
            f"http://{control}{LINK_PATH}", heartbeat=HEARTBEAT_SECONDS
        ) as socket:
            logger.info("Linked to control %s.", control)
            reporter = asyncio.create_task(self._report(socket))
            try:
                async for message in socket:
                    if message.type is aiohttp.WSMsgType.BINARY:
                        self.on_view(codec.VIEWS.decode(message.data))
            finally:
                reporter.cancel()

    async def _report(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        while True:
            await socket.send_bytes(codec.REPORTS.encode(self.create_report()))
            await asyncio.sleep(REPORT_PAUSE.total_seconds())
