"""The table on several nodes under races, lost replies, outages and restores.

No accepted edit may be lost or applied in part, and no node may go back to an
older table.
"""

from collections.abc import Coroutine, Generator
import dataclasses
import datetime
import random
from typing import Any, Final, cast
import urllib.parse

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import table as table_lib
from cicadahook.core import table_edits
from cicadahook.core import table_pages
from cicadahook.net import keyvalue
from cicadahook.net import table_store

NODE_COUNT: Final = 3
ROW_NAMES: Final = ("a", "b", "c")
STEP_LIMIT: Final = 5000


class ContextSwitch:
    """Suspends a task, so that the test decides which task continues."""

    def __await__(self) -> Generator[None, None, None]:
        yield


@dataclasses.dataclass
class InMemoryKeyValueService:
    """A key-value service in memory.

    Attributes:
        items: value and revision by key.
        revision: revision of the last write.
        fault: fault of all calls: none, down or lost_reply.
    """

    items: dict[str, tuple[str, int]] = dataclasses.field(default_factory=dict)
    revision: int = 0
    fault: str = "none"

    def answer(
        self, method: str, key: str, body: dict[str, Any] | None
    ) -> tuple[int, dict[str, Any]]:
        """Return the status and body of the answer to a call."""
        value, revision = self.items.get(key, ("", 0))
        if method == "GET":
            status = 200 if revision else 404
            return status, {"value": value, "revision": revision}
        assert body is not None
        if body["expected_revision"] != revision:
            return 409, {}
        self.revision += 1
        self.items[key] = (body["value"], self.revision)
        return 200, {"revision": self.revision}


class FakeClient(keyvalue.KeyValueClient):
    """Client of a service in memory that suspends its task at each call."""

    service: InMemoryKeyValueService
    clock: clock_lib.ManualClock

    async def sleep(self, pause: Any) -> None:
        """Advance the clock instead of sleeping."""
        self.clock.advance(pause)
        await ContextSwitch()

    async def _send(
        self, method: str, path: str, body: Any, timeout: Any
    ) -> tuple[int, dict[str, Any]]:
        await ContextSwitch()
        if self.service.fault == "down":
            raise errors.KeyValueUnavailableError("down")
        key = urllib.parse.unquote(path.removeprefix("/v1/keys/"))
        answer = self.service.answer(method, key, body)
        if self.service.fault == "lost_reply" and method == "PUT":
            raise errors.KeyValueUnavailableError("reply lost")
        return answer


def create_store(
    service: InMemoryKeyValueService, clock: clock_lib.ManualClock, name: str
) -> table_store.TableStore:
    """Return the table store of a node that has just started."""
    clock.advance(datetime.timedelta(milliseconds=1))
    gate = keyvalue.CallGate(clock, random.Random(name))
    client = FakeClient("service", cast(Any, None), gate=gate)
    client.service = service
    client.clock = clock
    return table_store.TableStore(client, name, clock)


def run_to_end(task: Coroutine[Any, Any, Any]) -> Any:
    """Run `task` until it ends and return its result."""
    for _ in range(STEP_LIMIT):
        try:
            task.send(None)
        except StopIteration as stop:
            return stop.value
    raise AssertionError("task does not end")


def create_row(name: str, value: int) -> table_lib.Row:
    """Return a row that holds `value`."""
    return table_lib.Row(
        name,
        table_lib.RowKind.MODEL,
        memory_bytes=1,
        rate_per_second=float(value),
    )


def read_value(table: table_lib.Table, name: str) -> int:
    """Return the value of a row; 0 if there is none."""
    row = table.find(name)
    return int(row.rate_per_second) if row else 0


@dataclasses.dataclass
class PendingEdit:
    """An edit in progress.

    Attributes:
        value: value that the edit writes to its rows.
        base_values: values on which the edit is based, by row name.
        node: index of the node that runs the edit.
        task: coroutine of the edit.
    """

    value: int
    base_values: dict[str, int]
    node: int
    task: Coroutine[Any, Any, Any]


