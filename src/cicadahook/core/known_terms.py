"""The newest term of an order holder: by the store, and by other nodes.

The keys in the store tell which term is the newest. Another node may know of a
newer one earlier, and it may be wrong.
"""

import dataclasses
import datetime


@dataclasses.dataclass
class KnownTerms:
    """The terms of one era that a node knows of.

    Attributes:
        newest: highest fence that the store has told; before it has told one
            in this era, it may be one of the era before.
        claimed: highest fence that only another node names; 0 for none.
        heard: when it was first named; None for none.
        denied: highest fence that the store has denied. Claims up to it are
            ignored, so that a node that repeats one has no effect; the keys in
            the store tell of true ones.
    """

    newest: int = 0
    claimed: int = 0
    heard: datetime.datetime | None = None
    denied: int = 0

    def record(self, fence: int) -> None:
        """Record a term that the store has told."""
        self.newest = max(self.newest, fence)

    def hear(self, fence: int, now: datetime.datetime) -> None:
        """Record a term that another node names."""
        if fence > max(self.claimed, self.denied):
            self.claimed, self.heard = fence, now

    def deny_claims(self, sent: datetime.datetime) -> None:
        """Drop the claim, as the store has confirmed the own term.

        Args:
            sent: when the store was asked; a claim that came later stays.
        """
        if self.heard is not None and sent > self.heard:
            self.denied = self.claimed
            self.claimed, self.heard = 0, None
