"""Tests that nodes keep the record of versions in the store up to date."""

import asyncio
import datetime
import random

import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import inventory as inventory_lib
from cicadahook.core import leaving_upstreams
from cicadahook.core import roster as roster_lib
from cicadahook.core import status_schedule
from cicadahook.core import store_api
from cicadahook.core import store_eras
from cicadahook.core import stream_origins
from cicadahook.core import version_records
from cicadahook.net import stream_resumption
from cicadahook.net import version_recorder
import store_positions

SECOND = datetime.timedelta(seconds=1)


class StoreStandin:
    """A store with one key, whose changes are seen when a test says so.

    Attributes:
        item: the record; None while there is none.
        calls: the names of the calls.
        is_down: whether it fails all calls.
        is_silent: whether it answers no call.
        leases: the leases that have not ended.
    """

    def __init__(self) -> None:
        self.item: store_api.Item | None = None
        self.calls: list[str] = []
        self.is_down = False
        self.is_silent = False
        self.leases = {5}

    async def _call(self, name: str) -> None:
        self.calls.append(name)
        if self.is_silent:
            await asyncio.sleep(60)
        if self.is_down:
            raise errors.KeyValueUnavailableError("down")

    async def list_items(self, prefix: str) -> store_api.Listing:
        """Return the record."""
        assert prefix == version_records.RECORD_KEY
        await self._call("list")
        items = (self.item,) if self.item else ()
        return store_api.Listing(items, store_positions.at(99))

    async def write(self, change: store_api.Write) -> store_api.Position:
        """Replace the record, unless it has changed."""
        await self._call("write")
        ((key, expected),) = change.expected
        if change.puts[0].lease not in self.leases:
            raise store_api.LeaseEndedError("ended")
        if expected != (self.item.position if self.item else None):
            raise errors.KeyValueConflictError("changed")
        self.item = store_api.Item(key, change.puts[0].value, self.advance())
        return self.item.position

    def advance(self) -> store_api.Position:
        """Return the position of the next change of the record."""
        return store_positions.at(
            self.item.position.revision + 1 if self.item else 1
        )

    async def grant_lease(self, length: datetime.timedelta) -> int:
        """Return a lease."""
        assert length == version_records.LEASE_TTL
        await self._call("grant")
        lease = max(self.leases, default=5) + 1
        self.leases.add(lease)
        return lease

    async def renew_lease(self, lease: int) -> None:
        """Renew the lease."""
        await self._call("renew")
        if lease not in self.leases:
            raise store_api.LeaseEndedError("ended")

    def put(self, versions: dict[str, tuple[str, ...]]) -> None:
        """Write a complete record as another node."""
        value = version_records.encode_record(
            version_records.VersionRecord(5, versions, True)
        )
        self.item = store_api.Item(
            version_records.RECORD_KEY, value, self.advance()
        )


class RecorderSetup:
    """The recorder of one node, with a store and upstreams.

    Attributes:
        store: the store.
        clock: the time.
        is_holder: whether the node is the holder of orders.
        is_current: whether the node's watch is answered.
        revision: revision that the node's picture has reached; the store is at
            99.
        origins: versions that were registered.
        recorder: the recorder.
    """

    def __init__(self, clock: clock_lib.ManualClock) -> None:
        self.store = StoreStandin()
        self.clock = clock
        self.is_holder = True
        self.is_current = True
        self.revision = 99
        self.origins = stream_origins.StreamOrigins(is_first_start=True)
        self.roster = roster_lib.Roster(
            roster_lib.NodeRecord("n1", "z", "r", "h:1", "h:2", 1)
        )
        self.inventory = inventory_lib.Inventory(
            leaving_upstreams.LeavingUpstreams()
        )
        self.recorder = version_recorder.VersionRecorder(
            self.store,  # type: ignore[arg-type]
            version_recorder.RecorderInputs(
                self.origins,
                self.inventory,
                self.roster,
                lambda: self.is_holder,
                lambda: self.is_current,
                lambda: store_positions.at(self.revision),
            ),
            clock,
        )

    def register(self, software: str) -> None:
        """Register an upstream that runs a version."""
        self.inventory.instances[software] = inventory_lib.Instance(
            software, "s", f"{software}:1", "z", 4, software=software
        )

    def hear(self, number: int, *capabilities: str) -> None:
        """Receive a status of another node."""
        record = roster_lib.NodeRecord("n2", "z", "r", "h:3", "h:4", 1)
        self.roster.record_status(
            roster_lib.NodeStatus(
                record,
                number,
                True,
                False,
                False,
                0,
                0,
                capabilities=capabilities,
            ),
            self.clock.now(),
        )

    def watch(self) -> None:
        """See the record as it is in the store."""
        items = (self.store.item,) if self.store.item else ()
        self.recorder.apply_listing(
            store_api.Listing(items, store_positions.at(99)),
            is_after_outage=False,
        )

    async def run(self, seconds: float) -> None:
        """Let the recorder work, by the manual clock."""
        task = asyncio.create_task(self.recorder.run())
        for _ in range(int(seconds * 4)):
            await asyncio.sleep(0.003)
            self.clock.advance(SECOND / 4)
        await asyncio.sleep(0.003)
        task.cancel()

    def read(self) -> version_records.VersionRecord | None:
        """Return the record in the store."""
        item = self.store.item
        return (
            version_records.decode_record(item.value, item.position.era)
            if item
            else None
        )


