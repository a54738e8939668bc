"""What becomes of requests and records when an entry is told to stop."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
from typing import Any

import aiohttp
import pytest

from cicadahook.programs import entry as entry_program
from cicadahook.programs import local
import test_failures

# A stream of so many tokens lasts for some 18 s.
LONG_STREAM_TOKENS = 3000
# Stopping takes no second, but for what it waits for.
STOP_LIMIT_SECONDS = 10.0
STOPPED = 1
CALLERS = 4
# Some parts of this size fill all buffers on the way to a caller.
FLOOD_BYTES = 1_000_000


@contextlib.asynccontextmanager
async def stop_beside_stream(
    system: local.LocalSystem,
) -> AsyncIterator[asyncio.Task[None]]:
    """Stop an entry that streams a long answer; yield its stop."""
    stopping = test_failures.list_entries(system)[STOPPED]
    url = f"{test_failures.entry_url(system, STOPPED)}/v1/completions"
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
        await test_failures.wait_until(lambda: stopping.entry.is_closing)
        yield stop
        assert not stop.done(), "the stream was not waited for"
        stream.close()
    await stop


def list_heirs(
    system: local.LocalSystem, owner: str
) -> list[entry_program.EntryDaemon]:
    """Return the entries that hold all records of the entry `owner`."""
    return [
        part
        for part in test_failures.list_entries(system)
        if any(
            held.entry == owner and heritage.is_complete
            for held, heritage in part.entry.ledger.heritage.items()
        )
    ]


async def test_records_are_handed_over_before_a_long_stream_ends(
    system: local.LocalSystem,
) -> None:
    """Else they are lost if the process is killed while it streams."""
    prefix = (await test_failures.locate(system, STOPPED))["key_prefix"]
    booked = await test_failures.book(system, prefix + "1", "a", STOPPED)
    async with stop_beside_stream(system):
        async with asyncio.timeout(STOP_LIMIT_SECONDS):
            await test_failures.wait_until(
                lambda: len(list_heirs(system, "vm2")) == 2
            )
        again = await test_failures.book(system, prefix + "1", "a", STOPPED)
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
async def test_an_entry_that_ends_begins_nothing_because_of_a_key(
    system: local.LocalSystem,
    method: str,
    path: str,
    body: dict[str, str] | None,
) -> None:
    """A key lets a resend in for its record, and nothing else."""
    elsewhere = (await test_failures.locate(system, 0))["key_prefix"]
    url = test_failures.entry_url(system, STOPPED) + path
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


async def test_callers_of_an_entry_that_ends_lose_no_request_with_it(
    system: local.LocalSystem,
) -> None:
    """Each one is answered, or is not sent for lack of a connection."""
    stopping = test_failures.list_entries(system)[STOPPED]
    url = f"{test_failures.entry_url(system, STOPPED)}/v1/completions"
    answers: list[int] = []

    async def call_until_gone() -> None:
        async with aiohttp.ClientSession() as session:
            with contextlib.suppress(aiohttp.ClientConnectorError):
                while True:
                    async with session.post(
                        url, json={"model": "inspector", "prompt": "a prompt"}
                    ) as response:
                        await response.read()
                        answers.append(response.status)

    callers = [asyncio.create_task(call_until_gone()) for _ in range(CALLERS)]
    await test_failures.wait_until(lambda: len(answers) >= CALLERS)
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
    entry = test_failures.list_entries(system)[STOPPED].entry
    reader, writer = await asyncio.open_connection(*entry.address.split(":"))
    with contextlib.closing(writer):
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: {entry.address}\r\n"
            "X-Deadline-Ms: 300\r\nContent-Length: 100\r\n\r\nbegin".encode()
        )
        await test_failures.wait_until(lambda: entry.open_requests > 0)
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

    entry = test_failures.list_entries(system)[STOPPED].entry
    monkeypatch.setattr(entry.relay, "stream", flood)
    body = b'{"model": "inspector", "prompt": "a prompt", "stream": true}'
    _, writer = await asyncio.open_connection(*entry.address.split(":"))
    with contextlib.closing(writer):
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: {entry.address}\r\n"
            f"X-Deadline-Ms: 300\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await test_failures.wait_until(lambda: entry.open_requests > 0)
        async with asyncio.timeout(STOP_LIMIT_SECONDS):
            await entry.drain()
