"""Sends one attempt of a request to one upstream and reads its stream.

The relay of an entry decides on the attempts; this module makes them over HTTP
and detects upstreams that stop sending.
"""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import datetime
import json
from typing import Any, Final

import aiohttp

from cicadahook.core import errors
from cicadahook.core import retry
from cicadahook.core import view
from cicadahook.net import request_parsing
from cicadahook.net import upstream_connections

EVENT_PREFIX: Final = b"data: "
END_MARKER: Final = b"[DONE]"
CONNECT_TIMEOUT: Final = datetime.timedelta(seconds=1)
LEAVING_STATUS: Final = 503
LEAVING_STATE: Final = b"leaving"
# What is read of a refusal; the rest is not needed.
MAX_ERROR_BYTES: Final = 65_536
MAX_SILENT_WAITS: Final = 4
NOT_SENT_ERRORS: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
TRANSIENT_STATUSES: Final = frozenset({404, 408, 409, 425, 429})


@dataclasses.dataclass(frozen=True)
class ProgressMode:
    """Time limits within a stream.

    Attributes:
        first_token: limit for the first token.
        token_gap: limit for each further token.
    """

    first_token: datetime.timedelta = datetime.timedelta(seconds=3)
    token_gap: datetime.timedelta = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One call to one upstream.

    Attributes:
        id: unique id, which the upstream repeats in its answer.
        upstream: the upstream to call.
        path: path on the upstream.
        body: JSON object to send.
        timeout: time left until the deadline.
        timeout_factor: factor on the time limits within the stream.
    """

    id: str
    upstream: view.Upstream
    path: str
    body: dict[str, Any]
    timeout: datetime.timedelta
    timeout_factor: float = 1.0


class AttemptError(errors.UpstreamError):
    """An attempt failed.

    Attributes:
        reason: why it failed.
    """

    def __init__(self, reason: retry.Reason, detail: str) -> None:
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason


class DeadlineError(errors.UpstreamError):
    """The request's deadline passed during an attempt."""


class UpstreamCaller:
    """Makes attempts over HTTP."""

    def __init__(
        self,
        connections: upstream_connections.UpstreamConnections,
        mode: ProgressMode,
    ) -> None:
        self.connections = connections
        self.mode = mode

    async def stream(self, attempt: Attempt) -> AsyncIterator[dict[str, Any]]:
        """Yield the chunks of the answer; return only after its end marker.

        Closing the iterator closes the connection, which makes the upstream
        cancel the request.

        Raises:
            AttemptError: the answer is incomplete.
            DeadlineError: the deadline has passed.
            errors.RefusalError: the upstream refused the request permanently.
        """
        address = attempt.upstream.address
        try:
            async with self.connections.use(address) as pool:
                call = _Call(attempt, pool, self.mode)
                async for chunk in call.read():
                    yield chunk
        except NOT_SENT_ERRORS as error:
            raise AttemptError(
                retry.Reason.UNREACHABLE, f"{address}: {error!r}"
            ) from error
        except aiohttp.ClientError as error:
            raise AttemptError(
                retry.Reason.CUT, f"{address}: {error!r}"
            ) from error


