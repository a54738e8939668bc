"""Ledger of the accelerator memory of one engine, kept by the order holder.

All memory that an order may still use stays reserved until it is certain that
the order can no longer take effect.
"""

from collections.abc import Iterator, Set
import dataclasses
import datetime
import enum
from typing import Final

from cicadahook.core import engine_orders
from cicadahook.core import inventory
from cicadahook.core import routes

# Time during which an order without an answer may still be carried out. The
# platform states only that orders may be seconds late; 12 s have occurred.
LATE_ORDER_PERIOD: Final = datetime.timedelta(seconds=15)


# Time after which the other nodes have reported the request for which an
# adapter was loaded.
ADAPTER_GRACE_PERIOD: Final = datetime.timedelta(milliseconds=400)
# Above every number of orders that an engine can have accepted.
ANY_SEQUENCE: Final = 2**62


class CopyState(enum.StrEnum):
    """State of a model on an engine."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@dataclasses.dataclass
class ModelCopy:
    """A model on an engine.

    Attributes:
        model: the model.
        state: whether it is loading, ready or unloading.
        adapters: when each of its adapters on the engine was loaded, by name.
        loaded: when it was ordered or first reported.
    """

    model: routes.Model
    state: CopyState
    loaded: datetime.datetime
    adapters: dict[str, datetime.datetime] = dataclasses.field(
        default_factory=dict
    )

    @property
    def size_mb(self) -> float:
        """Return the memory of the model and its adapters, in MB."""
        return self.model.size_mb + len(self.adapters) * self.model.adapter_mb


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Memory that an order without an answer may still use.

    The engine carries out the order only while it has accepted `sequence`
    orders. An engine that restarts under the same id counts them from 0.

    Attributes:
        size_mb: memory that the order would use.
        adapter_slots: adapter slots that the order would use.
        sequence: number of accepted orders that the order expects.
        until: when the order can no longer be carried out.
    """

    size_mb: float
    adapter_slots: int
    sequence: int
    until: datetime.datetime


