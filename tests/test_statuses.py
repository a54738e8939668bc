"""Tests of the statuses between nodes: their forms, recipients and cost."""

import asyncio
import dataclasses
import datetime
import time
from unittest import mock

import msgspec
import pytest

from cicadahook.core import balancer
from cicadahook.core import clock as clock_lib
from cicadahook.core import grants
from cicadahook.core import model_paces
from cicadahook.core import order_holder
from cicadahook.core import roster as roster_lib
from cicadahook.core import status_schedule
from cicadahook.net import codec
from cicadahook.net import status_codec
from cicadahook.net import status_reporter
import store_positions

NOW = clock_lib.EPOCH
OLDER_CODEC = codec.Codec(roster_lib.NodeStatus, "peer")
# The cost of a status must not be what binds a fleet: one tenth at the most.
COST_SHARE = 0.1


def create_record(name: str, incarnation: int = 1) -> roster_lib.NodeRecord:
    """Return the record of a node."""
    return roster_lib.NodeRecord(
        name, "z", "r", "10.0.0.1:80", "10.0.0.1:81", incarnation
    )


def create_status(
    name: str = "n1", count: int = 20, number: int = 1
) -> roster_lib.NodeStatus:
    """Return a status with `count` loads, demands and paces."""
    return roster_lib.NodeStatus(
        node=create_record(name),
        number=number,
        is_ready=True,
        is_holder=False,
        has_left=False,
        fence=0,
        newest_term=7,
        grant=grants.Grant("n2", 7, 12),
        loads=tuple(
            balancer.InstanceLoad(f"i-{each:08x}", each, 1.5, (f"m{each}/a1",))
            for each in range(count)
        ),
        wanted=tuple(
            roster_lib.ModelDemand("chat", f"m{each}", 0.25)
            for each in range(count)
        ),
        paces=tuple(
            model_paces.PaceEstimate(f"m{each}", 1.1, 2.0)
            for each in range(count)
        ),
        capabilities=status_schedule.CAPABILITIES,
        era=2,
    )


def create_roster(
    size: int, *, own: str = "n000", capabilities: tuple[str, ...] = ()
) -> roster_lib.Roster:
    """Return a roster of a fleet whose nodes have all been heard just now."""
    roster = roster_lib.Roster(create_record(own))
    names = [f"n{number:03}" for number in range(size)]
    roster.replace_registrations(create_record(name) for name in names)
    for name in names:
        status = dataclasses.replace(
            create_status(name, 0), capabilities=capabilities
        )
        roster.record_status(status, NOW)
    return roster


def test_a_field_that_one_form_cannot_hold_ends_no_status() -> None:
    """Guards against one odd number that keeps a node from all others."""
    endpoint = status_reporter.StatusEndpoint(lambda _: None)
    endpoint.transport = transport = mock.create_autospec(
        asyncio.DatagramTransport
    )
    status = dataclasses.replace(create_status(), grant=grants.Grant("n", -1))
    endpoint.send(status, [create_record("n2")], is_compact=False)
    transport.sendto.assert_not_called()
    endpoint.send(status, [create_record("n3")], is_compact=True)
    transport.sendto.assert_called_once()


@pytest.mark.parametrize("name", ["number", "fence", "newest_term", "era"])
def test_a_status_with_a_negative_number_is_dropped(name: str) -> None:
    fields = msgspec.to_builtins(create_status()) | {name: -1}
    data = status_codec.pack(msgspec.msgpack.encode(fields))
    with pytest.raises(codec.DecodeError):
        status_codec.decode(data)


@pytest.mark.parametrize("is_compact", [True, False])
def test_a_status_arrives_as_it_was_sent(is_compact: bool) -> None:
    status = create_status()
    data = status_codec.encode(status, is_compact=is_compact)
    assert status_codec.decode(data) == status


def test_older_builds_drop_the_compact_form() -> None:
    for count in (0, 1, 60):
        data = status_codec.encode(create_status(count=count), is_compact=True)
        with pytest.raises(codec.DecodeError):
            OLDER_CODEC.decode(data)


