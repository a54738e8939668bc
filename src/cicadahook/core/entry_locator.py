"""Selects the entries that a caller should use, for GET /v1/locate."""

from collections.abc import Iterable
import dataclasses
import random
from typing import Final

from cicadahook.core import view

ADDRESS_LIMIT: Final = 8
STATE_RANKS: Final = {
    view.MemberState.ALIVE: 0,
    view.MemberState.SUSPECT: 1,
}


@dataclasses.dataclass(frozen=True)
class EntryLocator:
    """Orders entries for callers.

    Attributes:
        own: `host:port` of the entry that answers.
        random: spreads callers evenly over entries that are equally near.
    """

    own: str
    random: random.Random

    def choose(
        self, members: Iterable[view.Member], zone: str, is_draining: bool
    ) -> list[view.Member]:
        """Return the entries for a caller in `zone`, the best first.

        Leaving and dead entries are left out, and this one while it drains.
        """
        live = [
            member
            for member in members
            if member.state in STATE_RANKS
            and not (is_draining and member.entry == self.own)
        ]
        self.random.shuffle(live)
        live.sort(
            key=lambda member: (
                STATE_RANKS[member.state],
                member.zone != zone,
            )
        )
        return live[:ADDRESS_LIMIT]
