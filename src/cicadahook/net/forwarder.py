"""Takes a caller's request to an upstream and the answer back, unread."""

import asyncio
from collections.abc import Iterable
import datetime
from typing import Any, Final, NoReturn

from cicadahook.core import balancer as balancer_lib
from cicadahook.core import crashes
from cicadahook.core import errors
from cicadahook.core import events
from cicadahook.core import exchange
from cicadahook.core import inventory
from cicadahook.core import residency as residency_lib
from cicadahook.core import retrybudget
from cicadahook.core import routes
from cicadahook.net import request_drain
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import active_request

# A caller that keeps a request is told of its end this long before.
ANSWER_MARGIN: Final = datetime.timedelta(milliseconds=15)
# Below this an upstream could not begin to work.
MIN_ATTEMPT: Final = datetime.timedelta(milliseconds=30)
RETRY_PAUSE: Final = datetime.timedelta(milliseconds=20)
RETRY_AFTER: Final = datetime.timedelta(milliseconds=500)
# What may have passed a moment later.
BRIEF_KINDS: Final = frozenset(
    {exchange.FailureKind.REJECTED, exchange.FailureKind.MISSING}
)
# A load of the smaller models from the weight store takes up to 2.6 s; for
# longer ones the caller may as well come back.
MAX_COPY_WAIT: Final = datetime.timedelta(seconds=3)
COPY_WAIT_SHARE: Final = 0.5
LOAD_RETRY_AFTER: Final = datetime.timedelta(milliseconds=1200)
QUARANTINE_RETRY_AFTER: Final = datetime.timedelta(seconds=10)
MAX_SENDS: Final = 8

logger: Final = logs.create_logger("forwarder")


