"""Tells callers which addresses to use."""

from collections.abc import Callable
import dataclasses
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import roster as roster_lib

# Callers keep answers up to three times as long; short ones drain soonest.
DEFAULT_LIFETIME: Final = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class AddressAnswer:
    """Addresses of entries, and how long they may be kept."""

    addresses: tuple[str, ...]
    lifetime: datetime.timedelta


class AddressDirectory:
    """Answers address calls from the roster."""

    def __init__(
        self,
        roster: roster_lib.Roster,
        clock: clock_lib.Clock,
        is_ready: Callable[[], bool],
        max_lifetime: datetime.timedelta,
    ) -> None:
        self.roster = roster
        self.clock = clock
        self.is_ready = is_ready
        self.lifetime = min(DEFAULT_LIFETIME, max_lifetime)

    def resolve(self, zone: str, region: str) -> AddressAnswer:
        """Return the addresses for a caller in `zone`."""
        addresses = self.roster.list_addresses(
            zone, region, self.is_ready(), self.clock.now()
        )
        return AddressAnswer(addresses, self.lifetime)
