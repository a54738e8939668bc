"""Finds the problems that operators should look at in the dashboard's data."""

from collections.abc import Iterator
from typing import Final

from cicadahook.core import dashboard as dashboard_lib
from cicadahook.core import view as view_lib

STALE_SECONDS: Final = 3.0


def find_problems(
    dashboard: dashboard_lib.Wall,
) -> Iterator[dashboard_lib.Problem]:
    """Yield the problems that operators should look at, unsorted."""
    yield from _find_row_problems(dashboard)
    yield from _find_upstream_problems(dashboard)
    yield from _find_member_problems(dashboard)
    if dashboard.refusals:
        total = sum(count.last_minute for count in dashboard.refusals)
        yield dashboard_lib.Problem(
            dashboard_lib.Severity.WARNING,
            f"{total} refused in the last minute",
        )


def _find_row_problems(
    dashboard: dashboard_lib.Wall,
) -> Iterator[dashboard_lib.Problem]:
    if not dashboard.rows:
        yield dashboard_lib.Problem(
            dashboard_lib.Severity.WARNING, "The table has no rows"
        )
    for row in dashboard.rows:
        if not row.serving:
            yield dashboard_lib.Problem(
                dashboard_lib.Severity.BAD, f"{row.name} has no copy"
            )
        elif row.serving < row.wanted:
            text = f"{row.name}: {row.serving} of {row.wanted} copies"
            yield dashboard_lib.Problem(dashboard_lib.Severity.WARNING, text)


def _find_upstream_problems(
    dashboard: dashboard_lib.Wall,
) -> Iterator[dashboard_lib.Problem]:
    if dashboard.upstreams_age_seconds > STALE_SECONDS:
        age = f"{dashboard.upstreams_age_seconds:.0f} s"
        yield dashboard_lib.Problem(
            dashboard_lib.Severity.BAD, f"Upstreams not polled for {age}"
        )
    severities = {
        view_lib.UpstreamState.DEAD: dashboard_lib.Severity.BAD,
        view_lib.UpstreamState.LEAVING: dashboard_lib.Severity.NOTE,
    }
    for line in dashboard.upstreams:
        if line.state in severities:
            text = f"Upstream {line.address} is {line.state}"
            yield dashboard_lib.Problem(severities[line.state], text)


def _find_member_problems(
    dashboard: dashboard_lib.Wall,
) -> Iterator[dashboard_lib.Problem]:
    severities = {
        view_lib.MemberState.DEAD: dashboard_lib.Severity.BAD,
        view_lib.MemberState.SUSPECT: dashboard_lib.Severity.WARNING,
        view_lib.MemberState.LEAVING: dashboard_lib.Severity.NOTE,
    }
    for line in dashboard.members:
        if line.state in severities:
            text = f"{line.name} is {line.state}"
            yield dashboard_lib.Problem(severities[line.state], text)
        if line.state is view_lib.MemberState.DEAD:
            continue
        if line.generation is None or line.age_seconds > STALE_SECONDS:
            text = f"Control of {line.name} does not answer"
            yield dashboard_lib.Problem(dashboard_lib.Severity.BAD, text)
        elif line.generation < dashboard.generation:
            text = f"{line.name} has table {line.generation}"
            yield dashboard_lib.Problem(dashboard_lib.Severity.WARNING, text)
        if line.entry_generation is None:
            text = f"Entry of {line.name} does not report"
            yield dashboard_lib.Problem(dashboard_lib.Severity.BAD, text)
        elif line.entry_generation < dashboard.generation:
            text = f"Entry of {line.name} has table {line.entry_generation}"
            yield dashboard_lib.Problem(dashboard_lib.Severity.WARNING, text)
