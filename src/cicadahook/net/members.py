"""Which entry VMs there are, by leased registrations."""

import asyncio
import datetime
from typing import Final

import pydantic
from reactivex import subject

from cicadahook.core import errors
from cicadahook.core import view
from cicadahook.net import keyvalue
from cicadahook.net import logs

MEMBER_PREFIX: Final = "members/"
LEASE_TTL: Final = datetime.timedelta(seconds=3)
RENEW_PAUSE: Final = datetime.timedelta(seconds=1)

logger: Final = logs.create_logger("members")

_MEMBER: Final = pydantic.TypeAdapter(view.Member)


class MemberRegistry:
    """Registers this VM and publishes all members on `members`."""

    def __init__(
        self, client: keyvalue.KeyValueClient, own: view.Member
    ) -> None:
        self.client = client
        self.own = own
        self.lease = ""
        self.members: subject.BehaviorSubject[tuple[view.Member, ...]] = (
            subject.BehaviorSubject((own,))
        )

    async def run(self) -> None:
        """Keep the registration until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._register())
            group.create_task(self._follow())

    async def update(self, own: view.Member) -> None:
        """Replace what is registered of this VM."""
        self.own = own
        await self._write()

    async def leave(self) -> None:
        """Remove the registration."""
        try:
            await self.client.revoke(self.lease)
        except errors.KeyValueError as error:
            logger.warning("Registration left to lapse: %s.", error)

    async def _register(self) -> None:
        while True:
            try:
                if not self.lease or not await self.client.renew(self.lease):
                    self.lease = await self.client.grant(LEASE_TTL)
                    await self._write()
            except errors.KeyValueError as error:
                logger.warning("Registration not renewed: %s.", error)
            await asyncio.sleep(RENEW_PAUSE.total_seconds())

    async def _write(self) -> None:
        key = MEMBER_PREFIX + self.own.name
        entry = await self.client.get(key)
        await self.client.put(
            key,
            _MEMBER.dump_json(self.own).decode(),
            entry.revision,
            self.lease,
        )

    async def _follow(self) -> None:
        async for snapshot in self.client.follow(MEMBER_PREFIX, RENEW_PAUSE):
            self.members.on_next(
                tuple(
                    _MEMBER.validate_json(entry.value)
                    for entry in snapshot.entries
                )
            )
