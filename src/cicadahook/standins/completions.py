"""Completion requests to a stand-in engine and the JSON of its answers."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A chat or text completion that a caller requested.

    Attributes:
        model: row of the model or adapter.
        prompt: the prompt, of a chat as one text.
        token_count: number of tokens in the whole answer.
        resume_from: number of tokens to skip, which an earlier attempt has
            sent.
        priority: requests of a lower number start first.
        attempt_id: id of the attempt, returned as the id of the answer.
        is_chat: whether this is a chat and not a text completion.
        is_stream: whether the answer is streamed.
    """

    model: str
    prompt: str
    token_count: int
    resume_from: int
    priority: int
    attempt_id: str
    is_chat: bool
    is_stream: bool


def describe_chunk(
    request: CompletionRequest, token: str | None, position: int
) -> dict[str, Any]:
    """Return the JSON form of one event of a stream.

    Args:
        request: request that is answered.
        token: token of the event; None for the end of the stream.
        position: position of the token in the whole answer, from 0.
    """
    choice: dict[str, Any] = {
        "index": 0,
        "position": position,
        "finish_reason": "stop" if token is None else None,
    }
    if request.is_chat:
        choice["delta"] = {} if token is None else {"content": token}
    else:
        choice["text"] = token or ""
    return _wrap_choice(request, choice, ".chunk" if request.is_chat else "")


def describe_answer(request: CompletionRequest, content: str) -> dict[str, Any]:
    """Return the JSON form of an answer that is not streamed."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if request.is_chat:
        choice["message"] = {"role": "assistant", "content": content}
    else:
        choice["text"] = content
    return _wrap_choice(request, choice, "")


def _wrap_choice(
    request: CompletionRequest, choice: dict[str, Any], suffix: str
) -> dict[str, Any]:
    """Return `choice` in the JSON object that all answers share."""
    kind = "chat.completion" if request.is_chat else "text_completion"
    return {
        "id": request.attempt_id,
        "object": f"{kind}{suffix}",
        "created": 0,
        "model": request.model,
        "choices": [choice],
    }
