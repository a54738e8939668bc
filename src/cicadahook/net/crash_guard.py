"""Keeps requests that crash upstreams away from them."""

from collections.abc import Iterable
import datetime
from typing import Final

from cicadahook.core import crash_tracker
from cicadahook.core import errors
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.net import active_request
from cicadahook.net import logs

QUARANTINE_RETRY_AFTER: Final = datetime.timedelta(seconds=10)

logger: Final = logs.create_logger("forwarder")


class CrashGuard:
    """Records which requests crash upstreams and refuses them.

    Attributes:
        components: what requests are forwarded with.
        tracker: distinguishes crashes of upstreams from broken connections.
    """

    def __init__(self, components: active_request.ForwarderComponents) -> None:
        self.components = components
        self.tracker = crash_tracker.CrashTracker()

    def check(self, fingerprint: str) -> None:
        """Refuse a request that crashed several upstreams.

        Raises:
            errors.RefusalError: the request is quarantined.
        """
        try:
            self.components.quarantine.check(fingerprint)
        except errors.RefusalError as refusal:
            raise active_request.create_refusal(
                refusal.code, 503, QUARANTINE_RETRY_AFTER
            ) from refusal

    def record_failure(
        self,
        active: active_request.ActiveRequest,
        instance: inventory.Instance,
        kind: forwarding.FailureKind,
    ) -> None:
        """Record a failure that may come from a crash of the upstream.

        An upstream that cannot be reached has crashed; the requests that it cut
        off before are then recorded. A cut connection alone does not prove a
        crash.
        """
        now = self.components.clock.now()
        if kind is forwarding.FailureKind.UNREACHABLE:
            self._record_crashes(self.tracker.pop_dead(instance.id, now))
        elif kind is forwarding.FailureKind.CUT and active.sent_at is not None:
            generation = active.request.generation
            self.tracker.record_broken(
                crash_tracker.BrokenRequest(
                    active.fingerprint,
                    instance,
                    active.sent_at,
                    now,
                    active.request.id,
                    generation.shared_parts if generation else (),
                    active.first_chunk_at,
                )
            )

    def apply_inventory(self) -> None:
        """Record the requests that ran on upstreams that ended or restarted."""
        self._record_crashes(
            self.tracker.compare(
                self.components.inventory, self.components.clock.now()
            )
        )

    def _record_crashes(
        self, broken_requests: Iterable[crash_tracker.BrokenRequest]
    ) -> None:
        """Record the requests that were running on upstreams that crashed.

        A request that was running in several crashes becomes a suspect.
        """
        for request in broken_requests:
            is_suspect = self.components.quarantine.record_death(
                request.fingerprint, request.death, request.began
            )
            logger.info(
                "Request suspected of a crash.",
                extra={
                    "fingerprint": request.fingerprint,
                    "request_id": request.request_id,
                    "parts": request.shared_parts,
                    "had_begun": request.first_event is not None,
                    "death": request.death,
                    "is_suspect": is_suspect,
                },
            )