def test_older_builds_read_the_other_form() -> None:
    status = create_status()
    data = status_codec.encode(status, is_compact=False)
    assert OLDER_CODEC.decode(data).loads == status.loads


def test_a_message_of_an_older_build_tells_of_no_capability() -> None:
    # Such a build's fields end before those of the capabilities.
    older = dataclasses.replace(create_status(), capabilities=())
    data = status_codec.encode(older, is_compact=False)
    assert status_codec.decode(data).capabilities == ()


def test_fields_of_a_newer_build_are_ignored() -> None:
    status = create_status()
    fields = msgspec.to_builtins(status) | {"added_later": [1, 2]}
    data = status_codec.pack(msgspec.msgpack.encode(fields))
    assert status_codec.decode(data) == status


def test_fields_that_are_missing_keep_their_defaults() -> None:
    fields = msgspec.to_builtins(create_status())
    for name in ("loads", "wanted", "capabilities", "wants_grants"):
        del fields[name]
    del fields["lacks_store"], fields["era"]
    decoded = status_codec.decode(
        status_codec.pack(msgspec.msgpack.encode(fields))
    )
    assert (decoded.loads, decoded.capabilities) == ((), ())
    assert not decoded.wants_grants
    assert not decoded.lacks_store
    assert not decoded.era, "not told"


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"\x00",
        b"\xff" * 40,
        status_codec.encode(create_status(), is_compact=True)[:-9],
        status_codec.pack(msgspec.msgpack.encode({"node": 3})),
        status_codec.pack(msgspec.msgpack.encode([])),
        status_codec.pack(b"\xc1"),
        status_codec.pack(bytes(8 * status_codec.MAX_DECOMPRESSED_BYTES)),
    ],
)
def test_malformed_messages_are_rejected(content: bytes) -> None:
    with pytest.raises(codec.DecodeError):
        status_codec.decode(content)


def test_a_compact_status_costs_a_tenth_of_the_other_form() -> None:
    status = create_status(count=60)
    seconds = {}
    for is_compact in (True, False):
        began = time.process_time()
        for _ in range(40):
            status_codec.decode(
                status_codec.encode(status, is_compact=is_compact)
            )
        seconds[is_compact] = time.process_time() - began
    assert seconds[True] < COST_SHARE * seconds[False]


def test_a_compact_status_is_no_longer_than_the_other_form() -> None:
    for count in (5, 20, 60):
        status = create_status(count=count)
        compact = status_codec.encode(status, is_compact=True)
        assert len(compact) <= len(OLDER_CODEC.encode(status))


def test_the_form_follows_the_running_process() -> None:
    roster = create_roster(2, capabilities=status_schedule.CAPABILITIES)
    compact = status_schedule.COMPACT_STATUS
    assert roster.supports(create_record("n001"), compact)
    restarted = create_record("n001", incarnation=2)
    assert not roster.supports(restarted, compact)
    assert not roster.supports(create_record("unknown"), compact)
    left = dataclasses.replace(create_status("n001", number=9), has_left=True)
    roster.record_status(left, NOW)
    assert not roster.supports(create_record("n001"), compact)


def count_messages(size: int) -> float:
    """Return the messages that a node at rest sends in a second."""
    roster = create_roster(size, capabilities=status_schedule.CAPABILITIES)
    holder = dataclasses.replace(
        create_status("n001", 0, number=2), is_holder=True, fence=7
    )
    roster.record_status(holder, NOW)
    schedule = status_schedule.StatusSchedule(roster)
    total, rounds, first = 0, 60, 10
    for number in range(first + rounds):
        now = NOW + number * roster_lib.STATUS_PERIOD / 100
        status = create_status("n000", 0, number=number)
        # Rest begins once the news of the start has been told.
        schedule.urgent_until = None if number else schedule.urgent_until
        recipients = schedule.choose(status, now)
        if number >= first:
            total += len(recipients.full) + len(recipients.brief)
    return total / (rounds * roster_lib.STATUS_PERIOD.total_seconds())


