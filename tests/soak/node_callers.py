"""Callers of a soak of nodes, which keep connections and addresses."""

import asyncio
import contextlib
import itertools
import json
import random
import time
from typing import Final

import aiohttp

from soak import node_book
from soak import node_system

CALLERS: Final = 24
PAUSE_SECONDS: Final = 0.15
CONNECT_SECONDS: Final = 1.0
RESOLVE_TRIES: Final = 3
# Some callers keep addresses that much longer than the answer says.
LONG_KEEP: Final = 3
NEW_CHANNEL_SHARE: Final = 0.15
LEAVE_SHARE: Final = 0.05
LEAVE_SECONDS: Final = (0.02, 1.5)
SLOW_BODY_SHARE: Final = 0.1
CHUNKED_SHARE: Final = 0.3
CHUNK_PAUSE_SECONDS: Final = (0.05, 1.0)
BODY_PARTS: Final = 3
BODY_BYTES: Final = 600
ADAPTER_SHARE: Final = 0.3
LONG_SHARE: Final = 0.15
IMPATIENT_SHARE: Final = 0.3
SHORTEST_SECONDS: Final = 0.2
# Events and milliseconds before each.
SHORT_STREAM: Final = ((1, 12), (5, 40))
LONG_STREAM: Final = ((15, 40), (50, 100))
PLAIN_MILLISECONDS: Final = (1, 300)


