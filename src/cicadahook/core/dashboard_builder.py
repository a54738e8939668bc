"""Builds the dashboard's content from a view and the figures of the nodes."""

import collections
from collections.abc import Iterable, Mapping
import dataclasses

from cicadahook.core import dashboard as dashboard_lib
from cicadahook.core import dashboard_problems
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib


def create_dashboard(
    view: view_lib.View,
    answers: Mapping[str, dashboard_lib.Answer],
    upstreams_age_seconds: float,
) -> dashboard_lib.Wall:
    """Return the dashboard's content, the most severe problems first.

    Args:
        view: newest view of the control that serves the dashboard.
        answers: newest figures by node name.
        upstreams_age_seconds: time since the upstreams were last polled.
    """
    nodes = [item.figures for item in answers.values() if item.figures]
    entries = _newest_entries(nodes)
    members = _list_members(view, answers, entries)
    generation = max(
        [view.table.generation, *(node.generation for node in nodes)]
    )
    rows = _list_rows(view, entries)
    upstreams = _list_upstreams(view, entries)
    refusals = _sum_reasons(count for node in nodes for count in node.refusals)
    dashboard = dashboard_lib.Wall(
        control=view.control,
        generation=generation,
        upstreams_age_seconds=upstreams_age_seconds,
        problems=(),
        rows=rows,
        upstreams=upstreams,
        members=members,
        refusals=refusals,
        retries=_sum_reasons(count for node in nodes for count in node.retries),
    )
    ranks = list(dashboard_lib.Severity)
    problems = sorted(
        dashboard_problems.find_problems(dashboard),
        key=lambda item: ranks.index(item.severity),
    )
    return dataclasses.replace(dashboard, problems=tuple(problems))


def _newest_entries(
    nodes: Iterable[dashboard_lib.NodeFigures],
) -> dict[str, dashboard_lib.EntryFigures]:
    """Return the newest report of each entry among those of all controls."""
    newest: dict[str, dashboard_lib.EntryFigures] = {}
    for entry in (entry for node in nodes for entry in node.entries):
        known = newest.get(entry.entry)
        if known is None or entry.age_seconds < known.age_seconds:
            newest[entry.entry] = entry
    return newest


def _sum_reasons(
    counts: Iterable[dashboard_lib.ReasonCount],
) -> tuple[dashboard_lib.ReasonCount, ...]:
    """Return the sums by reason without zeros, the largest first."""
    sums: dict[str, int] = {}
    for count in counts:
        sums[count.reason] = sums.get(count.reason, 0) + count.last_minute
    ordered = sorted(sums.items(), key=lambda item: (-item[1], item[0]))
    return tuple(
        dashboard_lib.ReasonCount(reason, total)
        for reason, total in ordered
        if total
    )


def _list_members(
    view: view_lib.View,
    answers: Mapping[str, dashboard_lib.Answer],
    entries: Mapping[str, dashboard_lib.EntryFigures],
) -> tuple[dashboard_lib.MemberLine, ...]:
    """Return the entry VMs, those that are not alive first."""
    lines = []
    for member in view.members:
        answer = answers.get(member.name, dashboard_lib.Answer(None, 0.0))
        node = answer.figures
        entry = entries.get(member.entry)
        lines.append(
            dashboard_lib.MemberLine(
                name=member.name,
                zone=member.zone,
                state=member.state,
                control=member.control,
                generation=node.generation if node else None,
                entry_generation=entry.generation if entry else None,
                age_seconds=round(answer.age_seconds, 1),
            )
        )
    alive = view_lib.MemberState.ALIVE
    return tuple(
        sorted(lines, key=lambda line: (line.state is alive, line.name))
    )


def _list_rows(
    view: view_lib.View, entries: Mapping[str, dashboard_lib.EntryFigures]
) -> tuple[dashboard_lib.RowLine, ...]:
    """Return the rows that requests can name, those short of copies first."""
    rates: dict[str, list[dashboard_lib.RowRate]] = collections.defaultdict(
        list
    )
    for rate in (rate for entry in entries.values() for rate in entry.rows):
        rates[rate.row].append(rate)
    changing = collections.Counter(
        copy.row
        for copy in view.copies
        if copy.state is not view_lib.CopyState.SERVING
    )
    lines = [
        _create_row_line(view, row, rates[row.name], changing[row.name])
        for row in view.table.rows
        if row.kind is not table_lib.RowKind.UPSTREAM
    ]
    return tuple(
        sorted(
            lines,
            key=lambda line: (
                line.serving > 0,
                line.serving >= line.wanted,
                -line.arrivals_per_second,
                line.name,
            ),
        )
    )


def _create_row_line(
    view: view_lib.View,
    row: table_lib.Row,
    rates: Iterable[dashboard_lib.RowRate],
    changing: int,
) -> dashboard_lib.RowLine:
    return dashboard_lib.RowLine(
        name=row.name,
        kind=row.kind,
        serving=len(view.upstreams_for(row)),
        changing=changing,
        wanted=row.min_copies,
        in_flight=sum(rate.in_flight for rate in rates),
        arrivals_per_second=round(
            sum(rate.arrivals_per_second for rate in rates), 1
        ),
        max_in_flight=row.max_in_flight,
        rate_per_second=row.rate_per_second,
    )


def _list_upstreams(
    view: view_lib.View, entries: Mapping[str, dashboard_lib.EntryFigures]
) -> tuple[dashboard_lib.UpstreamLine, ...]:
    """Return the upstreams, those that are not live first."""
    uses = [use for entry in entries.values() for use in entry.uses]
    lines = []
    for upstream in view.upstreams:
        own = [use for use in uses if use.upstream == upstream.address]
        lines.append(
            dashboard_lib.UpstreamLine(
                address=upstream.address,
                zone=upstream.zone,
                state=upstream.state,
                runs=upstream.service or upstream.role or upstream.kind,
                in_flight=sum(use.in_flight for use in own),
                limit=round(sum(use.limit for use in own), 1),
            )
        )
    live = view_lib.UpstreamState.LIVE
    return tuple(
        sorted(
            lines,
            key=lambda line: (
                line.state is live,
                -line.in_flight,
                line.address,
            ),
        )
    )
