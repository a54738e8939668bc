"""Bounds what an upstream's answer may cost to parse.

aiohttp reads on over any number of interim heads and tiny chunks, and parses
them in the event loop, so one upstream could keep a node from all its other
work.
"""

from typing import Any, Final

from aiohttp import client_proto
from aiohttp import http_exceptions

# An upstream may announce that it works on a request a few times.
MAX_INTERIM_HEADS: Final = 16
# All heads of an answer together.
MAX_HEAD_BYTES: Final = 131_072
# Each chunk of a body costs about as much as a kilobyte. Chunks of one or two
# bytes have a line end in less than four bytes; smallest events have fewer.
MIN_BYTES_PER_LINE: Final = 4
MAX_SHORT_LINES: Final = 4096
LINE_END: Final = b"\r\n"
HEAD_END: Final = b"\r\n\r\n"
INTERIM_PREFIXES: Final = (b"HTTP/1.1 1", b"HTTP/1.0 1")
SWITCHING: Final = b"01"


class AnswerCost:
    """Follows the bytes of one answer.

    Attributes:
        is_final: whether the final head has arrived.
        is_chunked: whether the body comes in chunks.
        interim_heads: number of interim heads.
        size: bytes of all heads.
        pending: what has arrived of the next head.
        lines: line ends in a body that comes in chunks.
        body_size: bytes of such a body.
    """

    def __init__(self) -> None:
        self.is_final = False
        self.is_chunked = False
        self.interim_heads = 0
        self.size = 0
        self.pending = b""
        self.lines = 0
        self.body_size = 0

    def add(self, data: bytes) -> bool:
        """Follow further bytes; return whether the answer is within bounds."""
        if self.is_final:
            return self._add_body(data)
        content = self.pending + data
        begin = 0
        while (end := content.find(HEAD_END, begin)) >= 0:
            self.size += end + len(HEAD_END) - begin
            head = content[begin:end]
            if not _is_interim(head):
                self.is_final, self.pending = True, b""
                self.is_chunked = b"chunked" in head.lower()
                is_bounded = self._add_body(content[end + len(HEAD_END) :])
                return is_bounded and self.size <= MAX_HEAD_BYTES
            self.interim_heads += 1
            if self.interim_heads > MAX_INTERIM_HEADS:
                return False
            begin = end + len(HEAD_END)
        self.pending = content[begin:]
        return self.size + len(self.pending) <= MAX_HEAD_BYTES

    def _add_body(self, data: bytes) -> bool:
        if not self.is_chunked:
            return True
        self.lines += data.count(LINE_END)
        self.body_size += len(data)
        return (
            self.lines <= MAX_SHORT_LINES
            or self.body_size >= MIN_BYTES_PER_LINE * self.lines
        )


def _is_interim(head: bytes) -> bool:
    """Whether another head follows this one."""
    return head.startswith(INTERIM_PREFIXES) and head[10:12] != SWITCHING


class BoundedHandler(client_proto.ResponseHandler):
    """A connection that closes once an answer exceeds its bounds.

    Attributes:
        cost: of the answer that is due.
        answers: number of answers that have been due on this connection.
    """

    cost: AnswerCost | None = None
    answers: int = 0

    def set_response_params(self, **options: Any) -> None:
        """Expect the answer to the next request."""
        self.cost = AnswerCost()
        self.answers += 1
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Receive bytes of an answer."""
        if self.cost is not None and not self.cost.add(data):
            self.set_exception(
                http_exceptions.BadHttpMessage("an answer beyond its bounds")
            )
            if self.transport is not None:
                self.transport.abort()
            return
        super().data_received(data)
