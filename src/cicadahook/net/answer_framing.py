"""Follows the bytes of an answer to its end, and bounds what they may cost.

aiohttp parses whatever comes on a connection and does not tell where an answer
ended. It reads on over any number of interim heads and tiny chunks, and joins a
head that was cut within a value with the head behind it.
"""

from collections.abc import Callable
import enum
import re
from typing import Final

from aiohttp import http_exceptions

# An upstream may announce that it works on a request a few times.
MAX_INTERIM_HEADS: Final = 16
# All heads and trailers of an answer together.
MAX_HEAD_BYTES: Final = 131_072
# Each chunk of a body costs about as much as a kilobyte. Chunks of one or two
# bytes have a line end in less than four bytes; smallest events have fewer.
MIN_BYTES_PER_LINE: Final = 4
MAX_SHORT_LINES: Final = 4096
MAX_CHUNK_LINE_BYTES: Final = 1024
LINE_END: Final = b"\r\n"
HEAD_END: Final = b"\r\n\r\n"
# The grammar of RFC 9112. aiohttp accepts statuses out of range, and names and
# values of fields with blanks, folds and control bytes.
STATUS_LINE: Final = re.compile(
    rb"HTTP/1\.[01] ([1-5]\d\d)(?: [\t\x20-\x7e\x80-\xff]*)?"
)
FIELD_LINE: Final = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*"
)
# A status line within a line is that of another answer.
ANY_STATUS: Final = re.compile(rb"HTTP/\d\.\d \d")
LENGTH: Final = re.compile(rb"\d{1,18}")
CHUNK_SIZE: Final = re.compile(rb"([0-9a-fA-F]{1,15})[ \t]*(?:;|$)")
SWITCHING: Final = 101
STATUSES_WITHOUT_BODY: Final = frozenset({204, 304})


class State(enum.IntEnum):
    """What is due next of an answer; hashed several times for each event."""

    HEAD = enum.auto()
    CHUNK_LINE = enum.auto()
    CHUNK = enum.auto()
    TRAILER = enum.auto()
    BODY = enum.auto()  # of a stated length
    BODY_TO_CLOSE = enum.auto()
    NOTHING = enum.auto()


