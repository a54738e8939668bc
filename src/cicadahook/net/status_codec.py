"""Encodes statuses for nodes of this build and of older ones.

Nodes that tell of `COMPACT_STATUS` get MessagePack, compressed; the others get
Cap'n Proto, which takes some 40 times as long to encode and to decode.
"""

from typing import Final
import zlib

import msgspec

from cicadahook.core import roster
from cicadahook.net import codec

# An older build rejects a message that begins so: as Cap'n Proto it would have
# 2**32 segments. The last byte is the version of this encoding.
COMPACT_PREFIX: Final = b"\xff\xff\xff\xff\xff\x01"
COMPRESSION_LEVEL: Final = 1
# More than the largest UDP datagram can hold of any sensible status.
MAX_DECOMPRESSED_BYTES: Final = 1_048_576

_SCHEMA_CODEC: Final = codec.Codec(roster.NodeStatus, "peer")
_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(roster.NodeStatus)


def encode(status: roster.NodeStatus, *, is_compact: bool) -> bytes:
    """Return the bytes of a status.

    Args:
        status: the status.
        is_compact: whether the receiver reads the compact form.

    Raises:
        codec.EncodeError: the form has no place for a value.
    """
    if not is_compact:
        return _SCHEMA_CODEC.encode(status)
    try:
        return pack(_ENCODER.encode(status))
    except OverflowError as error:
        raise codec.EncodeError(f"compact status: {error}") from error


def pack(content: bytes) -> bytes:
    """Return a message with this MessagePack content."""
    return COMPACT_PREFIX + zlib.compress(content, COMPRESSION_LEVEL)


def decode(data: bytes) -> roster.NodeStatus:
    """Return the status in `data`, which has either form.

    Raises:
        codec.DecodeError: `data` is no status.
    """
    if not data.startswith(COMPACT_PREFIX):
        return _SCHEMA_CODEC.decode(data)
    try:
        content = _decompress(data[len(COMPACT_PREFIX) :])
        status = _DECODER.decode(content)
        _check_numbers(status)
        return status
    except (zlib.error, RecursionError, ValueError) as error:
        raise codec.DecodeError(f"bad compact status: {error}") from error


def _check_numbers(status: roster.NodeStatus) -> None:
    """Reject numbers that this node could not pass on in the other form.

    Raises:
        ValueError: one is negative.
    """
    numbers = (status.number, status.fence, status.newest_term, status.era)
    if min(numbers) < 0:
        raise ValueError(f"negative number among {numbers}")


def _decompress(data: bytes) -> bytes:
    """Return the content of `data`, which must be complete and not too long.

    Raises:
        ValueError: it is neither.
    """
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise ValueError("cut off or too long")
    return content
