"""Connections to upstreams, and queries of what they are."""

import abc
from collections.abc import Callable, Mapping
import dataclasses
import datetime
from typing import ClassVar, Final

import aiohttp
import yarl

from cicadahook.core import answer_ends
from cicadahook.core import clock as clock_lib
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.core import routes
from cicadahook.net import answer_protocol
from cicadahook.net import connection_pools
from cicadahook.net import end_checks
from cicadahook.net import link_probe
from cicadahook.net import logs
from cicadahook.net import upstream_answers

QUERY_TIMEOUT: Final = datetime.timedelta(milliseconds=1000)
# A report names a few hundred models, adapters and requests.
MAX_REPORT_BYTES: Final = 1024 * 1024

logger: Final = logs.create_logger("upstreams")


@dataclasses.dataclass(frozen=True)
class QueryReply:
    """An upstream's reply to a query.

    Attributes:
        response: status and headers.
        body: the whole body.
        connected: when its connection was opened.
    """

    response: aiohttp.ClientResponse
    body: bytes
    connected: datetime.datetime


class UpstreamCalls(abc.ABC):
    """Keeps connections to upstreams open and queries them.

    Attributes:
        report_path: path at which engines report.
        clock: the time.
        pools: connections for callers' requests.
        order_pools: connections for orders and queries.
        buffer: bytes of all plain answers that are being read.
        links: passes on what calls show of the links.
        end_checks: checks answers that ended with their connection.
        find_service: returns the service of a name, or None.
        acquire_call: returns whether a call beside callers' requests may be
            sent to an upstream now, and records it if so.
    """

    report_path: ClassVar[str]

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.links = upstream_answers.LinkWatch()
        self.buffer = upstream_answers.AnswerBuffer()
        self.find_service: Callable[[str], routes.Service | None] = (
            lambda name: None
        )
        self.acquire_call: Callable[[inventory.Instance], bool] = (
            lambda instance: True
        )
        lost = answer_ends.LostConnections(clock)
        self.end_checks = end_checks.EndChecker(lost, self.ask)
        self.pools = connection_pools.ConnectionPools(
            clock, resets=False, lost=lost
        )
        self.order_pools = connection_pools.ConnectionPools(
            clock, resets=True, max_body_bytes=MAX_REPORT_BYTES, lost=lost
        )

    @abc.abstractmethod
    def create_query_headers(
        self, instance: inventory.Instance
    ) -> Mapping[str, str]:
        """Return headers by which only `instance` answers a query."""

    @abc.abstractmethod
    def is_same_start(
        self, instance: inventory.Instance, reply: QueryReply
    ) -> bool:
        """Whether a reply is of an upstream's start, as far as it tells."""

    @abc.abstractmethod
    def record_statement(
        self,
        instance: inventory.Instance,
        response: aiohttp.ClientResponse,
        sent: datetime.datetime,
        request_id: str = "",
    ) -> None:
        """Pass on what an answer says of its upstream."""

    async def close(self) -> None:
        """Close all connections."""
        await self.end_checks.close()
        await self.pools.close()
        await self.order_pools.close()

    async def query(
        self, instance: inventory.Instance, path: str
    ) -> QueryReply | None:
        """Return an upstream's reply to a query; None if it could not be read.

        Args:
            instance: the upstream; others at its address answer that they are.
            path: what is asked for.
        """
        sent = self.clock.now()
        try:
            with self.links.watch(instance):
                response = await self.order_pools.take(instance).get(
                    yarl.URL(f"http://{instance.address}{path}", encoded=True),
                    headers=self.create_query_headers(instance),
                    timeout=aiohttp.ClientTimeout(
                        QUERY_TIMEOUT.total_seconds()
                    ),
                )
            with self.order_pools.settle(instance, response):
                self.record_statement(instance, response, sent)
                if response.status != 200:
                    logger.info(
                        "Query of an upstream refused.",
                        extra={
                            "instance": instance.id,
                            "path": path,
                            "status": response.status,
                            "retry_after": response.headers.get("Retry-After"),
                        },
                    )
                body = await response.read()
        except (aiohttp.ClientError, OSError) as error:
            self.log_unread(instance, error)
            return None
        opened = answer_protocol.find_opened(response)
        return QueryReply(response, body, opened or self.clock.now())

    def log_unread(
        self, instance: inventory.Instance, error: Exception
    ) -> None:
        """Log that there is no reply to a query, or one that makes no sense."""
        logger.info(
            "Query of an upstream failed.",
            extra={"instance": instance.id, "error": repr(error)},
        )

    def prepare_end_check(self, instance: inventory.Instance) -> None:
        """Have a connection besides that of an answer that ends with its own.

        It shows what a new connection, opened after the end, does not.
        """
        if not self.order_pools.kept.count(instance, self.clock.now()):
            self.end_checks.prepare(instance)

    async def ask(
        self, instance: inventory.Instance
    ) -> answer_ends.Reply | None:
        """Return what an upstream replies now; None if nothing in time.

        One that may not be queried is asked by a connection only.
        """
        service = self.find_service(instance.service)
        path = service.health_path if service else ""
        if service is not None and service.engines is not None:
            path = self.report_path
        if not path or not self.acquire_call(instance):
            event = await self.probe(instance)
            if event is not forwarding.LinkEvent.CONNECTED:
                return None
            return answer_ends.Reply(self.clock.now(), is_same_start=True)
        reply = await self.query(instance, path)
        if reply is None:
            return None
        return answer_ends.Reply(
            reply.connected, self.is_same_start(instance, reply)
        )

    async def probe(self, instance: inventory.Instance) -> forwarding.LinkEvent:
        """Return what a new connection shows of the link to an upstream."""
        return await link_probe.probe(instance)