@pytest.fixture(name="testbed")
def create_testbed(
    clock: clock_lib.ManualClock, monkeypatch: pytest.MonkeyPatch
) -> RecorderSetup:
    """Return a recorder that works in quick succession."""
    testbed = RecorderSetup(clock)
    millisecond = datetime.timedelta(milliseconds=1)
    monkeypatch.setattr(version_recorder, "PERIOD", millisecond)
    monkeypatch.setattr(version_recorder, "READ_DELAY", millisecond)
    testbed.register("v1")
    return testbed


async def test_the_holder_writes_and_completes_the_record(
    testbed: RecorderSetup,
) -> None:
    await testbed.run(1)
    testbed.watch()
    await testbed.run(2)
    assert testbed.read() == version_records.VersionRecord(
        6, {"s": ("v1",)}, True
    )
    testbed.watch()
    calls = len(testbed.store.calls)
    await testbed.run(4)
    assert len(testbed.store.calls) == calls


async def test_origins_are_written_under_no_lease_of_an_earlier_era(
    testbed: RecorderSetup,
) -> None:
    """Guards against keys that end with a lease of another node."""

    async def ask(question: stream_resumption.OriginRequest) -> str | None:
        del question
        return None

    resumption = stream_resumption.StreamResumption(
        testbed.origins,
        ask,
        testbed.recorder,
        testbed.clock,
        generator=random.Random(1),
        node="n1",
    )
    for recorder in resumption.recorders.values():
        recorder.lease = 5
    resumption.apply_era(store_eras.EraChange(2, 1, store_eras.STORE))
    assert not any(each.lease for each in resumption.recorders.values())


@pytest.mark.parametrize("fault", ["not_holder", "not_current", "older_node"])
async def test_others_write_no_record(
    testbed: RecorderSetup, fault: str
) -> None:
    testbed.is_holder = fault != "not_holder"
    testbed.is_current = fault != "not_current"
    for number in range(5):
        if fault == "older_node":
            testbed.hear(number + 1, status_schedule.COMPACT_STATUS)
        await testbed.run(1)
    assert testbed.read() is None


async def test_the_lease_is_renewed_and_a_lost_record_written_anew(
    testbed: RecorderSetup,
) -> None:
    testbed.store.put({"s": ("v1",)})
    testbed.watch()
    await testbed.run(30)
    renewals = testbed.store.calls.count("renew")
    assert 3 <= renewals <= 5
    testbed.store.leases.clear()
    testbed.store.item = None
    testbed.watch()
    await testbed.run(2)
    record = testbed.read()
    assert record is not None and not record.is_complete
    # The next one ends before the record is written with it.
    testbed.watch()
    await testbed.run(1)
    testbed.store.leases.clear()
    testbed.store.item = None
    testbed.watch()
    testbed.recorder.lease = record.lease
    await testbed.run(4)
    assert testbed.read() is not None
    # None before the watch may have told of the one before: 7 s in all.
    most = 7 * SECOND / version_recorder.WATCH_DELAY + 1
    assert testbed.store.calls.count("write") <= most


async def test_a_node_that_is_not_the_holder_adds_a_version_late(
    testbed: RecorderSetup,
) -> None:
    testbed.is_holder = False
    testbed.store.put({"s": ("v1",)})
    testbed.watch()
    testbed.register("v2")
    await testbed.run(0.5)
    assert not testbed.store.calls
    await testbed.run(2)
    record = testbed.read()
    assert record is not None and record.versions == {"s": ("v1", "v2")}
    assert record.is_complete


async def test_a_holder_that_sees_its_changes_late_does_not_repeat_them(
    testbed: RecorderSetup,
) -> None:
    testbed.store.put({"s": ("v0",)})
    testbed.watch()
    testbed.store.put({"s": ("v0",)})
    await testbed.run(6)
    # Each write meets a conflict until the watch tells of the newer record.
    assert testbed.store.calls.count("write") <= 6


