"""A request under way, and what a forwarder serves it with."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import datetime
import random
from typing import Protocol

from cicadahook.core import balancer as balancer_lib
from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import exchange
from cicadahook.core import inventory
from cicadahook.core import model_demand
from cicadahook.core import quarantine as quarantine_lib
from cicadahook.core import residency as residency_lib
from cicadahook.core import retrybudget
from cicadahook.core import routes


class Answer(Protocol):
    """An answer whose head has come."""

    head: exchange.AnswerHead

    async def read(self) -> bytes:
        """Return the whole body."""

    def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives."""


class UpstreamSender(Protocol):
    """Sends requests to upstreams."""

    def send(
        self, attempt: exchange.Attempt
    ) -> contextlib.AbstractAsyncContextManager[Answer]:
        """Send a request and yield its answer; leaving early cancels it."""


class CopyLoader(Protocol):
    """Gets models and adapters loaded."""

    async def ensure(
        self,
        service: str,
        key: residency_lib.CopyKey,
        failed: frozenset[str],
    ) -> residency_lib.CopyKey | None:
        """Return where a copy is now, or None if none could be loaded.

        Args:
            service: name of the service.
            key: what is wanted, and the engine preferred.
            failed: engines that could not be reached or lack the copy.
        """


class AnswerSink(Protocol):
    """Where an answer goes."""

    @property
    def is_connected(self) -> bool:
        """Whether the caller's connection is still there."""

    async def answer(self, head: exchange.AnswerHead, body: bytes) -> None:
        """Send a whole answer."""

    async def refuse(self, refusal: errors.RefusalError) -> None:
        """Send an answer of our own."""

    async def begin(self, head: exchange.AnswerHead) -> None:
        """Start a stream."""

    async def send(self, data: bytes) -> None:
        """Send a part of a stream."""

    async def finish(self) -> None:
        """End a stream as complete."""

    def break_off(self) -> None:
        """End a stream so that it does not look complete."""


@dataclasses.dataclass(eq=False)
class ActiveRequest:
    """A request under way.

    Attributes:
        request: what the caller sent.
        sink: where the answer goes.
        route: the route that it matched.
        service: the service drawn for it.
        deadline: when the final answer must be there.
        fingerprint: digest by which it is known again.
        excluded: upstreams not to be tried again.
        missed: upstreams that lacked the copy once.
        sends: times that it was sent.
        runs: upstreams that may have run it.
        last_event_id: id of the last event passed on.
        has_begun: whether the answer has begun.
        timeout: ends the work when its time is over.
        instance: upstream of the last attempt.
        sent: when the last attempt was sent.
        first_piece: when the answer began.
    """

    request: exchange.CallerRequest
    sink: AnswerSink
    route: routes.Route
    service: routes.Service
    deadline: datetime.datetime
    fingerprint: str
    excluded: frozenset[str] = frozenset()
    lacked_copy: frozenset[str] = frozenset()
    send_count: int = 0
    possible_runs: int = 0
    last_event_id: str = ""
    has_begun: bool = False
    timeout: asyncio.Timeout | None = None
    instance: str = ""
    sent_at: datetime.datetime | None = None
    first_chunk_at: datetime.datetime | None = None


@dataclasses.dataclass
class ForwarderComponents:
    """What a forwarder decides with."""

    clock: clock_lib.Clock
    inventory: inventory.Inventory
    residency: residency_lib.Residency
    balancer: balancer_lib.Balancer
    quarantine: quarantine_lib.Quarantine
    upstreams: UpstreamSender
    copies: CopyLoader
    budget_mode: retrybudget.RetryBudgetMode
    generator: random.Random
    demand_tracker: model_demand.ModelDemandTracker


def create_refusal(
    code: str,
    status: int,
    retry_after: datetime.timedelta | None = None,
    outcome: str = "not_run",
) -> errors.RefusalError:
    """Return an answer of our own, whose reason is its code in words."""
    return errors.RefusalError(
        code,
        code.replace("_", " "),
        status,
        errors.Outcome(outcome),
        retry_after,
    )
