"""Client of upstreams: callers' requests, orders and engine reports."""

from collections.abc import AsyncIterator, Callable
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
from cicadahook.net import upstream_pools
from cicadahook.platform import answer_heads
from cicadahook.platform import headers as header_names
from cicadahook.platform import messages

# An engine answers an order at once, and a repeated order does no harm, so
# the time limit can be short.
ORDER_TIMEOUT: Final = datetime.timedelta(milliseconds=120)
REPORT_TIMEOUT: Final = datetime.timedelta(milliseconds=1000)
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


class UpstreamClient(upstream_pools.UpstreamPools):
    """Sends callers' requests, orders and report queries to upstreams.

    Attributes:
        statement_listener: called with each answer's upstream, what it says
            of itself and when the call was sent.
    """

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
            self._record_statement(attempt.instance, response, sent, request.id)
            with self.end_checks.watch(
                response, attempt.instance.address, request.id
            ) as check_end:
                yield upstream_answers.UpstreamAnswer(
                    answer_heads.decode(
                        response, request.id, self.pools.kept.node
                    ),
                    response,
                    self.buffer,
                    functools.partial(self.links.watch, attempt.instance),
                    check_end,
                )

    async def fetch_report(
        self, instance: inventory.Instance
    ) -> engine_orders.EngineReport | None:
        """Return the report of an engine, or None if it could not be read."""
        sent = self.clock.now()
        try:
            with self.links.watch(instance):
                response = await self.order_pools.take(instance).get(
                    f"http://{instance.address}/report",
                    timeout=_create_timeout(REPORT_TIMEOUT),
                )
            with self.order_pools.settle(instance, response):
                self._record_statement(instance, response, sent)
                if response.status != 200:
                    logger.info(
                        "Engine report refused.",
                        extra={
                            "instance": instance.id,
                            "status": response.status,
                            "retry_after": response.headers.get(
                                header_names.RETRY_AFTER
                            ),
                        },
                    )
                    return None
                return messages.decode_report(await response.read())
        except (
            aiohttp.ClientError,
            OSError,
            messages.MessageError,
        ) as error:
            logger.info(
                "Engine report could not be read.",
                extra={"instance": instance.id, "error": repr(error)},
            )
            return None

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
                    timeout=_create_timeout(ORDER_TIMEOUT),
                )
            with self.order_pools.settle(instance, response):
                self._record_statement(instance, response, sent)
                await response.read()
                return ORDER_RESULTS_BY_STATUS.get(
                    response.status, engine_orders.OrderResult.UNKNOWN
                )
        except aiohttp.ClientConnectorError:
            return engine_orders.OrderResult.NOT_SENT
        except (aiohttp.ClientError, OSError):
            return engine_orders.OrderResult.UNKNOWN

    def _record_statement(
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


def _create_timeout(duration: datetime.timedelta) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=duration.total_seconds())
