"""Remembers which upstreams have said in an answer that they leave.

An incarnation that leaves does so for good: neither a listing that says
otherwise nor an older answer takes it back.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import random
from typing import Final

# Statements in one status message; the others follow in later messages.
MAX_STATEMENTS: Final = 64


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingStatement:
    """An incarnation of an upstream that leaves, as nodes tell each other."""

    instance: str
    born: int


class LeavingUpstreams:
    """The incarnations that have said that they leave.

    Attributes:
        born: start of the incarnation that leaves, by instance id.
    """

    def __init__(self) -> None:
        self.born: dict[str, int] = {}

    def record(self, instance: str, born: int) -> bool:
        """Record that an incarnation leaves; return whether that is new."""
        if self.born.get(instance) == born:
            return False
        self.born[instance] = born
        return True

    def is_leaving(self, instance: str, born: int) -> bool:
        """Whether an incarnation has said that it leaves."""
        return self.born.get(instance) == born

    def update_registered(self, registered: Mapping[str, int]) -> None:
        """Forget the incarnations that have ended."""
        self.born = {
            name: born
            for name, born in self.born.items()
            if registered.get(name) == born
        }

    def merge(
        self,
        statements: Iterable[LeavingStatement],
        registered: Mapping[str, int],
    ) -> frozenset[str]:
        """Record what another node tells; return the ids that are new."""
        return frozenset(
            told.instance
            for told in statements
            if registered.get(told.instance) == told.born
            and self.record(told.instance, told.born)
        )

    def list_statements(
        self, generator: random.Random
    ) -> tuple[LeavingStatement, ...]:
        """Return statements to be sent to other nodes, drawn if too many."""
        names = list(self.born)
        if len(names) > MAX_STATEMENTS:
            names = generator.sample(names, MAX_STATEMENTS)
        return tuple(LeavingStatement(name, self.born[name]) for name in names)
