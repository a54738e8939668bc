"""Loads that other nodes report of the upstreams, summed for each upstream.

Decisions ask for the sum of an upstream far more often than reports change it,
so sums are kept until a report on the same upstream arrives or expires.
"""

from collections.abc import Iterable, Iterator, Mapping
import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceLoad:
    """Load that one node causes at one upstream.

    Attributes:
        instance: id of the upstream.
        running: requests sent and not ended.
        unread_ms: time to read the prompts sent and probably not read yet.
        copies: copies in use, as MODEL/ADAPTER; the adapter may be empty.
    """

    instance: str
    running: int
    unread_ms: float
    copies: tuple[str, ...] = ()


class PeerLoads:
    """The newest loads of each other node, and their sums.

    Attributes:
        reports: the newest loads of each node by upstream, with their time of
            arrival; the oldest report comes first.
        by_instance: the loads of each upstream that some node uses, by node.
        totals: running requests and ms of unread prompts of each upstream;
            those that must be summed again are missing.
    """

    def __init__(self) -> None:
        self.reports: dict[
            str, tuple[datetime.datetime, Mapping[str, InstanceLoad]]
        ] = {}
        self.by_instance: dict[str, dict[str, InstanceLoad]] = {}
        self.totals: dict[str, tuple[int, float]] = {}

    def replace(
        self, peer: str, loads: Iterable[InstanceLoad], now: datetime.datetime
    ) -> None:
        """Replace the loads that a node has reported."""
        self.drop(peer)
        by_id = {load.instance: load for load in loads}
        self.reports[peer] = (now, by_id)
        for name, load in by_id.items():
            self.by_instance.setdefault(name, {})[peer] = load
            self.totals.pop(name, None)

    def drop(self, peer: str) -> None:
        """Drop the loads of a node."""
        report = self.reports.pop(peer, None)
        if report is None:
            return
        for name in report[1]:
            self.totals.pop(name, None)
            loads = self.by_instance[name]
            del loads[peer]
            if not loads:
                del self.by_instance[name]

    def drop_expired(
        self, now: datetime.datetime, expiry: datetime.timedelta
    ) -> None:
        """Drop the reports that have not been renewed for `expiry`."""
        while self.reports:
            peer = next(iter(self.reports))
            if now - self.reports[peer][0] < expiry:
                return
            self.drop(peer)

    def count(self, instance: str) -> tuple[int, float]:
        """Return running requests and ms of unread prompts at an upstream."""
        total = self.totals.get(instance)
        if total is None:
            loads = self.by_instance.get(instance, {}).values()
            total = self.totals[instance] = (
                sum(load.running for load in loads),
                sum(load.unread_ms for load in loads),
            )
        return total

    def list_copies(self, instance: str) -> Iterator[str]:
        """Yield the copies in use at an upstream, as MODEL/ADAPTER."""
        for load in self.by_instance.get(instance, {}).values():
            yield from load.copies
