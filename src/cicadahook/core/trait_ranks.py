"""Ranks traits of requests by how well they explain crashes of upstreams.

Prompts may have thousands of parts, all of which count as traits. So each rank
is computed once for all traits of a request.
"""

import collections
from collections.abc import Collection, Iterable, Mapping
import functools

from cicadahook.core import crash_records

# Whether there was no sound answer, the number of crashes, and how few sound
# answers there were: greater ranks explain crashes better.
Rank = tuple[bool, int, int]


class TraitRanks:
    """The ranks of traits at one moment.

    Attributes:
        records: crashes of each trait.
        traits_by_death: traits that have not been cleared of a crash.
        repeated: traits that may be suspects; the others have no rank.
        sound: number of sound answers with each trait.
    """

    def __init__(
        self,
        records: Mapping[str, crash_records.SuspectRecord],
        traits_by_death: Mapping[str, set[str]],
        repeated: Collection[str],
        sound: Mapping[str, int],
    ) -> None:
        self.records = records
        self.traits_by_death = traits_by_death
        self.repeated = repeated
        self.sound = sound
        self.get = functools.cache(self._get)
        self.get_best = functools.cache(self._get_best)

    def _get(self, trait: str) -> Rank:
        """Return the rank of one of the `repeated` traits."""
        count = len(self.records[trait].moments)
        sound = self.sound.get(trait, 0)
        return (not sound, count, -sound)

    def _get_best(self, death: str) -> Rank:
        """Return the best rank of the traits that may explain a crash."""
        return max(
            self.get(trait)
            for trait in self.traits_by_death[death]
            if trait in self.repeated
        )

    def explains_best(self, trait: str) -> bool:
        """Whether no other trait explains some crash of a trait better."""
        return any(
            self.get_best(death) <= self.get(trait)
            for death in self.records[trait].open_deaths
        )

    def find_told_apart(
        self, suspects: Iterable[str], traits: Collection[str]
    ) -> set[str]:
        """Return the suspects that a trial would tell from others.

        Those are the ones whose crashes another trait explains as well that is
        not part of the request.

        Args:
            suspects: suspects among the traits of the request.
            traits: all traits of the request.
        """
        groups: dict[tuple[tuple[str, ...], Rank], list[str]] = (
            collections.defaultdict(list)
        )
        for trait in suspects:
            deaths = self.records[trait].open_deaths
            groups[(deaths, self.get(trait))].append(trait)
        told_apart: set[str] = set()
        for (deaths, rank), group in groups.items():
            alternatives = set.intersection(
                *(self.traits_by_death[death] for death in deaths)
            )
            if any(
                self.get(other) == rank
                for other in alternatives.difference(traits)
                if other in self.repeated
            ):
                told_apart.update(group)
        return told_apart
