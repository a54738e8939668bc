"""The token bucket of one tenant over all nodes, as one node sees it."""

import collections
import dataclasses
import math
from typing import Final

from cicadahook.core import tenants

# Averaging time of the rates by which peers extrapolate, in seconds. With 2 s,
# the smallest tenants lose more by noise, and a surge shows no sooner.
RATE_PERIOD: Final = 5.0
# Part of the difference to the levels of all heard nodes by which a node adapts
# its own level in one round.
LEVEL_GAIN: Final = 0.3
# Part of the nodes whose reports may be late without any effect: one of many
# reports is always lost.
LATE_SHARE: Final = 1 / 8
# What nodes may hold beyond the burst, as a share of what a tenant may use in
# WINDOW_SECONDS. A tenth is tolerated there. Without this part, nodes refuse what
# they only expect each other to use.
HEADROOM_SHARE: Final = 0.04
WINDOW_SECONDS: Final = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceStatement:
    """What a node tells others of a tenant.

    Attributes:
        tenant: name of the tenant.
        charged: units charged since the start of its process, without those
            refunded.
        rate: units that it charged in a second lately.
        level: units left at all nodes, as far as it knows.
    """

    tenant: str
    charged: int
    rate: int
    level: int


@dataclasses.dataclass
class PeerAccount:
    """What another node has told of one tenant.

    Attributes:
        incarnation: start of its process.
        charged: units that it has charged, as last told.
        rate: its recent rate, as last told.
        reported: when it last told, in seconds.
    """

    incarnation: int
    charged: int
    rate: float
    reported: float


@dataclasses.dataclass
class TokenBucket:
    """The allowance of one tenant as one node sees it.

    Times are in seconds.

    Attributes:
        allowance: the allowance over all nodes.
        level: units left; negative while a debt is paid back.
        updated: when the level was computed.
        own_charged: units that this node has charged since its start.
        own_rate: its recent rate as of `own_updated`.
        own_updated: when that was computed.
        recent: own charges that others may not have heard of, with times.
        recent_heard: charges of other nodes as they were heard, with times.
        peers: what other nodes have told, by name.
        heard: the nodes among these that are heard now.
        heard_rate: sum of their rates.
        heard_since: when the oldest of their last reports came, without the
            few of which one may be lost.
        past_rates: own rates since then, with times.
        part: part of the allowance that this node and those it hears may use.
        trusted_until: until when it may use all of it, heard or not.
        next_return: when the next caller who is refused should return.
    """

    allowance: tenants.Allowance
    level: float
    updated: float
    own_charged: float = 0.0
    own_rate: float = 0.0
    own_updated: float = 0.0
    recent: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )
    recent_heard: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )
    peers: dict[str, PeerAccount] = dataclasses.field(default_factory=dict)
    heard: frozenset[str] = frozenset()
    heard_rate: float = 0.0
    heard_since: float = math.inf
    past_rates: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )
    part: float = 1.0
    trusted_until: float = -math.inf
    next_return: float = 0.0

    def advance(self, now: float) -> None:
        """Fill the bucket and drain what heard nodes are expected to use."""
        passed = max(0.0, now - self.updated)
        self.updated = max(now, self.updated)
        gain = self.allowance.rate * self.part - self.heard_rate
        self.level = min(self.level + gain * passed, self.get_capacity())

    def get_capacity(self) -> float:
        """Return the highest level."""
        allowance = self.allowance
        usual = allowance.rate * WINDOW_SECONDS + allowance.burst
        return (allowance.burst + HEADROOM_SHARE * usual) * self.part

    def drain_own(self, cost: float, now: float) -> None:
        """Charge a request of this node."""
        self.level -= cost
        self.own_charged += cost
        self.own_rate = self.get_own_rate(now) + cost / RATE_PERIOD
        self.own_updated = now
        self.recent.append((now, cost))

    def refund_own(self, cost: float) -> None:
        """Give back what was charged for a request of this node lately.

        A bucket that is newer than the charge did not count it.
        """
        cost = min(cost, self.own_charged)
        self.level += cost
        self.own_charged -= cost
        self.own_rate = max(0.0, self.own_rate - cost / RATE_PERIOD)
        self.recent.append((self.own_updated, -cost))

    def get_own_rate(self, now: float) -> float:
        """Return the recent rate of this node."""
        return self.own_rate * math.exp((self.own_updated - now) / RATE_PERIOD)

    def sum_own(self, since: float) -> float:
        """Return what this node has charged after a time."""
        total = 0.0
        for time, cost in reversed(self.recent):
            if time <= since:
                break
            total += cost
        return total

    def update_heard(
        self, names: frozenset[str], oldest: float, now: float
    ) -> None:
        """Determine which other nodes are heard.

        Args:
            names: all other nodes.
            oldest: reports before this time do not count.
            now: the time.
        """
        self.advance(now)
        heard = {
            name: peer
            for name, peer in self.peers.items()
            if name in names and peer.reported >= oldest
        }
        self.heard = frozenset(heard)
        self.heard_rate = sum(peer.rate for peer in heard.values())
        reports = sorted(peer.reported for peer in heard.values())
        skipped = int(LATE_SHARE * len(reports))
        self.heard_since = reports[skipped] if reports else now
        self.past_rates.append((now, self.get_own_rate(now)))
        while len(self.past_rates) > 1 and (
            self.past_rates[1][0] <= self.heard_since
        ):
            self.past_rates.popleft()
        for charges in (self.recent, self.recent_heard):
            while charges and charges[0][0] < oldest:
                charges.popleft()
        part = (len(heard) + 1) / (len(names) + 1)
        if now < self.trusted_until:
            part = 1.0
        if part < self.part:
            # The others may have used their part since their last reports, but
            # so may this node and those it hears have used this part.
            used = sum(cost for _, cost in self.recent)
            used += sum(cost for _, cost in self.recent_heard)
            left = (self.level + used) * part / self.part - used
            self.level = min(self.level, left)
        self.part = part

    def merge(
        self,
        node: str,
        incarnation: int,
        told: AllowanceStatement,
        node_count: int,
        now: float,
    ) -> None:
        """Drain what another node has charged beyond what was expected."""
        self.advance(now)
        peer = self.peers.get(node)
        if peer is None:
            # What it charged before is in the level that it tells.
            self.peers[node] = PeerAccount(
                incarnation, told.charged, told.rate, now
            )
            self._adapt_level(told.level, node_count)
            return
        if incarnation < peer.incarnation:
            return
        before = peer.charged if incarnation == peer.incarnation else 0
        if node in self.heard:
            expected = peer.rate * (now - peer.reported)
            self.recent_heard.append((now, told.charged - before))
            surplus = told.charged - before - expected
            self.heard_rate += told.rate - peer.rate
        else:
            # Its part was left to it all the time.
            left = self.allowance.rate / node_count * (now - peer.reported)
            surplus = max(0.0, told.charged - before - left)
        self.level = min(self.level - surplus, self.get_capacity())
        peer.incarnation = incarnation
        peer.charged, peer.rate, peer.reported = told.charged, told.rate, now
        if node in self.heard:
            self._adapt_level(told.level, node_count)

    def _adapt_level(self, level: float, node_count: int) -> None:
        """Bring the levels of all nodes together."""
        self.level += LEVEL_GAIN / node_count * (level - self.level)
