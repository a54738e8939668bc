"""Messages of requests that pass through another node.

Call and response each begin with a frame, which is a length and an encoded
message; the body follows it unchanged.
"""

import dataclasses
import struct
from typing import Final

import aiohttp

from cicadahook.core import forwarding
from cicadahook.net import codec

RELAY_PATH: Final = "/relay"
MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
FRAME_LENGTH: Final = struct.Struct(">I")


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedHeader:
    """A header of a request or an answer."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedAttempt:
    """An attempt that another node shall send; its body follows.

    Attributes:
        request_id: the caller's id of the request.
        instance: id of the upstream.
        born: start of its incarnation; see `inventory.Instance`.
        method: HTTP method.
        host: value of the `Host` header.
        path: path and query.
        headers: end-to-end headers, in order.
        time_left_ms: until the upstream may work on it.
        priority: 0 is the most urgent.
        last_event_id: id of the last event that the caller has.
        is_generation: whether the request asks a model engine.
        was_refused: whether the upstream has refused this request before.
    """

    request_id: str
    instance: str
    born: int
    method: str
    host: str
    path: str
    headers: tuple[RelayedHeader, ...]
    time_left_ms: int
    priority: int
    last_event_id: str = ""
    is_generation: bool = False
    was_refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedHead:
    """Head of an answer, or why there is none; the body follows.

    Attributes:
        status: status of the answer; 0 if there is none.
        headers: its end-to-end headers.
        is_event_stream: whether it is a stream of events.
        failure: kind of the failure if there is no answer.
        detail: what was observed, for the log.
        is_refused: whether the node passes nothing on now.
        body_end: what tells where the body of the upstream's answer ends; empty
            if an older build sends the head.
    """

    status: int = 0
    headers: tuple[RelayedHeader, ...] = ()
    is_event_stream: bool = False
    failure: str = ""
    detail: str = ""
    is_refused: bool = False
    body_end: str = ""


ATTEMPTS: Final = codec.Codec(RelayedAttempt, "peer")
HEADS: Final = codec.Codec(RelayedHead, "peer")


def pack_headers(headers: forwarding.Headers) -> tuple[RelayedHeader, ...]:
    """Return headers as they are sent between nodes."""
    return tuple(RelayedHeader(name, value) for name, value in headers)


def unpack_headers(headers: tuple[RelayedHeader, ...]) -> forwarding.Headers:
    """Return headers that another node has sent."""
    return tuple((header.name, header.value) for header in headers)


def frame(data: bytes) -> bytes:
    """Return `data` after its length."""
    return FRAME_LENGTH.pack(len(data)) + data


async def read_frame(content: aiohttp.StreamReader) -> bytes:
    """Return the data of the next frame.

    Raises:
        codec.DecodeError: it is too long.
        asyncio.IncompleteReadError: the content ends before it does.
    """
    (length,) = FRAME_LENGTH.unpack(
        await content.readexactly(FRAME_LENGTH.size)
    )
    if length > MAX_ANSWER_BYTES:
        raise codec.DecodeError(f"a frame of {length} bytes")
    return await content.readexactly(length)
