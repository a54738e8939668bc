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
            `CORRECTION_PERIOD`, by model and upstream.
        adapters: adapters presumed to be held.
        incarnations: the incarnation of each known upstream, by its id.
    """

    def __init__(self) -> None:
        self.corrections: dict[str, dict[str, Correction]] = {}
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
        for corrected in self.corrections.values():
            corrected.pop(instance, None)

    def record_held(self, key: CopyKey, now: datetime.datetime) -> None:
        """Record that a copy has been loaded."""
        self._correct(key, Correction(True, now))
        if key.adapter:
            self.adapters.add(key)

    def record_missing(self, key: CopyKey, now: datetime.datetime) -> None:
        """Record that an upstream lacks a copy.

        If the copy is an adapter presumed to be held, only the adapter counts
        as missing; otherwise the model does.
        """
        if not key.adapter or key not in self.adapters:
            self._correct(key, Correction(False, now))
        self.adapters.discard(key)

    def _correct(self, key: CopyKey, correction: Correction) -> None:
        """Record knowledge about the model of a copy."""
        corrected = self.corrections.setdefault(key.model, {})
        corrected[key.instance] = correction

    def holds(
        self, entry: inventory.Instance, key: CopyKey, now: datetime.datetime
    ) -> bool:
        """Return whether `entry` is presumed to hold a copy."""
        return bool(self.list_holders([entry], key.model, key.adapter, now))

    def list_holders(
        self,
        entries: Iterable[inventory.Instance],
        model: str,
        adapter: str,
        now: datetime.datetime,
    ) -> list[inventory.Instance]:
        """Return the upstreams presumed to hold a model and adapter."""
        corrected = self.corrections.get(model, {})
        return [
            entry
            for entry in entries
            if _is_held(model in entry.holdings, corrected.get(entry.id), now)
            and (
                not adapter
                or CopyKey(entry.id, model, adapter) in self.adapters
            )
        ]


def _is_held(
    is_registered: bool, known: Correction | None, now: datetime.datetime
) -> bool:
    """Whether an upstream is presumed to hold a model.

    Args:
        is_registered: whether its registration says so.
        known: newer knowledge, if any.
        now: the time.
    """
    if known is None or now - known.learned >= CORRECTION_PERIOD:
        return is_registered
    return known.is_held
