"""What becomes of requests that are under way when a node is told to stop."""

import asyncio
import contextlib
import logging

import pytest

from cicadahook.core import errors
from cicadahook.core import exchange
import node_world


class DiscardingSink:
    """A caller's connection whose answer nobody reads."""

    def __init__(self, *, is_connected: bool) -> None:
        self.is_connected = is_connected

    async def answer(self, head: exchange.AnswerHead, body: bytes) -> None:
        """Discard a whole answer."""

    async def refuse(self, refusal: errors.RefusalError) -> None:
        """Discard a refusal."""

    async def begin(self, head: exchange.AnswerHead) -> None:
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
    request = exchange.CallerRequest(
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
