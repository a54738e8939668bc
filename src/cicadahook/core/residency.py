"""Tracks which upstreams hold which models and adapters, as known to one node.

Registrations report changes late; answers of the order holder and refusals of
the upstreams correct them earlier.
"""

from collections.abc import Iterable
import dataclasses
import datetime
from typing import Final

from cicadahook.core import inventory

# Time after which the registration reflects what an order has changed.
CORRECTION_PERIOD: Final = datetime.timedelta(seconds=3)


@dataclasses.dataclass(frozen=True, slots=True)
class CopyKey:
    """A model, or an adapter of it, at one upstream."""

    instance: str
    model: str
    adapter: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Correction:
    """Knowledge about a model that is newer than its upstream's registration.

    Attributes:
        is_held: whether the upstream holds the model.
        learned: when that became known.
    """

    is_held: bool
    learned: datetime.datetime


class Residency:
    """Combines registrations with newer knowledge about copies.

    Attributes:
        corrections: knowledge that overrides registrations for
            `CORRECTION_PERIOD`, by model copy.
        adapters: adapters presumed to be held.
        incarnations: the incarnation of each known upstream, by its id.
    """

    def __init__(self) -> None:
        self.corrections: dict[CopyKey, Correction] = {}
        self.adapters: set[CopyKey] = set()
        self.incarnations: dict[str, int] = {}

    def record_registration(self, entry: inventory.Instance) -> None:
        """Record a registration.

        Its adapters count only when an incarnation registers first; later
        changes are known from orders and refusals.
        """
        if self.incarnations.get(entry.id) != entry.born:
            self.forget(entry.id)
            self.incarnations[entry.id] = entry.born
            self.adapters.update(
                CopyKey(entry.id, holding.model, adapter)
                for holding in entry.holdings.values()
                for adapter in holding.adapters
            )

    def forget(self, instance: str) -> None:
        """Forget everything about an upstream."""
        self.incarnations.pop(instance, None)
        self.adapters = {
            key for key in self.adapters if key.instance != instance
        }
        for key in [
            key for key in self.corrections if key.instance == instance
        ]:
            del self.corrections[key]

    def record_held(self, key: CopyKey, now: datetime.datetime) -> None:
        """Record that a copy has been loaded."""
        model = CopyKey(key.instance, key.model)
        self.corrections[model] = Correction(True, now)
        if key.adapter:
            self.adapters.add(key)

    def record_missing(self, key: CopyKey, now: datetime.datetime) -> None:
        """Record that an upstream lacks a copy.

        If the copy is an adapter presumed to be held, only the adapter counts
        as missing; otherwise the model does.
        """
        if not key.adapter or key not in self.adapters:
            self.corrections[CopyKey(key.instance, key.model)] = Correction(
                False, now
            )
        self.adapters.discard(key)

    def holds(
        self, entry: inventory.Instance, key: CopyKey, now: datetime.datetime
    ) -> bool:
        """Return whether `entry` is presumed to hold a copy."""
        known = self.corrections.get(CopyKey(entry.id, key.model))
        is_held = entry.holds(key.model)
        if known is not None and now - known.learned < CORRECTION_PERIOD:
            is_held = known.is_held
        return is_held and (not key.adapter or key in self.adapters)

    def list_holders(
        self,
        entries: Iterable[inventory.Instance],
        model: str,
        adapter: str,
        now: datetime.datetime,
    ) -> list[inventory.Instance]:
        """Return the upstreams presumed to hold a model and adapter."""
        return [
            entry
            for entry in entries
            if self.holds(entry, CopyKey(entry.id, model, adapter), now)
        ]
