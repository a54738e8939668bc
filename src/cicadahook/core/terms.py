"""Fences of the terms of order holders, and the eras that their keys name.

A fence is made of the era of the store and the revision at which the term
began, so that it rises over all eras. It is a number to compare only: revisions
have no limit, so the era can't be read back from it. The value of a key names
the holder, its process and the era in which it was written.
"""

from typing import Final

from cicadahook.core import store_api

# By how much fences rise from one era to the next. The copy from which the
# store returns is seconds old, so that it lacks far fewer revisions.
FENCES_PER_ERA: Final = 1 << 32


def compute_fence(position: store_api.Position) -> int:
    """Return the fence of a term that began at a position.

    In the first era it is the revision, as with nodes of older builds.
    """
    elapsed = position.era - store_api.FIRST_ERA
    return elapsed * FENCES_PER_ERA + position.revision


def names_era(item: store_api.Item) -> bool:
    """Whether the value of a key names its era; older builds name none."""
    return item.value.count(b" ") >= 2


def find_key_era(item: store_api.Item) -> int:
    """Return the era in which the value of a key was written."""
    if not names_era(item):
        return store_api.FIRST_ERA
    try:
        return int(item.value.split(b" ")[2])
    except ValueError:
        return store_api.FIRST_ERA


def find_key_fence(term: store_api.Item) -> int:
    """Return the fence of a term, whose key may have outlived its era."""
    return compute_fence(
        store_api.Position(find_key_era(term), term.position.revision)
    )


def is_of(name: str, item: store_api.Item) -> bool:
    """Whether the value of a key names a node."""
    return item.value.split(b" ")[0] == name.encode()


def is_pause_over(
    name: str,
    era: int,
    term: store_api.Item | None,
    pause_end: store_api.Item | None,
) -> bool:
    """Whether a term is a node's, of an era, and its handover pause is over.

    Args:
        name: name of the node.
        era: the era.
        term: the key of the term, or None if there is none.
        pause_end: the key of the newest term whose pause is over, or None.
    """
    return (
        term is not None
        and pause_end is not None
        and is_of(name, term)
        and find_key_era(term) == era
        and pause_end.value == term.value
        and pause_end.position >= term.position
    )
