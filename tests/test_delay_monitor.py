"""Tests of what a node logs when it is late while nothing fails."""

import asyncio
import time

import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import store_contact
from cicadahook.net import clock as system_clock
from cicadahook.net import delay_monitor


def test_the_store_is_lost_after_a_silence_that_is_not_usual(
    clock: clock_lib.ManualClock,
) -> None:
    contact = store_contact.StoreContact(clock)
    clock.advance(store_contact.MAX_SILENCE)
    assert not contact.is_lost()
    clock.advance(store_contact.MAX_SILENCE / 100)
    assert contact.is_lost()
    contact.record_answer()
    assert not contact.is_lost()


async def test_a_lost_store_and_a_held_up_loop_are_logged_once(
    clock: clock_lib.ManualClock, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO")
    contact = store_contact.StoreContact(clock)
    monitor = delay_monitor.DelayMonitor(system_clock.SystemClock(), contact)
    watching = asyncio.create_task(monitor.run())
    await asyncio.sleep(0)
    # Holds up the event loop.
    time.sleep(2 * delay_monitor.MAX_LOOP_DELAY.total_seconds() + 0.25)
    clock.advance(2 * store_contact.MAX_SILENCE)
    await asyncio.sleep(3 * delay_monitor.PERIOD.total_seconds())
    contact.record_answer()
    await asyncio.sleep(2 * delay_monitor.PERIOD.total_seconds())
    watching.cancel()
    changes = [
        record.__dict__["is_lost"]
        for record in caplog.records
        if record.message == "Store contact changed."
    ]
    assert changes == [True, False]
    assert "Event loop was held up." in caplog.messages
