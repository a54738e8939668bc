"""What upstreams say of themselves in their answers, and what follows from it.

Each decision that would send something to an upstream asks here first: choice,
retries, resumed streams, trials, probes, orders and report queries, and what is
passed on for other nodes.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import datetime
import random

from cicadahook.core import brittle_upstreams
from cicadahook.core import inventory
from cicadahook.core import leaving_upstreams
from cicadahook.core import request_limits
from cicadahook.core import upstream_rests


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What one answer says of its upstream.

    Attributes:
        request_limit: requests a second that it takes from all nodes; None if
            not stated.
        rejection_bound: rejections in a second beyond which it fails; None if
            not stated.
        rest: time for which it wants nothing from this node; None if it did not
            reject the request or asks for none.
        is_leaving: whether it leaves; None if not stated.
        is_complete: whether what is not stated has ended.
        unreadable: names of the fields whose values are not readable; they
            change nothing.
    """

    request_limit: float | None = None
    rejection_bound: float | None = None
    rest: datetime.timedelta | None = None
    is_leaving: bool | None = None
    is_complete: bool = False
    unreadable: frozenset[str] = frozenset()

    def says(self, field: str) -> bool:
        """Whether the answer says something of a field, or that it ended."""
        if field in self.unreadable:
            return False
        return self.is_complete or getattr(self, field) is not None


class UpstreamStatements:
    """The statements of the registered upstreams, as known to one node.

    Attributes:
        limits: their request limits.
        brittle: those that fail when they reject too much.
        rests: those that want nothing from this node for a while.
        leaving: those that have said that they leave.
    """

    def __init__(self, own: str, generator: random.Random) -> None:
        self.limits = request_limits.RequestLimits(own, generator)
        self.brittle = brittle_upstreams.BrittleUpstreams()
        self.rests = upstream_rests.UpstreamRests(generator)
        self.leaving = leaving_upstreams.LeavingUpstreams()

    def record_answer(
        self,
        instance: inventory.Instance,
        statement: Statement,
        now: datetime.datetime,
        sent: datetime.datetime,
    ) -> frozenset[str]:
        """Record what an answer says; return the fields that have changed.

        Args:
            instance: the upstream.
            statement: what it says.
            now: when the answer is read.
            sent: when its request was sent.
        """
        changed = set()
        if statement.says("request_limit"):
            if self.limits.record_answer(
                instance, statement.request_limit, now, sent
            ):
                changed.add("request_limit")
        if statement.says("rejection_bound"):
            if self.brittle.record_answer(
                instance, statement.rejection_bound, now, sent
            ):
                changed.add("rejection_bound")
        if statement.rest is not None:
            if self.rests.record_answer(instance, statement.rest, now):
                changed.add("rest")
        elif statement.is_complete:
            self.rests.record_accepted(instance, now)
        if statement.is_leaving and self._is_registered(instance):
            if self.leaving.record(instance.id, instance.born):
                changed.add("is_leaving")
        return frozenset(changed)

    def _is_registered(self, instance: inventory.Instance) -> bool:
        return self.rests.registered.get(instance.id) == instance.born

    def merge_leaving(
        self, statements: Iterable[leaving_upstreams.LeavingStatement]
    ) -> frozenset[str]:
        """Record what another node tells; return the ids that are new."""
        return self.leaving.merge(statements, self.rests.registered)

    def replace_nodes(self, names: Iterable[str]) -> None:
        """Replace the names of the nodes that share the upstreams."""
        self.limits.replace_nodes(names)
        self.brittle.node_count = len(self.limits.nodes)

    def update_registered(
        self, instances: Mapping[str, inventory.Instance]
    ) -> None:
        """Drop the statements of upstreams that left or restarted."""
        self.limits.update_registered(instances)
        self.brittle.update_registered(instances)
        self.rests.update_registered(instances)
        self.leaving.update_registered(self.rests.registered)

    def find_limit(
        self, instance: inventory.Instance
    ) -> request_limits.KnownLimit | None:
        """Return the request limit in force at an upstream, if any."""
        return self.limits.find(instance)

    def asks_for_less(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> bool:
        """Whether an upstream wants less than it could run."""
        return self.limits.find(instance) is not None or self.is_resting(
            instance, now
        )

    def is_resting(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> bool:
        """Whether an upstream wants nothing from this node, connections too."""
        return self.rests.get_end(instance, now) is not None

    def has_room(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> bool:
        """Whether this node may send a request to an upstream now."""
        return (
            self.limits.has_room(instance, now)
            and self.rests.has_room(instance, now)
            and self.brittle.has_room(instance, now)
        )

    def has_room_soon(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> bool:
        """Whether a request may be sent once another one has ended."""
        return self.limits.has_room(instance, now) and not self.is_resting(
            instance, now
        )

    def plan_return(
        self, instances: list[inventory.Instance], now: datetime.datetime
    ) -> datetime.timedelta:
        """Return after which time a refused caller should return."""
        resting = [each for each in instances if self.is_resting(each, now)]
        if len(resting) == len(instances):
            return self.rests.plan_return(resting, now)
        return self.limits.plan_return(instances, now)

    def record_send(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> None:
        """Record that a request is sent to an upstream that has room."""
        self.limits.record_send(instance, now)
        self.brittle.record_send(instance)
        self.rests.record_send(instance)

    def record_end(
        self,
        instance: inventory.Instance,
        now: datetime.datetime,
        *,
        is_rejected: bool,
    ) -> None:
        """Record that a request has ended, and whether it was rejected."""
        self.brittle.record_end(instance, now, is_rejected=is_rejected)
        self.rests.record_end(instance)

    def acquire_order(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> bool:
        """Record an order or report query if it may be sent now."""
        return not self.is_resting(instance, now) and self.limits.acquire_order(
            instance, now
        )

    def get_cost_ms(
        self, instance: inventory.Instance, now: datetime.datetime
    ) -> float:
        """Return what it costs to use an upstream now, in ms."""
        return self.limits.get_cost_ms(instance, now)
