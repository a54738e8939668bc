"""Distinguishes crashes of upstreams from connections that only broke."""

import dataclasses
import datetime
from typing import Final

from cicadahook.core import inventory

# Within this time a crashed upstream is removed or listed as a new incarnation.
EVIDENCE_PERIOD: Final = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenRequest:
    """A request whose connection broke while it ran.

    Attributes:
        fingerprint: digest that identifies repeats of the request.
        instance: the upstream that ran it.
        began: when it was sent.
        ended: when the connection broke.
        request_id: id of the attempt of its caller.
        shared_parts: parts of its prompt that other requests may hold too.
        first_event: when its answer had begun; None if it had not.
    """

    fingerprint: str
    instance: inventory.Instance
    began: datetime.datetime
    ended: datetime.datetime
    request_id: str = ""
    shared_parts: tuple[str, ...] = ()
    first_event: datetime.datetime | None = None

    @property
    def death(self) -> str:
        """Return the name of the death of this upstream incarnation."""
        return f"{self.instance.address}/{self.instance.born}"


class CrashTracker:
    """Keeps broken requests until it is known whether the upstream crashed.

    Attributes:
        broken_requests: broken requests, by instance id.
    """

    def __init__(self) -> None:
        self.broken_requests: dict[str, list[BrokenRequest]] = {}

    def record_broken(self, request: BrokenRequest) -> None:
        """Record a request whose connection broke."""
        self.broken_requests.setdefault(request.instance.id, []).append(request)

    def pop_dead(
        self, instance: str, now: datetime.datetime
    ) -> tuple[BrokenRequest, ...]:
        """Remove and return the requests that broke at a dead upstream."""
        return tuple(
            request
            for request in self.broken_requests.pop(instance, ())
            if now - request.ended < EVIDENCE_PERIOD
        )

    def compare(
        self, registrations: inventory.Inventory, now: datetime.datetime
    ) -> tuple[BrokenRequest, ...]:
        """Return the requests that broke at removed or restarted upstreams."""
        dead: list[BrokenRequest] = []
        for name, broken_requests in list(self.broken_requests.items()):
            entry = registrations.instances.get(name)
            if entry is None or entry.born != broken_requests[0].instance.born:
                dead.extend(self.pop_dead(name, now))
            elif now - broken_requests[-1].ended >= EVIDENCE_PERIOD:
                del self.broken_requests[name]
        return tuple(dead)
