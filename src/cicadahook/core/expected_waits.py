"""Predicts how long requests wait for copies of models.

Designed for loads that take seconds while callers leave after two: a request
whose copy cannot be there in time is refused before it has waited. The plan of
a load says how long it should take; what earlier waits took corrects that.
"""

from collections.abc import Callable, Iterable
import dataclasses
import datetime
from typing import Final

from cicadahook.core import inventory
from cicadahook.core import routes

# An adapter takes 5 to 10 ms, and a call to the holder of orders.
ADAPTER_WAIT: Final = datetime.timedelta(milliseconds=50)
# A wait that has taken longer than expected goes on for this share of the time
# that it has taken.
OVERRUN_SHARE: Final = 0.25
# Weight of the newest wait in the correction of plans, and its bounds.
LEARNING_RATE: Final = 0.2
MIN_CORRECTION: Final = 0.5
MAX_CORRECTION: Final = 4.0
# Shorter waits say nothing of loads.
MIN_LEARNT_WAIT: Final = datetime.timedelta(milliseconds=200)
# A copy for which nothing has asked for this time is not waited for any more.
IDLE_PERIOD: Final = datetime.timedelta(seconds=5)
MILLISECOND: Final = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class CopyName:
    """A model, or an adapter of it, of one service."""

    service: str
    model: str
    adapter: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadStatement:
    """A load in progress, as the holder of orders tells the other nodes.

    Attributes:
        service: name of the service.
        model: name of the model.
        remaining_ms: how much longer it should take.
    """

    service: str
    model: str
    remaining_ms: int


@dataclasses.dataclass
class _Wait:
    """A wait of one or more requests for the same copy.

    Attributes:
        planned: how long it should take by the plan of the load.
        began: when the first request began to wait.
        asked: when the newest request asked.
    """

    planned: datetime.timedelta
    began: datetime.datetime
    asked: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedWait:
    """How long a wait was expected to take and took."""

    expected: datetime.timedelta
    actual: datetime.timedelta


class CopyWaits:
    """The waits for copies at one node.

    Attributes:
        waits: current waits.
        corrections: ratio of actual to planned waits, by service and plan:
            loads from memory, disk and store meet different obstacles.
        told: when loads in progress should end, by service and model.
    """

    def __init__(self) -> None:
        self.waits: dict[CopyName, _Wait] = {}
        self.corrections: dict[tuple[str, datetime.timedelta], float] = {}
        self.told: dict[tuple[str, str], datetime.datetime] = {}

    def merge(
        self, statements: Iterable[LoadStatement], now: datetime.datetime
    ) -> None:
        """Replace what is known of the loads of the holder of orders."""
        self.told = {
            (each.service, each.model): now + each.remaining_ms * MILLISECOND
            for each in statements
            if each.remaining_ms < 2**31
        }

    def restart(self, now: datetime.datetime) -> None:
        """Begin all waits anew, as another node now orders the loads."""
        self.told.clear()
        for wait in self.waits.values():
            wait.began = now

    def ask(
        self,
        name: CopyName,
        plan: Callable[[], datetime.timedelta],
        now: datetime.datetime,
    ) -> datetime.timedelta:
        """Return how much longer a copy should take, for one more request.

        Args:
            name: the copy.
            plan: returns how long it takes from the first request for it.
            now: the time.
        """
        wait = self.waits.get(name)
        if wait is None or now - wait.asked >= IDLE_PERIOD:
            wait = self.waits[name] = _Wait(plan(), now, now)
        wait.asked = now
        return self._predict(name, wait, now)

    def _predict(
        self, name: CopyName, wait: _Wait, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return how much longer a wait should take."""
        elapsed = now - wait.began
        expected = wait.planned * self.corrections.get(
            (name.service, wait.planned), 1.0
        )
        overrun = OVERRUN_SHARE * elapsed
        remaining = max(expected - elapsed, overrun)
        told = self.told.get((name.service, name.model))
        if told is not None and now < told:
            # The load began before the first request here, or had to wait.
            remaining = told - now
        return remaining

    def finish(
        self, name: CopyName, now: datetime.datetime
    ) -> FinishedWait | None:
        """Record that a copy can be used; return the wait for it, if any."""
        wait = self.waits.pop(name, None)
        if wait is None or wait.planned < MIN_LEARNT_WAIT:
            return None
        key = (name.service, wait.planned)
        correction = self.corrections.get(key, 1.0)
        actual = now - wait.began
        finished = FinishedWait(wait.planned * correction, actual)
        ratio = min(MAX_CORRECTION, max(MIN_CORRECTION, actual / wait.planned))
        self.corrections[key] = correction + LEARNING_RATE * (
            ratio - correction
        )
        return finished

    def drop_idle(self, now: datetime.datetime) -> None:
        """Forget copies that no request has asked for lately."""
        for name, wait in list(self.waits.items()):
            if now - wait.asked >= IDLE_PERIOD:
                del self.waits[name]


def plan_load(
    model: routes.Model, engines: Iterable[inventory.Instance]
) -> datetime.timedelta:
    """Return the time of the quickest load of a model onto an engine."""
    times = [model.store_load]
    for engine in engines:
        if model.name in engine.in_memory:
            times.append(model.memory_load)
        elif model.name in engine.on_disk:
            times.append(model.disk_load)
    return min(times)
