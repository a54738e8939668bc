"""A node of the simulation of order holders, without sockets and tasks."""

import dataclasses
import datetime

from cicadahook.core import grants
from cicadahook.core import order_holder
from cicadahook.core import roster as roster_lib


@dataclasses.dataclass
class SimulatedNode:
    """Holder state, roster and grants of one node."""

    holder_state: order_holder.HolderStateMachine
    roster: roster_lib.Roster
    grants: grants.ReceivedGrants
    number: int = 0
    has_left: bool = False
    lease: int = 0

    def hear_store(self, era: int, now: datetime.datetime) -> None:
        """Process the era that an answer of the store names."""
        if era < self.holder_state.era:
            self.holder_state.return_to_era(era, now)
            self.lease = 0
        self.hear_era(era, now)

    def hear_era(self, era: int, now: datetime.datetime) -> None:
        """Process an era that is believed."""
        needed = self.roster.list_required_granters(now)
        is_granted = self.grants.is_complete(needed, now)
        if self.holder_state.record_era(era, now, is_granted=is_granted):
            self.lease = 0

    def can_send(self, now: datetime.datetime) -> bool:
        """Return whether the node may send an order by its own knowledge."""
        needed = self.roster.list_required_granters(now)
        return self.holder_state.can_send(
            now, self.grants.is_complete(needed, now)
        )

    def create_status(self, now: datetime.datetime) -> roster_lib.NodeStatus:
        """Return the node's next status."""
        self.number += 1
        self.grants.record_status(self.number, now)
        grant = grants.Grant()
        if self.holder_state.has_read_keys:
            grant = self.roster.create_grant(
                self.holder_state.newest_term, self.holder_state.era, now
            )
        return roster_lib.NodeStatus(
            self.roster.own,
            self.number,
            True,
            self.can_send(now),
            self.has_left,
            self.holder_state.fence,
            self.holder_state.newest_term,
            grant,
            era=self.holder_state.era,
        )

    def receive_status(
        self, status: roster_lib.NodeStatus, now: datetime.datetime
    ) -> None:
        """Process another node's status."""
        if self.roster.record_status(status, now):
            self.hear_era(status.era, now)
            self.holder_state.hear_term(status.newest_term, status.era, now)
            if status.grant.holder == self.holder_state.name:
                self.grants.receive(
                    status.node.name, status.grant, self.holder_state.fence
                )
