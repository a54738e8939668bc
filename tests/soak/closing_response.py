"""Answers whose end only the end of their connection tells."""

import asyncio

from aiohttp import web


class ClosingResponse(web.StreamResponse):
    """An answer without a length, which ends with its connection.

    Attributes:
        has_body: whether a part of its body was sent.
        is_whole: whether its end was sent.
    """

    has_body: bool = False
    is_whole: bool = False
    _length_check = False

    def enable_chunked_encoding(self, chunk_size: int | None = None) -> None:
        """Let the end of the connection end the stream instead."""
        self.force_close()

    async def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send a part of the body."""
        self.has_body = True
        await super().write(data)

    async def write_eof(self, data: bytes = b"") -> None:
        """Send the end."""
        await super().write_eof(data)
        self.is_whole = True

    async def send(
        self, request: web.BaseRequest, body: bytes, parts: int, seconds: float
    ) -> None:
        """Send the whole answer in parts, with seconds before each."""
        self.force_close()
        await self.prepare(request)
        size = -(-len(body) // parts)
        for begin in range(0, len(body), size):
            await asyncio.sleep(seconds)
            await self.write(body[begin : begin + size])
        await self.write_eof()
