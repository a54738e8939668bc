"""Simulated network between membership instances, on one manual clock.

Tests and benchmarks of the membership protocol run many members on it in one
process, reproducibly from a seed.
"""

import dataclasses
import datetime
import heapq
import itertools
import random
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import membership
from cicadahook.core import swim
from cicadahook.core import view

TICK_PERIOD: Final = datetime.timedelta(seconds=0.1)
MIN_DELAY_SECONDS: Final = 0.0005
MAX_DELAY_SECONDS: Final = 0.003


@dataclasses.dataclass(frozen=True, order=True)
class Event:
    """Delivery of a message, or a tick of a member.

    Attributes:
        time: when it is due.
        number: order among events due at the same time.
        address: member that receives the message or ticks.
        source: address of the sender; empty for a tick.
        message: the message; None for a tick.
    """

    time: datetime.datetime
    number: int
    address: str = dataclasses.field(compare=False)
    source: str = dataclasses.field(default="", compare=False)
    message: swim.Message | None = dataclasses.field(
        default=None, compare=False
    )


class NetworkStandin:
    """Runs members over a network that loses, delays and reorders messages.

    Attributes:
        clock: time of all members; `run` advances it.
        rng: source of all random decisions.
        mode: settings of each member.
        nodes: members by address.
        loss: share of the messages that are lost, from 0 to 1.
        paused: addresses whose process is paused; messages to it are kept
            until it resumes.
        isolated: addresses to and from which all messages are lost.
        extra_delays: additional delay of messages to an address.
        sent: messages sent so far, lost ones included.
        events: heap of the events that are due later.
        pending_events: messages kept for paused members, by address.
        event_numbers: source of the numbers of events.
    """

    def __init__(
        self,
        clock: clock_lib.ManualClock,
        seed: int,
        mode: swim.MembershipMode = swim.MembershipMode(),
    ) -> None:
        self.clock = clock
        self.rng = random.Random(seed)
        self.mode = mode
        self.nodes: dict[str, membership.Membership] = {}
        self.loss = 0.0
        self.paused: set[str] = set()
        self.isolated: set[str] = set()
        self.extra_delays: dict[str, datetime.timedelta] = {}
        self.sent = 0
        self.events: list[Event] = []
        self.pending_events: dict[str, list[Event]] = {}
        self.event_numbers = itertools.count()

    def start(self, name: str, seeds: tuple[str, ...]) -> str:
        """Start a member, in place of one of the same name; return its address.

        Args:
            name: name of the member.
            seeds: addresses of the members that it contacts first.
        """
        address = f"{name}:1"
        own = view.Member(name, f"{name}:2", address, "zone1")
        node = membership.Membership(
            own,
            self.mode,
            random.Random(self.rng.random()),
            self.clock.now(),
        )
        node.seeds = seeds
        is_new = address not in self.nodes
        self.nodes[address] = node
        if is_new:
            offset = self.rng.random() * TICK_PERIOD
            self._schedule(Event(self.clock.now() + offset, 0, address))
        return address

    def stop(self, address: str) -> None:
        """Kill a member; it does not announce that it leaves."""
        del self.nodes[address]

    def resume(self, address: str) -> None:
        """Resume a paused member and deliver the messages kept for it."""
        self.paused.discard(address)
        for event in self.pending_events.pop(address, []):
            self._schedule(dataclasses.replace(event, time=self.clock.now()))

    def send(self, source: str, sends: tuple[swim.Send, ...]) -> None:
        """Send messages from `source`, each subject to loss and delay."""
        for send in sends:
            self.sent += 1
            if self.rng.random() < self.loss or source in self.isolated:
                continue
            seconds = self.rng.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)
            delay = datetime.timedelta(seconds=seconds)
            delay += self.extra_delays.get(send.address, datetime.timedelta())
            time = self.clock.now() + delay
            self._schedule(Event(time, 0, send.address, source, send.message))

    def run(self, seconds: float) -> None:
        """Advance the clock by `seconds`, handling the events that fall due."""
        end = self.clock.now() + datetime.timedelta(seconds=seconds)
        while self.events and self.events[0].time <= end:
            event = heapq.heappop(self.events)
            self.clock.advance(
                max(event.time, self.clock.now()) - self.clock.now()
            )
            self._handle(event)
        self.clock.advance(end - self.clock.now())

    def _handle(self, event: Event) -> None:
        node = self.nodes.get(event.address)
        if event.message is None:
            if node is not None:
                next_time = self.clock.now() + TICK_PERIOD
                self._schedule(Event(next_time, 0, event.address))
                if event.address not in self.paused:
                    self.send(event.address, node.tick(self.clock.now()))
        elif event.address in self.paused:
            self.pending_events.setdefault(event.address, []).append(event)
        elif node is not None and event.address not in self.isolated:
            sends = node.receive(event.message, event.source, self.clock.now())
            self.send(event.address, sends)

    def _schedule(self, event: Event) -> None:
        numbered = dataclasses.replace(event, number=next(self.event_numbers))
        heapq.heappush(self.events, numbered)
