"""Takes the signals that arrive while a program is still being loaded.

Their default action ends the process at once. This module imports nothing that
takes time.
"""

import signal
import types
from typing import Final

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class EarlySignals:
    """Records signals until the event loop handles them.

    Attributes:
        has_stopped: whether a stop signal has arrived.
    """

    def __init__(self) -> None:
        self.has_stopped = False

    def install(self) -> None:
        """Handle stop signals, and the one to read the settings again."""
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, self.record)

    def record(self, number: int, frame: types.FrameType | None) -> None:
        """Record a signal; settings are read after it anyway."""
        del frame
        if number in STOP_SIGNALS:
            self.has_stopped = True
