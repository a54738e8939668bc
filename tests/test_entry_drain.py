"""Tests requests and records when an entry is asked to stop."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import datetime
from typing import Any

import aiohttp
from aiohttp import web
import pytest

from cicadahook.net import http_server
from cicadahook.programs import daemon
from cicadahook.programs import entry as entry_program
from cicadahook.programs import local
import test_entry_failures

# A stream of this many tokens lasts for about 18 s.
LONG_STREAM_TOKENS = 3000
# Stopping takes less than 1 s, apart from what it waits for.
STOP_LIMIT_SECONDS = 10.0
STOPPED = 1
CALLERS = 4
SERVER_STOPS = 10
SERVE_SECONDS = 0.02
GRACE_PERIOD = datetime.timedelta(seconds=4)
# A few chunks of this size fill all buffers on the way to a caller.
FLOOD_BYTES = 1_000_000


@contextlib.asynccontextmanager
async def stop_beside_stream(
    system: local.LocalSystem,
) -> AsyncIterator[asyncio.Task[None]]:
    """Stop an entry that streams a long answer; yield the stopping task."""
    stopping = test_entry_failures.list_entries(system)[STOPPED]
    url = f"{test_entry_failures.entry_url(system, STOPPED)}/v1/completions"
    body = {
        "model": "inspector",
        "prompt": "a long prompt",
        "max_tokens": LONG_STREAM_TOKENS,
        "stream": True,
    }
    async with system.session.post(url, json=body) as stream:
        assert stream.status == 200
        system.daemons.remove(stopping)
        stop = asyncio.create_task(stopping.stop())
        await test_entry_failures.wait_until(lambda: stopping.entry.is_closing)
        yield stop
        assert not stop.done(), "the stop did not wait for the stream"
        stream.close()
    await stop


def list_successors(
    system: local.LocalSystem, owner: str
) -> list[entry_program.EntryDaemon]:
    """Return the entries that hold all records of the entry `owner`."""
    return [
        part
        for part in test_entry_failures.list_entries(system)
        if any(
            held.entry == owner and inherited.is_complete
            for held, inherited in part.entry.ledger.inherited.items()
        )
    ]


async def test_records_are_handed_over_before_a_long_stream_ends(
    system: local.LocalSystem,
) -> None:
    """Otherwise they are lost if the process is killed while it streams."""
    prefix = (await test_entry_failures.locate(system, STOPPED))["key_prefix"]
    booked = await test_entry_failures.book(system, prefix + "1", "a", STOPPED)
    async with stop_beside_stream(system):
        async with asyncio.timeout(STOP_LIMIT_SECONDS):
            await test_entry_failures.wait_until(
                lambda: len(list_successors(system, "vm2")) == 2
            )
        again = await test_entry_failures.book(
            system, prefix + "1", "a", STOPPED
        )
        assert again == booked


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("POST", "/v1/completions", {"model": "inspector", "prompt": "short"}),
        ("GET", "/services/portal/bookings", None),
        ("POST", "/services/portal/bookings", {"name": "a"}),
    ],
    ids=["completion", "idempotent", "forwarded"],
)
async def test_a_stopping_entry_runs_nothing_because_of_a_key(
    system: local.LocalSystem,
    method: str,
    path: str,
    body: dict[str, str] | None,
) -> None:
    """A request with a key is accepted only for its record."""
    elsewhere = (await test_entry_failures.locate(system, 0))["key_prefix"]
    url = test_entry_failures.entry_url(system, STOPPED) + path
    async with stop_beside_stream(system):
        async with system.session.request(
            method,
            url,
            json=body,
            headers={"Idempotency-Key": elsewhere + "1"},
        ) as response:
            answer = await response.json()
        assert (response.status, answer.get("code")) == (503, "draining")
        assert answer["outcome"] == "unknown"
    assert not system.service.runs


async def test_callers_of_a_stopping_entry_lose_no_request(
    system: local.LocalSystem,
) -> None:
    """Each request is answered, or not sent since no connection opens."""
    stopping = test_entry_failures.list_entries(system)[STOPPED]
    url = f"{test_entry_failures.entry_url(system, STOPPED)}/v1/completions"
    answers: list[int] = []

    async def call_until_refused() -> None:
        async with aiohttp.ClientSession() as session:
            with contextlib.suppress(aiohttp.ClientConnectorError):
                while True:
                    async with session.post(
                        url, json={"model": "inspector", "prompt": "a prompt"}
                    ) as response:
                        await response.read()
                        answers.append(response.status)

    callers = [
        asyncio.create_task(call_until_refused()) for _ in range(CALLERS)
    ]
    await test_entry_failures.wait_until(lambda: len(answers) >= CALLERS)
    system.daemons.remove(stopping)
    await stopping.stop()
    await asyncio.gather(*callers)
    assert set(answers) <= {200, 503}


@pytest.mark.parametrize(
    "path",
    ["/v1/chat/completions", "/v1/completions", "/services/portal/bookings"],
)
async def test_a_body_without_an_end_does_not_keep_an_entry_from_ending(
    system: local.LocalSystem, path: str
) -> None:
    entry = test_entry_failures.list_entries(system)[STOPPED].entry
    reader, writer = await asyncio.open_connection(*entry.address.split(":"))
    with contextlib.closing(writer):
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: {entry.address}\r\n"
            "X-Deadline-Ms: 300\r\nContent-Length: 100\r\n\r\nbegin".encode()
        )
        await test_entry_failures.wait_until(
            lambda: entry.open_request_count > 0
        )
        async with asyncio.timeout(STOP_LIMIT_SECONDS):
            await entry.drain()
            answer = await reader.readuntil(b"\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 408 ")


async def test_a_caller_that_reads_nothing_does_not_keep_an_entry_from_ending(
    system: local.LocalSystem, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def flood(*_: object) -> AsyncIterator[dict[str, Any]]:
        while True:
            yield {"choices": [{"text": "x" * FLOOD_BYTES}]}

    entry = test_entry_failures.list_entries(system)[STOPPED].entry
    monkeypatch.setattr(entry.relay, "stream", flood)
    body = b'{"model": "inspector", "prompt": "a prompt", "stream": true}'
    _, writer = await asyncio.open_connection(*entry.address.split(":"))
    with contextlib.closing(writer):
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: {entry.address}\r\n"
            f"X-Deadline-Ms: 300\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await test_entry_failures.wait_until(
            lambda: entry.open_request_count > 0
        )
        async with asyncio.timeout(STOP_LIMIT_SECONDS):
            await entry.drain()


@pytest.fixture(name="killed_soon")
def limit_grace_period(system: local.LocalSystem) -> entry_program.EntryDaemon:
    """Return an entry that must end within its grace period."""
    part = test_entry_failures.list_entries(system)[STOPPED]
    part.entry.mode = dataclasses.replace(
        part.entry.mode,
        drain=datetime.timedelta(minutes=1),
        grace_period=GRACE_PERIOD,
    )
    return part


@pytest.mark.parametrize("is_stream", [True, False], ids=["stream", "whole"])
async def test_an_entry_answers_the_requests_that_it_cuts_off(
    system: local.LocalSystem,
    killed_soon: entry_program.EntryDaemon,
    is_stream: bool,
) -> None:
    body = {
        "model": "inspector",
        "prompt": "a long prompt",
        "max_tokens": LONG_STREAM_TOKENS,
        "stream": is_stream,
    }
    url = f"{test_entry_failures.entry_url(system, STOPPED)}/v1/completions"
    system.daemons.remove(killed_soon)
    async with asyncio.timeout(GRACE_PERIOD.total_seconds()):
        stop = asyncio.create_task(killed_soon.stop())
        async with system.session.post(url, json=body) as response:
            content = await response.text()
            assert response.status == (200 if is_stream else 504)
        await stop
    assert '"outcome": "unknown"' in content
    assert ('"code": "stopping"' in content) or (
        '"code": "deadline_passed"' in content
    )


async def test_a_call_under_way_at_the_end_is_recorded_and_handed_over(
    system: local.LocalSystem, killed_soon: entry_program.EntryDaemon
) -> None:
    """Its resend is not run, whichever entry gets it."""
    system.service.faults.faults = dataclasses.replace(
        system.service.faults.faults, silent=True
    )
    key = (await test_entry_failures.locate(system, STOPPED))[
        "key_prefix"
    ] + "1"
    calling = asyncio.create_task(
        test_entry_failures.book(system, key, "a", STOPPED)
    )
    await test_entry_failures.wait_until(
        lambda: bool(killed_soon.entry.call_runner.runs)
    )
    system.daemons.remove(killed_soon)
    async with asyncio.timeout(GRACE_PERIOD.total_seconds()):
        await killed_soon.stop()
    status, body = await calling
    assert (status, body["outcome"]) == (504, "unknown")
    assert len(list_successors(system, "vm2")) == 2
    status, body = await test_entry_failures.book(system, key, "a", 0)
    assert (status, body["code"]) == (502, "outcome_unknown")


async def test_a_stopping_server_answers_callers_that_have_just_connected() -> (
    None
):
    """Guards against callers without an answer and a stop that takes 60 s."""

    async def answer(request: web.Request) -> web.Response:
        response = web.json_response({"path": request.path})
        response.force_close()
        return response

    async def call_until_refused(address: str) -> None:
        async with daemon.open_session() as session:
            with contextlib.suppress(aiohttp.ClientConnectorError):
                while True:
                    async with session.post(f"http://{address}/") as response:
                        await response.read()

    for _ in range(SERVER_STOPS):
        app = web.Application()
        app.router.add_post("/", answer)
        server = http_server.Server(app, local.HOST, 0)
        await server.start()
        callers = [
            asyncio.create_task(call_until_refused(server.address))
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(SERVE_SECONDS)
        async with asyncio.timeout(STOP_LIMIT_SECONDS):
            await server.stop()
            await asyncio.gather(*callers)
