"""Decides from whom a node learns of changes in the store.

Designed for fleets of dozens to hundreds of nodes, in which a watch by each
node makes the store answer each change as often as there are nodes. A few nodes
watch it, in different zones; the others follow these.
"""

import collections
from collections.abc import Iterable
import datetime
from typing import Final

from cicadahook.core import hashing
from cicadahook.core import roster as roster_lib
from cicadahook.core import status_schedule

# In smaller fleets each node watches the store.
MIN_NODES: Final = 9
# Watchers of a region, and how many nodes each of them serves at the most.
MIN_WATCHERS: Final = 3
NODES_PER_WATCHER: Final = 32
# Watchers that a node asks before it watches the store by itself. Each may keep
# it waiting, and changes must reach it in time.
MAX_SOURCES: Final = 2
# A watcher that did not answer is left out for this time.
AVOIDED_PERIOD: Final = datetime.timedelta(seconds=3)
# One that does not watch the store is left out for less, as it may begin to.
NOT_WATCHING_PERIOD: Final = datetime.timedelta(seconds=1)
# Stands for the store itself among the sources of changes.
STORE: Final = None


class StoreSources:
    """Chooses the watchers that one node follows.

    Attributes:
        roster: the known nodes.
        avoided: until when nodes are not asked, by name.
    """

    def __init__(self, roster: roster_lib.Roster) -> None:
        self.roster = roster
        self.avoided: dict[str, datetime.datetime] = {}

    def avoid(
        self,
        name: str,
        now: datetime.datetime,
        period: datetime.timedelta = AVOIDED_PERIOD,
    ) -> None:
        """Leave out a node that could not tell of changes."""
        self.avoided[name] = now + period

    def plan(
        self, now: datetime.datetime, *, is_stale: bool
    ) -> tuple[roster_lib.NodeRecord | None, ...]:
        """Return whom to ask for changes, in this order, until one answers.

        Args:
            now: the time.
            is_stale: whether what this node knows is too old to wait for
                others first.

        Returns:
            Nodes, and `STORE` once.
        """
        nodes = self.list_nodes(now)
        return (STORE, *nodes) if is_stale else (*nodes, STORE)

    def list_nodes(
        self, now: datetime.datetime
    ) -> tuple[roster_lib.NodeRecord, ...]:
        """Return the other nodes that may tell of changes, the nearest first."""
        return self.list_watchers(now)

    def list_watchers(
        self, now: datetime.datetime
    ) -> tuple[roster_lib.NodeRecord, ...]:
        """Return the nodes to ask for changes, the preferred one first.

        Returns:
            The watchers; none if this node is to watch the store by itself,
            as one of the watchers or because these do not answer.
        """
        if self.roster.count_nodes(now) < MIN_NODES:
            return ()
        own = self.roster.own
        peers = [
            status.node
            for _, status in self.roster.list_recent(now)
            if status.node.region == own.region
            and status.node.name != own.name
            and status_schedule.RELAYED_CHANGES in status.capabilities
            and status.is_ready
            and not status.has_left
        ]
        watchers = _choose_watchers([*peers, own])
        if own in watchers:
            return ()
        sources = sorted(
            watchers,
            key=lambda record: (
                record.zone != own.zone,
                hashing.hash64(f"{own.name}/{record.name}"),
            ),
        )
        return tuple(
            record
            for record in sources[:MAX_SOURCES]
            if now >= self.avoided.get(record.name, now)
        )


def _choose_watchers(
    records: Iterable[roster_lib.NodeRecord],
) -> list[roster_lib.NodeRecord]:
    """Return the watchers, spread over the zones; the same at all nodes."""
    ranked = sorted(records, key=_rank)
    count = max(MIN_WATCHERS, -(-len(ranked) // NODES_PER_WATCHER))
    chosen_in: collections.Counter[str] = collections.Counter()
    turns: dict[str, int] = {}
    for record in ranked:
        turns[record.name] = chosen_in[record.zone]
        chosen_in[record.zone] += 1
    return sorted(ranked, key=lambda record: turns[record.name])[:count]


def _rank(record: roster_lib.NodeRecord) -> tuple[int, str]:
    """Return a rank by which all nodes choose the same watchers."""
    return hashing.hash64(record.name, seed=1), record.name
