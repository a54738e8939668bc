"""Machines that take turns as holder of orders, run at random.

The oracle knows every send: those of two machines must lie a pause apart and
fences must never fall, whatever is paused, lapses, or is told late.
"""

import dataclasses
import datetime
import itertools

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from cicadahook.core import clock as clock_lib
from cicadahook.core import grants
from cicadahook.core import order_holder
from cicadahook.core import roster as roster_lib
from cicadahook.core import store_api

PAUSE = datetime.timedelta(seconds=3)
LEASE = datetime.timedelta(seconds=3)
NAMES = ("n1", "n2", "n3")
FAULTS = ("", "", "", "no_renewal", "no_view", "lost_answer")


@dataclasses.dataclass
class SimulatedNode:
    """One machine's part in it."""

    holder_state: order_holder.HolderStateMachine
    roster: roster_lib.Roster
    grants: grants.ReceivedGrants
    number: int = 0
    has_left: bool = False

    def can_send(self, now: datetime.datetime) -> bool:
        """Whether it believes that it may send an order."""
        needed = self.roster.list_required_granters(now)
        return self.holder_state.can_send(
            now, self.grants.is_complete(needed, now)
        )

    def create_status(self, now: datetime.datetime) -> roster_lib.NodeStatus:
        """Return its next status."""
        self.number += 1
        self.grants.record_status(self.number, now)
        grant = grants.Grant()
        if self.holder_state.has_read_keys:
            grant = self.roster.create_grant(self.holder_state.newest_term, now)
        return roster_lib.NodeStatus(
            self.roster.own,
            self.number,
            True,
            self.can_send(now),
            self.has_left,
            self.holder_state.fence,
            self.holder_state.newest_term,
            1,
            1,
            grant,
        )

    def take_status(
        self, status: roster_lib.NodeStatus, now: datetime.datetime
    ) -> None:
        """Take another machine's status."""
        if self.roster.record_status(status, now):
            self.holder_state.record_term(status.newest_term)
            if status.grant.holder == self.holder_state.name:
                self.grants.receive(
                    status.node.name, status.grant, self.holder_state.fence
                )


