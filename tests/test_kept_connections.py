"""Tests that nodes keep connections to upstreams and prefer to use them."""

import collections
import datetime
import heapq
import random

import aiohttp
from aiohttp import web
import pytest

from cicadahook.core import balancer as balancer_lib
from cicadahook.core import clock as clock_lib
from cicadahook.core import inventory
from cicadahook.core import kept_connections
from cicadahook.core import reachability
from cicadahook.core import upstream_statements
from cicadahook.net import connection_pools

SECOND = datetime.timedelta(seconds=1)
STATED = 10 * SECOND
# A large fleet at a moderate load: a node sends a request to a given upstream
# every 29 s on the mean, and connections may be unused for 10 s.
NODES = 78
UPSTREAMS = 64
REQUESTS_PER_SECOND = 170
RUN_SECONDS = 60
# Each model has this number of copies, so a request has as many to choose from.
COPIES = 4
# Nodes tell each other their loads once in 1.5 s.
TELL_EVERY = int(1.5 * REQUESTS_PER_SECOND)
MODELS = 48


def create_instances(count: int) -> list[inventory.Instance]:
    """Return upstreams of one service."""
    return [
        inventory.Instance(f"u{number}", "s", f"u{number}:1", "z", 48)
        for number in range(count)
    ]


@pytest.fixture(name="kept")
def create_kept() -> kept_connections.KeptConnections:
    """Return the connections of a node before any call."""
    return kept_connections.KeptConnections("n1")


def test_a_connection_is_kept_until_shortly_before_its_upstream_closes_it(
    kept: kept_connections.KeptConnections, clock: clock_lib.ManualClock
) -> None:
    (instance,) = create_instances(1)
    kept.record_timeout(instance, STATED)
    kept.keep(instance, clock.now())
    clock.advance(STATED - kept_connections.EXPIRY_MARGIN - SECOND)
    assert kept.get_cost_ms(instance, clock.now()) == 0
    clock.advance(SECOND)
    assert kept.get_cost_ms(instance, clock.now()) > 0


def test_each_request_takes_the_connection_that_was_unused_longest(
    kept: kept_connections.KeptConnections, clock: clock_lib.ManualClock
) -> None:
    (instance,) = create_instances(1)
    kept.keep(instance, clock.now())
    clock.advance(3 * SECOND)
    kept.keep(instance, clock.now())
    kept.take(instance, clock.now())
    clock.advance(2 * SECOND)
    assert kept.count(instance, clock.now()) == 1
    kept.take(instance, clock.now())
    assert not kept.count(instance, clock.now())
    kept.take(instance, clock.now())


@pytest.mark.parametrize(
    ("stated", "lifetime"),
    [
        (datetime.timedelta(), kept_connections.MIN_LIFETIME),
        (SECOND, kept_connections.MIN_LIFETIME),
        (2.4 * SECOND, 0.6 * SECOND),
        (STATED, 8 * SECOND),
        (999_999 * SECOND, kept_connections.MAX_LIFETIME),
    ],
)
def test_lifetimes_stay_below_what_upstreams_state(
    kept: kept_connections.KeptConnections,
    stated: datetime.timedelta,
    lifetime: datetime.timedelta,
) -> None:
    (instance,) = create_instances(1)
    kept.record_timeout(instance, stated)
    assert kept.get_lifetime(instance) == lifetime


def test_the_shortest_time_of_a_service_applies_while_it_is_listed(
    kept: kept_connections.KeptConnections,
) -> None:
    first, second, unheard = create_instances(3)
    assert kept.get_lifetime(unheard) == kept_connections.DEFAULT_LIFETIME
    kept.record_timeout(first, STATED)
    kept.record_timeout(second, STATED / 2)
    assert kept.get_lifetime(unheard) == 3 * SECOND
    kept.record_timeout(second, STATED)
    kept.drop_unlisted([first, second])
    assert kept.get_lifetime(unheard) == 8 * SECOND
    kept.drop_unlisted([])
    assert kept.get_lifetime(first) == kept_connections.DEFAULT_LIFETIME


@pytest.mark.parametrize(
    ("header", "seconds"),
    [
        ("timeout=10", 10),
        ("max=3, Timeout = 5", 5),
        ("timeout=0", 0),
        (None, None),
        ("", None),
        ("timeout=", None),
        ("timeout=-4", None),
        ("timeout=x1", None),
        ("timeout=99999999999999999999", None),
        ("xtimeout=3", None),
    ],
)
def test_keep_alive_headers_are_read_or_ignored(
    header: str | None, seconds: int | None
) -> None:
    found = connection_pools.parse_timeout(header)
    assert found == (None if seconds is None else seconds * SECOND)


