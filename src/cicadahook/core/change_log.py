"""The store's items as a node knows them, and the changes that led there."""

import collections
from typing import Final

from cicadahook.core import store_api

# Changes of some minutes in a fleet of hundreds of upstreams.
MAX_CHANGES: Final = 4096


class ChangeLog:
    """Newest items of the store, and changes for others to follow.

    Attributes:
        items: the items by key.
        changes: the newest changes in the order of their positions.
        begins: position after which all changes are known.
        position: position up to which all changes are known.
    """

    def __init__(self) -> None:
        self.items: dict[str, store_api.Item] = {}
        self.changes: collections.deque[store_api.Change] = collections.deque()
        self.begins = store_api.ORIGIN
        self.position = store_api.ORIGIN

    def apply_listing(self, listing: store_api.Listing) -> None:
        """Replace everything by a listing."""
        self.items = {item.key: item for item in listing.items}
        self.changes.clear()
        self.begins = self.position = listing.position

    def apply_changes(self, changes: store_api.Changes) -> None:
        """Add changes that follow what is known."""
        for change in changes.changes:
            self.changes.append(change)
            if change.value is None:
                self.items.pop(change.key, None)
            else:
                self.items[change.key] = store_api.Item(
                    change.key, change.value, change.position
                )
        self.position = max(self.position, changes.position)
        while len(self.changes) > MAX_CHANGES:
            self.begins = self.changes.popleft().position

    def create_listing(self) -> store_api.Listing:
        """Return all items."""
        return store_api.Listing(tuple(self.items.values()), self.position)

    def list_after(self, position: store_api.Position) -> store_api.Changes:
        """Return the changes after a position, up to the one that is known.

        Values that have been replaced are left out, as they may be large and
        many nodes ask. Deletions remain.

        Raises:
            store_api.HistoryLostError: some of them are not known any more.
        """
        if position < self.begins:
            raise store_api.HistoryLostError(
                f"changes are known after {self.begins}, not {position}"
            )
        later: list[store_api.Change] = []
        replaced: set[str] = set()
        for change in reversed(self.changes):
            if change.position <= position:
                continue
            if change.value is None or change.key not in replaced:
                later.append(change)
            replaced.add(change.key)
        return store_api.Changes(tuple(reversed(later)), self.position)
