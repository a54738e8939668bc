"""Tracks the open connections that a node keeps to each upstream.

Designed for fleets in which each node sends few requests to each of many
upstreams, so that connections expire before they are used again. A node prefers
upstreams to which it keeps one. It so uses a part of the upstreams, as many as
its requests keep busy, and other nodes use other parts.
"""

import collections
from collections.abc import Collection
import datetime
from typing import Final

from cicadahook.core import hashing
from cicadahook.core import inventory

# Lifetime of an unused connection where its upstream states no time limit.
DEFAULT_LIFETIME: Final = datetime.timedelta(seconds=4)
MIN_LIFETIME: Final = datetime.timedelta(seconds=0.5)
MAX_LIFETIME: Final = datetime.timedelta(seconds=30)
# A connection is dropped this long before the upstream would close it, so that
# no request is sent on one that is being closed.
EXPIRY_MARGIN: Final = datetime.timedelta(seconds=2)
# A new connection takes a round trip, time and a descriptor of the upstream:
# about as much as one more request in the batch of an engine.
NEW_CONNECTION_MS: Final = 8.0
# Difference between the new connections that a node likes most and least.
PREFERENCE_MS: Final = 4.0


class KeptConnections:
    """The kept connections of one node.

    Attributes:
        node: name of the node.
        expiries: when the unused connections expire, by address of the
            upstream; the one that is used next comes first.
        lifetimes: how long upstreams let unused connections be kept, by
            address.
        shortest: the shortest of these times, by service.
    """

    def __init__(self, node: str) -> None:
        self.node = node
        self.expiries: dict[str, collections.deque[datetime.datetime]] = {}
        self.lifetimes: dict[str, datetime.timedelta] = {}
        self.shortest: dict[str, datetime.timedelta] = {}

    def record_timeout(
        self, instance: inventory.Instance, stated: datetime.timedelta
    ) -> None:
        """Record after what time an upstream says that it closes connections.

        The shortest time of a service applies to all of its upstreams.
        """
        lifetime = max(stated - EXPIRY_MARGIN, stated / 4)
        lifetime = min(MAX_LIFETIME, max(MIN_LIFETIME, lifetime))
        self.lifetimes[instance.address] = lifetime
        shortest = self.shortest.get(instance.service, lifetime)
        self.shortest[instance.service] = min(shortest, lifetime)

    def get_lifetime(self, instance: inventory.Instance) -> datetime.timedelta:
        """Return how long an unused connection to an upstream is kept."""
        return self.shortest.get(instance.service, DEFAULT_LIFETIME)

    def take(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> None:
        """Record that a request is sent, on a kept connection if possible."""
        if self.count(instance, now):
            self.expiries[instance.address].popleft()

    def keep(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> None:
        """Record that a connection is not used any more, and is kept."""
        expiries = self.expiries.setdefault(
            instance.address, collections.deque()
        )
        expiries.append(now + self.get_lifetime(instance))

    def count(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> int:
        """Return the number of unused connections to an upstream."""
        expiries = self.expiries.get(instance.address)
        if expiries is None:
            return 0
        while expiries and expiries[0] <= now:
            expiries.popleft()
        return len(expiries)

    def get_cost_ms(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> float:
        """Return what the connection for a request to an upstream costs."""
        if self.count(instance, now):
            return 0.0
        rank = hashing.hash64(f"{self.node}/{instance.address}") / 2**64
        return NEW_CONNECTION_MS + PREFERENCE_MS * rank

    def drop_unlisted(self, listed: Collection[inventory.Instance]) -> None:
        """Drop what is known of upstreams that are not in `listed`."""
        addresses = {entry.address for entry in listed}
        for known in (self.expiries, self.lifetimes):
            for address in known.keys() - addresses:
                del known[address]
        self.shortest.clear()
        for entry in listed:
            lifetime = self.lifetimes.get(entry.address)
            if lifetime is not None:
                shortest = self.shortest.get(entry.service, lifetime)
                self.shortest[entry.service] = min(shortest, lifetime)
