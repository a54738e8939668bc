"""Sealed datagrams between controls.

A sealed datagram has a MAC by a key that all controls share, its recipient,
and a sequence number and time against replay. It is not encrypted.
"""

from collections.abc import Iterator
import dataclasses
import datetime
import enum
import hashlib
import hmac
import itertools
from typing import Final

import capnp

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import replay_guard
from cicadahook.net import codec
from cicadahook.net import metrics

MAC_BYTES: Final = 32
PART_BYTES: Final = 1100
MAX_PARTS: Final = 64
MICROSECOND: Final = datetime.timedelta(microseconds=1)
UNIX_EPOCH: Final = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


class BodyKind(enum.StrEnum):
    """Type of the body of an envelope."""

    MESSAGE = "message"
    LOAD = "load"
    REQUEST = "request"
    ANSWER = "answer"


class SealError(errors.CicadaError):
    """A datagram is rejected; the first argument is the reason."""


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A body, or a part of one, with its sender.

    Attributes:
        sender: `host:port` of the control that sent it.
        kind: type of the body.
        number: identifies a body among those of its sender.
        part: index of this part.
        parts: number of parts of the body.
        body: bytes of this part.
    """

    sender: str
    kind: BodyKind
    number: int
    part: int
    parts: int
    body: bytes


class Sealer:
    """Seals and opens the datagrams of one control.

    Attributes:
        address: `host:port` of this control.
        session: start of this process in microseconds of Unix time.
        guard: rejects datagrams that are repeated or too old.
    """

    def __init__(self, key: str, address: str, clock: clock_lib.Clock) -> None:
        self.key = key.encode()
        self.address = address
        self.clock = clock
        self.session = int((clock.now() - UNIX_EPOCH) / MICROSECOND)
        self.sequences = itertools.count(1)
        self.numbers = itertools.count(1)
        self.guard = replay_guard.ReplayGuard()
        self.struct = codec.load_schema("gossip").Envelope

    def seal(
        self,
        kind: BodyKind,
        recipient: str,
        body: bytes,
        part_bytes: int = PART_BYTES,
    ) -> Iterator[bytes]:
        """Yield the datagrams that carry `body`."""
        parts = max(1, -(-len(body) // part_bytes))
        number = next(self.numbers)
        for part in range(parts):
            envelope = self.struct.new_message(
                sender=self.address,
                recipient=recipient,
                session=self.session,
                sequence=next(self.sequences),
                sentMicros=int((self.clock.now() - UNIX_EPOCH) / MICROSECOND),
                kind=kind.value,
                part=part,
                parts=parts,
                number=number,
                body=body[part * part_bytes : (part + 1) * part_bytes],
            )
            data: bytes = envelope.to_bytes_packed()
            yield self._compute_mac(data) + data

    def open(self, data: bytes) -> Envelope:
        """Verify a datagram and return its envelope.

        Raises:
            SealError: it is not from a member, not for this one, malformed,
                too old, or was received before. Rejections are counted.
        """
        try:
            return self._open(data)
        except SealError as error:
            count_drop(str(error))
            raise

    def _open(self, data: bytes) -> Envelope:
        mac, content = data[:MAC_BYTES], data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._compute_mac(content)):
            raise SealError("bad_mac")
        try:
            fields = self.struct.from_bytes_packed(content).to_dict()
            envelope = Envelope(
                fields["sender"],
                BodyKind(fields["kind"]),
                fields["number"],
                fields["part"],
                fields["parts"],
                fields["body"],
            )
        except (capnp.KjException, ValueError) as error:
            raise SealError("malformed") from error
        if not envelope.part < envelope.parts <= MAX_PARTS:
            raise SealError("malformed")
        if fields["recipient"] != self.address:
            raise SealError("misdirected")
        freshness = self.guard.classify(
            envelope.sender,
            fields["session"],
            fields["sequence"],
            UNIX_EPOCH + fields["sentMicros"] * MICROSECOND,
            self.clock.now(),
        )
        if freshness is not replay_guard.Freshness.FRESH:
            raise SealError(freshness.value)
        return envelope

    def _compute_mac(self, content: bytes) -> bytes:
        return hmac.digest(self.key, content, hashlib.sha256)


class Assembler:
    """Joins the parts of bodies; keeps one partial body per sender and kind."""

    def __init__(self) -> None:
        self.partial_bodies: dict[tuple[str, BodyKind], dict[int, Envelope]] = (
            {}
        )

    def add(self, envelope: Envelope) -> bytes | None:
        """Add a part; return the whole body once it is complete."""
        if envelope.parts == 1:
            return envelope.body
        key = (envelope.sender, envelope.kind)
        parts = self.partial_bodies.get(key, {})
        newest = max((part.number for part in parts.values()), default=0)
        if envelope.number < newest:
            return None
        if envelope.number > newest:
            parts = self.partial_bodies[key] = {}
        parts[envelope.part] = envelope
        if len(parts) < envelope.parts:
            return None
        del self.partial_bodies[key]
        return b"".join(parts[index].body for index in sorted(parts))


def count_drop(reason: str) -> None:
    """Count a datagram or peer call that was dropped."""
    counter = metrics.create_counter(
        "cicada_gossip_drops", "Messages from peers dropped, by reason."
    )
    counter.add(1, {"reason": reason})
