"""The entry's HTTP API: what callers see."""

import asyncio
import dataclasses
import datetime
import random
import secrets
from typing import Any, Final

import aiohttp
from aiohttp import web

from cicadahook.core import admission
from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import idempotency
from cicadahook.core import keys
from cicadahook.core import locate
from cicadahook.core import quarantine
from cicadahook.core import retry
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib
from cicadahook.net import attempts
from cicadahook.net import claims
from cicadahook.net import completions
from cicadahook.net import upstream_connections
from cicadahook.net import dispatch
from cicadahook.net import entry_peers
from cicadahook.net import request_parsing
from cicadahook.net import http_server
from cicadahook.net import keyvalue
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import at_most_once
from cicadahook.net import shutdown_limit
from cicadahook.net import relay
from cicadahook.net import service_calls
from cicadahook.net import suspect_trials

INCARNATION_BYTES: Final = 8
OPEN_REQUESTS_POLL: Final = datetime.timedelta(seconds=0.02)
SETTLE_LIMIT: Final = datetime.timedelta(seconds=5)
# Shares of the grace period: new requests are served for about half of it, so
# that most can end; the last fifth is left for claims, hand-over and exit.
SERVE_SHARE: Final = 0.45
REQUEST_SHARE: Final = 0.8
SETTLE_SHARE: Final = 0.05
CALLER_PATHS: Final = (
    "/v1/chat/",
    "/v1/completions",
    service_calls.PATH_PREFIX,
)

logger: Final = logs.create_logger("entry")


@dataclasses.dataclass(frozen=True)
class EntryMode:
    """Settings of an entry.

    Attributes:
        name: name of its VM.
        zone: its availability zone.
        keep: how long callers may keep an address answer.
        admission: how requests are admitted and routed.
        key_value: `host:port` of the key-value service.
        records: how records of non-idempotent calls are kept.
        cluster_key: key shared by all daemons.
        drain: how long a stop waits for kept address answers to lapse.
        grace_period: time from the stop signal to the kill; None if the
            process is not killed.
        progress: deadlines within a stream.
    """

    name: str
    zone: str
    keep: datetime.timedelta
    admission: admission.AdmissionMode
    key_value: str
    records: idempotency.LedgerMode
    cluster_key: str
    drain: datetime.timedelta
    progress: attempts.ProgressMode
    grace_period: datetime.timedelta | None = None