def _create_balancer(
    node: str,
    clock: clock_lib.ManualClock,
    monkeypatch: pytest.MonkeyPatch,
    *,
    knows_connections: bool,
) -> balancer_lib.Balancer:
    generator = random.Random(node)
    kept = kept_connections.KeptConnections(node)
    balancer = balancer_lib.Balancer(
        "z",
        clock,
        generator,
        upstream_statements.UpstreamStatements(node, generator),
        reachability.Reachability(generator, kept),
    )
    if not knows_connections:
        monkeypatch.setattr(kept, "get_cost_ms", lambda instance, now: 0.0)
    return balancer


def _tell_loads(balancers: list[balancer_lib.Balancer]) -> None:
    """Tell each node the loads of all others."""
    for number, sender in enumerate(balancers):
        loads = sender.list_own_loads()
        for balancer in balancers:
            if balancer is not sender:
                balancer.replace_peer_loads(f"n{number}", loads)


def _play(
    seed: int, monkeypatch: pytest.MonkeyPatch, *, knows_connections: bool
) -> tuple[float, float]:
    """Return the share of requests on new connections, and the largest load.

    This is the number of requests at the busiest upstream, by the mean number.
    """
    clock = clock_lib.ManualClock()
    generator = random.Random(seed)
    instances = create_instances(UPSTREAMS)
    holders = [generator.sample(instances, COPIES) for _ in range(MODELS)]
    balancers = [
        _create_balancer(
            f"n{number}",
            clock,
            monkeypatch,
            knows_connections=knows_connections,
        )
        for number in range(NODES)
    ]
    for balancer in balancers:
        for instance in instances:
            balancer.reachability.kept.record_timeout(instance, STATED)
    ends: list[tuple[datetime.datetime, int]] = []
    running: dict[int, tuple[balancer_lib.Balancer, balancer_lib.Placement]] = (
        {}
    )
    opened = 0
    counts: collections.Counter[str] = collections.Counter()
    total = RUN_SECONDS * REQUESTS_PER_SECOND
    for number in range(total):
        clock.advance(SECOND / REQUESTS_PER_SECOND)
        while ends and ends[0][0] <= clock.now():
            balancer, placement = running.pop(heapq.heappop(ends)[1])
            balancer.end(placement)
            balancer.reachability.kept.keep(placement.instance, clock.now())
        if not number % TELL_EVERY:
            _tell_loads(balancers)
        balancer = generator.choice(balancers)
        chosen = balancer.choose(generator.choice(holders), None)
        assert chosen is not None
        opened += not balancer.reachability.kept.count(chosen, clock.now())
        balancer.reachability.kept.take(chosen, clock.now())
        counts[chosen.id] += 1
        running[number] = balancer, balancer.start(chosen, None)
        heapq.heappush(
            ends, (clock.now() + generator.uniform(0.2, 1.5) * SECOND, number)
        )
    return opened / total, max(counts.values()) * UPSTREAMS / total


@pytest.mark.parametrize("seed", [1, 2])
def test_many_nodes_with_few_requests_each_open_fewer_connections(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    before, busiest_before = _play(seed, monkeypatch, knows_connections=False)
    after, busiest_after = _play(seed, monkeypatch, knows_connections=True)
    assert after < 0.75 * before
    assert busiest_after < 1.1 * busiest_before


async def test_a_connection_is_used_again_only_while_its_upstream_keeps_it(
    clock: clock_lib.ManualClock, unused_port: int
) -> None:
    sources = []

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        assert request.transport is not None
        sources.append(request.transport.get_extra_info("peername"))
        return web.Response(
            body=b"answer", headers={"Keep-Alive": "timeout=10"}
        )

    server = web.ServerRunner(web.Server(answer))
    await server.setup()
    await web.TCPSite(server, "127.0.0.1", unused_port).start()
    instance = inventory.Instance("u1", "s", f"127.0.0.1:{unused_port}", "z", 4)
    pools = connection_pools.ConnectionPools(clock, resets=False)
    try:
        for _ in range(3):
            session = pools.take(instance)
            response = await session.get(f"http://{instance.address}/")
            await response.read()
            pools.release(instance, response)
        assert isinstance(session.connector, aiohttp.TCPConnector)
        assert pools.kept.get_lifetime(instance) == 8 * SECOND
        assert pools.kept.count(instance, clock.now()) == 1
    finally:
        await pools.close()
        await server.cleanup()
    # The first answer told of the lifetime of the later connections.
    assert len(set(sources)) == 2
    assert sources[1] == sources[2]
