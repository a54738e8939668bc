"""Decides to which nodes each status is sent, and in which form.

Designed for fleets whose nodes each send a constant number of messages a
second. The full status goes to a part of the nodes in each period, in turns. A
brief one goes to the others only when they must know something at once.
"""

import dataclasses
import datetime
from typing import Any, Final

from cicadahook.core import roster as roster_lib

# What nodes of this build can do, as they tell in their statuses. Nodes of
# older builds tell nothing.
COMPACT_STATUS: Final = "compact_status"
GRANTS_ON_REQUEST: Final = "grants_on_request"
RELAYED_CHANGES: Final = "relayed_changes"
RECORDED_VERSIONS: Final = "recorded_versions"
ALLOWANCES: Final = "allowances"
STORED_ORIGINS: Final = "stored_origins"
CAPABILITIES: Final = (
    COMPACT_STATUS,
    GRANTS_ON_REQUEST,
    RELAYED_CHANGES,
    RECORDED_VERSIONS,
    ALLOWANCES,
    STORED_ORIGINS,
)
# News goes to all nodes for this time, so that one lost message is no harm.
URGENT_PERIOD: Final = 3 * roster_lib.STATUS_PERIOD


@dataclasses.dataclass(frozen=True, slots=True)
class Recipients:
    """The nodes that get a status.

    Attributes:
        full: those that get all of it.
        brief: those that get it without the lists that may wait.
    """

    full: tuple[roster_lib.NodeRecord, ...]
    brief: tuple[roster_lib.NodeRecord, ...]


class StatusSchedule:
    """Chooses the recipients of one node's statuses.

    Attributes:
        roster: the other nodes.
        news: what all nodes must know at once, as last told.
        urgent_until: until when all nodes get each status.
    """

    def __init__(self, roster: roster_lib.Roster) -> None:
        self.roster = roster
        self.news: Any = None
        self.urgent_until: datetime.datetime | None = None

    def choose(
        self, status: roster_lib.NodeStatus, now: datetime.datetime
    ) -> Recipients:
        """Return the recipients of this node's next status."""
        turn = self.roster.list_full_status_peers(status.number, now)
        full: list[roster_lib.NodeRecord] = []
        brief: list[roster_lib.NodeRecord] = []
        is_urgent = self._is_urgent(status, now)
        granted = self._find_granted_holder(now)
        for peer in self.roster.list_peers(now):
            if peer.name in turn:
                full.append(peer)
            elif is_urgent or peer.name == granted:
                brief.append(peer)
        return Recipients(tuple(full), tuple(brief))

    def _is_urgent(
        self, status: roster_lib.NodeStatus, now: datetime.datetime
    ) -> bool:
        """Whether all nodes must know this status at once.

        A holder that wants grants needs all nodes to know its newest status.
        """
        news = (
            status.is_holder,
            status.fence,
            status.withdrawn,
            status.lacks_store,
        )
        if news != self.news:
            self.news = news
            self.urgent_until = now + URGENT_PERIOD
        is_news = self.urgent_until is not None and now < self.urgent_until
        is_leaving = status.has_left or not status.is_ready
        return status.wants_grants or is_leaving or is_news

    def _find_granted_holder(self, now: datetime.datetime) -> str:
        """Return the name of the holder that needs a grant now, if any.

        One without lease and grants cannot send, and needs them all the same. A
        holder of an older build does not tell when it needs grants.
        """
        holders = [
            status
            for _, status in self.roster.list_recent(now)
            if status.wants_grants
            or (
                status.is_holder
                and GRANTS_ON_REQUEST not in status.capabilities
            )
        ]
        if not holders:
            return ""
        return max(holders, key=lambda status: status.fence).node.name
