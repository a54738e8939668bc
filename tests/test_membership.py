"""Membership over a simulated network that loses, delays, reorders messages.

A live member must not be declared dead, a dead one must be detected by all
members in time, and all members must agree once faults end.
"""

import collections
from collections.abc import Mapping
import dataclasses
import datetime
from typing import Final

import hypothesis
from hypothesis import strategies as st
import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import swim
from cicadahook.core import view
from cicadahook.standins import network as network_lib

SEEDS: Final = ("vm0:1", "vm1:1")
CONVERGENCE_SECONDS: Final = 15
ALIVE: Final = view.MemberState.ALIVE
DEAD: Final = view.MemberState.DEAD


def create_network(
    clock: clock_lib.ManualClock, size: int, seed: int = 1
) -> network_lib.NetworkStandin:
    """Return a network whose members all know each other as alive."""
    network = network_lib.NetworkStandin(clock, seed)
    for index in range(size):
        network.start(f"vm{index}", SEEDS)
    network.run(CONVERGENCE_SECONDS)
    assert_all_agree(network, {f"vm{index}": ALIVE for index in range(size)})
    return network


def assert_all_agree(
    network: network_lib.NetworkStandin,
    expected: Mapping[str, view.MemberState],
    excluded: str = "",
) -> None:
    """Assert that all members but `excluded` hold the expected states."""
    for address, node in network.nodes.items():
        if address != excluded:
            observed = {name: node.members[name].state for name in expected}
            assert observed == expected, address


def count_deaths(
    network: network_lib.NetworkStandin, seconds: float
) -> collections.Counter[str]:
    """Run and count, by name, the deaths declared by any member."""
    deaths: collections.Counter[str] = collections.Counter()
    observed: set[tuple[str, str, int]] = set()
    for _ in range(int(seconds * 5)):
        network.run(0.2)
        for address, node in network.nodes.items():
            for member in node.members.values():
                key = (address, member.name, member.incarnation)
                if member.state is DEAD and key not in observed:
                    observed.add(key)
                    deaths[member.name] += 1
    return deaths


@pytest.mark.parametrize("size", [2, 4, 30])
def test_death_is_detected_by_all_in_time(
    clock: clock_lib.ManualClock, size: int
) -> None:
    network = create_network(clock, size)
    network.stop("vm1:1")
    network.run(4 if size < 10 else 6)
    assert_all_agree(network, {"vm0": ALIVE, "vm1": DEAD})


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("size", [4, 30])
def test_no_member_dies_at_ten_percent_loss(
    clock: clock_lib.ManualClock, size: int, seed: int
) -> None:
    network = create_network(clock, size, seed)
    network.loss = 0.1
    assert not count_deaths(network, 60 if size < 10 else 20)


def test_slow_member_stays_alive(clock: clock_lib.ManualClock) -> None:
    network = create_network(clock, 4)
    network.extra_delays["vm2:1"] = datetime.timedelta(seconds=0.6)
    assert not count_deaths(network, 60)


def test_paused_member_dies_once_and_declares_nobody_dead(
    clock: clock_lib.ManualClock,
) -> None:
    network = create_network(clock, 4)
    network.paused.add("vm2:1")
    network.run(8)
    assert_all_agree(network, {"vm2": DEAD}, excluded="vm2:1")
    network.resume("vm2:1")
    deaths = count_deaths(network, 20)
    assert set(deaths) <= {"vm2"}
    assert_all_agree(network, {f"vm{index}": ALIVE for index in range(4)})


def test_resumed_member_drops_probes_and_restarts_suspicions(
    clock: clock_lib.ManualClock,
) -> None:
    network = create_network(clock, 4)
    node = network.nodes["vm0:1"]
    suspect = dataclasses.replace(
        node.members["vm1"], state=view.MemberState.SUSPECT
    )
    message = swim.Message(
        swim.MessageKind.UPDATE,
        node.members["vm3"],
        updates=(suspect,),
    )
    node.receive(message, "vm3:1", clock.now())
    node.tick(clock.now() + datetime.timedelta(seconds=0.5))
    assert node.probes
    node.tick(clock.now() + datetime.timedelta(seconds=5))
    states = collections.Counter(
        member.state for member in node.members.values()
    )
    assert states == {ALIVE: 3, view.MemberState.SUSPECT: 1}


def test_short_pause_causes_no_death(clock: clock_lib.ManualClock) -> None:
    network = create_network(clock, 4)
    for _ in range(5):
        network.paused.add("vm2:1")
        network.run(1.5)
        network.resume("vm2:1")
        assert not count_deaths(network, 3)


