"""Logs each decision of a node about a caller's request."""

from collections.abc import Callable
import datetime
from typing import Any, Final

from cicadahook.core import errors
from cicadahook.core import forwarding
from cicadahook.net import active_request
from cicadahook.net import logs
from cicadahook.net import metrics

logger: Final = logs.create_logger("forwarder")


class RequestLog:
    """Logs decisions and refusals with what they were based on.

    Attributes:
        node: name of the node, for metrics.
        components: what requests are forwarded with.
        get_version: returns the version of the configuration in force.
    """

    def __init__(
        self,
        node: str,
        components: active_request.ForwarderComponents,
        get_version: Callable[[], int],
    ) -> None:
        self.node = node
        self.clock = components.clock
        self.inventory = components.inventory
        self.get_version = get_version

    def record_refusal(
        self,
        request: forwarding.CallerRequest,
        refusal: errors.RefusalError,
        active: active_request.ActiveRequest | None,
    ) -> None:
        """Log and count a refusal."""
        metrics.count_refusal(refusal.code, self.node)
        generation = request.generation
        logger.info(
            "Request refused.",
            extra={
                "request_id": request.id,
                "code": refusal.code,
                "status": refusal.status,
                "outcome": str(refusal.outcome),
                "retry_after": refusal.retry_after
                and refusal.retry_after.total_seconds(),
                "route": active.route.name if active else "",
                "tenant": request.tenant,
                "model": generation.model if generation else "",
                "adapter": generation.adapter if generation else "",
                "configuration": self.get_version(),
                **self.inventory.describe_picture(),
                "waited_ms": self._get_elapsed_ms(request),
                "sends": active.send_count if active else 0,
                "instance": active.instance if active else "",
                "has_begun": active.has_begun if active else False,
                "events": active.sequence.count if active else 0,
            },
        )

    def record_early_refusal(
        self, request_id: str, refusal: errors.RefusalError
    ) -> None:
        """Log and count the refusal of a request that was not read whole."""
        metrics.count_refusal(refusal.code, self.node)
        logger.info(
            "Request refused.",
            extra={
                "request_id": request_id,
                "code": refusal.code,
                "status": refusal.status,
                "configuration": self.get_version(),
                **self.inventory.describe_picture(),
            },
        )

    def record_decision(
        self, active: active_request.ActiveRequest, outcome: str, **fields: Any
    ) -> None:
        """Log a decision about a request."""
        generation = active.request.generation
        charge = active.account.charge
        logger.info(
            "Request decided.",
            extra={
                "request_id": active.request.id,
                "outcome": outcome,
                "route": active.route.name,
                "service": active.service.name,
                "tenant": active.request.tenant,
                "model": generation.model if generation else "",
                "adapter": generation.adapter if generation else "",
                "configuration": self.get_version(),
                **self.inventory.describe_picture(),
                "sends": active.send_count,
                "sent_ms": active.sent_at
                and self._get_elapsed_ms(active.request, active.sent_at),
                "first_ms": active.first_chunk_at
                and self._get_elapsed_ms(active.request, active.first_chunk_at),
                "charged": charge.cost if charge else None,
                "took_ms": self._get_elapsed_ms(active.request),
                "resumed_id": active.request.resumed_id,
                "last_event_id": active.sequence.last_id,
                "events": active.sequence.count,
                "body_end": str(active.answer.body_end),
                "software": active.software,
                **fields,
            },
        )

    def _get_elapsed_ms(
        self,
        request: forwarding.CallerRequest,
        end: datetime.datetime | None = None,
    ) -> int:
        """Return the time from the arrival of a request to `end`, in ms.

        Without `end`, the time until now.
        """
        elapsed = (end or self.clock.now()) - request.received
        return int(elapsed.total_seconds() * 1000)
