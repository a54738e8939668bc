"""Tracks the era of the store: which one a node believes, and who named it."""

from collections.abc import Callable
import dataclasses
import datetime
from typing import Final

from cicadahook.core import store_contact

# Source of an era that an answer of the store has named.
STORE: Final = "store"


@dataclasses.dataclass(frozen=True, slots=True)
class EraChange:
    """A change of the era that a node believes.

    Attributes:
        era: the new era; lower than the previous one if the store denies that.
        previous: the era before; 0 if none was known.
        source: `STORE`, or the name of the node that named the new era.
    """

    era: int
    previous: int
    source: str

    @property
    def is_denial(self) -> bool:
        """Whether the store denies an era that another node named."""
        return self.era < self.previous


class EraTracker:
    """The era of the store that a node believes.

    The store names it in each answer, and each node calls the store more than
    once a second. So another node is believed only while the store does not
    answer this one, or has not answered yet, and only until it does.

    Attributes:
        contact: whether the store answers this node.
        current: the era; 0 before the first answer of the store.
        source: `STORE`, or the name of the node that named it.
        since: when that was.
        confirmed: newest era that the store itself has named; 0 before.
        claims: later eras of other nodes that are not believed, by name.
        listeners: called with each change.
    """

    def __init__(self, contact: store_contact.StoreContact) -> None:
        self.contact = contact
        self.current = 0
        self.source = STORE
        self.since = contact.clock.now()
        self.confirmed = 0
        self.claims: dict[str, int] = {}
        self.listeners: list[Callable[[EraChange], None]] = []

    def observe(self, era: int, sent: datetime.datetime) -> bool:
        """Record the era that an answer of the store names.

        An answer to a call that was sent before a later era became known may
        be late, and denies nothing.

        Args:
            era: the era.
            sent: when the call was sent.

        Returns:
            Whether the answer is of the era that is believed now.
        """
        is_denial = self.confirmed <= era < self.current and sent > self.since
        if is_denial or era > self.current:
            self._enter(era, STORE)
        if era == self.current:
            self.source = STORE
            self.confirmed = era
        return era == self.current

    def hear(self, era: int, node: str) -> bool:
        """Record the era that another node names.

        Args:
            era: the era.
            node: name of the node.

        Returns:
            Whether it is not believed, which is told once for each claim.
        """
        if era <= self.current:
            self.claims.pop(node, None)
            return False
        if self.contact.is_lost() or not self.current:
            self._enter(era, node)
            return False
        is_new = self.claims.get(node) != era
        self.claims[node] = era
        return is_new

    def describe(self) -> str:
        """Return the era that is believed and its source, for messages."""
        return f"believed: {self.current} by {self.source}, {self.since}"

    def _enter(self, era: int, source: str) -> None:
        change = EraChange(era, self.current, source)
        self.current, self.source = era, source
        self.since = self.contact.clock.now()
        for listener in self.listeners:
            listener(change)