class HolderSimulation(stateful.RuleBasedStateMachine):
    """Three machines, their leases and the store."""

    def __init__(self) -> None:
        super().__init__()
        self.now = clock_lib.EPOCH
        self.revision = 1
        self.items: dict[str, store_api.Item] = {}
        self.owner = ""
        self.lease_ends: dict[str, datetime.datetime] = {}
        self.nodes = {name: self._create(name) for name in NAMES}
        self.sends: list[tuple[datetime.datetime, str, int]] = []
        self.is_store_up = True
        self.delayed: list[roster_lib.NodeStatus] = []

    def _create(self, name: str) -> "SimulatedNode":
        self.starts = getattr(self, "starts", 0) + 1
        record = roster_lib.NodeRecord(
            name, "z", "r", "f:1", "p:1", self.starts
        )
        known = roster_lib.Roster(record)
        known.replace_registrations(
            roster_lib.NodeRecord(other, "z", "r", "f:1", "p:1", 0)
            for other in NAMES
        )
        holder_state = order_holder.HolderStateMachine(
            name, str(self.starts), PAUSE, LEASE
        )
        return SimulatedNode(holder_state, known, grants.ReceivedGrants())

    def _expire(self) -> None:
        end = self.lease_ends.get(self.owner)
        if self.owner and (end is None or end <= self.now):
            self.items.pop(order_holder.HOLDER_KEY, None)
            self.owner = ""
            self.revision += 1

    @stateful.rule(
        running=st.lists(st.sampled_from(NAMES), max_size=3, unique=True),
        ms=st.integers(50, 900),
        fault=st.sampled_from(FAULTS),
        is_cut=st.booleans(),
    )
    def live(
        self, running: list[str], ms: int, fault: str, is_cut: bool
    ) -> None:
        """Let time pass, then the machines that are awake do their work."""
        self.now += datetime.timedelta(milliseconds=ms)
        self._expire()
        if not is_cut:
            self._exchange_statuses(running)
            self._exchange_statuses(running)
        for name in running:
            self._send(name)
            if not self.is_store_up:
                continue
            if fault != "no_renewal":
                self._renew(name)
            if fault != "no_view":
                self._observe_keys(name)
            self._propose(name, fault != "lost_answer")
            self._end_pause(name)
            self._send(name)

    @stateful.rule(rounds=st.integers(1, 20))
    def go_on(self, rounds: int) -> None:
        """Let all machines live on undisturbed."""
        for _ in range(rounds):
            self.live(list(NAMES), 200, "", False)

    @stateful.rule()
    def switch_store(self) -> None:
        """Let the store go away or come back."""
        self.is_store_up = not self.is_store_up

    @stateful.rule(name=st.sampled_from(NAMES))
    def deliver_late(self, name: str) -> None:
        """Deliver statuses that were held up."""
        for status in self.delayed[-6:]:
            self.nodes[name].take_status(status, self.now)

    def _exchange_statuses(self, running: list[str]) -> None:
        for name in running:
            status = self.nodes[name].create_status(self.now)
            self.delayed.append(status)
            for other in running:
                if other != name:
                    self.nodes[other].take_status(status, self.now)

    @stateful.rule(name=st.sampled_from(NAMES), seconds=st.integers(1, 8))
    def freeze_all_but(self, name: str, seconds: int) -> None:
        """Let one machine live alone for some seconds."""
        for _ in range(seconds * 2):
            self.live([name], 500, "", True)

    @stateful.rule(name=st.sampled_from(NAMES))
    def wake(self, name: str) -> None:
        """Let a machine send before it does anything else."""
        self._send(name)

    @stateful.rule(name=st.sampled_from(NAMES), hears_goodbye=st.booleans())
    def restart(self, name: str, hears_goodbye: bool) -> None:
        """Let a machine stop and start again; its goodbye may be lost."""
        leaving = self.nodes[name]
        if hears_goodbye:
            leaving.has_left = True
            status = leaving.create_status(self.now)
            for other in NAMES:
                if other != name:
                    self.nodes[other].take_status(status, self.now)
        self.nodes[name] = self._create(name)

    @stateful.rule(is_restarted=st.booleans())
    def change_holder(self, is_restarted: bool) -> None:
        """Let the holder send on its lease, then another take its turn.

        That one may restart before its pause is over.
        """
        self.is_store_up = True
        self.go_on(3)
        before = self.owner
        for _ in range(12):
            self.live([before] if before else [], 200, "no_renewal", True)
        others = [name for name in NAMES if name != before]
        for _ in range(25):
            self.live(others, 200, "", True)
            if self.owner not in ("", before):
                break
        if is_restarted and self.owner:
            self.nodes[self.owner] = self._create(self.owner)
        for _ in range(4):
            self.live(others, 200, "", True)

    def _renew(self, name: str) -> None:
        node = self.nodes[name].holder_state
        sent = self.now
        end = self.lease_ends.get(name)
        if end is not None and end <= self.now:
            node.record_lease_end()
        self.lease_ends[name] = self.now + LEASE
        self.now += datetime.timedelta(milliseconds=20)
        node.record_renewal(sent)

    def _observe_keys(self, name: str) -> None:
        self.nodes[name].holder_state.observe_keys(
            self.items.get(order_holder.HOLDER_KEY),
            self.items.get(order_holder.TERM_KEY),
            self.items.get(order_holder.SETTLED_KEY),
            self.revision,
            self.now,
        )

    def _propose(self, name: str, is_answered: bool) -> None:
        node = self.nodes[name].holder_state
        write = node.propose(1, self.now)
        if self.nodes[name].roster.find_holder(self.now) is not None:
            return
        end = self.lease_ends.get(name)
        if write is None or end is None or end <= self.now:
            return
        if not self._is_possible(write):
            return
        self._write(write)
        self.owner = name
        if is_answered:
            node.record_won_term(self.revision, self.now)

    def _is_possible(self, write: store_api.Write) -> bool:
        return all(
            (item.revision if (item := self.items.get(key)) else 0) == revision
            for key, revision in write.expected
        )

    def _write(self, write: store_api.Write) -> None:
        self.revision += 1
        for put in write.puts:
            self.items[put.key] = store_api.Item(
                put.key, put.value, self.revision
            )

    def _end_pause(self, name: str) -> None:
        write = self.nodes[name].holder_state.propose_pause_end(self.now)
        if write is not None and self._is_possible(write):
            self._write(write)

    def _send(self, name: str) -> None:
        node = self.nodes[name]
        if node.can_send(self.now):
            self.sends.append((self.now, name, node.holder_state.fence))

    @stateful.invariant()
    def turns_lie_apart(self) -> None:
        """Check the newest sends."""
        for earlier, later in itertools.pairwise(self.sends):
            (before, first, low), (after, second, high) = earlier, later
            assert low <= high, f"fence fell from {low} to {high}"
            if first != second:
                assert after - before >= PAUSE, f"{first} then {second}"
                assert low < high, f"one fence for {first} and {second}"
        del self.sends[:-1]


TestHolderSimulation = HolderSimulation.TestCase
TestHolderSimulation.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
