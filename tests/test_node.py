"""Tests two nodes against stand-ins of the store and the upstreams."""

import asyncio
import dataclasses
import json
import logging

import aiohttp
import pytest

from cicadahook.platform import upstream_client
import node_testbed
import node_upstreams

READ = "/read/item?x=1"
MODEL = {"X-Model": "big", "X-Token-Counts": "100,20"}


async def test_relays_a_plain_answer_unchanged(
    testbed: node_testbed.NodeTestbed,
) -> None:
    async with testbed.call(READ, data=b"body") as response:
        assert response.status == 200
        assert await response.read() == b"answer"
        assert response.headers["X-Response-Signature"] == "sig-r1"
    (arrival,) = testbed.plain[0].arrivals + testbed.plain[1].arrivals
    assert (arrival.path, arrival.body) == (READ, b"body")
    assert arrival.headers["X-Request-Id"] == "r1"
    assert arrival.headers["Host"] == "api.example"
    assert 0 < int(arrival.headers["X-Deadline-Ms"]) <= 2000
    assert "Accept-Encoding" in arrival.headers  # the caller's own


async def test_strips_headers_that_callers_may_not_set(
    testbed: node_testbed.NodeTestbed,
) -> None:
    forged = {
        "X-Expected-Instance": "someone",
        "X-Hold": "h",
        "X-Kv-Backup": "1.2.3.4:5",
        "Kv-From": "1.2.3.4:5/6",
        "X-Pin-Duration": "100",
        "Connection": "X-Private",
        "X-Private": "1",
    }
    async with testbed.call(READ, headers=forged) as response:
        assert response.status == 200
    (arrival,) = testbed.plain[0].arrivals + testbed.plain[1].arrivals
    assert arrival.headers["X-Expected-Instance"] in ("p1", "p2")
    stripped = ("X-Hold", "X-Kv-Backup", "Kv-From", "X-Pin-Duration")
    assert not any(name in arrival.headers for name in stripped)
    assert "X-Private" not in arrival.headers


async def test_answers_directory_and_readiness(
    testbed: node_testbed.NodeTestbed,
) -> None:
    assert (await testbed.get(1, "/ready"))[0] == 200
    status, body = await testbed.get(2, "/resolve?name=x&zone=zone-a")
    answer = json.loads(body)
    assert status == 200
    fronts = {node.settings.front_address for node in testbed.programs}
    assert set(answer["addresses"]) == fronts
    assert 0 < answer["ttl_s"] <= 5


async def test_refuses_unknown_routes(
    testbed: node_testbed.NodeTestbed,
) -> None:
    async with testbed.call("/elsewhere/") as response:
        assert response.status == 404


async def test_uses_a_newer_configuration_only(
    testbed: node_testbed.NodeTestbed,
) -> None:
    newer = node_testbed.create_configuration(7)
    newer["routes"][0]["path_prefix"] = "/fresh/"
    testbed.store.put("op/config", newer)
    node = testbed.programs[0].node
    assert node is not None
    await node_testbed.wait_until(lambda: _get_version(testbed) == 7)
    testbed.store.put("op/config", node_testbed.create_configuration(6))
    testbed.store.put("op/config", b"{not json")
    await asyncio.sleep(0.2)
    assert _get_version(testbed) == 7
    async with testbed.call("/fresh/item") as response:
        assert response.status == 200


async def test_relists_after_lost_history(
    testbed: node_testbed.NodeTestbed,
) -> None:
    testbed.store.faults.is_silent = True
    testbed.store.put("op/config", node_testbed.create_configuration(3))
    testbed.store.compact()
    testbed.store.faults.is_silent = False
    await node_testbed.wait_until(lambda: _get_version(testbed) == 3)


async def test_retries_a_repeatable_request_elsewhere(
    testbed: node_testbed.NodeTestbed,
) -> None:
    testbed.plain[0].mode = testbed.plain[1].mode = "error"
    async with testbed.call(READ) as response:
        assert response.status == 500
        assert response.headers["X-Response-Signature"] == "sig-r1"
    assert len(testbed.plain[0].arrivals) == len(testbed.plain[1].arrivals) == 1


