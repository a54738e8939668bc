"""Decides from whom a node learns of changes in the store.

Designed for fleets of dozens to hundreds of nodes, in which a watch by each
node makes the store answer each change as often as there are nodes. Two nodes
of each zone watch it; the others follow these.
"""

import datetime
from typing import Final

from cicadahook.core import hashing
from cicadahook.core import roster as roster_lib
from cicadahook.core import status_schedule

# In smaller fleets each node watches the store.
MIN_NODES: Final = 9
WATCHERS_PER_ZONE: Final = 2
# A watcher that did not answer, or watches no more, is left out for this time.
AVOIDED_PERIOD: Final = datetime.timedelta(seconds=3)


class StoreSources:
    """Chooses the watchers that one node follows.

    Attributes:
        roster: the known nodes.
        avoided: until when nodes are not asked, by name.
    """

    def __init__(self, roster: roster_lib.Roster) -> None:
        self.roster = roster
        self.avoided: dict[str, datetime.datetime] = {}

    def avoid(self, name: str, now: datetime.datetime) -> None:
        """Leave out a node that could not tell of changes."""
        self.avoided[name] = now + AVOIDED_PERIOD

    def list_watchers(
        self, now: datetime.datetime
    ) -> tuple[roster_lib.NodeRecord, ...]:
        """Return the nodes to ask for changes, the preferred one first.

        Returns:
            The watchers; none if this node is to watch the store by itself,
            as one of the watchers of its zone or because these do not answer.
        """
        if self.roster.count_nodes(now) < MIN_NODES:
            return ()
        own = self.roster.own
        peers = [
            status.node
            for _, status in self.roster.list_recent(now)
            if status.node.zone == own.zone
            and status_schedule.RELAYED_CHANGES in status.capabilities
            and status.is_ready
            and not status.has_left
        ]
        ranked = sorted([*peers, own], key=_rank)[:WATCHERS_PER_ZONE]
        if own in ranked:
            return ()
        # The followers of a zone are shared out among its watchers.
        if hashing.hash64(own.name) % 2:
            ranked.reverse()
        return tuple(
            record
            for record in ranked
            if now >= self.avoided.get(record.name, now)
        )


def _rank(record: roster_lib.NodeRecord) -> tuple[int, str]:
    """Return a rank by which all nodes choose the same watchers."""
    return hashing.hash64(record.name, seed=1), record.name
