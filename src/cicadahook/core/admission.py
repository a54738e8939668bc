"""Messages between the attempts of requests and what admits them."""

import dataclasses
import datetime
import enum

from cicadahook.core import view


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Leave to make one attempt at an upstream.

    Attributes:
        number: unique in this entry.
        row: name of the row that the request is for.
        upstream: where the attempt goes.
        granted: when it was given.
    """

    number: int
    row: str
    upstream: view.Upstream
    granted: datetime.datetime


class AttemptEnd(enum.StrEnum):
    """How an attempt ended."""

    SERVED = "served"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """What an attempt showed of its upstream.

    Attributes:
        end: how it ended.
        first_token: time from the grant to the first token, if one came.
        tokens: tokens received.
    """

    end: AttemptEnd
    first_token: datetime.timedelta | None = None
    tokens: int = 0
