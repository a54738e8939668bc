"""Tests that entries take no cut answer of a plain service for a whole one."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
from typing import Final

import pytest

from cicadahook.core import view as view_lib
from cicadahook.programs import entry as entry_program
from cicadahook.programs import local
import dying_upstream

PARTS: Final = 12
WHOLE: Final = b"".join(dying_upstream.create_parts(PARTS))
# In the middle of all answers, between two parts.
KILL_AFTER_SECONDS: Final = 5.5 * dying_upstream.PART_SECONDS
BOOKINGS: Final = "/bookings"
PAGES: Final = "/pages"
ENTRY_COUNT: Final = 2

Answer = tuple[int, bytes]


def list_services(view: view_lib.View) -> set[str]:
    """Return the addresses of the plain services that an entry knows."""
    return {
        upstream.address
        for upstream in view.upstreams
        if upstream.kind is view_lib.UpstreamKind.SERVICE
    }


@contextlib.asynccontextmanager
async def replace_service(
    system: local.LocalSystem, *framings: str
) -> AsyncIterator[list[dying_upstream.Child]]:
    """Let processes take the place of the plain service."""
    children = [dying_upstream.Child(each, 1, PARTS) for each in framings]
    try:
        for child in children:
            child.start()
        *engines, portal = system.vm_list.vms
        system.vm_list.vms = (
            *engines,
            *(
                dataclasses.replace(portal, address=child.address)
                for child in children
            ),
        )
        wanted = {child.address for child in children}
        for part in system.daemons:
            if isinstance(part, entry_program.EntryDaemon):
                while list_services(part.entry.view) != wanted:
                    await asyncio.sleep(0.01)
        yield children
    finally:
        for child in children:
            child.kill()


async def call(
    system: local.LocalSystem, path: str, key: str = "", index: int = 0
) -> Answer:
    """Return status and body of the answer to a call of the service."""
    headers = {"Idempotency-Key": key} if key else {}
    async with system.session.post(
        f"http://{system.entries[index]}/services/portal{path}",
        headers=headers,
    ) as response:
        return response.status, await response.read()


async def issue_key(system: local.LocalSystem) -> str:
    """Return a key that the first entry owns."""
    url = f"http://{system.entries[0]}/v1/locate"
    async with system.session.get(url) as response:
        return str((await response.json())["key_prefix"]) + "1"


@pytest.mark.parametrize("framing", dying_upstream.FRAMINGS)
@pytest.mark.parametrize("is_issued", (True, False))
async def test_a_cut_booking_is_unknown_and_not_recorded(
    system: local.LocalSystem, framing: str, is_issued: bool
) -> None:
    key = await issue_key(system) if is_issued else "own-1"
    async with replace_service(system, framing) as (service,):
        first = asyncio.create_task(call(system, BOOKINGS, key))
        await asyncio.sleep(KILL_AFTER_SECONDS)
        service.kill()
        answers = [await first]
        service.start()
        for index in range(ENTRY_COUNT):
            answers.append(await call(system, BOOKINGS, key, index))
    assert {status for status, _ in answers} == {502}
    assert all(b'"unknown"' in body for _, body in answers)


@pytest.mark.parametrize("framing", dying_upstream.FRAMINGS)
async def test_a_cut_answer_to_an_idempotent_call_is_asked_for_again(
    system: local.LocalSystem, framing: str
) -> None:
    async with replace_service(system, framing, framing) as services:
        calls = [asyncio.create_task(call(system, PAGES)) for _ in range(8)]
        await asyncio.sleep(KILL_AFTER_SECONDS)
        services[0].kill()
        answers = await asyncio.gather(*calls)
    assert answers == [(200, WHOLE)] * len(calls)


async def test_a_service_that_restarted_confirms_no_end_of_its_former_start(
    system: local.LocalSystem,
) -> None:
    async with replace_service(system, "close") as (service,):
        first = asyncio.create_task(call(system, BOOKINGS, "own-1"))
        await asyncio.sleep(KILL_AFTER_SECONDS)
        service.kill()
        # This blocks the event loop, so the entries see nothing before.
        service.start()
        status, body = await first
    assert status == 502 and b'"unknown"' in body


@pytest.mark.parametrize("framing", dying_upstream.FRAMINGS)
async def test_answers_of_a_service_that_lives_are_whole(
    system: local.LocalSystem, framing: str
) -> None:
    key = await issue_key(system)
    async with replace_service(system, framing):
        answers = await asyncio.gather(
            call(system, BOOKINGS, key),
            *(call(system, PAGES) for _ in range(4)),
        )
        answers.append(await call(system, BOOKINGS, key, 1))
    assert answers == [(200, WHOLE)] * len(answers)
