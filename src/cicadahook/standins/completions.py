"""What a caller asks a stand-in engine to generate, and its JSON answers."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionRequest:
    """What a caller asked to generate."""

    model: str
    prompt: str
    tokens: int
    resume_from: int
    priority: int
    attempt: str
    is_chat: bool
    is_stream: bool


def describe_chunk(
    wanted: CompletionRequest, token: str | None, position: int
) -> dict[str, Any]:
    """Return the JSON form of one streamed token, or of the end."""
    choice: dict[str, Any] = {
        "index": 0,
        "position": position,
        "finish_reason": "stop" if token is None else None,
    }
    if wanted.is_chat:
        choice["delta"] = {} if token is None else {"content": token}
    else:
        choice["text"] = token or ""
    return _describe(wanted, choice, ".chunk" if wanted.is_chat else "")


def describe_answer(wanted: CompletionRequest, content: str) -> dict[str, Any]:
    """Return the JSON form of a whole answer."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if wanted.is_chat:
        choice["message"] = {"role": "assistant", "content": content}
    else:
        choice["text"] = content
    return _describe(wanted, choice, "")


def _describe(
    wanted: CompletionRequest, choice: dict[str, Any], suffix: str
) -> dict[str, Any]:
    """Return the envelope that all answers share."""
    kind = "chat.completion" if wanted.is_chat else "text_completion"
    return {
        "id": wanted.attempt,
        "object": f"{kind}{suffix}",
        "created": 0,
        "model": wanted.model,
        "choices": [choice],
    }
