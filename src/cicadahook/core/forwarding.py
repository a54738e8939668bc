"""Requests and answers that a node forwards without parsing their bodies."""

import dataclasses
import datetime
import enum
import hashlib

from cicadahook.core import inventory

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """A request's demand on a model engine.

    Attributes:
        model: name of the model.
        adapter: name of an adapter of that model; empty for none.
        prompt_tokens: tokens of the prompt.
        output_tokens: tokens of the answer at the most.
        parts: the prompt's parts in order; the last one is the request's own.
    """

    model: str
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may hold too."""
        return tuple(part.id for part in self.parts[:-1])


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A request as a caller sent it.

    Attributes:
        id: the caller's id of this attempt.
        method: HTTP method.
        host: value of the `Host` header.
        path: path and query as sent.
        headers: end-to-end headers, in order.
        body: the whole body.
        received: when its head had been read.
        caller_time_limit: how long the caller waits; None if not stated.
        generation: demand on a model engine; None if no model is used.
        last_event_id: event after which a stream resumes; empty for its start.
        resumed_id: id of the caller's attempt that brought the first event of
            that stream; empty if not stated.
        tenant: name of the tenant that holds the caller's key; empty if it is
            not known.
        key_digest: digest of the caller's key; empty if it sent none.
    """

    id: str
    method: str
    host: str
    path: str
    headers: Headers
    body: bytes
    received: datetime.datetime
    caller_time_limit: datetime.timedelta | None = None
    generation: Generation | None = None
    last_event_id: str = ""
    resumed_id: str = ""
    tenant: str = ""
    key_digest: str = ""

    def list_traits(self, service: str) -> tuple[str, ...]:
        """Return what crashes of upstreams of `service` may depend on."""
        shared = self.generation.shared_parts if self.generation else ()
        return (
            f"request:{self.create_fingerprint()}",
            *(f"part:{service}:{part}" for part in shared),
        )

    def create_fingerprint(self) -> str:
        """Return a digest that is equal for repeats of the same request."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.method, self.host, self.path):
            digest.update(part.encode("utf-8", "surrogateescape"))
            digest.update(b"\0")
        digest.update(self.body)
        return digest.hexdigest()


class BodyEnd(enum.StrEnum):
    """What tells where the body of an answer ends."""

    LENGTH = "length"  # or a head behind which there is no body
    LAST_CHUNK = "last_chunk"
    CLOSE = "close"  # of the connection; see RFC 9112, section 6.3
    UNKNOWN = ""  # a node of an older build passed the answer on


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and end-to-end headers of an upstream's answer.

    Attributes:
        status: HTTP status.
        headers: end-to-end headers, in order.
        is_event_stream: whether it is a stream of events.
        body_end: what tells where its body ends.
    """

    status: int
    headers: Headers
    is_event_stream: bool = False
    body_end: BodyEnd = BodyEnd.UNKNOWN


class FailureKind(enum.StrEnum):
    """Why an attempt yielded no answer to forward."""

    UNREACHABLE = "unreachable"  # nothing was sent
    REJECTED = "rejected"  # the upstream says that it has not run it
    MISSING = "missing"  # the upstream lacks the model, or is another instance
    CUT = "cut"
    CROSSED = "crossed"  # the answer belongs to another request
    MALFORMED = "malformed"
    SERVER_ERROR = "server_error"  # the upstream ran it and failed


class LinkEvent(enum.StrEnum):
    """What a call shows of the link to its upstream."""

    HEARD = "heard"  # an answer came, maybe on an old connection
    CONNECTED = "connected"  # a new connection was opened
    REFUSED = "refused"  # a new connection was refused
    SILENT = "silent"  # a new connection was not answered
    BROKEN = "broken"  # an open connection was not answered any more


NOT_RUN_KINDS = frozenset(
    {FailureKind.UNREACHABLE, FailureKind.REJECTED, FailureKind.MISSING}
)


class AttemptError(Exception):
    """An attempt failed.

    Attributes:
        kind: why.
        detail: what was observed, for the log.
    """

    def __init__(self, kind: FailureKind, detail: str) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind
        self.detail = detail

    @property
    def is_not_run(self) -> bool:
        """Whether it is certain that the request has not run."""
        return self.kind in NOT_RUN_KINDS


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One attempt to run a request at an upstream.

    Attributes:
        request: the request as the caller sent it.
        instance: the upstream.
        time_left: until the upstream may work on it.
        priority: 0 is the most urgent.
        last_event_id: id of the last event that the caller has.
        was_refused: whether the upstream has refused this request before.
    """

    request: CallerRequest
    instance: inventory.Instance
    time_left: datetime.timedelta
    priority: int
    last_event_id: str = ""
    was_refused: bool = False

    @property
    def needs_new_connection(self) -> bool:
        """Whether an earlier answer could be taken for the one to this attempt.

        On a used connection the upstream may send a refusal of the same request
        once more, or any answer where there is no id to tell it by.
        """
        return self.was_refused or not self.request.id
