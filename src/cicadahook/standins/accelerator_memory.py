"""Accelerator memory of a stand-in engine, with its capacity enforced."""

import dataclasses
from typing import Any

from cicadahook.core import view


@dataclasses.dataclass
class ResidentCopy:
    """A copy that occupies accelerator memory.

    Attributes:
        row: row name.
        base: row of the base model for an adapter, empty for a model.
        version: weights version.
        memory_bytes: memory that it occupies, in bytes.
        state: loading, serving or unloading.
        in_flight: number of requests that it is answering.
    """

    row: str
    base: str
    version: str
    memory_bytes: int
    state: view.CopyState
    in_flight: int = 0


class AcceleratorMemory:
    """Copies in memory and the capacity that bounds them.

    Attributes:
        capacity_bytes: accelerator memory, in bytes.
        copies: copies by row and version.
        overcommits: loads refused because they did not fit; must stay 0.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.copies: dict[tuple[str, str], ResidentCopy] = {}
        self.overcommits = 0

    @property
    def used_bytes(self) -> int:
        """Memory occupied by all copies, in bytes."""
        return sum(copy.memory_bytes for copy in self.copies.values())

    def find_serving(self, row: str) -> ResidentCopy | None:
        """Return the serving copy of `row` allocated last, or None."""
        serving = [
            copy
            for copy in self.copies.values()
            if copy.row == row and copy.state is view.CopyState.SERVING
        ]
        return serving[-1] if serving else None

    def is_base_serving(self, base: str) -> bool:
        """Return whether `base` is empty or a copy of it is serving."""
        return not base or self.find_serving(base) is not None

    def allocate(self, copy: ResidentCopy) -> bool:
        """Allocate memory for `copy`; return whether it fits."""
        if self.used_bytes + copy.memory_bytes > self.capacity_bytes:
            self.overcommits += 1
            return False
        self.copies[copy.row, copy.version] = copy
        return True

    def free(self, row: str, version: str) -> None:
        """Free the memory of a copy, if it has any."""
        self.copies.pop((row, version), None)

    def describe(self) -> dict[str, Any]:
        """Return the memory and its copies in the JSON form of `/state`."""
        return {
            "capacity_bytes": self.capacity_bytes,
            "used_bytes": self.used_bytes,
            "overcommits": self.overcommits,
            "copies": [
                {
                    "row": copy.row,
                    "base": copy.base,
                    "version": copy.version,
                    "memory_bytes": copy.memory_bytes,
                    "state": copy.state.value,
                }
                for copy in self.copies.values()
            ],
        }
