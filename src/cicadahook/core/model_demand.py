"""Tracks the recent demand for each model of the engine services."""

from collections.abc import Iterable, Mapping
import dataclasses
import datetime
import math
from typing import Final

from cicadahook.core import roster

# Time constant of the exponential decay.
DECAY_TIME: Final = datetime.timedelta(seconds=3)
# Models with a smaller share are forgotten.
NEGLIGIBLE_SHARE: Final = 0.001


@dataclasses.dataclass
class _Share:
    value: float
    updated: datetime.datetime


class ModelDemandTracker:
    """Tracks demand as exponentially decaying shares of an engine's time.

    Attributes:
        shares: share of one engine's time, by service and model.
    """

    def __init__(self) -> None:
        self.shares: dict[tuple[str, str], _Share] = {}

    def record_request(
        self,
        service: str,
        model: str,
        work: datetime.timedelta,
        now: datetime.datetime,
    ) -> None:
        """Add a request to the demand.

        Args:
            service: name of the service.
            model: name of the model.
            work: time of an engine that the request takes.
            now: the time.
        """
        share = self.shares.setdefault((service, model), _Share(0.0, now))
        share.value = self._decay(share, now) + work / DECAY_TIME
        share.updated = now

    def list_shares(
        self, now: datetime.datetime
    ) -> dict[tuple[str, str], float]:
        """Return the share of an engine's time that each model uses."""
        shares = {
            key: self._decay(share, now) for key, share in self.shares.items()
        }
        for key, value in shares.items():
            if value < NEGLIGIBLE_SHARE:
                del self.shares[key]
        return {
            key: value
            for key, value in shares.items()
            if value >= NEGLIGIBLE_SHARE
        }

    def _decay(self, share: _Share, now: datetime.datetime) -> float:
        age = (now - share.updated) / DECAY_TIME
        return share.value * math.exp(-max(0.0, age))


def sum_demand(
    service: str,
    own: Mapping[tuple[str, str], float],
    statuses: Iterable[roster.NodeStatus],
) -> dict[str, float]:
    """Return the share of an engine that each model of a service keeps busy.

    Args:
        service: name of the service.
        own: shares at this node, by service and model.
        statuses: statuses of the other nodes.
    """
    demand: dict[str, float] = {}
    for (name, model), share in own.items():
        if name == service:
            demand[model] = demand.get(model, 0.0) + share
    for status in statuses:
        for wanted in status.wanted:
            if wanted.service == service:
                demand[wanted.model] = (
                    demand.get(wanted.model, 0.0) + wanted.share
                )
    return demand