def test_partitioned_groups_merge_again(clock: clock_lib.ManualClock) -> None:
    network = create_network(clock, 4)
    network.isolated.add("vm3:1")
    network.run(CONVERGENCE_SECONDS)
    assert_all_agree(network, {"vm3": DEAD}, excluded="vm3:1")
    network.isolated.clear()
    network.run(CONVERGENCE_SECONDS)
    assert_all_agree(network, {f"vm{index}": ALIVE for index in range(4)})


def test_restarted_member_supersedes_its_previous_process(
    clock: clock_lib.ManualClock,
) -> None:
    network = create_network(clock, 4)
    old = network.nodes["vm2:1"].own.incarnation
    network.start("vm2", SEEDS)
    network.run(5)
    assert_all_agree(network, {f"vm{index}": ALIVE for index in range(4)})
    known = network.nodes["vm0:1"].members["vm2"]
    assert known.incarnation > old


def test_planned_leave_is_known_at_once(clock: clock_lib.ManualClock) -> None:
    network = create_network(clock, 4)
    network.send("vm2:1", network.nodes["vm2:1"].leave())
    network.stop("vm2:1")
    network.run(0.5)
    assert_all_agree(network, {"vm2": DEAD, "vm0": ALIVE})


def test_leaving_state_and_generation_reach_all(
    clock: clock_lib.ManualClock,
) -> None:
    network = create_network(clock, 30)
    network.nodes["vm2:1"].set_own(view.MemberState.LEAVING, generation=7)
    network.run(3)
    assert_all_agree(network, {"vm2": view.MemberState.LEAVING})
    for node in network.nodes.values():
        assert node.members["vm2"].generation == 7


def test_returning_member_is_notified_of_its_death(
    clock: clock_lib.ManualClock,
) -> None:
    network = create_network(clock, 3)
    node = network.nodes["vm0:1"]
    dead = dataclasses.replace(node.members["vm1"], state=DEAD)
    for kind, member in (
        (swim.MessageKind.UPDATE, dead),
        (swim.MessageKind.PING, network.nodes["vm1:1"].own),
    ):
        message = swim.Message(kind, member, 1, "vm0")
        node.updates.by_subject.clear()
        answers = node.receive(message, "vm1:1", clock.now())
    assert dead in answers[0].message.updates


def test_message_for_a_previous_member_is_not_answered(
    clock: clock_lib.ManualClock,
) -> None:
    network = create_network(clock, 2)
    node = network.nodes["vm0:1"]
    message = swim.Message(
        swim.MessageKind.PING,
        network.nodes["vm1:1"].own,
        1,
        target="vm9",
    )
    assert not node.receive(message, "vm1:1", clock.now())


def inject_fault(
    network: network_lib.NetworkStandin, fault: str, index: int
) -> None:
    """Inject a fault at a member, or end one."""
    address = f"vm{index}:1"
    if fault == "pause":
        network.paused.add(address)
    elif fault == "resume":
        network.resume(address)
    elif fault == "stop" and address in network.nodes:
        network.stop(address)
    elif fault == "start":
        network.start(f"vm{index}", SEEDS)
    elif fault == "cut":
        network.isolated.add(address)
    elif fault == "join":
        network.isolated.clear()


@hypothesis.settings(max_examples=12, derandomize=True, deadline=None)
@hypothesis.given(
    seed=st.integers(0, 1000),
    faults=st.lists(
        st.tuples(
            st.sampled_from(
                ["pause", "resume", "stop", "start", "cut", "join"]
            ),
            st.integers(2, 5),
            st.floats(0.1, 4),
        ),
        max_size=12,
    ),
)
def test_all_agree_once_faults_end(
    seed: int, faults: list[tuple[str, int, float]]
) -> None:
    network = create_network(clock_lib.ManualClock(), 6, seed)
    network.loss = 0.1
    incarnations: dict[tuple[str, str], int] = {}
    for fault, index, seconds in faults:
        inject_fault(network, fault, index)
        network.run(seconds)
        for observer, node in network.nodes.items():
            for name, member in node.members.items():
                key = (f"{observer}/{node.own.name}", name)
                if node.own.incarnation == incarnations.get((observer, "")):
                    assert member.incarnation >= incarnations.get(key, 0)
                incarnations[key] = member.incarnation
            incarnations[observer, ""] = node.own.incarnation
    network.loss = 0.0
    network.isolated.clear()
    for address in list(network.paused):
        network.resume(address)
    network.run(30)
    states = {
        f"vm{index}": ALIVE if f"vm{index}:1" in network.nodes else DEAD
        for index in range(6)
    }
    live = {name: state for name, state in states.items() if state is ALIVE}
    assert_all_agree(network, live)
    for node in network.nodes.values():
        for name in states.keys() - live.keys():
            known = node.members.get(name)
            assert known is None or known.state is DEAD
