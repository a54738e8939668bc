"""Assembles an entry and its HTTP API for callers."""

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
from cicadahook.core import entry_locator
from cicadahook.core import errors
from cicadahook.core import idempotency
from cicadahook.core import idempotency_keys
from cicadahook.core import quarantine
from cicadahook.core import retry
from cicadahook.core import table as table_lib
from cicadahook.core import view as view_lib
from cicadahook.net import at_most_once
from cicadahook.net import attempts
from cicadahook.net import claims
from cicadahook.net import completions
from cicadahook.net import dispatch
from cicadahook.net import entry_peers
from cicadahook.net import http_server
from cicadahook.net import keyvalue
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import relay
from cicadahook.net import request_parsing
from cicadahook.net import service_calls
from cicadahook.net import service_connections
from cicadahook.net import shutdown_limit
from cicadahook.net import suspect_trials
from cicadahook.net import upstream_connections

INCARNATION_BYTES: Final = 8
OPEN_REQUESTS_POLL: Final = datetime.timedelta(seconds=0.02)
CLAIM_WRITE_LIMIT: Final = datetime.timedelta(seconds=5)
# Shares of the grace period. New requests are accepted for about half of it, so
# that most of them can finish; open requests are ended at the second share. The
# last fifth is left for claims, the hand-over of records and the exit.
SERVE_SHARE: Final = 0.45
REQUEST_SHARE: Final = 0.8
CLAIM_WRITE_SHARE: Final = 0.05
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
        name: name of the entry's VM.
        zone: availability zone of the VM.
        address_lifetime: how long callers may cache an address answer.
        admission: settings of admission and routing.
        key_value: `host:port` of the key-value service.
        records: settings of the records of non-idempotent calls.
        cluster_key: secret shared by all daemons.
        drain: how long a stopping entry serves until cached address answers
            have expired.
        grace_period: time from the stop signal to the kill; None if the
            process is not killed.
        progress: time limits within a stream.
    """

    name: str
    zone: str
    address_lifetime: datetime.timedelta
    admission: admission.AdmissionMode
    key_value: str
    records: idempotency.LedgerMode
    cluster_key: str
    drain: datetime.timedelta
    progress: attempts.ProgressMode
    grace_period: datetime.timedelta | None = None


class Entry:
    """An entry: admits, routes and answers callers' requests.

    Attributes:
        owner: name and incarnation under which it owns idempotency keys.
        is_draining: whether it has been asked to stop.
        is_closing: whether it accepts only resends that may have a record.
        open_request_count: number of callers' requests in progress.
    """

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
        self.owner = idempotency_keys.Owner(
            mode.name, secrets.token_hex(INCARNATION_BYTES)
        )
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
        self.service_connections = service_connections.ServiceConnections(
            clock, mode.name
        )
        self.services = service_calls.ServiceCallsApi(
            mode.name,
            clock,
            self.dispatcher,
            service_calls.ServiceCallComponents(
                self.service_connections,
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
        """The `host:port` that it listens on; empty before it does."""
        return self.suspects.address

    @address.setter
    def address(self, address: str) -> None:
        self.suspects.address = address

    @property
    def view(self) -> view_lib.View:
        """The latest view."""
        return self.dispatcher.view

    def create_app(self) -> web.Application:
        """Return the application that serves callers."""
        app = http_server.create_app()
        app.router.add_get("/healthz", self.check_health)
        app.router.add_get("/readyz", self.check_ready)
        app.router.add_get("/metrics", metrics.serve)
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
        """Apply a view; keep the current table if the view's is older."""
        if new.table.generation < self.view.table.generation:
            logger.warning(
                "Current table %d kept: control %s sent older table %d.",
                self.view.table.generation,
                new.control,
                new.table.generation,
            )
            new = dataclasses.replace(new, table=self.view.table)
        self.dispatcher.view = new
        self.suspects.merge(new.suspects)
        self.connections.retire_unlisted(new.upstream_by_address.keys())

    def create_report(self) -> view_lib.Report:
        """Return what happened since the previous report."""
        return view_lib.Report(
            entry=self.address,
            generation=self.view.table.generation,
            draining=self.is_draining,
            uses=self.dispatcher.create_uses(),
            demands=self.dispatcher.collect_demands(),
            suspects=self.suspects.list_suspects(),
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
        """Count callers' open requests; refuse new ones when closing."""
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
        """Close connections while draining.

        Otherwise a caller could send its next request on a connection that is
        about to close.
        """
        del request
        if self.is_draining:
            response.headers["Connection"] = "close"
            response.force_close()

    def _check_open(self, request: web.Request) -> None:
        """Refuse requests before the first view and at the end of a drain.

        In both cases this entry does not know whether another one has run the
        key of a request, so the outcome of a request with a key is unknown.

        Raises:
            errors.RefusalError: the entry has no view yet, or is closing.
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
        # Only calls of services have records from which a resend is answered.
        is_service = request.path.startswith(service_calls.PATH_PREFIX)
        if self.is_closing and not (has_key and is_service):
            raise idempotency.create_draining_error(outcome)

    async def drain(self) -> None:
        """Serve until cached address answers have expired, then finish.

        Each request ends by its deadline, or with a refusal before the process
        is killed. The records of non-idempotent calls are handed to other
        entries as soon as none of these calls runs. Otherwise they would be
        lost if the process were killed while it serves a long stream.
        """
        self.is_draining = True
        serve_limit, claim_write_limit = self.mode.drain, CLAIM_WRITE_LIMIT
        grace_period = self.mode.grace_period
        if grace_period is not None:
            self.shutdown.set_end(
                self.clock.now() + REQUEST_SHARE * grace_period
            )
            serve_limit = min(serve_limit, SERVE_SHARE * grace_period)
            claim_write_limit = min(
                claim_write_limit, CLAIM_WRITE_SHARE * grace_period
            )
        logger.info("Draining; new requests are accepted for %s.", serve_limit)
        await asyncio.sleep(serve_limit.total_seconds())
        self.is_closing = True
        await self.call_runner.finish(
            claim_write_limit, self.shutdown.get_loop_end()
        )
        await self._hand_over()
        while self.open_request_count:
            await asyncio.sleep(OPEN_REQUESTS_POLL.total_seconds())

    async def _hand_over(self) -> None:
        """Hand all records over to other live entries."""
        others = tuple(
            member
            for member in self.view.members
            if member.state in entry_locator.STATE_RANKS
            and member.entry != self.address
        )
        parts = self.ledger.hand_over()
        successor_count = await self.peers.hand_over(parts, others)
        logger.info("Records handed over to %d other entries.", successor_count)

    async def check_health(self, request: web.Request) -> web.Response:
        """Answer that the process is alive."""
        del request
        return web.json_response({"state": "live"})

    async def check_ready(self, request: web.Request) -> web.Response:
        """Answer 200 once the entry can serve, and until it drains.

        Upstreams of services are available at once, so if the table has
        models, at least one of them must be served.
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
        chosen = entry_locator.EntryLocator(self.address, self.random).choose(
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
                "keep_seconds": self.mode.address_lifetime.total_seconds(),
                "key_prefix": self.ledger.issue_prefix(),
            }
        )

    async def list_models(self, request: web.Request) -> web.Response:
        """Answer the list of all models and adapters."""
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
