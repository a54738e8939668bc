"""Stateful test of the order holder over three nodes and the store.

All sends are recorded: sends of two nodes must lie at least the handover pause
apart and fences must never decrease, whichever nodes are paused, leases lapse,
statuses arrive late or writes are lost as the store returns from an older copy.
"""

from collections.abc import Callable
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
import simulated_node

PAUSE = datetime.timedelta(seconds=3)
LEASE = datetime.timedelta(seconds=3)
NAMES = ("n1", "n2", "n3")
FAULTS = ("", "", "", "no_renewal", "no_view", "lost_answer", "late_write")
MAX_COPIES = 40
# Of the store when the nodes start; also where 32 bits end, and far beyond.
REVISIONS = (1, 2**32 - 40, 2**32 + 2**31, 2**60)


@dataclasses.dataclass(frozen=True)
class StoreState:
    """What the store holds.

    Attributes:
        revision: revision of the last change.
        items: items by key.
        lease_ends: when each lease ends, by its number.
        holder_lease: lease of the holder's key.
    """

    revision: int
    items: dict[str, store_api.Item]
    lease_ends: dict[int, datetime.datetime]
    holder_lease: int


class HolderSimulation(stateful.RuleBasedStateMachine):
    """Three nodes, their leases and the store."""

    def __init__(self) -> None:
        super().__init__()
        self.now = clock_lib.EPOCH
        self.revision = 1
        self.items: dict[str, store_api.Item] = {}
        self.era = store_api.FIRST_ERA
        self.holder_lease = 0
        self.lease_ends: dict[int, datetime.datetime] = {}
        self.next_lease = 0
        self.copies: list[StoreState] = []
        self.late_writes: list[tuple[store_api.Write, int]] = []
        self.nodes = {name: self._create(name) for name in NAMES}
        self.sends: list[tuple[datetime.datetime, str, int]] = []
        self.is_store_up = True
        self.delayed: list[roster_lib.NodeStatus] = []

    @stateful.initialize(revision=st.sampled_from(REVISIONS))
    def start_store(self, revision: int) -> None:
        """Let the store have made many changes before."""
        self.revision = revision

    def _create(self, name: str) -> simulated_node.SimulatedNode:
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
        return simulated_node.SimulatedNode(
            holder_state, known, grants.ReceivedGrants()
        )

    @property
    def owner(self) -> str:
        """Name of the node that the holder's key names; empty if none."""
        item = self.items.get(order_holder.HOLDER_KEY)
        return "" if item is None else item.value.split()[0].decode()

    def _expire(self) -> None:
        end = self.lease_ends.get(self.holder_lease)
        if self.owner and (end is None or end <= self.now):
            self.items.pop(order_holder.HOLDER_KEY, None)
            self.revision += 1

    def _copy(self) -> StoreState:
        return StoreState(
            self.revision,
            dict(self.items),
            dict(self.lease_ends),
            self.holder_lease,
        )

    @stateful.rule(back=st.integers(0, MAX_COPIES), is_expired=st.booleans())
    def restore(self, back: int, is_expired: bool) -> None:
        """Let the store return from a copy, with or without its leases."""
        if not self.copies:
            return
        copy = self.copies[-min(back + 1, len(self.copies))]
        self.era += 1
        self.revision = copy.revision
        self.items = {
            key: store_api.Item(
                key,
                item.value,
                store_api.Position(self.era, item.position.revision),
            )
            for key, item in copy.items.items()
        }
        self.holder_lease = copy.holder_lease
        self.lease_ends = {
            lease: end if is_expired else self.now + LEASE
            for lease, end in copy.lease_ends.items()
        }
        self.next_lease = max(copy.lease_ends, default=0)
        self.is_store_up = True

    @stateful.rule(
        back=st.integers(0, MAX_COPIES),
        is_expired=st.booleans(),
        rounds=st.integers(1, 40),
    )
    def restore_unseen(self, back: int, is_expired: bool, rounds: int) -> None:
        """Let the store return while its holder hears of nothing."""
        self.is_store_up = True
        self.run_undisturbed(3)
        holder = self.owner
        self.restore(back, is_expired)
        for _ in range(rounds):
            self.run_nodes([n for n in NAMES if n != holder], 200, "", True)
            if holder:
                self._send(holder)
            self.sends_keep_the_pause()

    @stateful.rule(
        name=st.sampled_from(NAMES),
        step=st.integers(1, 3),
        rounds=st.integers(0, 10),
    )
    def name_false_era(self, name: str, step: int, rounds: int) -> None:
        """Let a node, often the holder, believe an era that never began."""
        node = self.nodes[self.owner or name]
        node.hear_era(self.era + step, self.now)
        for _ in range(rounds):
            self.run_nodes(list(NAMES), 200, "", False)
            self.sends_keep_the_pause()

    @stateful.rule(fence=st.integers(1, 2**63), rounds=st.integers(0, 10))
    def name_false_term(self, fence: int, rounds: int) -> None:
        """Let all nodes hear of a term that never began."""
        for node in self.nodes.values():
            node.holder_state.hear_term(fence, self.era, self.now)
        for _ in range(rounds):
            self.run_nodes(list(NAMES), 200, "", False)
            self.sends_keep_the_pause()

    @stateful.rule()
    def execute_late_writes(self) -> None:
        """Carry out calls that got no answer, where their condition holds."""
        for write, lease in self.late_writes:
            end = self.lease_ends.get(lease)
            if self._is_possible(write) and end is not None and end > self.now:
                self._write(write)
                self.holder_lease = lease
        self.late_writes.clear()

    @stateful.rule(
        running=st.lists(st.sampled_from(NAMES), max_size=3, unique=True),
        ms=st.integers(50, 900),
        fault=st.sampled_from(FAULTS),
        is_cut=st.booleans(),
    )
    def run_nodes(
        self, running: list[str], ms: int, fault: str, is_cut: bool
    ) -> None:
        """Advance the time, then let the running nodes do their work."""
        self.now += datetime.timedelta(milliseconds=ms)
        self._expire()
        self.copies = [*self.copies[-MAX_COPIES:], self._copy()]
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
            self._propose(name, fault)
            self._end_pause(name)
            self._end_term(name)
            self._send(name)

    @stateful.rule(rounds=st.integers(1, 20))
    def run_undisturbed(self, rounds: int) -> None:
        """Run all nodes without faults."""
        for _ in range(rounds):
            self.run_nodes(list(NAMES), 200, "", False)

    @stateful.rule()
    def switch_store(self) -> None:
        """Make the store unavailable or available again."""
        self.is_store_up = not self.is_store_up

    @stateful.rule(name=st.sampled_from(NAMES))
    def deliver_late(self, name: str) -> None:
        """Deliver statuses late."""
        for status in self.delayed[-6:]:
            self.nodes[name].receive_status(status, self.now)

    def _exchange_statuses(self, running: list[str]) -> None:
        for name in running:
            status = self.nodes[name].create_status(self.now)
            self.delayed.append(status)
            for other in running:
                if other != name:
                    self.nodes[other].receive_status(status, self.now)

    @stateful.rule(name=st.sampled_from(NAMES), seconds=st.integers(1, 8))
    def run_alone(self, name: str, seconds: int) -> None:
        """Run one node alone for some seconds."""
        for _ in range(seconds * 2):
            self.run_nodes([name], 500, "", True)

    @stateful.rule(name=st.sampled_from(NAMES))
    def send_after_pause(self, name: str) -> None:
        """Let a node that was paused send before it does anything else."""
        self._send(name)

    @stateful.rule(
        name=st.sampled_from(NAMES), is_leaving_reported=st.booleans()
    )
    def restart(self, name: str, is_leaving_reported: bool) -> None:
        """Restart a node; the status with which it leaves may be lost."""
        leaving = self.nodes[name]
        if is_leaving_reported:
            leaving.has_left = True
            status = leaving.create_status(self.now)
            for other in NAMES:
                if other != name:
                    self.nodes[other].receive_status(status, self.now)
        self.nodes[name] = self._create(name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def resign(self, name: str) -> None:
        """Let a node that lost its links leave its term to others."""
        self.nodes[name].holder_state.resign()

    @stateful.rule(is_restarted=st.booleans())
    def change_holder(self, is_restarted: bool) -> None:
        """Let the holder's lease lapse until another node becomes holder.

        The new holder may restart before its pause is over.
        """
        self.is_store_up = True
        self.run_undisturbed(3)
        before = self.owner
        for _ in range(12):
            self.run_nodes([before] if before else [], 200, "no_renewal", True)
        others = [name for name in NAMES if name != before]
        for _ in range(25):
            self.run_nodes(others, 200, "", True)
            if self.owner not in ("", before):
                break
        if is_restarted and self.owner:
            self.nodes[self.owner] = self._create(self.owner)
        for _ in range(4):
            self.run_nodes(others, 200, "", True)

    def _renew(self, name: str) -> None:
        node = self.nodes[name]
        node.hear_store(self.era, self.now)
        sent = self.now
        end = self.lease_ends.get(node.lease)
        if end is None or end <= self.now:
            node.holder_state.record_lease_end()
            self.next_lease += 1
            node.lease = self.next_lease
        self.lease_ends[node.lease] = self.now + LEASE
        self.now += datetime.timedelta(milliseconds=20)
        node.holder_state.record_renewal(sent)

    def _observe_keys(self, name: str) -> None:
        self.nodes[name].hear_store(self.era, self.now)
        self.nodes[name].holder_state.observe_keys(
            self.items.get(order_holder.HOLDER_KEY),
            self.items.get(order_holder.TERM_KEY),
            self.items.get(order_holder.PAUSE_END_KEY),
            store_api.Position(self.era, self.revision),
            self.now,
        )

    def _propose(self, name: str, fault: str) -> None:
        node = self.nodes[name]
        if node.roster.find_holder(self.now) is not None or not node.lease:
            return
        write = node.holder_state.propose(node.lease, self.now)
        if write is None:
            return
        if fault == "late_write":
            self.late_writes.append((write, node.lease))
            return
        end = self.lease_ends.get(node.lease)
        if end is None or end <= self.now or not self._is_possible(write):
            return
        self._write(write)
        self.holder_lease = node.lease
        if fault != "lost_answer":
            node.hear_store(self.era, self.now)
            node.holder_state.record_won_term(
                write, store_api.Position(self.era, self.revision), self.now
            )

    def _is_possible(self, write: store_api.Write) -> bool:
        """Compare revisions, as the store does: it knows no positions."""
        for key, position in write.expected:
            item = self.items.get(key)
            revision = item.position.revision if item else 0
            if revision != (position.revision if position else 0):
                return False
        return True

    def _write(self, write: store_api.Write) -> None:
        self.revision += 1
        for put in write.puts:
            self.items[put.key] = store_api.Item(
                put.key,
                put.value,
                store_api.Position(self.era, self.revision),
            )
        for key in write.deletes:
            self.items.pop(key, None)

    def _end_pause(self, name: str) -> None:
        write = self.nodes[name].holder_state.propose_pause_end(self.now)
        if write is not None and self._is_possible(write):
            self._write(write)

    def _end_term(self, name: str) -> None:
        write = self.nodes[name].holder_state.propose_end_of_term()
        if write is not None and self._is_possible(write):
            self._write(write)

    def _send(self, name: str) -> None:
        node = self.nodes[name]
        if node.can_send(self.now):
            self.sends.append((self.now, name, node.holder_state.fence))

    @stateful.invariant()
    def sends_keep_the_pause(self) -> None:
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
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
)


def test_a_holder_that_wakes_waits_for_one_that_began_after_a_peer_left() -> (
    None
):
    simulation = HolderSimulation()
    steps: tuple[Callable[[], None], ...] = (
        lambda: simulation.change_holder(is_restarted=False),
        simulation.switch_store,
        simulation.switch_store,
        lambda: simulation.restart(name="n3", is_leaving_reported=True),
        lambda: simulation.run_alone(name="n3", seconds=4),
        lambda: simulation.run_nodes(["n1", "n2"], 50, "", is_cut=False),
        lambda: simulation.change_holder(is_restarted=False),
    )
    for step in steps:
        step()
        simulation.sends_keep_the_pause()
