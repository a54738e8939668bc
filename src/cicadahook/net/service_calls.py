"""Serves callers' calls of plain services at an entry.

Non-idempotent calls with a key run at most once; a resend gets the recorded
answer.
"""

import asyncio
import dataclasses
import datetime
import itertools
from typing import Final

import aiohttp
from aiohttp import web

from cicadahook.core import admission
from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import hashing
from cicadahook.core import idempotency
from cicadahook.core import keyed_calls
from cicadahook.core import request as request_lib
from cicadahook.core import retry
from cicadahook.core import table
from cicadahook.net import at_most_once
from cicadahook.net import attempts
from cicadahook.net import dispatch
from cicadahook.net import entry_peers
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import request_parsing
from cicadahook.net import service_connections
from cicadahook.net import shutdown_limit

ANSWER_GRACE: Final = datetime.timedelta(seconds=10)
CONNECT_TIMEOUT: Final = datetime.timedelta(seconds=2)
PATH_PREFIX: Final = "/services/"
PREFIX_PARTS: Final = 3

logger: Final = logs.create_logger("services")


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """A caller's call of a plain service, including its body.

    Attributes:
        request: the call as admission and retries see it.
        row: the service's row; None if the service is unknown.
        method: HTTP method.
        target: path and query as received.
        body: the body.
        content_type: media type of the body.
        is_forwarded: whether another entry forwarded it.
    """

    request: request_lib.Request
    row: table.Row | None
    method: str
    target: str
    body: bytes
    content_type: str
    is_forwarded: bool

    @property
    def path(self) -> str:
        """Path and query on the service."""
        return "/" + self.target.split("/", PREFIX_PARTS)[PREFIX_PARTS]


@dataclasses.dataclass(frozen=True)
class ServiceCallComponents:
    """The components that calls of services are made with.

    Attributes:
        connections: connections to services.
        call_runner: runs non-idempotent calls.
        peers: client for other entries.
        policy: decides on retries.
        shutdown: ends open requests before the process is killed.
    """

    connections: service_connections.ServiceConnections
    call_runner: at_most_once.AtMostOnceRunner
    peers: entry_peers.PeerClient
    policy: retry.RetryPolicy
    shutdown: shutdown_limit.ShutdownLimit


