"""Connections of a node to the upstreams, whatever is sent on them."""

from typing import Final

from cicadahook.core import answer_ends
from cicadahook.core import clock as clock_lib
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.net import connection_pools
from cicadahook.net import end_checks
from cicadahook.net import link_probe
from cicadahook.net import upstream_answers

# A report names a few hundred models, adapters and requests.
MAX_REPORT_BYTES: Final = 1024 * 1024


class UpstreamPools:
    """Keeps connections to upstreams open.

    Attributes:
        clock: the time.
        pools: connections for callers' requests.
        order_pools: connections for orders and reports.
        buffer: bytes of all plain answers that are being read.
        links: passes on what calls show of the links.
        end_checks: checks answers that end with their connection.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.links = upstream_answers.LinkWatch()
        self.buffer = upstream_answers.AnswerBuffer()
        connections = answer_ends.UpstreamConnections(clock)
        self.end_checks = end_checks.EndChecker(connections)
        self.pools = connection_pools.ConnectionPools(
            clock, resets=False, connections=connections
        )
        self.order_pools = connection_pools.ConnectionPools(
            clock,
            resets=True,
            max_body_bytes=MAX_REPORT_BYTES,
            connections=connections,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.pools.close()
        await self.order_pools.close()

    async def probe(self, instance: inventory.Instance) -> forwarding.LinkEvent:
        """Return what a new connection shows of the link to an upstream."""
        return await link_probe.probe(instance)
