"""Messages to and effects of the order machine."""

import dataclasses
import datetime

from cicadahook.core import reconciliation
from cicadahook.core import upstream_record


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRead:
    """The stored record, None if there is none, and its revision."""

    record: upstream_record.UpstreamRecord | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """The record could not be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteWon:
    """The compare-and-swap took effect."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteConflict:
    """The compare-and-swap found another revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteUnknown:
    """The reply was lost; the write may have taken effect, or yet may."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswered:
    """One copy of an order was answered, or never left.

    Attributes:
        order_id: the order.
        attempt: the copy, as `SendOrder` named it.
        answer: what became of it.
    """

    order_id: str
    attempt: str
    answer: reconciliation.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class OrderTimedOut:
    """A copy of an order was not answered in time; it may still arrive."""

    order_id: str
    attempt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Intend:
    """A planned step."""

    action: upstream_record.Action
    row: str
    version: str
    memory_bytes: int
    base: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Message = (
    RecordRead
    | ReadFailed
    | WriteWon
    | WriteConflict
    | WriteUnknown
    | OrderAnswered
    | OrderTimedOut
    | reconciliation.StateReport
    | Intend
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecord:
    """Asks to read the record."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Asks to write the record if its revision is still the expected one."""

    record: upstream_record.UpstreamRecord
    expected_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Asks to send one copy of an order, unless `not_after` has passed.

    Attributes:
        order: what to send.
        attempt: names this copy; its answer must carry it.
        not_after: when it is too late to send it.
    """

    order: upstream_record.Order
    attempt: str
    not_after: datetime.datetime


Effect = ReadRecord | WriteRecord | SendOrder
