"""Records the requests of a node soak and checks the system's guarantees.

The callers, upstreams and fault injector of the soak report here what they
sent, ran and disturbed. A guarantee that did not hold becomes a violation in
`results.Results`.
"""

import collections
import dataclasses
import enum
import hashlib
import time
from typing import Final

from soak import results as results_lib

# The time limits below are the ones that users require, and where sites differ
# the shortest.
#
# Time after which a leaving upstream must get no new requests.
DRAIN_SECONDS: Final = 2.0
# Time around a fault within which its effects are excused.
CONTACT_SECONDS: Final = 3.0
# A request may cross the closing of its connection within this time.
LOSS_SLACK_SECONDS: Final = 0.2
# Time after the last fault within which everything must be served again.
RECOVERY_SECONDS: Final = 12.0
# Streams sent until this long after the begin of a planned stop may be cut in
# the last sixth of the grace period. Requests sent later must be answered by an
# upstream or refused as not run.
LATE_IN_STOP_SECONDS: Final = 3.0
CUT_PERIOD_BEGIN_SHARE: Final = 5 / 6
# Users count a request as unanswered half a second after its deadline. Callers
# of the soak wait longer because they share one process with the stand-ins.
ANSWER_SLACK_SECONDS: Final = 1.5
# Statuses of nodes which guarantee that the request was not run.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
# Statuses of nodes which leave open whether the request was run.
UNCERTAIN_STATUSES: Final = frozenset({500, 502, 504})
NODE_FAULT_KINDS: Final = frozenset({"kill", "freeze"})
# Target name of the store stand-in.
STORE: Final = "store"
# Target name of the soak's own process: its callers, upstreams and links.
SOAK_PROCESS: Final = "run"
# Nodes answer slightly before the deadline of a request.
DEADLINE_SLACK_SECONDS: Final = 0.1


class Outcome(enum.StrEnum):
    """How a request ended for its caller."""

    ANSWERED = enum.auto()
    CUT = enum.auto()
    UNSENT = enum.auto()
    LEFT = enum.auto()
    TIMED_OUT = enum.auto()
    MALFORMED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request.

    Attributes:
        name: name of the route and first segment of the path.
        is_stream: whether a model answers with a stream of events.
        is_repeatable: whether the request may be run more than once.
        timeout_seconds: time limit of the route.
    """

    name: str
    is_stream: bool
    is_repeatable: bool
    timeout_seconds: float


REQUEST_KINDS: Final = (
    RequestKind("read", False, True, 3.0),
    RequestKind("write", False, False, 3.0),
    RequestKind("chat", True, False, 6.0),
    RequestKind("review", True, True, 6.0),
)


@dataclasses.dataclass
class Call:
    """A request and its answer as observed by the caller.

    Times are monotonic seconds.

    Attributes:
        id: its `X-Request-Id`.
        node: name of the node that the request is sent to.
        kind: kind of the request.
        path: path of the request; holds the number of events of the answer and
            the pause before each.
        model: model and adapter of a stream; empty for a plain request.
        body: body of the request.
        timeout_seconds: time until the deadline of the request.
        parts: parts of its prompt as in the header; empty for none.
        resumed: id of the call whose stream it resumes; empty for none.
        last_event: number of the last event of that stream that came.
        began: when the first byte was sent.
        sent: when the last byte was sent; None before.
        ended: when the call ended.
        status: status of the answer; 0 before one was received.
        headers: headers of the answer, names in lower case.
        content: body of the answer as far as it was received.
        outcome: how the call ended.
    """

    id: str
    node: str
    kind: RequestKind
    path: str
    model: str
    body: bytes
    timeout_seconds: float
    parts: str = ""
    resumed: str = ""
    last_event: int = 0
    began: float = 0.0
    sent: float | None = None
    ended: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    content: bytes = b""
    outcome: Outcome = Outcome.CUT

    def describe(self) -> str:
        """Return a description of the call for a message."""
        sent = None if self.sent is None else round(self.ended - self.sent, 3)
        return (
            f"{self.id} {self.path} {self.model} at {self.node}: {self.outcome}"
            f" {self.status}, {self.ended - self.began:.3f} s after its"
            f" first byte, {sent} s after its last byte"
        )


@dataclasses.dataclass
class UpstreamRun:
    """The run of a request by an upstream.

    Attributes:
        upstream: name of the upstream.
        began: monotonic time of the begin.
        ended: monotonic time of the end; None while it runs.
        status: status of the answer; 0 before it is known.
        software: version of the upstream's software.
        is_resumed: whether it goes on with a stream.
        is_whole_unstated: whether its answer had a body and was sent whole, and
            only the end of the connection told that it was.
    """

    upstream: str
    began: float
    ended: float | None = None
    status: int = 0
    software: str = ""
    is_resumed: bool = False
    is_whole_unstated: bool = False


@dataclasses.dataclass
class Disturbance:
    """An injected fault, or a delay of the soak's own process.

    Attributes:
        kind: kind of the fault.
        target: name of the node, upstream or process that it affects.
        began: monotonic time of its begin.
        ended: monotonic time of its end; infinite until it has ended.
    """

    kind: str
    target: str
    began: float
    ended: float = float("inf")


@dataclasses.dataclass
class PlannedStop:
    """A planned stop of a node.

    Attributes:
        node: name of the node.
        signalled: monotonic time of SIGTERM.
        grace_seconds: grace period of the node.
        ended: monotonic time at which the process ended; infinite before.
    """

    node: str
    signalled: float
    grace_seconds: float
    ended: float = float("inf")

    @property
    def cut_period_begin(self) -> float:
        """Monotonic time from which on streams may be cut."""
        return self.signalled + CUT_PERIOD_BEGIN_SHARE * self.grace_seconds


def parse_work(path: str) -> tuple[int, float]:
    """Return the number of events and the seconds before each."""
    count, milliseconds = path.split("/")[2:4]
    return int(count), int(milliseconds) / 1000


def create_plain_answer(path: str, request_id: str, body: bytes) -> bytes:
    """Return the whole plain answer to a request."""
    return f"{request_id} {path} {hashlib.sha256(body).hexdigest()}".encode()


def create_event(request_id: str, number: int) -> bytes:
    """Return one event of the answer to a request."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


