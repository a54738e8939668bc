"""Compares the routing policies under load, with engines as a small model.

Run: python benchmarks/routing.py [--seeds 3] [--jobs 2] [--sites biobio,aarwil]

Load rises over the warm-up. Four entries run the admission machine of core/
with an injected clock and share their reports late. `bare:NAME` runs a policy
without limits and queues. Prints JSON: the share of requests served within
their deadline, and ratios to round robin, bare and with admission.
"""

import collections
from collections.abc import Callable
import concurrent.futures
import dataclasses
import datetime
import heapq
import itertools
import json
import random
import statistics
from typing import Any, Final

import fire

from cicadahook.core import admission
from cicadahook.core import admitter as admitter_lib
from cicadahook.core import clock as clock_lib
from cicadahook.core import request as request_lib
from cicadahook.core import routing
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib

ENTRIES: Final = 4
LOADS: Final = (0.5, 0.8, 1.0, 1.3, 2.0)
REPORT_SECONDS: Final = 0.5
REPORT_LAG_SECONDS: Final = 0.3
WARM_UP: Final = 15.0
MEASURED: Final = 15.0
TAIL: Final = 20.0
BACKGROUND_SECONDS: Final = 20.0
COPIES: Final = 3
PREFIXES: Final = 200
CACHED_PREFIXES: Final = 64
MISS_TOKENS: Final = 4
TOKEN_SPREAD: Final = 0.5
PACE_NOISE: Final = 0.1
BARE: Final = "bare:"
# The second is the entry as it was before it had admission.
BASELINES: Final = (f"{BARE}round_robin", f"{BARE}least_in_flight")
MIX: Final = (
    (request_lib.Priority.INTERACTIVE, 0.6, 2.5),
    (request_lib.Priority.NORMAL, 0.2, 5.0),
    (request_lib.Priority.BACKGROUND, 0.2, 0.0),
)


@dataclasses.dataclass(frozen=True)
class Site:
    """A deployment.

    Attributes:
        engines: number of model engines.
        services: number of plain service workers.
        rows: number of models.
        knee: requests in flight up to which a token takes `step` seconds.
        step: seconds a token.
        tokens: mean tokens of an answer.
    """

    engines: int
    services: int
    rows: int
    knee: int
    step: float
    tokens: int

    @property
    def capacity(self) -> float:
        """Requests a second that the engines can serve."""
        return self.engines * self.knee / (self.step * self.tokens)


SITES: Final = {
    "biobio": Site(5, 3, 14, 16, 0.006, 100),
    "aarwil": Site(9, 3, 20, 80, 0.0075, 300),
}
PORTAL: Final = "portal"
PORTAL_SHARE: Final = 0.05


@dataclasses.dataclass(frozen=True)
class Case:
    """One run."""

    site: str
    policy: str
    load: float
    slowdown: float
    seed: int


@dataclasses.dataclass
class Job:
    """An attempt on an engine."""

    entry: int
    grant: admission.Grant
    started: float
    finish: float
    tokens: int


class Engine:
    """Shares its speed among the jobs in flight; slower beyond the knee."""

    def __init__(self, knee: int, step: float) -> None:
        self.knee = knee
        self.step = step
        self.progress = 0.0
        self.updated = 0.0
        self.jobs: dict[int, Job] = {}
        self.order: list[tuple[float, int]] = []
        self.version = 0
        self.cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    @property
    def token_seconds(self) -> float:
        """Seconds a token of every job takes now."""
        return self.step * max(1.0, len(self.jobs) / self.knee)

    def advance(self, now: float) -> None:
        """Bring the jobs to `now`."""
        self.progress += (now - self.updated) / self.token_seconds
        self.updated = now

    def next_end(self) -> tuple[float, int] | None:
        """Return when the next job ends, and its number."""
        while self.order and self.order[0][1] not in self.jobs:
            heapq.heappop(self.order)
        if not self.order:
            return None
        finish, number = self.order[0]
        left = max(0.0, finish - self.progress)
        return self.updated + left * self.token_seconds, number

    def is_cached(self, prefix: str) -> bool:
        """Whether `prefix` is cached; it is afterwards."""
        is_hit = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return is_hit