class Channel:
    """A connection of a caller, for one request at a time."""

    def __init__(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.address = address
        self.reader = reader
        self.writer = writer

    @property
    def is_usable(self) -> bool:
        """Whether the node has not closed it."""
        return not self.reader.at_eof() and not self.writer.is_closing()

    def close(self) -> None:
        """Close it at once."""
        self.writer.transport.abort()

    async def send(
        self, call: node_book.Call, pauses: tuple[float, ...] | None
    ) -> None:
        """Send a request, with its body in chunks if there are pauses."""
        headers = node_system.create_headers(call)
        if pauses is None:
            headers["Content-Length"] = str(len(call.body))
        else:
            headers["Transfer-Encoding"] = "chunked"
        lines = [f"POST {call.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        # The end of the connection is seen where the answer is read.
        with contextlib.suppress(ConnectionError):
            if pauses is None:
                self.writer.write(head + call.body)
            else:
                self.writer.write(head)
                size = len(call.body) // len(pauses)
                for part, pause in enumerate(pauses):
                    await asyncio.sleep(pause)
                    data = call.body[part * size : (part + 1) * size]
                    if data:
                        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                self.writer.write(b"0\r\n\r\n")
            await self.writer.drain()
            call.sent = time.monotonic()

    async def receive(self, call: node_book.Call) -> None:
        """Read an answer into a call.

        Raises:
            EOFError: the connection ended before.
            ConnectionError: the same, by a reset.
            ValueError: this is no answer.
        """
        lines = (
            (await self._read_to(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        )
        version, status = lines[0].split(" ")[:2]
        if version != "HTTP/1.1":
            raise ValueError(lines[0])
        call.status = int(status)
        for line in filter(None, lines[1:]):
            name, value = line.split(":", 1)
            call.headers[name.lower()] = value.strip()
        if call.headers.get("transfer-encoding") != "chunked":
            size = int(call.headers["content-length"])
            call.content = await self.reader.readexactly(size)
            return
        while size := int(await self._read_to(b"\r\n"), 16):
            call.content += (await self.reader.readexactly(size + 2))[:-2]
        await self._read_to(b"\r\n")

    async def _read_to(self, end: bytes) -> bytes:
        return await self.reader.readuntil(end)


class Caller:
    """Sends one request after the other until told to stop."""

    def __init__(
        self,
        name: str,
        system: node_system.System,
        session: aiohttp.ClientSession,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.system = system
        self.session = session
        self.rng = rng
        self.numbers = itertools.count(1)
        self.node_names = {
            node.front_address: node.name for node in system.nodes
        }
        self.keep_factor = rng.choice((1, 1, LONG_KEEP))
        # Some use a channel until its node closes it.
        self.is_loyal = rng.random() < 0.5
        self.addresses: list[str] = []
        self.lapses = 0.0
        self.channel: Channel | None = None
        self.is_stopping = False

    async def run(self) -> None:
        """Send requests."""
        while not self.is_stopping:
            await asyncio.sleep(self.rng.expovariate(1 / PAUSE_SECONDS))
            await self._locate()
            channel = await self._get_channel()
            if channel is not None:
                await self._call(channel)
        if self.channel is not None:
            self.channel.close()

    async def _locate(self) -> None:
        """Ask for addresses if those that are kept have lapsed."""
        if time.monotonic() < self.lapses and self.addresses:
            return
        timeout = aiohttp.ClientTimeout(total=CONNECT_SECONDS)
        for node in self.rng.sample(self.system.nodes, RESOLVE_TRIES):
            url = f"http://{node.host}:{node.base + 2}/resolve?name=api.example"
            asked = time.monotonic()
            try:
                async with self.session.get(url, timeout=timeout) as response:
                    if response.status != 200:
                        continue
                    answer = json.loads(await response.read())
            except (aiohttp.ClientError, TimeoutError):
                self.system.book.ledger.counts["not_resolved"] += 1
                continue
            self.addresses = answer["addresses"]
            self.lapses = asked + answer["ttl_s"] * self.keep_factor
            return

    async def _get_channel(self) -> Channel | None:
        """Return an open channel, or a new one."""
        channel, self.channel = self.channel, None
        if channel is not None:
            is_known = self.is_loyal or channel.address in self.addresses
            is_kept = self.rng.random() >= NEW_CHANNEL_SHARE
            if channel.is_usable and is_known and is_kept:
                return channel
            channel.close()
        if not self.addresses:
            return None
        address = self.rng.choice(self.addresses)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                reader, writer = await asyncio.open_connection(
                    *address.rsplit(":", 1)
                )
        except (OSError, TimeoutError):
            self.system.book.ledger.counts["not_connected"] += 1
            self.addresses.remove(address)
            return None
        return Channel(address, reader, writer)

    def _draw(self, address: str) -> node_book.Call:
        """Return a request to a node."""
        kind = self.rng.choice(node_book.KINDS)
        model = ""
        if kind.is_stream:
            is_long = self.rng.random() < LONG_SHARE
            counts, pauses = LONG_STREAM if is_long else SHORT_STREAM
            count, pause = self.rng.randint(*counts), self.rng.randint(*pauses)
            model = self.rng.choice(node_system.MODELS)
            if self.rng.random() < ADAPTER_SHARE:
                model += f"/a{self.rng.randint(1, 3)}"
        else:
            count, pause = 1, self.rng.randint(*PLAIN_MILLISECONDS)
        return node_book.Call(
            f"{self.name}-{next(self.numbers)}",
            self.node_names[address],
            kind,
            f"/{kind.name}/{count}/{pause}",
            model,
            self.rng.randbytes(BODY_PARTS * self.rng.randint(0, BODY_BYTES)),
            self._draw_seconds(kind),
        )

    def _draw_seconds(self, kind: node_book.Kind) -> float:
        """Return how long to wait for an answer."""
        if self.rng.random() < IMPATIENT_SHARE:
            return self.rng.uniform(SHORTEST_SECONDS, kind.seconds)
        return kind.seconds

    def _draw_pauses(self) -> tuple[float, ...] | None:
        """Return the pauses within a body; None to send it with a length."""
        if self.rng.random() < SLOW_BODY_SHARE:
            return tuple(
                self.rng.uniform(*CHUNK_PAUSE_SECONDS)
                for _ in range(BODY_PARTS)
            )
        return (0.0,) if self.rng.random() < CHUNKED_SHARE else None

    async def _call(self, channel: Channel) -> None:
        """Send a request, wait for its end and judge it."""
        call = self._draw(channel.address)
        pauses = self._draw_pauses()
        is_leaving = self.rng.random() < LEAVE_SHARE
        wait = call.seconds + node_book.PATIENCE_SECONDS + sum(pauses or ())
        if is_leaving:
            wait = self.rng.uniform(*LEAVE_SECONDS)
        book = self.system.book
        book.calls[call.id] = call
        call.began = time.monotonic()
        sending = asyncio.create_task(channel.send(call, pauses))
        try:
            async with asyncio.timeout(wait):
                await channel.receive(call)
            call.end = node_book.End.ANSWERED
        except TimeoutError:
            ends = node_book.End
            call.end = ends.LEFT if is_leaving else ends.TIMED_OUT
        except (EOFError, ConnectionError):
            is_sent = call.sent is not None
            call.end = node_book.End.CUT if is_sent else node_book.End.UNSENT
        except (ValueError, KeyError) as error:
            call.end = node_book.End.MALFORMED
            call.content += repr(error).encode()
        call.ended = time.monotonic()
        is_closing = call.headers.get("connection") == "close"
        if call.end is node_book.End.ANSWERED and call.sent and not is_closing:
            self.channel = channel
        else:
            channel.close()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        book.judge(call)
