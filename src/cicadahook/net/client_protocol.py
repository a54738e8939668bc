"""HTTP connections of clients whose goodwill is not relied on.

aiohttp's parser bounds fields, trailers and chunks one by one. The protocol
here bounds what they add up to, the time that they take, and the work of one
pass of the event loop; see docs/design/untrusted-clients.md.
"""

import asyncio
from collections import deque
import itertools
import json
import re
from typing import Any, Final, Protocol

from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from cicadahook.core import errors
from cicadahook.core import held_bytes
from cicadahook.net import client_state

# Read at once from a connection. Chunks of one byte make the parser work for
# 5 ms on it; ordinary requests fit.
READ_BYTES: Final = 16_384
# aiohttp stops reading a body of which nothing is consumed at twice this size.
BODY_BUFFER_BYTES: Final = 65_536
# Requests that wait on a connection behind the one in progress. aiohttp's 32
# could hold 32 heads for each connection.
MAX_QUEUED_REQUESTS: Final = 4
MAX_FIELDS: Final = 1024
# The limit on a head counts names and values. A head that is read may be this
# much larger, for its request line and the marks between its fields.
HEAD_MARGIN_BYTES: Final = 4096
HEAD_FACTOR: Final = 2
# A read with more lines is many small chunks or fields, not an ordinary head.
MANY_LINES: Final = 256
# How long the rest of a request is read and dropped behind a refusal. Closing
# with unread bytes would reset the connection, and its client might not see
# the refusal.
LINGER_SECONDS: Final = 2.0
UPGRADE: Final = re.compile(rb"[Uu][Pp][Gg][Rr][Aa][Dd][Ee]")
HEAD_END: Final = b"\r\n\r\n"
WEBSOCKET: Final = "websocket"


class Supervisor(Protocol):
    """The server, as its connections see it.

    Attributes:
        pool: who connects.
        buffer: memory into which all connections read.
        limits: the limits in force.
    """

    pool: held_bytes.Pool
    buffer: memoryview

    @property
    def limits(self) -> client_state.ConnectionLimits:
        """The limits in force."""

    def add_client(self, client: "ClientProtocol") -> None:
        """Record a new connection."""

    def remove_client(self, client: "ClientProtocol") -> None:
        """Record that a connection has ended."""

    def hold(self, client: "ClientProtocol", size: int) -> None:
        """Record that `size` more bytes are held for a connection."""

    def await_turn(self, client: "ClientProtocol") -> None:
        """Have a connection go on reading when it is its turn."""

    def count(self, reason: held_bytes.Reason) -> None:
        """Count that a client met a limit."""


