"""Callers of a node soak, which keep connections and resolved addresses."""

import asyncio
import contextlib
import itertools
import json
import random
import time
from typing import Final

import aiohttp

from soak import node_checker
from soak import node_system

CALLER_COUNT: Final = 24
CALL_PAUSE_SECONDS: Final = 0.15
CONNECT_SECONDS: Final = 1.0
RESOLVE_ATTEMPTS: Final = 3
# Some callers keep addresses longer than the answer allows, by this factor.
LONG_KEEP_FACTOR: Final = 3
NEW_CONNECTION_SHARE: Final = 0.15
ABANDON_SHARE: Final = 0.05
ABANDON_SECONDS: Final = (0.02, 1.5)
SLOW_BODY_SHARE: Final = 0.1
CHUNKED_SHARE: Final = 0.3
CHUNK_PAUSE_SECONDS: Final = (0.05, 1.0)
BODY_PARTS: Final = 3
BODY_BYTES: Final = 600
ADAPTER_SHARE: Final = 0.3
LONG_SHARE: Final = 0.15
SHORT_TIMEOUT_SHARE: Final = 0.3
SHORTEST_TIMEOUT_SECONDS: Final = 0.2
# Ranges of the number of events and of the milliseconds before each.
SHORT_STREAM: Final = ((1, 12), (5, 40))
LONG_STREAM: Final = ((15, 40), (50, 100))
EVENT_END: Final = b"\n\n"
PLAIN_MILLISECONDS: Final = (1, 300)


