"""Registration of this VM in the key-value service.

Other controls join the gossip through the registered addresses.
"""

import datetime
from typing import Final

import pydantic
from reactivex import subject

from cicadahook.core import errors
from cicadahook.core import view
from cicadahook.net import keyvalue
from cicadahook.net import logs

MEMBER_PREFIX: Final = "members/"
LEASE_TTL: Final = datetime.timedelta(seconds=30)
RENEW_PAUSE: Final = datetime.timedelta(seconds=10)
FIRST_RENEW_PAUSE: Final = datetime.timedelta(seconds=1)
FIRST_ROUNDS: Final = 3

logger: Final = logs.create_logger("members")

_MEMBER: Final = pydantic.TypeAdapter(view.Member)


class MemberRegistry:
    """Registers this VM and publishes the others' addresses on `seeds`."""

    def __init__(
        self, client: keyvalue.KeyValueClient, own: view.Member
    ) -> None:
        self.client = client
        self.own = own
        self.lease = ""
        self.seeds: subject.BehaviorSubject[tuple[str, ...]] = (
            subject.BehaviorSubject(())
        )

    async def run(self) -> None:
        """Keep the registration and read the others' until cancelled.

        The qualified name of this method is the value of a metric label.
        """
        rounds = 0
        while True:
            try:
                await self._register()
                await self._read()
            except errors.KeyValueError as error:
                logger.warning(
                    "Registration not renewed; it is tried again: %s.", error
                )
            rounds += 1
            is_new = rounds <= FIRST_ROUNDS
            pause = FIRST_RENEW_PAUSE if is_new else RENEW_PAUSE
            jitter = self.client.gate.rng.uniform(0.7, 1.0)
            await self.client.sleep(pause * jitter)

    async def leave(self) -> None:
        """Remove the registration."""
        if not self.lease:
            return
        try:
            await self.client.revoke(self.lease)
        except errors.KeyValueError as error:
            logger.warning(
                "Registration could not be removed and will expire: %s.", error
            )

    async def _register(self) -> None:
        """Renew the lease, or register again if it has expired."""
        if self.lease and await self.client.renew(self.lease):
            return
        self.lease = await self.client.grant(LEASE_TTL)
        key = MEMBER_PREFIX + self.own.name
        entry = await self.client.get(key)
        value = _MEMBER.dump_json(self.own).decode()
        try:
            await self.client.put(key, value, entry.revision, self.lease)
        except errors.KeyValueError:
            self.lease = ""
            raise

    async def _read(self) -> None:
        snapshot = await self.client.list(MEMBER_PREFIX)
        found = (
            _MEMBER.validate_json(entry.value) for entry in snapshot.entries
        )
        self.seeds.on_next(
            tuple(
                member.control
                for member in found
                if member.name != self.own.name
            )
        )
