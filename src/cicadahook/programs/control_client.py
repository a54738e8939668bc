"""HTTP client of the controls, used by the commands of cicadactl."""

import asyncio
from collections.abc import Coroutine, Mapping
import dataclasses
from typing import Any, Final, TypeVar

import aiohttp

from cicadahook.core import errors

CALL_TIMEOUT_SECONDS: Final = 5.0

ResultT = TypeVar("ResultT")


class CallError(errors.CicadaError):
    """A control answered a call with an error."""


class NoControlError(errors.CicadaError):
    """No control answered."""


@dataclasses.dataclass(frozen=True)
class ControlClient:
    """Calls the first of several controls that answers.

    Attributes:
        controls: `host:port` of each.
        token: the operators' token; empty if the controls ask for none.
    """

    controls: tuple[str, ...]
    token: str = ""

    def call(
        self, method: str, path: str, body: Mapping[str, Any] | None = None
    ) -> dict[str, Any]:
        """Return the answer of the first control that answers.

        Raises:
            CallError: that control refused the call.
            NoControlError: no control answered.
        """
        return asyncio.run(self._call_in_turn(method, path, body))

    def fetch_each(
        self, controls: tuple[str, ...], path: str
    ) -> dict[str, dict[str, Any]]:
        """Return the answers to GET `path` of those `controls` that answer."""
        return asyncio.run(self._fetch_each(controls, path))

    async def _call_in_turn(
        self, method: str, path: str, body: Mapping[str, Any] | None
    ) -> dict[str, Any]:
        failures = []
        async with self._open_session() as session:
            for control in self.controls:
                try:
                    return await _call(session, control, method, path, body)
                except (aiohttp.ClientError, TimeoutError) as error:
                    failures.append(f"{control}: {error or 'timed out'}")
        raise NoControlError("no control answered: " + "; ".join(failures))

    async def _fetch_each(
        self, controls: tuple[str, ...], path: str
    ) -> dict[str, dict[str, Any]]:
        async with self._open_session() as session:
            answers = await asyncio.gather(
                *(
                    _call_or_none(_call(session, control, "GET", path, None))
                    for control in controls
                )
            )
        pairs = zip(controls, answers, strict=True)
        return {control: answer for control, answer in pairs if answer}

    def _open_session(self) -> aiohttp.ClientSession:
        headers = {"Authorization": f"Bearer {self.token}"}
        return aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS),
            headers=headers if self.token else None,
        )


async def _call_or_none(call: Coroutine[Any, Any, ResultT]) -> ResultT | None:
    """Return the result of `call`, or None if it fails."""
    try:
        return await call
    except (aiohttp.ClientError, TimeoutError, CallError):
        return None


async def _call(
    session: aiohttp.ClientSession,
    control: str,
    method: str,
    path: str,
    body: Mapping[str, Any] | None,
) -> dict[str, Any]:
    """Return the answer of one control.

    Raises:
        CallError: the control refused the call.
    """
    async with session.request(
        method, f"http://{control}{path}", json=body
    ) as response:
        answer: dict[str, Any] = await response.json()
        if response.status >= 400:
            raise CallError(answer["error"]["message"])
        return answer
