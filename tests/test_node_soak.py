"""A short soak of node processes; longer ones are run by hand."""

import pathlib

from soak import node_run

SECONDS = 5.0
SEED = 1
# Long enough for a process to end on a busy VM, short enough for a test.
GRACE_SECONDS = 6.0


async def test_promises_hold_under_faults(tmp_path: pathlib.Path) -> None:
    results = await node_run.soak(SECONDS, SEED, tmp_path, GRACE_SECONDS)
    assert not results.violations
    assert results.counts["chat_200"] and results.counts["write_200"]
