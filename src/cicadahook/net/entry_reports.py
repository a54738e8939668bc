"""Tracks the reports of linked entries and derives member states from them."""

import dataclasses
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import entry_loads
from cicadahook.core import view
from cicadahook.net import gossip

ENTRY_TIMEOUT: Final = datetime.timedelta(seconds=2)


class EntryReportTracker:
    """Records reports and corrects the states of members by them.

    Attributes:
        own_entry: `host:port` of this VM's entry.
        endpoint: the gossip to which loads are passed.
        rate_meters: request rates by linked entry.
        reported_at: when each linked entry last reported.
        had_own_entry: whether this VM's entry has reported since the start.
    """

    def __init__(
        self,
        own_entry: str,
        endpoint: gossip.GossipEndpoint,
        clock: clock_lib.Clock,
    ) -> None:
        self.own_entry = own_entry
        self.endpoint = endpoint
        self.clock = clock
        self.rate_meters: dict[str, entry_loads.RateMeter] = {}
        self.reported_at: dict[str, datetime.datetime] = {}
        self.had_own_entry = False

    def record(self, report: view.Report) -> None:
        """Record the report of a linked entry."""
        now = self.clock.now()
        meter = self.rate_meters.setdefault(
            report.entry, entry_loads.RateMeter()
        )
        load = meter.measure(report, now)
        self.reported_at[report.entry] = now
        self.endpoint.own_loads[report.entry] = load
        self.endpoint.load_aggregator.record(load, now)
        self.had_own_entry |= report.entry == self.own_entry

    def state(self) -> view.MemberState:
        """Return the state of this VM: leaving without a working entry."""
        self._expire()
        load = self.endpoint.own_loads.get(self.own_entry)
        is_lost = self.had_own_entry and load is None
        if is_lost or (load is not None and load.draining):
            return view.MemberState.LEAVING
        return view.MemberState.ALIVE

    def generation_in_force(self, generation: int) -> int:
        """Return the generation in force on both control and entry.

        Args:
            generation: generation in force on the control.
        """
        load = self.endpoint.own_loads.get(self.own_entry)
        return min(generation, load.generation) if load else generation

    def correct_members(
        self, members: tuple[view.Member, ...]
    ) -> tuple[view.Member, ...]:
        """Return `members`, alive where the entry outlives its control."""
        return tuple(map(self._correct_member, members))

    def _correct_member(self, member: view.Member) -> view.Member:
        """Return a dead member as alive while its entry reports elsewhere."""
        if member.state is not view.MemberState.DEAD:
            return member
        time = self.endpoint.load_aggregator.times.get(member.entry)
        if time is None or self.clock.now() - time > ENTRY_TIMEOUT:
            return member
        is_draining = self.endpoint.load_aggregator.loads[member.entry].draining
        state = (
            view.MemberState.LEAVING if is_draining else view.MemberState.ALIVE
        )
        return dataclasses.replace(member, state=state)

    def _expire(self) -> None:
        """Remove linked entries that have stopped reporting."""
        now = self.clock.now()
        for entry, time in list(self.reported_at.items()):
            if now - time > ENTRY_TIMEOUT:
                del self.reported_at[entry]
                del self.rate_meters[entry]
                self.endpoint.own_loads.pop(entry, None)