def test_the_messages_of_a_node_do_not_rise_with_the_fleet() -> None:
    rates = {size: count_messages(size) for size in (16, 64, 256)}
    limit = (roster_lib.STATUS_FANOUT + 1) / (
        roster_lib.STATUS_PERIOD.total_seconds()
    )
    assert max(rates.values()) <= limit


def describe_holder(**fields: object) -> roster_lib.Roster:
    """Return a roster of 40 nodes with `n039` as the holder of orders."""
    roster = create_roster(40)
    status = dataclasses.replace(
        create_status("n039", 0, number=2), is_holder=True, fence=7
    )
    roster.record_status(
        dataclasses.replace(status, **fields), NOW  # type: ignore[arg-type]
    )
    return roster


@pytest.mark.parametrize(
    ("capabilities", "wants_grants", "is_granted"),
    [
        (status_schedule.CAPABILITIES, False, False),
        (status_schedule.CAPABILITIES, True, True),
        ((), False, True),  # An older build does not tell when it needs them.
    ],
)
def test_a_holder_is_granted_each_period_if_it_needs_that(
    capabilities: tuple[str, ...], wants_grants: bool, is_granted: bool
) -> None:
    roster = describe_holder(
        capabilities=capabilities, wants_grants=wants_grants
    )
    schedule = status_schedule.StatusSchedule(roster)
    first = create_status("n000", 0, number=1)
    schedule.choose(first, NOW)
    schedule.urgent_until = None
    got = 0
    for number in range(2, 7):
        recipients = schedule.choose(
            create_status("n000", 0, number=number), NOW
        )
        names = {each.name for each in (*recipients.full, *recipients.brief)}
        got += "n039" in names
    assert got == 5 if is_granted else got <= 1


def test_a_holder_that_cannot_send_is_granted_if_it_wants_that() -> None:
    roster = describe_holder(
        capabilities=status_schedule.CAPABILITIES,
        wants_grants=True,
        is_holder=False,
    )
    schedule = status_schedule.StatusSchedule(roster)
    schedule.choose(create_status("n000", 0, number=1), NOW)
    schedule.urgent_until = None
    for number in range(2, 7):
        recipients = schedule.choose(
            create_status("n000", 0, number=number), NOW
        )
        assert "n039" in {
            each.name for each in (*recipients.full, *recipients.brief)
        }


@pytest.mark.parametrize(
    "change",
    [
        {"wants_grants": True},
        {"is_ready": False},
        {"has_left": True},
        {"withdrawn": (roster_lib.WithdrawnCopy("i-1", "m1"),)},
        {"is_holder": True, "fence": 9},
        {"lacks_store": True},
    ],
)
def test_all_nodes_are_told_at_once_of(change: dict[str, object]) -> None:
    schedule = status_schedule.StatusSchedule(create_roster(40))
    schedule.choose(create_status("n000", 0, number=1), NOW)
    later = NOW + datetime.timedelta(seconds=5)
    schedule.roster = create_roster(40)
    for name, (_, status) in list(schedule.roster.statuses.items()):
        schedule.roster.statuses[name] = (later, status)
    status = dataclasses.replace(
        create_status("n000", 0, number=2), **change  # type: ignore[arg-type]
    )
    recipients = schedule.choose(status, later)
    assert len(recipients.full) + len(recipients.brief) == 39


def test_a_holder_wants_grants_before_its_lease_ends() -> None:
    holder = order_holder.HolderStateMachine(
        "n1",
        "1",
        datetime.timedelta(seconds=3),
        datetime.timedelta(seconds=3),
    )
    holder.observe_keys(None, None, None, store_positions.at(1), NOW)
    holder.record_renewal(NOW)
    assert not holder.wants_grants(NOW)
    write = holder.propose(1, NOW)
    assert write is not None, "there is no holder"
    holder.record_won_term(write, store_positions.at(5), NOW)
    assert not holder.wants_grants(NOW)
    late = NOW + datetime.timedelta(seconds=1.2)
    assert holder.wants_grants(late)
    # Several statuses pass both ways before the lease is no longer valid.
    assert holder.is_leased(late + 6 * roster_lib.STATUS_PERIOD)
