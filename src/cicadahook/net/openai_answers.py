"""Sends answers to callers, streamed or complete, in the OpenAI format."""

from collections.abc import AsyncGenerator
import contextlib
import dataclasses
import json
from typing import Any, Final

from aiohttp import web

from cicadahook.core import answer_assembly
from cicadahook.core import errors
from cicadahook.core import request as request_lib
from cicadahook.net import http_server
from cicadahook.net import request_parsing

END_EVENT: Final = b"data: [DONE]\n\n"


@dataclasses.dataclass(frozen=True)
class AnswerFormat:
    """Format of an answer: a chat or a text completion."""

    is_chat: bool

    @property
    def whole_object(self) -> str:
        """The `object` field of a complete answer."""
        return "chat.completion" if self.is_chat else "text_completion"

    def read_chunk(self, chunk: dict[str, Any]) -> answer_assembly.Chunk:
        """Return the parsed chunk of an upstream's answer.

        Raises:
            ValueError: it is not a chunk of this format.
        """
        try:
            choice = chunk["choices"][0]
            content = (
                choice["delta"].get("content")
                if self.is_chat
                else choice.get("text")
            )
            return answer_assembly.Chunk(
                str(chunk.get("id")),
                str(content or ""),
                choice.get("position"),
                choice.get("finish_reason") is not None,
            )
        except (KeyError, IndexError, TypeError, AttributeError) as error:
            raise ValueError(f"not a chunk: {error!r}") from error

    def join(
        self, request: request_lib.Request, parts: list[str]
    ) -> dict[str, Any]:
        """Return the complete answer joined from the texts in `parts`."""
        content = "".join(parts)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
        if self.is_chat:
            choice["message"] = {"role": "assistant", "content": content}
        else:
            choice["text"] = content
        return {
            "id": request.id,
            "object": self.whole_object,
            "created": int(request.arrived.timestamp()),
            "model": request.row,
            "choices": [choice],
            "usage": {
                "prompt_tokens": len(request.prefix.split()),
                "completion_tokens": len(parts),
                "total_tokens": len(request.prefix.split()) + len(parts),
            },
        }


async def send_whole(
    request: request_lib.Request,
    answer_format: AnswerFormat,
    chunks: AsyncGenerator[dict[str, Any], None],
) -> web.Response:
    """Collect all chunks and send them as one answer."""
    async with contextlib.aclosing(chunks):
        texts = [answer_format.read_chunk(chunk).text async for chunk in chunks]
    parts = [text for text in texts if text]
    return web.json_response(
        answer_format.join(request, parts),
        headers={request_parsing.REQUEST_HEADER: request.id},
    )


async def send_stream(
    http: web.Request,
    request: request_lib.Request,
    chunks: AsyncGenerator[dict[str, Any], None],
    limit: contextlib.AbstractAsyncContextManager[None],
) -> web.StreamResponse:
    """Relay chunks as they arrive; an error after the first is an event.

    Args:
        http: the caller's request.
        request: the validated request.
        chunks: the answer.
        limit: ends the stream with a refusal at its time limit.
    """
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            request_parsing.REQUEST_HEADER: request.id,
        }
    )
    try:
        async with limit, contextlib.aclosing(chunks):
            async for chunk in chunks:
                if not response.prepared:
                    await response.prepare(http)
                await response.write(encode_event({**chunk, "id": request.id}))
    except errors.RefusalError as refusal:
        if not response.prepared:
            raise
        await response.write(encode_event(http_server.error_body(refusal)))
    else:
        await response.write(END_EVENT)
    await response.write_eof()
    return response


def encode_event(chunk: dict[str, Any]) -> bytes:
    """Return `chunk` as one server-sent event."""
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"
