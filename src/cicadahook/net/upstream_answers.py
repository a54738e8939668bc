"""Answers of upstreams as they are read, and what failed calls show."""

from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
import contextlib
import dataclasses
import datetime
import errno
from typing import Final

import aiohttp

from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.net import answer_protocol

MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
# Answers that state no length may have no end.
MAX_UNSTATED_BYTES: Final = 1024 * 1024
MAX_UNSTATED_BYTES_IN_ALL: Final = 64 * 1024 * 1024
UNANSWERED: Final = frozenset(
    {errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH}
)
RESET: Final = frozenset({errno.ECONNRESET, errno.EPIPE})

LinkListener = Callable[[inventory.Instance, forwarding.LinkEvent], None]


@dataclasses.dataclass
class UpstreamAnswer:
    """An answer whose head has been received.

    Attributes:
        head: status and headers.
        response: the response from which the body is read.
        buffer: bytes of all plain answers that are being read.
        watch_link: passes on what an error shows of the link.
        check_end: checks that a body which ended with its connection is whole,
            given when that was.
    """

    head: forwarding.AnswerHead
    response: aiohttp.ClientResponse
    buffer: "AnswerBuffer"
    watch_link: Callable[[], contextlib.AbstractContextManager[None]]
    check_end: Callable[[datetime.datetime], Awaitable[None]]

    async def read(self) -> bytes:
        """Return the complete body.

        Raises:
            forwarding.AttemptError: the body is not complete, or too long.
        """
        is_stated = self.response.content_length is not None
        limit = MAX_ANSWER_BYTES if is_stated else MAX_UNSTATED_BYTES
        chunks: list[bytes] = []
        size = 0
        try:
            with translate_errors(), self.watch_link():
                async for chunk in self._iterate():
                    chunks.append(chunk)
                    size += len(chunk)
                    self.buffer.size += len(chunk)
                    is_full = self.buffer.size > MAX_UNSTATED_BYTES_IN_ALL
                    if size > limit or (is_full and not is_stated):
                        raise forwarding.AttemptError(
                            forwarding.FailureKind.MALFORMED,
                            f"an answer of over {size} bytes",
                        )
        finally:
            self.buffer.size -= size
        return b"".join(chunks)

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            forwarding.AttemptError: the body is not complete.
        """
        with translate_errors(), self.watch_link():
            async for chunk in self._iterate():
                yield chunk

    async def _iterate(self) -> AsyncIterator[bytes]:
        async for chunk in self.response.content.iter_any():
            yield chunk
        ended = answer_protocol.check_end(self.response)
        if ended is not None:
            await self.check_end(ended)


@dataclasses.dataclass
class AnswerBuffer:
    """The bytes of all plain answers that are being read."""

    size: int = 0


def describe_link_error(error: Exception) -> forwarding.LinkEvent | None:
    """Return what a failed call shows of the link; None if nothing."""
    is_unanswered = isinstance(error, OSError) and error.errno in UNANSWERED
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return forwarding.LinkEvent.SILENT
    if isinstance(error, aiohttp.ClientConnectorError):
        if is_unanswered:
            return forwarding.LinkEvent.SILENT
        return forwarding.LinkEvent.REFUSED
    is_reset = isinstance(error, OSError) and error.errno in RESET
    has_ended_early = isinstance(error, aiohttp.ClientPayloadError)
    if is_unanswered or is_reset or has_ended_early:
        return forwarding.LinkEvent.BROKEN
    return None


@dataclasses.dataclass
class LinkWatch:
    """Passes on what calls show of the links to their upstreams.

    Attributes:
        listener: called with the upstream of each call and what it shows.
    """

    listener: LinkListener = lambda instance, event: None

    @contextlib.contextmanager
    def watch(self, instance: inventory.Instance) -> Iterator[None]:
        """Pass on what a part of a call shows of the link to its upstream."""
        try:
            yield
        except (aiohttp.ClientError, OSError) as error:
            event = describe_link_error(error)
            if event is not None:
                self.listener(instance, event)
            raise
        self.listener(instance, forwarding.LinkEvent.HEARD)


@contextlib.contextmanager
def translate_errors() -> Iterator[None]:
    """Raise the errors of aiohttp as `forwarding.AttemptError`."""
    kinds = forwarding.FailureKind
    try:
        yield
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise forwarding.AttemptError(kinds.UNREACHABLE, repr(error)) from error
    except aiohttp.ClientPayloadError as error:
        raise forwarding.AttemptError(kinds.CUT, repr(error)) from error
    except aiohttp.ClientResponseError as error:
        raise forwarding.AttemptError(kinds.MALFORMED, repr(error)) from error
    except (aiohttp.ClientError, ConnectionError) as error:
        raise forwarding.AttemptError(kinds.CUT, repr(error)) from error