class ClientProtocol(web_protocol.RequestHandler, asyncio.BufferedProtocol):
    """A connection of a client.

    Attributes:
        supervisor: the server.
        pool: who connects.
        held: bytes held for it.
    """

    def __init__(
        self,
        supervisor: Supervisor,
        manager: web.Server,
        *,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        line_bytes = HEAD_FACTOR * supervisor.limits.head_bytes
        options = {
            "max_line_size": line_bytes,
            "max_field_size": line_bytes,
            "max_headers": MAX_FIELDS,
            "read_bufsize": BODY_BUFFER_BYTES,
            "access_log": None,
            "lingering_time": LINGER_SECONDS,
            **options,
        }
        super().__init__(manager, loop=loop, **options)
        # aiohttp has no option for the length of its queue.
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2
        self._parser = http_parser.HttpRequestParser(
            self,
            loop,
            options["read_bufsize"],
            max_line_size=options["max_line_size"],
            max_field_size=options["max_field_size"],
            max_headers=options["max_headers"],
            payload_exception=web.RequestPayloadError,
            auto_decompress=options.get("auto_decompress", True),
            max_msg_queue_size=MAX_QUEUED_REQUESTS,
        )
        self.supervisor = supervisor
        self.pool = supervisor.pool
        self.held = 0
        self._link: asyncio.Transport | None = None
        # Bytes held for each request that has come and is not answered.
        self._costs: deque[int] = deque()
        self._head = client_state.Head()
        self._body = client_state.Body()
        self._since = self._progress = 0.0
        self._is_refused = False
        self._refusal: errors.RefusalError | None = None
        self._lingers = False
        self._waits_turn = False
        self._unread: client_state.UnreadAnswer | None = None
        self._closing_since: float | None = None

    @property
    def stage(self) -> held_bytes.Stage:
        """What the connection waits for."""
        if self._closing_since is not None:
            return held_bytes.Stage.CLOSING
        if self._unread is not None:
            return held_bytes.Stage.UNREAD
        if self._is_refused:
            return held_bytes.Stage.CLOSING
        if self._costs:
            return self._find_request_stage()
        if self._head.since is not None:
            return held_bytes.Stage.HEAD
        if self._request_count:
            return held_bytes.Stage.IDLE
        return held_bytes.Stage.NEW

    def _find_request_stage(self) -> held_bytes.Stage:
        """Return what the oldest request without an answer waits for."""
        if self._body.is_open and len(self._costs) == 1:
            return held_bytes.Stage.BODY
        if self._messages and len(self._costs) > 1:
            return held_bytes.Stage.QUEUED
        return held_bytes.Stage.RUNNING

    @property
    def since(self) -> float:
        """When it began to wait for that, or made progress."""
        if self._closing_since is not None:
            return self._closing_since
        if self._unread is not None:
            return self._unread.since
        if self._costs:
            return self._progress
        if self._head.since is not None:
            return max(self._head.since, self._since)
        return self._since

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve."""
        assert isinstance(transport, asyncio.Transport), "not a stream"
        self._link = transport
        self._since = self._progress = self._loop.time()
        super().connection_made(transport)
        self.supervisor.add_client(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End; what was held is released."""
        super().connection_lost(exc)
        self._link = None
        self.supervisor.remove_client(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read to."""
        del sizehint
        return self.supervisor.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Receive what was read."""
        data = bytes(self.supervisor.buffer[:nbytes])
        is_plain = self._body.is_open and not self._body.is_chunked
        self.data_received(data)
        if not is_plain and data.count(b"\n") > MANY_LINES:
            self._waits_turn = True
            self._pause_transport_reading()
            self.supervisor.await_turn(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes, and refuse what exceeds a limit."""
        if self._is_refused or self._force_close or self._close:
            return
        if data and self._body.upgrade_left:
            size = min(self._body.upgrade_left, len(data))
            self._body.upgrade_left -= size
            self._parse(data[:size])
            if rest := data[size:]:
                self.data_received(rest)
            return
        if data and self._is_at_head and self._has_upgrade(data):
            end = data.find(HEAD_END)
            if end >= 0:
                end += len(HEAD_END)
                self._head.may_upgrade = False
                self._parse(data[:end])
                self._check_upgrade()
                if rest := data[end:]:
                    self.data_received(rest)
                return
        self._parse(data)

    def take_turn(self) -> None:
        """Go on reading."""
        self._waits_turn = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def give_way(self, reason: held_bytes.Reason) -> None:
        """End what the connection waits for, to make room for others."""
        stage = self.stage
        is_crowded = reason is held_bytes.Reason.CONNECTIONS
        if stage is held_bytes.Stage.CLOSING:
            if is_crowded:
                self._abort()
            return
        self.supervisor.count(reason)
        if stage is held_bytes.Stage.UNREAD:
            self._abort()
        elif stage is held_bytes.Stage.BODY:
            self._refuse(
                client_state.create_refusal(reason), lingers=not is_crowded
            )
        elif stage is held_bytes.Stage.HEAD and not is_crowded:
            self._refuse(client_state.create_refusal(reason))
        elif stage is held_bytes.Stage.QUEUED:
            self._drop_queue()
        elif stage is not held_bytes.Stage.RUNNING:
            self.force_close()

    def _drop_queue(self) -> None:
        """End with the answer in progress; what waits behind it never runs."""
        self._messages.clear()
        while len(self._costs) > 1:
            self.supervisor.hold(self, -self._costs.pop())
        self._stop_reading()
        self._lingers = False
        self.close()

    def check_time(self, now: float) -> None:
        """End the connection if its client takes too long."""
        if self._closing_since is None and (
            self._link is not None and self._link.is_closing()
        ):
            self._closing_since = now
        if self._unread is not None and self._link is not None:
            self._unread.record(self._link.get_write_buffer_size(), now)
        stage = self.stage
        reason = held_bytes.find_overdue(
            stage, now - self.since, self.supervisor.limits.times
        )
        if reason is None:
            return
        if stage is held_bytes.Stage.CLOSING:
            if self._closing_since is not None:
                self.supervisor.count(reason)
                self._abort()
            return
        self.supervisor.count(reason)
        if stage is held_bytes.Stage.UNREAD:
            self._abort()
        elif stage in (held_bytes.Stage.HEAD, held_bytes.Stage.BODY):
            self._refuse(client_state.create_refusal(reason))
        else:
            self.force_close()

    def force_close(self) -> None:
        """Close the connection."""
        if self._closing_since is None:
            self._closing_since = self._loop.time()
        super().force_close()
        if self._link is None or not self._link.get_write_buffer_size():
            # It ends in the next pass of the event loop.
            self.supervisor.remove_client(self)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to a request that failed.

        What a client does wrong is counted and leads to no log line of its own.
        """
        if isinstance(exc, ConnectionError):
            # The client has left; there is nobody to answer.
            raise exc
        if isinstance(exc, web.RequestPayloadError):
            status, message = 400, str(exc)
        if isinstance(exc, errors.RefusalError):
            status = exc.status
            message = json.dumps(
                {"error_message": exc.reason, "code": exc.code}
            )
        elif status >= 500:
            return super().handle_error(request, status, exc, message)
        if request.writer.output_size > 0:
            raise ConnectionError("an answer has been sent already")
        response = web.Response(status=status, text=message)
        if isinstance(exc, errors.RefusalError):
            response.content_type = "application/json"
            if exc.retry_after is not None:
                seconds = exc.retry_after.total_seconds()
                response.headers["Retry-After"] = f"{seconds:.3f}"
        response.force_close()
        return response

    async def _handle_request(
        self, *args: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Serve a request; what it held is released in any case."""
        try:
            result = await super()._handle_request(*args)
            if self._refusal is not None:
                # Its traceback keeps what was read of the body.
                self._refusal.__traceback__ = None
            if self._lingers and not self._messages:
                await asyncio.sleep(LINGER_SECONDS)
            return result
        finally:
            if self._costs:
                self.supervisor.hold(self, -self._costs.popleft())
            self._since = self._progress = self._loop.time()

    async def _drain_helper(self) -> None:
        """Wait until the client has read; meanwhile its answer is held."""
        link = self._link
        if link is None or not self._paused:
            await super()._drain_helper()
            return
        unread = link.get_write_buffer_size()
        self._unread = client_state.UnreadAnswer(unread, self._loop.time())
        self.supervisor.hold(self, unread)
        try:
            await super()._drain_helper()
        finally:
            self._unread = None
            self.supervisor.hold(self, -unread)

    def _resume_transport_reading(self) -> None:
        if not self._waits_turn:
            super()._resume_transport_reading()

    @property
    def _is_at_head(self) -> bool:
        """Whether what is read next belongs to a head."""
        return not self._body.is_open and not self._upgraded

    def _has_upgrade(self, data: bytes) -> bool:
        """Whether a head may ask for another protocol."""
        if not self._head.may_upgrade:
            self._head.may_upgrade = UPGRADE.search(data) is not None
        return self._head.may_upgrade

    def _check_upgrade(self) -> None:
        """Keep requests apart that follow one that asks for an upgrade.

        Behind such a request the parser drops what it was given together with
        the request's last byte.
        """
        if not self._messages:
            return
        message, payload = self._messages[-1]
        if not isinstance(message, http_parser.RawRequestMessage):
            return
        protocol = message.headers.get("Upgrade", "").lower()
        if not message.upgrade or protocol == WEBSOCKET or payload.is_eof():
            return
        length = message.headers.get("Content-Length")
        if message.chunked or length is None:
            # Its end is not known beforehand, so nothing may follow it.
            self._messages[-1] = (
                message._replace(should_close=True),
                payload,
            )
        else:
            self._body.upgrade_left = int(length)

    def _parse(self, data: bytes) -> None:
        """Parse bytes and record what is held for them."""
        was_at_head = self._is_at_head
        known = len(self._messages)
        super().data_received(data)
        if len(self._messages) > known:
            self._record_requests(known, len(data), was_at_head)
        elif was_at_head:
            self._record_head(data)
        elif data:
            self._record_body(len(data))

    def _record_requests(
        self, known: int, size: int, was_at_head: bool
    ) -> None:
        """Record requests whose heads are complete."""
        self._progress = self._loop.time()
        for message, payload in list(
            itertools.islice(self._messages, known, None)
        ):
            if not isinstance(message, http_parser.RawRequestMessage):
                self._record_fault(message.exc, was_at_head)
                return
            fields = len(message.headers) * held_bytes.FIELD_BYTES
            cost = self._head.cost + fields
            self._head.cost = 0
            self._costs.append(cost + size)
            self.supervisor.hold(self, cost + size)
            size = 0
            self._body = client_state.Body(
                payload, payload.total_bytes, is_chunked=bool(message.chunked)
            )
            was_at_head = payload.is_eof()
        self._head = client_state.Head()

    def _record_head(self, data: bytes) -> None:
        """Record a part of a head that goes on."""
        if not data:
            return
        self._head.size += len(data)
        if self._head.since is None and data.strip(b"\r\n"):
            self._head.since = self._loop.time()
        cost = len(data) + data.count(b"\n") * held_bytes.FIELD_BYTES
        self._head.cost += cost
        limit = HEAD_FACTOR * self.supervisor.limits.head_bytes
        if self._head.size > limit + HEAD_MARGIN_BYTES:
            self._refuse_head()
            return
        self.supervisor.hold(self, cost)

    def _record_body(self, size: int) -> None:
        """Record a part of a body, and refuse one of marks without content."""
        grown = self._body.count_bytes() - self._body.size
        if grown:
            self._body.size += grown
            self._body.unproductive = 0
            self._progress = self._loop.time()
        else:
            self._body.unproductive += size
        if (
            self._body.unproductive
            > self.supervisor.limits.head_bytes + READ_BYTES
        ):
            self.supervisor.count(held_bytes.Reason.HEAD_TOO_LARGE)
            self._refuse(
                client_state.ClientLimitError(
                    "trailers_too_large", "trailers", 431
                )
            )
        elif grown and self._costs:
            self._costs[-1] += grown
            self.supervisor.hold(self, grown)

    def _record_fault(self, fault: BaseException, was_at_head: bool) -> None:
        """Refuse what the parser does not accept."""
        answer = self._messages.pop()
        is_large = isinstance(fault, http_exceptions.LineTooLong) or (
            "Too many headers" in str(fault)
        )
        self._request_count -= 1
        if is_large:
            self._refuse_head()
            return
        self.supervisor.count(held_bytes.Reason.MALFORMED)
        if was_at_head:
            self._stop_reading()
            self._append_answer(answer[0])
        else:
            self._refuse(
                client_state.ClientLimitError("malformed_body", "body", 400)
            )

    def _refuse_head(self) -> None:
        self.supervisor.count(held_bytes.Reason.HEAD_TOO_LARGE)
        self._refuse(
            client_state.ClientLimitError("headers_too_large", "headers", 431)
        )

    def _refuse(
        self, refusal: errors.RefusalError, *, lingers: bool = True
    ) -> None:
        """Answer the incomplete request with a refusal, behind earlier ones."""
        self._stop_reading()
        self._lingers = lingers
        body = self._body.stream
        if body is None or body.is_eof():
            # pylint: disable-next=protected-access
            answer = web_protocol._ErrInfo(
                status=refusal.status, exc=refusal, message=refusal.reason
            )
            self._append_answer(answer)
        elif self._costs:
            # Whoever reads the body refuses the request.
            body.set_exception(refusal)
            self._refusal = refusal
            cost, self._costs[-1] = self._costs[-1], 0
            self.supervisor.hold(self, -cost)
        else:
            # The request has been answered already.
            self.force_close()

    def _append_answer(self, answer: Any) -> None:
        """Answer what is no request behind the requests that have come."""
        self._messages.append((answer, streams.EMPTY_PAYLOAD))
        self._costs.append(0)
        self._request_count += 1
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _stop_reading(self) -> None:
        """Drop what comes from now on; the next answer is the last one."""
        self._is_refused = self._lingers = True
        # aiohttp would go on to read the rest of the body.
        self._lingering_time = 0.0
        self.supervisor.hold(self, -self._head.cost)
        self._head.cost = 0

    def _abort(self) -> None:
        if self._link is not None:
            self._link.abort()
        # It ends in the next pass of the event loop.
        self.supervisor.remove_client(self)