@pytest.mark.parametrize("mode", ["reset", "crossed", "unsigned"])
async def test_runs_a_non_idempotent_request_once(
    testbed: node_testbed.NodeTestbed, mode: str
) -> None:
    for upstream in testbed.plain:
        upstream.mode = mode
    async with testbed.call("/write/item") as response:
        assert response.status == 502
        assert "X-Response-Signature" not in response.headers
    assert len(testbed.plain[0].arrivals + testbed.plain[1].arrivals) == 1


async def test_answers_not_run_only_if_upstreams_reported_it(
    testbed: node_testbed.NodeTestbed,
) -> None:
    for upstream in testbed.plain:
        upstream.mode = "full"
    async with testbed.call("/write/item") as response:
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0


async def test_answers_at_the_route_timeout(
    testbed: node_testbed.NodeTestbed,
) -> None:
    for upstream in testbed.plain:
        upstream.mode = "hang"
    started = asyncio.get_running_loop().time()
    async with testbed.call("/write/item") as response:
        assert response.status == 504
    assert asyncio.get_running_loop().time() - started < 2.2


async def test_relays_a_stream(testbed: node_testbed.NodeTestbed) -> None:
    async with testbed.call("/chat/x", headers=MODEL) as response:
        assert response.status == 200
        body = await response.read()
    assert body.count(b"data: piece") == 5
    (arrival,) = testbed.engines[0].arrivals
    assert arrival.headers["X-Model"] == "big"
    assert arrival.headers["X-Request-Priority"] == "1"


async def test_aborts_a_cut_stream(
    testbed: node_testbed.NodeTestbed,
) -> None:
    testbed.engines[0].cut_after = 3
    with pytest.raises(aiohttp.ClientPayloadError):
        async with testbed.call("/chat/x", headers=MODEL) as response:
            await response.read()


async def test_resumes_a_resumable_stream(
    testbed: node_testbed.NodeTestbed,
) -> None:
    testbed.engines[0].cut_after = 3
    testbed.engines[1].models["big"] = set()
    testbed.register(testbed.engines[1])
    node = testbed.programs[0].node
    assert node is not None
    await node_testbed.wait_until(
        lambda: node.components.inventory.instances["e2"].holds("big")
    )
    async with testbed.call("/review/x", headers=MODEL) as response:
        body = await response.read()
    numbers = [line for line in body.split(b"\n") if line.startswith(b"id")]
    assert numbers == [f"id: {number}".encode() for number in range(1, 6)]


async def test_cancels_upstream_request_of_a_disconnected_caller(
    testbed: node_testbed.NodeTestbed,
) -> None:
    engine = testbed.engines[0]
    engine.events, engine.event_seconds = 1000, 0.05
    async with testbed.call("/chat/x", headers=MODEL) as response:
        await response.content.readany()
        assert engine.running == 1
        response.close()
    await node_testbed.wait_until(lambda: engine.running == 0, 0.5)


@pytest.mark.parametrize("node", [0, 1])
@pytest.mark.parametrize("name", ["big/a2", "other", "other/a1"])
async def test_loads_the_requested_copy(
    testbed: node_testbed.NodeTestbed, node: int, name: str
) -> None:
    headers = {"X-Model": name, "X-Token-Counts": "10,10"}
    async with testbed.call("/chat/x", node, headers=headers) as response:
        assert response.status == 200
        assert (await response.read()).count(b"data") == 5
    orders = testbed.engines[0].orders + testbed.engines[1].orders
    assert {order["holder"] for order in orders} <= {"n0", "n1"}
    assert all(order["fencing_token"] > 0 for order in orders)
    assert all("expected" in order for order in orders)
    for engine in testbed.engines:
        _check_capacity(engine)


async def test_keeps_within_memory_and_adapter_slots(
    testbed: node_testbed.NodeTestbed,
) -> None:
    names = [f"{model}/a{n}" for model in ("big", "small") for n in (1, 2, 3)]

    async def request(number: int, name: str) -> int:
        headers = {
            "X-Request-Id": f"r{number}",
            "X-Model": name,
            "X-Token-Counts": "10,10",
        }
        async with testbed.call("/chat/x", number % 2, headers=headers) as got:
            await got.read()
            return got.status

    statuses = await asyncio.gather(
        *(request(number, name) for number, name in enumerate(names * 2))
    )
    assert statuses.count(200) >= 6
    for engine in testbed.engines:
        _check_capacity(engine)


