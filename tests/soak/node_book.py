"""What a soak of nodes saw of requests, and what of it breaks a promise."""

import collections
import dataclasses
import enum
import hashlib
import time
from typing import Final

from soak import ledger as ledger_lib

# The users' bounds, the shortest of all sites.
DRAIN_SECONDS: Final = 2.0
CONTACT_SECONDS: Final = 3.0
LOSS_SLACK_SECONDS: Final = 0.2
RECOVERY_SECONDS: Final = 12.0
# Streams that were sent up to then may be cut in the last sixth of the grace
# period.
LATE_SECONDS: Final = 3.0
LAST_SHARE: Final = 5 / 6
# The users count what is unanswered half a second after its time is over;
# callers here wait longer, since they run in one process with the stand-ins.
PATIENCE_SECONDS: Final = 1.5
PROMISES: Final = frozenset({408, 421, 429, 503})
UNCERTAIN: Final = frozenset({500, 502, 504})
NODE_FAULTS: Final = frozenset({"kill", "freeze"})
STORE: Final = "store"
# The process of the run itself, with its callers, upstreams and links.
OWN: Final = "run"
# Nodes answer a little before a request's time is over.
DEADLINE_SLACK_SECONDS: Final = 0.1


class End(enum.StrEnum):
    """How a request ended for its caller."""

    ANSWERED = enum.auto()
    CUT = enum.auto()
    UNSENT = enum.auto()
    LEFT = enum.auto()
    TIMED_OUT = enum.auto()
    MALFORMED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Attributes:
        name: name of its route, and the first part of its path.
        is_stream: whether a model answers it by events.
        is_repeatable: whether it may run more than once.
        seconds: the route's time limit.
    """

    name: str
    is_stream: bool
    is_repeatable: bool
    seconds: float


KINDS: Final = (
    Kind("read", False, True, 3.0),
    Kind("write", False, False, 3.0),
    Kind("chat", True, False, 6.0),
    Kind("review", True, True, 6.0),
)


@dataclasses.dataclass
class Call:
    """A request as its caller saw it; times are monotonic seconds.

    Attributes:
        id: its `X-Request-Id`.
        node: name of the node.
        kind: what is asked for.
        path: says how many events or pauses the answer takes.
        model: model and adapter of a stream.
        body: all of its bytes.
        seconds: how long its caller waits.
        began: when its first byte was sent.
        sent: when its last byte was sent.
        ended: when it ended.
        status: status of the answer; 0 before there is one.
        headers: of the answer, names in lower case.
        content: body of the answer as far as it came.
        end: how it ended.
    """

    id: str
    node: str
    kind: Kind
    path: str
    model: str
    body: bytes
    seconds: float
    began: float = 0.0
    sent: float | None = None
    ended: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    content: bytes = b""
    end: End = End.CUT

    def describe(self) -> str:
        """Return it for a message."""
        sent = None if self.sent is None else round(self.ended - self.sent, 3)
        return (
            f"{self.id} {self.path} {self.model} at {self.node}: {self.end}"
            f" {self.status}, {self.ended - self.began:.3f} s after its begin,"
            f" {sent} s after its end"
        )


@dataclasses.dataclass
class Run:
    """An upstream's work on a request."""

    upstream: str
    began: float
    ended: float | None = None
    status: int = 0


@dataclasses.dataclass
class Disturbance:
    """A fault from outside, whose end is not known at first."""

    kind: str
    target: str
    began: float
    ended: float = float("inf")


@dataclasses.dataclass
class Stop:
    """A planned stop of a node, until its process has ended."""

    node: str
    at: float
    grace_seconds: float
    ended: float = float("inf")

    @property
    def last_sixth(self) -> float:
        """When streams may be cut."""
        return self.at + LAST_SHARE * self.grace_seconds


def parse_work(path: str) -> tuple[int, float]:
    """Return the events that a path asks for, and the seconds before each."""
    count, milliseconds = path.split("/")[2:4]
    return int(count), int(milliseconds) / 1000


def create_answer(path: str, request_id: str, body: bytes) -> bytes:
    """Return the whole plain answer to a request."""
    return f"{request_id} {path} {hashlib.sha256(body).hexdigest()}".encode()


