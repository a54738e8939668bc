"""Decides which events may follow in a stream.

The answers of several upstreams may be joined into one stream, and an upstream
may send bytes that belong to another answer. Only the ids of the events tell
whether the next one is the one that is due. Upstreams number their events one
by one; where the first two ids show another numbering, ids only have to grow,
and no other answer is joined, since nothing tells what would be missing.
"""

import dataclasses
import enum
import re
from typing import Final

from cicadahook.core import event_streams

# A longer number is none of a stream.
MAX_ID_DIGITS: Final = 18
# Answers that must tell that nothing follows an event at which a stream broke
# off. A single one may come from an upstream that lost its run.
NEEDED_EMPTY_ANSWERS: Final = 2
NUMBER: Final = re.compile(rf"[0-9]{{1,{MAX_ID_DIGITS}}}")
LINE_END: Final = re.compile(rb"\r\n|\n|\r")
FIELD: Final = re.compile(rb"([A-Za-z0-9_-]+)(?::|$)")
# Without others, these make no event that clients get.
SILENT_FIELDS: Final = frozenset({b"event", b"retry"})
BYTE_ORDER_MARK: Final = b"\xef\xbb\xbf"
# Nearly all events look so; they need not be split into lines.
USUAL_EVENT: Final = re.compile(rb"id:[^\r\n]*\ndata:[^\r\n]*\n\n")
USUAL_FIELDS: Final = (b"id", b"data")


class SequenceError(ValueError):
    """An event, or the end of an answer, is not what comes next."""


class Numbering(enum.Enum):
    """How the events of a stream are numbered, as far as is known."""

    UNKNOWN = enum.auto()
    CONSECUTIVE = enum.auto()
    GROWING = enum.auto()  # with gaps, so what is due is not known
    NONE = enum.auto()  # without ids, or with ids that are no numbers


@dataclasses.dataclass
class EventSequence:
    """The events of one stream over all answers that are joined in it.

    Attributes:
        last_id: id of the last event; empty if there is none with an id.
        last: its number; None if there is none.
        numbering: how the events are numbered.
        is_joining: whether the next event is the first one of an answer that
            is joined to earlier ones.
        is_cut_short: whether an event had begun when the last answer broke off.
        empty_answers: joined answers that ended without an event.
        count: events so far, without those that clients don't get.
    """

    last_id: str = ""
    last: int | None = None
    numbering: Numbering = Numbering.UNKNOWN
    is_joining: bool = False
    is_cut_short: bool = False
    empty_answers: int = 0
    count: int = 0

    @classmethod
    def create_after(cls, last_event_id: str) -> "EventSequence":
        """Return the sequence of a stream that goes on after an event.

        Args:
            last_event_id: id of that event; empty for the start of a stream.
        """
        if not last_event_id:
            return cls()
        if not NUMBER.fullmatch(last_event_id):
            return cls(last_event_id, numbering=Numbering.NONE)
        return cls(last_event_id, int(last_event_id), is_joining=True)

    @property
    def can_join(self) -> bool:
        """Whether another answer may go on after the last event."""
        return self.numbering not in (Numbering.GROWING, Numbering.NONE)

    def break_off(self, pending: bytes) -> None:
        """Record that an answer broke off after the start of an event."""
        self.is_cut_short = self.is_cut_short or bool(pending.strip())
        self.is_joining = self.last is not None

    def accept(self, event: event_streams.Event) -> None:
        """Record the next event.

        Raises:
            SequenceError: it is not the next one, or no event.
        """
        names = list_fields(event)
        if names != USUAL_FIELDS:
            if set(names) <= SILENT_FIELDS:
                return
            if not {b"data", b"id"} & set(names) or names.count(b"id") > 1:
                raise SequenceError(f"fields {names[:4]!r} are no event")
        if not NUMBER.fullmatch(event.id):
            if self.last is not None or self.is_joining:
                raise SequenceError(f"id {event.id!r} after {self.last}")
            self.numbering = Numbering.NONE
            self.last_id = event.id or self.last_id
            self.count += 1
            return
        self._accept_number(int(event.id))
        self.last_id = event.id
        self.is_joining = self.is_cut_short = False
        self.empty_answers = 0
        self.count += 1

    def _accept_number(self, number: int) -> None:
        last, self.last = self.last, number
        if last is None:
            return
        is_next = number == last + 1
        is_due = is_next
        if not self.is_joining and self.numbering is not Numbering.CONSECUTIVE:
            is_due = number > last
        if not is_due:
            self.last = last
            raise SequenceError(f"event {number} after {last}")
        if self.numbering is Numbering.UNKNOWN:
            self.numbering = (
                Numbering.CONSECUTIVE if is_next else Numbering.GROWING
            )

    def check_end(self) -> None:
        """Check that an answer may end here.

        Raises:
            SequenceError: an event that had begun has not come, or only one
                answer tells that nothing follows the last event.
        """
        if self.is_cut_short:
            raise SequenceError(f"ends at {self.last}, within an event before")
        if self.is_joining:
            self.empty_answers += 1
            if self.empty_answers < NEEDED_EMPTY_ANSWERS:
                raise SequenceError(f"ends at {self.last}, without an event")


def list_fields(event: event_streams.Event) -> tuple[bytes, ...]:
    """Return the names of the fields of an event, without comments.

    Raises:
        SequenceError: a line is no field.
    """
    if USUAL_EVENT.fullmatch(event.data):
        return USUAL_FIELDS
    names = []
    for line in LINE_END.split(event.data.removeprefix(BYTE_ORDER_MARK)):
        if not line or line.startswith(b":"):
            continue
        match = FIELD.match(line)
        if match is None:
            raise SequenceError(f"no field: {line[:40]!r}")
        names.append(match.group(1))
    return tuple(names)
