"""Asks other nodes whether they can connect to an upstream.

It tells an upstream that has ended from one that only this node cannot reach.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import datetime
from typing import Final

import aiohttp
from aiohttp import web

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import inventory
from cicadahook.core import reachability as reachability_lib
from cicadahook.core import roster as roster_lib
from cicadahook.net import codec
from cicadahook.net import logs

PROBE_PATH: Final = "/probe"
# A connection to an upstream takes some milliseconds.
ASK_TIMEOUT: Final = datetime.timedelta(milliseconds=300)
MAX_ASKED: Final = 3

logger: Final = logs.create_logger("links")


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequest:
    """A node's question whether another one can connect to an upstream."""

    instance: str
    born: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Whether it can."""

    is_connected: bool


PROBE_REQUESTS: Final = codec.Codec(ProbeRequest, "peer")
PROBE_ANSWERS: Final = codec.Codec(ProbeAnswer, "peer")


class ProbeServer:
    """Probes upstreams for other nodes.

    Attributes:
        inventory: the registered upstreams.
        is_reached: returns whether this node can connect to an upstream.
    """

    def __init__(
        self,
        instances: inventory.Inventory,
        is_reached: Callable[[inventory.Instance], Awaitable[bool]],
    ) -> None:
        self.inventory = instances
        self.is_reached = is_reached

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one question."""
        try:
            asked = PROBE_REQUESTS.decode(await request.read())
        except codec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        instance = self.inventory.instances.get(asked.instance)
        is_connected = (
            instance is not None
            and instance.born == asked.born
            and await self.is_reached(instance)
        )
        return web.Response(
            body=PROBE_ANSWERS.encode(ProbeAnswer(is_connected))
        )


class ProbeClient:
    """Asks the nodes that may reach an upstream.

    Attributes:
        session: session for the calls.
        roster: the other nodes.
        reachability: what they have told of their links.
        clock: the time.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        nodes: roster_lib.Roster,
        reachability: reachability_lib.Reachability,
        clock: clock_lib.Clock,
    ) -> None:
        self.session = session
        self.roster = nodes
        self.reachability = reachability
        self.clock = clock

    async def is_reached_elsewhere(self, instance: inventory.Instance) -> bool:
        """Return whether another node can connect to an upstream."""
        return True in await self._ask_all(instance)

    async def is_gone(self, instance: inventory.Instance) -> bool:
        """Return whether other nodes say that they can't connect to it.

        False if none of them could be asked.
        """
        answers = await self._ask_all(instance)
        return False in answers and True not in answers

    async def _ask_all(self, instance: inventory.Instance) -> list[bool | None]:
        now = self.clock.now()
        peers = [
            status.node
            for name in self.reachability.list_helpers(instance, now)
            if (status := self.roster.find_recent(name, now)) is not None
        ]
        question = ProbeRequest(instance.id, instance.born)
        return await asyncio.gather(
            *(self._ask(peer, question) for peer in peers[:MAX_ASKED])
        )

    async def _ask(
        self, peer: roster_lib.NodeRecord, question: ProbeRequest
    ) -> bool | None:
        """Return a node's answer; None if it gave none."""
        try:
            async with self.session.post(
                f"http://{peer.peer_address}{PROBE_PATH}",
                data=PROBE_REQUESTS.encode(question),
                timeout=aiohttp.ClientTimeout(ASK_TIMEOUT.total_seconds()),
            ) as response:
                if response.status == 200:
                    answer = PROBE_ANSWERS.decode(await response.read())
                    return answer.is_connected
                reason = f"status {response.status}"
        except (aiohttp.ClientError, OSError, errors.CicadaError) as error:
            reason = repr(error)
        logger.info(
            "Node could not be asked for its link to an upstream.",
            extra={"peer": peer.name, "error": reason},
        )
        return None
