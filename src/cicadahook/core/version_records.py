"""Decides what the store says of the software versions that begin streams.

Designed for the loss of all nodes at once. What these knew of the streams that
broke off is gone, and callers want to go on with them. A record in the store
names the versions that streams of each service may have. Nodes begin no stream
of a version before the record names it, so one that names a single version
tells what began any stream.
"""

from collections.abc import Collection, Iterable, Mapping
import dataclasses
import datetime
from typing import Final

import msgspec

from cicadahook.core import inventory
from cicadahook.core import store_api

RECORD_KEY: Final = "cicada/versions"
# A record that no node renews vanishes: nodes of builds that know of no record
# may have begun streams since.
LEASE_TTL: Final = datetime.timedelta(seconds=30)
RENEWAL_PERIOD: Final = datetime.timedelta(seconds=8)
# Streams that began before the first record have ended after this time, and
# their callers have left.
SETTLING_PERIOD: Final = datetime.timedelta(seconds=60)


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRecord:
    """The versions that streams may have.

    Attributes:
        lease: id of the lease of the key in the store.
        versions: the versions of each service, sorted.
        is_complete: whether no stream of another version can be resumed.
        era: era of the store in which it was written. In a later one, versions
            may be missing.
    """

    lease: int
    versions: dict[str, tuple[str, ...]]
    is_complete: bool
    era: int = store_api.FIRST_ERA

    def find_only(self, service: str) -> str | None:
        """Return the version of all streams of a service, if there is one."""
        versions = self.versions.get(service, ())
        return versions[0] if self.is_complete and len(versions) == 1 else None


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record as it is in the store.

    Attributes:
        record: its content; None if it cannot be read.
        position: where it was read, at its last change.
    """

    record: VersionRecord | None
    position: store_api.Position


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What a node knows of versions and of the other nodes.

    Attributes:
        versions: versions of each service that are or lately were registered.
        is_gapless: whether none is missing among these.
        are_nodes_able: whether all nodes have told that they keep to a record.
        has_older_nodes: whether a node has told that it knows of no record.
    """

    versions: Mapping[str, Collection[str]]
    is_gapless: bool
    are_nodes_able: bool
    has_older_nodes: bool


def decode_record(value: bytes, era: int) -> VersionRecord | None:
    """Return the record in a value of the store; None if it is malformed.

    One that was written in an earlier era than the one given is not complete.
    """
    try:
        record = msgspec.json.decode(value, type=VersionRecord)
    except (msgspec.MsgspecError, RecursionError):
        return None
    if record.era < era:
        return dataclasses.replace(record, is_complete=False)
    return record


def encode_record(record: VersionRecord) -> bytes:
    """Return the value of a record in the store."""
    return msgspec.json.encode(record)


class VersionRecords:
    """What one node knows of the record, and how it should change.

    Attributes:
        stored: the record, as last seen; None while there is none.
        is_first_start: whether no stream can have begun before this process
            started, nor while there was no record since.
        bound_since: since when this node has seen a record without a gap and no
            node of an older build; all nodes name versions in the record before
            they use them.
        era: era of the store in which the record was last seen; 0 before.
    """

    def __init__(self, *, is_first_start: bool = False) -> None:
        self.is_first_start = is_first_start
        self.stored: StoredRecord | None = None
        self.bound_since: datetime.datetime | None = None
        self.era = 0

    def replace(
        self, item: store_api.Item | None, now: datetime.datetime
    ) -> None:
        """Replace the record by what the store holds now."""
        record = None
        if item is not None:
            record = decode_record(item.value, item.position.era)
            self._record_era(item.position.era)
        if self.bound_since is not None and record is None:
            self.bound_since, self.is_first_start = None, False
        if record is not None and self.bound_since is None:
            self.bound_since = now
        self.stored = StoredRecord(record, item.position) if item else None

    def _record_era(self, era: int) -> None:
        """Forget what held in another era: the store may have lost it."""
        if 0 < self.era != era:
            self.bound_since, self.is_first_start = None, False
        self.era = era

    def may_begin(self, instance: inventory.Instance) -> bool:
        """Whether a stream that may be resumed may begin at an upstream."""
        if self.stored is None or self.stored.record is None:
            return True
        versions = self.stored.record.versions.get(instance.service, ())
        return instance.software in versions

    def plan(
        self, observed: Observation, lease: int, now: datetime.datetime
    ) -> store_api.Write | None:
        """Return how the record should change, or None if it need not.

        Args:
            observed: what this node knows, no older than the record.
            lease: lease for a new record; 0 to create none.
            now: the time.
        """
        if observed.has_older_nodes:
            self.is_first_start = False
            if self.bound_since is not None:
                self.bound_since = now
        current = self.stored.record if self.stored else None
        versions: dict[str, set[str]] = {}
        if current is None:
            if not lease or not observed.are_nodes_able:
                return None
        else:
            lease = current.lease
            for service, names in current.versions.items():
                versions[service] = set(names)
                if observed.is_gapless:
                    versions[service] &= set(observed.versions.get(service, ()))
        for service, recent in observed.versions.items():
            versions.setdefault(service, set()).update(recent)
        planned = VersionRecord(
            lease,
            _sort(versions),
            self._is_complete(observed, now),
            max(self.era, store_api.FIRST_ERA),
        )
        return self._write(planned) if planned != current else None

    def plan_additions(
        self, instances: Iterable[inventory.Instance]
    ) -> store_api.Write | None:
        """Return the change by which new versions may be used, or None."""
        current = self.stored.record if self.stored else None
        missing = [entry for entry in instances if not self.may_begin(entry)]
        if current is None or not missing:
            return None
        versions = {
            service: set(names) for service, names in current.versions.items()
        }
        for entry in missing:
            versions.setdefault(entry.service, set()).add(entry.software)
        return self._write(
            dataclasses.replace(current, versions=_sort(versions))
        )

    def _is_complete(
        self, observed: Observation, now: datetime.datetime
    ) -> bool:
        """Whether all streams of other versions have ended, and none begins.

        A node that has not told yet what it can do begins none at once.
        """
        current = self.stored.record if self.stored else None
        if current is None or self.bound_since is None:
            return False
        if current.is_complete:
            return not observed.has_older_nodes
        is_settled = now - self.bound_since >= SETTLING_PERIOD
        return observed.are_nodes_able and (is_settled or self.is_first_start)

    def _write(self, record: VersionRecord) -> store_api.Write:
        position = self.stored.position if self.stored else None
        return store_api.Write(
            expected=((RECORD_KEY, position),),
            puts=(
                store_api.Put(RECORD_KEY, encode_record(record), record.lease),
            ),
        )


def _sort(versions: Mapping[str, Iterable[str]]) -> dict[str, tuple[str, ...]]:
    """Return versions in an order in which equal ones compare as equal."""
    return {
        service: tuple(sorted(names))
        for service, names in sorted(versions.items())
        if names
    }