class BareEntry:
    """Grants at once by own counts: an entry without admission."""

    def __init__(self, mode: routing.RoutingMode) -> None:
        self.policy = routing.create_policy(mode)
        self.view = view_lib.View()
        self.own: collections.Counter[str] = collections.Counter()
        self.granted: dict[int, str] = {}
        self.numbers = itertools.count(1)

    def handle(
        self, message: admission.Message, now: datetime.datetime
    ) -> list[admission.Decision]:
        """Return the grant of an arrival."""
        if isinstance(message, admission.ViewChanged):
            self.view = message.view
        if isinstance(message, admission.Ended):
            self.own[self.granted.pop(message.number)] -= 1
        if not isinstance(message, admission.Arrived):
            return []
        loads = [
            routing.Load(upstream, self.own[upstream.address])
            for upstream in self.view.upstreams_for(message.row)
        ]
        chosen = self.policy.choose(message.request, loads)
        assert chosen is not None, "a bare entry always has room"
        number = next(self.numbers)
        self.own[chosen.upstream.address] += 1
        self.granted[number] = chosen.upstream.address
        grant = admission.Grant(number, message.row.name, chosen.upstream, now)
        return [admission.Granted(message.ticket, grant)]

    def wake_at(self, now: datetime.datetime) -> None:
        """Return None: nothing ever waits."""
        del now


