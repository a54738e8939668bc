"""Servers of connections of clients, which share one account.

A refusal by a limit is counted by reason, and one log line for each period
says how many there were.
"""

import asyncio
from collections import Counter
from collections import deque
from collections.abc import Callable
import contextlib
import datetime
import resource
import socket
from typing import Any, Final

from aiohttp import web

from cicadahook.core import errors
from cicadahook.core import held_bytes
from cicadahook.core import routes
from cicadahook.net import client_protocol
from cicadahook.net import client_state
from cicadahook.net import logs
from cicadahook.net import metrics

# Connections that wait to be accepted, and those accepted in one pass of the
# event loop, which must fit into the descriptors beside the limits.
BACKLOG: Final = 1024
ACCEPTED_AT_ONCE: Final = 8
# Time limits are kept to this precision.
CHECK_SECONDS: Final = 0.5
# Connections are looked at no more often where none can give way.
CHOICE_SECONDS: Final = 0.02
# How long a client may take to read what was written before a close.
CLOSE_SECONDS: Final = 2.0
SMALL_PIECE_BYTES: Final = 4096
LOG_PERIOD_SECONDS: Final = 5.0

logger: Final = logs.create_logger("clients")


class ClientGuard:
    """What all servers of a process share.

    Attributes:
        account: what is held for clients.
        clients: all connections.
        turns: connections that wait to go on reading.
        reasons: how many clients met a limit since the last log line.
        node: name of the process, for metrics.
    """

    def __init__(self, limits: held_bytes.HeldLimits, node: str) -> None:
        self.account = held_bytes.HeldBytes(limits)
        self.clients: set[client_protocol.ClientProtocol] = set()
        self.turns: deque[client_protocol.ClientProtocol] = deque()
        self.reasons: Counter[held_bytes.Reason] = Counter()
        self.node = node
        # One buffer is enough, since reads follow one another.
        self.buffer = memoryview(bytearray(client_protocol.READ_BYTES))
        self._check: asyncio.TimerHandle | None = None
        self._logged = 0.0
        self._next_choice = 0.0

    def add(self, client: client_protocol.ClientProtocol) -> None:
        """Record a new connection; others may give way to it."""
        loop = asyncio.get_running_loop()
        self.clients.add(client)
        self.account.open(client)
        if self._check is None:
            self._check = loop.call_later(CHECK_SECONDS, self._check_clients)
        for other in self.account.choose_for_connection(
            self.clients, client.pool, loop.time()
        ):
            other.give_way(held_bytes.Reason.CONNECTIONS)

    def remove(self, client: client_protocol.ClientProtocol) -> None:
        """Record that a connection has ended."""
        if client in self.clients:
            self.clients.discard(client)
            self.account.close(client)

    def hold(self, client: client_protocol.ClientProtocol, size: int) -> None:
        """Record that `size` more bytes are held; others may give way."""
        if client not in self.clients:
            return
        self.account.add(client, size)
        if size <= 0 or not self.account.is_full:
            return
        now = asyncio.get_running_loop().time()
        if now < self._next_choice:
            return
        for other in self.account.choose_for_bytes(self.clients, now):
            other.give_way(held_bytes.Reason.MEMORY)
        if self.account.is_full:
            # Requests that may run hold it all.
            self._next_choice = now + CHOICE_SECONDS

    def await_turn(self, client: client_protocol.ClientProtocol) -> None:
        """Have a connection go on reading; one does in each pass."""
        self.turns.append(client)
        if len(self.turns) == 1:
            asyncio.get_running_loop().call_soon(self._take_turn)

    def count(self, reason: held_bytes.Reason) -> None:
        """Count that a client met a limit."""
        self.reasons[reason] += 1
        metrics.count_client_limit(reason, self.node)

    def _take_turn(self) -> None:
        self.turns.popleft().take_turn()
        if self.turns:
            asyncio.get_running_loop().call_soon(self._take_turn)

    def _check_clients(self) -> None:
        """End connections that are over their time."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        for client in list(self.clients):
            client.check_time(now)
        if self.reasons and now - self._logged >= LOG_PERIOD_SECONDS:
            logger.info(
                "Clients met limits.",
                extra={
                    "reasons": {
                        str(reason): count
                        for reason, count in self.reasons.items()
                    },
                    "held_bytes": self.account.total,
                    "connections": len(self.clients),
                },
            )
            self.reasons.clear()
            self._logged = now
        self._check = None
        if self.clients or self.reasons:
            self._check = loop.call_later(CHECK_SECONDS, self._check_clients)


class ClientServer(web.Server):
    """A server on one port.

    Attributes:
        guard: what it shares with other servers.
        pool: who connects.
        protocol: class of its connections.
    """

    protocol = client_protocol.ClientProtocol

    def __init__(
        self,
        handler: Any,
        guard: ClientGuard,
        pool: held_bytes.Pool,
        get_limits: Callable[[], client_state.ConnectionLimits],
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self.guard = guard
        self.pool = pool
        self.buffer = guard.buffer
        self._get_limits = get_limits
        self.add_client = guard.add
        self.remove_client = guard.remove
        self.hold = guard.hold
        self.await_turn = guard.await_turn
        self.count = guard.count

    def __call__(self) -> client_protocol.ClientProtocol:
        """Return the protocol of a new connection."""
        return self.protocol(self, self, loop=self._loop, **self._kwargs)

    @property
    def limits(self) -> client_state.ConnectionLimits:
        """The limits in force."""
        return self._get_limits()


def create_limits(
    limits: routes.CallerLimits, idle: datetime.timedelta | None = None
) -> client_state.ConnectionLimits:
    """Return the limits of connections.

    Args:
        limits: limits of the configuration.
        idle: how long a connection is kept, if the configuration does not say.
    """
    return client_state.ConnectionLimits(
        limits.max_header_bytes,
        held_bytes.TimeLimits(
            limits.header_timeout.total_seconds(),
            (idle or limits.idle_timeout).total_seconds(),
            CLOSE_SECONDS,
        ),
    )


def plan_limits(memory_mb: int, descriptors: int) -> held_bytes.HeldLimits:
    """Return what a process may hold for clients.

    Args:
        memory_mb: memory of the machine; 0 if it is not known.
        descriptors: descriptors that the process may open; 0 if not known.
    """
    # The process can't open more, whatever its settings say.
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = descriptors or held_bytes.DEFAULT_DESCRIPTORS
    if allowed != resource.RLIM_INFINITY:
        descriptors = min(descriptors, allowed)
    return held_bytes.plan_limits(
        memory_mb or held_bytes.DEFAULT_MEMORY_MB, descriptors
    )


async def read_body(request: web.BaseRequest, limit: int) -> bytes:
    """Return the body of a request.

    Raises:
        errors.RefusalError: it is longer than `limit`.
    """
    if (request.content_length or 0) > limit:
        raise errors.RefusalError("body_too_large", "body", 413)
    size = 0
    pieces: list[bytes] = []
    # Small pieces are joined, since each object uses some 60 bytes itself.
    small = bytearray()
    try:
        async for piece in request.content.iter_any():
            size += len(piece)
            if size > limit:
                raise errors.RefusalError("body_too_large", "body", 413)
            if len(piece) < SMALL_PIECE_BYTES:
                small += piece
                if len(small) < client_protocol.READ_BYTES:
                    continue
                piece = b""
            if small:
                pieces.append(bytes(small))
                small.clear()
            if piece:
                pieces.append(piece)
    except BaseException:
        # The exception's traceback keeps this frame until the connection ends.
        pieces.clear()
        small.clear()
        raise
    if small:
        pieces.append(bytes(small))
    return pieces[0] if len(pieces) == 1 else b"".join(pieces)


def open_socket(host: str, port: int) -> socket.socket:
    """Return a socket to listen on.

    The event loop accepts as many connections in one pass as its argument
    `backlog` says, so the socket's own backlog is set after it listens.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock


@contextlib.asynccontextmanager
async def listen(server: web.Server, host: str, port: int):  # type: ignore
    """Accept connections on a port until the context ends."""
    sock = open_socket(host, port)
    listener = await asyncio.get_running_loop().create_server(
        server, sock=sock, backlog=ACCEPTED_AT_ONCE
    )
    sock.listen(BACKLOG)
    try:
        yield listener
    finally:
        listener.close()
