"""Sessions to upstreams that keep unused connections for different times."""

import collections
from collections.abc import Iterator
import contextlib
import datetime
import re
from typing import Final

import aiohttp
from aiohttp import client_proto

from cicadahook.core import answer_ends
from cicadahook.core import clock as clock_lib
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.core import kept_connections
from cicadahook.net import answer_protocol
from cicadahook.net import metrics

# A lost opening packet is sent again only after a second.
CONNECT_TIMEOUT: Final = datetime.timedelta(milliseconds=500)
# Lifetime of connections that are used for one request only.
NOT_KEPT: Final = datetime.timedelta()
MAX_HEADER_BYTES: Final = 65_536
READ_BUFFER_BYTES: Final = 65_536
# Attempts that are remembered: those of some seconds at a busy node.
MAX_SENT: Final = 4096
# What came was not the answer due, so more of that kind may follow.
DISBELIEVED_KINDS: Final = frozenset(
    {forwarding.FailureKind.CROSSED, forwarding.FailureKind.MALFORMED}
)
# More digits state a time that is longer than any that counts.
TIMEOUT: Final = re.compile(r"(?:^|[,;\s])timeout\s*=\s*(\d{1,6})(?!\d)", re.I)


class ConnectionPools:
    """Sessions by the lifetime of their unused connections.

    Attributes:
        clock: the time.
        resets: whether closing a connection resets it.
        max_body_bytes: bytes of the body of an answer at the most; None for any
            number.
        connections: where its connections are recorded; None for nowhere.
        kept: which connections are kept.
        sessions: the sessions, a few dozen at most.
        sent: address and request id of the latest attempts, in order.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        *,
        resets: bool,
        max_body_bytes: int | None = None,
        connections: answer_ends.UpstreamConnections | None = None,
    ) -> None:
        self.clock = clock
        self.connections = connections
        self.resets = resets
        self.max_body_bytes = max_body_bytes
        self.kept = kept_connections.KeptConnections("")
        self.sessions: dict[datetime.timedelta, aiohttp.ClientSession] = {}
        self.sent: collections.OrderedDict[tuple[str, str], None] = (
            collections.OrderedDict()
        )

    def take(
        self, instance: inventory.Instance, *, is_new: bool = False
    ) -> aiohttp.ClientSession:
        """Return the session for a request to an upstream.

        Args:
            instance: the upstream.
            is_new: whether the connection must not have been used before.
        """
        if is_new:
            return self._get(NOT_KEPT)
        self.kept.take(instance, self.clock.now())
        return self._get(self.kept.get_lifetime(instance))

    def take_for(self, attempt: forwarding.Attempt) -> aiohttp.ClientSession:
        """Return the session for an attempt.

        An answer names its request, not the try: where an upstream has got the
        request before, maybe by way of another node, an earlier answer to it
        must not be on the connection.
        """
        key = (attempt.instance.address, attempt.request.id)
        was_sent = key in self.sent
        self.sent[key] = None
        if len(self.sent) > MAX_SENT:
            self.sent.popitem(last=False)
        return self.take(
            attempt.instance, is_new=was_sent or attempt.needs_new_connection
        )

    @contextlib.contextmanager
    def settle(
        self, instance: inventory.Instance, response: aiohttp.ClientResponse
    ) -> Iterator[None]:
        """Keep a connection if the whole answer due came on it, else close it.

        The connection itself knows whether the answer has ended.
        """
        is_own = False
        try:
            yield
            is_own = True
        except forwarding.AttemptError as error:
            is_own = error.kind not in DISBELIEVED_KINDS
            raise
        finally:
            if is_own:
                self.release(instance, response)
            else:
                response.close()

    def release(
        self, instance: inventory.Instance, response: aiohttp.ClientResponse
    ) -> None:
        """Return the connection of an answer that was read."""
        response.release()
        protocol = getattr(response, "protocol", None)
        if (
            isinstance(protocol, client_proto.ResponseHandler)
            and not protocol.should_close
            and protocol.is_connected()
        ):
            self.kept.keep(instance, self.clock.now())
        stated = parse_timeout(response.headers.get("Keep-Alive"))
        if stated is not None:
            self.kept.record_timeout(instance, stated)

    def _get(self, lifetime: datetime.timedelta) -> aiohttp.ClientSession:
        """Return the session whose unused connections live for `lifetime`."""
        session = self.sessions.get(lifetime)
        if session is None:
            session = self.sessions[lifetime] = self._create(lifetime)
        return session

    async def close(self) -> None:
        """Close all connections."""
        for session in self.sessions.values():
            await session.close()

    def _create(self, lifetime: datetime.timedelta) -> aiohttp.ClientSession:
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(self._count_connection)
        # Requests that are passed on keep their own fields.
        is_own = self.max_body_bytes is not None
        session = answer_protocol.open_session(
            resets=self.resets,
            keepalive=lifetime.total_seconds(),
            max_body_bytes=self.max_body_bytes,
            connections=self.connections,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT.total_seconds()
            ),
            headers=answer_protocol.UNCOMPRESSED if is_own else {},
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            read_bufsize=READ_BUFFER_BYTES,
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[trace],
        )
        # Some GET requests may not be repeated, so aiohttp must not resend
        # them on its own.
        # pylint: disable-next=protected-access
        session._retry_connection = False
        return session

    async def _count_connection(
        self,
        session: aiohttp.ClientSession,
        context: object,
        parameters: aiohttp.TraceConnectionCreateEndParams,
    ) -> None:
        del session, context, parameters
        metrics.count_connection(self.kept.node)


def parse_timeout(header: str | None) -> datetime.timedelta | None:
    """Return the time limit that a Keep-Alive header states, if any."""
    found = TIMEOUT.search(header) if header else None
    return datetime.timedelta(seconds=int(found[1])) if found else None
