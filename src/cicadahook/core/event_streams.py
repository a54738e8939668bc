"""Splits the bytes of server-sent event streams into events."""

from collections.abc import Iterator
import dataclasses
import re
from typing import Final

from cicadahook.core import forwarding

SEPARATOR: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
# The first line may begin with a byte order mark.
ID_LINE: Final = re.compile(rb"(?:^(?:\xef\xbb\xbf)?|[\r\n])id: ?([^\r\n]*)")
MAX_EVENT_BYTES: Final = 1_048_576


class OversizedEventError(ValueError):
    """An event is longer than `MAX_EVENT_BYTES`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event with its separator; `id` is empty if it has none."""

    data: bytes
    id: str


@dataclasses.dataclass
class EventSplitter:
    """Collects the bytes of a stream until an event is complete.

    Attributes:
        pending: bytes after the last whole event.
    """

    pending: bytes = b""

    def feed(self, data: bytes) -> Iterator[Event]:
        """Yield the events that `data` completes.

        Raises:
            OversizedEventError: an event grows beyond the limit.
        """
        self.pending += data
        start = 0
        for match in SEPARATOR.finditer(self.pending):
            event = self.pending[start : match.end()]
            start = match.end()
            yield Event(event, find_id(event))
        self.pending = self.pending[start:]
        if len(self.pending) > MAX_EVENT_BYTES:
            raise OversizedEventError(f"event of over {MAX_EVENT_BYTES} bytes")


def find_id(event: bytes) -> str:
    """Return the id of an event, or an empty text."""
    match = ID_LINE.search(event)
    return match.group(1).decode("latin-1") if match else ""


def split_answer(splitter: EventSplitter, chunk: bytes) -> list[Event]:
    """Return the events that a part of an upstream's answer completes.

    Raises:
        forwarding.AttemptError: an event is too long.
    """
    try:
        return list(splitter.feed(chunk))
    except OversizedEventError as error:
        raise forwarding.AttemptError(
            forwarding.FailureKind.MALFORMED, str(error)
        ) from error
