"""Binds streams to the software version that began them."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
import dataclasses
import datetime
import random
from typing import Final

import aiohttp
from aiohttp import web

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import inventory
from cicadahook.core import origin_records
from cicadahook.core import roster as roster_lib
from cicadahook.core import store_eras
from cicadahook.core import stream_origins
from cicadahook.core import version_records
from cicadahook.net import active_request
from cicadahook.net import codec
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import origin_recorder
from cicadahook.net import version_recorder

ORIGINS_PATH: Final = "/origins"
# A node that is heard answers within a few ms.
ASK_TIMEOUT: Final = datetime.timedelta(milliseconds=300)
# Each node has heard of nearly all streams, so a few are asked.
MAX_ASKED: Final = 8
RETRY_AFTER: Final = datetime.timedelta(milliseconds=500)

logger: Final = logs.create_logger("forwarder")


@dataclasses.dataclass(frozen=True, slots=True)
class OriginRequest:
    """A node's question which software version began a stream."""

    service: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OriginAnswer:
    """The version, if it is known."""

    is_known: bool
    software: str = ""


ORIGIN_REQUESTS: Final = codec.Codec(OriginRequest, "peer")
ORIGIN_ANSWERS: Final = codec.Codec(OriginAnswer, "peer")

AskPeers = Callable[[OriginRequest], Awaitable[str | None]]


class StreamResumption:
    """Finds out and records which version began a stream.

    Attributes:
        origins: what this node knows.
        ask_peers: asks other nodes; returns None if none knows.
        recorder: record of the versions in the store.
        recorders: the recorder and that of single streams, by the prefix of the
            keys in the store that each keeps.
        clock: the time.
        random: draws when refused callers should return.
        node: name of the node, for metrics.
    """

    def __init__(
        self,
        origins: stream_origins.StreamOrigins,
        ask_peers: AskPeers,
        recorder: version_recorder.VersionRecorder,
        clock: clock_lib.Clock,
        *,
        generator: random.Random,
        node: str,
    ) -> None:
        self.origins = origins
        self.ask_peers = ask_peers
        self.recorder = recorder
        self.recorders: dict[
            str,
            version_recorder.VersionRecorder | origin_recorder.OriginRecorder,
        ] = {
            version_records.RECORD_KEY: recorder,
            origin_records.KEY_PREFIX: origin_recorder.OriginRecorder(recorder),
        }
        self.clock = clock
        self.random = generator
        self.node = node

    def apply_era(self, change: store_eras.EraChange) -> None:
        """Give up what rests on another era of the store."""
        del change
        for recorder in self.recorders.values():
            recorder.apply_era()

    async def prepare(self, active: active_request.ActiveRequest) -> None:
        """Bind a request that resumes a stream to the version that began it.

        Raises:
            errors.RefusalError: the version is not known.
        """
        request = active.request
        if not request.last_event_id:
            return
        service = active.service.name
        software = self.origins.find(service, request.resumed_id)
        source = "own"
        if software is None:
            source = "peers"
            software = await self.ask_peers(
                OriginRequest(service, request.resumed_id)
            )
        if software is None:
            source = "store"
            software = await self.recorder.find_only(service)
        metrics.count_resumption(
            "unknown" if software is None else source, self.node
        )
        logger.info(
            "Stream is resumed by its caller.",
            extra={
                "request_id": request.id,
                "resumed_id": request.resumed_id,
                "software": software,
                "source": source,
            },
        )
        if software is None:
            raise active_request.create_refusal(
                "unknown_origin",
                503,
                RETRY_AFTER * self.random.uniform(0.7, 1.3),
            )
        active.required_software = software

    def accepts(
        self,
        active: active_request.ActiveRequest,
        instance: inventory.Instance,
    ) -> bool:
        """Whether the software of an upstream may run a request.

        A stream that may be resumed begins only where the store tells of the
        version.
        """
        if (
            active.required_software is not None
            or not active.route.is_resumable
        ):
            return active.accepts(instance)
        return self.recorder.records.may_begin(instance)

    def record_begin(
        self,
        active: active_request.ActiveRequest,
        instance: inventory.Instance,
    ) -> None:
        """Record that an upstream begins to answer with a stream."""
        active.required_software = instance.software
        if active.route.is_resumable:
            self.origins.record_begin(
                instance, active.request.id, self.clock.now()
            )


class OriginServer:
    """Answers other nodes' questions which version began a stream."""

    def __init__(self, origins: stream_origins.StreamOrigins) -> None:
        self.origins = origins

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one question."""
        try:
            asked = ORIGIN_REQUESTS.decode(await request.read())
        except codec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        software = self.origins.find(asked.service, asked.request_id)
        answer = OriginAnswer(software is not None, software or "")
        return web.Response(body=ORIGIN_ANSWERS.encode(answer))


class OriginClient:
    """Asks other nodes which version began a stream.

    Attributes:
        session: session for the calls.
        list_peers: returns the nodes that are heard.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        list_peers: Callable[[], Iterable[roster_lib.NodeRecord]],
    ) -> None:
        self.session = session
        self.list_peers = list_peers

    async def ask(self, question: OriginRequest) -> str | None:
        """Return the version that the first node to know it names, or None."""
        peers = list(self.list_peers())[:MAX_ASKED]
        calls = [
            asyncio.create_task(self._ask_one(peer, question)) for peer in peers
        ]
        try:
            for call in asyncio.as_completed(calls):
                answer = await call
                if answer.is_known:
                    return answer.software
        finally:
            for task in calls:
                task.cancel()
        return None

    async def _ask_one(
        self, peer: roster_lib.NodeRecord, question: OriginRequest
    ) -> OriginAnswer:
        try:
            async with self.session.post(
                f"http://{peer.peer_address}{ORIGINS_PATH}",
                data=ORIGIN_REQUESTS.encode(question),
                timeout=aiohttp.ClientTimeout(ASK_TIMEOUT.total_seconds()),
            ) as response:
                if response.status == 200:
                    return ORIGIN_ANSWERS.decode(await response.read())
                reason = f"status {response.status}"
        except (aiohttp.ClientError, OSError, errors.CicadaError) as error:
            reason = repr(error)
        logger.info(
            "Node could not be asked for the origin of a stream.",
            extra={"peer": peer.name, "error": reason},
        )
        return OriginAnswer(is_known=False)
