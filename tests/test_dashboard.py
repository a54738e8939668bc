"""The dashboard displays the worst problems first, on each control alike."""

import asyncio
import json
from typing import Any

import pytest

from cicadahook.core import dashboard
from cicadahook.core import dashboard_builder
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib
from cicadahook.programs import local

MODEL = table_lib.Row("m", table_lib.RowKind.MODEL, memory_bytes=1)
ENGINE = view_lib.Upstream("e1", "z1", view_lib.UpstreamKind.ENGINE)
COPY = view_lib.Copy("m", "e1", "1", view_lib.CopyState.SERVING)
VM = view_lib.Member("vm1", "10.0.0.1:1", "10.0.0.1:2", "z1")
HEALTHY = view_lib.View(
    "vm1", 1, table_lib.Table(3, (MODEL,)), (ENGINE,), (COPY,), (VM,)
)


def answer(
    generation: int = 3,
    entry_generation: int = 3,
    age_seconds: float = 0.2,
    refusals: tuple[dashboard.ReasonCount, ...] = (),
) -> dict[str, dashboard.Answer]:
    """Return the answers of a fleet with one node."""
    entry = dashboard.EntryFigures(VM.entry, entry_generation, False, 0.1)
    figures = dashboard.NodeFigures("vm1", generation, (entry,), refusals)
    return {"vm1": dashboard.Answer(figures, age_seconds)}


def create_view(**changes: Any) -> view_lib.View:
    """Return the healthy view with some fields replaced."""
    fields = ("control", "number", "table", "upstreams", "copies", "members")
    kept = {name: getattr(HEALTHY, name) for name in fields}
    return view_lib.View(**{**kept, **changes})


DEAD_ENGINE = view_lib.Upstream(
    "e1", "z1", view_lib.UpstreamKind.ENGINE, state=view_lib.UpstreamState.DEAD
)
SUSPECT_VM = view_lib.Member(
    "vm1", VM.entry, VM.control, "z1", view_lib.MemberState.SUSPECT
)


@pytest.mark.parametrize(
    ("view", "answers", "age_seconds", "problems"),
    [
        (HEALTHY, answer(), 0.1, []),
        (create_view(copies=()), answer(), 0.1, ["m has no copy"]),
        (
            create_view(upstreams=(DEAD_ENGINE,)),
            answer(),
            0.1,
            ["m has no copy", "Upstream e1 is dead"],
        ),
        (create_view(members=(SUSPECT_VM,)), answer(), 0.1, ["vm1 is suspect"]),
        (HEALTHY, answer(generation=2), 0.1, ["vm1 has table 2"]),
        (
            HEALTHY,
            answer(entry_generation=2),
            0.1,
            ["Entry of vm1 has table 2"],
        ),
        (
            HEALTHY,
            answer(age_seconds=9.0),
            0.1,
            ["Control of vm1 does not answer"],
        ),
        (
            HEALTHY,
            {},
            0.1,
            ["Control of vm1 does not answer", "Entry of vm1 does not report"],
        ),
        (HEALTHY, answer(), 8.0, ["Upstreams not polled for 8 s"]),
        (
            create_view(copies=()),
            answer(refusals=(dashboard.ReasonCount("no_copy", 4),)),
            0.1,
            ["m has no copy", "4 refused in the last minute"],
        ),
    ],
)
def test_problems(
    view: view_lib.View,
    answers: dict[str, dashboard.Answer],
    age_seconds: float,
    problems: list[str],
) -> None:
    wall = dashboard_builder.create_dashboard(view, answers, age_seconds)
    assert [problem.text for problem in wall.problems] == problems


def test_reports_of_an_entry_are_counted_once() -> None:
    def node(name: str, age_seconds: float, in_flight: int) -> dashboard.Answer:
        entry = dashboard.EntryFigures(
            VM.entry,
            3,
            False,
            age_seconds,
            (view_lib.UpstreamUse("e1", in_flight, 8.0),),
            (dashboard.RowRate("m", in_flight, 2.0),),
        )
        return dashboard.Answer(dashboard.NodeFigures(name, 3, (entry,)), 0.1)

    wall = dashboard_builder.create_dashboard(
        HEALTHY, {"vm1": node("vm1", 5.0, 9), "vm2": node("vm2", 0.2, 4)}, 0.1
    )
    assert (
        wall.upstreams[0].in_flight,
        wall.upstreams[0].limit,
    ) == (4, 8.0)
    assert (
        wall.rows[0].in_flight,
        wall.rows[0].arrivals_per_second,
    ) == (
        4,
        2.0,
    )


async def test_all_controls_display_a_refusal(
    system: local.LocalSystem,
) -> None:
    entry = f"http://{local.HOST}:{system.base_port + local.ENTRY_OFFSET}"
    body = {"model": "nobody", "messages": [{}]}
    url = f"{entry}/v1/chat/completions"

    async def wait_for_refusal(index: int) -> Any:
        port = system.base_port + local.CONTROL_OFFSET + index
        events = f"http://{local.HOST}:{port}/wall/events"
        async with system.session.get(events) as response:
            async for line in response.content:
                if not line.startswith(b"data: "):
                    continue
                wall = json.loads(line.removeprefix(b"data: "))
                if wall["refusals"]:
                    return wall
        return None

    async def refuse() -> None:
        await asyncio.sleep(1.0)
        async with system.session.post(url, json=body) as response:
            assert response.status == 404

    first, last, _ = await asyncio.wait_for(
        asyncio.gather(wait_for_refusal(0), wait_for_refusal(3), refuse()), 10
    )
    for wall in (first, last):
        assert wall["refusals"] == [
            {"reason": "unknown_model", "last_minute": 1}
        ]
        assert len(wall["rows"]) == len(local.ROWS)
    page = f"http://{local.HOST}:{system.base_port + local.CONTROL_OFFSET}/"
    async with system.session.get(page) as response:
        assert response.status == 200
