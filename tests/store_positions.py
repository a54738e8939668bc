"""Positions of a store that stands in for the platform's."""

from cicadahook.core import store_api


def at(revision: int, era: int = store_api.FIRST_ERA) -> store_api.Position:
    """Return the position of a revision."""
    return store_api.Position(era, revision)
