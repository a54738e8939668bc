"""HTTP server of a node for the requests of callers."""

import dataclasses
import datetime
from typing import Final, Protocol

from aiohttp import web
import multidict

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import forwarding
from cicadahook.core import routes
from cicadahook.net import active_request
from cicadahook.net import caller_answers
from cicadahook.net import client_server
from cicadahook.net import client_state
from cicadahook.net import forwarder
from cicadahook.net import header_fields
from cicadahook.net import logs

logger: Final = logs.create_logger("front")


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """What the head of a request says.

    Attributes:
        id: the caller's id of this attempt.
        host: value of the `Host` header.
        path: path and query as sent.
        time_limit: how long the caller waits; None if not stated.
        generation: demand on a model engine; None if no model is used.
        last_event_id: event after which a stream resumes; empty for its start.
        resumed_id: see `forwarding.CallerRequest`.
        key_digest: digest of the caller's key; empty if it sent none.
    """

    id: str
    host: str
    path: str
    time_limit: datetime.timedelta | None
    generation: forwarding.Generation | None
    last_event_id: str
    resumed_id: str
    key_digest: str


class HeadDecoder(Protocol):
    """Translates the heads of requests.

    Attributes:
        id_header: name of the header with the id of a request.
        tenant_header: name of the header that tells an upstream the tenant.
        reserved: lower-case names of the headers that callers may not set.
        identifying: those that callers may not set where they need keys.
    """

    id_header: str
    tenant_header: str
    reserved: frozenset[str]
    identifying: frozenset[str]

    def decode(
        self, headers: "multidict.CIMultiDictProxy[str]", path: str
    ) -> RequestHead:
        """Return what the head of a request says.

        Raises:
            ValueError: a header is malformed, or comes twice.
        """


class CallerServer:
    """Reads requests of callers and passes them to the forwarder.

    Attributes:
        request_forwarder: sends requests to upstreams.
        decoder: translates the heads of requests.
        clock: time of the receipt of requests.
        active: number of requests in progress.
    """

    def __init__(
        self,
        request_forwarder: forwarder.Forwarder,
        decoder: HeadDecoder,
        clock: clock_lib.Clock,
    ) -> None:
        self.request_forwarder = request_forwarder
        self.decoder = decoder
        self.clock = clock
        self.active = 0

    def is_stopping(self) -> bool:
        """Return whether connections close after their next answer."""
        return self.request_forwarder.drain.plan is not None

    @property
    def limits(self) -> routes.CallerLimits:
        """The limits on what callers may send."""
        configuration = self.request_forwarder.configuration
        return configuration.limits if configuration else routes.CallerLimits()

    def may_quote(self) -> bool:
        """Whether malformed requests certainly hold no keys."""
        admission = self.request_forwarder.admission
        return admission.configuration is not None and not admission.needs_keys

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        received = self.clock.now()
        sink = caller_answers.HttpSink(
            request, self.decoder.id_header, self.is_stopping
        )
        self.active += 1
        try:
            self.request_forwarder.drain.check_open()
            read = await self._read(request, received)
            await self.request_forwarder.serve(read, sink)
        except client_state.ClientLimitError as refusal:
            # It is counted and logged with the limits of connections.
            await sink.refuse(refusal)
        except errors.RefusalError as refusal:
            self.request_forwarder.log.record_early_refusal(
                request.headers.get(self.decoder.id_header, ""), refusal
            )
            await sink.refuse(refusal)
        except ConnectionError as error:
            logger.info(
                "Caller disconnected before its answer was complete.",
                extra={
                    "request_id": request.headers.get(self.decoder.id_header),
                    "error": repr(error),
                },
            )
        finally:
            self.active -= 1
        assert sink.response is not None, "no answer was sent"
        return sink.response

    async def _read(
        self, request: web.BaseRequest, received: datetime.datetime
    ) -> forwarding.CallerRequest:
        """Return the request after its body has been read.

        Raises:
            errors.RefusalError: the request is malformed or too large, or its
                caller is not known.
        """
        headers = request.headers
        size = sum(len(name) + len(value) for name, value in headers.items())
        if size > self.limits.max_header_bytes:
            raise errors.RefusalError("headers_too_large", "headers", 431)
        try:
            head = self.decoder.decode(headers, request.raw_path)
        except ValueError as error:
            raise errors.RefusalError(
                "malformed_header", str(error), 400
            ) from error
        self._find_identity(head)
        limit = self.limits.idle_timeout
        if configuration := self.request_forwarder.configuration:
            limit = configuration.get_read_limit(head.host, head.path)
        if head.time_limit is not None:
            limit = min(limit, head.time_limit)
        async with self.request_forwarder.drain.limit_body_read(
            received + limit - active_request.ANSWER_MARGIN
        ):
            body = await client_server.read_body(
                request, self.limits.max_body_bytes
            )
        # The key may have been withdrawn while the body was read.
        tenant = self._find_identity(head)
        return forwarding.CallerRequest(
            head.id,
            request.method,
            head.host,
            head.path,
            self._select_headers(headers, tenant),
            body,
            received,
            head.time_limit,
            head.generation,
            head.last_event_id,
            head.resumed_id,
            tenant or "",
            head.key_digest,
        )

    def _find_identity(self, head: RequestHead) -> str | None:
        """Return the name of the tenant whose key a request carries.

        Returns:
            An empty name if it carries none and needs none; None if callers
            have no keys in this configuration.

        Raises:
            errors.RefusalError: the route needs a key that the request lacks.
        """
        admission = self.request_forwarder.admission
        if not admission.needs_keys:
            return None
        tenant = admission.authenticate(head.host, head.path, head.key_digest)
        return tenant.name if tenant else ""

    def _select_headers(
        self,
        headers: "multidict.CIMultiDictProxy[str]",
        tenant: str | None,
    ) -> forwarding.Headers:
        """Return the headers for the upstream.

        The tenant is an ordinary one from here on, so that nodes of builds that
        know of no tenants pass it on too.
        """
        dropped = self.decoder.reserved
        if tenant is not None:
            dropped |= self.decoder.identifying
        selected = tuple(
            (name, value)
            for name, value in header_fields.strip_hop_by_hop_headers(
                headers.items()
            )
            if name.lower() not in dropped
        )
        return (
            (*selected, (self.decoder.tenant_header, tenant))
            if tenant
            else selected
        )
