"""Tests requests that are in progress when a node is asked to stop."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import datetime
import logging
import os
import pathlib
import signal
from typing import Any

import aiohttp
import pytest

from cicadahook.core import errors
from cicadahook.core import forwarding
from cicadahook.net import node as node_lib
import node_process
import node_testbed

# The nodes accept requests for 0.9 s after a stop signal and finish them until
# 1.67 s after it.
LOADED = {"X-Model": "big", "X-Token-Counts": "10,10"}
READ = "/read/item"
NOT_LOADED = {"X-Model": "other", "X-Token-Counts": "10,10"}


CALL = {"Host": "api.example", "X-Request-Id": "r1"}


@contextlib.asynccontextmanager
async def run_process(
    platform: node_testbed.NodeTestbed, folder: pathlib.Path
) -> AsyncIterator[node_process.NodeProcess]:
    """Run a node as a process, which the test must tell to stop."""
    port = int(platform.store_address.rsplit(":", 1)[1]) + 10
    process = node_process.NodeProcess(
        "n1",
        node_process.create_host(port, 1),
        port,
        platform.store_address,
        folder,
    )
    try:
        await process.start(platform.session)
        yield process
    finally:
        code = await process.wait()
    assert code == 0


def create_slow_loads(seconds: float) -> dict[str, Any]:
    """Return version 2 of the configuration, with models that load slowly.

    Args:
        seconds: load time of each model.
    """
    slow = node_testbed.create_configuration(2)
    for model in slow["services"][1]["inference_engine"]["models"]:
        model["load_time_s"] = seconds
    for route in slow["routes"]:
        route["timeout_ms"] = 6000
    return slow


async def use_slow_loads(
    testbed: node_testbed.NodeTestbed, seconds: float
) -> node_lib.Node:
    """Apply a configuration with slow loads to the first node and return it."""
    node = testbed.programs[0].node
    assert node is not None
    testbed.store.put("op/config", create_slow_loads(seconds))
    await node_testbed.wait_until(lambda: _get_version(node) == 2)
    return node


def observe(
    testbed: node_testbed.NodeTestbed, route: str, seconds: float = 0.05
) -> None:
    """Let the first node have seen how long requests of a route take."""
    node = testbed.programs[0].node
    assert node is not None
    took = datetime.timedelta(seconds=seconds)
    node.forwarder.drain.durations.record(route, took)


class DiscardingSink:
    """Sink of a caller that discards its answer."""

    def __init__(self, *, is_connected: bool) -> None:
        self.is_connected = is_connected

    async def answer(self, head: forwarding.AnswerHead, body: bytes) -> None:
        """Discard a whole answer."""

    async def refuse(self, refusal: errors.RefusalError) -> None:
        """Discard a refusal."""

    async def begin(self, head: forwarding.AnswerHead) -> None:
        """Discard the head of a stream."""

    async def send(self, data: bytes) -> None:
        """Discard a part of a stream."""

    async def finish(self) -> None:
        """Discard the end of a stream."""

    def abort(self) -> None:
        """Leave the stream without an end."""


@pytest.mark.parametrize(
    ("is_connected", "outcome"), [(True, "cut_off"), (False, "caller_left")]
)
async def test_logs_who_ended_a_request(
    testbed: node_testbed.NodeTestbed,
    caplog: pytest.LogCaptureFixture,
    is_connected: bool,
    outcome: str,
) -> None:
    caplog.set_level(logging.INFO, "forwarder")
    for upstream in testbed.plain:
        upstream.mode = "hang"
    node = testbed.programs[0].node
    assert node is not None
    request = forwarding.CallerRequest(
        "r1", "POST", "api.example", "/write/x", (), b"", node.clock.now()
    )
    serving = asyncio.create_task(
        node.forwarder.serve(request, DiscardingSink(is_connected=is_connected))
    )
    await node_testbed.wait_until(
        lambda: bool(testbed.plain[0].running + testbed.plain[1].running)
    )
    serving.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await serving
    (fields,) = [
        vars(record)
        for record in caplog.records
        if vars(record).get("request_id") == "r1"
    ]
    assert fields["outcome"] == outcome
    assert fields["instance"] in ("p1", "p2")


async def test_a_stopping_node_begins_no_stream_that_it_would_cut_off(
    testbed: node_testbed.NodeTestbed,
) -> None:
    """The copy is loaded after the node stops accepting requests."""
    await use_slow_loads(testbed, 1.2)
    observe(testbed, "chat")
    for engine in testbed.engines:
        engine.events, engine.event_seconds = 10, 0.2
    testbed.programs[0].stopped.set()
    async with testbed.call("/chat/x", headers=NOT_LOADED) as response:
        assert response.status == 503
        assert float(response.headers["Retry-After"]) >= 0
    assert not testbed.engines[0].arrivals + testbed.engines[1].arrivals


async def test_a_stopping_process_answers_what_waits_for_a_copy(
    platform: node_testbed.NodeTestbed, tmp_path: pathlib.Path
) -> None:
    """The wait ends with the drain, whatever the grace period is."""
    platform.store.put("op/config", create_slow_loads(5.0))
    async with run_process(platform, tmp_path) as process:
        async with platform.session.post(
            f"http://{process.front_address}/chat/x", headers={**CALL, **LOADED}
        ) as response:
            assert response.status == 200
        process.terminate()
        async with platform.session.post(
            f"http://{process.front_address}/chat/x",
            headers={**CALL, **NOT_LOADED},
        ) as response:
            assert response.status == 503


async def test_a_request_for_a_missing_model_does_not_wait_at_a_stopping_node(
    testbed: node_testbed.NodeTestbed,
) -> None:
    """Another node may serve it; this one accepts requests for 0.9 s."""
    await use_slow_loads(testbed, 5.0)
    observe(testbed, "chat")
    testbed.programs[0].stopped.set()
    async with asyncio.timeout(0.6):
        async with testbed.call("/chat/x", headers=NOT_LOADED) as response:
            assert response.status == 503
            assert float(response.headers["Retry-After"]) == 0


async def test_a_stopping_process_answers_what_an_upstream_holds(
    platform: node_testbed.NodeTestbed, tmp_path: pathlib.Path
) -> None:
    async with run_process(platform, tmp_path) as process:
        url = f"http://{process.front_address}/write/item"
        async with platform.session.post(url, headers=CALL) as response:
            assert response.status == 200
        for upstream in platform.plain:
            upstream.mode = "hang"
        process.terminate()
        await asyncio.sleep(0.5)
        async with platform.session.post(url, headers=CALL) as response:
            assert response.status in (502, 504)


async def test_a_stopping_process_exits_in_time_with_an_unfinished_body(
    platform: node_testbed.NodeTestbed, tmp_path: pathlib.Path
) -> None:
    """The process is killed 2 s after the signal."""

    async with run_process(platform, tmp_path) as process:
        process.terminate()
        with contextlib.suppress(aiohttp.ClientError):
            async with platform.session.post(
                f"http://{process.front_address}/write/item",
                headers=CALL,
                data=send_forever(),
            ):
                pass


async def test_a_process_that_gets_repeated_signals_exits_cleanly(
    platform: node_testbed.NodeTestbed, tmp_path: pathlib.Path
) -> None:
    """Further signals may arrive while the process closes everything."""
    async with run_process(platform, tmp_path) as process:
        process.terminate()
        assert process.child is not None
        while process.child.returncode is None:
            # `send_signal` of the child could take the exit code from the event
            # loop.
            with contextlib.suppress(ProcessLookupError):  # It has just ended.
                os.kill(process.child.pid, signal.SIGTERM)
            await asyncio.sleep(0.001)


async def test_a_body_that_ends_after_the_node_stops_accepting_is_not_run(
    testbed: node_testbed.NodeTestbed,
) -> None:
    async def send_slowly() -> AsyncIterator[bytes]:
        yield b"begin"
        await asyncio.sleep(1.1)
        yield b"end"

    observe(testbed, "write")
    testbed.programs[0].stopped.set()
    async with testbed.call("/write/item", data=send_slowly()) as response:
        assert response.status == 503
    assert not testbed.plain[0].arrivals + testbed.plain[1].arrivals


async def test_a_stopping_node_refuses_streams_that_last_too_long(
    testbed: node_testbed.NodeTestbed,
) -> None:
    """The stream takes 1.5 s, and the node ends in 1.17 s."""
    engine = testbed.engines[0]
    engine.events, engine.event_seconds = 10, 0.15
    async with testbed.call("/chat/x", headers=LOADED) as response:
        await response.read()
    testbed.programs[0].stopped.set()
    await asyncio.sleep(0.5)
    async with testbed.call("/chat/x", headers=LOADED) as response:
        assert response.status == 503
        assert float(response.headers["Retry-After"]) >= 0
    assert len(engine.arrivals) == 1


@pytest.mark.parametrize(
    ("route", "durations", "expected"),
    [
        pytest.param("write", [0.05] * 50, 200, id="all short"),
        pytest.param("write", [0.05] * 97 + [1.7] * 3, 503, id="long tail"),
        pytest.param("write", [], 503, id="none observed"),
        pytest.param("read", [0.05] * 97 + [1.7] * 3, 200, id="repeatable"),
        pytest.param("read", [], 200, id="repeatable, none observed"),
    ],
)
async def test_a_stopping_node_begins_nothing_that_it_may_have_to_cut(
    testbed: node_testbed.NodeTestbed,
    route: str,
    durations: list[float],
    expected: int,
) -> None:
    """The node ends in 1.8 s; requests may take 2 s."""
    for seconds in durations:
        observe(testbed, route, seconds)
    testbed.programs[0].stopped.set()
    await asyncio.sleep(0.2)
    async with testbed.call(f"/{route}/item") as response:
        assert response.status == expected
    arrivals = [each for up in testbed.plain for each in up.arrivals]
    assert len(arrivals) == (expected == 200)


async def test_a_stopping_node_expects_what_requests_in_progress_take(
    testbed: node_testbed.NodeTestbed,
) -> None:
    """Upstreams have turned slow: none of the long requests has ended yet."""
    observe(testbed, "write")
    for upstream in testbed.plain:
        upstream.mode = "hang"
    hanging = asyncio.create_task(_fetch_status(testbed, "/write/item"))
    await asyncio.sleep(1.0)
    testbed.programs[0].stopped.set()
    await asyncio.sleep(0.6)
    async with testbed.call(
        "/write/item", headers={"X-Request-Id": "r2"}
    ) as response:
        assert response.status == 503
    assert await hanging == 504


async def test_a_stopping_node_still_serves_streams_that_end_in_time(
    testbed: node_testbed.NodeTestbed,
) -> None:
    """The stream takes 1 s, and the node ends in 1.57 s."""
    engine = testbed.engines[0]
    engine.events, engine.event_seconds = 10, 0.1
    async with testbed.call("/chat/x", headers=LOADED) as response:
        await response.read()
    testbed.programs[0].stopped.set()
    await asyncio.sleep(0.1)
    async with testbed.call("/chat/x", headers=LOADED) as response:
        assert response.status == 200
        assert (await response.read()).count(b"data") == 10


async def test_a_stopping_node_starts_no_retry_after_a_rejection(
    testbed: node_testbed.NodeTestbed,
) -> None:
    """The other copy is loaded after the node stops accepting requests."""
    await use_slow_loads(testbed, 1.2)
    observe(testbed, "chat")
    testbed.engines[0].mode = "full"
    testbed.engines[1].events, testbed.engines[1].event_seconds = 10, 0.2
    testbed.programs[0].stopped.set()
    async with testbed.call("/chat/x", headers=LOADED) as response:
        assert response.status == 503
    assert not testbed.engines[1].arrivals


async def test_a_stopping_node_never_reports_not_run_for_what_may_have_run(
    testbed: node_testbed.NodeTestbed,
) -> None:
    """The first attempt fails, and a second one would end after the node."""
    node = testbed.programs[0].node
    assert node is not None
    node.forwarder.drain.durations.record("read", datetime.timedelta(seconds=2))
    for upstream in testbed.plain:
        upstream.mode = "reset"
    calling = asyncio.create_task(_fetch_status(testbed, READ))
    await node_testbed.wait_until(
        lambda: bool(testbed.plain[0].arrivals + testbed.plain[1].arrivals)
    )
    testbed.programs[0].stopped.set()
    assert await calling == 502
    assert len(testbed.plain[0].arrivals + testbed.plain[1].arrivals) == 1


async def test_a_stopping_node_resumes_a_stream_that_has_begun(
    testbed: node_testbed.NodeTestbed,
) -> None:
    node = testbed.programs[0].node
    assert node is not None
    first, second = testbed.engines
    first.events = second.events = 8
    first.event_seconds, first.cut_after = 0.1, 4
    async with testbed.call("/review/x", headers=LOADED) as response:
        begun = await response.content.readany()
        second.models["big"] = set()
        testbed.register(second)
        await node_testbed.wait_until(
            lambda: node.components.inventory.instances["e2"].holds("big")
        )
        testbed.programs[0].stopped.set()
        rest = await response.read()
    assert (begun + rest).count(b"data") == 8


async def test_a_signal_ends_the_wait_of_requests_that_came_before(
    testbed: node_testbed.NodeTestbed,
) -> None:
    node = await use_slow_loads(testbed, 5.0)
    calling = asyncio.create_task(_fetch_status(testbed, "/chat/x", NOT_LOADED))
    await node_testbed.wait_until(
        lambda: bool(node.forwarder.drain.active_requests)
    )
    testbed.programs[0].stopped.set()
    async with asyncio.timeout(1.5):
        assert await calling == 503


async def test_a_stream_sent_before_the_signal_ends_in_full(
    testbed: node_testbed.NodeTestbed,
) -> None:
    """It ends 1.3 s after the signal, when no more requests are accepted."""
    engine = testbed.engines[0]
    engine.events, engine.event_seconds = 14, 0.1
    async with testbed.call("/chat/x", headers=LOADED) as response:
        first = await response.content.readany()
        testbed.programs[0].stopped.set()
        rest = await response.read()
    assert (first + rest).count(b"data") == 14


async def test_a_body_that_never_ends_is_answered_by_a_stopping_process(
    platform: node_testbed.NodeTestbed, tmp_path: pathlib.Path
) -> None:
    async with run_process(platform, tmp_path) as process:
        process.terminate()
        async with platform.session.post(
            f"http://{process.front_address}/write/item",
            headers=CALL,
            data=send_forever(),
        ) as response:
            assert response.status == 503
    assert not platform.plain[0].arrivals + platform.plain[1].arrivals


async def test_a_body_that_never_ends_is_refused_at_the_deadline(
    testbed: node_testbed.NodeTestbed,
) -> None:
    headers = {"X-Deadline-Ms": "400"}
    async with asyncio.timeout(1.5):
        async with testbed.call(
            "/write/item", headers=headers, data=send_forever()
        ) as response:
            assert response.status == 408
    assert not testbed.plain[0].arrivals + testbed.plain[1].arrivals


async def send_forever() -> AsyncIterator[bytes]:
    """Yield a body that never ends."""
    while True:
        yield b"x"
        await asyncio.sleep(0.1)


async def _fetch_status(
    testbed: node_testbed.NodeTestbed,
    path: str,
    headers: dict[str, str] | None = None,
) -> int:
    async with testbed.call(path, headers=headers or {}) as response:
        await response.read()
        return response.status


def _get_version(node: node_lib.Node) -> int:
    configuration = node.forwarder.configuration
    return configuration.version if configuration else 0
