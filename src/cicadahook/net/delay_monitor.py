"""Observes what makes a node late while nothing fails.

An event loop that is held up delays everything on its node, and a store that
turns the node away leaves it to what others tell it.
"""

import asyncio
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import store_contact
from cicadahook.net import logs
from cicadahook.net import metrics

PERIOD: Final = datetime.timedelta(milliseconds=250)
# Changes in the store pass two event loops on their way to most nodes.
MAX_LOOP_DELAY: Final = datetime.timedelta(milliseconds=250)

logger: Final = logs.create_logger("delays")


class DelayMonitor:
    """Records delays of the event loop, and logs losses of the store.

    Attributes:
        clock: the time.
        contact: whether the store answers this node.
        was_lost: whether it did not at the last look.
    """

    def __init__(
        self, clock: clock_lib.Clock, contact: store_contact.StoreContact
    ) -> None:
        self.clock = clock
        self.contact = contact
        self.was_lost = False

    async def run(self) -> None:
        """Observe until cancelled.

        The qualified name of this method is the value of a metric label.
        """
        while True:
            began = self.clock.now()
            await asyncio.sleep(PERIOD.total_seconds())
            self._record_delay(self.clock.now() - began - PERIOD)
            self._check_contact()

    def _record_delay(self, delay: datetime.timedelta) -> None:
        """Record by how much a timer was late."""
        delay = max(datetime.timedelta(), delay)
        metrics.record_loop_delay(delay)
        if delay > MAX_LOOP_DELAY:
            logger.info(
                "Event loop was held up.",
                extra={"delay_ms": delay // datetime.timedelta(milliseconds=1)},
            )

    def _check_contact(self) -> None:
        """Log a change of whether the store answers."""
        is_lost = self.contact.is_lost()
        if is_lost == self.was_lost:
            return
        self.was_lost = is_lost
        silence = self.contact.get_silence()
        logger.info(
            "Store contact changed.",
            extra={
                "is_lost": is_lost,
                "silent_ms": silence // datetime.timedelta(milliseconds=1),
            },
        )
