"""Measures size, encoding and decoding time of views and patches.

Run: python benchmarks/codec.py
"""

from collections.abc import Callable
import dataclasses
import json
import time
from typing import Final

from cicadahook.core import table
from cicadahook.core import view
from cicadahook.core import view_patch
from cicadahook.net import codec

ROW_COUNTS: Final = (10, 100, 1500)
REPEATS: Final = 5


def create_view(row_count: int) -> view.View:
    """Return a view of `row_count` rows with one copy each."""
    rows = tuple(
        table.Row(f"model-{index}", table.RowKind.MODEL, memory_bytes=1)
        for index in range(row_count)
    )
    copies = tuple(
        view.Copy(row.name, "10.0.0.1:80", "1", view.CopyState.SERVING)
        for row in rows
    )
    return view.View("vm1", 1, table.Table(1, rows), (), copies)


def measure(row_count: int) -> dict[str, float]:
    """Measure a whole view and a patch that moves one of its copies."""
    old = create_view(row_count)
    moved = dataclasses.replace(old.copies[0], upstream="10.0.0.2:80")
    new = dataclasses.replace(
        old, number=old.number + 1, copies=(moved, *old.copies[1:])
    )
    encoded_view = codec.VIEWS.encode(new)
    encoded_patch = codec.PATCHES.encode(view_patch.diff(old, new))
    return {
        "rows": row_count,
        "view_bytes": len(encoded_view),
        "view_encode_ms": time_ms(lambda: codec.VIEWS.encode(new)),
        "view_decode_ms": time_ms(lambda: codec.VIEWS.decode(encoded_view)),
        "patch_bytes": len(encoded_patch),
        "patch_encode_ms": time_ms(
            lambda: codec.PATCHES.encode(view_patch.diff(old, new))
        ),
        "patch_decode_ms": time_ms(
            lambda: view_patch.apply(old, codec.PATCHES.decode(encoded_patch))
        ),
    }


def time_ms(callback: Callable[[], object]) -> float:
    """Return the mean duration of `callback` in milliseconds."""
    started = time.perf_counter()
    for _ in range(REPEATS):
        callback()
    return round((time.perf_counter() - started) / REPEATS * 1000, 3)


if __name__ == "__main__":
    for count in ROW_COUNTS:
        print(json.dumps(measure(count)))
