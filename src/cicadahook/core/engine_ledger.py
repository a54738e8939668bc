"""What one engine holds or may come to hold, as the holder of orders counts it.

Every byte that an order may still take stays reserved until it is certain
that the order has no effect any more.
"""

from collections.abc import Iterator, Set
import dataclasses
import datetime
import enum
from typing import Final

from cicadahook.core import engine_orders
from cicadahook.core import inventory
from cicadahook.core import routes

# An order without an answer may be carried out until then; the users' pages
# speak of seconds, trials saw twelve.
LATE_ORDER_PERIOD: Final = datetime.timedelta(seconds=15)


# By then other machines have told of the request for which it was loaded.
ADAPTER_GRACE_PERIOD: Final = datetime.timedelta(milliseconds=400)
# Above every number of orders.
ANY_SEQUENCE: Final = 2**62


class CopyState(enum.StrEnum):
    """How far a model is with its engine."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@dataclasses.dataclass
class ModelCopy:
    """A model on an engine.

    Attributes:
        model: the model.
        state: how far it is.
        adapters: when each of its adapters there was loaded.
        loaded: when it was ordered, or first seen.
    """

    model: routes.Model
    state: CopyState
    loaded: datetime.datetime
    adapters: dict[str, datetime.datetime] = dataclasses.field(
        default_factory=dict
    )

    @property
    def size_mb(self) -> float:
        """Return the memory of the model and its adapters."""
        return self.model.size_mb + len(self.adapters) * self.model.adapter_mb


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Memory that an order without an answer may still take.

    The engine carries it out only while it has accepted `sequence` orders; a
    restart under the same id counts them from the start.

    Attributes:
        size_mb: memory that it would take.
        adapter_slots: places for adapters that it would take.
        sequence: orders accepted that it expects.
        until: when it has certainly been lost.
    """

    size_mb: float
    adapter_slots: int
    sequence: int
    until: datetime.datetime


@dataclasses.dataclass
class EngineLedger:
    """The account of one engine's memory.

    Attributes:
        instance: the engine.
        pool: what all engines of its service have in common.
        copies: its models, by name.
        reservations: what unanswered orders may still take.
        sequence: orders that it has accepted; None if that must be asked.
        planned: model of the load under way, unloads before it included.
        is_reported_busy: whether the engine said that it carries out an order.
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
        """Whether no model should be loaded or unloaded now."""
        return bool(self.planned) or self.is_reported_busy

    def count_used_mb(self, now: datetime.datetime) -> float:
        """Return the memory in use or reserved."""
        return sum(copy.size_mb for copy in self.copies.values()) + sum(
            entry.size_mb for entry in self._list_possible(now)
        )

    def count_free_mb(self, now: datetime.datetime) -> float:
        """Return the memory that an order may take."""
        return self.pool.memory_mb - self.count_used_mb(now)

    def count_free_slots(self, now: datetime.datetime) -> int:
        """Return the adapters that may be loaded besides."""
        used = sum(len(copy.adapters) for copy in self.copies.values())
        reserved = sum(
            entry.adapter_slots for entry in self._list_possible(now)
        )
        return self.pool.adapter_slots - used - reserved

    def is_ready(self, model: str, adapter: str = "") -> bool:
        """Whether a model and adapter are there."""
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
        """Reserve what an order without an answer may still load."""
        self._drop_expired(now)
        size = model.adapter_mb if adapter else model.size_mb
        self.reservations.append(
            Reservation(
                size, 1 if adapter else 0, sequence, now + LATE_ORDER_PERIOD
            )
        )

    def reserve_restart(self, began: datetime.datetime) -> None:
        """Reserve what orders of an earlier holder may still load.

        A restarted engine counts its orders from the start, so that one which
        was late in its former incarnation may fit again.

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
        """Whether what a report shows as under way is in the account.

        An engine that is busy though no own order is under way carries out a
        late one: what that loads shows only when it has ended.
        """
        return not report.is_busy or any(
            copy.state is not CopyState.READY for copy in self.copies.values()
        )

    def apply_report(
        self, report: engine_orders.EngineReport, now: datetime.datetime
    ) -> None:
        """Take over what the engine says.

        What is being loaded stays counted, though a report may not show it;
        what is being unloaded stays marked so.
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
        """Return the account of a model that the engine says it holds."""
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

        One that was loaded a moment ago is left to the request that waits
        for it, which does not show among those in use yet.
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
    """Return a model of the largest size, for one that is not configured."""
    none = datetime.timedelta()
    size = max((model.size_mb for model in pool.models.values()), default=0.0)
    adapter = max(
        (model.adapter_mb for model in pool.models.values()), default=0.0
    )
    return routes.Model(name, size, adapter, frozenset(), none, none, none)
