"""Faults of other nodes: statuses that name eras and terms that never began."""

import asyncio
import random
import socket
from typing import Final

from cicadahook.core import roster as roster_lib
from cicadahook.net import status_codec
from soak import node_faults

STATUSES: Final = (1, 12)
FALSE_ERAS: Final = (0, 2, 7, 2**40)
FALSE_TERMS: Final = (0, 2**33, 2**62)


@node_faults.register
async def send_false_statuses(
    injector: node_faults.FaultInjector, rng: random.Random
) -> None:
    """Send some nodes statuses that name a later era or a newer term."""
    nodes = injector.system.nodes
    targets = rng.sample(nodes, rng.randint(1, len(nodes)))
    record = roster_lib.NodeRecord("faulty", "z", "r", "f:1", "p:1", 1)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(rng.randint(*STATUSES)):
            status = roster_lib.NodeStatus(
                record,
                injector.checker.results.counts["false_statuses"] + 1,
                is_ready=False,
                is_holder=False,
                has_left=True,
                fence=0,
                newest_term=rng.choice(FALSE_TERMS),
                era=rng.choice(FALSE_ERAS),
            )
            injector.checker.results.counts["false_statuses"] += 1
            data = status_codec.encode(status, is_compact=bool(number % 2))
            for node in targets:
                sender.sendto(data, (node.host, node.base + 3))
            await asyncio.sleep(roster_lib.STATUS_PERIOD.total_seconds())
