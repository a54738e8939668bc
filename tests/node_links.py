"""Links between nodes and upstreams that delay, hold back or reset bytes."""

import asyncio
import base64
import contextlib
import enum
import json
import socket
from typing import Any, Final

from aiohttp import web

import node_store
import node_upstreams

HOST: Final = "127.0.0.1"
READ_BYTES: Final = 65_536
DELAY_SECONDS: Final = 0.15
SILENCE_POLL_SECONDS: Final = 0.05
# Fills the queue of a socket that accepts nothing.
FILLING_CONNECTIONS: Final = 3


class LinkMode(enum.StrEnum):
    """What a link does with bytes; held bytes are sent when the mode ends."""

    WELL = enum.auto()
    DELAY = enum.auto()
    HOLD_UP = enum.auto()
    HOLD_DOWN = enum.auto()
    HOLD_BOTH = enum.auto()


class Cut(enum.StrEnum):
    """How a link is cut."""

    HANGING = enum.auto()  # neither old nor new connections are answered
    RESET = enum.auto()  # old connections are reset, new ones refused
    REFUSING = enum.auto()  # old connections live on, new ones are refused


class Link:
    """Forwards bytes between the nodes and an upstream.

    Attributes:
        port: port where it accepts connections.
        upstream_port: port of the upstream.
        host: address where it accepts connections.
        mode: what it does with bytes.
        server: accepts connections; None before `open`.
        writers: both directions of all open connections.
        silent_sockets: sockets that leave new connections unanswered.
    """

    def __init__(self, port: int, upstream_port: int, host: str = HOST) -> None:
        self.port = port
        self.host = host
        self.upstream_port = upstream_port
        self.mode = LinkMode.WELL
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.silent_sockets: list[socket.socket] = []

    async def open(self) -> None:
        """Start to accept connections."""
        for sock in self.silent_sockets:
            sock.close()
        self.silent_sockets.clear()
        self.mode = LinkMode.WELL
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )

    def close(self, *, in_order: bool = False) -> None:
        """Stop accepting connections; reset the open ones or end them."""
        if self.server is not None:
            self.server.close()
        for sock in self.silent_sockets:
            sock.close()
        self.silent_sockets.clear()
        if in_order:
            self.end()
        else:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in self.writers:
            reset(writer)

    def end(self) -> None:
        """End all open connections in order, as some proxies do."""
        for writer in self.writers:
            writer.close()

    def cut(self, kind: Cut) -> None:
        """Cut the link until it is opened again."""
        assert self.server is not None, "not open"
        self.server.close()
        if kind is Cut.RESET:
            self.reset()
        if kind is Cut.HANGING:
            self.mode = LinkMode.HOLD_BOTH
            self._ignore_connections()

    def _ignore_connections(self) -> None:
        """Leave new connections unanswered."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(0)
        self.silent_sockets.append(listener)
        for _ in range(FILLING_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.silent_sockets.append(filler)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # It may end or be reset before there is one to the upstream.
        self.writers.add(writer)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                HOST, self.upstream_port
            )
        except OSError:
            # At the end of the run the stand-in stops before the link does.
            self.writers.discard(writer)
            writer.close()
            return
        both = {writer, upstream_writer}
        self.writers |= both
        try:
            await asyncio.gather(
                self._forward(reader, upstream_writer, LinkMode.HOLD_UP),
                self._forward(upstream_reader, writer, LinkMode.HOLD_DOWN),
            )
        finally:
            self.writers -= both
            for each in both:
                each.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held: LinkMode,
    ) -> None:
        """Forward bytes in one direction until the sender closes it."""
        try:
            while data := await reader.read(READ_BYTES):
                if self.mode is LinkMode.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                while self.mode in (held, LinkMode.HOLD_BOTH):
                    await asyncio.sleep(DELAY_SECONDS)
                writer.write(data)
                await writer.drain()
            writer.close()
        except ConnectionError:
            # A reset by either end is passed on to the other.
            reset(writer)


class LinkGroup:
    """The links of all nodes to one upstream.

    Attributes:
        port: port in the address under which the upstream registers itself.
        upstream_port: port of the upstream.
        links: the links, by name of the node.
        cut_nodes: names of the nodes whose links stay cut.
        is_open: whether the links accept connections.
    """

    def __init__(
        self, port: int, upstream_port: int, hosts: dict[str, str]
    ) -> None:
        self.port = port
        self.upstream_port = upstream_port
        self.links = {
            name: Link(port, upstream_port, host)
            for name, host in hosts.items()
        }
        self.cut_nodes: set[str] = set()
        self.is_open = False

    @property
    def mode(self) -> LinkMode:
        """What the links do with bytes."""
        return next(iter(self.links.values())).mode

    @mode.setter
    def mode(self, mode: LinkMode) -> None:
        for name, link in self.links.items():
            if name not in self.cut_nodes:
                link.mode = mode

    async def open(self) -> None:
        """Start to accept connections, except of nodes that are cut off."""
        self.is_open = True
        for name, link in self.links.items():
            if name not in self.cut_nodes:
                await link.open()

    def close(self, *, in_order: bool = False) -> None:
        """Stop accepting connections; reset the open ones or end them."""
        self.is_open = False
        for link in self.links.values():
            link.close(in_order=in_order)

    def reset(self) -> None:
        """Reset all open connections."""
        for link in self.links.values():
            link.reset()

    def end(self) -> None:
        """End all open connections in order."""
        for link in self.links.values():
            link.end()

    def cut(self, node: str, kind: Cut) -> None:
        """Cut the link of one node."""
        self.cut_nodes.add(node)
        if self.is_open:
            self.links[node].cut(kind)

    async def restore(self, node: str) -> None:
        """Restore the link of one node."""
        self.cut_nodes.discard(node)
        if self.is_open:
            await self.links[node].open()


class StoreView:
    """The store as one node sees it, with the links as upstream addresses.

    Attributes:
        store: the store.
        addresses: `host:port` of the node's link by the upstream's address.
        is_rejecting: whether the store turns this node away.
        is_silent: whether it does so without an answer, also to calls that
            have arrived.
    """

    def __init__(
        self, store: node_store.StoreStandin, addresses: dict[str, str]
    ) -> None:
        self.store = store
        self.addresses = addresses
        self.is_rejecting = False
        self.is_silent = False

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        if self.is_rejecting or self.is_silent:
            await self._keep_silent()
            return web.Response(status=503)
        response = await self.store.handle(request)
        await self._keep_silent()
        if not isinstance(response, web.Response) or not response.text:
            return response
        content = json.loads(response.text)
        for field in ("items", "events"):
            content[field] = [
                self._translate(row) for row in content.get(field, ())
            ]
        return web.json_response(
            content,
            status=response.status,
            headers=node_store.create_headers(self.store.era),
        )

    async def _keep_silent(self) -> None:
        while self.is_silent:
            await asyncio.sleep(SILENCE_POLL_SECONDS)

    def _translate(self, row: dict[str, Any]) -> dict[str, Any]:
        if not row["key"].startswith("servers/") or "value" not in row:
            return row
        try:
            fields = json.loads(base64.b64decode(row["value"]))
            fields["address"] = self.addresses[fields["address"]]
        except (ValueError, KeyError, TypeError):
            # Other writers' entries that name no upstream stay as they are.
            return row
        value = base64.b64encode(json.dumps(fields).encode()).decode()
        return {**row, "value": value}


def reset(writer: asyncio.StreamWriter | asyncio.Transport) -> None:
    """Reset a connection."""
    sock: socket.socket = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):  # Already closed.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, node_upstreams.RESET
        )
    if isinstance(writer, asyncio.StreamWriter):
        writer.transport.abort()
    else:
        writer.abort()
