"""Measures size and time of an encoded view against the number of rows.

Run: python benchmarks/codec.py
"""

import json
import time
from typing import Final

from cicadahook.core import table
from cicadahook.core import view
from cicadahook.net import codec

SIZES: Final = (10, 100, 1500)
REPEATS: Final = 5


def create_view(size: int) -> view.View:
    """Return a view of `size` rows with a copy each."""
    rows = tuple(
        table.Row(f"model-{index}", table.RowKind.MODEL, memory_bytes=1)
        for index in range(size)
    )
    copies = tuple(
        view.Copy(row.name, "10.0.0.1:80", "1", view.CopyState.SERVING)
        for row in rows
    )
    return view.View("vm1", 1, table.Table(1, rows), (), copies)


def measure(size: int) -> dict[str, float]:
    """Return size and times of a view of `size` rows."""
    subject = create_view(size)
    started = time.perf_counter()
    for _ in range(REPEATS):
        data = codec.VIEWS.encode(subject)
    encoded = time.perf_counter()
    for _ in range(REPEATS):
        codec.VIEWS.decode(data)
    decoded = time.perf_counter()
    return {
        "rows": size,
        "bytes": len(data),
        "encode_ms": (encoded - started) / REPEATS * 1000,
        "decode_ms": (decoded - encoded) / REPEATS * 1000,
    }


if __name__ == "__main__":
    for count in SIZES:
        print(json.dumps(measure(count)))