@dataclasses.dataclass
class EngineLedger:
    """The models, adapters and reservations of one engine.

    Attributes:
        instance: the engine.
        pool: properties that all engines of its service share.
        copies: its models, by name.
        reservations: memory that unanswered orders may still use.
        sequence: number of orders that it has accepted; None if unknown, so
            that the engine must be asked.
        planned: name of the model that is being loaded, including the time of
            the unloads before it; empty if none.
        is_reported_busy: whether the engine reported that it carries out an
            order.
    """

    instance: inventory.Instance
    pool: routes.EnginePool
    copies: dict[str, ModelCopy] = dataclasses.field(default_factory=dict)
    reservations: list[Reservation] = dataclasses.field(default_factory=list)
    sequence: int | None = None
    planned: str = ""
    is_reported_busy: bool = False

    @property
    def is_busy(self) -> bool:
        """Whether a load or unload is in progress, which excludes others."""
        return bool(self.planned) or self.is_reported_busy

    def count_used_mb(self, now: datetime.datetime) -> float:
        """Return the memory in use or reserved, in MB."""
        return sum(copy.size_mb for copy in self.copies.values()) + sum(
            entry.size_mb for entry in self._list_possible(now)
        )

    def count_free_mb(self, now: datetime.datetime) -> float:
        """Return the memory that an order may use, in MB."""
        return self.pool.memory_mb - self.count_used_mb(now)

    def count_free_slots(self, now: datetime.datetime) -> int:
        """Return the number of further adapters that may be loaded."""
        used = sum(len(copy.adapters) for copy in self.copies.values())
        reserved = sum(
            entry.adapter_slots for entry in self._list_possible(now)
        )
        return self.pool.adapter_slots - used - reserved

    def is_ready(self, model: str, adapter: str = "") -> bool:
        """Return whether a model, and an adapter if given, is loaded."""
        copy = self.copies.get(model)
        if copy is None or copy.state is not CopyState.READY:
            return False
        return not adapter or adapter in copy.adapters

    def reserve_unanswered(
        self,
        model: routes.Model,
        adapter: str,
        sequence: int,
        now: datetime.datetime,
    ) -> None:
        """Reserve the memory that an order without an answer may still use.

        Args:
            model: the model that the order loads, or the adapter's model.
            adapter: the adapter that the order loads; empty for a model.
            sequence: number of accepted orders that the order expects.
            now: the time.
        """
        self._drop_expired(now)
        size = model.adapter_mb if adapter else model.size_mb
        self.reservations.append(
            Reservation(
                size, 1 if adapter else 0, sequence, now + LATE_ORDER_PERIOD
            )
        )

    def reserve_restart(self, began: datetime.datetime) -> None:
        """Reserve the memory that an earlier holder's order may still use.

        A restarted engine counts its orders from 0, so a late order that was
        sent to its former incarnation may match its sequence again.

        Args:
            began: when the present holder's term began.
        """
        sizes = [model.size_mb for model in self.pool.models.values()]
        self.reservations.append(
            Reservation(
                max(sizes, default=0.0),
                1,
                ANY_SEQUENCE,
                began + LATE_ORDER_PERIOD,
            )
        )

    def accounts_for(self, report: engine_orders.EngineReport) -> bool:
        """Return whether the ledger contains the operation in a report.

        An engine that is busy without an order of this holder carries out a
        late order. What such an order loads is reported only once it has
        ended.
        """
        return not report.is_busy or any(
            copy.state is not CopyState.READY for copy in self.copies.values()
        )

    def apply_report(
        self, report: engine_orders.EngineReport, now: datetime.datetime
    ) -> None:
        """Replace the models and adapters by those in a report.

        A model that is being loaded stays counted, though the report may not
        contain it yet. A model that is being unloaded keeps that state.
        """
        self.sequence = report.sequence
        self.is_reported_busy = report.is_busy
        copies = {
            name: self._describe(holding, now)
            for name, holding in report.holdings.items()
        }
        for name, copy in self.copies.items():
            is_loading = copy.state is CopyState.LOADING
            if is_loading and name == self.planned and name not in copies:
                copies[name] = copy
        for name in report.incoming:
            base, _, adapter = name.partition("/")
            if base in copies and adapter:
                copies[base].adapters.setdefault(adapter, now)
        self.copies = copies

    def _describe(
        self, holding: inventory.Holding, now: datetime.datetime
    ) -> ModelCopy:
        """Return the entry for a model that the engine reports."""
        known = self.copies.get(holding.model)
        model = self.pool.models.get(holding.model)
        loaded = known.adapters if known else {}
        adapters = {name: loaded.get(name, now) for name in holding.adapters}
        is_leaving = known and known.state is CopyState.UNLOADING
        return ModelCopy(
            model or _assume_largest_model(holding.model, self.pool),
            CopyState.UNLOADING if is_leaving else CopyState.READY,
            known.loaded if known else now,
            adapters,
        )

    def find_spare_adapter(
        self, used: Set[tuple[str, str]], now: datetime.datetime
    ) -> tuple[str, str] | None:
        """Return model and adapter of the oldest adapter not in use.

        Adapters loaded within `ADAPTER_GRACE_PERIOD` are left out: the request
        that waits for one may not be among those in use yet.

        Args:
            used: model and adapter of the requests at the engine.
            now: the time.

        Returns:
            Names of model and adapter, or None if all adapters are in use.
        """
        adapters = [
            (loaded, copy.model.name, adapter)
            for copy in self.copies.values()
            if copy.state is CopyState.READY
            for adapter, loaded in copy.adapters.items()
            if (copy.model.name, adapter) not in used
            and now - loaded >= ADAPTER_GRACE_PERIOD
        ]
        if not adapters:
            return None
        _, model, adapter = min(adapters)
        return model, adapter

    def _list_possible(self, now: datetime.datetime) -> Iterator[Reservation]:
        """Yield the reservations whose order may still be carried out."""
        for entry in self.reservations:
            is_possible = (
                self.sequence is None or entry.sequence >= self.sequence
            )
            if is_possible and entry.until > now:
                yield entry

    def _drop_expired(self, now: datetime.datetime) -> None:
        self.reservations = [
            entry for entry in self.reservations if entry.until > now
        ]


def _assume_largest_model(name: str, pool: routes.EnginePool) -> routes.Model:
    """Return a model that is not configured, with the largest known size."""
    none = datetime.timedelta()
    size = max((model.size_mb for model in pool.models.values()), default=0.0)
    adapter = max(
        (model.adapter_mb for model in pool.models.values()), default=0.0
    )
    return routes.Model(name, size, adapter, frozenset(), none, none, none)
