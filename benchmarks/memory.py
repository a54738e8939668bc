"""Measures the memory of a view per row, upstream, copy and member.

Run: python benchmarks/memory.py
"""

from collections.abc import Callable, Iterator
import json
import tracemalloc
from typing import Final

from cicadahook.core import table
from cicadahook.core import view

COUNTS: Final = (500, 1000, 2000)


def create_rows(count: int) -> tuple[table.Row, ...]:
    """Return `count` model rows."""
    return tuple(
        table.Row(
            f"model-{index:05}",
            table.RowKind.MODEL,
            memory_bytes=10**10 + index,
        )
        for index in range(count)
    )


def create_upstreams(count: int) -> tuple[view.Upstream, ...]:
    """Return `count` upstreams."""
    return tuple(
        view.Upstream(
            f"10.0.{index // 250}.{index % 250}:8000",
            f"zone{index % 14}",
            view.UpstreamKind.ENGINE,
            incarnation=f"incarnation-{index}",
            in_flight=300 + index,
        )
        for index in range(count)
    )


def create_copies(count: int) -> tuple[view.Copy, ...]:
    """Return `count` copies, each with its own strings as after decoding."""
    return tuple(
        view.Copy(
            f"model-{index:05}",
            f"10.0.{index // 250}.{index % 250}:8000",
            "1",
            view.CopyState.SERVING,
        )
        for index in range(count)
    )


def create_members(count: int) -> tuple[view.Member, ...]:
    """Return `count` members."""
    return tuple(
        view.Member(
            f"vm{index:05}",
            f"10.1.{index // 250}.{index % 250}:8401",
            f"10.1.{index // 250}.{index % 250}:8411",
            f"zone{index % 14}",
            incarnation=1000 + index,
        )
        for index in range(count)
    )


PART_FACTORIES: Final[dict[str, Callable[[int], tuple[object, ...]]]] = {
    "rows": create_rows,
    "upstreams": create_upstreams,
    "copies": create_copies,
    "members": create_members,
}


def measure(create: Callable[[int], tuple[object, ...]]) -> Iterator[int]:
    """Yield the bytes that the objects take at each of COUNTS."""
    for count in COUNTS:
        tracemalloc.start()
        part = create(count)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert len(part) == count, "the part has an unexpected size"
        yield size


if __name__ == "__main__":
    for name, factory in PART_FACTORIES.items():
        sizes = list(measure(factory))
        bytes_each = (sizes[-1] - sizes[0]) / (COUNTS[-1] - COUNTS[0])
        print(
            json.dumps(
                {"part": name, "bytes": sizes, "bytes_each": round(bytes_each)}
            )
        )
