"""Allowances of tenants, kept by all nodes together.

Each node counts what it has charged to each tenant and tells the others. From
these counts each node keeps a token bucket of the whole fleet, which its own
charges drain at once and those of others as they are heard. Between two reports
of a node its recent rate is extrapolated. A node that hears only some of the
others uses the part of the allowance that belongs to these and itself, so that
the parts of a divided fleet keep the limit together.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import datetime
import enum
import math
import random
from typing import Final

from cicadahook.core import forwarding
from cicadahook.core import tenants
from cicadahook.core import token_buckets

# A node is heard while its last report is younger than this number of rounds
# and than MIN_HEARD_SECONDS; in a round each node gets one report of each.
HEARD_ROUNDS: Final = 2.5
MIN_HEARD_SECONDS: Final = 1.0
# Heard nodes are determined anew after this time, in seconds.
REFRESH_SECONDS: Final = 0.2
# Part of its share of the bucket that a node may spend before the others can
# have heard of it. Equal shares refuse what one node needs and others do not.
UNREPORTED_SHARE: Final = 1.5
# Requests that a node may always charge beyond the first one before the others
# can have heard of it, if the bucket is not empty. Without it, the smallest
# tenants lose requests that come in pairs.
EXTRA_REQUESTS: Final = 2
# With older reports of other nodes there is no request that a node may charge
# in any case: without contact, all nodes would use it.
DOUBT_ROUNDS: Final = 1.5
MIN_DOUBT_SECONDS: Final = 0.5
# After a stall the messages that waited meanwhile arrive within this time. They
# are old and do not show that their senders are still heard.
WAKE_SECONDS: Final = 0.3
# A node that vanished without saying that it leaves may only be cut off, also
# from the store. Its part is left to it for this time, in seconds.
VANISHED_SECONDS: Final = 60.0
# The registration of a node that said it leaves is gone after this time.
LEFT_SECONDS: Final = 5.0
# A node that starts again does not know the others at once. Its buckets begin
# to fill after this time, in seconds; the names of nodes are updated sooner.
START_SECONDS: Final = 0.3
# Counts up to this value are exact, and statuses can hold them.
MAX_UNITS: Final = 2.0**52
# Callers who are told to return later than this rarely have the time.
MAX_RETURN_SECONDS: Final = 10.0
RETURN_JITTER: Final = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """Units charged to a tenant for one request."""

    tenant: str
    cost: float


class DenialReason(enum.StrEnum):
    """What a request has no room in."""

    SPENT = "spent"  # the allowance of all nodes
    SHARE = "share"  # what this node may use before the others hear of it


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """A request is over the allowance of its tenant.

    Attributes:
        retry_after: when its caller may come again.
        reason: what was used up.
    """

    retry_after: datetime.timedelta
    reason: DenialReason


def compute_cost(
    allowance: tenants.Allowance, generation: forwarding.Generation | None
) -> float:
    """Return the units that a request costs its tenant."""
    if not allowance.counts_tokens:
        return 1.0
    tokens = 0
    if generation is not None:
        tokens = generation.prompt_tokens + generation.output_tokens
    return float(max(0, tokens or allowance.default_tokens))


def _to_count(value: float) -> int:
    """Return a number that a status can hold.

    A refund may be of a time before the tenant was removed and came again.
    """
    return round(min(max(0.0, value), MAX_UNITS))


class Allowances:
    """The allowances of all tenants, as one node keeps them.

    Attributes:
        own: name of the node.
        buckets: one for each tenant that has an allowance, by its name.
        names: the other nodes.
        vanished: when nodes among these were first missing, by name.
        left: when nodes said that they leave, by name.
        round_length: time in which each node gets one report of each, in
            seconds.
        window: over which span the use of tenants is counted.
        is_full: whether buckets of tenants that are new to it start full.
        refreshed: when the heard nodes were last determined.
        woke_at: when the node last went on after a stall.
    """

    def __init__(
        self,
        own: str,
        generator: random.Random,
        *,
        is_first_start: bool,
        window: tenants.AllowanceWindow = tenants.AllowanceWindow(),
    ) -> None:
        self.own = own
        self.random = generator
        self.buckets: dict[str, token_buckets.TokenBucket] = {}
        self.names: frozenset[str] = frozenset()
        self.vanished: dict[str, float] = {}
        self.left: dict[str, float] = {}
        self.round_length = 0.15
        self.window = window
        self.is_full = is_first_start
        self.refreshed: float | None = None
        self.woke_at = -math.inf

    def apply_limits(
        self, limits: Mapping[str, tenants.Allowance], now: datetime.datetime
    ) -> None:
        """Replace the allowances by those of a newer configuration.

        Without a rate, or with one that no counter can hold, there is no limit.

        A changed one keeps its level. One that is new to a running node starts
        full, since nothing was spent of it.
        """
        seconds = self._refresh(now)
        limits = {
            name: self.window.spread_burst(allowance)
            for name, allowance in limits.items()
            if 0 < allowance.rate <= MAX_UNITS
            and 0 <= allowance.burst <= MAX_UNITS
        }
        for name in self.buckets.keys() - limits.keys():
            del self.buckets[name]
        for name, allowance in limits.items():
            bucket = self.buckets.get(name)
            if bucket is None:
                bucket = token_buckets.TokenBucket(
                    allowance, 0.0, seconds + START_SECONDS
                )
                if self.is_full:
                    # No node was heard of it yet, and none has spent of it.
                    bucket.trusted_until = seconds + self._get_heard_limit()
                    bucket.level = bucket.get_capacity()
                    bucket.updated = seconds
                self.buckets[name] = bucket
                self._update_heard(bucket, seconds)
                continue
            bucket.advance(seconds)
            bucket.allowance = allowance
            bucket.level = min(bucket.level, bucket.get_capacity())
        self.is_full = True

    def update_nodes(
        self,
        names: Iterable[str],
        now: datetime.datetime,
        round_length: datetime.timedelta,
    ) -> None:
        """Replace the names of all nodes.

        Args:
            names: the nodes that serve callers.
            now: the time.
            round_length: time in which each node gets one report of each.
        """
        seconds = now.timestamp()
        self.left = {
            name: time
            for name, time in self.left.items()
            if seconds - time < LEFT_SECONDS
        }
        listed = frozenset(names) - self.left.keys() - {self.own}
        self.vanished = {
            name: since
            for name in self.names - listed - self.left.keys()
            if seconds - (since := self.vanished.get(name, seconds))
            < VANISHED_SECONDS
        }
        self.names = listed | self.vanished.keys()
        self.round_length = round_length.total_seconds()
        if self.refreshed is None:
            self.refreshed = seconds
        self._refresh(now, is_due=True)
        for bucket in self.buckets.values():
            for name in bucket.peers.keys() - self.names:
                del bucket.peers[name]

    def record_leaving(self, name: str, now: datetime.datetime) -> None:
        """Record that a node has said that it leaves."""
        self.left[name] = now.timestamp()

    def charge(
        self, tenant: str, cost: float, now: datetime.datetime
    ) -> Charge | Denial | None:
        """Charge a request to its tenant if the allowance has room.

        Returns:
            None if the tenant is not limited.
        """
        bucket = self.buckets.get(tenant)
        if bucket is None:
            return None
        seconds = self._refresh(now)
        if cost <= 0:
            return Charge(tenant, 0.0)
        bucket.advance(seconds)
        reason = self._find_obstacle(bucket, cost, seconds)
        if reason is not None:
            delay = self._plan_return(bucket, cost, reason, seconds)
            return Denial(datetime.timedelta(seconds=delay), reason)
        bucket.drain_own(cost, seconds)
        return Charge(tenant, cost)

    def _find_obstacle(
        self, bucket: token_buckets.TokenBucket, cost: float, now: float
    ) -> DenialReason | None:
        """Return why a request has no room, or None if it has."""
        # After a debt the nodes go on one after the other, and not all of them
        # as soon as the bucket holds anything.
        spread = self.random.random() * bucket.get_spread(cost)
        if bucket.level <= spread or bucket.level < bucket.get_least(cost):
            return DenialReason.SPENT
        # Those that are silent for longer than a round may not hear this node.
        since = min(now - self.round_length, bucket.heard_since)
        unreported = bucket.sum_own(since)
        doubt = max(MIN_DOUBT_SECONDS, DOUBT_ROUNDS * self.round_length)
        is_in_contact = now - bucket.heard_since < doubt
        if not unreported and is_in_contact:
            return None
        filled = bucket.allowance.rate * self.round_length
        room = UNREPORTED_SHARE * self._get_share(bucket)
        room *= bucket.level + unreported + filled
        if is_in_contact:
            room = max(room, (EXTRA_REQUESTS + 1) * cost)
        return DenialReason.SHARE if unreported + cost > room else None

    def _get_share(self, bucket: token_buckets.TokenBucket) -> float:
        """Return this node's part of what all nodes charged lately.

        Its own rate is as old as those of the others: with a newer one, all
        nodes would see their shares rise when the load rises everywhere.
        """
        own = bucket.past_rates[0][1] if bucket.past_rates else 0.0
        total = own + bucket.heard_rate
        least = 1 / (len(self.names) + 1)
        return max(least, own / total if total > 0 else 0.0)

    def _plan_return(
        self,
        bucket: token_buckets.TokenBucket,
        cost: float,
        reason: DenialReason,
        now: float,
    ) -> float:
        """Return after how many seconds a refused caller should return.

        Callers get different times, one after the other has found room.
        """
        jitter = 1 + RETURN_JITTER * self.random.random()
        if reason is DenialReason.SHARE:
            return self.round_length * jitter
        rate = max(bucket.allowance.rate * bucket.part, 1e-9)
        lacking = bucket.get_least(cost) - bucket.level
        filled = now + max(0.0, lacking) / rate
        bucket.next_return = max(bucket.next_return, filled) + cost / (
            rate * self._get_share(bucket)
        )
        delay = (bucket.next_return - now) * jitter
        if delay > MAX_RETURN_SECONDS:
            bucket.next_return = min(
                bucket.next_return, now + MAX_RETURN_SECONDS
            )
            return MAX_RETURN_SECONDS * self.random.uniform(0.5, 1.0)
        return delay

    def refund(self, charge: Charge) -> None:
        """Give back what was charged for a request that was not run."""
        bucket = self.buckets.get(charge.tenant)
        if bucket is not None:
            bucket.refund_own(charge.cost)

    def merge(
        self,
        node: str,
        incarnation: int,
        statements: Iterable[token_buckets.AllowanceStatement],
        now: datetime.datetime,
    ) -> None:
        """Record what another node tells; older messages must be left out."""
        seconds = self._refresh(now)
        if seconds < self.woke_at + WAKE_SECONDS or node not in self.names:
            return
        self.left.pop(node, None)
        for told in statements:
            bucket = self.buckets.get(told.tenant)
            is_valid = told.charged >= 0 and told.rate >= 0
            if bucket is not None and is_valid:
                bucket.merge(
                    node, incarnation, told, len(self.names) + 1, seconds
                )

    def list_statements(
        self, now: datetime.datetime
    ) -> tuple[token_buckets.AllowanceStatement, ...]:
        """Return statements to be sent to other nodes."""
        seconds = self._refresh(now)
        statements = []
        for name, bucket in self.buckets.items():
            bucket.advance(seconds)
            statements.append(
                token_buckets.AllowanceStatement(
                    name,
                    _to_count(bucket.own_charged),
                    _to_count(bucket.get_own_rate(seconds)),
                    round(max(-MAX_UNITS, bucket.level)),
                )
            )
        return tuple(statements)

    def _refresh(
        self, now: datetime.datetime, *, is_due: bool = False
    ) -> float:
        """Determine the heard nodes if that is due; return `now` in seconds.

        A node that stood still begins anew, without its bucket's content: it
        does not know what the others used meanwhile.
        """
        seconds = now.timestamp()
        last = self.refreshed if self.refreshed is not None else seconds
        if seconds - last > MIN_HEARD_SECONDS:
            self.woke_at = seconds
            for bucket in self.buckets.values():
                bucket.peers.clear()
                bucket.level = min(bucket.level, 0.0)
                bucket.updated = seconds
        if is_due or seconds - last >= REFRESH_SECONDS:
            self.refreshed = seconds
            for bucket in self.buckets.values():
                self._update_heard(bucket, seconds)
        return seconds

    def _update_heard(
        self, bucket: token_buckets.TokenBucket, now: float
    ) -> None:
        bucket.update_heard(self.names, now - self._get_heard_limit(), now)

    def _get_heard_limit(self) -> float:
        """Return for how many seconds a node is heard after a report."""
        return max(MIN_HEARD_SECONDS, HEARD_ROUNDS * self.round_length)
