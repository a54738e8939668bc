"""HTTP API between controls, which serves heads and pages of the table."""

import asyncio
import datetime
from typing import Final

import aiohttp
from aiohttp import web

from cicadahook.net import datagram_auth
from cicadahook.net import logs
from cicadahook.net import table_store

SEAL_HEADER: Final = "X-Cicada-Seal"
CALL_TIMEOUT: Final = datetime.timedelta(seconds=1)
BODY_BYTES: Final = 4 * 1024 * 1024

logger: Final = logs.create_logger("peers")


class PeerApi:
    """Serves the table in force to other controls and fetches theirs."""

    def __init__(
        self,
        store: table_store.TableStore,
        sealer: datagram_auth.Sealer,
        session: aiohttp.ClientSession,
    ) -> None:
        self.store = store
        self.sealer = sealer
        self.session = session

    def install(self, app: web.Application) -> None:
        """Add the routes to `app`."""
        app.router.add_get("/peer/head", self.show_head)
        app.router.add_get("/peer/pages/{name}", self.show_page)

    async def show_head(self, request: web.Request) -> web.Response:
        """Respond with the head in force, sealed."""
        return self._answer(request, self.store.dump_head())

    async def show_page(self, request: web.Request) -> web.Response:
        """Respond with a page of the table in force, sealed."""
        content = self.store.find_page(request.match_info["name"])
        if content is None:
            raise web.HTTPNotFound(reason="no such page in force")
        return self._answer(request, content)

    def _answer(self, request: web.Request, content: str) -> web.Response:
        """Return a response with `content` sealed for the requesting member."""
        try:
            data = bytes.fromhex(request.headers.get(SEAL_HEADER, ""))
            envelope = self.sealer.open(data)
        except ValueError as error:
            raise web.HTTPForbidden(reason="bad seal") from error
        except datagram_auth.SealError as error:
            raise web.HTTPForbidden(reason=str(error)) from error
        is_meant = envelope.kind is datagram_auth.BodyKind.REQUEST
        if not is_meant or envelope.body != request.path.encode():
            raise web.HTTPForbidden(reason="sealed for another path")
        return web.Response(
            body=self._seal(
                datagram_auth.BodyKind.ANSWER, envelope.sender, content.encode()
            )
        )

    async def fetch(self, peer: str, path: str) -> str:
        """Return the response of `peer` to a GET of `path`.

        Raises:
            table_store.PeerError: the peer did not answer, or the answer is
                not from this peer.
        """
        request = self._seal(
            datagram_auth.BodyKind.REQUEST, peer, path.encode()
        )
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT.total_seconds())
        try:
            async with self.session.get(
                f"http://{peer}{path}",
                headers={SEAL_HEADER: request.hex()},
                timeout=timeout,
            ) as response:
                response.raise_for_status()
                envelope = self.sealer.open(await response.read())
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            datagram_auth.SealError,
        ) as error:
            raise table_store.PeerError(f"{peer}{path}: {error!r}") from error
        if (
            envelope.kind is not datagram_auth.BodyKind.ANSWER
            or envelope.sender != peer
        ):
            raise table_store.PeerError(f"{peer}{path}: answer of another")
        return envelope.body.decode()

    def _seal(
        self, kind: datagram_auth.BodyKind, recipient: str, body: bytes
    ) -> bytes:
        """Return `body` sealed as one part."""
        return next(self.sealer.seal(kind, recipient, body, BODY_BYTES))
