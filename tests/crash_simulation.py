"""Nodes and engines in simulated time, with requests that crash engines."""

import collections
from collections.abc import Callable
import dataclasses
import datetime
import functools
import heapq
import itertools
import random

from cicadahook.core import clock as clock_lib
from cicadahook.core import crash_suspects

SECOND = datetime.timedelta(seconds=1)
VERDICTS = crash_suspects.Verdict


@dataclasses.dataclass
class Run:
    """A request that runs at an engine.

    Attributes:
        node: number of the node that sent it.
        traits: its traits.
        sent: when it was sent.
        began: when its answer began.
        trial: the traits on trial with it.
    """

    node: int
    traits: tuple[str, ...]
    sent: datetime.datetime
    began: datetime.datetime
    trial: tuple[str, ...]


class Simulation:
    """Nodes and engines in simulated time.

    Attributes:
        fatal: parts that crash the engine that begins an answer on them.
        crashes: when an engine crashed on each fatal part.
        reached: when a request with each fatal part reached an engine.
        offered: when sound requests were sent, and whether they were refused.
        convicted: number of those that were refused for good.
        returns: when each engine is back after its last crash.
    """

    def __init__(self, seed: int, nodes: int, engines: int) -> None:
        self.random = random.Random(seed)
        self.clock = clock_lib.ManualClock()
        self.nodes = [
            crash_suspects.CrashSuspects(self.clock) for _ in range(nodes)
        ]
        self.engines: list[list[Run]] = [[] for _ in range(engines)]
        self.incarnations = itertools.count()
        self.names = [f"e{number}" for number in range(engines)]
        self.fatal: set[str] = set()
        self.crashes: dict[str, list[datetime.datetime]] = (
            collections.defaultdict(list)
        )
        self.reached: dict[str, list[datetime.datetime]] = (
            collections.defaultdict(list)
        )
        self.offered: list[tuple[datetime.datetime, bool]] = []
        self.convicted = 0
        self.returns = [self.clock.now()] * engines
        self.queue: list[
            tuple[datetime.datetime, int, functools.partial[object]]
        ] = []
        self.numbers = itertools.count()
        for number in range(nodes):
            self.at(self.random.uniform(0, 0.15), self.tell, number)

    def at(
        self, seconds: float, call: Callable[..., object], *arguments: object
    ) -> None:
        """Call something after some seconds."""
        when = self.clock.now() + seconds * SECOND
        entry = (when, next(self.numbers), functools.partial(call, *arguments))
        heapq.heappush(self.queue, entry)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.clock.now() + seconds * SECOND
        while self.queue and self.queue[0][0] <= end:
            when, _, call = heapq.heappop(self.queue)
            self.clock.advance(max(when - self.clock.now(), 0 * SECOND))
            call()
        self.clock.advance(end - self.clock.now())

    def tell(self, number: int) -> None:
        """Send a node's statements to the others, one in fifty is lost."""
        statements = self.nodes[number].list_statements(self.random)
        for other, node in enumerate(self.nodes):
            if other != number and self.random.random() < 0.98:
                self.at(0.002, node.merge, statements)
        self.at(0.15, self.tell, number)

    def send(self, *parts: str) -> None:
        """Send a request with these shared parts to a random node."""
        traits = (f"request {next(self.numbers)}", *parts)
        number = self.random.randrange(len(self.nodes))
        node = self.nodes[number]
        verdict = node.check(traits)
        is_refused = verdict in (VERDICTS.SUSPECTED, VERDICTS.QUARANTINED)
        if not self.fatal & set(parts):
            self.offered.append((self.clock.now(), is_refused))
            self.convicted += verdict is VERDICTS.QUARANTINED
        engine = self.random.randrange(len(self.engines))
        if is_refused or self.clock.now() < self.returns[engine]:
            return
        trial = node.begin_trial(traits, self.clock.now() + 9 * SECOND)
        for part in self.fatal & set(parts):
            self.reached[part].append(self.clock.now())
        began = self.clock.now() + self.random.uniform(0.02, 0.2) * SECOND
        run = Run(number, traits, self.clock.now(), began, trial)
        self.engines[engine].append(run)
        if self.fatal & set(parts):
            delay = (began - self.clock.now()) / SECOND
            self.at(delay, self.crash_on, engine, run)
        else:
            self.at(self.random.uniform(0.3, 2), self.complete, engine, run)

    def complete(self, engine: int, run: Run) -> None:
        """End a request that its engine still runs."""
        if run in self.engines[engine]:
            self.engines[engine].remove(run)
            self.nodes[run.node].record_sound(run.traits, run.began)
            self.nodes[run.node].end_trial(run.trial)

    def crash_on(self, engine: int, run: Run) -> None:
        """Let an engine crash on a request that it still runs."""
        if run in self.engines[engine]:
            for part in self.fatal & set(run.traits):
                self.crashes[part].append(self.clock.now())
            self.crash(engine)

    def crash_all(self, seconds: float) -> None:
        """Let all engines crash at once and stay away for some seconds."""
        for engine in range(len(self.engines)):
            self.crash(engine)
            self.returns[engine] = self.clock.now() + seconds * SECOND

    def crash(self, engine: int) -> None:
        """Let an engine crash; nodes notice after up to half a second."""
        runs, self.engines[engine] = self.engines[engine], []
        death = f"{self.names[engine]}/{next(self.incarnations)}"
        now = self.clock.now()
        for run in runs:
            node = self.nodes[run.node]
            node.end_trial(run.trial, now + 5 * SECOND)
            if now < run.began + SECOND:
                self.at(
                    self.random.uniform(0.05, 0.5),
                    node.record_death,
                    run.traits,
                    death,
                    run.sent,
                    now,
                )

    def offer(
        self, per_second: float, seconds: float, draw: Callable[[], list[str]]
    ) -> None:
        """Send requests at random moments of the next seconds."""
        at = self.random.expovariate(per_second)
        while at < seconds:
            self.at(at, lambda: self.send(*draw()))
            at += self.random.expovariate(per_second)

    def draw_sound(self) -> list[str]:
        """Return the shared parts of a sound request."""
        return ["first", f"subject {int(self.random.paretovariate(0.7)) % 40}"]

    def count_refused(self, since: datetime.datetime) -> float:
        """Return the share of sound requests refused since then."""
        late = [refused for when, refused in self.offered if when >= since]
        return sum(late) / len(late)
