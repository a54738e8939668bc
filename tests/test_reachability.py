"""Tests of what nodes know of the links between nodes and upstreams."""

import datetime
import random

import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import inventory
from cicadahook.core import kept_connections
from cicadahook.core import reachability

SECOND = datetime.timedelta(seconds=1)


def create_instances(names: str) -> list[inventory.Instance]:
    """Return one upstream for each letter."""
    return [
        inventory.Instance(name, "s", f"{name}:1", "z", 4) for name in names
    ]


@pytest.fixture(name="links")
def create_links() -> reachability.Reachability:
    """Return the links of a node before any call, to upstreams a, b and c."""
    links = reachability.Reachability(
        random.Random(1), kept_connections.KeptConnections("n1")
    )
    links.update_registered(
        {entry.id: entry for entry in create_instances("abc")}
    )
    return links


def tell(
    links: reachability.Reachability,
    peer: str,
    now: datetime.datetime,
    reached: str = "",
    cut: str = "",
    age_ms: int = 0,
) -> None:
    """Let another node tell what it reaches."""
    links.merge(
        peer,
        [
            *(
                reachability.LinkStatement(name, 0, False, age_ms, True)
                for name in reached
            ),
            *(reachability.LinkStatement(name, 0, True) for name in cut),
        ],
        now,
    )


def test_a_refused_upstream_that_no_other_node_reaches_is_unreachable(
    links: reachability.Reachability, clock: clock_lib.ManualClock
) -> None:
    first, second, _ = create_instances("abc")
    assert not links.find_unreachable([first, second], clock.now())
    links.record_failure(first, clock.now(), is_refused=True)
    assert links.find_unreachable([first, second], clock.now()) == {"a"}
    tell(links, "n2", clock.now(), cut="a")
    assert links.find_unreachable([first, second], clock.now()) == {"a"}
    links.record_connected(first, clock.now())
    assert not links.find_unreachable([first, second], clock.now())


def test_a_node_that_reaches_the_upstream_is_a_way_to_it(
    links: reachability.Reachability, clock: clock_lib.ManualClock
) -> None:
    (first,) = create_instances("a")
    links.record_failure(first, clock.now(), is_refused=True)
    tell(links, "n2", clock.now(), reached="a")
    tell(links, "n3", clock.now(), reached="b")
    tell(links, "n4", clock.now(), reached="b", cut="a")
    assert links.list_helpers(first, clock.now()) == ("n2", "n3")
    assert not links.find_unreachable([first], clock.now())
    assert links.get_cost_ms(first, clock.now()) == reachability.DETOUR_MS


def test_a_node_that_was_not_heard_or_has_failed_is_no_way(
    links: reachability.Reachability, clock: clock_lib.ManualClock
) -> None:
    (first,) = create_instances("a")
    links.record_failure(first, clock.now(), is_refused=True)
    tell(links, "n2", clock.now(), reached="a")
    links.avoid_peer("n2", clock.now())
    assert not links.list_helpers(first, clock.now())
    clock.advance(reachability.PEER_PAUSE)
    assert links.list_helpers(first, clock.now()) == ("n2",)
    links.record_peer_failure("n2", first, clock.now())
    assert not links.list_helpers(first, clock.now())
    tell(links, "n2", clock.now(), reached="a")
    clock.advance(reachability.PEER_EXPIRY)
    assert not links.list_helpers(first, clock.now())
    tell(links, "n2", clock.now(), reached="a")
    links.forget_peer("n2")
    assert links.find_unreachable([first], clock.now()) == {"a"}


def test_silence_of_a_second_leaves_an_upstream_reachable(
    links: reachability.Reachability, clock: clock_lib.ManualClock
) -> None:
    (first,) = create_instances("a")
    links.record_failure(first, clock.now(), is_refused=False)
    clock.advance(SECOND)
    assert not links.find_unreachable([first], clock.now())
    clock.advance(SECOND)
    assert links.find_unreachable([first], clock.now()) == {"a"}


def test_open_connections_that_live_on_are_a_way(
    links: reachability.Reachability, clock: clock_lib.ManualClock
) -> None:
    (first,) = create_instances("a")
    links.record_failure(first, clock.now(), is_refused=True)
    clock.advance(SECOND)
    links.record_heard(first, clock.now())
    assert links.is_cut(first)
    assert not links.find_unreachable([first], clock.now())
    clock.advance(reachability.LIVE_CONNECTION_PERIOD)
    assert links.find_unreachable([first], clock.now()) == {"a"}


def test_a_restarted_upstream_has_new_links(
    links: reachability.Reachability, clock: clock_lib.ManualClock
) -> None:
    (first,) = create_instances("a")
    links.record_failure(first, clock.now(), is_refused=True)
    again = inventory.Instance("a", "s", "a:1", "z", 4, born=1)
    links.update_registered({"a": again})
    assert not links.is_cut(again)
    assert not links.record_failure(first, clock.now(), is_refused=True)
    assert not links.is_cut(again)
    tell(links, "n2", clock.now(), reached="a")
    links.record_failure(again, clock.now(), is_refused=True)
    assert not list(links.find_peer_links(again, clock.now()))


def test_a_node_is_cut_off_only_if_another_one_is_not(
    links: reachability.Reachability, clock: clock_lib.ManualClock
) -> None:
    instances = create_instances("abc")
    for entry in instances[:2]:
        links.record_failure(entry, clock.now(), is_refused=True)
    assert not links.is_cut_off(instances, clock.now())
    tell(links, "n2", clock.now(), cut="ab")
    assert not links.is_cut_off(instances, clock.now())
    tell(links, "n2", clock.now(), reached="ab")
    assert links.is_cut_off(instances, clock.now())
    links.record_connected(instances[0], clock.now())
    assert not links.is_cut_off(instances, clock.now())


def test_tells_cut_links_the_newest_one_and_those_that_others_lack(
    links: reachability.Reachability, clock: clock_lib.ManualClock
) -> None:
    first, second, third = create_instances("abc")
    links.record_heard(first, clock.now())
    clock.advance(SECOND)
    links.record_heard(second, clock.now())
    links.record_failure(third, clock.now(), is_refused=False)
    newest = reachability.LinkStatement("b", 0, False, 0, True)
    cut = reachability.LinkStatement("c", 0, True)
    assert links.list_statements(clock.now()) == (newest, cut)
    tell(links, "n2", clock.now(), cut="a")
    lacked = reachability.LinkStatement("a", 0, False, 1000, True)
    assert links.list_statements(clock.now()) == (lacked, newest, cut)
    clock.advance(reachability.HEARD_EXPIRY)
    assert links.list_statements(clock.now()) == (cut,)


def test_what_a_node_tells_replaces_what_it_told_before(
    links: reachability.Reachability, clock: clock_lib.ManualClock
) -> None:
    (first,) = create_instances("a")
    tell(links, "n2", clock.now(), cut="a")
    tell(links, "n2", clock.now(), reached="b")
    assert links.list_helpers(first, clock.now()) == ("n2",)


@pytest.mark.parametrize("age_ms", [2**31, 2**63])
def test_an_absurd_age_counts_as_never_heard(
    links: reachability.Reachability,
    clock: clock_lib.ManualClock,
    age_ms: int,
) -> None:
    (first,) = create_instances("a")
    tell(links, "n2", clock.now(), reached="a", age_ms=age_ms)
    ((_, link),) = links.find_peer_links(first, clock.now())
    assert link.heard is None
