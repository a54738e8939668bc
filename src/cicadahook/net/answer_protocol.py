"""Bounds what an upstream may send before the head of its answer is complete.

aiohttp reads on over any number of interim heads, and parses them in the event
loop, so one upstream could keep a node from all its other work.
"""

from typing import Any, Final

from aiohttp import client_proto
from aiohttp import http_exceptions

# An upstream may announce that it works on a request a few times.
MAX_INTERIM_HEADS: Final = 16
# All heads of an answer together.
MAX_HEAD_BYTES: Final = 131_072
HEAD_END: Final = b"\r\n\r\n"
INTERIM_PREFIXES: Final = (b"HTTP/1.1 1", b"HTTP/1.0 1")
SWITCHING: Final = b"01"


class HeadCounter:
    """Follows the heads of one answer.

    Attributes:
        is_final: whether the final head has arrived.
        interim_heads: number of interim heads.
        size: bytes of all heads.
        pending: what has arrived of the next head.
    """

    def __init__(self) -> None:
        self.is_final = False
        self.interim_heads = 0
        self.size = 0
        self.pending = b""

    def add(self, data: bytes) -> bool:
        """Follow further bytes; return whether the heads are within bounds."""
        if self.is_final:
            return True
        content = self.pending + data
        begin = 0
        while (end := content.find(HEAD_END, begin)) >= 0:
            self.size += end + len(HEAD_END) - begin
            if not _is_interim(content[begin:end]):
                self.is_final, self.pending = True, b""
                return self.size <= MAX_HEAD_BYTES
            self.interim_heads += 1
            if self.interim_heads > MAX_INTERIM_HEADS:
                return False
            begin = end + len(HEAD_END)
        self.pending = content[begin:]
        return self.size + len(self.pending) <= MAX_HEAD_BYTES


def _is_interim(head: bytes) -> bool:
    """Whether another head follows this one."""
    return head.startswith(INTERIM_PREFIXES) and head[10:12] != SWITCHING


class BoundedHandler(client_proto.ResponseHandler):
    """A connection that closes once heads exceed their bounds.

    Attributes:
        heads: the heads of the answer that is due.
    """

    heads: HeadCounter | None = None

    def set_response_params(self, **options: Any) -> None:
        """Expect the answer to the next request."""
        self.heads = HeadCounter()
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Receive bytes of an answer."""
        if self.heads is not None and not self.heads.add(data):
            self.set_exception(
                http_exceptions.BadHttpMessage("heads beyond their bounds")
            )
            if self.transport is not None:
                self.transport.abort()
            return
        super().data_received(data)
