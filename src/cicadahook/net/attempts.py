"""Attempts: one call to one upstream, and its streamed answer."""

from collections.abc import AsyncIterator
import dataclasses
import datetime
import json
from typing import Any, Final

import aiohttp

from cicadahook.core import errors
from cicadahook.core import view
from cicadahook.net import headers

EVENT_PREFIX: Final = b"data: "
END_MARKER: Final = b"[DONE]"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One call to one upstream.

    Attributes:
        id: unique; the upstream repeats it in its answer.
        upstream: where it goes.
        path: path on the upstream.
        body: JSON object to send.
        timeout: time left until the deadline.
    """

    id: str
    upstream: view.Upstream
    path: str
    body: dict[str, Any]
    timeout: datetime.timedelta


class BrokenAnswerError(errors.UpstreamError):
    """The answer was cut, crossed with another one, or malformed."""


@dataclasses.dataclass
class UpstreamCaller:
    """Makes attempts over HTTP."""

    session: aiohttp.ClientSession

    async def stream(self, attempt: Attempt) -> AsyncIterator[dict[str, Any]]:
        """Yield the chunks of the answer; return only after its end marker.

        Raises:
            errors.UpstreamError: the answer is not whole.
        """
        body = {**attempt.body, "stream": True}
        timeout = aiohttp.ClientTimeout(total=attempt.timeout.total_seconds())
        try:
            async with self.session.post(
                f"http://{attempt.upstream.address}{attempt.path}",
                json=body,
                headers={headers.ATTEMPT_HEADER: attempt.id},
                timeout=timeout,
            ) as response:
                if response.status != 200:
                    raise errors.UpstreamError(
                        f"{attempt.upstream.address}: status {response.status}"
                    )
                async for chunk in _read_chunks(response, attempt):
                    yield chunk
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.UpstreamError(
                f"{attempt.upstream.address}: {error!r}"
            ) from error


async def _read_chunks(
    response: aiohttp.ClientResponse, attempt: Attempt
) -> AsyncIterator[dict[str, Any]]:
    """Yield chunks that carry the attempt's id, up to the end marker."""
    async for line in response.content:
        if not line.startswith(EVENT_PREFIX):
            continue
        event = line.removeprefix(EVENT_PREFIX).strip()
        if event == END_MARKER:
            return
        chunk = json.loads(event)
        if chunk.get("id") != attempt.id:
            raise BrokenAnswerError(
                f"{attempt.upstream.address}: answer of another attempt"
            )
        yield chunk
    raise BrokenAnswerError(f"{attempt.upstream.address}: answer was cut")
