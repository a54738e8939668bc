"""Compares the routing policies under load in a discrete-event simulation.

Run: python benchmarks/routing.py [--seeds 3] [--jobs 2] [--sites biobio,aarwil]

The engines are simulated with a simple model of their speed. Four entries run
the admission state machine of core/ with an injected clock and receive each
other's load reports with a delay. The load rises during the warm-up.
`bare:NAME` runs the policy NAME without limits and queues. Prints JSON lines:
the share of requests served within their deadline, and its ratios to round
robin without admission (`to_bare_rr`) and with admission (`to_rr`).
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
WARM_UP_SECONDS: Final = 15.0
MEASURED_SECONDS: Final = 15.0
TAIL_SECONDS: Final = 20.0
BACKGROUND_SECONDS: Final = 20.0
COPIES_PER_MODEL: Final = 3
PREFIXES: Final = 200
CACHED_PREFIXES: Final = 64
# Work of a prefix cache miss, in tokens.
CACHE_MISS_TOKENS: Final = 4
# Standard deviations of the logarithms of answer length and engine speed.
TOKENS_SIGMA: Final = 0.5
SPEED_NOISE: Final = 0.1
BARE: Final = "bare:"
# Reference policies; the second is what entries did before they had admission.
BASELINES: Final = (f"{BARE}round_robin", f"{BARE}least_in_flight")
# Priority, share of the requests, and deadline as a multiple of the mean
# service time; 0 stands for BACKGROUND_SECONDS.
MIX: Final = (
    (request_lib.Priority.INTERACTIVE, 0.6, 2.5),
    (request_lib.Priority.NORMAL, 0.2, 5.0),
    (request_lib.Priority.BACKGROUND, 0.2, 0.0),
)


@dataclasses.dataclass(frozen=True)
class Site:
    """Size and speed of a deployment.

    Attributes:
        engines: number of model engines.
        services: number of service workers without a model.
        rows: number of models.
        knee: requests in flight up to which a token takes
            `base_token_seconds`.
        base_token_seconds: seconds a token takes up to the knee.
        tokens: mean number of tokens of an answer.
    """

    engines: int
    services: int
    rows: int
    knee: int
    base_token_seconds: float
    tokens: int

    @property
    def capacity(self) -> float:
        """Requests a second that the engines can serve."""
        return (
            self.engines * self.knee / (self.base_token_seconds * self.tokens)
        )


SITES: Final = {
    "biobio": Site(5, 3, 14, 16, 0.006, 100),
    "aarwil": Site(9, 3, 20, 80, 0.0075, 300),
}
PORTAL: Final = "portal"
PORTAL_SHARE: Final = 0.05


@dataclasses.dataclass(frozen=True)
class Case:
    """Parameters of one simulation run.

    Attributes:
        site: name in SITES.
        policy: routing policy; with the prefix BARE, without admission.
        load: arrival rate as a multiple of the site's capacity.
        slowdown: factor by which the first engine is slower than the others.
        seed: seed of arrivals and policies.
    """

    site: str
    policy: str
    load: float
    slowdown: float
    seed: int


@dataclasses.dataclass
class Job:
    """An attempt on an engine.

    Attributes:
        entry: index of the entry that granted it.
        grant: the grant.
        start_progress: progress of the engine at the start, in tokens.
        finish_progress: progress of the engine at the end, in tokens.
        tokens: tokens of the answer.
    """

    entry: int
    grant: admission.Grant
    start_progress: float
    finish_progress: float
    tokens: int


class Engine:
    """A simulated engine, which slows down in proportion beyond its knee.

    Attributes:
        knee: jobs up to which a token takes `base_token_seconds`.
        base_token_seconds: seconds a token takes up to the knee.
        progress: tokens that a job present since the start would have.
        updated: simulated time of `progress`, in seconds.
        jobs: jobs in flight by ticket.
        finish_heap: heap of final progress and ticket; may hold ended jobs.
        schedule_version: increases whenever the next end is rescheduled.
        cache: cached prefixes, the most recently used last.
    """

    def __init__(self, knee: int, base_token_seconds: float) -> None:
        self.knee = knee
        self.base_token_seconds = base_token_seconds
        self.progress = 0.0
        self.updated = 0.0
        self.jobs: dict[int, Job] = {}
        self.finish_heap: list[tuple[float, int]] = []
        self.schedule_version = 0
        self.cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    @property
    def token_seconds(self) -> float:
        """Seconds that one token of each job takes at the present load."""
        return self.base_token_seconds * max(1.0, len(self.jobs) / self.knee)

    def advance(self, now: float) -> None:
        """Advance the progress of all jobs to `now`."""
        self.progress += (now - self.updated) / self.token_seconds
        self.updated = now

    def next_end(self) -> tuple[float, int] | None:
        """Return time and ticket of the next job to end; None without jobs."""
        while self.finish_heap and self.finish_heap[0][1] not in self.jobs:
            heapq.heappop(self.finish_heap)
        if not self.finish_heap:
            return None
        finish_progress, number = self.finish_heap[0]
        left = max(0.0, finish_progress - self.progress)
        return self.updated + left * self.token_seconds, number

    def cache_prefix(self, prefix: str) -> bool:
        """Cache `prefix`; return whether it was cached before."""
        is_hit = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return is_hit


class BareEntry:
    """An entry without admission.

    It grants every request at once and counts only its own requests in flight.
    """

    def __init__(self, mode: routing.RoutingMode) -> None:
        self.policy = routing.create_policy(mode)
        self.view = view_lib.View()
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.granted_upstreams: dict[int, str] = {}
        self.numbers = itertools.count(1)

    def handle(
        self, message: admission.Message, now: datetime.datetime
    ) -> list[admission.Decision]:
        """Handle a message; return the grant if it is an arrival."""
        if isinstance(message, admission.ViewChanged):
            self.view = message.view
        if isinstance(message, admission.Ended):
            self.in_flight[self.granted_upstreams.pop(message.number)] -= 1
        if not isinstance(message, admission.Arrived):
            return []
        loads = [
            routing.Load(upstream, self.in_flight[upstream.address])
            for upstream in self.view.upstreams_for(message.row)
        ]
        chosen = self.policy.choose(message.request, loads)
        assert chosen is not None, "a bare entry always has room"
        number = next(self.numbers)
        self.in_flight[chosen.upstream.address] += 1
        self.granted_upstreams[number] = chosen.upstream.address
        grant = admission.Grant(number, message.row.name, chosen.upstream, now)
        return [admission.Granted(message.ticket, grant)]

    def wake_at(self, now: datetime.datetime) -> None:
        """Return None, since no request ever waits."""
        del now


class Simulation:
    """Discrete-event simulation of one case."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.site = SITES[case.site]
        self.random = random.Random(case.seed)
        # A generator of its own, so that all policies get the same arrivals.
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
        self.next_wakes: dict[int, float] = {}
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
            f"e{i}": Engine(site.knee, site.base_token_seconds)
            for i in range(site.engines)
        }
        engines["e0"].base_token_seconds *= self.case.slowdown
        for i in range(site.services):
            engines[f"s{i}"] = Engine(site.knee, site.base_token_seconds)
        return engines

    def _create_view(self) -> view_lib.View:
        """Return the initial view, with copies spread evenly over engines."""
        site = self.site
        copies = tuple(
            view_lib.Copy(
                f"m{row}",
                f"e{(row + offset) % site.engines}",
                "1",
                view_lib.CopyState.SERVING,
            )
            for row in range(site.rows)
            for offset in range(COPIES_PER_MODEL)
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
        """Run to the end.

        Returns:
            The share of the measured requests that were served in time, their
            number, and the number of refusals by code.
        """
        for index in range(ENTRIES):
            self._send(index, admission.ViewChanged(self.view))
            offset = REPORT_SECONDS * index / ENTRIES
            self._schedule(offset, self._create_reporter(index))
        self._schedule(0.0, self._create_arrival)
        while self.events:
            at, _, callback = heapq.heappop(self.events)
            self.now = at
            callback()
        assert not self.requests, "some requests got no answer"
        return {
            "share": len(self.served & self.measured) / len(self.measured),
            "in_time": float(len(self.served & self.measured)),
            **{code: float(count) for code, count in self.counts.items()},
        }

    def _schedule(self, when: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.numbers), callback))

    def _current_time(self) -> datetime.datetime:
        return clock_lib.EPOCH + datetime.timedelta(seconds=self.now)

    @property
    def is_arrival_over(self) -> bool:
        """Whether the time in which requests arrive has passed."""
        return self.now > WARM_UP_SECONDS + MEASURED_SECONDS + TAIL_SECONDS

    def _create_arrival(self) -> None:
        """Pass a new request to an entry and schedule the next arrival."""
        if self.is_arrival_over:
            return
        rate = self.case.load * self.site.capacity / (1 - PORTAL_SHARE)
        rate *= max(0.1, min(1.0, self.now / WARM_UP_SECONDS))
        self._schedule(
            self.now + self.random.expovariate(rate), self._create_arrival
        )
        request, tokens = self._create_request()
        ticket = next(self.tickets)
        self.requests[ticket] = request, tokens
        if WARM_UP_SECONDS <= self.now < WARM_UP_SECONDS + MEASURED_SECONDS:
            self.measured.add(ticket)
        row = self.rows[request.row]
        entry = self.random.randrange(ENTRIES)
        self._send(entry, admission.Arrived(ticket, request, row))

    def _create_request(self) -> tuple[request_lib.Request, int]:
        """Return a request and the number of tokens of its answer."""
        rng = self.random
        model = f"m{rng.randrange(self.site.rows)}"
        row = PORTAL if rng.random() < PORTAL_SHARE else model
        priority, deadline_factor = rng.choices(
            [
                (priority, deadline_factor)
                for priority, _, deadline_factor in MIX
            ],
            [share for _, share, _ in MIX],
        )[0]
        seconds = (
            deadline_factor * self.site.tokens * self.site.base_token_seconds
        )
        mean = self.site.tokens
        tokens = rng.lognormvariate(-(TOKENS_SIGMA**2) / 2, TOKENS_SIGMA)
        request = request_lib.Request(
            id="r",
            row=row,
            path="/",
            arrived=self._current_time(),
            deadline=self._current_time()
            + datetime.timedelta(seconds=seconds or BACKGROUND_SECONDS),
            priority=priority,
            prefix=f"{row} {rng.randrange(PREFIXES // self.site.rows)}",
        )
        return request, max(1, round(tokens * mean))

    def _send(self, index: int, message: admission.Message) -> None:
        """Pass a message to an entry and execute its decisions."""
        entry = self.entries[index]
        for decision in entry.handle(message, self._current_time()):
            if isinstance(decision, admission.Granted):
                self._start_job(index, decision)
            else:
                self.requests.pop(decision.ticket)
                if decision.ticket in self.measured:
                    self.counts[decision.code.value] += 1
        wake = entry.wake_at(self._current_time())
        if wake is not None:
            at = (wake - clock_lib.EPOCH).total_seconds()
            if self.next_wakes.get(index, 0.0) <= self.now:
                self.next_wakes[index] = at
                self._schedule(at, lambda: self._send(index, admission.Woken()))

    def _start_job(self, index: int, decision: admission.Granted) -> None:
        """Start a granted attempt on its engine."""
        grant = decision.grant
        request, tokens = self.requests[decision.ticket]
        engine = self.engines[grant.upstream.address]
        engine.advance(self.now)
        work_tokens = tokens * self.noise.lognormvariate(0, SPEED_NOISE)
        if not engine.cache_prefix(request.prefix):
            work_tokens += CACHE_MISS_TOKENS
        job = Job(
            index, grant, engine.progress, engine.progress + work_tokens, tokens
        )
        engine.jobs[decision.ticket] = job
        heapq.heappush(
            engine.finish_heap, (job.finish_progress, decision.ticket)
        )
        self._schedule_next_end(engine)
        deadline = (request.deadline - clock_lib.EPOCH).total_seconds()
        self._schedule(
            deadline, lambda: self._time_out_job(engine, decision.ticket)
        )

    def _schedule_next_end(self, engine: Engine) -> None:
        """Schedule the end of the engine's next job."""
        engine.schedule_version += 1
        schedule_version = engine.schedule_version
        scheduled = engine.next_end()
        if scheduled is not None:
            at, ticket = scheduled
            self._schedule(
                at, lambda: self._complete_job(engine, ticket, schedule_version)
            )

    def _complete_job(
        self, engine: Engine, ticket: int, schedule_version: int
    ) -> None:
        """Complete a job, unless its end was rescheduled."""
        if schedule_version == engine.schedule_version:
            self.served.add(ticket)
            self._remove_job(engine, ticket, admission.AttemptEnd.SERVED)

    def _time_out_job(self, engine: Engine, ticket: int) -> None:
        """Cancel a job whose deadline has passed."""
        if ticket in engine.jobs:
            self._remove_job(engine, ticket, admission.AttemptEnd.TIMED_OUT)

    def _remove_job(
        self, engine: Engine, ticket: int, end: admission.AttemptEnd
    ) -> None:
        """Remove a job from its engine and notify its entry."""
        engine.advance(self.now)
        job = engine.jobs.pop(ticket)
        self._schedule_next_end(engine)
        self.requests.pop(ticket)
        done_tokens = job.tokens
        if end is admission.AttemptEnd.TIMED_OUT:
            done_tokens = int(engine.progress - job.start_progress)
        result = admission.AttemptResult(end, tokens=done_tokens)
        self._send(job.entry, admission.Ended(job.grant.number, result))

    def _create_reporter(self, index: int) -> Callable[[], None]:
        """Return a callback that periodically reports an entry's load."""

        def report() -> None:
            if self.is_arrival_over and not self.requests:
                return
            self._schedule(self.now + REPORT_SECONDS, report)
            entry = self.entries[index]
            if isinstance(entry, BareEntry):
                return
            uses = entry.loads.create_uses()
            self._schedule(
                self.now + REPORT_LAG_SECONDS,
                lambda: self.reports.update({index: uses}),
            )
            self._send(index, admission.ViewChanged(self._view_for(index)))

        return report

    def _view_for(self, index: int) -> view_lib.View:
        """Return the view with the loads that the other entries reported."""
        uses: dict[str, list[view_lib.UpstreamUse]] = {}
        for other, reported in self.reports.items():
            for use in reported if other != index else ():
                uses.setdefault(use.upstream, []).append(use)
        loads = tuple(
            view_lib.PeerLoad(
                address,
                sum(use.in_flight for use in peer_uses),
                statistics.fmean(
                    [use.limit for use in peer_uses if use.limit] or [0.0]
                ),
            )
            for address, peer_uses in uses.items()
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
    """Simulate a case; runs in a worker process."""
    return Simulation(case).run()


def run(
    seeds: int = 3,
    jobs: int = 2,
    sites: str = "biobio,aarwil",
    loads: tuple[float, ...] = LOADS,
    slowdowns: tuple[float, ...] = (1.0, 4.0),
    policies: str = "",
) -> None:
    """Run all cases and print one JSON object per line.

    Args:
        seeds: number of runs of each case, each with another seed.
        jobs: number of worker processes.
        sites: comma-separated names of sites.
        loads: arrival rates as multiples of the nominal capacity.
        slowdowns: factors by which one of the engines is slower.
        policies: comma-separated names; if empty, all policies and the
            baselines.
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
        seed_results = [
            results[Case(site, policy, load, slowdown, seed)]
            for seed in range(seeds)
        ]
        means[key] = {
            name: statistics.fmean(
                run_result.get(name, 0.0) for run_result in seed_results
            )
            for name in sorted(
                {name for run_result in seed_results for name in run_result}
            )
        }
    for key, mean in means.items():
        print(json.dumps(_describe(key, mean, means)))


def _describe(
    key: tuple[str, float, float, str],
    mean: dict[str, float],
    means: dict[tuple[str, float, float, str], dict[str, float]],
) -> dict[str, Any]:
    """Return one output line: the means of a case and their ratios."""
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
