"""Tests the dispatcher's futures and its timer."""

import asyncio
import dataclasses
import datetime
from typing import Final

import pytest

from cicadahook.core import admission
from cicadahook.core import errors
from cicadahook.core import request as request_lib
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib
from cicadahook.net import clock as clock_lib
from cicadahook.net import dispatch

ROW: Final = table_lib.Row(
    "a", table_lib.RowKind.MODEL, memory_bytes=1, max_in_flight=1
)
SERVED: Final = admission.AttemptResult(admission.AttemptEnd.SERVED)
VIEW: Final = view_lib.View(
    number=1,
    table=table_lib.Table(1, (ROW,)),
    upstreams=(view_lib.Upstream("u1", "z1", view_lib.UpstreamKind.ENGINE),),
    copies=(view_lib.Copy("a", "u1", "1", view_lib.CopyState.SERVING),),
    members=(view_lib.Member("e0", "1:1", "1:2", "z1"),),
)


@pytest.fixture(name="dispatcher")
def create_dispatcher() -> dispatch.Dispatcher:
    """Return a dispatcher whose only row admits one request at a time."""
    created = dispatch.Dispatcher(
        admission.AdmissionMode(entry="e0"), clock_lib.SystemClock()
    )
    created.view = VIEW
    return created


def create_request(
    dispatcher: dispatch.Dispatcher, seconds: float = 20.0
) -> request_lib.Request:
    """Return a request that arrives now."""
    now = dispatcher.clock.now()
    deadline = now + datetime.timedelta(seconds=seconds)
    return request_lib.Request("1", "a", "/", now, deadline)


def acquire(
    dispatcher: dispatch.Dispatcher, seconds: float = 20.0
) -> asyncio.Task[admission.Grant]:
    """Start a task that waits for a grant."""
    request = create_request(dispatcher, seconds)
    return asyncio.create_task(dispatcher.acquire(request, ROW))


def count_own(dispatcher: dispatch.Dispatcher) -> int:
    """Return the number of requests in flight at the only upstream."""
    return dispatcher.admitter.loads.get("u1").own


async def test_next_caller_gets_the_freed_slot(
    dispatcher: dispatch.Dispatcher,
) -> None:
    first = await acquire(dispatcher)
    waiting = acquire(dispatcher)
    await asyncio.sleep(0)
    assert not waiting.done()
    dispatcher.release(first, SERVED)
    dispatcher.release(await waiting, SERVED)
    assert count_own(dispatcher) == 0
    assert dispatcher.timer is None


@pytest.mark.parametrize("leaves_first", [True, False])
async def test_leaving_caller_leaks_no_slot(
    dispatcher: dispatch.Dispatcher, leaves_first: bool
) -> None:
    first = await acquire(dispatcher)
    leaving, next_one = acquire(dispatcher), acquire(dispatcher)
    await asyncio.sleep(0)
    if leaves_first:
        leaving.cancel()
    dispatcher.release(first, SERVED)
    # Without the first cancellation, the caller leaves in the same step in
    # which the grant is made.
    leaving.cancel()
    with pytest.raises(asyncio.CancelledError):
        await leaving
    dispatcher.release(await next_one, SERVED)
    assert count_own(dispatcher) == 0
    assert not dispatcher.waiting and not dispatcher.admitter.queue.waiters


async def test_waiting_caller_is_refused_by_its_deadline(
    dispatcher: dispatch.Dispatcher,
) -> None:
    first = await acquire(dispatcher)
    with pytest.raises(errors.RefusalError) as caught:
        await acquire(dispatcher, seconds=0.05)
    assert caught.value.code == "too_late"
    assert caught.value.outcome is errors.Outcome.NOT_RUN
    assert caught.value.retry_after
    dispatcher.release(first, SERVED)
    assert count_own(dispatcher) == 0


async def test_view_change_answers_waiting_requests(
    dispatcher: dispatch.Dispatcher,
) -> None:
    first = await acquire(dispatcher)
    waiting = acquire(dispatcher)
    await asyncio.sleep(0)
    dispatcher.view = dataclasses.replace(VIEW, copies=())
    with pytest.raises(errors.RefusalError) as caught:
        await waiting
    assert caught.value.code == "no_copy"
    dispatcher.release(first, SERVED)


async def test_report_contains_use_and_demand(
    dispatcher: dispatch.Dispatcher,
) -> None:
    dispatcher.record_arrival(ROW)
    grant = await acquire(dispatcher)
    assert dispatcher.create_uses() == (view_lib.UpstreamUse("u1", 1),)
    assert dispatcher.collect_demands() == (view_lib.RowDemand("a", 1, 0, 1),)
    dispatcher.release(grant, SERVED)
    assert not dispatcher.collect_demands()
