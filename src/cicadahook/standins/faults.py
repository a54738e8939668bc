"""Faults that a test or an experiment injects into a stand-in over HTTP."""

import asyncio
import dataclasses
from typing import Any, Final, Generic, TypeVar

from aiohttp import web
import pydantic


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults that every stand-in supports; the defaults are no faults.

    Attributes:
        down: calls are answered by 503 and have no effect.
        silent: calls are accepted, never answered and have no effect.
        latency_seconds: delay before each call is handled.
        lose_replies: number of calls that take effect and whose answer is
            dropped.
    """

    down: bool = False
    silent: bool = False
    latency_seconds: float = 0.0
    lose_replies: int = 0


FAULT_ENDPOINTS: Final = frozenset({"GET /faults", "PUT /faults"})

FaultsT = TypeVar("FaultsT", bound=Faults)


class FaultControl(Generic[FaultsT]):
    """Holds the faults in force and applies them to each call.

    Attributes:
        exempt_calls: method and path of the calls to which no fault applies.
        faults: faults in force.
        adapter: validator of faults.
    """

    def __init__(
        self, initial: FaultsT, exempt_calls: frozenset[str] = frozenset()
    ) -> None:
        """Initialise the control with the faults at the start.

        Args:
            initial: the faults at the start; their class is the one that
                `PUT /faults` accepts.
            exempt_calls: calls such as `PUT /vms` by which a test sets up
                the stand-in; no fault applies to them.
        """
        self.exempt_calls = {*exempt_calls, *FAULT_ENDPOINTS}
        self.faults = initial
        self.adapter = pydantic.TypeAdapter(type(initial))

    def install(self, app: web.Application) -> None:
        """Add the middleware and the `/faults` routes to `app`."""
        app.middlewares.append(self.middleware)
        app.router.add_get("/faults", self.get_faults)
        app.router.add_put("/faults", self.put_faults)

    async def get_faults(self, request: web.Request) -> web.Response:
        """Return the faults in force."""
        del request
        return web.json_response(dataclasses.asdict(self.faults))

    async def put_faults(self, request: web.Request) -> web.Response:
        """Replace the faults in force by those of the request's body."""
        try:
            self.faults = self.adapter.validate_json(await request.read())
        except pydantic.ValidationError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return await self.get_faults(request)

    @web.middleware
    async def middleware(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Apply the faults in force to one call."""
        if f"{request.method} {request.path}" in self.exempt_calls:
            return await self._call_handler(request, handler)
        faults = self.faults
        if faults.latency_seconds:
            await asyncio.sleep(faults.latency_seconds)
        if faults.silent:
            await asyncio.Event().wait()
        if faults.down:
            raise web.HTTPServiceUnavailable(text="down as ordered")
        response = await self._call_handler(request, handler)
        if self.faults.lose_replies > 0:
            self.faults = dataclasses.replace(
                self.faults, lose_replies=self.faults.lose_replies - 1
            )
            drop_connection(request)
        return response

    async def _call_handler(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        response: web.StreamResponse = await handler(request)
        return response


def drop_connection(request: web.Request) -> None:
    """Abort the caller's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
