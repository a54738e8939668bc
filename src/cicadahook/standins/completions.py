"""What a caller asks a stand-in engine to generate, and its JSON answers."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionRequest:
    """What a caller asked to generate."""

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
    """Return the JSON form of one streamed token, or of the end."""
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
    """Return the JSON form of a whole answer."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if request.is_chat:
        choice["message"] = {"role": "assistant", "content": content}
    else:
        choice["text"] = content
    return _wrap_choice(request, choice, "")


def _wrap_choice(
    request: CompletionRequest, choice: dict[str, Any], suffix: str
) -> dict[str, Any]:
    """Return the envelope that all answers share."""
    kind = "chat.completion" if request.is_chat else "text_completion"
    return {
        "id": request.attempt_id,
        "object": f"{kind}{suffix}",
        "created": 0,
        "model": request.model,
        "choices": [choice],
    }
