"""What a connection of a client has received and not answered yet."""

import dataclasses
import datetime
from typing import Final

from aiohttp import streams

from cicadahook.core import errors
from cicadahook.core import held_bytes

RETRY_AFTER: Final = datetime.timedelta(seconds=1)


class ClientLimitError(errors.RefusalError):
    """A client met a limit of its connection; this is counted already."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of the connections of one port.

    Attributes:
        head_bytes: bytes of the names and values of a request's fields.
        times: how long a connection may wait for its client.
    """

    head_bytes: int
    times: held_bytes.TimeLimits


@dataclasses.dataclass(slots=True)
class Head:
    """What has come of a request head that is not complete.

    Attributes:
        size: its bytes, with empty lines before it.
        cost: bytes held for it.
        since: when its first byte came; None before.
        may_upgrade: whether it may ask for another protocol.
    """

    size: int = 0
    cost: int = 0
    since: float | None = None
    may_upgrade: bool = False


@dataclasses.dataclass(slots=True)
class Body:
    """The body of the newest request.

    Attributes:
        stream: where the parser puts it; None before the first request.
        size: its bytes that have been recorded.
        unproductive: bytes that have come since it last grew.
        is_chunked: whether it comes in chunks.
        upgrade_left: bytes to its end, if its request asks for an upgrade.
    """

    stream: streams.StreamReader | None = None
    size: int = 0
    unproductive: int = 0
    is_chunked: bool = False
    upgrade_left: int = 0

    @property
    def is_open(self) -> bool:
        """Whether a part of it has not come yet."""
        return self.stream is not None and not self.stream.is_eof()

    def count_bytes(self) -> int:
        """Return how many bytes of it have come."""
        return self.stream.total_bytes if self.stream is not None else 0


@dataclasses.dataclass(slots=True)
class UnreadAnswer:
    """What a client has not read yet.

    Attributes:
        size: least bytes that were unread.
        since: when there were last more.
    """

    size: int
    since: float

    def record(self, size: int, now: float) -> None:
        """Record how much is unread now."""
        if size < self.size:
            self.size = size
            self.since = now


def create_refusal(reason: held_bytes.Reason) -> errors.RefusalError:
    """Return the refusal of a request that has not come completely."""
    if reason is held_bytes.Reason.HEAD_LATE:
        return ClientLimitError("headers_late", "headers", 408)
    if reason is held_bytes.Reason.BODY_STALLED:
        return ClientLimitError("body_late", "body", 408)
    return ClientLimitError(
        "client_limit",
        "too much is held for clients",
        503,
        retry_after=RETRY_AFTER,
    )
