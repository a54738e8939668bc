"""Per-upstream records: what is resident, what was ordered, and its memory.

A record is written to the key-value service by compare-and-swap before any
order that it intends is sent, so a late or lost order always falls inside
memory that is already reserved for it.
"""

from collections.abc import Iterable, Iterator
import dataclasses
import enum

from cicadahook.core import errors

CopyKey = tuple[str, str]


class OvercommitError(errors.CicadaError):
    """A reservation would exceed the accelerator memory of an upstream."""


class Action(enum.StrEnum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    FENCE = "fence"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order that was intended and has not settled.

    Attributes:
        id: unique over all orders.
        action: what it asks for.
        row: row to load or unload.
        base: for an adapter, its model row.
        version: weights version.
        memory_bytes: accelerator memory reserved for the copy, in bytes;
            0 once an unload's memory was shown free.
        fencing: fencing number it carries.
        unanswered: copies of it that were or may be sent without an answer.
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
    """A copy that the upstream held when its load was settled.

    Attributes:
        row: row name.
        base: for an adapter, its model row.
        version: weights version.
        memory_bytes: accelerator memory that it takes, in bytes.
        order: id of the order that loaded it.
        unanswered: copies of that order that may still arrive; above 0 the
            memory stays reserved, whatever is unloaded.
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
    """What one upstream holds and may still come to hold.

    Attributes:
        upstream: address of the upstream.
        capacity_bytes: its accelerator memory, in bytes.
        fencing: highest fencing number used towards it.
        incarnation: incarnation of the upstream that holds the residents
            and, where it checks fencing numbers, that answered the fence.
        residents: copies it holds.
        orders: orders intended and not settled.
        barred: loads shut out by a fence; should the upstream restart and
            forget its fencing number, they may still arrive.
        writer: leadership that wrote the record.
        write_number: counts the writes of that leadership.
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
        """Memory of all residents and of all loads that may still happen."""
        return _sum_bytes((*self.residents, *self.orders))

    @property
    def exposed_bytes(self) -> int:
        """Memory of all loads that a restarted upstream may come to hold."""
        sent = (
            order
            for order in self.orders
            if order.action is Action.LOAD and not order.is_unsent
        )
        return _sum_bytes((*sent, *self.barred))

    @property
    def free_bytes(self) -> int:
        """Memory that may be reserved for another copy."""
        return self.capacity_bytes - self.reserved_bytes

    @property
    def is_fencing(self) -> bool:
        """Whether a fence is on its way, which holds up other orders."""
        return any(order.action is Action.FENCE for order in self.orders)

    def find_order(self, key: CopyKey) -> Order | None:
        """Return the unsettled order for a copy, or None."""
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
        """Tell whether a copy of `row` is to stay or on order to be loaded."""
        return any(copy.row == row for copy in self.kept_copies())

    def has_resident(self, row: str) -> bool:
        """Tell whether a copy of `row` is resident and to stay."""
        leaving = self.leaving_keys()
        return any(
            copy.row == row and copy.key not in leaving
            for copy in self.residents
        )

    def leaving_keys(self) -> frozenset[CopyKey]:
        """Return the copies with an unsettled unload."""
        return frozenset(
            order.key for order in self.orders if order.action is Action.UNLOAD
        )

    def kept_copies(self) -> Iterator[Resident | Order]:
        """Yield the copies that are resident or on order, and to stay."""
        leaving = self.leaving_keys()
        for copy in self.residents:
            if copy.key not in leaving:
                yield copy
        for order in self.orders:
            if order.action is Action.LOAD:
                yield order

    def with_order(self, order: Order) -> "UpstreamRecord":
        """Return the record with `order` added, or replacing its namesake.

        Raises:
            OvercommitError: the memory it needs is not free.
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
        """Return the record with `copy` added, or replacing its namesake."""
        others = (kept for kept in self.residents if kept.key != copy.key)
        return dataclasses.replace(self, residents=(*others, copy))

    def without_resident(self, key: CopyKey) -> "UpstreamRecord":
        """Return the record without a resident."""
        return dataclasses.replace(
            self,
            residents=tuple(kept for kept in self.residents if kept.key != key),
        )


def _sum_bytes(copies: Iterable[Resident | Order]) -> int:
    """Return the memory of `copies`, each row and version once."""
    sizes: dict[CopyKey, int] = {}
    for copy in copies:
        sizes[copy.key] = max(copy.memory_bytes, sizes.get(copy.key, 0))
    return sum(sizes.values())
