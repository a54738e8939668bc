"""Answers callers' address lookups from a node's roster."""

from collections.abc import Callable
import dataclasses
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import roster as roster_lib

# Callers may cache an answer for up to three times this long. The shorter it
# is, the sooner the callers of a stopping node leave it.
DEFAULT_LIFETIME: Final = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class AddressAnswer:
    """Addresses of nodes, and how long callers may cache them."""

    addresses: tuple[str, ...]
    lifetime: datetime.timedelta


class AddressDirectory:
    """Answers address lookups from the roster.

    Attributes:
        roster: the known nodes.
        get_own_state: returns whether this node accepts callers.
        lifetime: how long callers may cache an answer.
    """

    def __init__(
        self,
        roster: roster_lib.Roster,
        clock: clock_lib.Clock,
        get_own_state: Callable[[], roster_lib.OwnState],
        max_lifetime: datetime.timedelta,
    ) -> None:
        self.roster = roster
        self.clock = clock
        self.get_own_state = get_own_state
        self.lifetime = min(DEFAULT_LIFETIME, max_lifetime)

    def is_ready(self) -> bool:
        """Whether this node accepts callers."""
        return self.get_own_state().is_ready

    def resolve(self, zone: str, region: str) -> AddressAnswer:
        """Return the addresses that a caller in `zone` should use."""
        addresses = self.roster.list_addresses(
            zone, region, self.get_own_state(), self.clock.now()
        )
        return AddressAnswer(addresses, self.lifetime)