class TableStateMachine(stateful.RuleBasedStateMachine):
    """Edits on nodes over a failing service, checked against accepted ones."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = clock_lib.ManualClock()
        self.service = InMemoryKeyValueService()
        self.stores = [self.start(index) for index in range(NODE_COUNT)]
        self.seen_values: list[dict[str, list[int]]] = [{} for _ in self.stores]
        self.generations = [0] * NODE_COUNT
        self.value = 0
        self.pending_edits: list[PendingEdit] = []
        self.follow_tasks: list[tuple[int, Coroutine[Any, Any, Any]]] = []
        self.accepted: dict[int, dict[str, int]] = {}
        self.unknown: set[int] = set()
        self.base_values: dict[int, dict[str, int]] = {}
        self.refused: set[int] = set()
        self.backup: dict[str, tuple[str, int]] = {}

    def start(self, index: int) -> table_store.TableStore:
        """Return the store of a restarted node, connected to its peers."""
        store = create_store(self.service, self.clock, f"vm{index}")

        async def fetch(peer: str, path: str) -> str:
            await ContextSwitch()
            other = self.stores[int(peer)]
            if path == "/peer/head":
                return other.dump_head()
            content = other.find_page(path.removeprefix("/peer/pages/"))
            if content is None:
                raise table_store.PeerError("page is not in force")
            return content

        store.fetch_from_peer = fetch
        store.peers = tuple(
            str(other) for other in range(NODE_COUNT) if other != index
        )
        return store

    @stateful.rule(
        node=st.integers(0, NODE_COUNT - 1),
        names=st.sets(st.sampled_from(ROW_NAMES), min_size=1, max_size=2),
    )
    def begin_edit(self, node: int, names: set[str]) -> None:
        """Start an edit that is based on the node's table in force."""
        store = self.stores[node]
        self.clock.advance(datetime.timedelta(seconds=1))
        self.value += 1
        rows = [create_row(name, self.value) for name in sorted(names)]
        table_edit = table_edits.create_edit(store.sync.table, rows)
        base_values = {
            name: read_value(store.sync.table, name) for name in names
        }
        self.base_values[self.value] = base_values
        task = store.edit(table_edit, f"operator{node}")
        self.pending_edits.append(
            PendingEdit(self.value, base_values, node, task)
        )

    @stateful.precondition(lambda self: self.pending_edits)
    @stateful.rule(index=st.integers(0, 9), steps=st.integers(1, 12))
    def continue_edit(self, index: int, steps: int) -> None:
        """Run one edit for some calls."""
        for _ in range(steps):
            if self.pending_edits:
                self.step(self.pending_edits[index % len(self.pending_edits)])

    def step(self, pending: PendingEdit) -> None:
        """Run one edit for one call, and record its outcome if it ends."""
        try:
            pending.task.send(None)
            return
        except StopIteration:
            self.accepted[pending.value] = pending.base_values
        except errors.EditConflictError:
            self.refused.add(pending.value)
        except (errors.KeyValueNotSentError, errors.KeyValueConflictError):
            self.refused.add(pending.value)
        except errors.KeyValueUnavailableError:
            self.unknown.add(pending.value)
        self.pending_edits.remove(pending)

    @stateful.rule(node=st.integers(0, NODE_COUNT - 1))
    def begin_follow(self, node: int) -> None:
        """Start a task in which a node follows the stored head or its peers."""
        self.follow_tasks.append((node, self.follow(self.stores[node])))

    async def follow(self, store: table_store.TableStore) -> None:
        """Do what a node does when its watch answers or a peer is ahead."""
        store.highest_generation = max(self.generations)
        try:
            if store.highest_generation > store.sync.head.generation:
                await store.catch_up()
            entry = await store.client.get(table_store.HEAD_KEY)
            await store._follow_head(entry)  # pylint: disable=protected-access
        except errors.KeyValueError:
            pass

    @stateful.precondition(lambda self: self.follow_tasks)
    @stateful.rule(index=st.integers(0, 9), steps=st.integers(1, 20))
    def continue_follow(self, index: int, steps: int) -> None:
        """Run one of these tasks for some calls."""
        for _ in range(steps):
            if self.follow_tasks:
                item = self.follow_tasks[index % len(self.follow_tasks)]
                try:
                    item[1].send(None)
                except StopIteration:
                    self.follow_tasks.remove(item)

    @stateful.rule(fault=st.sampled_from(["none"] * 4 + ["down", "lost_reply"]))
    def set_fault(self, fault: str) -> None:
        """Set the fault of the service."""
        self.service.fault = fault

    @stateful.rule()
    def take_backup(self) -> None:
        """Take a backup of the service."""
        self.backup = dict(self.service.items)

    @stateful.precondition(
        lambda self: not self.pending_edits and self.is_in_force_somewhere()
    )
    @stateful.rule()
    def restore_backup(self) -> None:
        """Restore the service from the backup."""
        self.service.items = dict(self.backup)

    @stateful.precondition(lambda self: self.is_stored_everywhere())
    @stateful.rule(node=st.integers(0, NODE_COUNT - 1))
    def restart(self, node: int) -> None:
        """Restart a node; it then has no table in force."""
        self.unknown |= {
            pending.value
            for pending in self.pending_edits
            if pending.node == node
        }
        for pending in [
            pending for pending in self.pending_edits if pending.node == node
        ]:
            self.pending_edits.remove(pending)
            pending.task.close()
        for item in [item for item in self.follow_tasks if item[0] == node]:
            self.follow_tasks.remove(item)
            item[1].close()
        self.stores[node] = self.start(node)
        self.seen_values[node] = {}
        self.generations[node] = 0

    def stored_head(self) -> table_pages.Head:
        """Return the head that is stored in the service."""
        value, _ = self.service.items.get(table_store.HEAD_KEY, ("", 0))
        return table_pages.parse_head(value) if value else table_pages.Head()

    def is_in_force_somewhere(self) -> bool:
        """Whether some node has the stored head in force."""
        head = self.stored_head()
        return any(
            store.sync.head.writer == head.writer for store in self.stores
        )

    def is_stored_everywhere(self) -> bool:
        """Whether the stored head includes the tables in force of all nodes."""
        head = self.stored_head()
        return all(
            head.includes(store.sync.head.writer)
            for store in self.stores
            if store.sync.head.generation
        )

    @stateful.invariant()
    def table_never_reverts(self) -> None:
        """Check generations and values against those observed before."""
        for index, store in enumerate(self.stores):
            table = store.sync.table
            assert table.generation >= self.generations[index]
            self.generations[index] = table.generation
            for name in ROW_NAMES:
                values = self.seen_values[index].setdefault(name, [0])
                value = read_value(table, name)
                if value != values[-1]:
                    assert value not in values, f"{name} reverted to {value}"
                    values.append(value)
                assert value not in self.refused, "a refused edit is in force"

    @stateful.invariant()
    def edits_are_atomic(self) -> None:
        """Check that no table in force holds only a part of an edit."""
        for store in self.stores:
            table = store.sync.table
            for name in ROW_NAMES:
                base_values = self.base_values.get(read_value(table, name), {})
                for other, base in base_values.items():
                    is_unapplied = read_value(table, other) == base
                    assert not is_unapplied, "half of an edit is in force"

    def teardown(self) -> None:
        """End all faults and check that the nodes agree and lost no edit."""
        self.service.fault = "none"
        self.clock.advance(datetime.timedelta(minutes=1))
        while self.pending_edits:
            self.step(self.pending_edits[0])
        for _, task in self.follow_tasks:
            task.close()
        for _ in range(2):
            for store in self.stores:
                run_to_end(self.follow(store))
        self.table_never_reverts()
        heads = {store.sync.head.writer for store in self.stores}
        assert heads == {self.stored_head().writer}
        self.check_accepted(self.stores[0].sync.table)

    def check_accepted(self, table: table_lib.Table) -> None:
        """Assert that no accepted edit was reverted."""
        for name in ROW_NAMES:
            final = read_value(table, name)
            for value, base_values in self.accepted.items():
                is_lost = name in base_values and base_values[name] == final
                assert not is_lost, f"accepted {value} of {name} is lost"