def create_event(request_id: str, number: int) -> bytes:
    """Return one event of the answer to a request."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


class Book:
    """Keeps calls, runs and faults and holds the promises against them."""

    def __init__(self, ledger: ledger_lib.Ledger) -> None:
        self.ledger = ledger
        self.calls: dict[str, Call] = {}
        self.runs: dict[str, list[Run]] = collections.defaultdict(list)
        self.disturbances: list[Disturbance] = []
        self.stops: list[Stop] = []

    def begin_disturbance(self, kind: str, target: str) -> Disturbance:
        """Take note of a fault."""
        new = Disturbance(kind, target, time.monotonic())
        self.disturbances.append(new)
        return new

    def is_disturbed(
        self, target: str, begin: float, end: float, after: float = 0.0
    ) -> bool:
        """Whether a target had a fault, or up to `after` seconds before."""
        return any(
            item.target == target
            and item.began <= end
            and begin <= item.ended + after
            for item in self.disturbances
        )

    def begin_run(
        self, request_id: str, upstream: str, leaves: float | None
    ) -> Run:
        """Take note that an upstream runs a request.

        Args:
            request_id: the request.
            upstream: name of the upstream.
            leaves: since when the upstream is marked as leaving.
        """
        run = Run(upstream, time.monotonic())
        self.runs[request_id].append(run)
        call = self.calls.get(request_id)
        if call is None:
            self.ledger.note_broken("only what was asked runs", request_id)
        elif leaves is not None and run.began > leaves + DRAIN_SECONDS:
            targets = (STORE, upstream, call.node)
            if not any(
                self.is_disturbed(
                    target, leaves - CONTACT_SECONDS, run.began, CONTACT_SECONDS
                )
                for target in targets
            ):
                self.ledger.note_broken(
                    "nothing new to the leaving",
                    f"{upstream}, {run.began - leaves:.3f} s after its mark:"
                    f" {request_id} at {call.node}",
                )
        return run

    def judge(self, call: Call) -> None:
        """Count a call that has ended and check what its caller saw."""
        label = call.status if call.end is End.ANSWERED else call.end
        self.ledger.counts[f"{call.kind.name}_{label}"] += 1
        match call.end:
            case End.ANSWERED:
                self._judge_answer(call)
            case End.CUT:
                self._judge_cut(call)
            case End.TIMED_OUT:
                # An answer may wait to be read while this process is late.
                is_late = self.is_disturbed(OWN, call.began, call.ended)
                if not (is_late or self._is_node_disturbed(call)):
                    self._break("a final answer in time", call)
            case End.MALFORMED:
                self._break(f"only answers come: {call.content!r}", call)

    def _judge_answer(self, call: Call) -> None:
        is_signed = "x-response-signature" in call.headers
        if call.headers.get("x-request-id") != call.id:
            self._break("answers have the right id", call)
        if 200 <= call.status < 300:
            signature = call.headers.get("x-response-signature")
            is_whole = call.content == _create_whole(call)
            if signature != f"sig-{call.id}" or not is_whole:
                self._break("successes are whole and own", call)
        elif is_signed:
            statuses = {run.status for run in self.runs[call.id]}
            if call.status not in statuses:
                self._break("failures are the upstream's", call)
        elif call.status not in PROMISES | UNCERTAIN:
            self._break("proper requests are not denied", call)
        elif call.status in UNCERTAIN and self._is_late(call):
            self._break("what is sent late is answered or refused", call)

    def _is_late(self, call: Call) -> bool:
        """Whether a call came late in a planned stop and nothing excuses."""
        stop = self._find_stop(call)
        if stop is None or call.sent is None:
            return False
        return (
            call.sent > stop.at + LATE_SECONDS
            and call.ended < call.began + call.seconds - DEADLINE_SLACK_SECONDS
            and not any(
                item.target != OWN
                and item.began <= call.ended
                and call.began <= item.ended + CONTACT_SECONDS
                for item in self.disturbances
            )
        )

    def _judge_cut(self, call: Call) -> None:
        """Check a connection that ended before the answer did."""
        if not _create_whole(call).startswith(call.content):
            self._break("streams are whole up to their cut", call)
        excuse = self._find_excuse(call)
        if excuse:
            self.ledger.counts[f"cut_{excuse}"] += 1
        elif self._find_stop(call):
            self._break("a planned stop loses no request", call)
        else:
            self._break("no request is cut", call)

    def _find_excuse(self, call: Call) -> str:
        """Return why the page allows a cut, or nothing."""
        assert call.sent is not None, "cut before it was sent"
        runs = self.runs[call.id]
        stop = self._find_stop(call)
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
            call.began + call.seconds - DEADLINE_SLACK_SECONDS
        ):
            return "at_deadline"
        if stop and call.sent <= stop.at + LATE_SECONDS:
            last = max((run.ended or call.ended for run in runs), default=0.0)
            if last >= stop.last_sixth:
                return "in_last_sixth"
        return ""

    def _is_node_disturbed(self, call: Call) -> bool:
        """Whether the node was killed during a call, or frozen lately."""
        begin = call.began
        return any(
            item.target == call.node
            and item.kind in NODE_FAULTS
            and item.began <= call.ended
            and begin
            <= item.ended + (CONTACT_SECONDS if item.kind == "freeze" else 0.0)
            for item in self.disturbances
        )

    def _find_stop(self, call: Call) -> Stop | None:
        """Return the last planned stop of the node around a call."""
        for stop in reversed(self.stops):
            if stop.node == call.node and stop.at <= call.ended:
                return stop if call.began <= stop.ended else None
        return None

    def judge_runs(self) -> None:
        """Check, once all is over, what ran against what was answered."""
        for request_id, runs in self.runs.items():
            call = self.calls.get(request_id)
            if call is None or call.kind.is_repeatable:
                continue
            if len(runs) > 1:
                self._break(f"at most once, ran {len(runs)} times", call)
            if call.end is End.ANSWERED and call.status in PROMISES:
                self._break("refused is not run", call)

    def _break(self, promise: str, call: Call) -> None:
        runs = [
            (run.upstream, round(run.began - call.began, 3), run.status)
            for run in self.runs[call.id]
        ]
        stop = self._find_stop(call)
        since = f", {call.began - stop.at:.3f} s after SIGTERM" if stop else ""
        self.ledger.note_broken(
            promise, f"{call.describe()}{since}, runs {runs}"
        )


def _create_whole(call: Call) -> bytes:
    """Return the whole answer that is due to a call."""
    if not call.kind.is_stream:
        return create_answer(call.path, call.id, call.body)
    count, _ = parse_work(call.path)
    return b"".join(create_event(call.id, n) for n in range(1, count + 1))
