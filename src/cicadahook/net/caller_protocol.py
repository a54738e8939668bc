"""Connections of callers, whose malformed requests are not quoted."""

from collections.abc import Callable
from typing import Any, Final

from aiohttp import http_exceptions
from aiohttp import web

from cicadahook.core import held_bytes
from cicadahook.net import client_protocol
from cicadahook.net import client_server
from cicadahook.net import client_state

MALFORMED: Final = "Malformed request"


class CallerConnection(client_protocol.ClientProtocol):
    """A connection that answers malformed requests.

    aiohttp quotes the line at fault in its answer and its log line, and that
    line may hold a key.
    """

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to a request at fault."""
        if not self._may_quote():
            message = None if message is None else MALFORMED
            if isinstance(exc, web.RequestPayloadError):
                exc = web.RequestPayloadError(MALFORMED)
            else:
                exc = _strip_quotes(exc)
        return super().handle_error(request, status, exc, message)

    def log_exception(self, *args: Any, **options: Any) -> None:
        """Log an error."""
        if not self._may_quote():
            options["exc_info"] = _strip_quotes(options.get("exc_info"))
        super().log_exception(*args, **options)

    def _may_quote(self) -> bool:
        assert isinstance(self.supervisor, CallerHttpServer), "another server"
        return self.supervisor.may_quote()


class CallerHttpServer(client_server.ClientServer):
    """Creates the connections of callers.

    Attributes:
        may_quote: returns whether malformed requests may be quoted.
    """

    protocol = CallerConnection

    def __init__(
        self,
        handler: Any,
        guard: client_server.ClientGuard,
        pool: held_bytes.Pool,
        get_limits: Callable[[], client_state.ConnectionLimits],
        may_quote: Callable[[], bool],
        **options: Any,
    ) -> None:
        super().__init__(handler, guard, pool, get_limits, **options)
        self.may_quote = may_quote


def _strip_quotes(error: Any) -> Any:
    """Return an error of the HTTP parser without what it quotes."""
    if isinstance(error, http_exceptions.BadHttpMethod):
        return http_exceptions.BadHttpMethod(error=type(error).__name__)
    causes = (error, *_list_causes(error))
    for each in causes:
        if isinstance(each, http_exceptions.HttpProcessingError):
            return http_exceptions.HttpProcessingError(
                code=each.code, message=type(each).__name__
            )
    return error


def _list_causes(error: Any) -> list[BaseException]:
    """Return the errors that a traceback shows before `error`."""
    found: list[BaseException] = []
    while isinstance(error, BaseException):
        error = error.__cause__ or error.__context__
        if error is None or error in found:
            break
        found.append(error)
    return found