class ServiceCallsApi:
    """Routes calls to plain services; answers resends from records."""

    def __init__(
        self,
        name: str,
        clock: clock_lib.Clock,
        dispatcher: dispatch.Dispatcher,
        components: ServiceCallComponents,
    ) -> None:
        self.name = name
        self.clock = clock
        self.dispatcher = dispatcher
        self.connections = components.connections
        self.call_runner = components.call_runner
        self.peers = components.peers
        self.policy = components.policy
        self.shutdown = components.shutdown

    def install(self, app: web.Application) -> None:
        """Add the routes to `app`."""
        app.router.add_route("*", PATH_PREFIX + "{name}/{path:.*}", self.call)

    async def call(self, http: web.Request) -> web.StreamResponse:
        """Route a call to a plain service."""
        async with self.shutdown.limit(http.path):
            return await self._call(http)

    async def _call(self, http: web.Request) -> web.StreamResponse:
        call = await self._read(http)
        if call.row is not None:
            self.dispatcher.record_arrival(call.row)
        if call.request.is_idempotent:
            self._check_open(call)
            return _respond(call, await self._run_with_retries(call))
        if not call.request.key:
            return _respond(call, await self._call_keyless(call))
        result = await self.call_runner.call(
            call.request, lambda: self._run_with_retries(call)
        )
        if isinstance(result, keyed_calls.Forward):
            return await self._forward(call, result)
        return _respond(call, result)

    def _check_open(self, call: ServiceCall) -> None:
        """Refuse to run a call with a key at an entry that is stopping.

        Such a call is accepted only because it may be a resend that has a
        record here.

        Raises:
            errors.RefusalError: the entry is stopping.
        """
        if call.request.key and self.call_runner.ledger.is_sealed:
            raise idempotency.create_draining_error(errors.Outcome.UNKNOWN)

    async def _read(self, http: web.Request) -> ServiceCall:
        """Return the validated call."""
        name = http.match_info["name"]
        path = "/" + http.match_info["path"]
        row = self.dispatcher.view.table.find(name)
        if row is not None and row.kind is not table.RowKind.SERVICE:
            row = None
        request = self.shutdown.cap_deadline(
            request_parsing.read_request(http, name, self.clock)
        )
        # A call with a key may have run before the row of its service was
        # removed.
        is_idempotent = not request.key
        if row is not None:
            is_idempotent = not path.startswith(row.non_idempotent)
        body = await request_parsing.read_body(http, request, self.clock)
        fingerprint = hashing.hash128_hex(
            f"{http.method} {http.rel_url}\n{body.decode('latin-1')}"
        )
        return ServiceCall(
            request=dataclasses.replace(
                request,
                path=path,
                is_idempotent=is_idempotent,
                fingerprint=fingerprint,
            ),
            row=row,
            method=http.method,
            target=str(http.rel_url),
            body=body,
            content_type=http.content_type,
            is_forwarded=entry_peers.FORWARDED_HEADER in http.headers,
        )

    async def _call_keyless(self, call: ServiceCall) -> keyed_calls.Answer:
        """Run a non-idempotent call without a key, if its row allows that.

        Raises:
            errors.RefusalError: the row requires a key.
        """
        if call.row is not None and not call.row.allow_keyless:
            raise errors.RefusalError(
                "key_required",
                f"header {request_parsing.KEY_HEADER}: required for"
                f" {call.request.path}; begin it with the key_prefix of GET"
                " /v1/locate",
                400,
            )
        return await self._run_with_retries(call)

    async def _forward(
        self, call: ServiceCall, forward: keyed_calls.Forward
    ) -> web.Response:
        """Return the answer of the entry that owns the key.

        Raises:
            errors.RefusalError: the call was forwarded before, the entry is
                stopping, or the owner did not answer.
        """
        if call.is_forwarded:
            raise errors.RefusalError(
                "not_owner",
                "another entry owns this key",
                entry_peers.MISDIRECTED_STATUS,
                errors.Outcome.UNKNOWN,
            )
        self._check_open(call)
        answer = await self.peers.forward(
            entry_peers.ForwardedCall(
                method=call.method,
                path=call.target,
                body=call.body,
                content_type=call.content_type,
                key=call.request.key,
                id=call.request.id,
                left=call.request.deadline - self.clock.now(),
            ),
            forward.owner,
            self.dispatcher.view.members,
        )
        return answer.respond(call.request.id)

    async def _run_with_retries(self, call: ServiceCall) -> keyed_calls.Answer:
        """Call the service, retrying where the policy allows it.

        Raises:
            errors.RefusalError: the service gave no answer.
        """
        if call.row is None:
            raise errors.RefusalError(
                "unknown_service",
                f"service {call.request.row!r} is unknown",
                404,
            )
        self.policy.record_request()
        excluded: frozenset[str] = frozenset()
        may_have_run = False
        for number in itertools.count(1):
            try:
                grant = await self._acquire(
                    call.request, call.row, excluded, number > 1
                )
            except errors.RefusalError as refusal:
                if may_have_run:
                    refusal.outcome = errors.Outcome.UNKNOWN
                raise
            try:
                return await self._make_attempt(call, grant)
            except attempts.AttemptError as failure:
                logger.warning("Request %s: %s.", call.request.id, failure)
                may_have_run |= failure.reason not in retry.NOT_RUN_REASONS
                address = grant.upstream.address
                excluded |= {address}
                await self._prepare_retry(
                    call.request, failure.reason, address, number, may_have_run
                )
        raise AssertionError("the attempt count is unbounded")

    async def _acquire(
        self,
        request: request_lib.Request,
        row: table.Row,
        excluded: frozenset[str],
        is_retry: bool,
    ) -> admission.Grant:
        """Return a grant, if possible for an upstream without recent failures.

        Raises:
            errors.RefusalError: no attempt was granted.
        """
        addresses = {
            upstream.address
            for upstream in self.dispatcher.view.upstreams_for(row)
        }
        for avoided in (excluded | self.policy.list_ejected(), excluded):
            if addresses - avoided:
                return await self.dispatcher.acquire(
                    request, row, avoided, is_retry
                )
        return await self.dispatcher.acquire(request, row, is_retry=is_retry)

    async def _prepare_retry(
        self,
        request: request_lib.Request,
        reason: retry.Reason,
        upstream: str,
        number: int,
        may_have_run: bool,
    ) -> None:
        """Wait until the next attempt.

        Raises:
            errors.RefusalError: no other attempt may be made.
        """
        self.policy.record_failure(upstream, reason)
        left = request.deadline - self.clock.now()
        decision = self.policy.decide(
            retry.Failure(reason, upstream, request.is_idempotent, number, left)
        )
        if isinstance(decision, retry.GiveUp):
            raise errors.RefusalError(
                decision.value,
                f"the service gave no answer; the last failure: {reason.value}",
                502,
                (
                    errors.Outcome.UNKNOWN
                    if may_have_run
                    else errors.Outcome.NOT_RUN
                ),
                retry_after=idempotency.RETRY_AFTER,
            )
        metrics.count_retry(reason.value, self.name)
        await asyncio.sleep(decision.delay.total_seconds())

    async def _make_attempt(
        self, call: ServiceCall, grant: admission.Grant
    ) -> keyed_calls.Answer:
        """Make one attempt, then release its grant.

        Raises:
            attempts.AttemptError: the attempt failed.
            errors.RefusalError: the deadline has passed.
        """
        end = admission.AttemptEnd.FAILED
        try:
            answer = await self._send(call, grant)
            end = admission.AttemptEnd.SERVED
            self.policy.record_success(grant.upstream.address)
            return answer
        except attempts.NOT_SENT_ERRORS as error:
            raise attempts.AttemptError(
                retry.Reason.UNREACHABLE, f"{error!r}"
            ) from error
        except aiohttp.ClientError as error:
            raise attempts.AttemptError(
                retry.Reason.CUT, f"{error!r}"
            ) from error
        except TimeoutError as error:
            end = admission.AttemptEnd.TIMED_OUT
            raise errors.RefusalError(
                "deadline_passed",
                "the deadline passed before the service answered",
                504,
                errors.Outcome.UNKNOWN,
            ) from error
        finally:
            self.dispatcher.release(grant, admission.AttemptResult(end))

    async def _send(
        self, call: ServiceCall, grant: admission.Grant
    ) -> keyed_calls.Answer:
        """Send the call and return the service's answer.

        A non-idempotent call may answer after its deadline, so that its answer
        can be recorded for a resend.
        """
        left = call.request.deadline - self.clock.now()
        if not call.request.is_idempotent:
            left += ANSWER_GRACE
        sent = {"Content-Type": call.content_type}
        async with (
            asyncio.timeout(left.total_seconds()),
            self.connections.calls.request(
                call.method,
                f"http://{grant.upstream.address}{call.path}",
                data=call.body,
                headers=sent,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT.total_seconds()
                ),
                allow_redirects=False,
                middlewares=(forbid_resend,),
            ) as response,
        ):
            body = await self.connections.read(
                response, grant.upstream.address, call.request.id
            )
            return keyed_calls.Answer(
                response.status, response.content_type, body
            )


async def forbid_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent the HTTP client from resending a PUT or DELETE by itself.

    The client does so when the server closes the connection without an answer.
    """
    try:
        return await handler(request)
    except attempts.NOT_SENT_ERRORS:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientPayloadError(f"{error!r}") from error


def _respond(call: ServiceCall, answer: keyed_calls.Answer) -> web.Response:
    return web.Response(
        body=answer.body,
        status=answer.status,
        content_type=answer.content_type,
        headers={request_parsing.REQUEST_HEADER: call.request.id},
    )
