"""Machines that take turns as holder of orders, run at random.

The oracle knows every send: those of two machines must lie a pause apart and
fences must never fall, whatever is paused, lapses, or is told late.
"""

import datetime
import itertools

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from cicadahook.core import clock as clock_lib
from cicadahook.core import holder as holder_lib
from cicadahook.core import storage

PAUSE = datetime.timedelta(seconds=3)
LEASE = datetime.timedelta(seconds=3)
NAMES = ("n1", "n2", "n3")
MISHAPS = ("", "", "", "no_renewal", "no_view", "lost_answer")


class HolderWorld(stateful.RuleBasedStateMachine):
    """Three machines, their leases and the store."""

    def __init__(self) -> None:
        super().__init__()
        self.now = clock_lib.EPOCH
        self.revision = 1
        self.items: dict[str, storage.Item] = {}
        self.owner = ""
        self.lease_ends: dict[str, datetime.datetime] = {}
        self.machines = {name: self._create(name) for name in NAMES}
        self.sends: list[tuple[datetime.datetime, str, int]] = []

    def _create(self, name: str) -> holder_lib.HolderMachine:
        token = str(self.revision)
        return holder_lib.HolderMachine(name, token, PAUSE, LEASE)

    def _expire(self) -> None:
        end = self.lease_ends.get(self.owner)
        if self.owner and (end is None or end <= self.now):
            self.items.pop(holder_lib.HOLDER_KEY, None)
            self.owner = ""
            self.revision += 1

    @stateful.rule(
        awake=st.lists(st.sampled_from(NAMES), max_size=3, unique=True),
        ms=st.integers(50, 900),
        mishap=st.sampled_from(MISHAPS),
    )
    def live(self, awake: list[str], ms: int, mishap: str) -> None:
        """Let time pass, then the machines that are awake do their work."""
        self.now += datetime.timedelta(milliseconds=ms)
        self._expire()
        for name in awake:
            if mishap != "no_renewal":
                self._renew(name)
            if mishap != "no_view":
                self._see(name)
            self._propose(name, mishap != "lost_answer")
            self._send(name)

    @stateful.rule(name=st.sampled_from(NAMES), seconds=st.integers(1, 8))
    def freeze_all_but(self, name: str, seconds: int) -> None:
        """Let one machine live alone for some seconds."""
        for _ in range(seconds * 2):
            self.live([name], 500, "")

    @stateful.rule(name=st.sampled_from(NAMES))
    def wake(self, name: str) -> None:
        """Let a machine send before it does anything else."""
        self._send(name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        """Let a machine stop and start again."""
        write = self.machines[name].propose_release()
        known = self.items.get(holder_lib.HOLDER_KEY)
        if write and known and write.expected[0][1] == known.revision:
            del self.items[holder_lib.HOLDER_KEY]
            self.owner = ""
        self.revision += 1
        self.machines[name] = self._create(name)

    def _renew(self, name: str) -> None:
        machine = self.machines[name]
        sent = self.now
        end = self.lease_ends.get(name)
        if end is not None and end <= self.now:
            machine.note_lease_ended()
        self.lease_ends[name] = self.now + LEASE
        self.now += datetime.timedelta(milliseconds=20)
        machine.note_renewed(sent)

    def _see(self, name: str) -> None:
        self.machines[name].take_keys(
            self.items.get(holder_lib.HOLDER_KEY),
            self.items.get(holder_lib.TERM_KEY),
            self.revision,
            self.now,
        )

    def _propose(self, name: str, is_answered: bool) -> None:
        machine = self.machines[name]
        write = machine.propose(1, self.now)
        end = self.lease_ends.get(name)
        if write is None or end is None or end <= self.now:
            return
        for key, revision in write.expected:
            known = self.items.get(key)
            if (known.revision if known else 0) != revision:
                return
        self.revision += 1
        for put in write.puts:
            self.items[put.key] = storage.Item(
                put.key, put.value, self.revision
            )
        self.owner = name
        if is_answered:
            machine.take_written(self.revision, self.now)

    def _send(self, name: str) -> None:
        machine = self.machines[name]
        if machine.can_send(self.now):
            self.sends.append((self.now, name, machine.fence))

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


TestHolderWorld = HolderWorld.TestCase
TestHolderWorld.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
