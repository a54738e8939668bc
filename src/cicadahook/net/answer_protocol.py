"""Connections on which an answer counts only between its request and its end.

Most answers do not name their request, and those that do may be joined with
bytes of another one, so an answer is told by where it stands.
"""

import asyncio
from collections.abc import Mapping
import datetime
import select
import socket
import types
from typing import Any, Final

import aiohttp
from aiohttp import client_proto
from aiohttp import http_exceptions

from cicadahook.core import answer_ends
from cicadahook.core import forwarding
from cicadahook.net import answer_framing
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import sockets

# Whole answers to calls of nodes to the store and to each other, the largest of
# which hold all changes of a second or two. Their readers keep all of them.
MAX_BODY_BYTES: Final = 64 * 1024 * 1024
# How long an unused connection is kept where its server states no time.
KEEPALIVE_SECONDS: Final = 15.0
UNKNOWN_TIME: Final = datetime.datetime.min.replace(tzinfo=datetime.UTC)
UNCOMPRESSED: Final = types.MappingProxyType({"Accept-Encoding": "identity"})

logger: Final = logs.create_logger("connections")


class AnswerHandler(client_proto.ResponseHandler):
    """A connection that gives the answers that are due and nothing else.

    Attributes:
        max_body_bytes: bytes of a body at the most; None for any number, where
            bodies are passed on as they come.
        framing: follows the answer that is due; None before the first one.
        peer: address of the other side.
        answers: number of answers that have been due on this connection.
        has_surplus: whether other bytes have come.
        has_unread_upload: whether the other side ended the connection before
            all bytes of the request had arrived there.
        has_ended_cleanly: whether it ended the connection after these, without
            a reset.
        has_received_end: whether it ended the connection in order, by a FIN.
        connections: those to all upstreams, if it is one to an upstream, whose
            end must be known.
        opened: when it was opened.
        answered: when the last answer had come.
        ended: when the other side ended it; None if it has not.
    """

    max_body_bytes: int | None = None
    framing: answer_framing.AnswerFraming | None = None
    peer: tuple[str, int] | None = None
    answers: int = 0
    has_surplus: bool = False
    has_unread_upload: bool = False
    has_ended_cleanly: bool = False
    has_received_end: bool = False
    connections: answer_ends.UpstreamConnections | None = None
    opened: datetime.datetime = UNKNOWN_TIME
    answered: datetime.datetime = UNKNOWN_TIME
    ended: datetime.datetime | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin; the address of the other side is not known after the end."""
        self.peer = transport.get_extra_info("peername")
        if self.connections is not None:
            self.opened = self.connections.clock.now()
            self.connections.add(self.address, self)
        super().connection_made(transport)

    @property
    def address(self) -> str:
        """The `host:port` of the other side."""
        return f"{self.peer[0]}:{self.peer[1]}" if self.peer else ""

    @property
    def is_watched(self) -> bool:
        """Whether it is open, and its end would be noticed at once."""
        return (
            self.transport is not None
            and not self.has_received_end
            and not self.transport.is_closing()
            and not self._reading_paused
            and not self._buffer_paused
        )

    @property
    def is_idle(self) -> bool:
        """Whether no answer is due."""
        return self.framing is None or self.framing.has_ended

    @property
    def should_close(self) -> bool:
        """Whether the connection may not be used for another request."""
        return super().should_close or not self.is_idle or self.has_surplus

    def is_connected(self) -> bool:
        """Whether the connection is open and, while idle, has nothing to read.

        The event loop may not have read yet what has arrived.
        """
        if not super().is_connected() or self.has_surplus:
            return False
        return not (self.is_idle and _is_readable(self.transport))

    def set_response_params(self, **options: Any) -> None:
        """Expect the answer to the next request."""
        self.framing = answer_framing.AnswerFraming(
            has_body=not options.get("skip_payload"),
            max_body_bytes=self.max_body_bytes,
        )
        self.answers += 1
        super().set_response_params(**options)

    def eof_received(self) -> None:
        """Record whether the connection will be reset for what is unread."""
        super().eof_received()
        self.has_received_end = True
        self.has_unread_upload = _has_unread_upload(self.transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record how the connection ended."""
        self.has_ended_cleanly = (
            self.has_received_end
            and exc is None
            and self.exception() is None
            and not self.has_unread_upload
        )
        self._record_end(exc)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Receive bytes, and pass on those of the answer that is due."""
        if not data:
            # aiohttp goes on with what it has read before.
            super().data_received(data)
            return
        if self.framing is None or self.framing.has_ended:
            self._record_surplus("idle", len(data))
            self._abort()
            return
        try:
            size = self.framing.add(data)
        except http_exceptions.BadHttpMessage as error:
            self.set_exception(error)
            self._abort()
            return
        super().data_received(data[:size])
        if self.connections is not None and self.framing.has_ended:
            self.answered = self.connections.clock.now()
        if size < len(data):
            self._record_surplus("behind_an_answer", len(data) - size)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on after a pause.

        aiohttp calls this after each read of a body, and parses an empty piece,
        also where nothing has been paused and so nothing is left to parse.
        """
        if self._reading_paused or self._buffer_paused:
            super().resume_reading(resume_parser)

    def _record_surplus(self, place: str, size: int) -> None:
        """Record bytes that belong to no answer."""
        if self.has_surplus:
            return
        self.has_surplus = True
        metrics.count_surplus(place)
        logger.info(
            "Connection not used any more; bytes came that were not due.",
            extra={
                "peer": self.peer,
                "place": place,
                "bytes": size,
                "answers": self.answers,
            },
        )

    def _record_end(self, error: BaseException | None) -> None:
        """Record the end of the connection, and log one within an answer.

        Lines of one moment and peer show that the peer, or the way to it,
        ended all its connections.
        """
        is_lost = error is not None or self.has_received_end
        if self.connections is not None:
            loss = self._find_loss(self.connections, error) if is_lost else None
            self.ended = self.connections.clock.now() if is_lost else None
            self.connections.remove(self.address, self, loss)
        if not is_lost or self.is_idle:
            return
        assert self.framing is not None, "an answer is due"
        logger.info(
            "Connection ended within an answer.",
            extra={
                "peer": self.peer,
                "error": repr(error) if error else None,
                "due": self.framing.state.name.lower(),
                "body_bytes": self.framing.body_size,
                "answers": self.answers,
            },
        )

    def _find_loss(
        self,
        connections: answer_ends.UpstreamConnections,
        error: BaseException | None,
    ) -> answer_ends.Loss | None:
        """Return how the other side's end makes the connection a lost one.

        None if it ends an answer, rejects the connection, was announced, or
        comes right behind an answer of a server that keeps no connections.
        """
        states = answer_framing.State
        if self.framing is not None and not self.framing.has_ended:
            is_due = self.framing.state is states.BODY_TO_CLOSE
            is_end = is_due and self.has_ended_cleanly
            if error is None:
                return None if is_end else answer_ends.Loss.CUT
            is_head_due = self.framing.state is states.HEAD
            is_rejection = is_head_due and connections.is_new(self)
            return None if is_rejection else answer_ends.Loss.RESET
        idle_time = connections.clock.now() - self.answered
        if super().should_close or idle_time < answer_ends.MOMENT:
            return None
        return answer_ends.Loss.IDLE

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Response(aiohttp.ClientResponse):
    """A response that keeps its connection until it is released or closed.

    aiohttp returns the connection to the pool at the end of the body, when it
    is not known yet whether this was the answer due.

    Attributes:
        protocol: protocol of the connection, known after its release too.
        number: how many answers have been due on the connection.
    """

    protocol: asyncio.Protocol | None = None
    number: int = 0

    async def start(self, connection: Any) -> "Response":
        """Read the head from a connection."""
        self.protocol = connection.protocol
        self.number = connection.protocol.answers
        await super().start(connection)
        return self

    def _response_eof(self) -> None:
        """Do nothing at the end of the body."""

    async def read(self) -> bytes:
        """Return the complete body.

        Raises:
            aiohttp.ClientPayloadError: it is not complete, or compressed.
        """
        coding = self.headers.get("Content-Encoding", "identity")
        if coding.lower() != "identity":
            raise aiohttp.ClientPayloadError(f"A body in the coding {coding}.")
        body = await super().read()
        check_end(self)
        return body