class _Call:
    """An attempt in progress.

    Attributes:
        deadline_seconds: the deadline on the event loop's clock.
        silence_limit: time without data after which the connection is checked.
        silent_waits: checks since the last data on this connection.
    """

    def __init__(
        self,
        attempt: Attempt,
        pool: upstream_connections.Pool,
        mode: ProgressMode,
    ) -> None:
        self.attempt = attempt
        self.pool = pool
        self.mode = mode
        self.loop = asyncio.get_running_loop()
        self.deadline_seconds = (
            self.loop.time() + attempt.timeout.total_seconds()
        )
        self.silence_limit = mode.first_token * attempt.timeout_factor
        self.silent_waits = 0

    async def read(self) -> AsyncIterator[dict[str, Any]]:
        """Yield the chunks of the stream.

        Raises:
            AttemptError: the stream broke or fell silent.
            DeadlineError: the deadline has passed.
        """
        async with await self._open() as response:
            await _check_status(response, self.attempt)
            while True:
                line = await self._read_line(response)
                if not line:
                    raise AttemptError(
                        retry.Reason.CUT,
                        "the stream ended without its end marker",
                    )
                if not line.startswith(EVENT_PREFIX):
                    continue
                event = line.removeprefix(EVENT_PREFIX).strip()
                if event == END_MARKER:
                    return
                self.silence_limit = (
                    self.mode.token_gap * self.attempt.timeout_factor
                )
                yield _parse(event)

    async def _open(self) -> aiohttp.ClientResponse:
        """Send the request; return the response once its headers arrive."""
        task = asyncio.ensure_future(self._send())
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=self._get_next_wait())
                if not task.done():
                    self._check_silence()
            response = task.result()
        finally:
            task.cancel()
        self._record_byte()
        return response

    async def _send(self) -> aiohttp.ClientResponse:
        attempt = self.attempt
        return await self.pool.session.post(
            f"http://{attempt.upstream.address}{attempt.path}",
            json={**attempt.body, "stream": True},
            headers={request_parsing.ATTEMPT_HEADER: attempt.id},
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT.total_seconds()
            ),
            allow_redirects=False,
        )

    async def _read_line(self, response: aiohttp.ClientResponse) -> bytes:
        while True:
            try:
                async with asyncio.timeout(self._get_next_wait()):
                    line = await response.content.readline()
            except TimeoutError:
                self._check_silence()
                continue
            self._record_byte()
            return line

    def _record_byte(self) -> None:
        self.silent_waits = 0
        self.pool.last_byte_seconds = self.loop.time()

    def _get_next_wait(self) -> float:
        """Return the time until the next check for silence, in seconds."""
        left = self.deadline_seconds - self.loop.time()
        return max(0.0, min(left, self.silence_limit.total_seconds()))

    def _check_silence(self) -> None:
        """Raise if the connection has been silent for too long.

        While other connections to the upstream still receive data, the upstream
        is probably slow rather than disconnected, so this one may be silent for
        several limits.

        Raises:
            AttemptError: no data arrived in time.
            DeadlineError: the deadline has passed.
        """
        now = self.loop.time()
        if now >= self.deadline_seconds:
            raise DeadlineError("deadline passed")
        self.silent_waits += 1
        quiet = now - self.pool.last_byte_seconds
        is_all_quiet = quiet >= self.silence_limit.total_seconds()
        if is_all_quiet or self.silent_waits >= MAX_SILENT_WAITS:
            raise AttemptError(
                retry.Reason.SILENT,
                f"no data was received for {self.silence_limit}",
            )


async def _check_status(
    response: aiohttp.ClientResponse, attempt: Attempt
) -> None:
    """Check that the upstream accepted the attempt.

    Raises:
        AttemptError: another attempt may succeed.
        errors.RefusalError: the upstream refused the request permanently.
    """
    if response.status == 200:
        return
    body = b""
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) >= MAX_ERROR_BYTES:
            break
    if response.status < 500 and response.status not in TRANSIENT_STATUSES:
        raise errors.RefusalError(
            "upstream_refused",
            f"the upstream answered: {body.decode(errors='replace')}",
            response.status,
            errors.Outcome.UNKNOWN,
        )
    reason = retry.Reason.REFUSED
    # The refusal names no attempt, so an earlier one must not come before it.
    is_first = getattr(response, "number", 1) == 1
    is_leaving = response.status == LEAVING_STATUS and LEAVING_STATE in body
    if is_leaving and is_first:
        reason = retry.Reason.LEAVING
    raise AttemptError(
        reason, f"{attempt.upstream.address}: status {response.status}"
    )


def _parse(event: bytes) -> dict[str, Any]:
    """Return the JSON object of an event.

    Raises:
        AttemptError: it is not a chunk, or reports an error.
    """
    try:
        chunk = json.loads(event)
    except ValueError as error:
        raise AttemptError(retry.Reason.CUT, "chunk is not JSON") from error
    if not isinstance(chunk, dict) or "error" in chunk:
        raise AttemptError(retry.Reason.REFUSED, f"error event {event!r}")
    return chunk