class Simulation:
    """One run of a case."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.site = SITES[case.site]
        self.random = random.Random(case.seed)
        # All policies see the same arrivals.
        self.noise = random.Random(-case.seed - 1)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.tickets = itertools.count(1)
        self.requests: dict[int, tuple[request_lib.Request, int]] = {}
        self.running: dict[tuple[int, int], int] = {}
        self.measured: set[int] = set()
        self.served: set[int] = set()
        self.counts: collections.Counter[str] = collections.Counter()
        self.rows = self._create_rows()
        self.engines = self._create_engines()
        self.view = self._create_view()
        self.entries = [self._create_entry(i) for i in range(ENTRIES)]
        self.woken: dict[int, float] = {}
        self.reports: dict[int, tuple[view_lib.UpstreamUse, ...]] = {}
        self.reported = {address: 0 for address in self.engines}

    def _create_rows(self) -> dict[str, table_lib.Row]:
        models = [
            table_lib.Row(f"m{i}", table_lib.RowKind.MODEL, memory_bytes=1)
            for i in range(self.site.rows)
        ]
        portal = table_lib.Row(PORTAL, table_lib.RowKind.SERVICE)
        return {row.name: row for row in (*models, portal)}

    def _create_engines(self) -> dict[str, Engine]:
        site = self.site
        engines = {
            f"e{i}": Engine(site.knee, site.step) for i in range(site.engines)
        }
        engines["e0"].step *= self.case.slowdown
        for i in range(site.services):
            engines[f"s{i}"] = Engine(site.knee, site.step)
        return engines

    def _create_view(self) -> view_lib.View:
        """Return the first view, with copies spread evenly."""
        site = self.site
        copies = tuple(
            view_lib.Copy(
                f"m{row}",
                f"e{(row + step) % site.engines}",
                "1",
                view_lib.CopyState.SERVING,
            )
            for row in range(site.rows)
            for step in range(COPIES)
        )
        return view_lib.View(
            number=1,
            table=table_lib.Table(1, tuple(self.rows.values())),
            upstreams=tuple(
                _create_upstream(address, i)
                for i, address in enumerate(self.engines)
            ),
            copies=copies,
            members=tuple(
                view_lib.Member(f"n{i}", f"{i}:1", f"{i}:2", f"z{i % 3}")
                for i in range(ENTRIES)
            ),
        )

    def _create_entry(self, index: int) -> Any:
        name = self.case.policy.removeprefix(BARE)
        seed = self.case.seed * ENTRIES + index
        mode = routing.RoutingMode(name, f"z{index % 3}", seed)
        if name != self.case.policy:
            return BareEntry(mode)
        return admitter_lib.Admitter(
            admission.AdmissionMode(mode, entry=f"n{index}")
        )

    def run(self) -> dict[str, float]:
        """Return the share in time, all and of the interactive requests."""
        for index in range(ENTRIES):
            self._send(index, admission.ViewChanged(self.view))
            offset = REPORT_SECONDS * index / ENTRIES
            self._at(offset, self._report(index))
        self._at(0.0, self._arrive)
        while self.events:
            at, _, call = heapq.heappop(self.events)
            self.now = at
            call()
        assert not self.requests, "requests left without an answer"
        return {
            "share": len(self.served & self.measured) / len(self.measured),
            "in_time": float(len(self.served & self.measured)),
            **{code: float(count) for code, count in self.counts.items()},
        }

    def _at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.numbers), call))

    def _time(self) -> datetime.datetime:
        return clock_lib.EPOCH + datetime.timedelta(seconds=self.now)

    @property
    def is_over(self) -> bool:
        """Whether no more requests arrive."""
        return self.now > WARM_UP + MEASURED + TAIL

    def _arrive(self) -> None:
        """Let one request arrive, and plan the next arrival."""
        if self.is_over:
            return
        rate = self.case.load * self.site.capacity / (1 - PORTAL_SHARE)
        rate *= max(0.1, min(1.0, self.now / WARM_UP))
        self._at(self.now + self.random.expovariate(rate), self._arrive)
        request, tokens = self._create_request()
        ticket = next(self.tickets)
        self.requests[ticket] = request, tokens
        if WARM_UP <= self.now < WARM_UP + MEASURED:
            self.measured.add(ticket)
        row = self.rows[request.row]
        entry = self.random.randrange(ENTRIES)
        self._send(entry, admission.Arrived(ticket, request, row))

    def _create_request(self) -> tuple[request_lib.Request, int]:
        """Return a request and the tokens that its answer will have."""
        draw = self.random
        model = f"m{draw.randrange(self.site.rows)}"
        row = PORTAL if draw.random() < PORTAL_SHARE else model
        priority, patience = draw.choices(
            [(priority, patience) for priority, _, patience in MIX],
            [share for _, share, _ in MIX],
        )[0]
        seconds = patience * self.site.tokens * self.site.step
        mean = self.site.tokens
        tokens = draw.lognormvariate(-(TOKEN_SPREAD**2) / 2, TOKEN_SPREAD)
        request = request_lib.Request(
            id="r",
            row=row,
            path="/",
            arrived=self._time(),
            deadline=self._time()
            + datetime.timedelta(seconds=seconds or BACKGROUND_SECONDS),
            priority=priority,
            prefix=f"{row} {draw.randrange(PREFIXES // self.site.rows)}",
        )
        return request, max(1, round(tokens * mean))

    def _send(self, index: int, message: admission.Message) -> None:
        """Pass a message to an entry and carry out its decisions."""
        entry = self.entries[index]
        for decision in entry.handle(message, self._time()):
            if isinstance(decision, admission.Granted):
                self._start(index, decision)
            else:
                self.requests.pop(decision.ticket)
                if decision.ticket in self.measured:
                    self.counts[decision.code.value] += 1
        wake = entry.wake_at(self._time())
        if wake is not None:
            at = (wake - clock_lib.EPOCH).total_seconds()
            if self.woken.get(index, 0.0) <= self.now:
                self.woken[index] = at
                self._at(at, lambda: self._send(index, admission.Woken()))

    def _start(self, index: int, decision: admission.Granted) -> None:
        """Start an attempt on its engine."""
        grant = decision.grant
        request, tokens = self.requests[decision.ticket]
        engine = self.engines[grant.upstream.address]
        engine.advance(self.now)
        work = tokens * self.noise.lognormvariate(0, PACE_NOISE)
        if not engine.is_cached(request.prefix):
            work += MISS_TOKENS
        job = Job(index, grant, engine.progress, engine.progress + work, tokens)
        engine.jobs[decision.ticket] = job
        heapq.heappush(engine.order, (job.finish, decision.ticket))
        self._plan(engine)
        deadline = (request.deadline - clock_lib.EPOCH).total_seconds()
        self._at(deadline, lambda: self._time_out(engine, decision.ticket))

    def _plan(self, engine: Engine) -> None:
        """Plan the end of the engine's next job."""
        engine.version += 1
        version = engine.version
        planned = engine.next_end()
        if planned is not None:
            at, ticket = planned
            self._at(at, lambda: self._finish(engine, ticket, version))

    def _finish(self, engine: Engine, ticket: int, version: int) -> None:
        """End a job, unless the plan has changed."""
        if version == engine.version:
            self.served.add(ticket)
            self._end(engine, ticket, admission.AttemptEnd.SERVED)

    def _time_out(self, engine: Engine, ticket: int) -> None:
        """Cancel a job whose deadline has come."""
        if ticket in engine.jobs:
            self._end(engine, ticket, admission.AttemptEnd.TIMED_OUT)

    def _end(
        self, engine: Engine, ticket: int, end: admission.AttemptEnd
    ) -> None:
        """Take a job out and tell its entry."""
        engine.advance(self.now)
        job = engine.jobs.pop(ticket)
        self._plan(engine)
        self.requests.pop(ticket)
        done = job.tokens
        if end is admission.AttemptEnd.TIMED_OUT:
            done = int(engine.progress - job.started)
        result = admission.AttemptResult(end, tokens=done)
        self._send(job.entry, admission.Ended(job.grant.number, result))

    def _report(self, index: int) -> Callable[[], None]:
        """Return what an entry does at every report."""

        def report() -> None:
            if self.is_over and not self.requests:
                return
            self._at(self.now + REPORT_SECONDS, report)
            entry = self.entries[index]
            if isinstance(entry, BareEntry):
                return
            uses = entry.loads.create_uses()
            self._at(
                self.now + REPORT_LAG_SECONDS,
                lambda: self.reports.update({index: uses}),
            )
            self._send(index, admission.ViewChanged(self._view_for(index)))

        return report

    def _view_for(self, index: int) -> view_lib.View:
        """Return the view with what the other entries reported."""
        uses: dict[str, list[view_lib.UpstreamUse]] = {}
        for other, reported in self.reports.items():
            for use in reported if other != index else ():
                uses.setdefault(use.upstream, []).append(use)
        loads = tuple(
            view_lib.PeerLoad(
                address,
                sum(use.in_flight for use in found),
                statistics.fmean(
                    [use.limit for use in found if use.limit] or [0.0]
                ),
            )
            for address, found in uses.items()
        )
        return dataclasses.replace(self.view, peer_loads=loads)


