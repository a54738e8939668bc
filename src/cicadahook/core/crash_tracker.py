"""Tells crashes of upstreams from connections that merely broke."""

import dataclasses
import datetime
from typing import Final

from cicadahook.core import inventory

# An upstream that crashed is gone, or back as another, within this time.
EVIDENCE_PERIOD: Final = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A request whose connection broke while it ran.

    Attributes:
        fingerprint: digest by which it is known again.
        instance: where it ran.
        began: when it was sent.
        ended: when the connection broke.
    """

    fingerprint: str
    instance: inventory.Instance
    began: datetime.datetime
    ended: datetime.datetime

    @property
    def death(self) -> str:
        """Return a name for the end of this incarnation."""
        return f"{self.instance.address}/{self.instance.born}"


class CrashTracker:
    """Keeps broken requests until it is known what became of the upstream.

    Attributes:
        cuts: broken requests, by instance id.
    """

    def __init__(self) -> None:
        self.cuts: dict[str, list[Cut]] = {}

    def note_cut(self, cut: Cut) -> None:
        """Take note of a request that broke."""
        self.cuts.setdefault(cut.instance.id, []).append(cut)

    def take_dead(
        self, instance: str, now: datetime.datetime
    ) -> tuple[Cut, ...]:
        """Return what broke at an upstream that turned out to be dead."""
        return tuple(
            cut
            for cut in self.cuts.pop(instance, ())
            if now - cut.ended < EVIDENCE_PERIOD
        )

    def compare(
        self, stock: inventory.Inventory, now: datetime.datetime
    ) -> tuple[Cut, ...]:
        """Return what broke at upstreams that are gone or were restarted."""
        dead: list[Cut] = []
        for name, cuts in list(self.cuts.items()):
            entry = stock.instances.get(name)
            if entry is None or entry.born != cuts[0].instance.born:
                dead.extend(self.take_dead(name, now))
            elif now - cuts[-1].ended >= EVIDENCE_PERIOD:
                del self.cuts[name]
        return tuple(dead)