TableStateMachine.TestCase.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
test_table_of_several_nodes = TableStateMachine.TestCase


@pytest.fixture(name="service")
def create_service() -> InMemoryKeyValueService:
    """Return an empty service."""
    return InMemoryKeyValueService()


def test_race_on_one_row_reports_both_values(
    service: InMemoryKeyValueService, clock: clock_lib.ManualClock
) -> None:
    first, second = (create_store(service, clock, name) for name in "xy")
    for store, value in ((first, 1), (second, 2)):
        table_edit = table_edits.create_edit(
            table_lib.Table(), [create_row("a", value)]
        )
        if store is first:
            run_to_end(store.edit(table_edit, "ana"))
            continue
        with pytest.raises(errors.EditConflictError) as caught:
            run_to_end(store.edit(table_edit, "ben"))
    assert '"rate_per_second":1.0' in caught.value.theirs
    assert '"rate_per_second":2.0' in caught.value.yours
    assert second.sync.table == first.sync.table
    assert [version.operator for version in first.history()] == ["ana"]


def test_races_on_different_rows_are_both_accepted(
    service: InMemoryKeyValueService, clock: clock_lib.ManualClock
) -> None:
    stores = [create_store(service, clock, name) for name in "xy"]
    tasks = [
        store.edit(
            table_edits.create_edit(table_lib.Table(), [create_row(name, 1)]),
            "",
        )
        for store, name in zip(stores, "ab")
    ]
    tasks[1].send(None)
    run_to_end(tasks[0])
    assert [row.name for row in run_to_end(tasks[1]).rows] == ["a", "b"]