async def test_sends_nothing_to_a_leaving_upstream(
    testbed: node_testbed.NodeTestbed,
) -> None:
    testbed.plain[0].state = "draining"
    testbed.register(testbed.plain[0])
    testbed.store.delete("servers/p2")
    node = testbed.programs[0].node
    assert node is not None
    await node_testbed.wait_until(
        lambda: "p2" not in node.components.inventory.instances
    )
    async with testbed.call(READ) as response:
        assert response.status == 503
    assert not testbed.plain[0].arrivals + testbed.plain[1].arrivals


async def test_serves_on_while_the_store_is_down(
    testbed: node_testbed.NodeTestbed,
) -> None:
    testbed.store.faults.is_down = True
    await asyncio.sleep(0.5)
    async with testbed.call(READ) as response:
        assert response.status == 200
    testbed.store.faults.is_down = False


async def test_ignores_invalid_registrations(
    testbed: node_testbed.NodeTestbed,
) -> None:
    testbed.store.put("servers/x1", b"\xff\xfe not json")
    testbed.store.put("servers/x2", {"service_name": 7})
    entry = testbed.plain[0].describe()
    testbed.store.put("servers/x3", {**entry, "state": "dancing"})
    await asyncio.sleep(0.3)
    node = testbed.programs[0].node
    assert node is not None
    assert not {"x1", "x2", "x3"} & node.components.inventory.instances.keys()
    async with testbed.call(READ) as response:
        assert response.status == 200


@pytest.mark.parametrize(
    "change",
    [
        (b'"slots": 4', b'"slots": 1e999'),
        (b'"born": ', b'"born": 1e999, "was": '),
        (b'"models": []', b'"models": [{"name": "m", "version": 1e999}]'),
        (b'"models": []', b'"models": ' + b"[" * 50_000),
        (b'"address": "', b'"address": "127.0.0.1:99999", "was": "'),
        (b'"address": "', b'"address": "127.0.0.1:0", "was": "'),
    ],
)
async def test_an_odd_entry_stops_no_news_of_the_others(
    testbed: node_testbed.NodeTestbed, change: tuple[bytes, bytes]
) -> None:
    leaving, *_ = testbed.plain
    entry = json.dumps(leaving.describe()).encode()
    odd = entry.replace(*change)
    assert odd != entry
    testbed.store.put("servers/odd", odd)
    leaving.state = "draining"
    testbed.register(leaving)
    for program in testbed.programs:
        node = program.node
        assert node is not None
        inventory = node.components.inventory
        await node_testbed.wait_until(
            lambda inventory=inventory: (  # type: ignore[misc]
                inventory.find_usable(leaving.id) is None
            ),
            seconds=2,
        )
        assert "odd" not in inventory.instances


@pytest.mark.parametrize(
    ("headers", "data", "status"),
    [
        ({"X-Deadline-Ms": "soon"}, b"", 400),
        ({"X-Deadline-Ms": "inf"}, b"", 400),
        ({"X-Model": "big", "X-Token-Counts": "many"}, b"", 400),
        ({"X-Model": "big", "X-Token-Counts": "9" * 400 + ",1"}, b"", 400),
        ({"X-Model": "big", "X-Token-Counts": "-1,1"}, b"", 400),
        ({}, b"x" * 100_001, 413),
        ({"X-Padding": "x" * 20_000}, b"", 431),
    ],
)
async def test_refuses_bad_requests(
    testbed: node_testbed.NodeTestbed,
    headers: dict[str, str],
    data: bytes,
    status: int,
) -> None:
    async with testbed.call(READ, headers=headers, data=data) as response:
        assert response.status == status
    assert not testbed.plain[0].arrivals + testbed.plain[1].arrivals


