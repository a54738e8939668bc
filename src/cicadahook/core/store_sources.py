"""Decides from whom a node learns of changes in the store.

Designed for fleets of dozens to hundreds of nodes, in which a watch by each
node makes the store answer each change as often as there are nodes. A few nodes
watch it, in different zones; the others follow these. The store may turn some
nodes away and serve the others: those that it answers watch it, and the others
learn from them, in fleets of any size.
"""

import collections
from collections.abc import Iterable, Iterator
import datetime
from typing import Final

from cicadahook.core import hashing
from cicadahook.core import roster as roster_lib
from cicadahook.core import status_schedule
from cicadahook.core import store_contact

# In smaller fleets each node watches the store.
MIN_NODES: Final = 9
# Watchers of a region, and how many nodes each of them serves at the most.
MIN_WATCHERS: Final = 3
NODES_PER_WATCHER: Final = 32
# A configuration of 64 KiB reaches as many followers in half a second. Nodes
# with narrower links watch only if there are not enough others.
MIN_LINK_MBPS: Final = 34.0
# Watchers that a node asks before it asks the store. Each may keep it waiting,
# and changes must reach it in time.
MAX_SOURCES: Final = 2
# Other nodes that a node asks at the most, for one change.
MAX_ASKED: Final = 4
# A watcher that did not answer is left out for this time.
AVOIDED_PERIOD: Final = datetime.timedelta(seconds=3)
# One that does not watch the store is left out for less, as it may begin to.
NOT_WATCHING_PERIOD: Final = datetime.timedelta(seconds=1)
# Stands for the store itself among the sources of changes.
STORE: Final = None


class StoreSources:
    """Chooses from whom one node learns of changes.

    Attributes:
        roster: the known nodes.
        contact: whether the store answers this node.
        avoided: until when nodes are not asked, by name.
    """

    def __init__(
        self,
        roster: roster_lib.Roster,
        contact: store_contact.StoreContact,
    ) -> None:
        self.roster = roster
        self.contact = contact
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
        watchers = self._choose_watchers(now)
        peers = self._rank_sources(watchers, now)
        if self.contact.is_lost():
            # All others may be left out for something that has ended.
            return (*(peers or self._rank_sources(watchers)), STORE)
        if is_stale or self.roster.own in watchers:
            return (STORE, *peers)
        return (*peers[:MAX_SOURCES], STORE, *peers[MAX_SOURCES:])

    def list_nodes(
        self, now: datetime.datetime
    ) -> tuple[roster_lib.NodeRecord, ...]:
        """Return the other nodes that may tell of changes, nearest first."""
        return self._rank_sources(self._choose_watchers(now), now)

    def list_watchers(
        self, now: datetime.datetime
    ) -> tuple[roster_lib.NodeRecord, ...]:
        """Return the nodes to ask before the store, the preferred one first.

        Returns:
            The watchers; none if this node is to watch the store by itself,
            as one of the watchers or because these do not answer.
        """
        watchers = self._choose_watchers(now)
        if self.roster.own in watchers:
            return ()
        return self._rank_sources(watchers, now)[:MAX_SOURCES]

    def _choose_watchers(
        self, now: datetime.datetime
    ) -> list[roster_lib.NodeRecord]:
        """Return the nodes that are to watch the store.

        They are among those that the store answers. Where it answers nobody,
        each node tries by itself.
        """
        own = self.roster.own
        records = [
            status.node
            for status in self._list_followable(now)
            if not status.lacks_store
        ]
        if not records or not self.contact.is_lost():
            records.append(own)
        if self.roster.count_nodes(now) < MIN_NODES:
            return records
        return _spread_over_zones(records)

    def _list_followable(
        self, now: datetime.datetime
    ) -> Iterator[roster_lib.NodeStatus]:
        """Yield the statuses of nodes that may tell others of changes."""
        own = self.roster.own
        for _, status in self.roster.list_recent(now):
            if (
                status.node.region == own.region
                and status.node.name != own.name
                and status_schedule.RELAYED_CHANGES in status.capabilities
                and status.is_ready
                and not status.has_left
            ):
                yield status

    def _rank_sources(
        self,
        watchers: Iterable[roster_lib.NodeRecord],
        now: datetime.datetime | None = None,
    ) -> tuple[roster_lib.NodeRecord, ...]:
        """Return the other watchers, the preferred one first.

        Args:
            watchers: the watchers.
            now: the time; None to leave none of them out.
        """
        own = self.roster.own
        sources = sorted(
            (
                record
                for record in watchers
                if record.name != own.name
                and (now is None or now >= self.avoided.get(record.name, now))
            ),
            key=lambda record: (
                record.zone != own.zone,
                hashing.hash64(f"{own.name}/{record.name}"),
            ),
        )
        return tuple(sources[:MAX_ASKED])


def _spread_over_zones(
    records: Iterable[roster_lib.NodeRecord],
) -> list[roster_lib.NodeRecord]:
    """Return a few nodes in different zones; the same ones at all nodes."""
    ranked = sorted(records, key=_rank)
    count = max(MIN_WATCHERS, -(-len(ranked) // NODES_PER_WATCHER))
    chosen_in: collections.Counter[str] = collections.Counter()
    turns: dict[str, int] = {}
    for record in ranked:
        turns[record.name] = chosen_in[record.zone]
        chosen_in[record.zone] += 1
    ranked.sort(key=lambda record: (record.has_narrow_link, turns[record.name]))
    return ranked[:count]


def _rank(record: roster_lib.NodeRecord) -> tuple[bool, int, str]:
    """Return a rank by which all nodes choose the same watchers."""
    return (
        record.has_narrow_link,
        hashing.hash64(record.name, seed=1),
        record.name,
    )
