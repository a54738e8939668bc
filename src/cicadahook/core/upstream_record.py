"""Records of the memory that each upstream uses and has reserved.

A record lists the resident copies and the unresolved orders of one upstream.
It is written to the key-value service by compare-and-swap before any order in
it is sent, so that a late or lost order can only use memory that is already
reserved for it.
"""

from collections.abc import Iterable, Iterator
import dataclasses
import enum

from cicadahook.core import errors

CopyKey = tuple[str, str]


class OvercommitError(errors.CicadaError):
    """A reservation would exceed the accelerator memory of an upstream."""


class Action(enum.StrEnum):
    """What an order asks an engine to do."""

    LOAD = "load"
    UNLOAD = "unload"
    FENCE = "fence"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order that is intended or sent and whose outcome is not resolved.

    The order may be sent several times; each send is one copy of the order.

    Attributes:
        id: unique over all orders.
        action: what the order asks for.
        row: row to load or unload.
        base: for an adapter, its model row.
        version: weights version.
        memory_bytes: accelerator memory reserved for the row's copy, in bytes;
            0 once a report has proved that an unload freed it.
        fencing: fencing number that the order carries.
        unanswered: number of copies of the order that were or may be sent and
            have no answer.
        is_done: whether the upstream has answered one copy with success.
    """

    id: str
    action: Action
    row: str = ""
    base: str = ""
    version: str = ""
    memory_bytes: int = 0
    fencing: int = 0
    unanswered: int = 0
    is_done: bool = False

    @property
    def key(self) -> CopyKey:
        """Row and version of the copy."""
        return self.row, self.version

    @property
    def is_unsent(self) -> bool:
        """Whether no copy of the order can ever have been sent."""
        return not self.unanswered and not self.is_done


@dataclasses.dataclass(frozen=True, slots=True)
class Resident:
    """A copy that the upstream held when its load was resolved.

    Attributes:
        row: row name.
        base: for an adapter, its model row.
        version: weights version.
        memory_bytes: accelerator memory that the copy uses, in bytes.
        order: id of the order that loaded the copy.
        unanswered: number of copies of that order that may still arrive. While
            it is above 0, the memory stays reserved even after an unload.
    """

    row: str
    base: str
    version: str
    memory_bytes: int
    order: str = ""
    unanswered: int = 0

    @property
    def key(self) -> CopyKey:
        """Row and version of the copy."""
        return self.row, self.version


@dataclasses.dataclass(frozen=True)
class UpstreamRecord:
    """What one upstream holds and what unresolved orders may add to it.

    Attributes:
        upstream: address of the upstream.
        capacity_bytes: its accelerator memory, in bytes.
        fencing: highest fencing number sent to the upstream.
        incarnation: incarnation of the upstream that holds the residents
            and, if it checks fencing numbers, that answered the fence.
        residents: copies that it holds.
        orders: unresolved orders.
        barred: loads that a fence has made ineffective. If the upstream
            restarts and forgets its fencing number, they may still arrive.
        writer: leadership term that wrote the record.
        write_number: number of the write within that term.
    """

    upstream: str
    capacity_bytes: int
    fencing: int = 0
    incarnation: str = ""
    residents: tuple[Resident, ...] = ()
    orders: tuple[Order, ...] = ()
    barred: tuple[Order, ...] = ()
    writer: str = ""
    write_number: int = 0

    def __post_init__(self) -> None:
        if self.reserved_bytes > self.capacity_bytes:
            raise OvercommitError(
                f"{self.upstream}: {self.reserved_bytes} bytes reserved of"
                f" {self.capacity_bytes}"
            )
        if self.exposed_bytes > self.capacity_bytes:
            raise OvercommitError(
                f"{self.upstream}: {self.exposed_bytes} bytes may arrive after"
                f" a restart, of {self.capacity_bytes}"
            )

    @property
    def reserved_bytes(self) -> int:
        """Memory of all residents and of all unresolved orders, in bytes."""
        return _sum_bytes((*self.residents, *self.orders))

    @property
    def exposed_bytes(self) -> int:
        """Memory of all loads that may arrive after a restart, in bytes."""
        sent = (
            order
            for order in self.orders
            if order.action is Action.LOAD and not order.is_unsent
        )
        return _sum_bytes((*sent, *self.barred))

    @property
    def free_bytes(self) -> int:
        """Memory that may be reserved for another copy, in bytes."""
        return self.capacity_bytes - self.reserved_bytes

    @property
    def is_fencing(self) -> bool:
        """Whether a fence is unanswered; other orders wait until it is."""
        return any(order.action is Action.FENCE for order in self.orders)

    def find_order(self, key: CopyKey) -> Order | None:
        """Return the unresolved order for a copy, or None."""
        return next(
            (
                order
                for order in self.orders
                if order.key == key and order.action is not Action.FENCE
            ),
            None,
        )

    def find_resident(self, key: CopyKey) -> Resident | None:
        """Return the resident copy `key`, or None."""
        return next((copy for copy in self.residents if copy.key == key), None)

    def holds(self, row: str) -> bool:
        """Return whether a copy of `row` is kept or being loaded."""
        return any(copy.row == row for copy in self.kept_copies())

    def has_resident(self, row: str) -> bool:
        """Return whether a copy of `row` is resident and not being unloaded."""
        leaving = self.leaving_keys()
        return any(
            copy.row == row and copy.key not in leaving
            for copy in self.residents
        )

    def leaving_keys(self) -> frozenset[CopyKey]:
        """Return the copies with an unresolved unload."""
        return frozenset(
            order.key for order in self.orders if order.action is Action.UNLOAD
        )

    def kept_copies(self) -> Iterator[Resident | Order]:
        """Yield the copies that are resident or being loaded, and kept."""
        leaving = self.leaving_keys()
        for copy in self.residents:
            if copy.key not in leaving:
                yield copy
        for order in self.orders:
            if order.action is Action.LOAD:
                yield order

    def with_order(self, order: Order) -> "UpstreamRecord":
        """Return the record with `order` added or replaced, by its id.

        Raises:
            OvercommitError: The memory that the order needs is not free.
        """
        others = (kept for kept in self.orders if kept.id != order.id)
        return dataclasses.replace(self, orders=(*others, order))

    def without_order(self, order_id: str) -> "UpstreamRecord":
        """Return the record without an order."""
        return dataclasses.replace(
            self,
            orders=tuple(kept for kept in self.orders if kept.id != order_id),
        )

    def with_resident(self, copy: Resident) -> "UpstreamRecord":
        """Return the record with `copy` added or replaced, by its key."""
        others = (kept for kept in self.residents if kept.key != copy.key)
        return dataclasses.replace(self, residents=(*others, copy))

    def without_resident(self, key: CopyKey) -> "UpstreamRecord":
        """Return the record without a resident."""
        return dataclasses.replace(
            self,
            residents=tuple(kept for kept in self.residents if kept.key != key),
        )


def _sum_bytes(copies: Iterable[Resident | Order]) -> int:
    """Return the memory of `copies` in bytes, each row and version once."""
    sizes: dict[CopyKey, int] = {}
    for copy in copies:
        sizes[copy.key] = max(copy.memory_bytes, sizes.get(copy.key, 0))
    return sum(sizes.values())
