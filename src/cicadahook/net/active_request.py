"""Defines requests in progress on a node and the interfaces to serve them.

The forwarder and the drain of a node work on these types; the platform
implements the protocols.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import dataclasses
import datetime
import functools
import random
from typing import Final, Protocol

from cicadahook.core import allowances
from cicadahook.core import balancer as balancer_lib
from cicadahook.core import clock as clock_lib
from cicadahook.core import crash_suspects
from cicadahook.core import errors
from cicadahook.core import event_sequence
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.core import model_demand
from cicadahook.core import reachability as reachability_lib
from cicadahook.core import residency as residency_lib
from cicadahook.core import retry_budget
from cicadahook.core import routes
from cicadahook.core import tenants
from cicadahook.core import upstream_statements

# The final answer is sent this long before the request's deadline, so that it
# reaches the caller in time.
ANSWER_MARGIN: Final = datetime.timedelta(milliseconds=15)

ReachCheck = Callable[[inventory.Instance], Awaitable[bool]]


class Answer(Protocol):
    """An upstream's answer whose head has been received."""

    head: forwarding.AnswerHead

    async def read(self) -> bytes:
        """Return the complete body."""

    def iterate(self) -> AsyncIterator[bytes]:
        """Yield chunks of the body as they arrive."""


class UpstreamSender(Protocol):
    """Sends requests to upstreams."""

    def send(
        self, attempt: forwarding.Attempt
    ) -> contextlib.AbstractAsyncContextManager[Answer]:
        """Send a request and yield its answer.

        Leaving the context before the end of the answer cancels the request.

        Raises:
            forwarding.AttemptError: the attempt failed.
        """

    async def probe(self, instance: inventory.Instance) -> forwarding.LinkEvent:
        """Return what a new connection shows of the link to an upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class WantedCopy:
    """A copy that a request needs.

    Attributes:
        service: name of the service.
        key: the model and adapter, and the preferred engine.
        failed: ids of engines that were unreachable or lacked the copy.
        software: version of the engine's software; empty for any.
    """

    service: str
    key: residency_lib.CopyKey
    failed: frozenset[str] = frozenset()
    software: str = ""


class CopyLoader(Protocol):
    """Makes engines load models and adapters."""

    def begin(
        self, wanted: WantedCopy
    ) -> "asyncio.Task[residency_lib.CopyKey | None]":
        """Begin to load a copy; the load goes on if the task is cancelled.

        Returns:
            A task that returns where the copy is, or None if there is none.
        """

    def estimate_wait(self, wanted: WantedCopy) -> datetime.timedelta:
        """Return how much longer a copy should take."""


class AnswerSink(Protocol):
    """Sends an answer to the caller of a request."""

    @property
    def is_connected(self) -> bool:
        """Whether the caller's connection is still open."""

    async def answer(self, head: forwarding.AnswerHead, body: bytes) -> None:
        """Send a complete answer."""

    async def refuse(self, refusal: errors.RefusalError) -> None:
        """Send a refusal, or abort a stream that has begun."""

    async def begin(self, head: forwarding.AnswerHead) -> None:
        """Send the head of a stream."""

    async def send(self, data: bytes) -> None:
        """Send a part of a stream."""

    async def finish(self) -> None:
        """End a stream as complete."""

    def abort(self) -> None:
        """Abort a stream so that the caller sees that it is incomplete."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAccount:
    """On whose account a request runs.

    Attributes:
        tenant: whose caller sent it; None if it is not known.
        charge: what the tenant was charged; None if it has no limit.
        registry: the tenants among which the caller was last looked up.
    """

    tenant: tenants.Tenant | None = None
    charge: allowances.Charge | None = None
    registry: tenants.TenantRegistry = tenants.NO_TENANTS


@dataclasses.dataclass
class AnswerProgress:
    """How far the answer to an attempt has come.

    Attributes:
        began: when the upstream began to answer.
        body_end: what tells where the body ends.
        is_proven_sound: whether the answer shows that the request does not
            crash upstreams.
    """

    began: datetime.datetime | None = None
    body_end: forwarding.BodyEnd = forwarding.BodyEnd.UNKNOWN
    is_proven_sound: bool = False


@dataclasses.dataclass(eq=False)
class ActiveRequest:
    """A request in progress.

    Attributes:
        request: what the caller sent.
        sink: where the answer goes.
        route: the route that it matched.
        service: the service drawn for it.
        deadline: when the final answer must be sent.
        excluded: ids of upstreams that must not be tried again.
        lacked_copy: ids of upstreams that lacked the copy once.
        send_count: number of attempts that were sent.
        possible_runs: number of attempts that an upstream may have run.
        sequence: the events relayed, and what may follow.
        has_begun: whether a part of a stream has been relayed.
        timeout: cancels the request at its time limit.
        instance: id of the upstream of the last attempt.
        software: version of the software of that upstream.
        required_software: the only version that may run the request, as it
            began the stream; None while any may.
        sent_at: when the last attempt was sent.
        first_chunk_at: when the first part of a stream was relayed.
        answer: the answer to the last attempt, as far as it has come.
        account: on whose account it runs.
    """

    request: forwarding.CallerRequest
    sink: AnswerSink
    route: routes.Route
    service: routes.Service
    deadline: datetime.datetime
    excluded: frozenset[str] = frozenset()
    lacked_copy: frozenset[str] = frozenset()
    send_count: int = 0
    possible_runs: int = 0
    sequence: event_sequence.EventSequence = dataclasses.field(
        default_factory=event_sequence.EventSequence
    )
    has_begun: bool = False
    timeout: asyncio.Timeout | None = None
    instance: str = ""
    software: str = ""
    required_software: str | None = None
    sent_at: datetime.datetime | None = None
    first_chunk_at: datetime.datetime | None = None
    answer: AnswerProgress = dataclasses.field(default_factory=AnswerProgress)
    account: RequestAccount = RequestAccount()

    @functools.cached_property
    def traits(self) -> tuple[str, ...]:
        """What crashes of upstreams may depend on."""
        return self.request.list_traits(self.service.name)

    @property
    def priority(self) -> int:
        """The tenant's priority before the route's; 0 is the most urgent."""
        tenant = self.account.tenant
        if tenant is None or tenant.priority is None:
            return self.route.priority
        return tenant.priority

    @property
    def latest_first_piece(self) -> datetime.datetime:
        """When the caller must have the first piece of the answer."""
        if self.has_begun:
            return self.deadline
        return min(self.deadline, self.request.received + self.route.patience)

    def accepts(self, instance: inventory.Instance) -> bool:
        """Whether the software of an upstream may run the request."""
        return self.required_software in (None, instance.software)


@dataclasses.dataclass
class ForwarderComponents:
    """The components that a forwarder works with.

    `may_have_ended` returns whether an upstream that refuses connections may
    have ended, and not only its links.
    """

    clock: clock_lib.Clock
    inventory: inventory.Inventory
    residency: residency_lib.Residency
    balancer: balancer_lib.Balancer
    suspects: crash_suspects.CrashSuspects
    upstreams: UpstreamSender
    copies: CopyLoader
    budget_mode: retry_budget.RetryBudgetMode
    generator: random.Random
    demand_tracker: model_demand.ModelDemandTracker
    statements: upstream_statements.UpstreamStatements
    reachability: reachability_lib.Reachability
    may_have_ended: ReachCheck
    allowances: allowances.Allowances


def create_refusal(
    code: str,
    status: int,
    retry_after: datetime.timedelta | None = None,
    outcome: str = "not_run",
) -> errors.RefusalError:
    """Return a refusal whose reason is its code in words."""
    return errors.RefusalError(
        code,
        code.replace("_", " "),
        status,
        errors.Outcome(outcome),
        retry_after,
    )
