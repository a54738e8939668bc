"""Pools HTTP connections to upstreams and probes upstreams.

The connections to an upstream are replaced when they go silent.
"""

import asyncio
from collections.abc import AsyncIterator, Collection
import contextlib
import dataclasses
import datetime
from typing import Final

import aiohttp

from cicadahook.core import errors
from cicadahook.core import view
from cicadahook.net import answer_protocol
from cicadahook.net import engine_client
from cicadahook.net import logs

PROBE_TIMEOUT: Final = datetime.timedelta(seconds=1)
SERVICE_HEALTH_PATH: Final = "/healthz"

logger: Final = logs.create_logger("connections")


@dataclasses.dataclass
class Pool:
    """The connections to one upstream.

    Attributes:
        session: session that holds the connections.
        last_byte_seconds: when one of them last received data, on the event
            loop's clock.
        active_calls: number of calls in progress.
        is_retired: whether new calls use another pool.
    """

    session: aiohttp.ClientSession
    last_byte_seconds: float = 0.0
    active_calls: int = 0
    is_retired: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """Result of a probe of an upstream.

    Attributes:
        is_alive: whether the upstream answered.
        is_leaving: whether it reported that it accepts no new requests.
        incarnation: its incarnation; empty if it does not report one.
    """

    is_alive: bool
    is_leaving: bool = False
    incarnation: str = ""


class UpstreamConnections:
    """Keeps one pool of connections for each upstream.

    Attributes:
        pools: pools by address.
        closing_tasks: tasks that close retired pools.
    """

    def __init__(self, fresh_session: aiohttp.ClientSession) -> None:
        self.fresh_session = fresh_session
        self.engines = engine_client.EngineClient(fresh_session)
        self.pools: dict[str, Pool] = {}
        self.closing_tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def use(self, address: str) -> AsyncIterator[Pool]:
        """Yield the pool of connections to `address`."""
        pool = self.pools.get(address)
        if pool is None:
            pool = Pool(
                answer_protocol.open_session(
                    timeout=aiohttp.ClientTimeout(total=None),
                    max_body_bytes=None,
                )
            )
            self.pools[address] = pool
        pool.active_calls += 1
        try:
            yield pool
        finally:
            pool.active_calls -= 1
            if pool.is_retired and not pool.active_calls:
                await pool.session.close()

    async def replace(self, address: str) -> None:
        """Retire the connections to `address`; new calls open new ones.

        Calls in progress keep the old connections, which close after the last
        of these calls.
        """
        pool = self.pools.pop(address, None)
        if pool is None:
            return
        pool.is_retired = True
        if not pool.active_calls:
            await pool.session.close()

    def retire_unlisted(self, addresses: Collection[str]) -> None:
        """Retire the pools of all upstreams that are not in `addresses`."""
        for address in self.pools.keys() - addresses:
            task = asyncio.create_task(self.replace(address))
            self.closing_tasks.add(task)
            task.add_done_callback(self.closing_tasks.discard)

    async def probe(self, upstream: view.Upstream) -> ProbeResult:
        """Probe `upstream` on a new connection."""
        if upstream.kind is view.UpstreamKind.SERVICE:
            return await self._probe_service(upstream.address)
        try:
            state = await self.engines.fetch_state(upstream.address)
        except errors.UpstreamError as error:
            logger.info("Upstream did not answer a probe: %s.", error)
            return ProbeResult(is_alive=False)
        is_leaving = state.state is view.UpstreamState.LEAVING
        return ProbeResult(True, is_leaving, state.incarnation)

    async def _probe_service(self, address: str) -> ProbeResult:
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT.total_seconds())
        try:
            async with self.fresh_session.get(
                f"http://{address}{SERVICE_HEALTH_PATH}", timeout=timeout
            ):
                return ProbeResult(is_alive=True)
        except (aiohttp.ClientError, TimeoutError) as error:
            logger.info("Service %s not seen: %r.", address, error)
            return ProbeResult(is_alive=False)

    async def close(self) -> None:
        """Close all connections."""
        for address in list(self.pools):
            await self.replace(address)
