"""Stores claims of idempotency keys in the key-value service.

A claim makes sure that only one entry runs the call of a key.
"""

import asyncio
import dataclasses
import datetime
from typing import Final

import pydantic

from cicadahook.core import errors
from cicadahook.core import hashing
from cicadahook.core import keyed_calls
from cicadahook.net import keyvalue
from cicadahook.net import logs

CLAIM_PREFIX: Final = "claims/"
SAVE_DELAY: Final = datetime.timedelta(seconds=0.5)
MAX_SAVE_DELAY: Final = datetime.timedelta(seconds=10)

logger: Final = logs.create_logger("claims")

_CLAIM: Final = pydantic.TypeAdapter(keyed_calls.Claim)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredClaim:
    """A claim as the service stores it, and its revision."""

    claim: keyed_calls.Claim
    revision: int


class ClaimStore:
    """Reads and writes claims."""

    def __init__(self, client: keyvalue.KeyValueClient) -> None:
        self.client = client

    async def make(self, wanted: keyed_calls.MakeClaim) -> StoredClaim:
        """Write a claim; return the stored one, this entry's or another's.

        Raises:
            errors.KeyValueError: it is unknown which claim is stored.
        """
        key = wanted.claim.record.key
        try:
            revision = await self.client.put(
                _path(key), _encode(wanted.claim), wanted.expected
            )
        except errors.KeyValueError:
            # After a lost reply or a conflict, a read shows whether the stored
            # claim is this entry's.
            stored = await self.read(key)
            if stored is None:
                raise
            return stored
        return StoredClaim(wanted.claim, revision)

    async def read(self, key: str) -> StoredClaim | None:
        """Return the claim of `key`, or None if there is none."""
        entry = await self.client.get(_path(key))
        if entry.revision == keyvalue.ABSENT_REVISION:
            return None
        return StoredClaim(_CLAIM.validate_json(entry.value), entry.revision)

    async def write_outcome(self, effect: keyed_calls.ClaimUpdate) -> None:
        """Write the final state of a claim; retry until it is stored."""
        delay = SAVE_DELAY
        while True:
            try:
                await self._write_outcome_once(effect)
                return
            except errors.KeyValueError as error:
                logger.warning(
                    "Claim not stored in its final state; retried: %s.",
                    error,
                )
            await asyncio.sleep(delay.total_seconds())
            delay = min(2 * delay, MAX_SAVE_DELAY)

    async def _write_outcome_once(
        self, effect: keyed_calls.ClaimUpdate
    ) -> None:
        record = effect.claim.record
        stored = await self.read(record.key)
        if stored is None or stored.claim.record.token != record.token:
            return
        if isinstance(effect, keyed_calls.DropClaim):
            await self.client.delete(_path(record.key), stored.revision)
        elif stored.claim != effect.claim:
            await self.client.put(
                _path(record.key), _encode(effect.claim), stored.revision
            )


def _path(key: str) -> str:
    """Return the path of a claim.

    The service allows fewer characters than idempotency keys may have.
    """
    return CLAIM_PREFIX + hashing.hash128_hex(key)


def _encode(claim: keyed_calls.Claim) -> str:
    return _CLAIM.dump_json(claim).decode()
