"""Interface of the platform's key-value store: items, changes, leases.

The store may return from an older copy of itself. What was written since is
lost, and revisions are assigned again; a higher era tells of that. So a
revision means something only together with its era: both are one `Position`.

The HTTP client that implements it is `platform.metadata_store`.
"""

import dataclasses
import datetime
from typing import Final, Protocol

from cicadahook.core import errors
from cicadahook.core import store_contact
from cicadahook.core import store_eras

# Era of a store that names none, and of one that never lost a write.
FIRST_ERA: Final = 1


class HistoryLostError(errors.KeyValueError):
    """The store no longer holds the changes after the requested revision."""


class LeaseEndedError(errors.KeyValueError):
    """The lease has expired or was never granted."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A point in the history of the store.

    Positions are ordered by era first: whatever a later era holds is newer.

    Attributes:
        era: number of times that the store returned from an older copy, counted
            from `FIRST_ERA`.
        revision: number of changes up to this point, as that era counts them.
    """

    era: int
    revision: int

    def __str__(self) -> str:
        """Return both numbers, for logs."""
        return f"{self.era}/{self.revision}"


# Precedes all positions of a store.
ORIGIN: Final = Position(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key with its value.

    Attributes:
        key: name of the item.
        value: content.
        position: where it was read, at the revision of its last change. The
            change itself may have been made in an earlier era.
    """

    key: str
    value: bytes
    position: Position


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A key that was written, or deleted if `value` is None."""

    key: str
    value: bytes | None
    position: Position


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All items below a prefix; changes after `position` may be missing."""

    items: tuple[Item, ...]
    position: Position


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes below a prefix up to `position`."""

    changes: tuple[Change, ...]
    position: Position


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A value to write.

    The key is deleted when `lease` ends; 0 means that it has no lease.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Several changes that take effect atomically.

    Attributes:
        expected: keys with the position that each must have; None means that
            the key must not exist.
        puts: values to write.
        deletes: keys to delete.
    """

    expected: tuple[tuple[str, Position | None], ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()

    def check_era(self, era: int) -> None:
        """Reject a change that expects positions of an earlier era.

        The same revision is another change there.

        Raises:
            errors.KeyValueConflictError: it does.
        """
        for key, position in self.expected:
            if position is not None and position.era != era:
                raise errors.KeyValueConflictError(
                    f"{key} was read at {position}, before era {era}"
                )


class Store(Protocol):
    """Client of the platform's store.

    Every call raises `errors.KeyValueUnavailableError` if no answer arrived, or
    one of an earlier era than is known; a write may then have taken effect or
    may still do so.

    Attributes:
        eras: the era of the store.
        contact: whether the store answers this node.
    """

    eras: store_eras.EraTracker
    contact: store_contact.StoreContact

    async def list_items(
        self, prefix: str, *, is_fresh: bool = False
    ) -> Listing:
        """Return all items whose key begins with `prefix`.

        Args:
            prefix: beginning of the keys.
            is_fresh: whether to use a new connection, as kept ones may be dead.
        """

    async def watch(
        self,
        prefix: str,
        position: Position,
        wait: datetime.timedelta,
        *,
        is_fresh: bool = False,
    ) -> Changes:
        """Return the changes after `position`, waiting up to `wait` for one.

        Args:
            prefix: beginning of the keys.
            position: where the changes begin.
            wait: how long to wait.
            is_fresh: whether to use a new connection, as kept ones may be dead.

        Raises:
            HistoryLostError: changes are missing, or the store is in another
                era; list the items again.
        """

    async def write(self, change: Write) -> Position:
        """Apply a change atomically; return its position.

        The era of the position may be newer than those of the expected ones.

        Raises:
            errors.KeyValueConflictError: a key has not the expected position.
            LeaseEndedError: the lease has ended.
        """

    async def grant_lease(self, length: datetime.timedelta) -> int:
        """Return the id of a new lease that expires after `length`."""

    async def renew_lease(self, lease: int) -> None:
        """Extend a lease to its full length.

        Raises:
            LeaseEndedError: the lease has ended.
        """

    async def end_lease(self, lease: int) -> None:
        """End a lease, which deletes its keys."""
