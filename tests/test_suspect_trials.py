"""Entries tell each other and new entries what crashed requests share."""

import datetime
import random

import aiohttp
import pytest_asyncio

from cicadahook.core import admission
from cicadahook.core import clock as clock_lib
from cicadahook.core import crash_suspects
from cicadahook.core import quarantine
from cicadahook.core import request as request_lib
from cicadahook.core import view
from cicadahook.net import dispatch
from cicadahook.net import suspect_trials

SECOND = datetime.timedelta(seconds=1)


def create_trials(
    clock: clock_lib.Clock, session: aiohttp.ClientSession
) -> suspect_trials.SuspectTrials:
    """Return the trials of an entry that knows no other."""
    return suspect_trials.SuspectTrials(
        quarantine.Quarantine(quarantine.QuarantineMode(), clock),
        clock,
        dispatch.Dispatcher(admission.AdmissionMode(), clock),
        session,
        "key",
        random.Random(1),
    )


def create_request(name: str, *parts: str) -> request_lib.Request:
    """Return a request with these shared parts."""
    return request_lib.Request(
        name,
        "row",
        "/v1/chat/completions",
        clock_lib.EPOCH,
        clock_lib.EPOCH + 9 * SECOND,
        fingerprint=name,
        shared_parts=parts,
    )


@pytest_asyncio.fixture(name="session")
async def open_session():  # type: ignore[no-untyped-def]
    """Yield an HTTP session."""
    async with aiohttp.ClientSession() as session:
        yield session


async def test_an_entry_that_starts_learns_parts_from_the_view(
    clock: clock_lib.ManualClock, session: aiohttp.ClientSession
) -> None:
    trials = create_trials(clock, session)
    for number in range(crash_suspects.FINAL_DEATHS):
        upstream = view.Upstream(
            f"u{number}", "", view.UpstreamKind.ENGINE, incarnation="a"
        )
        request = create_request(f"r{number}", "bad")
        await trials.record_death(request, upstream, clock.now() - SECOND)
    started = create_trials(clock, session)
    started.merge(trials.list_suspects())
    traits = create_request("r9", "bad").traits
    quarantined = crash_suspects.Verdict.QUARANTINED
    assert started.traits.check(traits) is quarantined
    other = create_request("r9", "fine").traits
    assert started.traits.check(other) is crash_suspects.Verdict.CLEAR


async def test_parts_expire_though_entries_tell_each_other(
    clock: clock_lib.ManualClock, session: aiohttp.ClientSession
) -> None:
    first, second = (create_trials(clock, session) for _ in range(2))
    upstream = view.Upstream("u", "", view.UpstreamKind.ENGINE, incarnation="a")
    await first.record_death(
        create_request("r", "bad"), upstream, clock.now() - SECOND
    )
    clock.advance(crash_suspects.EXPIRY - SECOND)
    second.merge(first.list_suspects())
    clock.advance(2 * SECOND)
    first.merge(second.list_suspects())
    second.merge(())
    assert not first.list_suspects()
    assert not second.list_suspects()