class AnswerFraming:
    """Follows the bytes of one answer.

    Attributes:
        has_body: whether an answer to the request may have a body.
        max_body_bytes: bytes of its body at the most; None for any number.
        state: what is due next.
        interim_heads: number of interim heads.
        size: bytes of all heads and of the trailers.
        pending: what has arrived of a head or line.
        remaining: bytes that are due of a chunk or body.
        lines: line ends in a body that comes in chunks.
        body_size: bytes of a body without a stated length.
    """

    def __init__(
        self, *, has_body: bool = True, max_body_bytes: int | None = None
    ) -> None:
        self.has_body = has_body
        self.max_body_bytes = max_body_bytes
        self.state = State.HEAD
        self.interim_heads = 0
        self.size = 0
        self.pending = bytearray()
        self.remaining = 0
        self.lines = 0
        self.body_size = 0
        self.readers: dict[State, Callable[[bytes, int], int]] = {
            State.HEAD: self._read_head,
            State.CHUNK_LINE: self._read_chunk_line,
            State.CHUNK: self._read_sized,
            State.TRAILER: self._read_trailer,
            State.BODY: self._read_sized,
            State.BODY_TO_CLOSE: self._read_to_close,
        }

    @property
    def has_ended(self) -> bool:
        """Whether the answer is complete and nothing more is due."""
        return self.state is State.NOTHING

    def add(self, data: bytes) -> int:
        """Follow further bytes; return how many of them belong to the answer.

        Raises:
            http_exceptions.BadHttpMessage: they are no answer, or one beyond
                its bounds.
        """
        position = 0
        while position < len(data) and not self.has_ended:
            position = self.readers[self.state](data, position)
        return position

    def _read_head(self, data: bytes, position: int) -> int:
        known = len(self.pending)
        self.pending += data[position:]
        end = self.pending.find(HEAD_END, max(0, known - len(HEAD_END) + 1))
        if end < 0:
            _check(
                self.size + len(self.pending) <= MAX_HEAD_BYTES, "long heads"
            )
            return len(data)
        head = bytes(self.pending[:end])
        self.pending.clear()
        self.size += end + len(HEAD_END)
        _check(self.size <= MAX_HEAD_BYTES, "long heads")
        self._apply_head(head)
        return position + end + len(HEAD_END) - known

    def _apply_head(self, head: bytes) -> None:
        """Find out how the body that follows a head ends."""
        status_line, *lines = head.split(LINE_END)
        found = STATUS_LINE.fullmatch(status_line)
        _check(found is not None, "no status line")
        assert found is not None, "checked above"
        _check(ANY_STATUS.search(head, 1) is None, "two status lines")
        _check(all(map(FIELD_LINE.fullmatch, lines)), "a malformed field")
        # Other bytes would be passed on changed.
        _check(_is_text(head), "a value that is not UTF-8")
        status = int(found[1])
        _check(status != SWITCHING, "another protocol")
        if status < 200:
            self.interim_heads += 1
            _check(self.interim_heads <= MAX_INTERIM_HEADS, "interim heads")
            return
        fields = [
            (name.lower(), value.strip())
            for line in lines
            for name, _, value in [line.partition(b":")]
        ]
        lengths = [value for name, value in fields if name == b"content-length"]
        codings = [
            value for name, value in fields if name == b"transfer-encoding"
        ]
        _check(len(lengths) + len(codings) <= 1, "several lengths")
        if not self.has_body or status in STATUSES_WITHOUT_BODY:
            self.state = State.NOTHING
        elif codings:
            _check(codings[0].lower() == b"chunked", "a transfer coding")
            self.state = State.CHUNK_LINE
        elif lengths:
            _check(LENGTH.fullmatch(lengths[0]) is not None, "no length")
            self.remaining = int(lengths[0])
            self._check_body(self.remaining)
            self.state = State.BODY if self.remaining else State.NOTHING
        else:
            self.state = State.BODY_TO_CLOSE

    def _read_chunk_line(self, data: bytes, position: int) -> int:
        line, position = self._read_line(data, position)
        if line is None:
            return position
        found = CHUNK_SIZE.match(line)
        _check(found is not None, "no size of a chunk")
        assert found is not None, "checked above"
        size = int(found[1], 16)
        # The chunk ends with a line end.
        self.remaining = size + len(LINE_END)
        self.state = State.CHUNK if size else State.TRAILER
        self.body_size += len(line) + len(LINE_END) + self.remaining
        self.lines += 2
        _check(
            self.lines <= MAX_SHORT_LINES
            or self.body_size >= MIN_BYTES_PER_LINE * self.lines,
            "tiny chunks",
        )
        self._check_body(self.body_size)
        return position

    def _read_trailer(self, data: bytes, position: int) -> int:
        line, position = self._read_line(data, position)
        if line == b"":
            self.state = State.NOTHING
        elif line is not None:
            _check(FIELD_LINE.fullmatch(line) is not None, "a malformed field")
            self.size += len(line) + len(LINE_END)
            _check(self.size <= MAX_HEAD_BYTES, "long trailers")
        return position

    def _read_to_close(self, data: bytes, position: int) -> int:
        self.body_size += len(data) - position
        self._check_body(self.body_size)
        return len(data)

    def _check_body(self, size: int) -> None:
        limit = self.max_body_bytes
        _check(limit is None or size <= limit, "a long body")

    def _read_sized(self, data: bytes, position: int) -> int:
        taken = min(self.remaining, len(data) - position)
        self.remaining -= taken
        if not self.remaining:
            is_chunk = self.state is State.CHUNK
            self.state = State.CHUNK_LINE if is_chunk else State.NOTHING
        return position + taken

    def _read_line(
        self, data: bytes, position: int
    ) -> tuple[bytes | None, int]:
        """Return a whole line, or None, and the position behind it."""
        if not self.pending:
            # Mostly a line arrives whole, and needs no copy to be searched.
            end = data.find(LINE_END, position, position + MAX_CHUNK_LINE_BYTES)
            if end >= 0:
                return data[position:end], end + len(LINE_END)
        known = len(self.pending)
        self.pending += data[position : position + MAX_CHUNK_LINE_BYTES]
        end = self.pending.find(LINE_END, max(0, known - 1))
        if end < 0:
            _check(len(self.pending) < MAX_CHUNK_LINE_BYTES, "a long line")
            return None, len(data)
        line = bytes(self.pending[:end])
        self.pending.clear()
        return line, position + end + len(LINE_END) - known


def _is_text(data: bytes) -> bool:
    if data.isascii():
        return True
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True


def _check(condition: bool, fault: str) -> None:
    """Raise an error that names a fault unless a condition holds.

    Raises:
        http_exceptions.BadHttpMessage: it does not hold.
    """
    if not condition:
        raise http_exceptions.BadHttpMessage(f"an answer with {fault}")
