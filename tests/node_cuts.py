"""Cuts of nodes from upstreams, and what nodes know of them."""

from cicadahook.net import node as node_lib
import node_links
import node_testbed

CUT_OFF, IN_TOUCH = 1, 0


def get_node(testbed: node_testbed.NodeTestbed, number: int) -> node_lib.Node:
    """Return a running node."""
    node = testbed.programs[number].node
    assert node is not None, "not started"
    return node


async def cut_known(testbed: node_testbed.NodeTestbed, *numbers: int) -> None:
    """Reset all links of some nodes, and wait until they know of it.

    The other nodes pass on requests then: one that stood still does not for a
    while.
    """
    for number in numbers:
        for link in testbed.links[number].values():
            link.cut(node_links.Cut.RESET)
    for number in numbers:
        node = get_node(testbed, number)
        for entry in node.components.inventory.instances.values():
            node.links.monitor.record(
                entry, await node.components.upstreams.probe(entry)
            )
            assert node.links.reachability.is_cut(entry)
    helpers = [
        get_node(testbed, number).relay_server
        for number in {IN_TOUCH, CUT_OFF} - set(numbers)
    ]
    await node_testbed.wait_until(
        lambda: not any(server.has_stalled() for server in helpers)
    )
