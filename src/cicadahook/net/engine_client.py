"""HTTP client of the engines' control API: state and orders."""

import dataclasses
import datetime
from typing import Final

import aiohttp
import pydantic

from cicadahook.core import errors
from cicadahook.core import reconciliation
from cicadahook.core import upstream_record
from cicadahook.core import view

CALL_TIMEOUT: Final = datetime.timedelta(seconds=2)
ORDER_TIMEOUT: Final = datetime.timedelta(minutes=2)
NO_MEMORY_STATUS: Final = 507


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCopy:
    """A copy that an engine reports."""

    row: str
    version: str
    state: view.CopyState
    memory_bytes: int
    base: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """State that an engine reports; it lags behind the actual state."""

    incarnation: str
    capacity_bytes: int
    used_bytes: int
    copies: tuple[EngineCopy, ...]
    state: view.UpstreamState
    in_flight: int = 0
    fencing: int = 0
    role: str = ""


_STATE: Final = pydantic.TypeAdapter(EngineState)


@dataclasses.dataclass
class EngineClient:
    """Calls engines over HTTP."""

    session: aiohttp.ClientSession

    async def fetch_state(self, address: str) -> EngineState:
        """Return the state that the engine at `address` reports.

        Raises:
            errors.UpstreamError: it did not answer in time, or not correctly.
        """
        try:
            async with self.session.get(
                f"http://{address}/state", timeout=_timeout()
            ) as response:
                response.raise_for_status()
                return _STATE.validate_json(await response.read())
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise errors.UpstreamError(f"{address}: {error!r}") from error

    async def send_order(
        self, address: str, order: upstream_record.Order
    ) -> reconciliation.Answer:
        """Send `order`; return the engine's answer within ORDER_TIMEOUT.

        Raises:
            errors.UpstreamError: the engine did not answer; the order may
                still arrive.
        """
        body = dataclasses.asdict(order)
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT.total_seconds())
        try:
            async with self.session.post(
                f"http://{address}/orders", json=body, timeout=timeout
            ) as response:
                if response.status < 400:
                    return reconciliation.Answer.DONE
                if response.status < 500 or response.status == NO_MEMORY_STATUS:
                    return reconciliation.Answer.REFUSED
                raise errors.UpstreamError(
                    f"{address}: status {response.status}"
                )
        except aiohttp.ClientConnectorError:
            return reconciliation.Answer.NOT_SENT
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.UpstreamError(f"{address}: {error!r}") from error


def _timeout() -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=CALL_TIMEOUT.total_seconds())
