"""Draws the bytes that an upstream sends beside its answers."""

import asyncio
import collections
import random
from typing import Final

from aiohttp import web

import stray_upstream

IDLE_SECONDS: Final = (0.0, 0.3)
BEFORE, BETWEEN, AFTER, IDLE = "before", "between", "after", "idle"
PLACES: Final = (BEFORE, BETWEEN, AFTER, IDLE)


class StrayBytes:
    """Sends cut and whole answers that belong to no request in progress.

    Attributes:
        rng: generator to draw from.
        share: share of the answers beside which some stand.
        kinds: keys of `stray_upstream.STRAYS`.
        places: where they stand: `BEFORE` an answer, `BETWEEN` the events of a
            stream, right `AFTER` an answer, or on an `IDLE` connection.
        is_cut: whether a random end of each is missing.
        last_ids: id of the last request on each connection.
        due: what stands between the events of the stream on a connection.
        sent: number of times that some were sent, by place.
    """

    def __init__(
        self,
        rng: random.Random,
        share: float,
        kinds: tuple[str, ...] = tuple(stray_upstream.STRAYS),
        places: tuple[str, ...] = PLACES,
        *,
        is_cut: bool = True,
    ) -> None:
        self.is_cut = is_cut
        self.rng = rng
        self.share = share
        self.kinds = kinds
        self.places = places
        self.last_ids: dict[object, str] = {}
        self.due: dict[object, bytes] = {}
        self.sent: collections.Counter[str] = collections.Counter()

    def draw(self, request: web.BaseRequest) -> tuple[str, bytes]:
        """Return where stray bytes stand, and the bytes; empty for none.

        They are the beginning of an answer to an earlier request on the
        connection, or to none.
        """
        earlier = self.last_ids.get(request.transport, "earlier")
        request_id = request.headers.get("X-Request-Id", "")
        if request_id:
            self.last_ids[request.transport] = request_id
        if self.rng.random() >= self.share:
            return "", b""
        kind = self.rng.choice(self.kinds)
        stray = stray_upstream.STRAYS[kind].replace(b"first", earlier.encode())
        place = self.rng.choice(self.places)
        self.sent[f"strays_{place}"] += 1
        end = self.rng.randint(1, len(stray)) if self.is_cut else len(stray)
        return place, stray[:end]

    def send_before(self, request: web.BaseRequest, stray: bytes) -> None:
        """Send stray bytes in front of the answer to a request."""
        if request.transport is not None:
            request.transport.write(stray)

    def send_between(self, request: web.BaseRequest) -> None:
        """Send what stands in front of the next event of a stream."""
        self.send_before(request, self.due.pop(request.transport, b""))

    async def send_after(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        stray: bytes,
        *,
        is_idle: bool,
    ) -> None:
        """Send stray bytes right behind an answer, or some time later."""
        transport = request.transport
        if transport is None or transport.is_closing():
            return
        if not response.prepared:
            await response.prepare(request)
            await response.write_eof()
        if not is_idle:
            transport.write(stray)
            return

        def write() -> None:
            if not transport.is_closing():
                transport.write(stray)

        asyncio.get_running_loop().call_later(
            self.rng.uniform(*IDLE_SECONDS), write
        )
