"""Model of an engine's prefix cache: prompt parts that it probably holds."""

import collections
from collections.abc import Iterator
import dataclasses

from cicadahook.core import forwarding

PrefixKey = tuple[str, ...]


@dataclasses.dataclass
class PrefixCache:
    """Prompt parts sent to one engine, least recently used first.

    Attributes:
        capacity: tokens that the engine can keep.
        tokens: tokens of each part, by model, adapter and all ids up to it.
        total: sum of `tokens`.
    """

    capacity: int
    tokens: "collections.OrderedDict[PrefixKey, int]" = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    total: int = 0

    def count_kept(self, generation: forwarding.Generation) -> int:
        """Return the tokens of the prompt that need not be read again."""
        kept = 0
        for key, tokens in list_keys(generation):
            if key not in self.tokens:
                break
            kept += tokens
        return kept

    def record_read(self, generation: forwarding.Generation) -> None:
        """Record that the engine reads this prompt."""
        for key, tokens in list_keys(generation):
            self.total += tokens - self.tokens.pop(key, 0)
            self.tokens[key] = tokens
        while self.total > self.capacity and self.tokens:
            _, dropped = self.tokens.popitem(last=False)
            self.total -= dropped


def list_keys(
    generation: forwarding.Generation,
) -> Iterator[tuple[PrefixKey, int]]:
    """Yield key and tokens of each part of the prompt, in order."""
    key: PrefixKey = (generation.model, generation.adapter)
    for part in generation.parts:
        key = (*key, part.id)
        yield key, part.tokens
