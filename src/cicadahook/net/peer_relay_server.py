"""Sends requests of other nodes to upstreams that those do not reach."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import datetime
import struct
from typing import Final

from aiohttp import web

from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.net import active_request
from cicadahook.net import codec
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import peer_relay_messages
from cicadahook.net import request_drain

# A node passes on no more for others, so that its own callers have enough of
# its memory and descriptors.
MAX_RELAYED: Final = 256
MAX_RELAYED_BYTES: Final = 32 * 1024 * 1024
TICK: Final = datetime.timedelta(milliseconds=100)
# What is read after a longer stall of the process may be too old to be sent.
MAX_STALL: Final = datetime.timedelta(milliseconds=400)
# After a stall, what was sent before is read within this time.
CATCH_UP_PERIOD: Final = datetime.timedelta(milliseconds=500)
# Longer than any request may take.
MAX_TIME_LEFT_MS: Final = 24 * 60 * 60 * 1000

logger: Final = logs.create_logger("relay")


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
        accepts: whether requests of a host are passed on.
        active: number of attempts in progress.
        held_bytes: size of their bodies.
        ticked: when the process last showed that it runs.
        refuses_until: until when it reads what was sent before a stall.
    """

    def __init__(
        self,
        components: active_request.ForwarderComponents,
        upstreams: active_request.UpstreamSender,
        drain: request_drain.RequestDrain,
        node: str,
        accepts: Callable[[str], bool] = lambda host: True,
    ) -> None:
        self.accepts = accepts
        self.upstreams = upstreams
        self.inventory = components.inventory
        self.reachability = components.reachability
        self.statements = components.statements
        self.clock = components.clock
        self.drain = drain
        self.node = node
        self.active = 0
        self.held_bytes = 0
        self.ticked = self.refuses_until = self.clock.now()

    async def run(self) -> None:
        """Record that the process runs, until cancelled."""
        while True:
            self.record_tick()
            await asyncio.sleep(TICK.total_seconds())

    def record_tick(self) -> None:
        """Record that the process runs now."""
        now = self.clock.now()
        if now - self.ticked > MAX_STALL:
            self.refuses_until = now + CATCH_UP_PERIOD
        self.ticked = now

    def has_stalled(self) -> bool:
        """Whether what is read now may have been sent before a stall."""
        now = self.clock.now()
        return now - self.ticked > MAX_STALL or now < self.refuses_until

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Send one attempt and pass on its answer."""
        if not self.accepts(request.remote or ""):
            logger.warning(
                "Relayed request refused; its sender is no known node.",
                extra={"sender": request.remote},
            )
            return web.Response(status=403)
        has_stalled = self.has_stalled()
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        self.active += 1
        size = 0
        try:
            data = await self._read(request)
            size = len(data)
            self.held_bytes += size
            await response.prepare(request)
            await self._serve(request, response, data, has_stalled)
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
        has_stalled: bool,
    ) -> None:
        """Send an attempt; the answer's end is sent only if it is whole."""
        request_id, has_begun = "", False
        try:
            attempt = self._accept(data, has_stalled)
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
                await response.write(
                    peer_relay_messages.frame(_encode_failure(error))
                )
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

    def _accept(self, data: bytes, has_stalled: bool) -> forwarding.Attempt:
        """Return the attempt in a message.

        Raises:
            RelayRefusedError: this node passes nothing on now.
            forwarding.AttemptError: this node may not send to the upstream.
        """
        if has_stalled:
            raise RelayRefusedError("stalled")
        if self.drain.plan is not None:
            raise RelayRefusedError("stopping")
        if self.active > MAX_RELAYED:
            raise RelayRefusedError("too many requests")
        try:
            (length,) = peer_relay_messages.FRAME_LENGTH.unpack_from(data)
            end = peer_relay_messages.FRAME_LENGTH.size + length
            message = peer_relay_messages.ATTEMPTS.decode(
                data[peer_relay_messages.FRAME_LENGTH.size : end]
            )
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
                peer_relay_messages.unpack_headers(message.headers),
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
            message.was_refused,
        )

    def _find_obstacle(
        self,
        instance: inventory.Instance | None,
        message: peer_relay_messages.RelayedAttempt,
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
    return peer_relay_messages.frame(
        peer_relay_messages.HEADS.encode(
            peer_relay_messages.RelayedHead(
                head.status,
                peer_relay_messages.pack_headers(head.headers),
                head.is_event_stream,
                body_end=str(head.body_end),
            )
        )
    )


def _encode_failure(
    error: forwarding.AttemptError | RelayRefusedError,
) -> bytes:
    """Return the head that tells why there is no answer."""
    if isinstance(error, RelayRefusedError):
        return peer_relay_messages.HEADS.encode(
            peer_relay_messages.RelayedHead(
                failure=str(forwarding.FailureKind.UNREACHABLE),
                detail=str(error),
                is_refused=True,
            )
        )
    return peer_relay_messages.HEADS.encode(
        peer_relay_messages.RelayedHead(
            failure=str(error.kind), detail=error.detail
        )
    )
