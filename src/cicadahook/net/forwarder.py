"""Forwards callers' requests to upstreams and relays their answers unparsed.

A node creates one forwarder. It selects an upstream for each attempt, retries
where that is safe, and refuses requests that cannot be answered in time.
"""

import asyncio
import datetime
from typing import Final

from cicadahook.core import balancer
from cicadahook.core import errors
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.core import residency
from cicadahook.core import routes
from cicadahook.net import active_request
from cicadahook.net import crash_guard
from cicadahook.net import engine_waits
from cicadahook.net import metrics
from cicadahook.net import refusal_planner
from cicadahook.net import request_admission
from cicadahook.net import request_drain
from cicadahook.net import request_log
from cicadahook.net import stream_relay
from cicadahook.net import stream_resumption

# With less time left, an upstream could not begin to work on a request.
MIN_ATTEMPT_TIME: Final = datetime.timedelta(milliseconds=30)
RETRY_DELAY: Final = datetime.timedelta(milliseconds=20)
# Failures whose cause may have passed a moment later; the retry is delayed.
TRANSIENT_KINDS: Final = frozenset(
    {forwarding.FailureKind.REJECTED, forwarding.FailureKind.MISSING}
)
MAX_SENDS: Final = 8


class Forwarder:
    """Forwards the requests that reach one node.

    Attributes:
        node: name of the node.
        components: what requests are forwarded with.
        node_count: number of nodes that share the retry budgets.
        admission: checks requests before they are served.
        log: logs decisions about requests.
        resumption: binds streams to the software version that began them.
        crash_guard: keeps requests that crash upstreams from them.
        streams: relays the events of streams.
        drain: limits the time of requests once the node is asked to stop.
        refusals: decides how requests without an upstream are refused.
        waits: lets requests wait for engines.
    """

    def __init__(
        self,
        node: str,
        components: active_request.ForwarderComponents,
        resumption: stream_resumption.StreamResumption,
    ) -> None:
        self.node = node
        self.components = components
        self.resumption = resumption
        self.clock = components.clock
        self.node_count = 1
        self.crash_guard = crash_guard.CrashGuard(components)
        self.admission = request_admission.RequestAdmission(
            node, components, self.crash_guard
        )
        self.log = request_log.RequestLog(node, components, self._get_version)
        self.streams = stream_relay.StreamRelay(
            components, self.crash_guard, resumption
        )
        self.drain = request_drain.RequestDrain(components.clock)
        self.refusals = refusal_planner.RefusalPlanner(components, self.drain)
        self.waits = engine_waits.EngineWaits(
            components, self.drain, self.refusals
        )

    async def serve(
        self, request: forwarding.CallerRequest, sink: active_request.AnswerSink
    ) -> None:
        """Serve a request and send its final answer or refusal to the caller.

        Args:
            request: the caller's request.
            sink: where the answer goes.
        """
        try:
            active = self._admit(request, sink)
        except errors.RefusalError as refusal:
            await self._refuse(request, sink, refusal)
            return
        try:
            async with self.drain.limit(active):
                await self._serve_active(active)
        except TimeoutError:
            await self._refuse_timed_out(active)
        except errors.RefusalError as refusal:
            await self._refuse(request, sink, refusal, active)
        except asyncio.CancelledError:
            outcome = "cut_off" if sink.is_connected else "caller_left"
            self.log.record_decision(active, outcome, instance=active.instance)
            raise
        finally:
            self.admission.settle(active)

    def _admit(
        self, request: forwarding.CallerRequest, sink: active_request.AnswerSink
    ) -> active_request.ActiveRequest:
        """Validate a request.

        Raises:
            errors.RefusalError: the request must not be served.
        """
        self.drain.check_open()
        return self.admission.admit(request, sink)

    @property
    def configuration(self) -> routes.Configuration | None:
        """The latest configuration; None before the first."""
        return self.admission.configuration

    @configuration.setter
    def configuration(self, configuration: routes.Configuration) -> None:
        self.admission.apply_configuration(configuration)

    def _get_version(self) -> int:
        return self.configuration.version if self.configuration else 0

    async def _serve_active(self, active: active_request.ActiveRequest) -> None:
        """Make attempts until one succeeds.

        Raises:
            errors.RefusalError: no attempt succeeded, and no other may be made.
        """
        await self.resumption.prepare(active)
        while True:
            self.drain.check_attempt(active)
            instance = await self._select(active)
            self.admission.check_identity(active)
            try:
                with self.crash_guard.watch(active, instance):
                    await self._attempt(active, instance)
                return
            except forwarding.AttemptError as error:
                await self._prepare_retry(active, instance, error)

    async def _select(
        self, active: active_request.ActiveRequest
    ) -> inventory.Instance:
        """Return the upstream for the next attempt.

        Raises:
            errors.RefusalError: no upstream could answer in time.
        """
        components = self.components
        candidates = [
            candidate
            for candidate in components.inventory.list_usable(
                active.service.name
            )
            if candidate.id not in active.excluded
            and self.resumption.accepts(active, candidate)
        ]
        unreachable = components.reachability.find_unreachable(
            candidates, self.clock.now()
        )
        usable = [each for each in candidates if each.id not in unreachable]
        if unreachable and not usable:
            raise self.refusals.plan_unreachable(active)
        generation = active.request.generation
        chosen: inventory.Instance | None
        if generation is None or active.service.engines is None:
            chosen = components.balancer.choose(usable, None)
            if chosen is None:
                chosen = await self.waits.wait_for_room(usable, None)
        elif active.required_software is not None and not usable:
            chosen = None
        else:
            chosen = await self._select_engine(active, usable, generation)
        if chosen is None:
            raise self.refusals.plan_no_upstream(active, usable)
        has_room = components.statements.has_room(chosen, self.clock.now())
        if not has_room or not self.resumption.accepts(active, chosen):
            raise self.refusals.plan_no_upstream(active, [chosen])
        return chosen

    async def _select_engine(
        self,
        active: active_request.ActiveRequest,
        usable: list[inventory.Instance],
        generation: forwarding.Generation,
    ) -> inventory.Instance | None:
        """Return an engine that holds the requested copy, or None.

        If no usable engine with room holds it, the copy is loaded first.

        Raises:
            errors.RefusalError: the engine is overloaded, or the load takes
                too long.
        """
        components = self.components
        now = self.clock.now()
        ready = components.residency.list_holders(
            usable, generation.model, generation.adapter, now
        )
        chosen = components.balancer.choose(ready, generation)
        if chosen is not None:
            if not active.send_count and active.required_software is None:
                self._check_overload(active, chosen)
            return chosen
        if usable and not any(
            components.statements.has_room(entry, now) for entry in usable
        ):
            return None
        if ready:
            chosen = await self.waits.wait_for_room(ready, generation)
            if chosen is not None:
                return chosen
        holders = components.residency.list_holders(
            usable, generation.model, "", now
        )
        best = components.balancer.choose(holders, generation)
        key = residency.CopyKey(
            best.id if best else "", generation.model, generation.adapter
        )
        return await self.waits.wait_for_copy(active, key, ready, generation)

    def _check_overload(
        self, active: active_request.ActiveRequest, chosen: inventory.Instance
    ) -> None:
        """Refuse a request that the best engine would start too late.

        A request that starts late also runs slowly: an engine that is busy
        with prompts makes little progress on its streams, which then time out.

        Raises:
            errors.RefusalError: the engine is overloaded; the caller may retry.
        """
        if self.components.balancer.is_overloaded(
            chosen, active.route.target_latency
        ):
            raise self.refusals.plan_overloaded()

    async def _attempt(
        self, active: active_request.ActiveRequest, instance: inventory.Instance
    ) -> None:
        """Send a request to one upstream and relay its answer.

        Raises:
            forwarding.AttemptError: the attempt failed.
        """
        left = active.deadline - self.clock.now()
        if left < MIN_ATTEMPT_TIME:
            raise TimeoutError
        self.drain.check_attempt(active, instance.id)
        attempt = forwarding.Attempt(
            active.request,
            instance,
            left,
            active.priority,
            active.sequence.last_id,
            was_refused=instance.id in active.lacked_copy,
        )
        limit = self.components.statements.find_limit(instance)
        if limit is not None:
            metrics.count_limited_call("request", self.node)
        placement = self.components.balancer.start(
            instance, active.request.generation
        )
        active.send_count += 1
        active.possible_runs += 1
        active.instance, active.software = instance.id, instance.software
        active.sent_at = self.clock.now()
        self.drain.update_time_limit(active)
        failure: forwarding.FailureKind | None = None
        try:
            async with self.components.upstreams.send(attempt) as answer:
                await self._relay_answer(active, answer, placement)
                if answer.head.status < 300:
                    self.drain.record_duration(active)
        except forwarding.AttemptError as error:
            failure = error.kind
            if error.is_not_run:
                active.possible_runs -= 1
                self.drain.update_time_limit(active)
            raise
        finally:
            self.components.balancer.end(placement, failure)
        self.log.record_decision(
            active,
            "answered",
            instance=instance.id,
            upstream_limit=limit.rate if limit else None,
        )
        metrics.record_answer(
            active.service.name,
            active.request.received,
            active.first_chunk_at,
            self.clock.now(),
        )

    async def _relay_answer(
        self,
        active: active_request.ActiveRequest,
        answer: active_request.Answer,
        placement: balancer.Placement,
    ) -> None:
        """Relay an answer, unless another attempt should replace it.

        Raises:
            forwarding.AttemptError: the answer is a server error that may be
                retried, or is not the rest of the stream that has begun.
        """
        head = answer.head
        active.answer.body_end = head.body_end
        metrics.count_body_end(str(head.body_end), self.node)
        if head.is_event_stream:
            await self.streams.relay(active, answer, placement)
            return
        body = await answer.read()
        self.components.balancer.record_first_piece(placement)
        may_repeat = (
            active.route.is_repeatable
            and active.possible_runs < active.route.max_attempts
        )
        if active.has_begun or (head.status >= 500 and may_repeat):
            raise forwarding.AttemptError(
                forwarding.FailureKind.SERVER_ERROR, f"status {head.status}"
            )
        self.crash_guard.record_progress(active, is_complete=True)
        await active.sink.answer(head, body)

    async def _prepare_retry(
        self,
        active: active_request.ActiveRequest,
        instance: inventory.Instance,
        error: forwarding.AttemptError,
    ) -> None:
        """Record a failed attempt and wait until the next one may be made.

        Raises:
            errors.RefusalError: no other attempt may be made.
        """
        reason = self._find_obstacle(active, error)
        self.log.record_decision(
            active,
            "retried" if reason is None else "failed",
            instance=instance.id,
            failure=str(error.kind),
            detail=error.detail,
            obstacle=reason,
        )
        if reason is not None:
            raise self.refusals.plan_give_up(active, reason)
        metrics.count_retry(str(error.kind), self.node)
        self._record_failure(active, instance, error)
        if error.kind in TRANSIENT_KINDS:
            await asyncio.sleep(RETRY_DELAY.total_seconds())

    def _find_obstacle(
        self,
        active: active_request.ActiveRequest,
        error: forwarding.AttemptError,
    ) -> str | None:
        """Return why no other attempt may be made, or None if one may."""
        if not error.is_not_run:
            if not active.route.is_repeatable:
                return "not_repeatable"
            if active.has_begun and not active.sequence.can_join:
                return "events_not_numbered"
            if active.possible_runs >= active.route.max_attempts:
                return "attempts_exhausted"
        if active.send_count >= MAX_SENDS:
            return "sends_exhausted"
        if active.deadline - self.clock.now() < MIN_ATTEMPT_TIME:
            return "deadline_passed"
        is_sent = error.kind is not forwarding.FailureKind.UNREACHABLE
        budget = self.admission.get_budget(active.service.name)
        if is_sent and not budget.consume(self.node_count, self.clock.now()):
            return "retry_budget_exhausted"
        return None

    def _record_failure(
        self,
        active: active_request.ActiveRequest,
        instance: inventory.Instance,
        error: forwarding.AttemptError,
    ) -> None:
        """Update what the next selection of an upstream depends on.

        An upstream that lacks the copy may be tried once more, after a load,
        and one that was not reached by another way.
        """
        if error.kind is forwarding.FailureKind.UNREACHABLE:
            return
        generation = active.request.generation
        if error.kind is forwarding.FailureKind.MISSING and generation:
            self.components.residency.record_missing(
                residency.CopyKey(
                    instance.id, generation.model, generation.adapter
                ),
                self.clock.now(),
            )
            if instance.id not in active.lacked_copy:
                active.lacked_copy |= {instance.id}
                return
        active.excluded |= {instance.id}

    async def _refuse_timed_out(
        self, active: active_request.ActiveRequest
    ) -> None:
        """Refuse a request whose time limit has passed."""
        code, pause = "deadline_passed", refusal_planner.RETRY_AFTER
        if self.drain.is_cut_short(active):
            code, pause = "stopping", request_drain.RETRY_AFTER
        if active.possible_runs:
            refusal = active_request.create_refusal(
                code, 504, outcome="unknown"
            )
        else:
            refusal = active_request.create_refusal(code, 503, pause)
        await self._refuse(active.request, active.sink, refusal, active)

    async def _refuse(
        self,
        request: forwarding.CallerRequest,
        sink: active_request.AnswerSink,
        refusal: errors.RefusalError,
        active: active_request.ActiveRequest | None = None,
    ) -> None:
        """Log a refusal and send it; a stream that has begun is aborted."""
        self.log.record_refusal(request, refusal, active)
        await sink.refuse(refusal)
