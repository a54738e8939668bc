"""Distinguishes crashes of upstreams from connections that only broke."""

from collections.abc import Collection
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
        traits: what the crash may depend on.
        instance: the upstream that ran it.
        began: when it was sent.
        ended: when the connection broke.
        request_id: id of the attempt of its caller.
        had_begun: whether its answer had begun.
    """

    traits: tuple[str, ...]
    instance: inventory.Instance
    began: datetime.datetime
    ended: datetime.datetime
    request_id: str = ""
    had_begun: bool = False

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

    def pop_deaths(
        self, deaths: Collection[str], now: datetime.datetime
    ) -> tuple[BrokenRequest, ...]:
        """Remove and return the requests that broke in these deaths."""
        return tuple(
            request
            for name, requests in list(self.broken_requests.items())
            if requests[0].death in deaths
            for request in self.pop_dead(name, now)
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
