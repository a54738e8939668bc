"""An entry's knowledge of requests in flight, limits and speed of upstreams."""

from collections.abc import Iterable
import dataclasses
import datetime
import statistics
from typing import Final

from cicadahook.core import concurrency_limits
from cicadahook.core import limit_shares
from cicadahook.core import view as view_lib

PEER_SENT_RATIO: Final = 1.0


@dataclasses.dataclass
class UpstreamLoad:
    """Load, limit and speed of one upstream, as this entry knows them.

    Attributes:
        service: name of the row that it serves, if it is a plain service.
        incarnation: process of the upstream to which `learner` applies.
        own: in flight from this entry.
        own_reported: value of `own` when unused slots were last split.
        peers: in flight from the other entries according to that view.
        peer_limit: mean of the limits that they learned; 0 is none.
        learner: learns its limit and speed.
    """

    service: str = ""
    incarnation: str = ""
    own: int = 0
    own_reported: int = 0
    peers: int = 0
    peer_limit: float = 0.0
    learner: concurrency_limits.LimitLearner = dataclasses.field(
        default_factory=concurrency_limits.LimitLearner
    )

    @property
    def limit(self) -> float:
        """Concurrency limit in force over all entries."""
        learned = self.learner.limit if self.learner.knee else 0.0
        return concurrency_limits.combine(learned, self.peer_limit)

    @property
    def usage(self) -> limit_shares.Usage:
        """What is in flight against the limit."""
        return limit_shares.Usage(self.own, self.own_reported, self.peers)

    def predict_in_flight(self, entries: int) -> float:
        """Return the requests in flight, corrected for the lag of reports.

        The other entries receive the same reports, so each is assumed to have
        sent as many requests since the last report as this entry.
        """
        sent = self.own - self.own_reported
        peers = self.peers + PEER_SENT_RATIO * sent * (entries - 1)
        return self.own + max(0.0, peers)


class UpstreamLoads:
    """All upstreams, by address."""

    def __init__(self) -> None:
        self.by_address: dict[str, UpstreamLoad] = {}
        self.fleet = limit_shares.Fleet()
        self.report_age = limit_shares.ReportAge()
        self.usual_paces: dict[str, float] = {}

    def get(self, address: str) -> UpstreamLoad:
        """Return the upstream at `address`."""
        load = self.by_address.get(address)
        if load is None:
            load = self.by_address[address] = UpstreamLoad()
        return load

    def apply_view(
        self,
        view: view_lib.View,
        fleet: limit_shares.Fleet,
        now: datetime.datetime,
    ) -> None:
        """Apply a new view; drop upstreams that it no longer lists."""
        self.fleet = fleet
        is_due = self.report_age.is_due(now)
        peers = {load.upstream: load for load in view.peer_loads}
        for upstream in view.upstreams:
            load = self.get(upstream.address)
            load.service = upstream.service
            if load.incarnation != upstream.incarnation:
                load.incarnation = upstream.incarnation
                load.learner = concurrency_limits.LimitLearner()
            self._apply_peers(load, upstream, peers.get(upstream.address))
            if is_due:
                load.own_reported = load.own
        removed = [
            address
            for address, load in self.by_address.items()
            if not load.own and address not in view.upstream_by_address
        ]
        for address in removed:
            del self.by_address[address]

    def _apply_peers(
        self,
        load: UpstreamLoad,
        upstream: view_lib.Upstream,
        peer: view_lib.PeerLoad | None,
    ) -> None:
        """Apply the peers' use, or without it the upstream's own report."""
        if peer is not None:
            load.peers = peer.in_flight
            load.peer_limit = peer.limit
        else:
            load.peers = max(0, upstream.in_flight - load.own_reported)
            load.peer_limit = 0.0

    def allow(self, load: UpstreamLoad, now: datetime.datetime) -> int:
        """Return how many this entry may have in flight at the upstream."""
        return limit_shares.allow(load.limit, load.usage, self.fleet, now)

    def learn(
        self,
        load: UpstreamLoad,
        in_flight: float,
        pace: float,
        now: datetime.datetime,
    ) -> None:
        """Add a sample of the upstream's speed."""
        load.learner.add(in_flight, pace, now)
        paces = [
            other.learner.pace
            for other in self.by_address.values()
            if other.learner.pace and other.service == load.service
        ]
        self.usual_paces[load.service] = statistics.median(paces)

    def predict_pace(
        self, load: UpstreamLoad, in_flight: float, now: datetime.datetime
    ) -> float:
        """Return the expected seconds per unit of work; 0 is unknown."""
        usual = self.usual_paces.get(load.service, 0.0)
        return load.learner.predict_pace(in_flight, usual, now)

    def create_uses(self) -> tuple[view_lib.UpstreamUse, ...]:
        """Return in-flight counts and learned limits, to be reported."""
        return tuple(_create_uses(self.by_address.items()))


def _create_uses(
    items: Iterable[tuple[str, UpstreamLoad]],
) -> Iterable[view_lib.UpstreamUse]:
    for address, load in items:
        limit = load.learner.limit if load.learner.knee else 0.0
        if load.own or limit:
            yield view_lib.UpstreamUse(address, load.own, limit)
