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
        changes: the newest changes in the order of their revisions.
        begins: revision after which all changes are known.
        revision: revision up to which all changes are known; 0 before the
            first listing.
    """

    def __init__(self) -> None:
        self.items: dict[str, store_api.Item] = {}
        self.changes: collections.deque[store_api.Change] = collections.deque()
        self.begins = 0
        self.revision = 0

    def apply_listing(self, listing: store_api.Listing) -> None:
        """Replace everything by a listing."""
        self.items = {item.key: item for item in listing.items}
        self.changes.clear()
        self.begins = self.revision = listing.revision

    def apply_changes(self, changes: store_api.Changes) -> None:
        """Add changes that follow what is known."""
        for change in changes.changes:
            self.changes.append(change)
            if change.value is None:
                self.items.pop(change.key, None)
            else:
                self.items[change.key] = store_api.Item(
                    change.key, change.value, change.revision
                )
        self.revision = max(self.revision, changes.revision)
        while len(self.changes) > MAX_CHANGES:
            self.begins = self.changes.popleft().revision

    def create_listing(self) -> store_api.Listing:
        """Return all items."""
        return store_api.Listing(tuple(self.items.values()), self.revision)

    def list_after(self, revision: int) -> store_api.Changes:
        """Return the changes after a revision, up to the one that is known.

        Raises:
            store_api.HistoryLostError: some of them are not known any more.
        """
        if revision < self.begins:
            raise store_api.HistoryLostError(
                f"changes are known after {self.begins}, not {revision}"
            )
        later = tuple(
            change for change in self.changes if change.revision > revision
        )
        return store_api.Changes(later, self.revision)
