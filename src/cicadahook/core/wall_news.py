"""What operators should look at, from what the wall screen shows."""

from collections.abc import Iterator
from typing import Final

from cicadahook.core import view as view_lib
from cicadahook.core import wall as wall_lib

STALE_SECONDS: Final = 3.0


def find_problems(wall: wall_lib.Wall) -> Iterator[wall_lib.Problem]:
    """Yield what operators should look at."""
    yield from _find_row_problems(wall)
    yield from _find_upstream_problems(wall)
    yield from _find_member_problems(wall)
    if wall.refusals:
        total = sum(count.last_minute for count in wall.refusals)
        yield wall_lib.Problem(
            wall_lib.Severity.WARNING, f"{total} refused in the last minute"
        )


def _find_row_problems(wall: wall_lib.Wall) -> Iterator[wall_lib.Problem]:
    if not wall.rows:
        yield wall_lib.Problem(
            wall_lib.Severity.WARNING, "The table has no rows"
        )
    for row in wall.rows:
        if not row.serving:
            yield wall_lib.Problem(
                wall_lib.Severity.BAD, f"{row.name} has no copy"
            )
        elif row.serving < row.wanted:
            text = f"{row.name}: {row.serving} of {row.wanted} copies"
            yield wall_lib.Problem(wall_lib.Severity.WARNING, text)


def _find_upstream_problems(wall: wall_lib.Wall) -> Iterator[wall_lib.Problem]:
    if wall.upstreams_age_seconds > STALE_SECONDS:
        age = f"{wall.upstreams_age_seconds:.0f} s"
        yield wall_lib.Problem(
            wall_lib.Severity.BAD, f"Upstreams not polled for {age}"
        )
    severities = {
        view_lib.UpstreamState.DEAD: wall_lib.Severity.BAD,
        view_lib.UpstreamState.LEAVING: wall_lib.Severity.NOTE,
    }
    for line in wall.upstreams:
        if line.state in severities:
            text = f"Upstream {line.address} is {line.state}"
            yield wall_lib.Problem(severities[line.state], text)


def _find_member_problems(wall: wall_lib.Wall) -> Iterator[wall_lib.Problem]:
    severities = {
        view_lib.MemberState.DEAD: wall_lib.Severity.BAD,
        view_lib.MemberState.SUSPECT: wall_lib.Severity.WARNING,
        view_lib.MemberState.LEAVING: wall_lib.Severity.NOTE,
    }
    for line in wall.members:
        if line.state in severities:
            text = f"{line.name} is {line.state}"
            yield wall_lib.Problem(severities[line.state], text)
        if line.state is view_lib.MemberState.DEAD:
            continue
        if line.generation is None or line.age_seconds > STALE_SECONDS:
            text = f"Control of {line.name} does not answer"
            yield wall_lib.Problem(wall_lib.Severity.BAD, text)
        elif line.generation < wall.generation:
            text = f"{line.name} has table {line.generation}"
            yield wall_lib.Problem(wall_lib.Severity.WARNING, text)
        if line.entry_generation is None:
            text = f"Entry of {line.name} does not report"
            yield wall_lib.Problem(wall_lib.Severity.BAD, text)
        elif line.entry_generation < wall.generation:
            text = f"Entry of {line.name} has table {line.entry_generation}"
            yield wall_lib.Problem(wall_lib.Severity.WARNING, text)
