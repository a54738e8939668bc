"""Accelerator memory of a stand-in engine, which it really checks."""

import dataclasses
from typing import Any

from cicadahook.core import view


@dataclasses.dataclass
class ResidentCopy:
    """A copy that takes memory.

    Attributes:
        row: row name.
        base: for an adapter, its model row.
        version: weights version.
        memory_bytes: memory that it takes, in bytes.
        state: loading, serving or unloading.
        in_flight: requests that it is answering.
    """

    row: str
    base: str
    version: str
    memory_bytes: int
    state: view.CopyState
    in_flight: int = 0


class AcceleratorMemory:
    """Copies held, against the capacity.

    Attributes:
        capacity_bytes: accelerator memory, in bytes.
        copies: copies by row and version.
        overcommits: loads that did not fit; must stay 0.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.copies: dict[tuple[str, str], ResidentCopy] = {}
        self.overcommits = 0

    @property
    def used_bytes(self) -> int:
        """Memory taken, in bytes."""
        return sum(copy.memory_bytes for copy in self.copies.values())

    def find_serving(self, row: str) -> ResidentCopy | None:
        """Return the newest serving copy of `row`, or None."""
        serving = [
            copy
            for copy in self.copies.values()
            if copy.row == row and copy.state is view.CopyState.SERVING
        ]
        return serving[-1] if serving else None

    def is_base_serving(self, base: str) -> bool:
        """Whether a model that adapters need is serving."""
        return not base or self.find_serving(base) is not None

    def allocate(self, copy: ResidentCopy) -> bool:
        """Take memory for `copy`; count an overcommit if it does not fit."""
        if self.used_bytes + copy.memory_bytes > self.capacity_bytes:
            self.overcommits += 1
            return False
        self.copies[copy.row, copy.version] = copy
        return True

    def free(self, row: str, version: str) -> None:
        """Free the memory of a copy."""
        self.copies.pop((row, version), None)

    def describe(self) -> dict[str, Any]:
        """Return the JSON form of the state."""
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