class Entry:
    """Routes callers' requests by the newest view."""

    def __init__(
        self,
        mode: EntryMode,
        clock: clock_lib.Clock,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
    ) -> None:
        self.mode = mode
        self.clock = clock
        self.shutdown = shutdown_limit.ShutdownLimit(clock)
        self.owner = keys.Owner(mode.name, secrets.token_hex(INCARNATION_BYTES))
        self.random = random.Random(self.owner.incarnation)
        self.dispatcher = dispatch.Dispatcher(mode.admission, clock)
        self.quarantine = quarantine.Quarantine(
            quarantine.QuarantineMode(), clock
        )
        self.suspects = suspect_trials.SuspectTrials(
            self.quarantine,
            clock,
            self.dispatcher,
            fresh_session,
            mode.cluster_key,
            self.random,
        )
        self.policy = retry.RetryPolicy(retry.RetryMode(), clock, self.random)
        self.connections = upstream_connections.UpstreamConnections(
            fresh_session
        )
        self.relay = relay.Relay(
            mode.name,
            clock,
            self.dispatcher,
            relay.RelayComponents(
                self.connections,
                attempts.UpstreamCaller(self.connections, mode.progress),
                self.policy,
                self.suspects,
            ),
        )
        self.completions = completions.CompletionsApi(
            clock, self.dispatcher, self.relay, self.shutdown
        )
        self.peers = entry_peers.PeerClient(fresh_session, mode.cluster_key)
        self.ledger = idempotency.Ledger(mode.records, self.owner, clock)
        self.call_runner = at_most_once.AtMostOnceRunner(
            self.ledger,
            claims.ClaimStore(keyvalue.KeyValueClient(mode.key_value, session)),
            clock,
        )
        self.services = service_calls.ServiceCallsApi(
            mode.name,
            clock,
            self.dispatcher,
            service_calls.ServiceCallComponents(
                fresh_session,
                self.call_runner,
                self.peers,
                self.policy,
                self.shutdown,
            ),
        )
        self.is_draining = False
        self.is_closing = False
        self.open_request_count = 0

    @property
    def address(self) -> str:
        """The `host:port` that it listens on, once it does."""
        return self.suspects.address

    @address.setter
    def address(self, address: str) -> None:
        self.suspects.address = address

    @property
    def view(self) -> view_lib.View:
        """The newest view."""
        return self.dispatcher.view

    def create_app(self) -> web.Application:
        """Return the application that serves callers."""
        app = http_server.create_app()
        app.router.add_get("/healthz", self.check_health)
        app.router.add_get("/readyz", self.check_ready)
        app.router.add_get("/metrics", metrics.show)
        app.router.add_get("/v1/locate", self.locate)
        app.router.add_get("/v1/models", self.list_models)
        self.completions.install(app)
        self.services.install(app)
        entry_peers.install(app, self.ledger, self.mode.cluster_key)
        self.suspects.install(app)
        app.middlewares.append(self.count_refusals)
        app.middlewares.append(self.count_open_requests)
        app.on_response_prepare.append(self.close_connection)
        return app

    def apply_view(self, new: view_lib.View) -> None:
        """Use `new` from now on, unless its table is older than ours."""
        if new.table.generation < self.view.table.generation:
            logger.warning(
                "Kept table %d: %s has older %d.",
                self.view.table.generation,
                new.control,
                new.table.generation,
            )
            new = dataclasses.replace(new, table=self.view.table)
        self.dispatcher.view = new
        self.quarantine.merge(new.suspects)
        self.connections.retire_unlisted(new.upstream_by_address.keys())

    def create_report(self) -> view_lib.Report:
        """Return what happened since the previous report."""
        return view_lib.Report(
            entry=self.address,
            generation=self.view.table.generation,
            draining=self.is_draining,
            uses=self.dispatcher.create_uses(),
            demands=self.dispatcher.collect_demands(),
            suspects=self.quarantine.list_suspects(),
        )

    @web.middleware
    async def count_refusals(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Count each refusal by its code."""
        try:
            response: web.StreamResponse = await handler(request)
            return response
        except errors.RefusalError as refusal:
            metrics.count_refusal(refusal.code, self.mode.name)
            raise

    @web.middleware
    async def count_open_requests(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Count the open requests of callers; refuse new ones at the end."""
        if not request.path.startswith(CALLER_PATHS):
            response: web.StreamResponse = await handler(request)
            return response
        self._check_open(request)
        self.open_request_count += 1
        try:
            response = await handler(request)
            return response
        finally:
            self.open_request_count -= 1

    async def close_connection(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Let no caller send its next request on a connection that will end."""
        del request
        if self.is_draining:
            response.headers["Connection"] = "close"
            response.force_close()

    def _check_open(self, request: web.Request) -> None:
        """Refuse requests before there is a view, and at the end of a drain.

        What another entry knows of a key is not known here at either time.
        """
        has_key = request_parsing.KEY_HEADER in request.headers
        outcome = errors.Outcome.UNKNOWN if has_key else errors.Outcome.NOT_RUN
        if not self.view.number:
            raise errors.RefusalError(
                "not_ready",
                "this entry has just started; ask another one",
                503,
                outcome,
                retry_after=idempotency.RETRY_AFTER,
            )
        # Only calls of services have records that a resend may be answered by.
        is_service = request.path.startswith(service_calls.PATH_PREFIX)
        if self.is_closing and not (has_key and is_service):
            raise idempotency.create_draining_error(outcome)

    async def drain(self) -> None:
        """Serve until kept address answers have lapsed, then finish.

        No request is cut off: each ends by itself, at its deadline at the
        latest, or by a refusal before the process is killed. The records of
        non-idempotent calls go to other entries as soon as none of these calls
        runs, so that no long stream puts them at risk.
        """
        self.is_draining = True
        serve, settle = self.mode.drain, SETTLE_LIMIT
        grace_period = self.mode.grace_period
        if grace_period is not None:
            self.shutdown.set_end(
                self.clock.now() + REQUEST_SHARE * grace_period
            )
            serve = min(serve, SERVE_SHARE * grace_period)
            settle = min(settle, SETTLE_SHARE * grace_period)
        logger.info("Drains for %s.", serve)
        await asyncio.sleep(serve.total_seconds())
        self.is_closing = True
        await self.call_runner.finish(settle, self.shutdown.get_loop_end())
        await self._hand_over()
        while self.open_request_count:
            await asyncio.sleep(OPEN_REQUESTS_POLL.total_seconds())

    async def _hand_over(self) -> None:
        """Give all records to other live entries."""
        others = tuple(
            member
            for member in self.view.members
            if member.state in locate.STATE_RANKS
            and member.entry != self.address
        )
        parts = self.ledger.hand_over()
        heir_count = await self.peers.hand_over(parts, others)
        logger.info("Records are kept by %d other entries.", heir_count)

    async def check_health(self, request: web.Request) -> web.Response:
        """Answer that the process lives."""
        del request
        return web.json_response({"state": "live"})

    async def check_ready(self, request: web.Request) -> web.Response:
        """Answer 200 once it can serve, and until it drains.

        Services are there at once, so where there are models, one of them
        must be served.
        """
        del request
        rows = self.view.table.rows
        models = [row for row in rows if row.kind is table_lib.RowKind.MODEL]
        can_serve = any(self.view.upstreams_for(row) for row in models or rows)
        is_ready = can_serve and not self.is_draining
        return web.json_response(
            {"ready": is_ready}, status=200 if is_ready else 503
        )

    async def locate(self, request: web.Request) -> web.Response:
        """Answer the entries that a caller should use, nearest zone first."""
        chosen = locate.Locator(self.address, self.random).choose(
            self.view.members,
            request.query.get("zone", self.mode.zone),
            self.is_draining,
        )
        return web.json_response(
            {
                "entries": [
                    {"address": member.entry, "zone": member.zone}
                    for member in chosen
                ],
                "keep_seconds": self.mode.keep.total_seconds(),
                "key_prefix": self.ledger.issue_prefix(),
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