async def test_a_store_that_fails_all_calls_is_asked_again(
    testbed: RecorderSetup,
) -> None:
    testbed.store.is_down = True
    await testbed.run(3)
    assert testbed.read() is None
    testbed.store.is_down = False
    await testbed.run(3)
    assert testbed.read() is not None


async def test_the_only_version_is_read_after_the_question(
    testbed: RecorderSetup,
) -> None:
    testbed.store.put({"s": ("v1",)})
    testbed.watch()
    assert await testbed.recorder.find_only("s") == "v1"
    # Another node has added a version; this one has not seen it yet.
    testbed.store.put({"s": ("v1", "v2")})
    assert await testbed.recorder.find_only("s") is None


async def test_resumptions_at_about_the_same_time_share_one_read(
    testbed: RecorderSetup,
) -> None:
    testbed.store.put({"s": ("v1",)})
    testbed.watch()
    found = await asyncio.gather(
        *(testbed.recorder.find_only("s") for _ in range(50))
    )
    assert set(found) == {"v1"}
    assert testbed.store.calls == ["list"]


@pytest.mark.parametrize(
    "fault",
    ["no_record", "two", "registered", "older", "down", "silent", "vanished"],
)
async def test_no_version_is_named_where_none_is_certain(
    testbed: RecorderSetup, fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(version_recorder, "READ_TIMEOUT", 0.05 * SECOND)
    if fault != "no_record":
        testbed.store.put({"s": ("v1", "v2") if fault == "two" else ("v1",)})
    testbed.watch()
    if fault == "registered":
        testbed.register("v2")
    if fault == "older":
        testbed.hear(1, status_schedule.COMPACT_STATUS)
    if fault == "vanished":
        testbed.store.item = None
    testbed.store.is_down = fault == "down"
    testbed.store.is_silent = fault == "silent"
    assert await testbed.recorder.find_only("s") is None
    if fault in ("no_record", "two", "older"):
        assert not testbed.store.calls


async def test_a_caller_that_leaves_does_not_end_the_read_of_others(
    testbed: RecorderSetup,
) -> None:
    testbed.store.put({"s": ("v1",)})
    testbed.watch()
    leaving = asyncio.create_task(testbed.recorder.find_only("s"))
    staying = asyncio.create_task(testbed.recorder.find_only("s"))
    await asyncio.sleep(0)
    leaving.cancel()
    assert await staying == "v1"


def register_for_long(testbed: RecorderSetup, software: str) -> None:
    """Register an upstream whose version was the only one for a while."""
    testbed.register(software)
    for _ in range(2):
        testbed.origins.observe(
            testbed.inventory, testbed.clock.now(), is_current=True
        )
        testbed.clock.advance(stream_origins.RETENTION)


async def test_a_node_out_of_step_does_not_name_the_version_that_it_knows(
    testbed: RecorderSetup, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(version_recorder, "CATCH_UP_TIMEOUT", 0.05 * SECOND)
    register_for_long(testbed, "v1")
    testbed.revision = 98
    assert await testbed.recorder.find_only("s") is None
    testbed.revision = 99
    assert await testbed.recorder.find_only("s") == "v1"


async def test_a_version_that_came_while_the_node_stood_still_is_counted(
    testbed: RecorderSetup,
) -> None:
    register_for_long(testbed, "v1")
    testbed.revision = 98
    waiting = asyncio.create_task(testbed.recorder.find_only("s"))
    await asyncio.sleep(0.1)
    # It has left again when the node looks next.
    testbed.inventory.put(
        inventory_lib.Instance("n", "s", "n:1", "z", 4, software="v2")
    )
    testbed.inventory.remove("n")
    testbed.revision = 99
    assert await waiting is None


async def test_after_a_gap_in_the_registrations_no_version_is_named(
    testbed: RecorderSetup,
) -> None:
    register_for_long(testbed, "v1")
    testbed.inventory.apply_snapshot(
        testbed.inventory.instances.values(),
        store_positions.at(99),
        testbed.clock.now(),
        is_after_outage=False,
    )
    assert await testbed.recorder.find_only("s") is None


async def test_other_nodes_are_told_no_version_that_is_only_guessed(
    testbed: RecorderSetup,
) -> None:
    register_for_long(testbed, "v1")
    assert testbed.origins.find_only("s", testbed.clock.now()) == "v1"
    assert testbed.origins.find("s", "unknown") is None
