"""Client of upstreams: callers' requests, orders and engine reports."""

from collections.abc import AsyncIterator, Callable, Mapping
import contextlib
import datetime
import functools
from typing import Any, Final

import aiohttp
import yarl

from cicadahook.core import clock as clock_lib
from cicadahook.core import engine_orders
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.core import upstream_statements
from cicadahook.net import logs
from cicadahook.net import upstream_answers
from cicadahook.net import upstream_calls
from cicadahook.platform import answer_heads
from cicadahook.platform import headers as header_names
from cicadahook.platform import messages

# An engine answers an order at once, and a repeated order does no harm, so
# the time limit can be short.
ORDER_TIMEOUT: Final = datetime.timedelta(milliseconds=120)
SKIPPED_AUTO_HEADERS: Final = (
    "User-Agent",
    "Accept",
    "Accept-Encoding",
    "Content-Type",
)

StatementListener = Callable[
    [inventory.Instance, upstream_statements.Statement, datetime.datetime], None
]

logger: Final = logs.create_logger("upstreams")

ORDER_RESULTS_BY_STATUS: Final = {
    200: engine_orders.OrderResult.HELD,
    202: engine_orders.OrderResult.ACCEPTED,
    400: engine_orders.OrderResult.INVALID,
    409: engine_orders.OrderResult.CONFLICT,
    412: engine_orders.OrderResult.FENCED,
    421: engine_orders.OrderResult.ABSENT,
}


class UpstreamClient(upstream_calls.UpstreamCalls):
    """Sends requests, orders and queries to upstreams.

    Attributes:
        statement_listener: called with each answer's upstream, what it says
            of itself and when the call was sent.
    """

    report_path = "/report"

    def __init__(self, clock: clock_lib.Clock) -> None:
        super().__init__(clock)
        self.statement_listener: StatementListener = (
            lambda instance, statement, sent: None
        )

    @contextlib.asynccontextmanager
    async def send(
        self, attempt: forwarding.Attempt
    ) -> AsyncIterator[upstream_answers.UpstreamAnswer]:
        """Send a request and yield its answer; an early exit cancels it.

        Raises:
            forwarding.AttemptError: no answer arrived that may be passed on.
        """
        request = attempt.request
        url = yarl.URL(
            f"http://{attempt.instance.address}{request.path}", encoded=True
        )
        sent = self.clock.now()
        with (
            upstream_answers.translate_errors(),
            self.links.watch(attempt.instance),
        ):
            response = await self.pools.take_for(attempt).request(
                request.method,
                url,
                headers=header_names.encode_request(attempt),
                data=request.body or None,
                skip_auto_headers=SKIPPED_AUTO_HEADERS,
                allow_redirects=False,
            )
        with self.pools.settle(attempt.instance, response):
            self.record_statement(attempt.instance, response, sent, request.id)
            head = answer_heads.decode(
                response, request.id, self.pools.kept.node
            )
            if head.body_end is forwarding.BodyEnd.CLOSE:
                self.prepare_end_check(attempt.instance)
            yield upstream_answers.UpstreamAnswer(
                head,
                response,
                self.buffer,
                functools.partial(self.links.watch, attempt.instance),
                functools.partial(
                    self.end_checks.check,
                    attempt.instance,
                    request_id=request.id,
                ),
            )

    async def fetch_report(
        self, instance: inventory.Instance
    ) -> engine_orders.EngineReport | None:
        """Return the report of an engine, or None if it could not be read."""
        reply = await self.query(instance, self.report_path)
        if reply is None or reply.response.status != 200:
            return None
        try:
            return messages.decode_report(reply.body)
        except messages.MessageError as error:
            self.log_unread(instance, error)
            return None

    def create_query_headers(
        self, instance: inventory.Instance
    ) -> Mapping[str, str]:
        """Return headers by which only `instance` answers a query."""
        return {header_names.EXPECTED_INSTANCE: instance.id}

    def is_same_start(
        self, instance: inventory.Instance, reply: upstream_calls.QueryReply
    ) -> bool:
        """Whether a reply is of an upstream's start, as far as it tells."""
        response = reply.response
        named = response.headers.get(header_names.INSTANCE_ID, instance.id)
        if named != instance.id or response.status == answer_heads.MISDIRECTED:
            return False
        return messages.find_start(reply.body) in (None, instance.born)

    async def send_order(
        self, instance: inventory.Instance, order: engine_orders.Order
    ) -> engine_orders.OrderResult:
        """Send an order and return its result.

        Without an answer it is unknown whether the order is carried out.
        """
        body: dict[str, Any] = {
            "operation": order.operation.value,
            "model": order.model,
            "holder": order.holder,
            "fencing_token": order.fence,
            # The number of orders that the engine has accepted so far.
            "expected": order.expected_sequence,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        sent = self.clock.now()
        try:
            with self.links.watch(instance):
                # The answer names no order. One to an unload frees memory, so
                # none may have come before it; see `OrderSender.send`.
                is_unload = order.operation is engine_orders.Operation.UNLOAD
                response = await self.order_pools.take(
                    instance, is_new=is_unload
                ).post(
                    f"http://{instance.address}/order",
                    json=body,
                    headers={header_names.EXPECTED_INSTANCE: instance.id},
                    timeout=aiohttp.ClientTimeout(
                        ORDER_TIMEOUT.total_seconds()
                    ),
                )
            with self.order_pools.settle(instance, response):
                self.record_statement(instance, response, sent)
                await response.read()
                return ORDER_RESULTS_BY_STATUS.get(
                    response.status, engine_orders.OrderResult.UNKNOWN
                )
        except aiohttp.ClientConnectorError:
            return engine_orders.OrderResult.NOT_SENT
        except (aiohttp.ClientError, OSError):
            return engine_orders.OrderResult.UNKNOWN

    def record_statement(
        self,
        instance: inventory.Instance,
        response: aiohttp.ClientResponse,
        sent: datetime.datetime,
        request_id: str = "",
    ) -> None:
        """Pass on what an answer says of its upstream.

        A late answer, and a 421 of another upstream at this address, say
        nothing now. What is not stated has ended only if the answer is signed:
        refusals may lack it.
        """
        answered_id = response.headers.get(header_names.REQUEST_ID, "")
        if response.status == 421 or answered_id != request_id:
            return
        statement = header_names.decode_statement(
            response.headers,
            response.status,
            is_complete=header_names.SIGNATURE in response.headers,
        )
        if statement.unreadable:
            logger.warning(
                "Statements of an upstream ignored; they cannot be read.",
                extra={
                    "instance": instance.id,
                    "statements": sorted(statement.unreadable),
                },
            )
        self.statement_listener(instance, statement, sent)
