"""Log output: short sentences with a fixed prefix for each part."""

import enum
import logging
from typing import Final

from pythonjsonlogger import json as json_logger

PLAIN_FORMAT: Final = "%(asctime)s %(levelname)s %(name)s: %(message)s"
JSON_FIELDS: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"


class LogFormat(enum.StrEnum):
    """How log lines are written."""

    PLAIN = "plain"
    JSON = "json"


def setup(log_format: LogFormat, level: str) -> None:
    """Send all log records to standard error in `log_format`."""
    handler = logging.StreamHandler()
    formatter: logging.Formatter = logging.Formatter(PLAIN_FORMAT)
    if log_format is LogFormat.JSON:
        formatter = json_logger.JsonFormatter(JSON_FIELDS)
    handler.setFormatter(formatter)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


def create_logger(part: str) -> logging.Logger:
    """Return the logger whose lines carry the prefix `part`."""
    return logging.getLogger(part)
