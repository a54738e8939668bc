"""Order and pace in which models that no engine holds are loaded.

Designed for demand that moves to several models at once, or engines that end,
so that more models wait for a load than engines can begin one: then the models
with most demand come first, and the longer one has waited the sooner it does.
"""

from collections.abc import Collection, Mapping
import datetime
from typing import Final

from cicadahook.core import load_planning
from cicadahook.core import routes

# What a second of waiting is worth, as a share of an engine. A model that is
# hardly used comes before one that fills half of an engine after 10 s.
SHARE_PER_SECOND: Final = 0.05
# A model that nothing has waited for this long begins to wait anew.
IDLE_PERIOD: Final = datetime.timedelta(seconds=5)


class LoadQueue:
    """The models of one service that wait for a load.

    Attributes:
        began: since when each model waits.
        seen: when each was last waited for.
    """

    def __init__(self) -> None:
        self.began: dict[str, datetime.datetime] = {}
        self.seen: dict[str, datetime.datetime] = {}

    def is_due(
        self,
        model: str,
        waiting: Collection[str],
        state: load_planning.ServiceState,
    ) -> bool:
        """Whether a model is among the first that free engines should load.

        Args:
            model: the model.
            waiting: models that requests wait for, which may have copies.
            state: the engines and the demand.
        """
        missing = [name for name in waiting if not state.copies[name]]
        self._update(missing, state)
        free = sum(not ledger.is_busy for ledger in state.ledgers)
        missing.sort(
            key=lambda name: self._compute_rank(name, state.demand, state.now),
            reverse=True,
        )
        return model in missing[: max(1, free)]

    def _update(
        self, missing: Collection[str], state: load_planning.ServiceState
    ) -> None:
        """Begin the waits of missing models, and end those of others."""
        for name in missing:
            self.began.setdefault(name, state.now)
            self.seen[name] = state.now
        for name, seen in list(self.seen.items()):
            if state.copies[name] or state.now - seen >= IDLE_PERIOD:
                del self.began[name], self.seen[name]

    def _compute_rank(
        self, name: str, demand: Mapping[str, float], now: datetime.datetime
    ) -> float:
        waited = (now - self.began[name]).total_seconds()
        return demand.get(name, 0.0) + SHARE_PER_SECOND * waited


class LoadLimits:
    """Limits of the loads from the weight store, by service.

    Attributes:
        window: period over which the loads are counted.
        windows: the loads of each service.
    """

    def __init__(self, window: datetime.timedelta) -> None:
        self.window = window
        self.windows: dict[str, load_planning.LoadWindow] = {}

    def get(
        self,
        service: str,
        pool: routes.EnginePool,
        others_sent_until: datetime.datetime | None,
    ) -> load_planning.LoadWindow:
        """Return the loads of a service.

        Args:
            service: name of the service.
            pool: properties of its engines.
            others_sent_until: until when an earlier holder may have begun
                loads; None if there was none.
        """
        limit = max(1, int(pool.loads_per_second * self.window.total_seconds()))
        known = self.windows.get(service)
        if known is None or known.limit != limit:
            known = load_planning.LoadWindow(limit, self.window)
            if others_sent_until is not None:
                known.count_earlier_loads(others_sent_until)
            self.windows[service] = known
        return known
