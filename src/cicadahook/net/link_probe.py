"""Finds out what a new connection shows of the link to an upstream."""

import asyncio
import datetime
from typing import Final

from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.net import logs
from cicadahook.net import upstream_answers

TIMEOUT: Final = datetime.timedelta(milliseconds=500)

logger: Final = logs.create_logger("upstreams")


async def probe(instance: inventory.Instance) -> forwarding.LinkEvent:
    """Return what a new connection shows of the link to an upstream."""
    host, port = instance.address.rsplit(":", 1)
    try:
        async with asyncio.timeout(TIMEOUT.total_seconds()):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError as error:
        logger.info(
            "Probe of an upstream not answered.",
            extra={"instance": instance.id, "error": repr(error)},
        )
        if (
            isinstance(error, TimeoutError)
            or error.errno in upstream_answers.UNANSWERED
        ):
            return forwarding.LinkEvent.SILENT
        return forwarding.LinkEvent.REFUSED
    writer.close()
    return forwarding.LinkEvent.CONNECTED
