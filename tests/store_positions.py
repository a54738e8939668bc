"""Positions of a store that stands in for the platform's."""

from cicadahook.core import clock as clock_lib
from cicadahook.core import store_api
from cicadahook.core import store_contact
from cicadahook.core import store_eras


def at(revision: int, era: int = store_api.FIRST_ERA) -> store_api.Position:
    """Return the position of a revision."""
    return store_api.Position(era, revision)


def create_eras(
    clock: clock_lib.Clock | None = None,
) -> store_eras.EraTracker:
    """Return the eras of a node that the store has not answered yet."""
    return store_eras.EraTracker(
        store_contact.StoreContact(clock or clock_lib.ManualClock())
    )
