"""The entry's HTTP API: what callers see."""

import collections
from collections.abc import AsyncIterator
import dataclasses
import datetime
from typing import Any, Final

import aiohttp
from aiohttp import web

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import request as request_lib
from cicadahook.core import routing
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib
from cicadahook.net import answers
from cicadahook.net import attempts
from cicadahook.net import headers
from cicadahook.net import http as http_lib
from cicadahook.net import logs
from cicadahook.net import metrics

RETRY_AFTER: Final = datetime.timedelta(seconds=1)
LIVE_STATES: Final = frozenset(
    {view_lib.MemberState.ALIVE, view_lib.MemberState.SUSPECT}
)

logger: Final = logs.create_logger("entry")


@dataclasses.dataclass(frozen=True)
class EntryMode:
    """Settings of an entry.

    Attributes:
        name: name of its VM.
        zone: its availability zone.
        keep: how long callers may keep an address answer.
        routing: how upstreams are chosen.
    """

    name: str
    zone: str
    keep: datetime.timedelta
    routing: routing.RoutingMode


class Entry:
    """Routes callers' requests by the newest view."""

    def __init__(
        self,
        mode: EntryMode,
        clock: clock_lib.Clock,
        session: aiohttp.ClientSession,
    ) -> None:
        self.mode = mode
        self.clock = clock
        self.caller = attempts.UpstreamCaller(session)
        self.session = session
        self.policy = routing.create_policy(mode.routing)
        self.view = view_lib.View()
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.arrivals: collections.Counter[str] = collections.Counter()
        self.recorded: dict[str, answers.ServiceAnswer] = {}
        self.attempt_count = 0
        self.is_draining = False
        self.address = ""

    def create_app(self) -> web.Application:
        """Return the application that serves callers."""
        app = http_lib.create_app()
        app.router.add_get("/healthz", self.check_health)
        app.router.add_get("/readyz", self.check_ready)
        app.router.add_get("/metrics", metrics.show)
        app.router.add_get("/v1/locate", self.locate)
        app.router.add_get("/v1/models", self.list_models)
        app.router.add_post("/v1/chat/completions", self.complete_chat)
        app.router.add_post("/v1/completions", self.complete_text)
        app.router.add_route("*", "/services/{name}/{path:.*}", self.call)
        return app

    def take_view(self, new: view_lib.View) -> None:
        """Use `new` from now on, unless its table is older than ours."""
        if new.table.generation < self.view.table.generation:
            logger.warning(
                "Kept table %d: %s has older %d.",
                self.view.table.generation,
                new.control,
                new.table.generation,
            )
            new = dataclasses.replace(new, table=self.view.table)
        self.view = new

    def create_report(self) -> view_lib.Report:
        """Return what happened since the previous report."""
        arrivals, self.arrivals = self.arrivals, collections.Counter()
        return view_lib.Report(
            entry=self.address,
            generation=self.view.table.generation,
            draining=self.is_draining,
            uses=tuple(
                view_lib.UpstreamUse(address, count)
                for address, count in self.in_flight.items()
                if count
            ),
            demands=tuple(
                view_lib.RowDemand(row, count)
                for row, count in arrivals.items()
            ),
        )

    async def check_health(self, request: web.Request) -> web.Response:
        """Answer that the process lives."""
        del request
        return web.json_response({"state": "live"})

    async def check_ready(self, request: web.Request) -> web.Response:
        """Answer 200 once requests can be routed, and until it drains."""
        del request
        is_ready = bool(self.view.number) and not self.is_draining
        return web.json_response(
            {"ready": is_ready}, status=200 if is_ready else 503
        )

    async def locate(self, request: web.Request) -> web.Response:
        """Answer the entries that a caller should use, nearest zone first."""
        zone = request.query.get("zone", self.mode.zone)
        live = [
            member
            for member in self.view.members
            if member.state in LIVE_STATES
        ]
        live.sort(key=lambda member: (member.zone != zone, member.name))
        return web.json_response(
            {
                "entries": [
                    {"address": member.entry, "zone": member.zone}
                    for member in live
                ],
                "keep_seconds": self.mode.keep.total_seconds(),
                "key_prefix": f"{self.mode.name}.",
            }
        )

    async def list_models(self, request: web.Request) -> web.Response:
        """Answer all models and adapters."""
        del request
        return web.json_response(
            {
                "object": "list",
                "data": [
                    {
                        "id": row.name,
                        "object": "model",
                        "created": 0,
                        "owned_by": row.base or "cicadahook",
                    }
                    for row in self.view.table.placed()
                ],
            }
        )

    async def complete_chat(self, http: web.Request) -> web.StreamResponse:
        """Answer a chat completion."""
        return await self._complete(http, answers.Form(is_chat=True))

    async def complete_text(self, http: web.Request) -> web.StreamResponse:
        """Answer a text completion."""
        return await self._complete(http, answers.Form(is_chat=False))

    async def _complete(
        self, http: web.Request, form: answers.Form
    ) -> web.StreamResponse:
        """Check, route and answer a completion."""
        with self._counting_refusals():
            body = await http_lib.read_object(http)
            row = self._find_row(headers.read_model(body))
            request = headers.with_content(
                headers.read_request(http, row.name, self.clock),
                body,
                form.is_chat,
            )
            self.arrivals[row.name] += 1
            chunks = self._attempt(request, row, body)
            if body.get("stream"):
                return await answers.send_stream(http, request, chunks)
            return await answers.send_whole(request, form, chunks)

    def _find_row(self, name: str) -> table_lib.Row:
        """Return the model or adapter called `name`."""
        row = self.view.table.find(name)
        if row is None or not row.is_placed:
            raise errors.RefusalError(
                "unknown_model", f"model {name!r} is not in the table", 404
            )
        return row

    async def _attempt(
        self,
        request: request_lib.Request,
        row: table_lib.Row,
        body: dict[str, Any],
    ) -> AsyncIterator[dict[str, Any]]:
        """Yield the chunks of one attempt."""
        upstream = self._choose(request, row)
        self.attempt_count += 1
        attempt = attempts.Attempt(
            id=f"{self.mode.name}-{self.attempt_count}-{request.id}",
            upstream=upstream,
            path=request.path,
            body=body,
            timeout=request.deadline - self.clock.now(),
        )
        self.in_flight[upstream.address] += 1
        try:
            async for chunk in self.caller.stream(attempt):
                yield chunk
        except errors.UpstreamError as error:
            logger.warning("Request %s failed: %s.", request.id, error)
            raise errors.RefusalError(
                "upstream_failed",
                "the upstream did not give a whole answer",
                502,
                errors.Outcome.UNKNOWN,
            ) from error
        finally:
            self.in_flight[upstream.address] -= 1

    def _choose(
        self, request: request_lib.Request, row: table_lib.Row
    ) -> view_lib.Upstream:
        """Return the upstream for `request`."""
        candidates = self.view.upstreams_for(row)
        if not candidates:
            raise errors.RefusalError(
                "no_copy",
                f"no upstream serves {row.name!r} at the moment",
                503,
                retry_after=RETRY_AFTER,
            )
        return self.policy.choose(request, candidates, self.in_flight)

    async def call(self, http: web.Request) -> web.StreamResponse:
        """Route a call to a plain service."""
        with self._counting_refusals():
            name = http.match_info["name"]
            path = "/" + http.match_info["path"]
            row = self.view.table.find(name)
            if row is None or row.kind is not table_lib.RowKind.SERVICE:
                raise errors.RefusalError(
                    "unknown_service", f"service {name!r} is unknown", 404
                )
            request = dataclasses.replace(
                headers.read_request(http, name, self.clock),
                path=path,
                is_idempotent=not path.startswith(row.non_idempotent),
            )
            self._check_key(request, row)
            return await self._call_service(http, request, row)

    def _check_key(
        self, request: request_lib.Request, row: table_lib.Row
    ) -> None:
        """Refuse a non-idempotent call that carries no key."""
        if request.is_idempotent or request.key or row.allow_keyless:
            return
        raise errors.RefusalError(
            "key_required",
            f"header {headers.KEY_HEADER}: required for {request.path}; begin"
            " it with the key_prefix of GET /v1/locate",
            400,
        )

    async def _call_service(
        self,
        http: web.Request,
        request: request_lib.Request,
        row: table_lib.Row,
    ) -> web.Response:
        """Call the service, or answer as recorded for the same key."""
        if request.key in self.recorded:
            return self.recorded[request.key].respond(request)
        upstream = self._choose(request, row)
        self.in_flight[upstream.address] += 1
        try:
            async with self.session.request(
                http.method,
                f"http://{upstream.address}{request.path}",
                data=await http.read(),
                params=http.query,
                headers={"Content-Type": http.content_type},
                timeout=self._timeout(request),
            ) as response:
                answer = answers.ServiceAnswer(
                    response.status,
                    response.content_type,
                    await response.read(),
                )
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.RefusalError(
                "upstream_failed",
                "the service did not answer",
                502,
                errors.Outcome.UNKNOWN,
            ) from error
        finally:
            self.in_flight[upstream.address] -= 1
        if request.key:
            self.recorded[request.key] = answer
        return answer.respond(request)

    def _timeout(self, request: request_lib.Request) -> aiohttp.ClientTimeout:
        left = request.deadline - self.clock.now()
        return aiohttp.ClientTimeout(total=left.total_seconds())

    def _counting_refusals(self) -> "RefusalCounter":
        return RefusalCounter(self.mode.name)


@dataclasses.dataclass(frozen=True)
class RefusalCounter:
    """Context that counts each refusal that passes through it."""

    node: str

    def __enter__(self) -> None:
        pass

    def __exit__(self, kind: Any, error: Any, trace: Any) -> None:
        if isinstance(error, errors.RefusalError):
            metrics.count_refusal(error.code, self.node)
