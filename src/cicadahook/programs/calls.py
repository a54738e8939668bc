"""Calls of the operators' client to a control."""

import asyncio
from collections.abc import Mapping
from typing import Any, Final

import aiohttp

from cicadahook.core import errors

CALL_SECONDS: Final = 10.0


class CallError(errors.CicadaError):
    """A control refused a call or did not answer."""


def call(
    control: str,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
) -> dict[str, Any]:
    """Return the answer of a control."""
    return asyncio.run(_call_async(control, method, path, body))


async def _call_async(
    control: str, method: str, path: str, body: Mapping[str, Any] | None
) -> dict[str, Any]:
    timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.request(
                method, f"http://{control}{path}", json=body
            ) as response:
                answer: dict[str, Any] = await response.json()
                if response.status >= 400:
                    raise CallError(answer["error"]["message"])
                return answer
    except (aiohttp.ClientError, TimeoutError) as error:
        raise CallError(f"control {control} did not answer: {error}") from error