def find_body_end(response: aiohttp.ClientResponse) -> forwarding.BodyEnd:
    """Return what tells where the body of a response ends."""
    if "Transfer-Encoding" in response.headers:
        return forwarding.BodyEnd.LAST_CHUNK
    if "Content-Length" in response.headers:
        return forwarding.BodyEnd.LENGTH
    protocol = getattr(response, "protocol", None)
    if isinstance(protocol, AnswerHandler) and protocol.is_idle:
        # The head allows no body, so the connection need not end.
        return forwarding.BodyEnd.LENGTH
    return forwarding.BodyEnd.CLOSE


async def read_stated(response: aiohttp.ClientResponse) -> bytes:
    """Return the body of an answer whose server always states where it ends.

    Raises:
        aiohttp.ClientPayloadError: it is not complete, or not stated to be.
    """
    if find_body_end(response) is forwarding.BodyEnd.CLOSE:
        raise aiohttp.ClientPayloadError("The end of a body is not stated.")
    return await response.read()


def check_end(response: aiohttp.ClientResponse) -> datetime.datetime | None:
    """Raise an error if a body without a length did not end by a FIN.

    aiohttp takes any end of the connection for the end of such a body, also
    one that this side has made.

    Returns:
        When the connection ended, if only that tells the end of the body; None
        if the body states its end, or the connection is none to an upstream.

    Raises:
        aiohttp.ClientPayloadError: the connection was reset, this side ended
            it, or it was released before a reset could be detected.
    """
    if find_body_end(response) is not forwarding.BodyEnd.CLOSE:
        return None
    protocol = getattr(response, "protocol", None)
    if isinstance(protocol, AnswerHandler) and protocol.has_ended_cleanly:
        return protocol.ended
    raise aiohttp.ClientPayloadError(
        "A body without a length did not end in order."
    )


