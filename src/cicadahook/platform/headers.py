"""Header names of the platform, and translation of request headers."""

from collections.abc import Callable, Iterable, Mapping
import datetime
import math
from typing import Any, Final

import multidict

from cicadahook.core import forwarding
from cicadahook.core import upstream_statements

REQUEST_ID: Final = "X-Request-Id"
DEADLINE: Final = "X-Deadline-Ms"
MODEL: Final = "X-Model"
TOKEN_COUNTS: Final = "X-Token-Counts"
PROMPT_PARTS: Final = "X-Prompt-Prefix"
LAST_EVENT_ID: Final = "Last-Event-Id"
# Id of the attempt that brought the first event of the stream to be resumed.
RESUMED_REQUEST_ID: Final = "Resumes"
PRIORITY: Final = "X-Request-Priority"
EXPECTED_INSTANCE: Final = "X-Expected-Instance"
INSTANCE_ID: Final = "X-Instance-Id"
NOT_EXECUTED: Final = "X-Not-Executed"
SIGNATURE: Final = "X-Response-Signature"
# Requests a second that an upstream takes from all nodes, as long as its
# answers say so.
REQUEST_LIMIT: Final = "Server-Limit"
# Rejections a second beyond which an upstream fails, as long as its answers say
# so.
REJECTION_BOUND: Final = "Server-Brittle"

# 1 in all answers of an upstream that accepts no new requests.
LEAVING: Final = "Server-Leaving"
# How long an upstream that rejects a request wants no other, in seconds.
RETRY_AFTER: Final = "Retry-After"
# Key by which a caller is known, which no upstream may see.
KEY: Final = "X-Key"
# Name of the tenant that holds the caller's key, for the upstream.
TENANT: Final = "X-Tenant"

LOWEST_PRIORITY: Final = 9
MAX_TOKENS: Final = 2**31 - 1

Decoder = Callable[[str], Any]
# Header and decoder of each field of a statement.
STATEMENT_DECODERS: Final[dict[str, tuple[str, Decoder]]] = {}

# This system sets these headers itself, so the values that callers send are
# not forwarded.
RESERVED_HEADERS: Final = frozenset(
    {
        name.lower()
        for name in (
            DEADLINE,
            PRIORITY,
            EXPECTED_INSTANCE,
            LAST_EVENT_ID,
            NOT_EXECUTED,
            INSTANCE_ID,
            "X-Expected-Version",
            "X-Hold",
            "X-Pin-Duration",
            "X-Kv-Backup",
            "Kv-From",
            "Kv-Fetch",
        )
    }
)

# Replaced by the node where callers need keys.
IDENTITY_HEADERS: Final = frozenset({KEY.lower(), TENANT.lower()})

# A message has each of these once; twice, it is joined from two messages.
SINGLE_HEADERS: Final = frozenset(
    {"Host", REQUEST_ID, DEADLINE, MODEL, TOKEN_COUNTS, PROMPT_PARTS}
    | {LAST_EVENT_ID, NOT_EXECUTED, SIGNATURE}
)


def encode_request(
    attempt: forwarding.Attempt,
) -> "multidict.CIMultiDict[str]":
    """Return the headers of a request to an upstream."""
    headers = multidict.CIMultiDict(attempt.request.headers)
    headers["Host"] = attempt.request.host
    headers[DEADLINE] = str(_to_ms(attempt.time_left))
    headers[EXPECTED_INSTANCE] = attempt.instance.id
    if attempt.request.generation is not None:
        headers[PRIORITY] = str(min(LOWEST_PRIORITY, attempt.priority))
    if attempt.last_event_id:
        headers[LAST_EVENT_ID] = attempt.last_event_id
    return headers


def decode_generation(
    headers: "multidict.CIMultiDictProxy[str]",
) -> forwarding.Generation | None:
    """Return the generation that a request asks for, or None.

    Raises:
        ValueError: a header of the generation is malformed.
    """
    # The value is MODEL or MODEL/ADAPTER.
    model, _, adapter = headers.get(MODEL, "").partition("/")
    if not model:
        return None
    prompt, _, output = headers.get(TOKEN_COUNTS, "0,0").partition(",")
    return forwarding.Generation(
        model,
        adapter,
        _decode_count(prompt),
        _decode_count(output or "0"),
        tuple(_decode_parts(headers.get(PROMPT_PARTS, ""))),
    )


def decode_time_limit(
    headers: "multidict.CIMultiDictProxy[str]",
) -> datetime.timedelta | None:
    """Return how long a caller waits for its answer; None if not stated.

    Raises:
        ValueError: the header is no number of milliseconds, or too large.
    """
    value = headers.get(DEADLINE)
    if value is None:
        return None
    try:
        return datetime.timedelta(milliseconds=float(value))
    except OverflowError as error:
        raise ValueError(f"{DEADLINE}: {value}") from error


def decode_statement(
    headers: Mapping[str, str], status: int, *, is_complete: bool
) -> upstream_statements.Statement:
    """Return what an answer says of its upstream.

    Args:
        headers: headers of the answer.
        status: its status; only a 503 asks for rest.
        is_complete: whether what is not stated has ended.
    """
    values: dict[str, Any] = {}
    unreadable = set()
    for field, (name, decode) in STATEMENT_DECODERS.items():
        value = headers.get(name)
        if value is None or (field == "rest" and status != 503):
            continue
        try:
            values[field] = decode(value)
        except ValueError:
            unreadable.add(field)
    return upstream_statements.Statement(
        **values, is_complete=is_complete, unreadable=frozenset(unreadable)
    )


def register_statement(field: str, header: str) -> Callable[[Decoder], Decoder]:
    """Return a decorator that registers the decoder of a statement.

    Args:
        field: field of `upstream_statements.Statement`.
        header: name of the header that states it.
    """

    def register(decode: Decoder) -> Decoder:
        STATEMENT_DECODERS[field] = (header, decode)
        return decode

    return register


@register_statement("rest", RETRY_AFTER)
def decode_rest(value: str) -> datetime.timedelta:
    """Return how long an upstream wants nothing.

    Raises:
        ValueError: the value is no number of seconds from 0 up, or a date.
    """
    try:
        return datetime.timedelta(seconds=decode_rate(value))
    except OverflowError as error:
        raise ValueError(value) from error


@register_statement("is_leaving", LEAVING)
def decode_flag(value: str) -> bool:
    """Return a flag, which is 1 or 0.

    Raises:
        ValueError: the value is something else.
    """
    if value not in ("0", "1"):
        raise ValueError(value)
    return value == "1"


@register_statement("request_limit", REQUEST_LIMIT)
@register_statement("rejection_bound", REJECTION_BOUND)
def decode_rate(value: str) -> float:
    """Return a number a second.

    Raises:
        ValueError: the value is no number from 0 up.
    """
    rate = float(value)
    if not 0 <= rate < math.inf:
        raise ValueError(value)
    return rate


def _decode_parts(value: str) -> Iterable[forwarding.PromptPart]:
    for part in filter(None, value.split(",")):
        name, _, tokens = part.strip().partition(":")
        yield forwarding.PromptPart(name, _decode_count(tokens))


def _decode_count(value: str) -> int:
    """Return a number of tokens.

    Raises:
        ValueError: it is no number, or one that no engine could hold.
    """
    count = int(value)
    if not 0 <= count <= MAX_TOKENS:
        raise ValueError(f"{value[:20]} tokens")
    return count


def _to_ms(duration: datetime.timedelta) -> int:
    return max(1, int(duration.total_seconds() * 1000))
