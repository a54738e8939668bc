"""Tests of terms of order holders that other nodes name and nobody has."""

import asyncio
import dataclasses
import datetime

import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import order_holder
from cicadahook.core import roster as roster_lib
import node_testbed
import store_positions

NOW = clock_lib.EPOCH
SECOND = datetime.timedelta(seconds=1)
FALSE_TERM = 2**62
# The next renewal of the lease is answered by then.
DOUBT_SECONDS = 1.5


@pytest.fixture(name="holder")
def create_holder() -> order_holder.HolderStateMachine:
    """Return a holder that may send, as its lease is valid."""
    state = order_holder.HolderStateMachine("n1", "1", 3 * SECOND, 3 * SECOND)
    state.observe_keys(None, None, None, store_positions.at(29), NOW)
    state.record_renewal(NOW)
    write = state.propose(1, NOW)
    assert write is not None, "there is no holder"
    assert state.record_won_term(write, store_positions.at(30), NOW)
    assert state.can_send(NOW, is_granted=False)
    return state


def test_a_holder_waits_for_the_store_when_a_newer_term_is_named(
    holder: order_holder.HolderStateMachine,
) -> None:
    holder.hear_term(FALSE_TERM, holder.era, NOW)
    assert not holder.can_send(NOW, is_granted=False)
    assert holder.wants_grants(NOW)
    # None of the others knows of a newer one.
    assert holder.can_send(NOW, is_granted=True)


def test_a_renewal_of_the_lease_denies_a_newer_term(
    holder: order_holder.HolderStateMachine,
) -> None:
    """Guards against one wrong status that ends all terms for good."""
    holder.hear_term(FALSE_TERM, holder.era, NOW)
    # It was sent before the claim came.
    holder.record_renewal(NOW)
    assert not holder.can_send(NOW, is_granted=False)
    later = NOW + SECOND
    holder.record_renewal(later)
    assert holder.can_send(later, is_granted=False)
    holder.hear_term(FALSE_TERM, holder.era, later)
    assert holder.can_send(later, is_granted=False)


def test_the_lease_of_a_later_term_denies_nothing(
    holder: order_holder.HolderStateMachine,
) -> None:
    holder.hear_term(FALSE_TERM, holder.era, NOW)
    holder.record_lease_end()
    holder.record_renewal(NOW + SECOND)
    assert not holder.can_send(NOW + SECOND, is_granted=False)


def test_a_term_that_only_another_node_names_is_not_passed_on(
    holder: order_holder.HolderStateMachine,
) -> None:
    peer = order_holder.HolderStateMachine("n2", "1", 3 * SECOND, 3 * SECOND)
    peer.observe_keys(
        holder.holder, holder.term, None, store_positions.at(31), NOW
    )
    peer.hear_term(FALSE_TERM, peer.era, NOW)
    assert peer.newest_term == holder.fence


async def test_a_false_term_ends_no_orders(
    testbed: node_testbed.NodeTestbed,
) -> None:
    """Guards against nodes that never again have a holder."""
    for number in range(10):
        for program in testbed.programs:
            assert program.node is not None, "not started"
            record = dataclasses.replace(program.node.roster.own, name="faulty")
            program.node.receiver.receive(
                roster_lib.NodeStatus(
                    record, number, True, False, False, 0, FALSE_TERM
                )
            )
        await asyncio.sleep(roster_lib.STATUS_PERIOD.total_seconds())
    await node_testbed.wait_until(
        lambda: any(map(node_testbed.can_order, testbed.programs)),
        DOUBT_SECONDS,
    )
