"""Prefix affinity: the upstreams that probably cache a prompt's prefix."""

import collections
import datetime
import math
from typing import Final

from cicadahook.core import hashing

PREFIX_CHARACTERS: Final = 64
MEMORY_PREFIXES: Final = 4096
AFFINITY_DECAY_SECONDS: Final = 120.0
HOME_AFFINITY: Final = 0.3


class PrefixMemory:
    """Remembers to which upstreams prefixes were sent, in bounded memory.

    The caches of the engines can't be observed at once, so an upstream counts
    as probable holder of a prefix for a while after the prefix was sent there.
    A prefix that was sent nowhere has a home by rendezvous hashing, the same on
    every entry.
    """

    def __init__(self) -> None:
        self.sent: collections.OrderedDict[int, datetime.datetime] = (
            collections.OrderedDict()
        )

    def record(
        self, row: str, prefix: str, upstream: str, now: datetime.datetime
    ) -> None:
        """Record that `prefix` was sent to `upstream`."""
        if not prefix:
            return
        place = _hash(row, prefix, upstream)
        self.sent[place] = now
        self.sent.move_to_end(place)
        if len(self.sent) > MEMORY_PREFIXES:
            self.sent.popitem(last=False)

    def rate(
        self,
        row: str,
        prefix: str,
        upstreams: tuple[str, ...],
        now: datetime.datetime,
    ) -> tuple[float, ...]:
        """Return the chance, 0 to 1, that each upstream holds `prefix`."""
        if not prefix:
            return (0.0,) * len(upstreams)
        places = [_hash(row, prefix, upstream) for upstream in upstreams]
        home = max(places, default=0)
        return tuple(
            max(self._fade(place, now), HOME_AFFINITY * (place == home))
            for place in places
        )

    def _fade(self, place: int, now: datetime.datetime) -> float:
        at = self.sent.get(place)
        if at is None:
            return 0.0
        return math.exp(-(now - at).total_seconds() / AFFINITY_DECAY_SECONDS)


def _hash(row: str, prefix: str, upstream: str) -> int:
    text = f"{row}\n{upstream}\n{prefix[:PREFIX_CHARACTERS]}"
    return hashing.hash64(text)
