"""Validates callers' headers and bodies and returns typed requests."""

import asyncio
import dataclasses
import datetime
import re
from typing import Any, Final
import uuid

from aiohttp import web

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import hashing
from cicadahook.core import request as request_lib

DEADLINE_HEADER: Final = "X-Deadline-Ms"
PRIORITY_HEADER: Final = "X-Priority"
KEY_HEADER: Final = "Idempotency-Key"
REQUEST_HEADER: Final = "X-Request-Id"
ATTEMPT_HEADER: Final = "X-Attempt-Id"
DEFAULT_DEADLINE: Final = datetime.timedelta(seconds=60)
DEADLINE_LIMIT_MS: Final = 24 * 3600 * 1000
TOKEN_PATTERN: Final = re.compile(r"[!-~]{1,200}")
MAX_TOKENS_LIMIT: Final = 1_000_000


def read_request(
    http: web.Request, row: str, clock: clock_lib.Clock
) -> request_lib.Request:
    """Return the typed request that the headers of `http` describe.

    Raises:
        errors.RefusalError: a header is invalid; the reason names it.
    """
    now = clock.now()
    return request_lib.Request(
        id=_read_token(http, REQUEST_HEADER) or uuid.uuid4().hex,
        row=row,
        path=http.path,
        arrived=now,
        deadline=now + _read_deadline(http),
        priority=_read_priority(http),
        key=_read_token(http, KEY_HEADER),
    )


async def read_body(
    http: web.Request, request: request_lib.Request, clock: clock_lib.Clock
) -> bytes:
    """Return the body of `http`, waiting for it until the deadline.

    Raises:
        errors.RefusalError: the body did not end before the deadline.
    """
    left = request.deadline - clock.now()
    try:
        async with asyncio.timeout(left.total_seconds()):
            return await http.read()
    except TimeoutError as error:
        raise errors.RefusalError(
            "body_late",
            "body: must end before the deadline",
            408,
            # An earlier request may have run the key; that was not checked.
            errors.Outcome.UNKNOWN if request.key else errors.Outcome.NOT_RUN,
        ) from error


def _read_token(http: web.Request, name: str) -> str:
    """Return a header of up to 200 visible characters; empty if absent.

    Raises:
        errors.RefusalError: the header is invalid.
    """
    value = http.headers.get(name, "")
    if value and not TOKEN_PATTERN.fullmatch(value):
        raise _bad_header(name, "must be 1 to 200 visible ASCII characters")
    return value


def _read_deadline(http: web.Request) -> datetime.timedelta:
    value = http.headers.get(DEADLINE_HEADER)
    if value is None:
        return DEFAULT_DEADLINE
    if not (value.isascii() and value.isdigit()) or len(value) > 9:
        raise _bad_header(DEADLINE_HEADER, "must be a whole number of ms")
    milliseconds = int(value)
    if not 0 < milliseconds <= DEADLINE_LIMIT_MS:
        raise _bad_header(
            DEADLINE_HEADER, f"must be 1 to {DEADLINE_LIMIT_MS} ms"
        )
    return datetime.timedelta(milliseconds=milliseconds)


def _read_priority(http: web.Request) -> request_lib.Priority:
    value = http.headers.get(PRIORITY_HEADER, "normal")
    try:
        return request_lib.Priority[value.upper()]
    except KeyError as error:
        allowed = ", ".join(
            name.lower() for name in request_lib.Priority.__members__
        )
        raise _bad_header(
            PRIORITY_HEADER, f"must be one of {allowed}"
        ) from error


def _bad_header(name: str, reason: str) -> errors.RefusalError:
    return errors.RefusalError("bad_header", f"header {name}: {reason}", 400)


def with_content(
    request: request_lib.Request, body: dict[str, Any], is_chat: bool
) -> request_lib.Request:
    """Return `request` with prefix, fingerprint and parts of its body.

    Raises:
        errors.RefusalError: a field is missing or invalid; the reason names
            it.
    """
    _check_tokens(body)
    parts = _read_chat(body) if is_chat else [_read_prompt(body)]
    prompt = "\n".join(parts)
    return dataclasses.replace(
        request,
        prefix=prompt,
        fingerprint=hashing.hash128_hex(f"{request.row}\n{prompt}"),
        # The last message is the request's own.
        shared_parts=tuple(map(hashing.hash128_hex, parts[:-1])),
    )


def _check_tokens(body: dict[str, Any]) -> None:
    count = body.get("max_tokens", 1)
    is_count = isinstance(count, int) and not isinstance(count, bool)
    if not is_count or not 0 < count <= MAX_TOKENS_LIMIT:
        raise _bad_field("max_tokens", f"must be 1 to {MAX_TOKENS_LIMIT}")
    if not isinstance(body.get("stream", False), bool):
        raise _bad_field("stream", "must be true or false")


def _read_chat(body: dict[str, Any]) -> list[str]:
    """Return the texts of all messages.

    Raises:
        errors.RefusalError: the messages are missing or invalid.
    """
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _bad_field("messages", "must be a list with a message or more")
    if not all(isinstance(message, dict) for message in messages):
        raise _bad_field("messages", "must hold objects")
    return [
        f"{message.get('role')}: {message.get('content')}"
        for message in messages
    ]


def _read_prompt(body: dict[str, Any]) -> str:
    prompt = body.get("prompt")
    if not isinstance(prompt, str):
        raise _bad_field("prompt", "must be a text")
    return prompt


def read_model(body: dict[str, Any]) -> str:
    """Return the model that the body names.

    Raises:
        errors.RefusalError: the field is missing or invalid.
    """
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise _bad_field("model", "must be the name of a model or adapter")
    return model


def _bad_field(name: str, reason: str) -> errors.RefusalError:
    return errors.RefusalError("bad_field", f"field {name}: {reason}", 400)
