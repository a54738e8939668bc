"""Web-socket links between entries and controls.

A control sends its views to the entries, which send their reports.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
from typing import Final

import aiohttp
from aiohttp import web
from reactivex import subject

from cicadahook.core import view
from cicadahook.core import view_patch
from cicadahook.net import codec
from cicadahook.net import logs

HEARTBEAT_SECONDS: Final = 2.0
RECONNECT_DELAY: Final = datetime.timedelta(seconds=0.3)
REPORT_INTERVAL: Final = datetime.timedelta(seconds=0.5)
CONNECT_TIMEOUT: Final = datetime.timedelta(seconds=2)
OWN_CONTROL_POLL_INTERVAL: Final = datetime.timedelta(seconds=5)
LINK_PATH: Final = "/link"

logger: Final = logs.create_logger("links")


class EntryLink:
    """A control's end of the link to one entry.

    Attributes:
        socket: the connection.
        entry: `host:port` of the entry; empty until its first report.
        sent: the view sent last.
        has_update: set when there may be a newer view to send.
    """

    def __init__(self, socket: web.WebSocketResponse) -> None:
        self.socket = socket
        self.entry = ""
        self.sent = view.View()
        self.has_update = asyncio.Event()

    async def send(self, latest: view.View) -> None:
        """Send the difference between `latest` and the view sent last."""
        if dataclasses.replace(latest, number=self.sent.number) == self.sent:
            return
        change = view_patch.diff(self.sent, latest)
        self.sent = latest
        await self.socket.send_bytes(codec.PATCHES.encode(change))


class LinkServer:
    """Sends a control's views to every linked entry.

    Attributes:
        on_report: called with each report.
        adapt_view: returns a view adapted to the entry with a given address.
        views: the latest view, before it is adapted to an entry.
        open_links: links to the connected entries.
        is_closing: whether new links are refused.
    """

    def __init__(
        self,
        on_report: Callable[[view.Report], None],
        adapt_view: Callable[[view.View, str], view.View],
    ) -> None:
        self.on_report = on_report
        self.adapt_view = adapt_view
        self.views: subject.BehaviorSubject[view.View] = (
            subject.BehaviorSubject(view.View())
        )
        self.open_links: set[EntryLink] = set()
        self.is_closing = False

    async def close(self) -> None:
        """Close all links, so that the entries connect to other controls."""
        self.is_closing = True
        for link in list(self.open_links):
            await link.socket.close()

    async def serve(self, request: web.Request) -> web.WebSocketResponse:
        """Serve one entry until it disconnects."""
        if self.is_closing:
            raise web.HTTPServiceUnavailable(reason="this control is leaving")
        socket = web.WebSocketResponse(heartbeat=HEARTBEAT_SECONDS)
        await socket.prepare(request)
        link = EntryLink(socket)
        self.open_links.add(link)
        subscription = self.views.subscribe(lambda _: link.has_update.set())
        sender = asyncio.create_task(self._send(link))
        try:
            async for message in socket:
                if message.type is aiohttp.WSMsgType.BINARY:
                    self._handle_report(
                        link, codec.REPORTS.decode(message.data)
                    )
        except codec.DecodeError as error:
            logger.warning(
                "Report could not be decoded; its link is closed: %s.", error
            )
        finally:
            self.open_links.discard(link)
            subscription.dispose()
            sender.cancel()
        return socket

    def _handle_report(self, link: EntryLink, report: view.Report) -> None:
        """Pass a report on; the first one identifies the entry."""
        if link.entry != report.entry:
            link.entry = report.entry
            link.has_update.set()
        self.on_report(report)

    async def _send(self, link: EntryLink) -> None:
        """Send each newer view; views replaced before sending are skipped."""
        while True:
            await link.has_update.wait()
            link.has_update.clear()
            latest = self.views.value
            if latest.number and link.entry:
                await link.send(self.adapt_view(latest, link.entry))


class LinkClient:
    """Receives views from the first control that answers.

    Attributes:
        controls: `host:port` of the controls; the one on this VM first.
        on_view: called with each view.
        create_report: returns the next report to send.
        view: the latest view; each link begins with a complete one.
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
        self.view = view.View()

    async def run(self) -> None:
        """Keep a link to one of the controls until cancelled."""
        while True:
            for control in self.controls:
                try:
                    await self._follow(control)
                    break
                except (
                    aiohttp.ClientError,
                    TimeoutError,
                    codec.DecodeError,
                    view_patch.PatchError,
                ) as error:
                    logger.info("Link to control %s lost: %r.", control, error)
            await asyncio.sleep(RECONNECT_DELAY.total_seconds())

    async def _follow(self, control: str) -> None:
        """Receive views from `control` until the link breaks."""
        async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
            socket = await self.session.ws_connect(
                f"http://{control}{LINK_PATH}", heartbeat=HEARTBEAT_SECONDS
            )
        logger.info("Linked to control %s.", control)
        tasks = [asyncio.create_task(self._send_reports(socket))]
        if control != self.controls[0]:
            tasks.append(
                asyncio.create_task(self._switch_to_own_control(socket))
            )
        try:
            async for message in socket:
                if message.type is aiohttp.WSMsgType.BINARY:
                    change = codec.PATCHES.decode(message.data)
                    self.view = view_patch.apply(self.view, change)
                    self.on_view(self.view)
        finally:
            for task in tasks:
                task.cancel()
            await socket.close()

    async def _switch_to_own_control(
        self, socket: aiohttp.ClientWebSocketResponse
    ) -> None:
        """Close a link to another VM's control once the own one is ready."""
        url = f"http://{self.controls[0]}/readyz"
        timeout = aiohttp.ClientTimeout(total=CONNECT_TIMEOUT.total_seconds())
        while True:
            await asyncio.sleep(OWN_CONTROL_POLL_INTERVAL.total_seconds())
            try:
                async with self.session.get(url, timeout=timeout) as response:
                    if response.status == 200:
                        await socket.close()
                        return
            except (aiohttp.ClientError, TimeoutError) as error:
                logger.debug("Own control does not answer: %r.", error)

    async def _send_reports(
        self, socket: aiohttp.ClientWebSocketResponse
    ) -> None:
        while True:
            await socket.send_bytes(codec.REPORTS.encode(self.create_report()))
            await asyncio.sleep(REPORT_INTERVAL.total_seconds())
