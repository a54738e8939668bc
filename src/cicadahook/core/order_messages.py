"""Messages to the order state machine, and the effects that it returns."""

import dataclasses
import datetime

from cicadahook.core import reconciliation
from cicadahook.core import upstream_record


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRead:
    """The record was read; it is None if the store has none."""

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
    """The reply was lost; the write may have taken effect or still may."""


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswered:
    """One copy of an order was answered or was not sent.

    Attributes:
        order_id: id of the order.
        attempt: id of the copy, as given in `SendOrder`.
        answer: outcome of the copy.
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
    """A planned load or unload that is to be ordered."""

    action: upstream_record.Action
    row: str
    version: str
    memory_bytes: int
    base: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic call to send what is due."""


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
    """Requests a read of the record."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Requests a write of the record if its revision is the expected one."""

    record: upstream_record.UpstreamRecord
    expected_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Requests to send one copy of an order, unless `not_after` has passed.

    Attributes:
        order: the order to send.
        attempt: id of this copy, which its answer must carry.
        not_after: latest time at which the copy may be sent.
    """

    order: upstream_record.Order
    attempt: str
    not_after: datetime.datetime


Effect = ReadRecord | WriteRecord | SendOrder