def test_lost_reply_is_resolved_by_reading(
    service: InMemoryKeyValueService, clock: clock_lib.ManualClock
) -> None:
    store = create_store(service, clock, "x")
    service.fault = "lost_reply"
    task = store.edit(
        table_edits.create_edit(table_lib.Table(), [create_row("a", 1)]),
        "ana",
    )
    assert run_to_end(task).generation == 1
    assert (
        table_pages.parse_head(
            service.items[table_store.HEAD_KEY][0]
        ).generation
        == 1
    )


def test_node_restarted_in_an_outage_fetches_from_a_peer(
    service: InMemoryKeyValueService, clock: clock_lib.ManualClock
) -> None:
    old, new = (create_store(service, clock, name) for name in "xy")
    rows = [create_row("a", 1)]
    run_to_end(
        old.edit(table_edits.create_edit(table_lib.Table(), rows), "ana")
    )
    service.fault = "down"

    async def fetch(peer: str, path: str) -> str:
        assert peer == "old"
        name = path.removeprefix("/peer/pages/")
        return old.find_page(name) or old.dump_head()

    new.peers = ("old",)
    new.fetch_from_peer = fetch
    new.highest_generation = 1
    run_to_end(new.catch_up())
    assert new.sync.table == old.sync.table


def test_restored_backup_with_a_later_edit_is_merged(
    service: InMemoryKeyValueService, clock: clock_lib.ManualClock
) -> None:
    old = create_store(service, clock, "old")

    def edit(store: table_store.TableStore, name: str, value: int) -> None:
        table_edit = table_edits.create_edit(
            store.sync.table, [create_row(name, value)]
        )
        run_to_end(store.edit(table_edit, "ana"))

    edit(old, "a", 1)
    backup = dict(service.items)
    edit(old, "b", 2)
    service.items = backup
    new = create_store(service, clock, "new")
    edit(new, "c", 3)
    head = run_to_end(old.client.get(table_store.HEAD_KEY))
    run_to_end(old._follow_head(head))  # pylint: disable=protected-access
    assert [row.name for row in old.sync.table.rows] == ["a", "b", "c"]
    assert old.sync.table.generation == 3
    fresh = create_store(service, clock, "fresh")
    run_to_end(fresh._read_newest())  # pylint: disable=protected-access
    assert fresh.sync.table == old.sync.table


