"""Creates TCP sockets that detect a silent peer."""

from collections.abc import Callable
import datetime
import fcntl
import socket
import struct
import termios
from typing import Any, Final

# Idle time before the first keep-alive probe, and time between probes.
PROBE_IDLE_SECONDS: Final = 1
PROBE_INTERVAL_SECONDS: Final = 1
PROBE_COUNT: Final = 2
# How long sent data may stay unacknowledged.
UNACKNOWLEDGED_LIMIT: Final = datetime.timedelta(milliseconds=2500)
UNSIGNED: Final = struct.Struct("I")
LINGER_RESET: Final = struct.pack("ii", 1, 0)


def set_keepalive_options(sock: socket.socket) -> None:
    """Make the kernel close a connection whose peer no longer answers."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, PROBE_COUNT),
        (
            socket.TCP_USER_TIMEOUT,
            int(UNACKNOWLEDGED_LIMIT.total_seconds() * 1000),
        ),
        (socket.TCP_NODELAY, 1),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def count_unacknowledged(sock: socket.socket) -> int:
    """Return how many bytes were sent and have not arrived; 0 if unknown."""
    try:
        answer = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(UNSIGNED.size))
    except OSError:
        return 0
    return int(UNSIGNED.unpack(answer)[0])


def create_factory(*, resets: bool = False) -> Callable[[Any], socket.socket]:
    """Return a socket factory for aiohttp's connector.

    Args:
        resets: whether closing a connection resets it, which discards data
            that is still in transit.
    """

    def create(address: Any) -> socket.socket:
        family, kind, protocol = address[:3]
        sock = socket.socket(family, kind, protocol)
        sock.setblocking(False)
        set_keepalive_options(sock)
        if resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        return sock

    return create
