"""Interface of the platform's key-value store: items, changes, leases.

The HTTP client that implements it is `platform.metadata_store`.
"""

import dataclasses
import datetime
from typing import Protocol

from cicadahook.core import errors


class HistoryLostError(errors.KeyValueError):
    """The store no longer holds the changes after the requested revision."""


class LeaseEndedError(errors.KeyValueError):
    """The lease has expired or was never granted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key with its value.

    Attributes:
        key: name of the item.
        value: content.
        revision: revision of its last change.
    """

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A key that was written, or deleted if `value` is None."""

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All items below a prefix; changes after `revision` may be missing."""

    items: tuple[Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes below a prefix up to `revision`."""

    changes: tuple[Change, ...]
    revision: int


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
        expected: keys with the revision that each must have; 0 means that the
            key must not exist.
        puts: values to write.
        deletes: keys to delete.
    """

    expected: tuple[tuple[str, int], ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class Store(Protocol):
    """Client of the platform's store.

    Every call raises `errors.KeyValueUnavailableError` if no answer arrived; a
    write may then have taken effect or may still do so.
    """

    async def list_items(self, prefix: str) -> Listing:
        """Return all items whose key begins with `prefix`."""

    async def watch(
        self, prefix: str, revision: int, wait: datetime.timedelta
    ) -> Changes:
        """Return the changes after `revision`, waiting up to `wait` for one.

        Raises:
            HistoryLostError: changes are missing; list the items again.
        """

    async def write(self, change: Write) -> int:
        """Apply a change atomically; return its revision.

        Raises:
            errors.KeyValueConflictError: a key has not the expected revision.
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
