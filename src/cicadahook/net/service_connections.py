"""Connections for calls of plain services, and checks of where answers end."""

import aiohttp

from cicadahook.core import answer_ends
from cicadahook.core import clock as clock_lib
from cicadahook.net import answer_protocol
from cicadahook.net import end_checks


class ServiceConnections:
    """Opens a new connection for each call.

    Attributes:
        calls: session for calls, whose connections are used once.
        end_checks: checks answers that ended with their connection.
    """

    def __init__(self, clock: clock_lib.Clock, node: str) -> None:
        connections = answer_ends.UpstreamConnections(clock)
        self.end_checks = end_checks.EndChecker(connections, node)
        self.calls = answer_protocol.open_session(
            keepalive=0.0, connections=connections
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.calls.close()

    async def read(
        self, response: aiohttp.ClientResponse, address: str, request_id: str
    ) -> bytes:
        """Return the complete body of an answer to a call.

        Args:
            response: the answer.
            address: `host:port` of the service that gives it.
            request_id: id of the request, for the log.

        Raises:
            aiohttp.ClientPayloadError: it is not shown to be complete.
        """
        with self.end_checks.watch(response, address, request_id) as check_end:
            body = await response.read()
            ended = answer_protocol.check_end(response)
            if ended is not None:
                await check_end(ended)
        return body
