"""Per-upstream records: what is resident, what was ordered, and its memory.

A record is written to the key-value service by compare-and-swap before any
order that it intends is sent, so a late or lost order always falls inside
memory that is already reserved for it.
"""

import dataclasses
import enum

from cicadahook.core import errors


class OvercommitError(errors.CicadaError):
    """A reservation would exceed the accelerator memory of an upstream."""


class Action(enum.StrEnum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order that was intended and has not settled.

    Attributes:
        id: unique over all orders.
        action: what it asks for.
        row: row to load or unload.
        base: for an adapter, its model row.
        version: weights version.
        memory_bytes: accelerator memory of the copy, in bytes.
        fencing: fencing number it carries.
        sends: copies of it that were sent and not answered.
    """

    id: str
    action: Action
    row: str
    base: str
    version: str
    memory_bytes: int
    fencing: int
    sends: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Resident:
    """A copy whose load was answered and whose unload was not."""

    row: str
    base: str
    version: str
    memory_bytes: int


@dataclasses.dataclass(frozen=True)
class UpstreamRecord:
    """What one upstream holds and may still come to hold.

    Attributes:
        upstream: address of the upstream.
        capacity_bytes: its accelerator memory, in bytes.
        fencing: highest fencing number used towards it.
        residents: copies it holds.
        orders: orders intended and not settled.
    """

    upstream: str
    capacity_bytes: int
    fencing: int = 0
    residents: tuple[Resident, ...] = ()
    orders: tuple[Order, ...] = ()

    def __post_init__(self) -> None:
        if self.reserved_bytes > self.capacity_bytes:
            raise OvercommitError(
                f"{self.upstream}: {self.reserved_bytes} bytes reserved of"
                f" {self.capacity_bytes}"
            )

    @property
    def reserved_bytes(self) -> int:
        """Memory of all residents and of all loads that may still happen."""
        reserved = {
            (copy.row, copy.version): copy.memory_bytes for copy in self.copies
        }
        return sum(reserved.values())

    @property
    def copies(self) -> tuple[Resident | Order, ...]:
        """All copies that are resident or on order."""
        return (*self.residents, *self.orders)

    @property
    def free_bytes(self) -> int:
        """Memory that may be reserved for another copy."""
        return self.capacity_bytes - self.reserved_bytes

    def holds(self, row: str) -> bool:
        """Tell whether a copy of `row` is resident or on order."""
        return any(copy.row == row for copy in self.copies)

    def has_resident(self, row: str) -> bool:
        """Tell whether a copy of `row` is resident."""
        return any(copy.row == row for copy in self.residents)

    def with_order(self, order: Order) -> "UpstreamRecord":
        """Return the record with `order` intended.

        Raises:
            OvercommitError: the memory it needs is not free.
        """
        return dataclasses.replace(
            self,
            fencing=max(self.fencing, order.fencing),
            orders=(*self.orders, order),
        )

    def with_settled(self, order_id: str) -> "UpstreamRecord":
        """Return the record after the upstream answered an order."""
        order = next(order for order in self.orders if order.id == order_id)
        residents = tuple(
            copy
            for copy in self.residents
            if (copy.row, copy.version) != (order.row, order.version)
        )
        if order.action is Action.LOAD:
            copy = Resident(
                order.row, order.base, order.version, order.memory_bytes
            )
            residents = (*residents, copy)
        return dataclasses.replace(
            self,
            residents=residents,
            orders=tuple(kept for kept in self.orders if kept.id != order_id),
        )
