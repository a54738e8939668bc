"""Passes requests to upstreams through another node that reaches them.

The first node keeps the request: it chooses the upstream, retries and answers
the caller. The other node sends that one attempt on its own connections and
passes it to no third node.
"""

import asyncio
import collections
from collections.abc import AsyncIterator, Iterator
import contextlib
import dataclasses
import datetime
import struct
from typing import Final

import aiohttp
from aiohttp import web

from cicadahook.core import clock as clock_lib
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.core import reachability as reachability_lib
from cicadahook.core import roster
from cicadahook.net import active_request
from cicadahook.net import codec
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import request_drain
from cicadahook.net import sockets

RELAY_PATH: Final = "/relay"
CONNECT_TIMEOUT: Final = datetime.timedelta(milliseconds=300)
# A node passes on no more for others, so that its own callers have enough of
# its memory and descriptors.
MAX_RELAYED: Final = 256
MAX_RELAYED_BYTES: Final = 32 * 1024 * 1024
MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
# A node accepts a request before it sends it.
ACCEPT_TIMEOUT: Final = datetime.timedelta(seconds=1)
TICK: Final = datetime.timedelta(milliseconds=100)
# What is read after a longer stall of the process may be too old to be sent.
MAX_STALL: Final = datetime.timedelta(milliseconds=400)
# Longer than any request may take.
MAX_TIME_LEFT_MS: Final = 24 * 60 * 60 * 1000
SILENCE_POLL_PERIOD: Final = datetime.timedelta(milliseconds=250)
FRAME_LENGTH: Final = struct.Struct(">I")

logger: Final = logs.create_logger("relay")


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedHeader:
    """A header of a request or an answer."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedAttempt:
    """An attempt that another node shall send; its body follows.

    Attributes:
        request_id: the caller's id of the request.
        instance: id of the upstream.
        born: start of its incarnation; see `inventory.Instance`.
        method: HTTP method.
        host: value of the `Host` header.
        path: path and query.
        headers: end-to-end headers, in order.
        time_left_ms: until the upstream may work on it.
        priority: 0 is the most urgent.
        last_event_id: id of the last event that the caller has.
        is_generation: whether the request asks a model engine.
    """

    request_id: str
    instance: str
    born: int
    method: str
    host: str
    path: str
    headers: tuple[RelayedHeader, ...]
    time_left_ms: int
    priority: int
    last_event_id: str = ""
    is_generation: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedHead:
    """Head of an answer, or why there is none; the body follows.

    Attributes:
        status: status of the answer; 0 if there is none.
        headers: its end-to-end headers.
        is_event_stream: whether it is a stream of events.
        failure: kind of the failure if there is no answer.
        detail: what was observed, for the log.
        is_refused: whether the node passes nothing on now.
    """

    status: int = 0
    headers: tuple[RelayedHeader, ...] = ()
    is_event_stream: bool = False
    failure: str = ""
    detail: str = ""
    is_refused: bool = False


ATTEMPTS: Final = codec.Codec(RelayedAttempt, "peer")
HEADS: Final = codec.Codec(RelayedHead, "peer")


def _pack(headers: forwarding.Headers) -> tuple[RelayedHeader, ...]:
    return tuple(RelayedHeader(name, value) for name, value in headers)


def _unpack(headers: tuple[RelayedHeader, ...]) -> forwarding.Headers:
    return tuple((header.name, header.value) for header in headers)


def _frame(data: bytes) -> bytes:
    return FRAME_LENGTH.pack(len(data)) + data


async def _read_frame(content: aiohttp.StreamReader) -> bytes:
    (length,) = FRAME_LENGTH.unpack(
        await content.readexactly(FRAME_LENGTH.size)
    )
    if length > MAX_ANSWER_BYTES:
        raise codec.DecodeError(f"a frame of {length} bytes")
    return await content.readexactly(length)


@dataclasses.dataclass
class RelayedAnswer:
    """An answer that another node passes on.

    Attributes:
        head: status and headers.
        response: the other node's response, from which the body is read.
    """

    head: forwarding.AnswerHead
    response: aiohttp.ClientResponse

    async def read(self) -> bytes:
        """Return the complete body.

        Raises:
            forwarding.AttemptError: the body is not complete, or too long.
        """
        chunks: list[bytes] = []
        size = 0
        async for chunk in self.iterate():
            size += len(chunk)
            if size > MAX_ANSWER_BYTES:
                raise forwarding.AttemptError(
                    forwarding.FailureKind.MALFORMED,
                    f"an answer of over {size} bytes",
                )
            chunks.append(chunk)
        return b"".join(chunks)

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            forwarding.AttemptError: the body is not complete.
        """
        with _translate_errors():
            async for chunk in self.response.content.iter_any():
                yield chunk


