"""Items, changes and leases of the platform's store, and its interface."""

import dataclasses
import datetime
from typing import Protocol

from cicadahook.core import errors


class HistoryLostError(errors.KeyValueError):
    """The store no longer has the changes after the revision asked for."""


class LeaseEndedError(errors.KeyValueError):
    """The store knows no such lease."""


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key with its value.

    Attributes:
        key: its name.
        value: its bytes.
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
    """What changed below a prefix up to `revision`."""

    changes: tuple[Change, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A value to write; the key ends with `lease`, unless that is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Several changes that take effect together or not at all.

    Attributes:
        expected: revision that each of these keys must have; 0: none.
        puts: values to write.
        deletes: keys to delete.
    """

    expected: tuple[tuple[str, int], ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


class Store(Protocol):
    """The platform's store.

    Every call raises `errors.KeyValueUnavailableError` if no answer came; a
    write may then have taken effect, or may still do so.
    """

    async def list_items(self, prefix: str) -> Listing:
        """Return all items whose key begins with `prefix`."""

    async def watch(
        self, prefix: str, revision: int, wait: datetime.timedelta
    ) -> Changes:
        """Return what changed after `revision`, waiting up to `wait`.

        Raises:
            HistoryLostError: the items must be listed again.
        """

    async def write(self, change: Write) -> int:
        """Make a change; return its revision.

        Raises:
            errors.KeyValueConflictError: a key has another revision.
            LeaseEndedError: the lease has ended.
        """

    async def grant_lease(self, length: datetime.timedelta) -> int:
        """Return the id of a new lease."""

    async def renew_lease(self, lease: int) -> None:
        """Let a lease run for its full length again.

        Raises:
            LeaseEndedError: it has ended.
        """

    async def end_lease(self, lease: int) -> None:
        """End a lease, which deletes its keys."""
