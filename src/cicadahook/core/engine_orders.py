"""Orders to model engines, their results, and reports of engines."""

from collections.abc import Mapping
import dataclasses
import enum

from cicadahook.core import inventory


class Operation(enum.StrEnum):
    """What an engine is told to do with a model or adapter."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to one engine.

    Attributes:
        operation: what to do.
        model: name of the model.
        adapter: name of an adapter of it; empty for the model itself.
        holder: name of the machine that sends it.
        fence: number of the holder's term; later terms have higher ones.
        expected_sequence: orders that the engine must have accepted before.
    """

    operation: Operation
    model: str
    adapter: str
    holder: str
    fence: int
    expected_sequence: int


class OrderResult(enum.StrEnum):
    """What is known of an order."""

    ACCEPTED = "accepted"
    HELD = "held"  # what it asks for is so already
    CONFLICT = "conflict"  # another order runs, or the sequence differs
    FENCED = "fenced"
    ABSENT = "absent"  # another instance, or no such model there
    INVALID = "invalid"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"  # it may be carried out, also later


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine said of itself, some hundred ms late.

    Attributes:
        sequence: orders accepted since its start.
        is_busy: whether a model is being loaded or unloaded.
        holdings: models that it holds, by name.
        incoming: adapters on their way, as MODEL/ADAPTER.
        born: its incarnation.
    """

    sequence: int
    is_busy: bool
    holdings: Mapping[str, inventory.Holding]
    incoming: frozenset[str]
    born: int
