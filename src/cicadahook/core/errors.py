"""Exception classes of all errors that cicadahook raises deliberately."""

import dataclasses
import datetime
import enum


class Outcome(enum.StrEnum):
    """What is known about whether a request was executed by an upstream."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class CicadaError(Exception):
    """Base of all errors raised by cicadahook."""


class SettingsError(CicadaError):
    """A flag or environment variable has a value that is not allowed."""


@dataclasses.dataclass
class RowError(CicadaError):
    """A row of the table is refused.

    Attributes:
        row: name of the row.
        field: column at fault.
        reason: what is wrong and what is allowed.
    """

    row: str
    field: str
    reason: str

    def __str__(self) -> str:
        return f"row {self.row!r}, field {self.field!r}: {self.reason}"


@dataclasses.dataclass
class EditConflictError(CicadaError):
    """Another operator changed the same row first.

    Attributes:
        row: name of the row.
        theirs: the current row, as JSON; empty if it was removed.
        yours: the refused row, as JSON; empty if it was to be removed.
    """

    row: str
    theirs: str
    yours: str

    def __str__(self) -> str:
        return (
            f"row {self.row!r} was changed meanwhile:"
            f" now {self.theirs or 'removed'}, yours {self.yours or 'removed'}"
        )


@dataclasses.dataclass
class RefusalError(CicadaError):
    """A request gets an error answer.

    Attributes:
        code: stable code for programs, such as `unknown_model`.
        reason: explanation for people.
        status: HTTP status code.
        outcome: whether the request was executed.
        retry_after: time after which the caller may retry; None if it should
            not.
    """

    code: str
    reason: str
    status: int
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: datetime.timedelta | None = None

    def __str__(self) -> str:
        return f"{self.code}: {self.reason} ({self.outcome})"


class KeyValueError(CicadaError):
    """A call to the key-value service failed."""


class KeyValueUnavailableError(KeyValueError):
    """The service did not answer; a write may or may not have taken effect."""


class KeyValueNotSentError(KeyValueUnavailableError):
    """The call was held back by the budget or breaker and had no effect."""


class KeyValueRejectedError(KeyValueUnavailableError):
    """The service answered that it does not serve the call now."""


class KeyValueConflictError(KeyValueError):
    """A compare-and-swap found another revision than the expected one."""


class UpstreamError(CicadaError):
    """A call to an upstream failed."""