def _create_upstream(address: str, index: int) -> view_lib.Upstream:
    zone = f"z{index % 3}"
    if address.startswith("e"):
        return view_lib.Upstream(address, zone, view_lib.UpstreamKind.ENGINE)
    return view_lib.Upstream(
        address, zone, view_lib.UpstreamKind.SERVICE, PORTAL
    )


def measure(case: Case) -> dict[str, float]:
    """Run a case."""
    return Simulation(case).run()


def run(
    seeds: int = 3,
    jobs: int = 2,
    sites: str = "biobio,aarwil",
    loads: tuple[float, ...] = LOADS,
    slowdowns: tuple[float, ...] = (1.0, 4.0),
    policies: str = "",
) -> None:
    """Run all cases and print a JSON object a line.

    Args:
        seeds: runs of each case.
        jobs: processes at once.
        sites: comma-separated names of sites.
        loads: multiples of the nominal capacity.
        slowdowns: how much slower one of the engines is.
        policies: comma-separated; empty runs all and the baselines.
    """
    names = [*routing.POLICIES, *BASELINES]
    if policies:
        names = policies.split(",")
    keys = [
        (site, slowdown, load, policy)
        for site in (sites.split(",") if isinstance(sites, str) else sites)
        for slowdown in slowdowns
        for load in loads
        for policy in names
    ]
    cases = [
        Case(site, policy, load, slowdown, seed)
        for site, slowdown, load, policy in keys
        for seed in range(seeds)
    ]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        results = dict(zip(cases, pool.map(measure, cases), strict=True))
    means: dict[tuple[str, float, float, str], dict[str, float]] = {}
    for key in keys:
        site, slowdown, load, policy = key
        found = [
            results[Case(site, policy, load, slowdown, seed)]
            for seed in range(seeds)
        ]
        means[key] = {
            name: statistics.fmean(one.get(name, 0.0) for one in found)
            for name in sorted({name for one in found for name in one})
        }
    for key, mean in means.items():
        print(json.dumps(_describe(key, mean, means)))


def _describe(
    key: tuple[str, float, float, str],
    mean: dict[str, float],
    means: dict[tuple[str, float, float, str], dict[str, float]],
) -> dict[str, Any]:
    """Return one line of the output."""
    site, slowdown, load, policy = key
    line: dict[str, Any] = {
        "site": site,
        "slowdown": slowdown,
        "load": load,
        "policy": policy,
    }
    line |= {name: round(value, 4) for name, value in mean.items()}
    for label, base in (
        ("bare_rr", f"{BARE}round_robin"),
        ("rr", "round_robin"),
    ):
        other = means.get((site, slowdown, load, base))
        if other and other["share"]:
            line[f"to_{label}"] = round(mean["share"] / other["share"], 3)
    at_capacity = means.get((site, slowdown, 1.0, policy))
    if at_capacity:
        line["to_1x"] = round(mean["in_time"] / at_capacity["in_time"], 3)
    return line


if __name__ == "__main__":
    fire.Fire(run)
