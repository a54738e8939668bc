"""Connections for calls of plain services, and checks of where answers end."""

from typing import Final

import aiohttp

from cicadahook.core import answer_ends
from cicadahook.core import clock as clock_lib
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.core import view
from cicadahook.net import answer_protocol
from cicadahook.net import end_checks
from cicadahook.net import logs
from cicadahook.net import upstream_connections

MAX_HEALTH_BYTES: Final = 64 * 1024
# A proxy states such a status for a service that is gone.
FIRST_FAILURE_STATUS: Final = 500

logger: Final = logs.create_logger("services")


class ServiceConnections:
    """Opens a new connection for each call, and keeps some for questions.

    Attributes:
        clock: the time.
        calls: session for calls, whose connections are used once.
        questions: session for questions whether services live on.
        end_checks: checks answers that ended with their connection.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        lost = answer_ends.LostConnections(clock)
        self.calls = answer_protocol.open_session(keepalive=0.0, lost=lost)
        self.questions = answer_protocol.open_session(
            max_body_bytes=MAX_HEALTH_BYTES, lost=lost
        )
        self.end_checks = end_checks.EndChecker(lost, self.ask)

    async def close(self) -> None:
        """Close all connections."""
        await self.end_checks.close()
        await self.questions.close()
        await self.calls.close()

    async def read(
        self,
        response: aiohttp.ClientResponse,
        upstream: view.Upstream,
        request_id: str,
    ) -> bytes:
        """Return the complete body of an answer to a call.

        Args:
            response: the answer.
            upstream: the service that gives it.
            request_id: id of the request, for the log.

        Raises:
            aiohttp.ClientPayloadError: it is not shown to be complete.
        """
        body_end = answer_protocol.find_body_end(response)
        if body_end is not forwarding.BodyEnd.CLOSE:
            return await response.read()
        instance = inventory.Instance(
            upstream.address,
            upstream.service,
            upstream.address,
            upstream.zone,
            slots=0,
        )
        # The question opens a connection besides that of the answer.
        self.end_checks.prepare(instance)
        body = await response.read()
        ended = answer_protocol.check_end(response)
        assert ended is not None, "the session records losses"
        await self.end_checks.check(instance, ended, request_id)
        return body

    async def ask(
        self, instance: inventory.Instance
    ) -> answer_ends.Reply | None:
        """Return what a service replies now; None if nothing in time.

        Services don't tell one start from another.
        """
        path = upstream_connections.SERVICE_HEALTH_PATH
        timeout = upstream_connections.PROBE_TIMEOUT.total_seconds()
        try:
            async with self.questions.get(
                f"http://{instance.address}{path}",
                timeout=aiohttp.ClientTimeout(timeout),
                allow_redirects=False,
            ) as response:
                await response.read()
        except (aiohttp.ClientError, OSError) as error:
            logger.info(
                "Service %s did not answer: %r.", instance.address, error
            )
            return None
        if response.status >= FIRST_FAILURE_STATUS:
            logger.info(
                "Service %s is not well: status %d.",
                instance.address,
                response.status,
            )
            return None
        return answer_ends.Reply(
            answer_protocol.find_opened(response) or self.clock.now(),
            is_same_start=True,
        )