@contextlib.contextmanager
def _translate_errors() -> Iterator[None]:
    """Raise errors after the attempt was sent; an upstream may have run it."""
    try:
        yield
    except (
        aiohttp.ClientError,
        asyncio.IncompleteReadError,
        codec.DecodeError,
        OSError,
    ) as error:
        raise forwarding.AttemptError(
            forwarding.FailureKind.CUT, f"other node: {error!r}"
        ) from error


class RelayClient:
    """Sends attempts through other nodes.

    Attributes:
        reachability: which upstreams the other nodes reach.
        roster: the other nodes.
        clock: the time.
        node: name of this node, for metrics.
        in_flight: attempts in progress, by name of the other node.
        session: connections to the other nodes.
    """

    def __init__(
        self,
        reachability: reachability_lib.Reachability,
        nodes: roster.Roster,
        clock: clock_lib.Clock,
    ) -> None:
        self.reachability = reachability
        self.roster = nodes
        self.clock = clock
        self.node = nodes.own.name
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, socket_factory=sockets.create_factory()
            ),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT.total_seconds()
            ),
            auto_decompress=False,
        )
        # aiohttp must not send an attempt twice on its own.
        # pylint: disable-next=protected-access
        self.session._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    def choose_peer(
        self, instance: inventory.Instance
    ) -> roster.NodeRecord | None:
        """Return the node to send through, or None if there is none."""
        now = self.clock.now()
        ready = [
            status.node
            for name in self.reachability.list_helpers(instance, now)
            if (status := self.roster.find_recent(name, now)) is not None
            and status.is_ready
        ]
        # `min` returns the first of equals, and the best helpers come first.
        return min(
            ready,
            key=lambda record: self.in_flight[record.name],
            default=None,
        )

    @contextlib.asynccontextmanager
    async def send(
        self, attempt: forwarding.Attempt, peer: roster.NodeRecord
    ) -> AsyncIterator[RelayedAnswer]:
        """Send a request through another node and yield the answer.

        An early exit cancels it.

        Raises:
            forwarding.AttemptError: no answer arrived that may be passed on.
        """
        metrics.count_relay("sent", self.node)
        logger.info(
            "Request passed to another node.",
            extra={
                "request_id": attempt.request.id,
                "instance": attempt.instance.id,
                "peer": peer.name,
            },
        )
        self.in_flight[peer.name] += 1
        response: aiohttp.ClientResponse | None = None
        is_whole = False
        try:
            response = await self._post(attempt, peer)
            async with self._end_when_silent(peer, response):
                head = await self._read_head(attempt, peer, response)
                yield RelayedAnswer(head, response)
            is_whole = True
        finally:
            self.in_flight[peer.name] -= 1
            if response is not None:
                if is_whole:
                    response.release()
                else:
                    response.close()

    async def _post(
        self, attempt: forwarding.Attempt, peer: roster.NodeRecord
    ) -> aiohttp.ClientResponse:
        """Return the other node's response once its head is read.

        Raises:
            forwarding.AttemptError: the other node was not reached, or the
                connection ended.
        """
        with _translate_errors():
            try:
                async with asyncio.timeout(ACCEPT_TIMEOUT.total_seconds()):
                    return await self.session.post(
                        f"http://{peer.peer_address}{RELAY_PATH}",
                        data=_encode_attempt(attempt),
                    )
            except (
                aiohttp.ClientConnectorError,
                aiohttp.ConnectionTimeoutError,
                UnicodeError,
            ) as error:
                self.reachability.avoid_peer(peer.name, self.clock.now())
                raise forwarding.AttemptError(
                    forwarding.FailureKind.UNREACHABLE,
                    f"other node {peer.name}: {error!r}",
                ) from error

    async def _read_head(
        self,
        attempt: forwarding.Attempt,
        peer: roster.NodeRecord,
        response: aiohttp.ClientResponse,
    ) -> forwarding.AnswerHead:
        """Return the head of the upstream's answer.

        Raises:
            forwarding.AttemptError: there is no answer.
        """
        now = self.clock.now()
        if response.status != 200:
            self.reachability.avoid_peer(peer.name, now)
            raise forwarding.AttemptError(
                forwarding.FailureKind.UNREACHABLE,
                f"other node {peer.name}: status {response.status}",
            )
        with _translate_errors():
            head = HEADS.decode(await _read_frame(response.content))
        if not head.failure:
            return forwarding.AnswerHead(
                head.status, _unpack(head.headers), head.is_event_stream
            )
        if head.is_refused:
            self.reachability.avoid_peer(peer.name, now)
        elif head.failure == forwarding.FailureKind.UNREACHABLE:
            self.reachability.record_peer_failure(
                peer.name, attempt.instance, now
            )
        try:
            kind = forwarding.FailureKind(head.failure)
        except ValueError:
            kind = forwarding.FailureKind.CUT
        raise forwarding.AttemptError(kind, f"{peer.name}: {head.detail}")

    @contextlib.asynccontextmanager
    async def _end_when_silent(
        self, peer: roster.NodeRecord, response: aiohttp.ClientResponse
    ) -> AsyncIterator[None]:
        """Close the response once the other node is not heard any more."""

        async def watch() -> None:
            while self.roster.find_recent(peer.name, self.clock.now()):
                await asyncio.sleep(SILENCE_POLL_PERIOD.total_seconds())
            response.close()

        task = asyncio.create_task(watch())
        try:
            yield
        finally:
            task.cancel()


