"""Set-up of log output, with one logger for each component."""

import datetime
import enum
import logging
import logging.handlers
import queue
import sys
from typing import Any, Final

from pythonjsonlogger import json as json_logger

PLAIN_FORMAT: Final = "%(asctime)s %(levelname)s %(name)s: %(message)s"
JSON_FIELDS: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Lines that may be queued for a slow reader of standard output.
MAX_QUEUED_LINES: Final = 5000


class LogFormat(enum.StrEnum):
    """How log lines are written."""

    PLAIN = "plain"
    JSON = "json"


class DroppingQueueHandler(logging.handlers.QueueHandler):
    """Drops lines when the queue is full, and counts them.

    Attributes:
        dropped: lines dropped since one was last accepted.
    """

    dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Add a line without blocking; drop it if the queue is full."""
        try:
            if self.dropped:
                record.dropped_before = self.dropped
            self.queue.put_nowait(record)
            self.dropped = 0
        except queue.Full:
            self.dropped += 1


def setup(log_format: LogFormat, level: str) -> None:
    """Write all log records to standard error in `log_format`."""
    handler = logging.StreamHandler()
    formatter: logging.Formatter = logging.Formatter(PLAIN_FORMAT)
    if log_format is LogFormat.JSON:
        formatter = json_logger.JsonFormatter(JSON_FIELDS)
    handler.setFormatter(formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


def setup_stream(level: str = "INFO") -> logging.handlers.QueueListener:
    """Write all log records to standard output, one JSON object per line.

    A thread writes them, so that a stalled reader does not delay requests.
    """
    writer = logging.StreamHandler(sys.stdout)
    writer.setFormatter(json_logger.JsonFormatter(JSON_FIELDS))
    lines: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
    listener = logging.handlers.QueueListener(lines, writer)
    handler = DroppingQueueHandler(lines)
    # The thread adds the other fields to the message.
    handler.setFormatter(logging.Formatter("%(message)s"))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    listener.start()
    return listener


def create_logger(part: str) -> logging.Logger:
    """Return the logger of the component `part`."""
    return logging.getLogger(part)


def describe_value(value: Any) -> Any:
    """Return a value as it is logged; durations in seconds."""
    if isinstance(value, datetime.timedelta):
        return value.total_seconds()
    return value
