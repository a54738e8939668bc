"""Decodes the heads of upstreams' answers to callers' requests.

An upstream may send bytes that belong to no request, or an earlier answer once
more, where the answer to the next request is due. Only the id tells them apart,
so without it an answer says nothing about the request at hand.
"""

from typing import Final

import aiohttp

from cicadahook.core import forwarding
from cicadahook.net import answer_protocol
from cicadahook.net import header_fields
from cicadahook.net import metrics
from cicadahook.platform import headers as header_names

EVENT_STREAM: Final = "text/event-stream"
MISDIRECTED: Final = 421
# By these statuses callers are told that their request has not run.
NOT_RUN_STATUSES: Final = frozenset({408, MISDIRECTED, 429, 503})


def decode(
    response: aiohttp.ClientResponse, request_id: str, node: str
) -> forwarding.AnswerHead:
    """Return the head of an answer that may be passed on.

    Args:
        response: the answer.
        request_id: id of the request that was sent; empty if it has none.
        node: name of the node, for metrics.

    Raises:
        forwarding.AttemptError: the request was not executed, or the answer
            does not belong to it.
    """
    headers = response.headers
    status = response.status
    answered_id = headers.get(header_names.REQUEST_ID)
    is_own = (answered_id or "") == request_id
    is_refusal = (
        header_names.NOT_EXECUTED in headers or status in NOT_RUN_STATUSES
    )
    number = getattr(response, "number", 0)
    detail = (
        f"status {status}, id {answered_id},"
        f" instance {headers.get(header_names.INSTANCE_ID)},"
        f" Retry-After {headers.get(header_names.RETRY_AFTER)},"
        f" answer {number} of its connection"
    )
    if repeated := header_fields.find_repeated(
        headers, header_names.SINGLE_HEADERS
    ):
        raise forwarding.AttemptError(
            forwarding.FailureKind.MALFORMED, f"{repeated} twice, {detail}"
        )
    if not is_own:
        if is_refusal:
            metrics.count_unproven_refusal("other_id", node)
        raise forwarding.AttemptError(forwarding.FailureKind.CROSSED, detail)
    if status == MISDIRECTED:
        raise forwarding.AttemptError(forwarding.FailureKind.MISSING, detail)
    if header_names.NOT_EXECUTED in headers:
        raise forwarding.AttemptError(forwarding.FailureKind.REJECTED, detail)
    if is_refusal:
        metrics.count_unproven_refusal("not_stated", node)
        raise forwarding.AttemptError(forwarding.FailureKind.MALFORMED, detail)
    is_success = 200 <= status < 300
    if is_success and header_names.SIGNATURE not in headers:
        raise forwarding.AttemptError(
            forwarding.FailureKind.MALFORMED, "success without signature"
        )
    return forwarding.AnswerHead(
        status,
        header_fields.strip_hop_by_hop_headers(headers.items()),
        is_success and response.content_type == EVENT_STREAM,
        answer_protocol.find_body_end(response),
    )
