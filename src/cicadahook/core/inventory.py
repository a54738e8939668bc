"""Inventory of the registered upstreams and the models that they hold."""

from collections.abc import Iterable, Iterator, Mapping
import dataclasses
import datetime

from cicadahook.core import leaving_upstreams
from cicadahook.core import picture_age
from cicadahook.core import store_api
from cicadahook.core import store_eras

# Time after the end of a store outage within which upstreams register again.
REREGISTRATION_PERIOD = datetime.timedelta(seconds=2)
# An upstream that has ended vanishes from the store within this time: its entry
# lapses after three heartbeats.
DOUBT_PERIOD = datetime.timedelta(seconds=10)
MAX_REMOVED = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """A model that an upstream holds, with its adapters."""

    model: str
    version: int
    adapters: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One incarnation of an upstream, as it describes itself.

    Attributes:
        id: its name, under which it is registered.
        service: name of its service.
        address: `host:port`.
        zone: availability zone.
        slots: requests that it runs at once.
        is_leaving: whether it accepts no new requests.
        holdings: models in accelerator memory, by name.
        in_memory: models of which it keeps a copy in host memory.
        on_disk: models of which it keeps a copy on its disk.
        sequence: number of orders accepted since its start.
        born: time of its start in Unix milliseconds; only compared for
            equality.
        software: version of its software; empty if it names none.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool = False
    holdings: Mapping[str, Holding] = dataclasses.field(default_factory=dict)
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    sequence: int = 0
    born: int = 0
    software: str = ""

    def holds(self, model: str) -> bool:
        """Return whether `model` is in accelerator memory."""
        return model in self.holdings


class Inventory:
    """Tracks registrations through changes and outages of the store.

    A registration that lapses while the store is unavailable stays usable
    until the store has been available again for `REREGISTRATION_PERIOD`.

    Attributes:
        instances: instances by id, including those that lapsed during an
            outage.
        position: position of the store that the inventory reflects.
        lapsed: when registrations that lapsed during an outage are removed,
            by id.
        leaving: upstreams that have said themselves that they leave.
        age: how old the picture of the store may be that it reflects; None if
            this is not known.
        seen: registrations since the last call of `take_seen`, by id and
            software.
        has_gap: whether registrations may have come and gone unseen since then.
        removed: start of the incarnations that were removed last, by id.
        doubted: until when incarnations are not used that an older copy of the
            store lists although they were removed, by id.
    """

    def __init__(
        self,
        leaving: leaving_upstreams.LeavingUpstreams | None = None,
        age: picture_age.PictureAge | None = None,
    ) -> None:
        self.age = age
        self.seen: dict[tuple[str, str], Instance] = {}
        self.has_gap = False
        self.leaving = leaving or leaving_upstreams.LeavingUpstreams()
        self.instances: dict[str, Instance] = {}
        self.position = store_api.ORIGIN
        self.removed: dict[str, int] = {}
        self.doubted: dict[str, datetime.datetime] = {}
        self.lapsed: dict[str, datetime.datetime] = {}

    def apply_snapshot(
        self,
        entries: Iterable[Instance],
        position: store_api.Position,
        now: datetime.datetime,
        is_after_outage: bool,
    ) -> None:
        """Replace all registrations by those read at `position`.

        Args:
            entries: the registrations.
            position: position of the store; an older one is ignored.
            now: the time.
            is_after_outage: whether the store was unavailable before, so that
                missing registrations may come back.
        """
        if position < self.position:
            return
        is_older_copy = position.era > self.position.era
        self.position = position
        self.has_gap = True
        fresh = {entry.id: entry for entry in entries}
        for name in self.instances.keys() - fresh.keys():
            if not is_after_outage:
                self.remove(name)
            elif name not in self.lapsed:
                self.lapsed[name] = now + REREGISTRATION_PERIOD
        for entry in fresh.values():
            self.put(entry)
            if is_older_copy and self.removed.get(entry.id) == entry.born:
                self.doubted[entry.id] = now + DOUBT_PERIOD

    def put(self, entry: Instance) -> None:
        """Add or replace a registration."""
        self.lapsed.pop(entry.id, None)
        self.doubted.pop(entry.id, None)
        if entry.is_leaving:
            self.leaving.record(entry.id, entry.born)
        self.instances[entry.id] = entry
        self.seen[(entry.id, entry.software)] = entry

    def apply_era(self, change: store_eras.EraChange) -> None:
        """Accept an earlier position if the store denies a later era."""
        if self.position.era > change.era:
            self.position = store_api.ORIGIN

    def take_seen(self) -> tuple[tuple[Instance, ...], bool]:
        """Return all registrations since the last call.

        Returns:
            The registrations, and whether none is missing among them.
        """
        seen = (*self.seen.values(), *self.instances.values())
        is_gapless = not self.has_gap
        self.seen.clear()
        self.has_gap = False
        return seen, is_gapless

    def remove(self, name: str) -> None:
        """Remove a registration that has ended."""
        entry = self.instances.pop(name, None)
        self.lapsed.pop(name, None)
        self.doubted.pop(name, None)
        if entry is not None:
            self.removed.pop(name, None)
            self.removed[name] = entry.born
            while len(self.removed) > MAX_REMOVED:
                self.removed.pop(next(iter(self.removed)))

    def drop_expired(self, now: datetime.datetime) -> None:
        """Remove registrations that were not renewed after an outage."""
        for name, end in list(self.lapsed.items()):
            if end <= now:
                self.remove(name)
        for name, end in list(self.doubted.items()):
            if end <= now:
                del self.doubted[name]

    def list_usable(self, service: str) -> Iterator[Instance]:
        """Yield the upstreams of `service` that accept new requests."""
        # Each request asks for all upstreams of its service. Mostly none leaves
        # and none is doubted, so the full check is rarely needed.
        is_any_left_out = bool(self.doubted or self.leaving.born)
        for entry in self.instances.values():
            if entry.service != service or entry.is_leaving:
                continue
            if not is_any_left_out or not self._is_leaving(entry):
                yield entry

    def find_usable(self, name: str) -> Instance | None:
        """Return the upstream with id `name` if it accepts new requests."""
        entry = self.instances.get(name)
        return None if entry is None or self._is_leaving(entry) else entry

    def list_current(self, entries: Iterable[Instance]) -> list[Instance]:
        """Return those of `entries` that accept new requests now.

        Incarnations that have ended are left out, the others are returned as
        they are registered now.
        """
        return [
            current
            for entry in entries
            if (current := self.find_usable(entry.id)) is not None
            and current.born == entry.born
        ]

    def describe_picture(self) -> dict[str, str | int | None]:
        """Return fields for logs that tell what decisions rest on."""
        return {
            "inventory": str(self.position),
            "picture_age_ms": self.age.get_age_ms() if self.age else None,
        }

    def _is_leaving(self, entry: Instance) -> bool:
        return (
            entry.is_leaving
            or entry.id in self.doubted
            or self.leaving.is_leaving(entry.id, entry.born)
        )
