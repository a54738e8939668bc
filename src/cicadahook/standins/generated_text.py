"""Text that the stand-in engines generate, a fixed function of the input.

Callers compute the same text from model and prompt, so they can check that an
answer is whole and belongs to their prompt.
"""

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
    """Return the messages of a chat as one prompt."""
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
    """Return the whole answer of `count` tokens to `prompt`."""
    return "".join(generate_tokens(model, prompt, count))