def _encode_attempt(attempt: forwarding.Attempt) -> bytes:
    """Return the message for an attempt.

    Raises:
        UnicodeError: the path or a header is not UTF-8.
    """
    request = attempt.request
    message = RelayedAttempt(
        request.id,
        attempt.instance.id,
        attempt.instance.born,
        request.method,
        request.host,
        request.path,
        _pack(request.headers),
        int(attempt.time_left.total_seconds() * 1000),
        attempt.priority,
        attempt.last_event_id,
        request.generation is not None,
    )
    return _frame(ATTEMPTS.encode(message)) + request.body


class RelayRefusedError(Exception):
    """This node passes nothing on now."""


class RelayServer:
    """Sends attempts of other nodes to upstreams.

    Attributes:
        upstreams: client of the upstreams.
        inventory: the registered upstreams.
        reachability: which upstreams this node reaches.
        statements: what upstreams say of themselves.
        drain: whether this node is stopping.
        clock: the time.
        node: name of this node, for metrics.
        active: number of attempts in progress.
        held_bytes: size of their bodies.
        ticked: when the process last showed that it runs.
    """

    def __init__(
        self,
        components: active_request.ForwarderComponents,
        upstreams: active_request.UpstreamSender,
        drain: request_drain.RequestDrain,
        node: str,
    ) -> None:
        self.upstreams = upstreams
        self.inventory = components.inventory
        self.reachability = components.reachability
        self.statements = components.statements
        self.clock = components.clock
        self.drain = drain
        self.node = node
        self.active = 0
        self.held_bytes = 0
        self.ticked = self.clock.now()

    async def run(self) -> None:
        """Record that the process runs, until cancelled."""
        while True:
            self.ticked = self.clock.now()
            await asyncio.sleep(TICK.total_seconds())

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Send one attempt and pass on its answer."""
        stall = self.clock.now() - self.ticked
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        self.active += 1
        size = 0
        try:
            data = await self._read(request)
            size = len(data)
            self.held_bytes += size
            await response.prepare(request)
            await self._serve(request, response, data, stall)
        finally:
            self.active -= 1
            self.held_bytes -= size
        return response

    async def _read(self, request: web.BaseRequest) -> bytes:
        """Return the content of a call.

        Raises:
            web.HTTPRequestEntityTooLarge: this node holds too much.
        """
        chunks: list[bytes] = []
        size = 0
        async for chunk in request.content.iter_any():
            size += len(chunk)
            if self.held_bytes + size > MAX_RELAYED_BYTES:
                raise web.HTTPRequestEntityTooLarge(MAX_RELAYED_BYTES, size)
            chunks.append(chunk)
        return b"".join(chunks)

    async def _serve(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        data: bytes,
        stall: datetime.timedelta,
    ) -> None:
        """Send an attempt; the answer's end is sent only if it is whole."""
        request_id, has_begun = "", False
        try:
            attempt = self._accept(data, stall)
            request_id = attempt.request.id
            async with (
                asyncio.timeout(attempt.time_left.total_seconds()),
                self._count(attempt),
                self.upstreams.send(attempt) as answer,
            ):
                # A plain answer is read first: it may turn out to be broken.
                body = b""
                if not answer.head.is_event_stream:
                    body = await answer.read()
                has_begun = True
                await response.write(_encode_head(answer.head) + body)
                if answer.head.is_event_stream:
                    async for chunk in answer.iterate():
                        await response.write(chunk)
            outcome = "answered"
            await response.write_eof()
        except (forwarding.AttemptError, RelayRefusedError) as error:
            outcome = str(error)
            if has_begun:
                if request.transport is not None:
                    request.transport.close()
            else:
                await response.write(_frame(_encode_failure(error)))
                await response.write_eof()
        except (ConnectionError, TimeoutError) as error:
            # The first node has left, or stands still beyond the time limit.
            outcome = repr(error)
            if request.transport is not None:
                request.transport.close()
        metrics.count_relay("served", self.node)
        logger.info(
            "Request of another node ended.",
            extra={"request_id": request_id, "outcome": outcome},
        )

    @contextlib.asynccontextmanager
    async def _count(self, attempt: forwarding.Attempt) -> AsyncIterator[None]:
        """Count an attempt among those that this node sends."""
        instance, is_rejected = attempt.instance, False
        self.statements.record_send(instance, self.clock.now())
        try:
            yield
        except forwarding.AttemptError as error:
            is_rejected = error.kind is forwarding.FailureKind.REJECTED
            raise
        finally:
            self.statements.record_end(
                instance, self.clock.now(), is_rejected=is_rejected
            )

    def _accept(
        self, data: bytes, stall: datetime.timedelta
    ) -> forwarding.Attempt:
        """Return the attempt in a message.

        Raises:
            RelayRefusedError: this node passes nothing on now.
            forwarding.AttemptError: this node may not send to the upstream.
        """
        if stall > MAX_STALL:
            raise RelayRefusedError(f"stalled for {stall}")
        if self.drain.plan is not None:
            raise RelayRefusedError("stopping")
        if self.active > MAX_RELAYED:
            raise RelayRefusedError("too many requests")
        try:
            (length,) = FRAME_LENGTH.unpack_from(data)
            end = FRAME_LENGTH.size + length
            message = ATTEMPTS.decode(data[FRAME_LENGTH.size : end])
        except (struct.error, codec.DecodeError) as error:
            raise RelayRefusedError(f"malformed: {error}") from error
        instance = self.inventory.find_usable(message.instance)
        now = self.clock.now()
        obstacle = self._find_obstacle(instance, message, now)
        if instance is None or obstacle:
            raise forwarding.AttemptError(
                forwarding.FailureKind.UNREACHABLE, obstacle
            )
        generation = (
            forwarding.Generation("") if message.is_generation else None
        )
        return forwarding.Attempt(
            forwarding.CallerRequest(
                message.request_id,
                message.method,
                message.host,
                message.path,
                _unpack(message.headers),
                data[end:],
                now,
                generation=generation,
            ),
            instance,
            datetime.timedelta(
                milliseconds=min(message.time_left_ms, MAX_TIME_LEFT_MS)
            ),
            message.priority,
            message.last_event_id,
        )

    def _find_obstacle(
        self,
        instance: inventory.Instance | None,
        message: RelayedAttempt,
        now: datetime.datetime,
    ) -> str:
        """Return why an upstream may not be sent to from here, or nothing."""
        if instance is None or instance.born != message.born:
            return "unknown upstream"
        if self.reachability.is_cut(instance):
            return "link is cut"
        if not self.statements.has_room(instance, now):
            return "no room"
        return ""


