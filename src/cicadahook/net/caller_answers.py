"""Sends answers to callers over HTTP."""

from collections.abc import Callable
import json

from aiohttp import web

from cicadahook.core import errors
from cicadahook.core import forwarding


class StreamAnswer(web.StreamResponse):
    """An answer whose head is sent together with the first part of its body.

    aiohttp would send it by itself, one more write for each stream.
    """

    _send_headers_immediately = False


class HttpSink:
    """Sends an answer on the connection of its request.

    Attributes:
        request: the request as the server read it.
        id_header: name of the header with the id of the request.
        response: the answer, once it has begun.
        is_closing: returns whether the connection closes after this answer;
            called when the answer begins.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        id_header: str,
        is_closing: Callable[[], bool],
    ) -> None:
        self.request = request
        self.id_header = id_header
        self.response: web.StreamResponse | None = None
        self.is_closing = is_closing

    @property
    def is_connected(self) -> bool:
        """Whether the caller's connection is still open."""
        return self.request.transport is not None

    async def answer(self, head: forwarding.AnswerHead, body: bytes) -> None:
        """Send a complete answer."""
        response = web.Response(status=head.status, body=body)
        await self._send(response, head.headers)

    async def refuse(self, refusal: errors.RefusalError) -> None:
        """Send a refusal; close the connection if a stream has begun."""
        if self.response is not None:
            self.abort()
            return
        body = json.dumps(
            {"error_message": refusal.reason, "code": refusal.code}
        )
        headers = [("Content-Type", "application/json")]
        if refusal.retry_after is not None:
            seconds = refusal.retry_after.total_seconds()
            headers.append(("Retry-After", f"{seconds:.3f}"))
        await self._send(
            web.Response(status=refusal.status, body=body.encode()),
            tuple(headers),
        )

    async def begin(self, head: forwarding.AnswerHead) -> None:
        """Start a stream of unknown length; its first part must follow."""
        response = StreamAnswer(status=head.status)
        response.enable_chunked_encoding()
        self._prepare(response, head.headers)
        await response.prepare(self.request)

    async def send(self, data: bytes) -> None:
        """Send a part of a stream."""
        assert self.response is not None, "stream not begun"
        await self.response.write(data)

    async def finish(self) -> None:
        """End a stream as complete."""
        assert self.response is not None, "stream not begun"
        await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection without the final chunk of the stream."""
        if self.request.transport is not None:
            self.request.transport.close()

    async def _send(
        self, response: web.Response, headers: forwarding.Headers
    ) -> None:
        self._prepare(response, headers)
        await response.prepare(self.request)
        await response.write_eof()

    def _prepare(
        self, response: web.StreamResponse, headers: forwarding.Headers
    ) -> None:
        self.response = response
        for name, value in headers:
            if name.lower() == "content-type":
                response.headers[name] = value
            else:
                response.headers.add(name, value)
        request_id = self.request.headers.get(self.id_header)
        if request_id and self.id_header not in response.headers:
            response.headers[self.id_header] = request_id
        if self.is_closing():
            response.force_close()
