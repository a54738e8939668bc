"""What nodes tell each other of the items of the store and their changes."""

import dataclasses
import datetime
from typing import Final
import zlib

import msgspec

from cicadahook.core import store_api

MILLISECOND: Final = datetime.timedelta(milliseconds=1)
COMPRESSION_LEVEL: Final = 1
MAX_DECOMPRESSED_BYTES: Final = 32 * 1024 * 1024
# A kept compressor is copied with its window, which takes longer than to
# compress a shorter answer.
MIN_KEPT_BYTES: Final = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class FollowRequest:
    """A node's question for changes.

    Attributes:
        after: revision after which changes are wanted; -1 for all items.
        wait_ms: how long to wait for a change.
        era: era of that revision; nodes of older builds name none.
    """

    after: int
    wait_ms: int = 0
    era: int = store_api.FIRST_ERA


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedChange:
    """A key that was written, or deleted if `value` is None."""

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class FollowAnswer:
    """Changes, or all items, up to a revision.

    Attributes:
        revision: the revision.
        changes: the changes or items.
        age_ms: how old this picture of the store may be, at the answer;
            negative if not known, as with nodes of older builds.
        waited_ms: time from the question to the answer.
        era: era of all revisions; nodes of older builds name none.
    """

    revision: int
    changes: tuple[RelayedChange, ...] = ()
    age_ms: int = -1
    waited_ms: int = 0
    era: int = store_api.FIRST_ERA

    @property
    def position(self) -> store_api.Position:
        """Return the position up to which it tells of changes."""
        return store_api.Position(self.era, self.revision)


def find_completeness(
    answer: FollowAnswer, sent: datetime.datetime
) -> datetime.datetime | None:
    """Return up to when an answer is certainly complete, if it tells.

    Args:
        answer: the answer of a watcher.
        sent: when the question was sent.
    """
    if answer.age_ms < 0:
        return None
    return sent + (answer.waited_ms - answer.age_ms) * MILLISECOND


def create_listing(answer: FollowAnswer, prefix: str) -> store_api.Listing:
    """Return the items of an answer whose key begins with `prefix`."""
    return store_api.Listing(
        tuple(
            store_api.Item(
                each.key,
                each.value,
                store_api.Position(answer.era, each.revision),
            )
            for each in answer.changes
            if each.value is not None and each.key.startswith(prefix)
        ),
        answer.position,
    )


def create_changes(answer: FollowAnswer) -> store_api.Changes:
    """Return the changes of an answer."""
    return store_api.Changes(
        tuple(
            store_api.Change(
                each.key,
                each.value,
                store_api.Position(answer.era, each.revision),
            )
            for each in answer.changes
        ),
        answer.position,
    )


def decode(data: bytes) -> FollowAnswer:
    """Return the answer in `data`.

    Raises:
        ValueError: it is too long, or malformed; see also `zlib.error` and
            `msgspec.MsgspecError`.
    """
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise ValueError("cut off or too long")
    return msgspec.msgpack.decode(content, type=FollowAnswer)


def encode(answer: FollowAnswer) -> bytes:
    """Return the bytes of an answer."""
    return zlib.compress(msgspec.msgpack.encode(answer), COMPRESSION_LEVEL)


class AnswerEncoder:
    """Encodes answers; several followers in turn mostly get the same changes.

    Attributes:
        begin: bytes of the last long answer up to its times, which differ.
        packed: what has come of these by compression.
        compressor: compressor in the state behind them.
    """

    def __init__(self) -> None:
        self.begin = self.packed = b""
        self.compressor = zlib.compressobj(COMPRESSION_LEVEL)

    def encode(self, answer: FollowAnswer) -> bytes:
        """Return the bytes of an answer, as `encode` does."""
        content = msgspec.msgpack.encode(answer)
        times = {
            "age_ms": answer.age_ms,
            "waited_ms": answer.waited_ms,
            "era": answer.era,
        }
        # Without the byte that begins a map.
        end = msgspec.msgpack.encode(times)[1:]
        if len(content) < MIN_KEPT_BYTES or not content.endswith(end):
            return zlib.compress(content, COMPRESSION_LEVEL)
        begin = content[: -len(end)]
        if begin != self.begin:
            self.compressor = zlib.compressobj(COMPRESSION_LEVEL)
            self.packed = self.compressor.compress(begin)
            self.begin = begin
        rest = self.compressor.copy()
        return self.packed + rest.compress(end) + rest.flush()
