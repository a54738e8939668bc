"""The stand-in engines' answers: a fixed function of model and prompt."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

from cicadahook.core import hashing

WORDS: Final = (
    "beam",
    "upright",
    "bay",
    "aisle",
    "rack",
    "load",
    "notice",
    "letter",
    "form",
    "reply",
    "office",
    "rule",
    "court",
    "street",
    "paper",
    "desk",
)
DEFAULT_TOKENS: Final = 16


def join_prompt(messages: Sequence[Mapping[str, Any]]) -> str:
    """Return the prompt of a chat as one text."""
    return "\n".join(
        f"{message.get('role')}: {message.get('content')}"
        for message in messages
    )


def generate_tokens(model: str, prompt: str, count: int) -> Iterator[str]:
    """Yield the `count` tokens that answer `prompt`, each ending in a space."""
    seed = hashing.hash64(f"{model}\n{prompt}")
    for position in range(count):
        digest = hashing.hash64(str(position), seed)
        yield f"{WORDS[digest % len(WORDS)]}{digest % 997} "


def whole_answer(model: str, prompt: str, count: int = DEFAULT_TOKENS) -> str:
    """Return the whole answer to `prompt`."""
    return "".join(generate_tokens(model, prompt, count))
