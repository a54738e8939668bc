"""Sends requests to upstreams through another node that reaches them.

This node keeps the request: it chooses the upstream, retries and answers the
caller. The other node sends one attempt on its own connections and passes it
to no third node.
"""

import asyncio
import collections
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
import contextlib
import dataclasses
import datetime
import functools
from typing import Final

import aiohttp

from cicadahook.core import clock as clock_lib
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.core import reachability as reachability_lib
from cicadahook.core import roster
from cicadahook.net import active_request
from cicadahook.net import answer_protocol
from cicadahook.net import codec
from cicadahook.net import header_fields
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import peer_relay_messages

CONNECT_TIMEOUT: Final = datetime.timedelta(milliseconds=300)
# A node accepts a request before it sends it.
ACCEPT_TIMEOUT: Final = datetime.timedelta(seconds=1)
# A node that has closed its connections ends within this time.
EXIT_PERIOD: Final = datetime.timedelta(milliseconds=300)
SILENCE_POLL_PERIOD: Final = datetime.timedelta(milliseconds=250)

logger: Final = logs.create_logger("relay")


@dataclasses.dataclass
class RelayedAnswer:
    """An answer that another node passes on.

    Attributes:
        head: status and headers.
        response: the other node's response, from which the body is read.
        may_be_cut: returns whether an end that an older build has stated may
            be none of the answer.
    """

    head: forwarding.AnswerHead
    response: aiohttp.ClientResponse
    may_be_cut: Callable[[], Awaitable[bool]]

    async def read(self) -> bytes:
        """Return the complete body.

        Raises:
            forwarding.AttemptError: the body is not complete, or too long.
        """
        chunks: list[bytes] = []
        size = 0
        async for chunk in self.iterate():
            size += len(chunk)
            if size > peer_relay_messages.MAX_ANSWER_BYTES:
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
        if self.head.body_end is not forwarding.BodyEnd.UNKNOWN:
            return
        # A node of an older build states each end, whatever it saw of it.
        if await self.may_be_cut():
            raise forwarding.AttemptError(
                forwarding.FailureKind.CUT,
                "an end by way of a node of an older build",
            )


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
        is_gone: returns whether an upstream is known to have ended.
        in_flight: attempts in progress, by name of the other node.
        session: connections to the other nodes.
    """

    def __init__(
        self,
        reachability: reachability_lib.Reachability,
        nodes: roster.Roster,
        clock: clock_lib.Clock,
        is_gone: active_request.ReachCheck,
    ) -> None:
        self.is_gone = is_gone
        self.reachability = reachability
        self.roster = nodes
        self.clock = clock
        self.node = nodes.own.name
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.session = answer_protocol.open_session(
            # Other nodes know this one by the address that it registers.
            local_host=nodes.own.peer_address.rpartition(":")[0],
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT.total_seconds()
            ),
            max_body_bytes=None,
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
                yield RelayedAnswer(
                    head,
                    response,
                    functools.partial(self.may_be_cut, attempt.instance, peer),
                )
            is_whole = True
        finally:
            self.in_flight[peer.name] -= 1
            if response is not None:
                if is_whole:
                    response.release()
                else:
                    response.close()

    async def may_be_cut(
        self, instance: inventory.Instance, peer: roster.NodeRecord
    ) -> bool:
        """Return whether an end stated by an older build may be no end.

        Such a node states one if its upstream has died, and where it closes its
        connections to upstreams, right before its process ends.
        """
        status = self.roster.find_recent(peer.name, self.clock.now())
        if status is None or status.has_left or not status.is_ready:
            await asyncio.sleep(EXIT_PERIOD.total_seconds())
            if not await _is_listening(peer.peer_address):
                return True
        return await self.is_gone(instance)

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
                        f"http://{peer.peer_address}"
                        f"{peer_relay_messages.RELAY_PATH}",
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
            head = peer_relay_messages.HEADS.decode(
                await peer_relay_messages.read_frame(response.content)
            )
        if not head.failure:
            return _decode_answer_head(head)
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


async def _is_listening(address: str) -> bool:
    """Return whether a node accepts a connection."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True


def _decode_answer_head(
    head: peer_relay_messages.RelayedHead,
) -> forwarding.AnswerHead:
    """Return the head of an upstream's answer that another node passes on.

    Raises:
        forwarding.AttemptError: it is none; older builds do not check it.
    """
    headers = peer_relay_messages.unpack_headers(head.headers)
    is_valid = all(header_fields.is_valid(*field) for field in headers)
    if not 200 <= head.status < 600 or not is_valid:
        raise forwarding.AttemptError(
            forwarding.FailureKind.MALFORMED,
            f"status {head.status} by way of another node",
        )
    try:
        body_end = forwarding.BodyEnd(head.body_end)
    except ValueError:
        body_end = forwarding.BodyEnd.UNKNOWN
    return forwarding.AnswerHead(
        head.status, headers, head.is_event_stream, body_end
    )


def _encode_attempt(attempt: forwarding.Attempt) -> bytes:
    """Return the message for an attempt.

    Raises:
        UnicodeError: the path or a header is not UTF-8.
    """
    request = attempt.request
    message = peer_relay_messages.RelayedAttempt(
        request.id,
        attempt.instance.id,
        attempt.instance.born,
        request.method,
        request.host,
        request.path,
        peer_relay_messages.pack_headers(request.headers),
        int(attempt.time_left.total_seconds() * 1000),
        attempt.priority,
        attempt.last_event_id,
        request.generation is not None,
        attempt.was_refused,
    )
    return (
        peer_relay_messages.frame(peer_relay_messages.ATTEMPTS.encode(message))
        + request.body
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
