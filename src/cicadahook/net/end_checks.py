"""Checks answers that end with their connection; see `core.answer_ends`."""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Iterator
import contextlib
import datetime
import functools
from typing import Final

import aiohttp

from cicadahook.core import answer_ends
from cicadahook.core import forwarding
from cicadahook.net import answer_protocol
from cicadahook.net import logs
from cicadahook.net import metrics

CONNECT_TIMEOUT: Final = datetime.timedelta(milliseconds=500)
# How soon a witness that was lost is replaced.
HOLD_PERIOD: Final = datetime.timedelta(milliseconds=200)

EndCheck = Callable[[datetime.datetime], Awaitable[None]]

logger: Final = logs.create_logger("connections")


class Witness(asyncio.Protocol):
    """A connection on which nothing is sent, which shows when others are lost.

    Attributes:
        address: `host:port` of the upstream.
        connections: the connections to the upstreams, of which it is one.
        opened: when it was opened.
        transport: the connection; None when it has ended.
        is_closed: whether this side has closed it.
        was_rejected: whether the upstream has reset it at once.
    """

    def __init__(
        self, address: str, connections: answer_ends.UpstreamConnections
    ) -> None:
        self.address = address
        self.connections = connections
        self.opened = connections.clock.now()
        self.transport: asyncio.BaseTransport | None = None
        self.is_closed = self.was_rejected = False

    @property
    def is_watched(self) -> bool:
        """Whether it is open, and its end would be noticed at once."""
        return self.transport is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self.transport = transport
        self.connections.add(self.address, self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss, unless this side has closed the connection."""
        self.transport = None
        self.was_rejected = exc is not None and self.connections.is_new(self)
        is_lost = not self.is_closed and not self.was_rejected
        self.connections.remove(
            self.address, self, answer_ends.Loss.IDLE if is_lost else None
        )

    def close(self) -> None:
        """Close the connection."""
        self.is_closed = True
        if self.transport is not None:
            self.transport.close()


class EndChecker:
    """Checks that answers which ended with their connection are whole.

    Attributes:
        connections: the connections to the upstreams.
        node: name of the node, for metrics.
        holders: running answers that end so, by address of the upstream.
        tasks: hold a witness for them.
    """

    def __init__(
        self, connections: answer_ends.UpstreamConnections, node: str = ""
    ) -> None:
        self.connections = connections
        self.node = node
        self.holders: collections.Counter[str] = collections.Counter()
        self.tasks: dict[str, asyncio.Task[None]] = {}

    @contextlib.contextmanager
    def watch(
        self, response: aiohttp.ClientResponse, address: str, request_id: str
    ) -> Iterator[EndCheck]:
        """Yield a check of an answer's end, for answers that end so.

        Meanwhile a connection is kept besides that of such an answer.

        Args:
            response: the answer.
            address: `host:port` of the upstream that gives it.
            request_id: id of the request, for the log.
        """
        check = functools.partial(self.check, address, request_id)
        body_end = answer_protocol.find_body_end(response)
        ends_with_connection = body_end is forwarding.BodyEnd.CLOSE
        if ends_with_connection:
            self._begin(address)
        try:
            yield check
        finally:
            if ends_with_connection:
                self._end(address)

    def _begin(self, address: str) -> None:
        self.holders[address] += 1
        if address not in self.tasks:
            self.tasks[address] = asyncio.create_task(self._hold(address))

    def _end(self, address: str) -> None:
        self.holders[address] -= 1
        if not self.holders[address]:
            del self.holders[address]
            self.tasks.pop(address).cancel()

    async def _hold(self, address: str) -> None:
        """Have a witness of an upstream until it accepts none.

        Connections of the pools don't serve: this node may use or drop them.
        """
        witness: Witness | None = None
        try:
            while witness is None or not witness.was_rejected:
                if witness is None or not witness.is_watched:
                    witness = await self._connect(address)
                    if witness is None:
                        return
                await asyncio.sleep(HOLD_PERIOD.total_seconds())
        finally:
            if witness is not None:
                witness.close()

    async def _connect(self, address: str) -> Witness | None:
        """Return a new connection to an upstream; None if it accepts none."""
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                _, witness = await loop.create_connection(
                    lambda: Witness(address, self.connections), host, int(port)
                )
        except OSError as error:
            logger.info(
                "Upstream accepts no connection behind an answer.",
                extra={"address": address, "error": repr(error)},
            )
            return None
        metrics.count_connection(self.node)
        return witness

    async def check(
        self, address: str, request_id: str, ended: datetime.datetime
    ) -> None:
        """Check that an answer is whole.

        Args:
            address: `host:port` of the upstream that gave it.
            request_id: id of the request, for the log.
            ended: when the connection of the answer ended.

        Raises:
            aiohttp.ClientPayloadError: that is not shown.
        """
        verdict = await self._find_verdict(address, ended)
        took = self.connections.clock.now() - ended
        metrics.count_end_check(str(verdict), self.node)
        logger.info(
            "End of an answer without a length checked.",
            extra={
                "request_id": request_id,
                "address": address,
                "verdict": str(verdict),
                "took_ms": int(took.total_seconds() * 1000),
            },
        )
        if verdict is not answer_ends.Verdict.WHOLE:
            raise aiohttp.ClientPayloadError(
                f"A body without a length ended; it may not be whole: {verdict}"
            )

    async def _find_verdict(
        self, address: str, ended: datetime.datetime
    ) -> answer_ends.Verdict:
        connections = self.connections
        if connections.has_witness(address, ended):
            await asyncio.sleep(answer_ends.MOMENT.total_seconds())
            verdict = connections.judge(address, ended)
            is_shown = connections.has_witness(address, ended)
            if is_shown or verdict is not answer_ends.Verdict.WHOLE:
                return verdict
        witness = await self._connect(address)
        if witness is None:
            return answer_ends.Verdict.UNREACHABLE
        try:
            # A proxy accepts connections to an upstream that is gone, and
            # closes them at once.
            await asyncio.sleep(answer_ends.MOMENT.total_seconds())
            if not witness.is_watched:
                return answer_ends.Verdict.UNREACHABLE
            return connections.judge(address, ended)
        finally:
            witness.close()