def _encode_head(head: forwarding.AnswerHead) -> bytes:
    return _frame(
        HEADS.encode(
            RelayedHead(head.status, _pack(head.headers), head.is_event_stream)
        )
    )


def _encode_failure(
    error: forwarding.AttemptError | RelayRefusedError,
) -> bytes:
    """Return the head that tells why there is no answer."""
    if isinstance(error, RelayRefusedError):
        return HEADS.encode(
            RelayedHead(
                failure=str(forwarding.FailureKind.UNREACHABLE),
                detail=str(error),
                is_refused=True,
            )
        )
    return HEADS.encode(
        RelayedHead(failure=str(error.kind), detail=error.detail)
    )


class UpstreamPaths:
    """Sends requests to upstreams directly, or through another node.

    Attributes:
        direct: sends on own connections.
        relays: sends through other nodes.
    """

    def __init__(
        self, direct: active_request.UpstreamSender, relays: RelayClient
    ) -> None:
        self.direct = direct
        self.relays = relays

    @contextlib.asynccontextmanager
    async def send(
        self, attempt: forwarding.Attempt
    ) -> AsyncIterator[active_request.Answer]:
        """Send a request and yield its answer; an early exit cancels it.

        Raises:
            forwarding.AttemptError: no answer arrived that may be passed on.
        """
        peer = None
        if self.relays.reachability.is_cut(attempt.instance):
            peer = self.relays.choose_peer(attempt.instance)
        if peer is None:
            async with self.direct.send(attempt) as answer:
                yield answer
        else:
            async with self.relays.send(attempt, peer) as relayed:
                yield relayed

    async def probe(self, instance: inventory.Instance) -> forwarding.LinkEvent:
        """Return what a new connection shows of the link to an upstream."""
        return await self.direct.probe(instance)