class Forwarder:
    """Serves the requests of one machine.

    Attributes:
        configuration: the newest one, or None if there is none yet.
        machines: machines that share the retry budgets.
        budgets: retry budget of each service.
        crashes: tells crashes of upstreams from broken connections.
        drain: ends requests in time when the machine is told to stop.
    """

    def __init__(self, node: str, parts: active_request.Parts) -> None:
        self.node = node
        self.parts = parts
        self.clock = parts.clock
        self.configuration: routes.Configuration | None = None
        self.machines = 1
        self.budgets: dict[str, retrybudget.RetryBudget] = {}
        self.crashes = crashes.CrashTracker()
        self.drain = request_drain.RequestDrain(parts.clock)

    async def serve(
        self, request: exchange.CallerRequest, sink: active_request.Sink
    ) -> None:
        """Bring the final answer of a request to its caller."""
        try:
            work = self._admit(request, sink)
        except errors.RefusalError as refusal:
            await self._refuse(request, sink, refusal)
            return
        try:
            async with self.drain.limit(work):
                await self._serve_work(work)
        except TimeoutError:
            await self._time_out(work)
        except errors.RefusalError as refusal:
            await self._refuse(request, sink, refusal, work)
        except asyncio.CancelledError:
            outcome = "cut_off" if sink.is_connected else "caller_left"
            self._log(work, outcome, instance=work.instance)
            raise

    def _admit(
        self, request: exchange.CallerRequest, sink: active_request.Sink
    ) -> active_request.Work:
        """Return the work that a request makes.

        Raises:
            errors.RefusalError: it is not to be served.
        """
        self.drain.check_open()
        configuration = self.configuration
        if configuration is None:
            raise active_request.create_refusal(
                "no_configuration", 503, RETRY_AFTER
            )
        route = configuration.find_route(request.host, request.path)
        if route is None:
            raise active_request.create_refusal("no_route", 404)
        name = route.draw_service(self.parts.generator)
        service = configuration.services.get(name)
        if service is None:
            raise active_request.create_refusal(
                "unknown_service", 503, RETRY_AFTER
            )
        self._check_generation(request, service)
        fingerprint = request.create_fingerprint()
        self._check_quarantine(fingerprint)
        now = self.clock.now()
        self._get_budget(name).note_request(now)
        if request.generation is not None:
            self.parts.popularity.note_request(
                name,
                request.generation.model,
                self.parts.balancer.estimate_work(request.generation),
                now,
            )
        patience = route.timeout
        if request.patience is not None:
            patience = min(patience, request.patience)
        deadline = request.received + patience - ANSWER_MARGIN
        return active_request.Work(
            request,
            sink,
            route,
            service,
            deadline,
            fingerprint,
            last_event_id=request.last_event_id,
        )

    def _check_quarantine(self, fingerprint: str) -> None:
        """Refuse a request that crashed several upstreams."""
        try:
            self.parts.quarantine.check(fingerprint)
        except errors.RefusalError as refusal:
            raise active_request.create_refusal(
                refusal.code, 503, QUARANTINE_RETRY_AFTER
            ) from refusal

    def note_deaths(self, cuts: Iterable[crashes.Cut]) -> None:
        """Suspect the requests that ran at upstreams that died."""
        for cut in cuts:
            is_suspect = self.parts.quarantine.note_death(
                cut.fingerprint, cut.death, cut.began
            )
            logger.info(
                "Request suspected of a crash.",
                extra={
                    "fingerprint": cut.fingerprint,
                    "death": cut.death,
                    "is_suspect": is_suspect,
                },
            )

    def _check_generation(
        self, request: exchange.CallerRequest, service: routes.Service
    ) -> None:
        """Refuse what no engine of a service could ever serve."""
        generation = request.generation
        if service.engines is None:
            return
        if generation is None:
            raise active_request.create_refusal("no_model_named", 400)
        model = service.engines.models.get(generation.model)
        if model is None:
            raise active_request.create_refusal(
                "unknown_model", 503, RETRY_AFTER
            )
        if generation.adapter and generation.adapter not in model.adapters:
            raise active_request.create_refusal(
                "unknown_adapter", 503, RETRY_AFTER
            )

    async def _serve_work(self, work: active_request.Work) -> None:
        """Make attempts until one brings the answer.

        Raises:
            errors.RefusalError: there is none.
        """
        while True:
            self.drain.check_attempt(work)
            instance = await self._select(work)
            try:
                await self._attempt(work, instance)
                return
            except exchange.AttemptError as error:
                await self._consider_retry(work, instance, error)

    async def _select(self, work: active_request.Work) -> inventory.Instance:
        """Return the upstream for the next attempt.

        Raises:
            errors.RefusalError: there is none that could answer in time.
        """
        parts = self.parts
        avoided = work.excluded | parts.balancer.list_unreachable()
        usable = [
            entry
            for entry in parts.inventory.list_usable(work.service.name)
            if entry.id not in avoided
        ]
        generation = work.request.generation
        chosen: inventory.Instance | None
        if generation is None or work.service.engines is None:
            chosen = parts.balancer.choose(usable, None)
        else:
            chosen = await self._select_engine(work, usable, generation)
        if chosen is None:
            self._raise_no_upstream(work)
        return chosen

    async def _select_engine(
        self,
        work: active_request.Work,
        usable: list[inventory.Instance],
        generation: exchange.Generation,
    ) -> inventory.Instance | None:
        """Return an engine that holds what is asked for, loading it if need."""
        parts = self.parts
        now = self.clock.now()
        ready = parts.residency.list_holders(
            usable, generation.model, generation.adapter, now
        )
        chosen = parts.balancer.choose(ready, generation)
        if chosen is not None:
            if not work.sends:
                self._check_overload(work, chosen)
            return chosen
        holders = parts.residency.list_holders(
            usable, generation.model, "", now
        )
        best = parts.balancer.choose(holders, generation)
        key = residency_lib.CopyKey(
            best.id if best else "", generation.model, generation.adapter
        )
        avoided = parts.balancer.list_unreachable() | work.excluded
        left = work.deadline - self.clock.now()
        wait = self.drain.limit_copy_wait(
            min(MAX_COPY_WAIT, left * COPY_WAIT_SHARE)
        )
        try:
            async with asyncio.timeout(wait.total_seconds()):
                held = await parts.copies.ensure(
                    work.service.name, key, avoided
                )
        except TimeoutError:
            self._raise_no_copy(work)
        if held is None:
            return None
        entry = parts.inventory.find_usable(held.instance)
        if entry is not None:
            parts.residency.note_held(held, self.clock.now())
        return entry

    def _check_overload(
        self, work: active_request.Work, chosen: inventory.Instance
    ) -> None:
        """Refuse a request that the best engine would begin too late.

        What begins late there also takes long: the streams of an engine that
        reads prompts all the time hardly move, and run into their time limit.

        Raises:
            errors.RefusalError: the caller should come back.
        """
        if self.parts.balancer.is_overloaded(chosen, work.route.target_latency):
            raise active_request.create_refusal(
                "overloaded", 503, self._draw_load_pause()
            )

    def _raise_no_copy(self, work: active_request.Work) -> NoReturn:
        """Refuse a request whose copy takes too long.

        Raises:
            errors.RefusalError: always.
        """
        if work.runs:
            raise active_request.create_refusal(
                "attempts_failed", 502, outcome="unknown"
            )
        if self.drain.plan is not None:
            raise active_request.create_refusal(
                "stopping", 503, request_drain.RETRY_AFTER
            )
        raise active_request.create_refusal(
            "no_copy", 503, self._draw_load_pause()
        )

    def _draw_load_pause(self) -> datetime.timedelta:
        """Return when a caller should ask again for what may be loaded then.

        Callers that come back together would find the same engine full.
        """
        return LOAD_RETRY_AFTER * self.parts.generator.uniform(0.7, 1.3)

    def _raise_no_upstream(self, work: active_request.Work) -> NoReturn:
        if work.runs:
            raise active_request.create_refusal(
                "attempts_failed", 502, outcome="unknown"
            )
        raise active_request.create_refusal("no_upstream", 503, RETRY_AFTER)

    async def _attempt(
        self, work: active_request.Work, instance: inventory.Instance
    ) -> None:
        """Send a request to one upstream and pass its answer on.

        Raises:
            exchange.AttemptError: the attempt failed.
        """
        left = work.deadline - self.clock.now()
        if left < MIN_ATTEMPT:
            raise TimeoutError
        self.drain.check_attempt(work)
        attempt = exchange.Attempt(
            work.request,
            instance,
            left,
            work.route.priority,
            work.last_event_id,
        )
        placement = self.parts.balancer.start(instance, work.request.generation)
        work.sends += 1
        work.runs += 1
        work.instance = instance.id
        work.sent = self.clock.now()
        self.drain.note_attempt(work)
        failure: exchange.FailureKind | None = None
        try:
            async with self.parts.upstreams.send(attempt) as answer:
                await self._pass_on(work, answer, placement)
                if answer.head.status < 300:
                    self.drain.note_answered(work)
        except exchange.AttemptError as error:
            failure = error.kind
            if error.is_not_run:
                work.runs -= 1
                self.drain.note_attempt(work)
            self._look_for_crash(work, instance, error.kind)
            raise
        finally:
            self.parts.balancer.end(placement, failure)
        self._log(work, "answered", instance=instance.id)
        received = work.request.received
        if work.first_piece is not None:
            metrics.record_latency(
                "cicada_first_piece",
                work.first_piece - received,
                work.service.name,
            )
        metrics.record_latency(
            "cicada_answer", self.clock.now() - received, work.service.name
        )

    def _look_for_crash(
        self,
        work: active_request.Work,
        instance: inventory.Instance,
        kind: exchange.FailureKind,
    ) -> None:
        """Note what a failure says of the upstream's life."""
        now = self.clock.now()
        if kind is exchange.FailureKind.UNREACHABLE:
            self.note_deaths(self.crashes.take_dead(instance.id, now))
        elif kind is exchange.FailureKind.CUT and work.sent is not None:
            self.crashes.note_cut(
                crashes.Cut(work.fingerprint, instance, work.sent, now)
            )

    async def _pass_on(
        self,
        work: active_request.Work,
        answer: active_request.Answer,
        placement: balancer_lib.Placement,
    ) -> None:
        """Pass an answer on once it is known that it may be."""
        head = answer.head
        if head.is_event_stream:
            await self._pass_events(work, answer, placement)
            return
        body = await answer.read()
        self.parts.balancer.note_first_piece(placement)
        may_repeat = (
            work.route.is_repeatable and work.runs < work.route.max_attempts
        )
        if work.has_begun or (head.status >= 500 and may_repeat):
            raise exchange.AttemptError(
                exchange.FailureKind.SERVER_ERROR, f"status {head.status}"
            )
        await work.sink.answer(head, body)

    async def _pass_events(
        self,
        work: active_request.Work,
        answer: active_request.Answer,
        placement: balancer_lib.Placement,
    ) -> None:
        """Pass on whole events as they arrive."""
        splitter = events.EventSplitter()
        async for chunk in answer.iterate():
            whole = _split(splitter, chunk)
            if not whole:
                continue
            self.parts.balancer.note_first_piece(placement)
            if not work.has_begun:
                work.has_begun = True
                work.first_piece = self.clock.now()
                await work.sink.begin(answer.head)
            await work.sink.send(b"".join(event.data for event in whole))
            for event in whole:
                work.last_event_id = event.id or work.last_event_id
        if splitter.pending:
            raise exchange.AttemptError(
                exchange.FailureKind.CUT, "stream ends within an event"
            )
        if not work.has_begun:
            await work.sink.begin(answer.head)
        await work.sink.finish()

    async def _consider_retry(
        self,
        work: active_request.Work,
        instance: inventory.Instance,
        error: exchange.AttemptError,
    ) -> None:
        """Return if another attempt may be made.

        Raises:
            errors.RefusalError: none may.
        """
        reason = self._find_obstacle(work, error)
        self._log(
            work,
            "retried" if reason is None else "failed",
            instance=instance.id,
            failure=str(error.kind),
            detail=error.detail,
            obstacle=reason,
        )
        if reason is not None:
            self._give_up(work, reason)
        metrics.count_retry(str(error.kind), self.node)
        self._note_failure(work, instance, error)
        if error.kind in BRIEF_KINDS:
            await asyncio.sleep(RETRY_PAUSE.total_seconds())

    def _find_obstacle(
        self, work: active_request.Work, error: exchange.AttemptError
    ) -> str | None:
        """Return why no further attempt may be made, if it may not."""
        if not error.is_not_run:
            if not work.route.is_repeatable:
                return "not_repeatable"
            if work.runs >= work.route.max_attempts:
                return "attempts_exhausted"
        if work.sends >= MAX_SENDS:
            return "sends_exhausted"
        if work.deadline - self.clock.now() < MIN_ATTEMPT:
            return "deadline_passed"
        is_sent = error.kind is not exchange.FailureKind.UNREACHABLE
        budget = self._get_budget(work.service.name)
        if is_sent and not budget.take(self.machines, self.clock.now()):
            return "retry_budget_exhausted"
        return None

    def _note_failure(
        self,
        work: active_request.Work,
        instance: inventory.Instance,
        error: exchange.AttemptError,
    ) -> None:
        """Learn from a failure before the next choice."""
        generation = work.request.generation
        if error.kind is exchange.FailureKind.MISSING and generation:
            self.parts.residency.note_missing(
                residency_lib.CopyKey(
                    instance.id, generation.model, generation.adapter
                ),
                self.clock.now(),
            )
            if instance.id not in work.missed:
                work.missed |= {instance.id}
                return
        work.excluded |= {instance.id}

    def _give_up(self, work: active_request.Work, reason: str) -> NoReturn:
        """End a request that can't be tried again.

        Raises:
            errors.RefusalError: always.
        """
        if work.runs:
            raise active_request.create_refusal(reason, 502, outcome="unknown")
        raise active_request.create_refusal(reason, 503, RETRY_AFTER)

    async def _time_out(self, work: active_request.Work) -> None:
        """Answer a request whose time is over."""
        code, pause = "deadline_passed", RETRY_AFTER
        if self.drain.is_cut_short(work):
            code, pause = "stopping", request_drain.RETRY_AFTER
        if work.runs:
            refusal = active_request.create_refusal(
                code, 504, outcome="unknown"
            )
        else:
            refusal = active_request.create_refusal(code, 503, pause)
        await self._refuse(work.request, work.sink, refusal, work)

    async def _refuse(
        self,
        request: exchange.CallerRequest,
        sink: active_request.Sink,
        refusal: errors.RefusalError,
        work: active_request.Work | None = None,
    ) -> None:
        """Send an answer of our own, or break a stream off."""
        metrics.count_refusal(refusal.code, self.node)
        generation = request.generation
        logger.info(
            "Request refused.",
            extra={
                "request_id": request.id,
                "code": refusal.code,
                "status": refusal.status,
                "outcome": str(refusal.outcome),
                "route": work.route.name if work else "",
                "model": generation.model if generation else "",
                "adapter": generation.adapter if generation else "",
                "configuration": self._get_version(),
                "inventory": self.parts.inventory.revision,
                "waited_ms": self._count_ms(request),
                "sends": work.sends if work else 0,
                "instance": work.instance if work else "",
                "has_begun": work.has_begun if work else False,
            },
        )
        await sink.refuse(refusal)

    def _log(
        self, work: active_request.Work, outcome: str, **fields: Any
    ) -> None:
        """Write one line on a decision about a request."""
        generation = work.request.generation
        logger.info(
            "Request decided.",
            extra={
                "request_id": work.request.id,
                "outcome": outcome,
                "route": work.route.name,
                "service": work.service.name,
                "model": generation.model if generation else "",
                "adapter": generation.adapter if generation else "",
                "configuration": self._get_version(),
                "inventory": self.parts.inventory.revision,
                "sends": work.sends,
                "sent_ms": self._count_ms(work.request, work.sent),
                "first_ms": self._count_ms(work.request, work.first_piece),
                "took_ms": self._count_ms(work.request),
                **fields,
            },
        )

    def _count_ms(
        self,
        request: exchange.CallerRequest,
        end: datetime.datetime | None = None,
    ) -> int:
        """Return the time since a request came, in ms."""
        elapsed = (end or self.clock.now()) - request.received
        return int(elapsed.total_seconds() * 1000)

    def _get_version(self) -> int:
        return self.configuration.version if self.configuration else 0

    def _get_budget(self, service: str) -> retrybudget.RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = retrybudget.RetryBudget(self.parts.budget_mode)
            self.budgets[service] = budget
        return budget


def _split(splitter: events.EventSplitter, chunk: bytes) -> list[events.Event]:
    """Return the events that `chunk` completes.

    Raises:
        exchange.AttemptError: an event grows too long.
    """
    try:
        return list(splitter.feed(chunk))
    except events.OversizedEventError as error:
        raise exchange.AttemptError(
            exchange.FailureKind.MALFORMED, str(error)
        ) from error
