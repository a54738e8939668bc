"""Keeps requests that crash upstreams away from them."""

import asyncio
from collections.abc import Iterable, Iterator
import contextlib
import datetime
from typing import Final

from cicadahook.core import crash_records
from cicadahook.core import crash_suspects
from cicadahook.core import crash_tracker
from cicadahook.core import errors
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.net import active_request
from cicadahook.net import logs
from cicadahook.net import tasks

# A trial takes about this long to prove sound.
SUSPECTED_RETRY_AFTER: Final = datetime.timedelta(seconds=1.5)
# An answer that goes on for this time has not crashed its upstream by its
# begin.
SOUND_PERIOD: Final = datetime.timedelta(seconds=1)

# The digest of a request and its first parts.
MAX_LOGGED_TRAITS: Final = 64
PROBE_COUNT: Final = 2
PROBE_PAUSE: Final = datetime.timedelta(milliseconds=40)

logger: Final = logs.create_logger("forwarder")


class CrashGuard:
    """Records which requests crash upstreams and refuses them.

    Attributes:
        components: what requests are forwarded with.
        clock: the time.
        suspects: what the requests that crash upstreams have in common.
        tracker: distinguishes crashes of upstreams from broken connections.
        probes: running probes of upstreams that broke off a request, by id.
    """

    def __init__(self, components: active_request.ForwarderComponents) -> None:
        self.components = components
        self.clock = components.clock
        self.suspects = components.suspects
        self.tracker = crash_tracker.CrashTracker()
        self.probes: dict[str, asyncio.Task[None]] = {}

    def check(self, traits: tuple[str, ...]) -> crash_suspects.Verdict:
        """Return how a request may be run now.

        Raises:
            errors.RefusalError: it must not be run; for good if its traits
                crash upstreams, or for now if that is being tried.
        """
        verdict = self.suspects.check(traits)
        if verdict is crash_suspects.Verdict.QUARANTINED:
            raise active_request.create_refusal("quarantined", 422)
        if verdict is crash_suspects.Verdict.SUSPECTED:
            factor = self.components.generator.uniform(0.7, 1.3)
            raise active_request.create_refusal(
                "suspected", 503, SUSPECTED_RETRY_AFTER * factor
            )
        return verdict

    @contextlib.contextmanager
    def watch(
        self,
        active: active_request.ActiveRequest,
        instance: inventory.Instance,
    ) -> Iterator[None]:
        """Watch an attempt, as a trial if the request is a suspect.

        Raises:
            errors.RefusalError: the request must not be run now.
        """
        trial = self._begin_trial(active)
        active.answer = active_request.AnswerProgress()
        reserved_until: datetime.datetime | None = None
        try:
            yield
        except forwarding.AttemptError as error:
            if error.kind is forwarding.FailureKind.CUT:
                # Until then the end of the upstream becomes known.
                reserved_until = (
                    self.clock.now() + crash_tracker.EVIDENCE_PERIOD
                )
            self._record_failure(active, instance, error.kind)
            raise
        finally:
            self.suspects.end_trial(trial, reserved_until)

    def _begin_trial(
        self, active: active_request.ActiveRequest
    ) -> tuple[str, ...]:
        """Return the traits of a request that are on trial with it.

        Raises:
            errors.RefusalError: the request must not be run now.
        """
        try:
            verdict = self.check(active.traits)
        except errors.RefusalError as refusal:
            if active.possible_runs:
                raise active_request.create_refusal(
                    refusal.code, 502, outcome="unknown"
                ) from refusal
            raise
        if verdict is crash_suspects.Verdict.CLEAR:
            return ()
        trial = self.suspects.begin_trial(active.traits, active.deadline)
        logger.info(
            "Request runs as a trial of its suspect traits.",
            extra={"request_id": active.request.id, "traits": trial},
        )
        return trial

    def record_progress(
        self,
        active: active_request.ActiveRequest,
        *,
        is_complete: bool = False,
    ) -> None:
        """Record that an answer goes on, or that it is complete."""
        now = self.clock.now()
        if active.answer.began is None:
            active.answer.began = active.sent_at if is_complete else now
        if active.answer.is_proven_sound or active.answer.began is None:
            return
        if is_complete or now - active.answer.began >= SOUND_PERIOD:
            active.answer.is_proven_sound = True
            cleared = self.suspects.record_sound(
                active.traits, active.answer.began
            )
            if cleared:
                logger.info(
                    "Traits cleared of crashes by a sound answer.",
                    extra={"request_id": active.request.id, "traits": cleared},
                )

    def _record_failure(
        self,
        active: active_request.ActiveRequest,
        instance: inventory.Instance,
        kind: forwarding.FailureKind,
    ) -> None:
        """Record a failure that may come from a crash of the upstream.

        An upstream that this node cannot reach may only be cut off from it, and
        a cut connection alone does not prove a crash either, so it is probed.
        """
        now = self.clock.now()
        if kind is forwarding.FailureKind.UNREACHABLE:
            if instance.id in self.tracker.broken_requests:
                self._start_probe(instance)
        elif (
            kind is forwarding.FailureKind.CUT
            and active.sent_at is not None
            and not active.answer.is_proven_sound
        ):
            self.tracker.record_broken(
                crash_tracker.BrokenRequest(
                    active.traits,
                    instance,
                    active.sent_at,
                    now,
                    active.request.id,
                    active.answer.began is not None,
                )
            )
            self._start_probe(instance)

    def _start_probe(self, instance: inventory.Instance) -> None:
        tasks.share(self.probes, instance.id, lambda: self._probe(instance))

    async def _probe(self, instance: inventory.Instance) -> None:
        """Find out whether an upstream that broke off a request has ended.

        The store would tell it seconds later, and not at all while it is away.
        It has ended if it refuses connections of this node and of others, while
        this node has links to other upstreams.
        """
        if self.components.statements.asks_for_less(instance, self.clock.now()):
            return
        for _ in range(PROBE_COUNT):
            await asyncio.sleep(PROBE_PAUSE.total_seconds())
            event = await self.components.upstreams.probe(instance)
            if event is forwarding.LinkEvent.REFUSED:
                if await self.components.may_have_ended(instance):
                    self._record_crashes(
                        self.tracker.pop_dead(instance.id, self.clock.now())
                    )
                return

    def apply_inventory(self) -> None:
        """Record the requests that ran on upstreams that ended or restarted."""
        self._record_crashes(
            self.tracker.compare(self.components.inventory, self.clock.now())
        )

    def merge(
        self, statements: Iterable[crash_records.SuspectStatement]
    ) -> None:
        """Apply what another node tells of crashes and their suspects."""
        heard = self.suspects.merge(statements)
        self._record_crashes(self.tracker.pop_deaths(heard, self.clock.now()))

    def _record_crashes(
        self, broken_requests: Iterable[crash_tracker.BrokenRequest]
    ) -> None:
        """Record the requests that were running on upstreams that crashed."""
        for request in broken_requests:
            may_have_caused = self.suspects.record_death(
                request.traits, request.death, request.began, request.ended
            )
            suspects = self.suspects.find_suspects(request.traits)
            logger.info(
                "Request suspected of a crash.",
                extra={
                    "request_id": request.request_id,
                    "traits": request.traits[:MAX_LOGGED_TRAITS],
                    "trait_count": len(request.traits),
                    "had_begun": request.had_begun,
                    "death": request.death,
                    "is_suspect": may_have_caused,
                    "suspects": suspects[:MAX_LOGGED_TRAITS],
                },
            )
