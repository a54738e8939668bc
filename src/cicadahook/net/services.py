"""Plain services: calls that may have to run at most once."""

import dataclasses

import aiohttp
from aiohttp import web

from cicadahook.core import admission
from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import request as request_lib
from cicadahook.core import table as table_lib
from cicadahook.net import answers
from cicadahook.net import dispatch
from cicadahook.net import headers


class ServicesApi:
    """Routes calls to plain services; answers resends as recorded."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        dispatcher: dispatch.Dispatcher,
        session: aiohttp.ClientSession,
    ) -> None:
        self.clock = clock
        self.dispatcher = dispatcher
        self.session = session
        self.recorded: dict[str, answers.ServiceAnswer] = {}

    def install(self, app: web.Application) -> None:
        """Add the routes to `app`."""
        app.router.add_route("*", "/services/{name}/{path:.*}", self.call)

    async def call(self, http: web.Request) -> web.StreamResponse:
        """Route a call to a plain service."""
        name = http.match_info["name"]
        path = "/" + http.match_info["path"]
        row = self.dispatcher.view.table.find(name)
        if row is None or row.kind is not table_lib.RowKind.SERVICE:
            raise errors.RefusalError(
                "unknown_service", f"service {name!r} is unknown", 404
            )
        request = dataclasses.replace(
            headers.read_request(http, name, self.clock),
            path=path,
            is_idempotent=not path.startswith(row.non_idempotent),
        )
        _check_key(request, row)
        return await self._call_once(http, request, row)

    async def _call_once(
        self,
        http: web.Request,
        request: request_lib.Request,
        row: table_lib.Row,
    ) -> web.Response:
        """Call the service, or answer as recorded for the same key."""
        if request.key in self.recorded:
            return self.recorded[request.key].respond(request)
        grant = await self.dispatcher.acquire(request, row)
        end = admission.AttemptEnd.FAILED
        try:
            answer = await self._call(http, request, grant)
            end = admission.AttemptEnd.SERVED
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.RefusalError(
                "upstream_failed",
                "the service did not answer",
                502,
                errors.Outcome.UNKNOWN,
            ) from error
        finally:
            self.dispatcher.release(grant, admission.AttemptResult(end))
        if request.key:
            self.recorded[request.key] = answer
        return answer.respond(request)

    async def _call(
        self,
        http: web.Request,
        request: request_lib.Request,
        grant: admission.Grant,
    ) -> answers.ServiceAnswer:
        """Return the service's answer to one attempt."""
        left = request.deadline - self.clock.now()
        async with self.session.request(
            http.method,
            f"http://{grant.upstream.address}{request.path}",
            data=await http.read(),
            params=http.query,
            headers={"Content-Type": http.content_type},
            timeout=aiohttp.ClientTimeout(total=left.total_seconds()),
        ) as response:
            return answers.ServiceAnswer(
                response.status, response.content_type, await response.read()
            )


def _check_key(request: request_lib.Request, row: table_lib.Row) -> None:
    """Refuse a non-idempotent call that carries no key."""
    if request.is_idempotent or request.key or row.allow_keyless:
        return
    raise errors.RefusalError(
        "key_required",
        f"header {headers.KEY_HEADER}: required for {request.path}; begin it"
        " with the key_prefix of GET /v1/locate",
        400,
    )
