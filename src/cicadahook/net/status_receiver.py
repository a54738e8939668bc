"""Applies the statuses that other nodes send to this one."""

from collections.abc import Iterable
import dataclasses
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import grants
from cicadahook.core import order_holder
from cicadahook.core import residency as residency_lib
from cicadahook.core import roster as roster_lib
from cicadahook.core import store_eras
from cicadahook.core import stream_origins
from cicadahook.net import copy_requests
from cicadahook.net import forwarder as forwarder_lib
from cicadahook.net import logs
from cicadahook.net import upstream_links

logger: Final = logs.create_logger("node")


@dataclasses.dataclass(frozen=True)
class StatusTargets:
    """What statuses of other nodes change.

    Attributes:
        roster: the known nodes.
        grants: grants received from other nodes.
        holder_state: this node's part in the choice of the holder.
        forwarder: serves requests.
        links: the links to the upstreams.
        origins: software versions that began streams.
        copies: requests copies from the holder of orders.
        eras: the era of the store.
    """

    roster: roster_lib.Roster
    grants: grants.ReceivedGrants
    holder_state: order_holder.HolderStateMachine
    forwarder: forwarder_lib.Forwarder
    links: upstream_links.UpstreamLinks
    origins: stream_origins.StreamOrigins
    copies: copy_requests.CopyRequester
    eras: store_eras.EraTracker


class StatusReceiver:
    """Passes the parts of a status to the components that they concern.

    Attributes:
        targets: the components.
        clock: the time.
    """

    def __init__(self, targets: StatusTargets, clock: clock_lib.Clock) -> None:
        self.targets = targets
        self.clock = clock

    def receive(self, status: roster_lib.NodeStatus) -> None:
        """Apply a status received from another node."""
        targets = self.targets
        components = targets.forwarder.components
        if targets.roster.record_status(status, self.clock.now()):
            self.hear_era(status)
            targets.holder_state.hear_term(
                status.newest_term, status.era, self.clock.now()
            )
            if status.grant.holder == targets.roster.own.name:
                targets.grants.receive(
                    status.node.name, status.grant, targets.holder_state.fence
                )
            self.withdraw(status.withdrawn)
            components.statements.limits.merge(
                status.node.name, status.limits, self.clock.now()
            )
            for name in components.statements.merge_leaving(
                status.upstreams.leaving
            ):
                logger.info(
                    "Upstream leaves, as another node has heard.",
                    extra={"instance": name, "node": status.node.name},
                )
            components.statements.brittle.merge(
                status.node.name, status.upstreams.brittle, self.clock.now()
            )
            targets.links.receive_status(status)
            targets.forwarder.admission.charges.receive_status(status)
            if status.is_brief:
                return
            targets.origins.merge(status.origins, self.clock.now())
            if status.is_holder:
                targets.copies.waits.merge(
                    status.upstreams.loading, self.clock.now()
                )
            components.balancer.replace_peer_loads(
                status.node.name, status.loads
            )
            components.balancer.paces.replace_peer(
                status.node.name, status.paces
            )
            targets.forwarder.crash_guard.merge(status.crash_suspects)

    def hear_era(self, status: roster_lib.NodeStatus) -> None:
        """Record the era that a node has from the store."""
        if status.lacks_store:
            return
        eras = self.targets.eras
        if eras.hear(status.era, status.node.name):
            logger.info(
                "Another node names an era that the store has not named.",
                extra={
                    "era": status.era,
                    "node": status.node.name,
                    "known_era": eras.current,
                },
            )

    def withdraw(self, copies: Iterable[roster_lib.WithdrawnCopy]) -> None:
        """Route no more requests to copies that engines must unload."""
        now = self.clock.now()
        for copy in copies:
            self.targets.forwarder.components.residency.record_missing(
                residency_lib.CopyKey(copy.instance, copy.model), now
            )
