"""Messages between the requests of an entry and its admitter."""

import dataclasses
import datetime
import enum
from typing import Final

from cicadahook.core import errors
from cicadahook.core import request as request_lib
from cicadahook.core import routing as routing_lib
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib

QUEUE_LIMIT: Final = 256


@dataclasses.dataclass(frozen=True)
class AdmissionMode:
    """Settings of admission.

    Attributes:
        routing: how upstreams are chosen.
        entry: name of this entry's VM.
        queue_limit: requests that may wait at this entry at once.
    """

    routing: routing_lib.RoutingMode = routing_lib.RoutingMode()
    entry: str = ""
    queue_limit: int = QUEUE_LIMIT


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Permission to make one attempt at an upstream.

    Attributes:
        number: unique in this entry.
        row: name of the row that the request is for.
        upstream: the upstream of the attempt.
        granted: time of the grant.
    """

    number: int
    row: str
    upstream: view_lib.Upstream
    granted: datetime.datetime


class AttemptEnd(enum.StrEnum):
    """How an attempt ended."""

    SERVED = "served"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """Outcome of an attempt, from which the predictions are learned.

    Attributes:
        end: how it ended.
        first_token: time from the grant to the first token, if one came.
        tokens: tokens received.
        per_token: mean time for a token, if measured; otherwise the time from
            the grant to the end is divided by `tokens`.
    """

    end: AttemptEnd
    first_token: datetime.timedelta | None = None
    tokens: int = 0
    per_token: datetime.timedelta | None = None


class RefusalCode(enum.StrEnum):
    """Why a request is refused by admission; it was not run."""

    NO_COPY = "no_copy"
    TOO_LATE = "too_late"
    OVERLOADED = "overloaded"
    ROW_RATE = "row_rate"


STATUS_BY_CODE: Final = {
    RefusalCode.NO_COPY: 503,
    RefusalCode.TOO_LATE: 503,
    RefusalCode.OVERLOADED: 503,
    RefusalCode.ROW_RATE: 429,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A request asks for the grant of an attempt.

    Attributes:
        ticket: unique in this entry; identifies this message in decisions.
        request: the caller's request.
        row: its row in the table in force.
        excluded: addresses of upstreams that it must not go to.
        is_retry: whether the request was admitted before.
    """

    ticket: int
    request: request_lib.Request
    row: table_lib.Row
    excluded: frozenset[str] = frozenset()
    is_retry: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """The caller of a waiting request has disconnected."""

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The attempt of a grant ended."""

    number: int
    result: AttemptResult


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """A new view is in force."""

    view: view_lib.View


@dataclasses.dataclass(frozen=True, slots=True)
class Woken:
    """The time that `Admitter.wake_at` returned has been reached."""


Message = Arrived | Left | Ended | ViewChanged | Woken


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A request may make an attempt."""

    ticket: int
    grant: Grant


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A request is refused; it was not run.

    Attributes:
        ticket: identifies the request.
        code: why.
        reason: explanation for people.
        retry_after: time after which the caller may retry.
    """

    ticket: int
    code: RefusalCode
    reason: str
    retry_after: datetime.timedelta

    def create_error(self) -> errors.RefusalError:
        """Return the error to raise."""
        return errors.RefusalError(
            self.code.value,
            self.reason,
            STATUS_BY_CODE[self.code],
            errors.Outcome.NOT_RUN,
            self.retry_after,
        )


Decision = Granted | Refused
