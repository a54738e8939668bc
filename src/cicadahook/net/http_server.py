"""Shared parts of the HTTP servers: start and stop, errors, JSON bodies."""

import asyncio
import dataclasses
import datetime
from typing import Any, Final

from aiohttp import web

from cicadahook.core import errors
from cicadahook.core import held_bytes
from cicadahook.core import routes
from cicadahook.net import client_server
from cicadahook.net import logs

BODY_LIMIT_BYTES: Final = 4 * 1024 * 1024
SHUTDOWN_SECONDS: Final = 60.0
# Controls and entries keep connections to each other for up to 15 s.
KEEPALIVE_TIMEOUT: Final = datetime.timedelta(seconds=60)
# A caller that connected just before a server stopped listening sends its
# request within a round trip; a busy VM takes some tens of ms to read it.
LAST_REQUEST_SECONDS: Final = 0.05

logger: Final = logs.create_logger("http")


class ListenError(errors.CicadaError):
    """A server cannot listen on its address."""


class GuardedRunner(web.AppRunner):
    """Runs an application whose clients' goodwill is not relied on.

    Attributes:
        guard: what is held for its clients.
    """

    def __init__(
        self,
        app: web.Application,
        guard: client_server.ClientGuard,
        **options: Any,
    ) -> None:
        super().__init__(app, **options)
        self.guard = guard

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        limits = client_server.create_limits(
            routes.CallerLimits(), KEEPALIVE_TIMEOUT
        )
        return client_server.ClientServer(
            server.request_handler,
            self.guard,
            held_bytes.Pool.CLIENTS,
            lambda: limits,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
        )


@dataclasses.dataclass
class Server:
    """An HTTP server on one address.

    Attributes:
        app: the application to serve.
        host: IP address to listen on.
        port: TCP port; 0 selects a free port, which is set by `start`.
        memory_mb: memory of the machine; 0 if it is not known.
    """

    app: web.Application
    host: str
    port: int
    memory_mb: int = 0

    def __post_init__(self) -> None:
        self.runner = GuardedRunner(
            self.app,
            client_server.ClientGuard(
                client_server.plan_limits(self.memory_mb, 0), "entry"
            ),
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_SECONDS,
            access_log=None,
        )

    async def start(self) -> None:
        """Start to listen.

        Raises:
            ListenError: the address is in use or does not belong to this VM.
        """
        await self.runner.setup()
        try:
            sock = client_server.open_socket(self.host, self.port)
            site = web.SockSite(
                self.runner, sock, backlog=client_server.ACCEPTED_AT_ONCE
            )
            await site.start()
            sock.listen(client_server.BACKLOG)
        except OSError as error:
            raise ListenError(
                f"can't listen on {self.address}: {error.strerror};"
                " is it running already? Choose another port"
            ) from error
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening, wait for open requests, then close connections.

        A request that is about to arrive on a new connection is still answered.
        """
        for site in self.runner.sites:
            await site.stop()
        await asyncio.sleep(LAST_REQUEST_SECONDS)
        await self.runner.cleanup()

    @property
    def address(self) -> str:
        """The `host:port` that the server listens on."""
        return f"{self.host}:{self.port}"


def error_response(refusal: errors.RefusalError) -> web.Response:
    """Return `refusal` in the OpenAI error envelope."""
    headers = {}
    if refusal.retry_after is not None:
        seconds = max(1, round(refusal.retry_after.total_seconds()))
        headers["Retry-After"] = str(seconds)
    return web.json_response(
        error_body(refusal), status=refusal.status, headers=headers
    )


def error_body(refusal: errors.RefusalError) -> dict[str, Any]:
    """Return the OpenAI error envelope of `refusal`."""
    kind = "invalid_request_error" if refusal.status < 500 else "server_error"
    return {
        "error": {
            "message": refusal.reason,
            "type": kind,
            "code": refusal.code,
            "outcome": refusal.outcome.value,
        },
        "outcome": refusal.outcome.value,
        "code": refusal.code,
    }


@web.middleware
async def error_middleware(
    request: web.Request, handler: Any
) -> web.StreamResponse:
    """Turn exceptions into error answers, so that none ends the process."""
    try:
        response: web.StreamResponse = await handler(request)
        return response
    except errors.RefusalError as refusal:
        return error_response(refusal)
    except web.HTTPRequestEntityTooLarge as error:
        return error_response(
            errors.RefusalError(
                "body_too_large", f"body: {error.text}", error.status
            )
        )
    except web.HTTPException as error:
        reason = f"{request.method} {request.path}: {error.reason}"
        return error_response(
            errors.RefusalError("bad_request", reason, error.status)
        )
    except Exception:  # pylint: disable=broad-exception-caught
        logger.exception("Request %s failed.", request.path)
        return error_response(
            errors.RefusalError(
                "internal_error",
                "the server failed; see its log",
                500,
                errors.Outcome.UNKNOWN,
            )
        )


def create_app() -> web.Application:
    """Return an application that answers errors in the OpenAI envelope."""
    return web.Application(
        client_max_size=BODY_LIMIT_BYTES, middlewares=[error_middleware]
    )


async def read_object(request: web.Request) -> dict[str, Any]:
    """Return the JSON object in the request's body.

    Raises:
        errors.RefusalError: the body is not a JSON object.
    """
    try:
        body = await request.json()
    except (ValueError, RecursionError) as error:
        raise errors.RefusalError(
            "bad_json", f"body: not valid JSON: {error}", 400
        ) from error
    if not isinstance(body, dict):
        raise errors.RefusalError(
            "bad_json", "body: must be a JSON object", 400
        )
    return body
