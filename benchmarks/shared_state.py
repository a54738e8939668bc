"""Measures how the nodes share the table, members and loads.

The nodes exchange messages over a simulated network that loses some of them,
with an injected clock. Prints JSON lines: seconds from the acceptance of an
edit until it is in force on each node; datagrams, bytes and processor time
per node and second for several sizes of the fleet; calls to the key-value
service; and the share of edits refused by row-level and table-level checks.

Run: python benchmarks/shared_state.py [in_force|cost|calls|edits]
"""

from collections.abc import Callable, Iterator, Sequence
import dataclasses
import datetime
import json
import random
import statistics
import sys
import time
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import entry_loads
from cicadahook.core import errors
from cicadahook.core import swim
from cicadahook.core import table as table_lib
from cicadahook.core import table_edits
from cicadahook.core import view
from cicadahook.net import datagram_auth
from cicadahook.net import gossip
from cicadahook.net import keyvalue
from cicadahook.net import member_registry as member_registry_lib
from cicadahook.standins import network as network_lib

FLEET_SIZES: Final = (4, 16, 64, 200, 400)
CONVERGENCE_SECONDS: Final = 20.0
COST_SECONDS: Final = 5.0
EDIT_COUNT: Final = 20
STEP_SECONDS: Final = 0.05
LOSS_PROBABILITY: Final = 0.05
SEED: Final = 1
# Simulated time in which a node fetches the head and a page from a peer.
PULL_SECONDS: Final = 0.02
UPSTREAM_COUNT: Final = 12
OPERATOR_COUNTS: Final = (2, 4, 8)
ROW_COUNT: Final = 140
ROUNDS: Final = 300
ROWS_PER_EDIT: Final = 2


def create_network(size: int) -> network_lib.NetworkStandin:
    """Return a network of `size` members that all know each other.

    Messages are lost only after the members have converged.
    """
    network = network_lib.NetworkStandin(clock_lib.ManualClock(), SEED)
    seeds = ("vm0:1", "vm1:1", "vm2:1")
    for index in range(size):
        network.start(f"vm{index}", seeds)
    network.run(CONVERGENCE_SECONDS)
    network.loss = LOSS_PROBABILITY
    return network


