"""Remembers which software version began each stream, over all nodes.

Streams of two software versions do not fit together, so a stream may go on only
at upstreams of the version that began it. Nodes tell each other the versions of
new streams. Where a stream is unknown but all upstreams of its service have run
one version for as long as streams live, that version began it. A node knows
this only up to the revision of the store that its picture has reached.
"""

import collections
from collections.abc import Iterable
import dataclasses
import datetime
from typing import Final

from cicadahook.core import hashing
from cicadahook.core import inventory

# Longer than streams live and callers take to resume them.
RETENTION: Final = datetime.timedelta(seconds=60)
# Streams that one node remembers, some 150 bytes each.
MAX_ORIGINS: Final = 100_000
# How long a stream is part of each message. Each node of a larger fleet
# receives everything once in 0.75 s.
RECENT_PERIOD: Final = datetime.timedelta(seconds=1.5)
# Streams in one message; the newest are told first.
MAX_TOLD: Final = 400


@dataclasses.dataclass(frozen=True, slots=True)
class OriginStatement:
    """Streams that one version began, as nodes tell each other.

    Attributes:
        service: name of the service.
        software: version of its software.
        ids: ids of the callers' attempts that brought their first events.
    """

    service: str
    software: str
    ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Which version began a stream, and when this became known."""

    software: str
    recorded: datetime.datetime


def hash_id(request_id: str) -> int:
    """Return the hash by which a stream is remembered.

    Callers choose the ids, which may be long.
    """
    return hashing.hash64(request_id)


class StreamOrigins:
    """The streams and software versions known to one node.

    Attributes:
        origins: by service and hash of the id of the caller's attempt, oldest
            first.
        unstored: hashes of the streams whose origins were not seen in the
            store, by service, oldest first.
        own: streams begun here lately, oldest first.
        is_first_start: whether no stream may have begun before this node
            first reads the registrations.
        versions: when each version of each service was last registered.
        observed_since: since when all registrations are known without a gap;
            None while they are not.
    """

    def __init__(self, *, is_first_start: bool = False) -> None:
        self.is_first_start = is_first_start
        self.origins: collections.OrderedDict[tuple[str, int], Origin] = (
            collections.OrderedDict()
        )
        self.unstored: dict[str, dict[int, None]] = {}
        self.own: collections.deque[tuple[str, str]] = collections.deque(
            maxlen=MAX_TOLD
        )
        self.versions: dict[str, dict[str, datetime.datetime]] = {}
        self.observed_since: datetime.datetime | None = None

    def record_begin(
        self,
        instance: inventory.Instance,
        request_id: str,
        now: datetime.datetime,
    ) -> None:
        """Record that an upstream began a stream here."""
        if request_id:
            hashed = hash_id(request_id)
            self._add(instance.service, hashed, instance.software, now)
            self._drop_expired(now)
            self.own.append((instance.service, request_id))

    def merge(
        self, statements: Iterable[OriginStatement], now: datetime.datetime
    ) -> None:
        """Add what another node tells."""
        for statement in statements:
            for request_id in statement.ids:
                self._add(
                    statement.service,
                    hash_id(request_id),
                    statement.software,
                    now,
                )
        self._drop_expired(now)

    def merge_stored(
        self,
        service: str,
        software: str,
        hashes: Iterable[int],
        now: datetime.datetime,
    ) -> None:
        """Add streams that one version began, as the store names them."""
        for hashed in hashes:
            self._add(service, hashed, software, now)
            self.unstored.get(service, {}).pop(hashed, None)
        self._drop_expired(now)

    def forget_stored(self) -> None:
        """Take no origin as stored any more: the store may have lost it."""
        self.unstored = {}
        for service, hashed in self.origins:
            self.unstored.setdefault(service, {})[hashed] = None

    def _add(
        self,
        service: str,
        hashed: int,
        software: str,
        now: datetime.datetime,
    ) -> None:
        key = (service, hashed)
        if key not in self.origins:
            self.origins[key] = Origin(software, now)
            self.unstored.setdefault(service, {})[hashed] = None

    def _drop_expired(self, now: datetime.datetime) -> None:
        """Drop what is too old, and what is too much."""
        while self.origins:
            oldest = next(iter(self.origins.values()))
            is_expired = oldest.recorded + RETENTION <= now
            if not is_expired and len(self.origins) <= MAX_ORIGINS:
                return
            (service, hashed), _ = self.origins.popitem(last=False)
            self.unstored.get(service, {}).pop(hashed, None)

    def observe(
        self,
        upstreams: inventory.Inventory,
        now: datetime.datetime,
        *,
        is_current: bool,
    ) -> None:
        """Record the registered upstreams, and those that came and went.

        Args:
            upstreams: the inventory.
            now: the time.
            is_current: whether the store answers.
        """
        seen, is_gapless = upstreams.take_seen()
        self.record_versions(seen, now, is_current=is_current and is_gapless)

    def record_versions(
        self,
        instances: Iterable[inventory.Instance],
        now: datetime.datetime,
        *,
        is_current: bool,
    ) -> None:
        """Record the registered upstreams; called several times a second.

        Args:
            instances: all registered upstreams.
            now: the time.
            is_current: whether the store answers, so that no registration is
                missing.
        """
        if not is_current:
            self.observed_since = None
            return
        if self.observed_since is None:
            self.observed_since = now
            if self.is_first_start:
                self.observed_since -= RETENTION
                self.is_first_start = False
        for instance in instances:
            self.versions.setdefault(instance.service, {})[
                instance.software
            ] = now
        for service, versions in list(self.versions.items()):
            for software, last in list(versions.items()):
                if last + RETENTION <= now:
                    del versions[software]
            if not versions:
                del self.versions[service]

    def find(self, service: str, request_id: str) -> str | None:
        """Return the version that began a stream; None if it is not known.

        Args:
            service: name of the service.
            request_id: id of the attempt that brought its first event; empty
                if the caller did not state it.
        """
        origin = self.origins.get((service, hash_id(request_id)))
        return None if origin is None else origin.software

    def find_only(self, service: str, now: datetime.datetime) -> str | None:
        """Return the only version of a service for a whole retention time.

        None if there were several, or if this is not known.
        """
        versions = self.versions.get(service, {})
        if self.is_gapless(now) and len(versions) == 1:
            return next(iter(versions))
        return None

    def is_gapless(self, now: datetime.datetime) -> bool:
        """Whether all versions registered in the retention time are known."""
        return (
            self.observed_since is not None
            and self.observed_since + RETENTION <= now
        )

    def list_versions(self) -> dict[str, set[str]]:
        """Return the versions of each service that were registered lately."""
        return {
            service: set(versions)
            for service, versions in self.versions.items()
        }

    def list_statements(
        self, now: datetime.datetime
    ) -> tuple[OriginStatement, ...]:
        """Return the streams begun here lately, to be sent to other nodes."""
        groups: dict[tuple[str, str], list[str]] = collections.defaultdict(list)
        while self.own:
            service, request_id = self.own[0]
            origin = self.origins.get((service, hash_id(request_id)))
            if origin is not None and now - origin.recorded < RECENT_PERIOD:
                break
            self.own.popleft()
        for service, request_id in self.own:
            origin = self.origins.get((service, hash_id(request_id)))
            if origin is not None:
                groups[(service, origin.software)].append(request_id)
        return tuple(
            OriginStatement(service, software, tuple(ids))
            for (service, software), ids in groups.items()
        )