class Connection:
    """An HTTP/1.1 connection of a caller, for one request at a time.

    Attributes:
        address: `host:port` of the node.
        reader: reads answers.
        writer: writes requests.
    """

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
        """Whether the node has not closed the connection."""
        return not self.reader.at_eof() and not self.writer.is_closing()

    def close(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()

    async def send(
        self, call: node_checker.Call, pauses: tuple[float, ...] | None
    ) -> None:
        """Send a request.

        Args:
            call: the request; its `sent` is set.
            pauses: seconds before each chunk of the body; None to send the
                body with a length.
        """
        headers = node_system.create_headers(call)
        if pauses is None:
            headers["Content-Length"] = str(len(call.body))
        else:
            headers["Transfer-Encoding"] = "chunked"
        lines = [f"POST {call.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        # `receive` reports the end of the connection.
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

    async def receive(self, call: node_checker.Call) -> None:
        """Read an answer into a call.

        Raises:
            EOFError: the connection ended before the answer did.
            ConnectionError: the connection was reset before the answer ended.
            ValueError: the bytes received are no HTTP/1.1 answer.
            KeyError: the answer has neither a length nor chunks.
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
    """Sends one request after the other until it is stopped.

    Attributes:
        name: first part of the ids of its requests.
        system: the nodes to call.
        session: session for resolve requests.
        rng: generator of all random choices.
        numbers: numbers of its requests.
        node_names: names of the nodes by address.
        keep_factor: factor by which it keeps addresses longer than allowed.
        ignores_addresses: whether it uses a connection until the node closes
            it, even when the address is no longer among the resolved ones.
        addresses: the addresses last resolved.
        expires: monotonic time until which it keeps them.
        connection: the connection kept between requests.
        is_stopping: whether to send no further request.
    """

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
        self.keep_factor = rng.choice((1, 1, LONG_KEEP_FACTOR))
        self.ignores_addresses = rng.random() < 0.5
        self.addresses: list[str] = []
        self.expires = 0.0
        self.connection: Connection | None = None
        self.is_stopping = False

    async def run(self) -> None:
        """Send requests until `is_stopping` is set."""
        while not self.is_stopping:
            await asyncio.sleep(self.rng.expovariate(1 / CALL_PAUSE_SECONDS))
            await self._resolve_addresses()
            connection = await self._get_connection()
            if connection is not None:
                call = self._draw_call(connection.address)
                await self._call(connection, call)
                if (
                    call.kind.name == "review"
                    and call.outcome is node_checker.Outcome.CUT
                    and EVENT_END in call.content
                ):
                    await self._resume(call)
        if self.connection is not None:
            self.connection.close()

    async def _resolve_addresses(self) -> None:
        """Resolve addresses if none are kept or they have expired."""
        if time.monotonic() < self.expires and self.addresses:
            return
        timeout = aiohttp.ClientTimeout(total=CONNECT_SECONDS)
        for node in self.rng.sample(self.system.nodes, RESOLVE_ATTEMPTS):
            url = f"http://{node.host}:{node.base + 2}/resolve?name=api.example"
            began = time.monotonic()
            try:
                async with self.session.get(url, timeout=timeout) as response:
                    if response.status != 200:
                        continue
                    answer = json.loads(await response.read())
            except (aiohttp.ClientError, TimeoutError):
                self.system.checker.results.counts["not_resolved"] += 1
                continue
            self.addresses = answer["addresses"]
            self.expires = began + answer["ttl_s"] * self.keep_factor
            return

    async def _get_connection(self) -> Connection | None:
        """Return the kept connection or a new one, None if none opens."""
        connection, self.connection = self.connection, None
        if connection is not None:
            is_known = (
                self.ignores_addresses or connection.address in self.addresses
            )
            is_kept = self.rng.random() >= NEW_CONNECTION_SHARE
            if connection.is_usable and is_known and is_kept:
                return connection
            connection.close()
        if not self.addresses:
            return None
        address = self.rng.choice(self.addresses)
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                reader, writer = await asyncio.open_connection(
                    *address.rsplit(":", 1)
                )
        except (OSError, TimeoutError):
            self.system.checker.results.counts["not_connected"] += 1
            self.addresses.remove(address)
            return None
        return Connection(address, reader, writer)

    def _draw_call(self, address: str) -> node_checker.Call:
        """Draw a request to a node."""
        kind = self.rng.choice(node_checker.REQUEST_KINDS)
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
        return node_checker.Call(
            f"{self.name}-{next(self.numbers)}",
            self.node_names[address],
            kind,
            f"/{kind.name}/{count}/{pause}",
            model,
            self.rng.randbytes(BODY_PARTS * self.rng.randint(0, BODY_BYTES)),
            self._draw_timeout_seconds(kind),
        )

    def _draw_timeout_seconds(self, kind: node_checker.RequestKind) -> float:
        """Draw the time until the deadline of a request."""
        if self.rng.random() < SHORT_TIMEOUT_SHARE:
            return self.rng.uniform(
                SHORTEST_TIMEOUT_SECONDS, kind.timeout_seconds
            )
        return kind.timeout_seconds

    def _draw_pauses(self) -> tuple[float, ...] | None:
        """Draw the pauses within a body; None to send it with a length."""
        if self.rng.random() < SLOW_BODY_SHARE:
            return tuple(
                self.rng.uniform(*CHUNK_PAUSE_SECONDS)
                for _ in range(BODY_PARTS)
            )
        return (0.0,) if self.rng.random() < CHUNKED_SHARE else None

    async def _resume(self, cut: node_checker.Call) -> None:
        """Resume a stream that was cut, at any node."""
        connection = await self._get_connection()
        if connection is None:
            return
        call = node_checker.Call(
            f"{self.name}-{next(self.numbers)}",
            self.node_names[connection.address],
            cut.kind,
            cut.path,
            cut.model,
            cut.body,
            cut.timeout_seconds,
            resumed=cut.id,
            last_event=cut.content.count(EVENT_END),
        )
        await self._call(connection, call)

    async def _call(
        self, connection: Connection, call: node_checker.Call
    ) -> None:
        """Send a request, wait for its outcome and check it."""
        pauses = self._draw_pauses()
        is_abandoned = self.rng.random() < ABANDON_SHARE
        wait = (
            call.timeout_seconds
            + node_checker.ANSWER_SLACK_SECONDS
            + sum(pauses or ())
        )
        if is_abandoned:
            wait = self.rng.uniform(*ABANDON_SECONDS)
        checker = self.system.checker
        checker.calls[call.id] = call
        call.began = time.monotonic()
        sending = asyncio.create_task(connection.send(call, pauses))
        try:
            async with asyncio.timeout(wait):
                await connection.receive(call)
            call.outcome = node_checker.Outcome.ANSWERED
        except TimeoutError:
            outcomes = node_checker.Outcome
            call.outcome = outcomes.LEFT if is_abandoned else outcomes.TIMED_OUT
        except (EOFError, ConnectionError):
            is_sent = call.sent is not None
            call.outcome = (
                node_checker.Outcome.CUT
                if is_sent
                else node_checker.Outcome.UNSENT
            )
        except (ValueError, KeyError) as error:
            call.outcome = node_checker.Outcome.MALFORMED
            call.content += repr(error).encode()
        call.ended = time.monotonic()
        is_closing = call.headers.get("connection") == "close"
        if (
            call.outcome is node_checker.Outcome.ANSWERED
            and call.sent
            and not is_closing
        ):
            self.connection = connection
        else:
            connection.close()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        checker.check_call(call)
