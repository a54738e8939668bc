"""Messages between the order holder and model engines.

Holds the orders that the holder sends, their results, and the reports with
which engines answer.
"""

from collections.abc import Mapping
import dataclasses
import enum

from cicadahook.core import inventory


class Operation(enum.StrEnum):
    """What an engine is ordered to do with a model or adapter."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to one engine.

    Attributes:
        operation: what to do.
        model: name of the model.
        adapter: name of an adapter of the model; empty for the model itself.
        holder: name of the node that sends the order.
        fence: number of the holder's term; later terms have higher numbers.
        expected_sequence: number of orders that the engine must have accepted
            before this one.
    """

    operation: Operation
    model: str
    adapter: str
    holder: str
    fence: int
    expected_sequence: int


class OrderResult(enum.StrEnum):
    """Outcome of an order."""

    ACCEPTED = "accepted"
    HELD = "held"  # the engine already is in the ordered state
    CONFLICT = "conflict"  # another order runs, or the sequence differs
    FENCED = "fenced"
    ABSENT = "absent"  # another instance, or the engine lacks the model
    INVALID = "invalid"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"  # it may be carried out now or later


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """State that an engine reports, some hundred milliseconds late.

    Attributes:
        sequence: number of orders accepted since its start.
        is_busy: whether a model is being loaded or unloaded.
        holdings: models that it holds, by name.
        incoming: adapters that are being loaded, as MODEL/ADAPTER.
        born: its incarnation.
    """

    sequence: int
    is_busy: bool
    holdings: Mapping[str, inventory.Holding]
    incoming: frozenset[str]
    born: int
