"""Decides which origins of streams the store must name.

Designed for the loss of all nodes at once while several software versions of a
service run: only the store still tells then which version began a stream. One
node writes the new origins of all nodes in batches, so the rate of writes
depends neither on the traffic nor on the number of nodes. Nothing is written
while the record of versions names the only one of a service.

A stream that no batch names is of unknown origin: it may have begun shortly
before the loss.
"""

from collections.abc import Collection, Iterable
import dataclasses
import datetime
import struct
from typing import Final

import msgspec

from cicadahook.core import stream_origins

KEY_PREFIX: Final = "cicada/origins/"
# A node that has written nothing for this time is replaced by the next one. A
# write is known to all nodes earlier, also in large fleets.
TAKEOVER_DELAY: Final = datetime.timedelta(seconds=2.5)
# Streams in one write, which takes some 45 KB in the store.
MAX_STREAMS: Final = 4000
HASH_BYTES: Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class OriginBatch:
    """Streams that one version began, as the store names them.

    Attributes:
        service: name of the service.
        software: version of its software.
        hashes: hashes of the ids of the callers' attempts that brought the
            first events, 8 bytes each, big-endian.
    """

    service: str
    software: str
    hashes: bytes

    def list_hashes(self) -> tuple[int, ...]:
        """Return the hashes as numbers."""
        return struct.unpack(f">{len(self.hashes) // HASH_BYTES}Q", self.hashes)


def pack_hashes(hashes: Collection[int]) -> bytes:
    """Return hashes as a batch holds them."""
    return struct.pack(f">{len(hashes)}Q", *hashes)


def decode_batches(value: bytes) -> tuple[OriginBatch, ...]:
    """Return the batches in a value of the store.

    Raises:
        ValueError: it is malformed.
    """
    try:
        batches = msgspec.json.decode(value, type=tuple[OriginBatch, ...])
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(str(error)) from error
    if any(len(batch.hashes) % HASH_BYTES for batch in batches):
        raise ValueError("a part of a hash")
    return batches


def encode_batches(batches: tuple[OriginBatch, ...]) -> bytes:
    """Return the value of batches in the store."""
    return msgspec.json.encode(batches)


class OriginRecords:
    """Plans the writes of one node.

    Attributes:
        origins: the streams that this node knows.
        needed_since: since when the store must name the origins of a service.
    """

    def __init__(self, origins: stream_origins.StreamOrigins) -> None:
        self.origins = origins
        self.needed_since: dict[str, datetime.datetime] = {}

    def apply(
        self, batches: Iterable[OriginBatch], now: datetime.datetime
    ) -> None:
        """Add what the store holds."""
        for batch in batches:
            self.origins.merge_stored(
                batch.service, batch.software, batch.list_hashes(), now
            )

    def restart(self) -> None:
        """Prepare for a listing, which may lack what was stored before."""
        self.origins.forget_stored()
        self.needed_since.clear()

    def plan(
        self, needed: Collection[str], rank: int, now: datetime.datetime
    ) -> tuple[OriginBatch, ...]:
        """Return the origins that this node should write now, if any.

        Args:
            needed: services whose streams may be of several versions.
            rank: number of nodes that write before this one.
            now: the time.
        """
        self.needed_since = {
            service: self.needed_since.get(service, now) for service in needed
        }
        latest = now - rank * TAKEOVER_DELAY
        hashes: dict[tuple[str, str], list[int]] = {}
        room = MAX_STREAMS
        for service, since in self.needed_since.items():
            if since > latest:
                continue
            # The newest streams are the most likely to be running.
            for hashed in reversed(self.origins.unstored.get(service, {})):
                origin = self.origins.origins[(service, hashed)]
                if origin.recorded > latest:
                    continue
                if not room:
                    break
                room -= 1
                key = (service, origin.software)
                hashes.setdefault(key, []).append(hashed)
        return tuple(
            OriginBatch(service, software, pack_hashes(group))
            for (service, software), group in hashes.items()
        )