class GuaranteeChecker:
    """Records calls, runs and faults, and checks the guarantees against them.

    Attributes:
        results: counts and violations of the soak.
        calls: the calls by id.
        runs: the runs of each request by its id.
        disturbances: all faults so far.
        stops: all planned stops so far, in the order of their begin.
    """

    def __init__(self, results: results_lib.Results) -> None:
        self.results = results
        self.calls: dict[str, Call] = {}
        self.runs: dict[str, list[UpstreamRun]] = collections.defaultdict(list)
        self.disturbances: list[Disturbance] = []
        self.stops: list[PlannedStop] = []

    def begin_disturbance(self, kind: str, target: str) -> Disturbance:
        """Record a fault that begins now."""
        disturbance = Disturbance(kind, target, time.monotonic())
        self.disturbances.append(disturbance)
        return disturbance

    def is_disturbed(
        self, target: str, begin: float, end: float, after: float = 0.0
    ) -> bool:
        """Return whether a fault of a target overlaps a period.

        A fault still counts for `after` seconds after its end.
        """
        return any(
            disturbance.target == target
            and disturbance.began <= end
            and begin <= disturbance.ended + after
            for disturbance in self.disturbances
        )

    def list_disturbed(self, seconds: float) -> set[str]:
        """Return the targets of the faults and stops of the last seconds."""
        begin = time.monotonic() - seconds
        return {
            each.target for each in self.disturbances if each.ended > begin
        } | {stop.node for stop in self.stops if stop.ended > begin}

    def begin_run(
        self,
        request_id: str,
        upstream: str,
        leaving_since: float | None,
        software: str = "",
        is_resumed: bool = False,
    ) -> UpstreamRun:
        """Record that an upstream begins to run a request.

        Args:
            request_id: the request.
            upstream: name of the upstream.
            leaving_since: monotonic time since which the upstream is marked
                as leaving; None if it is not.
            software: version of its software.
            is_resumed: whether it goes on with a stream.
        """
        run = UpstreamRun(
            upstream,
            time.monotonic(),
            software=software,
            is_resumed=is_resumed,
        )
        self.runs[request_id].append(run)
        call = self.calls.get(request_id)
        if is_resumed and call is not None:
            self._check_origin(call, run)
        if call is None:
            self.results.record_violation(
                "only what was asked runs", request_id
            )
        elif (
            leaving_since is not None
            and run.began > leaving_since + DRAIN_SECONDS
        ):
            targets = (STORE, upstream, call.node)
            if not any(
                self.is_disturbed(
                    target,
                    leaving_since - CONTACT_SECONDS,
                    run.began,
                    CONTACT_SECONDS,
                )
                for target in targets
            ):
                self.results.record_violation(
                    "nothing new to the leaving",
                    f"{upstream}, {run.began - leaving_since:.3f} s after its"
                    " leaving mark:"
                    f" {request_id} at {call.node}",
                )
        return run

    def _check_origin(self, call: Call, run: UpstreamRun) -> None:
        """Check that a stream goes on at the version that began it."""
        begun = [
            earlier
            for earlier in self.runs[call.resumed or call.id]
            if not earlier.is_resumed
        ]
        self.results.counts["streams_resumed"] += 1
        if begun and begun[-1].software != run.software:
            self.record_violation("streams hold one software version", call)

    def check_call(self, call: Call) -> None:
        """Count a call that has ended and check its outcome."""
        label = (
            call.status if call.outcome is Outcome.ANSWERED else call.outcome
        )
        self.results.counts[f"{call.kind.name}_{label}"] += 1
        match call.outcome:
            case Outcome.ANSWERED:
                self._check_answer(call)
            case Outcome.CUT:
                self._check_cut(call)
            case Outcome.TIMED_OUT:
                # The answer may be unread because this process was delayed.
                is_process_late = self.is_disturbed(
                    SOAK_PROCESS, call.began, call.ended
                )
                if not (is_process_late or self._is_node_disturbed(call)):
                    self.record_violation("a final answer in time", call)
            case Outcome.MALFORMED:
                self.record_violation(
                    f"only answers come: {call.content!r}", call
                )

    def _check_answer(self, call: Call) -> None:
        is_signed = "x-response-signature" in call.headers
        if call.headers.get("x-request-id") != call.id:
            self.record_violation("answers have the right id", call)
        if 200 <= call.status < 300:
            signature = call.headers.get("x-response-signature")
            is_whole = call.content == _create_expected_answer(call)
            if signature != f"sig-{call.id}" or not is_whole:
                self.record_violation("successes are whole and own", call)
        elif is_signed:
            statuses = {run.status for run in self.runs[call.id]}
            if call.status not in statuses:
                self.record_violation("failures are the upstream's", call)
        elif call.status not in NOT_RUN_STATUSES | UNCERTAIN_STATUSES:
            self.record_violation("proper requests are not denied", call)
        elif (
            call.status in UNCERTAIN_STATUSES
            and self._is_unexcused_failure_late_in_stop(call)
        ):
            self.record_violation(
                "what is sent late is answered or refused", call
            )

    def _is_unexcused_failure_late_in_stop(self, call: Call) -> bool:
        """Return whether no fault excuses a failure late in a planned stop."""
        stop = self.find_stop(call)
        if stop is None or call.sent is None:
            return False
        return (
            call.sent > stop.signalled + LATE_IN_STOP_SECONDS
            and call.ended
            < call.began + call.timeout_seconds - DEADLINE_SLACK_SECONDS
            and not any(
                disturbance.target != SOAK_PROCESS
                and disturbance.began <= call.ended
                and call.began <= disturbance.ended + CONTACT_SECONDS
                for disturbance in self.disturbances
            )
        )

    def _check_cut(self, call: Call) -> None:
        """Check a connection that ended before the answer did."""
        if not _create_expected_answer(call).startswith(call.content):
            self.record_violation("streams are whole up to their cut", call)
        excuse = self._find_excuse(call)
        if excuse:
            self.results.counts[f"cut_{excuse}"] += 1
        elif self.find_stop(call):
            self.record_violation("a planned stop loses no request", call)
        else:
            self.record_violation("no request is cut", call)

    def _find_excuse(self, call: Call) -> str:
        """Return the reason that allows a cut, or an empty string."""
        assert call.sent is not None, "cut before it was sent"
        runs = self.runs[call.id]
        stop = self.find_stop(call)
        if self._is_node_disturbed(call):
            return "by_node_fault"
        if not runs and call.ended <= call.sent + LOSS_SLACK_SECONDS:
            return "crossed_close"
        if call.status and any(
            self.is_disturbed(run.upstream, run.began, call.ended)
            for run in runs
        ):
            return "by_upstream_fault"
        if call.status and call.ended >= (
            call.began + call.timeout_seconds - DEADLINE_SLACK_SECONDS
        ):
            return "at_deadline"
        if stop and call.sent <= stop.signalled + LATE_IN_STOP_SECONDS:
            last = max((run.ended or call.ended for run in runs), default=0.0)
            if last >= stop.cut_period_begin:
                return "in_last_sixth"
        return ""

    def _is_node_disturbed(self, call: Call) -> bool:
        """Return whether the node was killed or frozen around a call.

        A freeze still counts for `CONTACT_SECONDS` after its end. Without links
        to the upstreams a node depends on the others.
        """
        begin = call.began
        cuts = [
            each
            for each in self.disturbances
            if (each.kind, each.target) == ("cut", call.node)
            and each.began <= call.ended
            and begin <= each.ended
        ]
        if any(begin <= cut.began + CONTACT_SECONDS for cut in cuts):
            return True
        if cuts and self._is_another_node_disturbed(call):
            return True
        return any(
            disturbance.target == call.node
            and disturbance.kind in NODE_FAULT_KINDS
            and disturbance.began <= call.ended
            and begin
            <= disturbance.ended
            + (CONTACT_SECONDS if disturbance.kind == "freeze" else 0.0)
            for disturbance in self.disturbances
        )

    def _is_another_node_disturbed(self, call: Call) -> bool:
        """Return whether another node had a fault or stopped in a call."""
        return any(
            each.target != call.node
            and each.kind in (*NODE_FAULT_KINDS, "cut")
            and each.began <= call.ended
            and call.began <= each.ended + CONTACT_SECONDS
            for each in self.disturbances
        ) or any(
            stop.node != call.node
            and stop.signalled <= call.ended
            and call.began <= stop.ended
            for stop in self.stops
        )

    def find_stop(self, call: Call) -> PlannedStop | None:
        """Return the last planned stop of the node that overlaps a call."""
        for stop in reversed(self.stops):
            if stop.node == call.node and stop.signalled <= call.ended:
                return stop if call.began <= stop.ended else None
        return None

    def check_runs(self) -> None:
        """Compare the runs of all requests with their answers.

        Called once everything has ended.
        """
        for request_id, runs in self.runs.items():
            call = self.calls.get(request_id)
            if call is None or call.kind.is_repeatable:
                continue
            if len(runs) > 1:
                self.record_violation(
                    f"at most once, ran {len(runs)} times", call
                )
            if (
                call.outcome is Outcome.ANSWERED
                and call.status in NOT_RUN_STATUSES
            ):
                self.record_violation("refused is not run", call)

    def record_violation(self, promise: str, call: Call) -> None:
        """Record that a promise did not hold for a call."""
        runs = [
            (run.upstream, round(run.began - call.began, 3), run.status)
            for run in self.runs[call.id]
        ]
        stop = self.find_stop(call)
        since = (
            f", {call.began - stop.signalled:.3f} s after SIGTERM"
            if stop
            else ""
        )
        self.results.record_violation(
            promise, f"{call.describe()}{since}, runs {runs}"
        )


def _create_expected_answer(call: Call) -> bytes:
    """Return the complete answer that a call must get."""
    if not call.kind.is_stream:
        return create_plain_answer(call.path, call.id, call.body)
    count, _ = parse_work(call.path)
    numbers = range(call.last_event + 1, count + 1)
    return b"".join(create_event(call.id, number) for number in numbers)
