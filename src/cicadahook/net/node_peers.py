"""Calls between nodes over HTTP, and requests for copies among them."""

from collections.abc import Awaitable, Callable, Mapping
import dataclasses
import datetime
from typing import Final

import aiohttp
from aiohttp import web

from cicadahook.core import residency
from cicadahook.core import roster
from cicadahook.net import answer_protocol
from cicadahook.net import codec
from cicadahook.net import logs

CONNECT_TIMEOUT: Final = datetime.timedelta(milliseconds=500)
COPY_TIMEOUT: Final = datetime.timedelta(seconds=12)
COPIES_PATH: Final = "/copies"

logger: Final = logs.create_logger("peers")


@dataclasses.dataclass(frozen=True, slots=True)
class CopyRequest:
    """A node's request to the holder of orders for a copy.

    Attributes:
        service: name of the service.
        instance: id of the preferred engine; empty for none.
        model: name of the model.
        adapter: name of an adapter of it; empty for none.
        failed: engines that could not be reached or lack the copy.
        software: version of the engine's software; empty for any.
    """

    service: str
    instance: str
    model: str
    adapter: str
    failed: tuple[str, ...] = ()
    software: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CopyAnswer:
    """The engine that holds a copy; `instance` is empty if there is none."""

    instance: str
    reason: str = ""


COPY_REQUESTS: Final = codec.Codec(CopyRequest, "peer")
COPY_ANSWERS: Final = codec.Codec(CopyAnswer, "peer")


class PeerServer:
    """Passes calls of other nodes to their handlers by path."""

    def __init__(
        self,
        handlers: Mapping[
            str, Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
        ],
    ) -> None:
        self.handlers = handlers

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Pass on one call."""
        handler = self.handlers.get(request.path)
        if handler is None:
            return web.Response(status=404)
        return await handler(request)


class CopyServer:
    """Serves other nodes' requests for copies."""

    def __init__(
        self,
        ensure: Callable[
            [str, residency.CopyKey, frozenset[str], str],
            Awaitable[residency.CopyKey | None],
        ],
    ) -> None:
        self.ensure = ensure

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Load the requested copy and respond with its engine."""
        try:
            copy_request = COPY_REQUESTS.decode(await request.read())
        except codec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        key = residency.CopyKey(
            copy_request.instance, copy_request.model, copy_request.adapter
        )
        copy = await self.ensure(
            copy_request.service,
            key,
            frozenset(copy_request.failed),
            copy_request.software,
        )
        answer = CopyAnswer(copy.instance if copy else "")
        return web.Response(body=COPY_ANSWERS.encode(answer))


class CopyClient:
    """Requests copies from the holder of orders."""

    def __init__(self) -> None:
        self.session = answer_protocol.open_session(
            timeout=aiohttp.ClientTimeout(
                total=COPY_TIMEOUT.total_seconds(),
                sock_connect=CONNECT_TIMEOUT.total_seconds(),
            ),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def ask(
        self,
        holder: roster.NodeRecord,
        service: str,
        key: residency.CopyKey,
        failed: frozenset[str],
        software: str,
    ) -> residency.CopyKey | None:
        """Return the copy with its engine, or None if there is none."""
        copy_request = CopyRequest(
            service,
            key.instance,
            key.model,
            key.adapter,
            tuple(failed),
            software,
        )
        try:
            async with self.session.post(
                f"http://{holder.peer_address}{COPIES_PATH}",
                data=COPY_REQUESTS.encode(copy_request),
            ) as response:
                content = await response.read()
                if response.status != 200:
                    return None
                answer = COPY_ANSWERS.decode(content)
        except (aiohttp.ClientError, OSError, codec.DecodeError) as error:
            logger.info(
                "Copy request to the holder failed.",
                extra={"holder": holder.name, "error": repr(error)},
            )
            return None
        if not answer.instance:
            return None
        return residency.CopyKey(answer.instance, key.model, key.adapter)