def measure_in_force() -> Iterator[dict[str, object]]:
    """Yield the times from acceptance to in force by gossip and pulls alone.

    No watch of the key-value service reports the edit, so only the accepting
    node has the new table at first.
    """
    for size in FLEET_SIZES:
        network = create_network(size)
        times = [
            seconds
            for generation in range(1, EDIT_COUNT + 1)
            for seconds in measure_spread(network, generation)
        ]
        times.sort()
        yield {
            "measure": "in_force_seconds",
            "nodes": size,
            "loss": LOSS_PROBABILITY,
            "p50": round(times[len(times) // 2], 2),
            "p99": round(times[int(len(times) * 0.99)], 2),
            "worst": round(times[-1], 2),
        }


def measure_spread(
    network: network_lib.NetworkStandin, generation: int
) -> Iterator[float]:
    """Accept an edit at one node; yield the delay of each other node.

    Args:
        network: the network of the nodes.
        generation: table generation of the edit.

    Yields:
        Seconds from the acceptance until the edit is in force on a node.
    """
    accepting_address = network.rng.choice(sorted(network.nodes))
    accepted = network.clock.now()
    put_in_force(network, accepting_address, generation)
    waiting = set(network.nodes) - {accepting_address}
    pull_ends: dict[str, datetime.datetime] = {}
    while waiting:
        network.run(STEP_SECONDS)
        now = network.clock.now()
        for address in sorted(waiting):
            node = network.nodes[address]
            if (
                address not in pull_ends
                and node.highest_available >= generation
            ):
                # The node now fetches the head and the page from a peer.
                pull_ends[address] = now + datetime.timedelta(
                    seconds=PULL_SECONDS
                )
            if address in pull_ends and now >= pull_ends[address]:
                waiting.discard(address)
                put_in_force(network, address, generation)
                yield (now - accepted).total_seconds()


def put_in_force(
    network: network_lib.NetworkStandin, address: str, generation: int
) -> None:
    """Set `generation` in force on a node and announce it to its peers."""
    node = network.nodes[address]
    node.set_own(generation=generation)
    network.send(address, node.announce_generation(generation))


def measure_cost() -> Iterator[dict[str, object]]:
    """Yield datagrams, bytes and processor time per node and second when idle.

    Least-squares lines over the size of the fleet follow.
    """
    points = []
    for size in FLEET_SIZES:
        network = create_network(size)
        meter = TrafficMeter(network)
        started = time.process_time()
        network.run(COST_SECONDS)
        protocol_seconds = time.process_time() - started - meter.coding_seconds
        node_seconds = size * COST_SECONDS
        load_datagrams, load_bytes, load_coding_ms = measure_load(size)
        point = {
            "nodes": size,
            "datagrams": meter.datagrams / node_seconds + load_datagrams,
            "bytes": meter.bytes / node_seconds + load_bytes,
            "cpu_ms": 1000
            * (protocol_seconds + meter.coding_seconds)
            / node_seconds
            + load_coding_ms,
        }
        points.append(point)
        yield {"measure": "gossip_a_node_a_second", **round_values(point)}
    for name in ("datagrams", "bytes", "cpu_ms"):
        regression = statistics.linear_regression(
            [point["nodes"] for point in points],
            [point[name] for point in points],
        )
        yield {
            "measure": f"gossip_{name}_fit",
            "fit": "least squares line",
            "at_0": round(regression.intercept, 3),
            "a_node": round(regression.slope, 6),
            "at_400": round(regression.intercept + 400 * regression.slope, 2),
        }


class TrafficMeter:
    """Counts the traffic of a network and the processor time to code it.

    It replaces the network's `send`, and seals and opens every message as the
    sending and the receiving control would.

    Attributes:
        datagrams: datagrams sent.
        bytes: bytes of UDP payload sent.
        coding_seconds: processor time of sealing and opening.
        forward_send: the replaced `send` of the network.
    """

    def __init__(self, network: network_lib.NetworkStandin) -> None:
        self.clock = network.clock
        self.datagrams = 0
        self.bytes = 0
        self.coding_seconds = 0.0
        self.sealers: dict[str, datagram_auth.Sealer] = {}
        self.forward_send = network.send
        network.send = self.send  # type: ignore[method-assign]

    def send(self, source: str, sends: tuple[swim.Send, ...]) -> None:
        """Measure `sends`, then forward them to the network."""
        started = time.process_time()
        for item in sends:
            body = gossip.MESSAGES.encode(item.message)
            sealer = self.find_sealer(source)
            for data in sealer.seal(
                datagram_auth.BodyKind.MESSAGE, item.address, body
            ):
                self.datagrams += 1
                self.bytes += len(data)
                envelope = self.find_sealer(item.address).open(data)
            gossip.MESSAGES.decode(envelope.body)
        self.coding_seconds += time.process_time() - started
        self.forward_send(source, sends)

    def find_sealer(self, address: str) -> datagram_auth.Sealer:
        """Return the sealer of the node at `address`, created if missing."""
        if address not in self.sealers:
            self.sealers[address] = datagram_auth.Sealer(
                "a key", address, self.clock
            )
        return self.sealers[address]


def measure_load(size: int) -> tuple[float, float, float]:
    """Measure the exchange of load reports in a fleet of `size` nodes.

    Returns:
        Datagrams, bytes and processor milliseconds per node and second.
    """
    clock = clock_lib.ManualClock()
    load = entry_loads.EntryLoad(
        "10.0.0.1:8401",
        uses=tuple(
            view.UpstreamUse(f"10.0.1.{index}:80", 9, 16.5)
            for index in range(UPSTREAM_COUNT)
        ),
        rows=tuple(
            view.PeerRowLoad(f"model-{index}", 3, 1.25)
            for index in range(UPSTREAM_COUNT)
        ),
    )
    sender, receiver = (
        datagram_auth.Sealer("k" * 8, name, clock) for name in "ab"
    )
    assembler = datagram_auth.Assembler()
    datagrams = 0
    size_bytes = 0
    started = time.process_time()
    for _ in range(100):
        body = gossip.LOADS.encode(load)
        for data in sender.seal(datagram_auth.BodyKind.LOAD, "b", body):
            datagrams += 1
            size_bytes += len(data)
            assembled = assembler.add(receiver.open(data))
        assert assembled is not None, "load report is incomplete"
        gossip.LOADS.decode(assembled)
    cpu_ms = (time.process_time() - started) * 10
    peers = min(size - 1, gossip.LOAD_FANOUT)
    loads_per_second = peers / gossip.LOAD_INTERVAL.total_seconds()
    return (
        datagrams / 100 * loads_per_second,
        size_bytes / 100 * loads_per_second,
        cpu_ms * loads_per_second,
    )


def measure_calls() -> Iterator[dict[str, object]]:
    """Yield calls to the key-value service a second, computed from intervals.

    An idle node waits in one watch of the head, followed by a read, and renews
    its registration and reads the others. Calls for placement are not counted.
    """
    watch = keyvalue.WATCH_WAIT.total_seconds()
    renew = member_registry_lib.RENEW_PAUSE.total_seconds() * 0.85
    for size in FLEET_SIZES:
        yield {
            "measure": "keyvalue_calls_computed",
            "nodes": size,
            "reads_a_second_in_rest": round(size * (2 / watch + 1 / renew), 1),
            "writes_a_second_in_rest": round(size / renew, 1),
            "reads_of_one_edit_of_one_page": 3 * size,
            "writes_of_one_edit_of_one_page": 2,
        }


def measure_edits() -> Iterator[dict[str, object]]:
    """Yield the share of edits refused by row-level and table-level checks.

    In each round all operators edit the table as it was when the round began.
    """
    for operators in OPERATOR_COUNTS:
        for is_concentrated in (False, True):
            yield {
                "measure": "edits_refused",
                "operators": operators,
                "rows": ROW_COUNT,
                "rows_an_edit": ROWS_PER_EDIT,
                "half_in_ten_rows": is_concentrated,
                **simulate_conflicts(operators, is_concentrated),
            }


def simulate_conflicts(
    operators: int, is_concentrated: bool
) -> dict[str, float]:
    """Return the shares of refused edits when `operators` edit concurrently.

    Args:
        operators: number of operators.
        is_concentrated: whether half of the edited rows are among the first
            ten.
    """
    rng = random.Random(SEED)
    table = table_lib.Table(
        1,
        tuple(
            table_lib.Row(
                f"m{index:03}", table_lib.RowKind.MODEL, memory_bytes=1
            )
            for index in range(ROW_COUNT)
        ),
    )
    refused = 0
    for number in range(ROUNDS):
        base_table = table
        for operator in range(operators):
            rows = [
                dataclasses.replace(
                    base_table.rows[index],
                    rate_per_second=float(number * operators + operator + 1),
                )
                for index in choose_rows(rng, is_concentrated)
            ]
            table_edit = table_edits.create_edit(base_table, rows)
            try:
                merged = table_edits.apply(table.rows, table_edit)
                table = table_lib.Table(table.generation + 1, merged)
            except errors.EditConflictError:
                refused += 1
    total = ROUNDS * operators
    return {
        "row_level_refused": round(refused / total, 3),
        "table_level_refused": round((operators - 1) / operators, 3),
    }


def choose_rows(rng: random.Random, is_concentrated: bool) -> Sequence[int]:
    """Return the indices of the rows that an operator edits."""
    limit = 10 if is_concentrated and rng.random() < 0.5 else ROW_COUNT
    return rng.sample(range(limit), ROWS_PER_EDIT)


def round_values(point: dict[str, float]) -> dict[str, float]:
    """Return `point` with its values rounded to three digits."""
    return {name: round(value, 3) for name, value in point.items()}


MEASURES: Final[dict[str, Callable[[], Iterator[dict[str, object]]]]] = {
    "in_force": measure_in_force,
    "cost": measure_cost,
    "calls": measure_calls,
    "edits": measure_edits,
}


if __name__ == "__main__":
    for chosen in sys.argv[1:] or list(MEASURES):
        for line in MEASURES[chosen]():
            print(json.dumps(line), flush=True)