def test_merge_drops_only_the_row_that_is_not_allowed(
    service: InMemoryKeyValueService, clock: clock_lib.ManualClock
) -> None:
    old = create_store(service, clock, "old")
    adapter = table_lib.Row(
        "d", table_lib.RowKind.ADAPTER, base="a", memory_bytes=1
    )

    def edit(
        store: table_store.TableStore,
        rows: list[table_lib.Row],
        removed: tuple[str, ...] = (),
    ) -> None:
        table_edit = table_edits.create_edit(store.sync.table, rows, removed)
        run_to_end(store.edit(table_edit, "ana"))

    edit(old, [create_row("a", 1), create_row("b", 1)])
    backup = dict(service.items)
    edit(old, [], ("a",))
    service.items = backup
    new = create_store(service, clock, "new")
    run_to_end(new._read_newest())  # pylint: disable=protected-access
    edit(new, [adapter, create_row("b", 2)])
    run_to_end(old._read_newest())  # pylint: disable=protected-access
    assert [row.name for row in old.sync.table.rows] == ["b"]
    assert read_value(old.sync.table, "b") == 2


def test_lost_reply_is_resolved_though_the_row_was_changed_again(
    service: InMemoryKeyValueService, clock: clock_lib.ManualClock
) -> None:
    stores = [create_store(service, clock, name) for name in "xy"]

    def start(
        store: table_store.TableStore, value: int
    ) -> Coroutine[Any, Any, Any]:
        rows = [create_row("a", value)]
        return store.edit(
            table_edits.create_edit(store.sync.table, rows), "ana"
        )

    first = start(stores[0], 1)
    while table_store.HEAD_KEY not in service.items:
        service.fault = "lost_reply"
        first.send(None)
    service.fault = "none"
    run_to_end(stores[1]._read_newest())  # pylint: disable=protected-access
    run_to_end(start(stores[1], 2))
    run_to_end(first)
    run_to_end(stores[0]._read_newest())  # pylint: disable=protected-access
    assert read_value(stores[0].sync.table, "a") == 2


def test_edit_is_not_based_on_a_head_older_than_the_one_in_force(
    service: InMemoryKeyValueService, clock: clock_lib.ManualClock
) -> None:
    slow, quick = (create_store(service, clock, name) for name in "xy")

    def edit(value: int) -> None:
        table_edit = table_edits.create_edit(
            quick.sync.table, [create_row("a", value)]
        )
        run_to_end(quick.edit(table_edit, "ana"))

    edit(1)
    backup = dict(service.items)
    read_task = slow._read_newest()  # pylint: disable=protected-access
    for _ in range(2):
        read_task.send(None)  # It has read the head and now reads the page.
    edit(2)
    slow.sync.contents.update(quick.sync.contents)
    assert slow.sync.put_in_force(quick.sync.head)
    service.items = backup
    run_to_end(read_task)
    assert (
        table_pages.parse_head(
            service.items[table_store.HEAD_KEY][0]
        ).generation
        == 2
    )
    assert read_value(slow.sync.table, "a") == 2


def test_other_branch_of_a_peer_is_not_applied(
    service: InMemoryKeyValueService, clock: clock_lib.ManualClock
) -> None:
    ours, theirs = create_store(service, clock, "x"), create_store(
        InMemoryKeyValueService(), clock, "y"
    )
    for store, names in ((ours, "a"), (theirs, "bc")):
        for name in names:
            table_edit = table_edits.create_edit(
                store.sync.table, [create_row(name, 1)]
            )
            run_to_end(store.edit(table_edit, "ana"))

    async def fetch(peer: str, path: str) -> str:
        assert peer == "y"
        name = path.removeprefix("/peer/pages/")
        return theirs.find_page(name) or theirs.dump_head()

    ours.peers = ("y",)
    ours.fetch_from_peer = fetch
    ours.highest_generation = 2
    run_to_end(ours.catch_up())
    assert [row.name for row in ours.sync.table.rows] == ["a"]


def test_older_head_is_never_put_in_force(
    service: InMemoryKeyValueService, clock: clock_lib.ManualClock
) -> None:
    store = create_store(service, clock, "x")
    heads = []
    for value in (1, 2):
        table_edit = table_edits.create_edit(
            store.sync.table, [create_row("a", value)]
        )
        run_to_end(store.edit(table_edit, "ana"))
        heads.append(store.sync.head)
    assert not store.sync.put_in_force(heads[0])
    assert not store.sync.put_in_force(heads[1])
    assert store.sync.table.generation == 2