async def test_refuses_ambiguous_framing(
    testbed: node_testbed.NodeTestbed,
) -> None:
    host, port = testbed.programs[0].settings.front_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /read/x HTTP/1.1\r\nHost: api.example\r\n"
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\nGET /write/smuggled HTTP/1.1\r\nHost: api.example\r\n\r\n"
    )
    answer = await reader.read(64)
    writer.close()
    assert answer.split()[1] == b"400"
    assert not testbed.plain[0].arrivals + testbed.plain[1].arrivals


async def test_stops_gracefully(testbed: node_testbed.NodeTestbed) -> None:
    engine = testbed.engines[0]
    engine.events, engine.event_seconds = 10, 0.1
    async with testbed.call("/chat/x", headers=MODEL) as response:
        await response.content.readany()
        testbed.programs[0].stopped.set()
        await asyncio.sleep(0.05)
        assert (await testbed.get(1, "/ready"))[0] == 503
        _, body = await testbed.get(2, "/resolve?name=x")
        first = testbed.programs[0].settings.front_address
        assert first not in json.loads(body)["addresses"]
        async with testbed.call(READ) as late:
            assert late.status == 200
            assert late.headers["Connection"] == "close"
        rest = await response.read()
    assert rest.count(b"data") >= 8
    await asyncio.wait_for(testbed.tasks[0], 3)


async def test_another_node_takes_over_orders(
    testbed: node_testbed.NodeTestbed,
) -> None:
    first = next(
        number
        for number, program in enumerate(testbed.programs)
        if node_testbed.can_order(program)
    )
    testbed.programs[first].stopped.set()
    other = testbed.programs[1 - first]
    await node_testbed.wait_until(lambda: node_testbed.can_order(other), 6)
    headers = {"X-Model": "other", "X-Token-Counts": "10,10"}
    async with testbed.call("/chat/x", 1 - first, headers=headers) as response:
        assert response.status == 200
    fences = [
        order["fencing_token"]
        for engine in testbed.engines
        for order in engine.orders
    ]
    assert fences == sorted(fences)


def _get_version(testbed: node_testbed.NodeTestbed) -> int:
    node = testbed.programs[0].node
    assert node is not None, "not started"
    configuration = node.forwarder.configuration
    return configuration.version if configuration else 0


def _check_capacity(engine: node_upstreams.UpstreamStandin) -> None:
    adapters = sum(len(names) for names in engine.models.values())
    assert adapters <= 2, f"{engine.id}: {engine.models}"
    assert 40 * len(engine.models) + adapters <= 100


async def test_refuses_a_request_that_crashes_upstreams(
    testbed: node_testbed.NodeTestbed,
) -> None:
    node = testbed.programs[0].node
    assert node is not None
    for upstream in testbed.plain:
        upstream.mode = "reset"
    for death in range(3):
        async with testbed.call("/write/item", data=b"poison") as response:
            assert response.status == 502
        for upstream in testbed.plain:
            entry = {**upstream.describe(), "born": 100 + death}
            testbed.store.put(f"servers/{upstream.id}", entry)
        await node_testbed.wait_until(
            lambda born=100 + death: all(  # type: ignore[misc]
                node.components.inventory.instances[name].born == born
                for name in ("p1", "p2")
            )
        )
    for upstream in testbed.plain:
        upstream.mode = "ok"
    async with testbed.call("/write/item", data=b"poison") as response:
        assert response.status == 503
    other = testbed.programs[1].node
    assert other is not None
    await node_testbed.wait_until(
        lambda: any(
            len(record.open_deaths) == 3
            for record in other.components.suspects.records.values()
        )
    )
    async with testbed.call("/write/item", 1, data=b"poison") as response:
        assert response.status == 503
    async with testbed.call("/write/item", data=b"harmless") as response:
        assert response.status == 200


async def test_logs_why_an_engine_reports_no_state(
    testbed: node_testbed.NodeTestbed, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO, "upstreams")
    node = testbed.programs[0].node
    assert node is not None
    engine = node.components.inventory.instances["e1"]
    unreachable = dataclasses.replace(engine, address="127.0.0.1:1")
    client = upstream_client.UpstreamClient(testbed.programs[0].clock)
    assert await client.fetch_report(unreachable) is None
    await client.close()
    fields = [vars(record) for record in caplog.records]
    assert any(entry.get("instance") == "e1" for entry in fields)
