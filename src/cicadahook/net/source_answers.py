"""Answers of sources of changes, and how long each source is waited for."""

import dataclasses
import datetime
from typing import Final, Generic, TypeVar

from cicadahook.core import roster as roster_lib

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Patience:
    """How long to wait for a source before the next one is asked too.

    Attributes:
        store: how long for the store.
        node: how long for another node.
        retry: how long for the store, when it is asked again.
    """

    store: datetime.timedelta
    node: datetime.timedelta
    retry: datetime.timedelta = datetime.timedelta(milliseconds=100)

    def extend(
        self, store_wait: datetime.timedelta, node_wait: datetime.timedelta
    ) -> "Patience":
        """Return the patience with sources that wait that long themselves."""
        return dataclasses.replace(
            self, store=self.store + store_wait, node=self.node + node_wait
        )


# Answers to watches, beyond the wait for a change.
WATCH_PATIENCE: Final = Patience(
    store=datetime.timedelta(milliseconds=300),
    node=datetime.timedelta(milliseconds=200),
)
LISTING_PATIENCE: Final = Patience(
    store=datetime.timedelta(milliseconds=600),
    node=datetime.timedelta(milliseconds=600),
)


@dataclasses.dataclass(frozen=True, slots=True)
class SourceAnswer(Generic[T]):
    """What a source of changes tells.

    Attributes:
        source: the node that tells it; `store_sources.STORE` for the store.
        content: the changes or items.
        complete: up to when they are complete, if it tells.
    """

    source: roster_lib.NodeRecord | None
    content: T
    complete: datetime.datetime | None
