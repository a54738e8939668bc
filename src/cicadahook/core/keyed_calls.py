"""Calls with an idempotency key, their records, claims and ledger decisions."""

import dataclasses
import datetime
import enum
from typing import ClassVar

from cicadahook.core import errors
from cicadahook.core import idempotency_keys


class State(enum.StrEnum):
    """State of a call with an idempotency key."""

    CLAIMING = "claiming"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A plain service's answer; `body` is None if it was too large to keep."""

    status: int
    content_type: str
    body: bytes | None
    __pydantic_config__: ClassVar[dict[str, str]] = {
        "ser_json_bytes": "base64",
        "val_json_bytes": "base64",
    }


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A non-idempotent call with its key.

    Attributes:
        key: idempotency key.
        fingerprint: hash of its content.
    """

    key: str
    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """An entry's record of one key.

    Attributes:
        key: idempotency key.
        fingerprint: hash of the call's content.
        state: state of the call.
        answer: the recorded answer, once there is one.
        token: identifies the claim of a claimed key; otherwise empty.
    """

    key: str
    fingerprint: str
    state: State
    answer: Answer | None = None
    token: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The value of a claimed key in the key-value service.

    Attributes:
        claimant: the process that alone may run the call.
        record: the call's record; RUNNING until its end is known.
    """

    claimant: idempotency_keys.Owner
    record: Record


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Effect: run the call now, once, and record how it ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Effect: wait for the running call of the same key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """Effect: answer as recorded."""

    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Effect: forward the call to its owner or a successor of its records."""

    owner: idempotency_keys.Owner


@dataclasses.dataclass(frozen=True, slots=True)
class MakeClaim:
    """Effect: write the claim if the key's revision is `expected`."""

    claim: Claim
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Effect: answer with an error."""

    error: errors.RefusalError


@dataclasses.dataclass(frozen=True, slots=True)
class SaveClaim:
    """Effect: write the final form of this entry's claim, with retries."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class DropClaim:
    """Effect: remove this entry's claim, as its call never ran."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """All records of one process that has stopped running calls.

    Attributes:
        owner: the process.
        forgotten_before: records of keys issued before this may be dropped; a
            later key that is not in `records` never ran.
        records: its records, none of them running.
        is_complete: whether all its records have come with this part.
    """

    owner: idempotency_keys.Owner
    forgotten_before: datetime.datetime
    records: tuple[Record, ...]
    is_complete: bool = True


Decision = Run | Join | Replay | Forward | MakeClaim | Refuse
ClaimUpdate = SaveClaim | DropClaim