def open_session(
    *,
    resets: bool = False,
    keepalive: float = KEEPALIVE_SECONDS,
    local_host: str = "",
    max_body_bytes: int | None = MAX_BODY_BYTES,
    headers: Mapping[str, str] = UNCOMPRESSED,
    connections: answer_ends.UpstreamConnections | None = None,
    **options: Any,
) -> aiohttp.ClientSession:
    """Return a session whose connections are `AnswerHandler`s.

    It expands no compressed bodies, as bounds are those of the bytes that
    arrive.

    Args:
        resets: whether closing a connection resets it.
        keepalive: seconds for which an unused connection is kept; 0 for
            connections that are used once.
        local_host: address to connect from; empty for any.
        max_body_bytes: bytes of the body of an answer at the most; None for any
            number.
        headers: headers that are added to each request.
        connections: where those of the session are recorded.
        **options: arguments of `aiohttp.ClientSession`.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=not keepalive,
        keepalive_timeout=keepalive or None,
        local_addr=(local_host, 0) if local_host else None,
        socket_factory=sockets.create_factory(resets=resets),
    )
    loop = asyncio.get_running_loop()

    def create_handler() -> AnswerHandler:
        handler = AnswerHandler(loop=loop)
        handler.max_body_bytes = max_body_bytes
        handler.connections = connections
        return handler

    # aiohttp offers no other way to replace the protocol of its connections.
    # pylint: disable-next=protected-access
    connector._factory = create_handler  # type: ignore[assignment]
    return aiohttp.ClientSession(
        connector=connector,
        response_class=Response,
        auto_decompress=False,
        headers=headers,
        **options,
    )


def _has_unread_upload(transport: asyncio.Transport | None) -> bool:
    """Whether bytes that were sent have not arrived at the other side."""
    if transport is None:
        return False
    sock: socket.socket = transport.get_extra_info("socket")
    return (
        transport.get_write_buffer_size() > 0
        or sockets.count_unacknowledged(sock) > 0
    )


def _is_readable(transport: asyncio.BaseTransport | None) -> bool:
    """Whether bytes, or the end of the connection, can be read now."""
    sock: socket.socket | None = (
        transport.get_extra_info("socket") if transport else None
    )
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
