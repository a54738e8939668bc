"""Tests requests that are in progress when a node is told to stop."""

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
import node_world

# The nodes accept requests for 0.9 s after a stop signal and finish them until
# 1.67 s after it.
LOADED = {"X-Model": "big", "X-Token-Counts": "10,10"}
READ = "/read/item"
NOT_LOADED = {"X-Model": "other", "X-Token-Counts": "10,10"}


CALL = {"Host": "api.example", "X-Request-Id": "r1"}


@contextlib.asynccontextmanager
async def run_process(
    platform: node_world.World, folder: pathlib.Path
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
    slow = node_world.create_configuration(2)
    for model in slow["services"][1]["inference_engine"]["models"]:
        model["load_time_s"] = seconds
    for route in slow["routes"]:
        route["timeout_ms"] = 6000
    return slow


async def use_slow_loads(
    world: node_world.World, seconds: float
) -> node_lib.Node:
    """Apply a configuration with slow loads to the first node and return it."""
    node = world.programs[0].node
    assert node is not None
    world.store.put("op/config", create_slow_loads(seconds))
    await node_world.wait_until(lambda: _get_version(node) == 2)
    return node


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

    def break_off(self) -> None:
        """Leave the stream without an end."""


@pytest.mark.parametrize(
    ("is_connected", "outcome"), [(True, "cut_off"), (False, "caller_left")]
)
async def test_logs_who_ended_a_request(
    world: node_world.World,
    caplog: pytest.LogCaptureFixture,
    is_connected: bool,
    outcome: str,
) -> None:
    caplog.set_level(logging.INFO, "forwarder")
    for upstream in world.plain:
        upstream.mode = "hang"
    node = world.programs[0].node
    assert node is not None
    request = forwarding.CallerRequest(
        "r1", "POST", "api.example", "/write/x", (), b"", node.clock.now()
    )
    serving = asyncio.create_task(
        node.forwarder.serve(request, DiscardingSink(is_connected=is_connected))
    )
    await node_world.wait_until(
        lambda: bool(world.plain[0].running + world.plain[1].running)
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
    world: node_world.World,
) -> None:
    """The copy is loaded after the node stops accepting requests."""
    await use_slow_loads(world, 1.2)
    for engine in world.engines:
        engine.events, engine.event_seconds = 10, 0.2
    world.programs[0].stopped.set()
    async with world.call("/chat/x", headers=NOT_LOADED) as response:
        assert response.status == 503
        assert float(response.headers["Retry-After"]) >= 0
    assert not world.engines[0].arrivals + world.engines[1].arrivals


async def test_a_stopping_process_answers_what_waits_for_a_copy(
    platform: node_world.World, tmp_path: pathlib.Path
) -> None:
    """The wait ends with the drain, whatever the grace period is."""
    platform.store.put("op/config", create_slow_loads(5.0))
    async with run_process(platform, tmp_path) as process:
        process.terminate()
        async with platform.session.post(
            f"http://{process.front_address}/chat/x",
            headers={**CALL, **NOT_LOADED},
        ) as response:
            assert response.status == 503


async def test_a_request_for_a_missing_model_does_not_wait_at_a_stopping_node(
    world: node_world.World,
) -> None:
    """Another node may serve it; this one accepts requests for 0.9 s."""
    await use_slow_loads(world, 5.0)
    world.programs[0].stopped.set()
    async with asyncio.timeout(0.6):
        async with world.call("/chat/x", headers=NOT_LOADED) as response:
            assert response.status == 503
            assert float(response.headers["Retry-After"]) == 0


async def test_a_stopping_process_answers_what_an_upstream_holds(
    platform: node_world.World, tmp_path: pathlib.Path
) -> None:
    for upstream in platform.plain:
        upstream.mode = "hang"
    async with run_process(platform, tmp_path) as process:
        process.terminate()
        await asyncio.sleep(0.5)
        async with platform.session.post(
            f"http://{process.front_address}/write/item", headers=CALL
        ) as response:
            assert response.status in (502, 504)


async def test_a_stopping_process_exits_in_time_with_a_body_on_its_way(
    platform: node_world.World, tmp_path: pathlib.Path
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


async def test_a_process_that_is_told_again_exits_well(
    platform: node_world.World, tmp_path: pathlib.Path
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


async def test_a_body_that_ends_after_the_node_takes_no_more_is_not_run(
    world: node_world.World,
) -> None:
    async def send_slowly() -> AsyncIterator[bytes]:
        yield b"begin"
        await asyncio.sleep(1.1)
        yield b"end"

    world.programs[0].stopped.set()
    async with world.call("/write/item", data=send_slowly()) as response:
        assert response.status == 503
    assert not world.plain[0].arrivals + world.plain[1].arrivals


async def test_a_stopping_node_refuses_streams_that_last_too_long(
    world: node_world.World,
) -> None:
    """The stream takes 1.5 s, and the node ends in 1.17 s."""
    engine = world.engines[0]
    engine.events, engine.event_seconds = 10, 0.15
    async with world.call("/chat/x", headers=LOADED) as response:
        await response.read()
    world.programs[0].stopped.set()
    await asyncio.sleep(0.5)
    async with world.call("/chat/x", headers=LOADED) as response:
        assert response.status == 503
        assert float(response.headers["Retry-After"]) >= 0
    assert len(engine.arrivals) == 1


async def test_a_stopping_node_still_serves_streams_that_end_in_time(
    world: node_world.World,
) -> None:
    """The stream takes 1 s, and the node ends in 1.57 s."""
    engine = world.engines[0]
    engine.events, engine.event_seconds = 10, 0.1
    async with world.call("/chat/x", headers=LOADED) as response:
        await response.read()
    world.programs[0].stopped.set()
    await asyncio.sleep(0.1)
    async with world.call("/chat/x", headers=LOADED) as response:
        assert response.status == 200
        assert (await response.read()).count(b"data") == 10


async def test_a_stopping_node_begins_nothing_anew_after_a_rejection(
    world: node_world.World,
) -> None:
    """The other copy is loaded after the node stops accepting requests."""
    await use_slow_loads(world, 1.2)
    world.engines[0].mode = "full"
    world.engines[1].events, world.engines[1].event_seconds = 10, 0.2
    world.programs[0].stopped.set()
    async with world.call("/chat/x", headers=LOADED) as response:
        assert response.status == 503
    assert not world.engines[1].arrivals


async def test_a_stopping_node_never_says_not_run_of_what_may_have_run(
    world: node_world.World,
) -> None:
    """The first attempt fails, and a second one would end after the node."""
    node = world.programs[0].node
    assert node is not None
    node.forwarder.drain.durations.note("read", datetime.timedelta(seconds=2))
    for upstream in world.plain:
        upstream.mode = "reset"
    calling = asyncio.create_task(_fetch_status(world, READ))
    await node_world.wait_until(
        lambda: bool(world.plain[0].arrivals + world.plain[1].arrivals)
    )
    world.programs[0].stopped.set()
    assert await calling == 502
    assert len(world.plain[0].arrivals + world.plain[1].arrivals) == 1


async def test_a_stopping_node_resumes_a_stream_that_has_begun(
    world: node_world.World,
) -> None:
    node = world.programs[0].node
    assert node is not None
    first, second = world.engines
    first.events = second.events = 8
    first.event_seconds, first.cut_after = 0.1, 4
    async with world.call("/review/x", headers=LOADED) as response:
        begun = await response.content.readany()
        second.models["big"] = set()
        world.register(second)
        await node_world.wait_until(
            lambda: node.components.inventory.instances["e2"].holds("big")
        )
        world.programs[0].stopped.set()
        rest = await response.read()
    assert (begun + rest).count(b"data") == 8


async def test_a_signal_ends_the_wait_of_requests_that_came_before(
    world: node_world.World,
) -> None:
    node = await use_slow_loads(world, 5.0)
    calling = asyncio.create_task(_fetch_status(world, "/chat/x", NOT_LOADED))
    await node_world.wait_until(
        lambda: bool(node.forwarder.drain.active_requests)
    )
    world.programs[0].stopped.set()
    async with asyncio.timeout(1.5):
        assert await calling == 503


async def test_a_stream_sent_before_the_signal_ends_in_full(
    world: node_world.World,
) -> None:
    """It ends 1.3 s after the signal, when no more requests are accepted."""
    engine = world.engines[0]
    engine.events, engine.event_seconds = 14, 0.1
    async with world.call("/chat/x", headers=LOADED) as response:
        first = await response.content.readany()
        world.programs[0].stopped.set()
        rest = await response.read()
    assert (first + rest).count(b"data") == 14


async def test_a_body_that_never_ends_is_answered_by_a_stopping_process(
    platform: node_world.World, tmp_path: pathlib.Path
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
    world: node_world.World,
) -> None:
    headers = {"X-Deadline-Ms": "400"}
    async with asyncio.timeout(1.5):
        async with world.call(
            "/write/item", headers=headers, data=send_forever()
        ) as response:
            assert response.status == 408
    assert not world.plain[0].arrivals + world.plain[1].arrivals


async def send_forever() -> AsyncIterator[bytes]:
    """Yield a body that never ends."""
    while True:
        yield b"x"
        await asyncio.sleep(0.1)


async def _fetch_status(
    world: node_world.World, path: str, headers: dict[str, str] | None = None
) -> int:
    async with world.call(path, headers=headers or {}) as response:
        await response.read()
        return response.status


def _get_version(node: node_lib.Node) -> int:
    configuration = node.forwarder.configuration
    return configuration.version if configuration else 0
