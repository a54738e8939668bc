"""Quarantine of requests suspected of crashing the upstreams that run them.

Entries exchange their suspects. A suspect is run alone, as a trial,
and is refused after too many deaths.
"""

from collections.abc import Iterable
import dataclasses
import datetime
import enum

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import view


@dataclasses.dataclass(frozen=True)
class QuarantineMode:
    """Settings of the quarantine.

    Attributes:
        max_deaths: upstream deaths at which a request is refused.
        expiry: how long after its last death a request is suspected.
        max_suspects: suspects held; the oldest are dropped beyond that.
        death_expiry: how long an upstream incarnation counts as dead.
    """

    max_deaths: int = 2
    expiry: datetime.timedelta = datetime.timedelta(minutes=10)
    max_suspects: int = 1000
    death_expiry: datetime.timedelta = datetime.timedelta(seconds=30)


class SuspectStatus(enum.StrEnum):
    """How a request may be run."""

    CLEAR = "clear"
    TRIAL = "trial"


@dataclasses.dataclass(frozen=True, slots=True)
class Trial:
    """An attempt of a suspect while no other suspect runs at its upstream."""

    fingerprint: str
    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """A request or an upstream that is reserved for another entry's trial.

    Attributes:
        holder: `host:port` of that entry.
        until: when it lapses at the latest.
    """

    holder: str
    until: datetime.datetime


class Quarantine:
    """The suspects known to one process, and the trials under way.

    Attributes:
        suspects: by fingerprint.
        cleared: deaths that a suspect was cleared of by a served trial.
        dead: upstream incarnations that died recently, with the time at which
            this became known.
        survivors: upstream incarnations that answered after they were taken
            for dead, with the time of the answer.
        trials: fingerprints and upstream addresses of the trials here.
        holds: the same of trials at other entries.
    """

    def __init__(self, mode: QuarantineMode, clock: clock_lib.Clock) -> None:
        self.mode = mode
        self.clock = clock
        self.suspects: dict[str, view.Suspect] = {}
        self.cleared: dict[str, frozenset[str]] = {}
        self.dead: dict[str, datetime.datetime] = {}
        self.survivors: dict[str, datetime.datetime] = {}
        self.trials: set[str] = set()
        self.holds: dict[str, Hold] = {}

    def list_suspects(self) -> tuple[view.Suspect, ...]:
        """Return all suspects, to be sent to other entries."""
        self._drop_expired()
        return tuple(self.suspects.values())

    def list_deaths(self, fingerprint: str) -> frozenset[str]:
        """Return the upstream incarnations that died running a request."""
        suspect = self.suspects.get(fingerprint)
        return frozenset(suspect.deaths) if suspect else frozenset()

    def check(self, fingerprint: str) -> SuspectStatus:
        """Return how a request may be run now.

        Raises:
            errors.RefusalError: it is quarantined.
        """
        self._drop_expired()
        deaths = self.list_deaths(fingerprint)
        if not deaths:
            return SuspectStatus.CLEAR
        if len(deaths) >= self.mode.max_deaths:
            raise errors.RefusalError(
                "quarantined",
                f"{len(deaths)} upstreams died while they ran this request",
                422,
            )
        return SuspectStatus.TRIAL

    def begin_trial(self, trial: Trial) -> bool:
        """Reserve request and upstream for a trial; False if one is taken."""
        self._drop_expired()
        names = {trial.fingerprint, trial.upstream}
        if names & self.trials or names & self.holds.keys():
            return False
        self.trials |= names
        return True

    def end_trial(self, trial: Trial) -> None:
        """Release the request and the upstream of the trial."""
        names = {trial.fingerprint, trial.upstream}
        assert names <= self.trials, "trial ended twice"
        self.trials -= names

    def clear(self, fingerprint: str) -> None:
        """Clear the suspect of its deaths, as a trial of it was served."""
        deaths = self.list_deaths(fingerprint)
        if deaths:
            known = self.cleared.get(fingerprint, frozenset())
            self.cleared[fingerprint] = known | deaths
            del self.suspects[fingerprint]

    def record_death(
        self, fingerprint: str, death: str, began: datetime.datetime
    ) -> bool:
        """Record that an upstream incarnation died while it ran a request.

        A request that `began` after the death was known is not suspected of
        it. Returns whether the request is suspected.
        """
        known = self.dead.get(death)
        if known is not None and known <= began:
            return False
        self.survivors.pop(death, None)
        self.merge((view.Suspect(fingerprint, (death,), self.clock.now()),))
        return True

    def record_alive(self, upstream: view.Upstream) -> None:
        """Record that an incarnation that was taken for dead has answered."""
        death = _name_death(upstream)
        self.dead.pop(death, None)
        self.survivors[death] = self.clock.now()

    def is_dead(self, upstream: view.Upstream) -> bool:
        """Whether this incarnation is known to have died."""
        return _name_death(upstream) in self.dead

    def merge(self, suspects: Iterable[view.Suspect]) -> None:
        """Add the suspects of other entries; the deaths of each are united."""
        for suspect in suspects:
            for death in suspect.deaths:
                if death not in self.survivors:
                    self.dead.setdefault(death, self.clock.now())
            cleared = self.cleared.get(suspect.fingerprint, frozenset())
            known = self.suspects.get(suspect.fingerprint)
            deaths = set(suspect.deaths) - cleared
            last_seen = suspect.last_seen
            if known is not None:
                deaths.update(known.deaths)
                last_seen = max(last_seen, known.last_seen)
            if deaths:
                self.suspects[suspect.fingerprint] = view.Suspect(
                    suspect.fingerprint, tuple(sorted(deaths)), last_seen
                )
        self._drop_expired()

    def grant_hold(
        self, trial: Trial, holder: str, length: datetime.timedelta
    ) -> bool:
        """Reserve request and upstream for another entry, if both are free."""
        self._drop_expired()
        names = {trial.fingerprint, trial.upstream}
        if names & self.trials or any(
            name in self.holds and self.holds[name].holder != holder
            for name in names
        ):
            return False
        hold = Hold(holder, self.clock.now() + length)
        self.holds.update(dict.fromkeys(names, hold))
        return True

    def release_hold(self, trial: Trial, holder: str) -> None:
        """Release what is reserved for another entry's trial, as it ended."""
        for name in (trial.fingerprint, trial.upstream):
            known = self.holds.get(name)
            if known is not None and known.holder == holder:
                del self.holds[name]

    def _drop_expired(self) -> None:
        """Drop expired entries, and the oldest beyond the maximum."""
        now = self.clock.now()
        for fingerprint, hold in list(self.holds.items()):
            if hold.until <= now:
                del self.holds[fingerprint]
        for fingerprint, suspect in list(self.suspects.items()):
            if suspect.last_seen + self.mode.expiry <= now:
                del self.suspects[fingerprint]
                self.cleared.pop(fingerprint, None)
        for times in (self.dead, self.survivors):
            for death, known_since in list(times.items()):
                if known_since + self.mode.death_expiry <= now:
                    del times[death]
        excess = len(self.suspects) - self.mode.max_suspects
        if excess > 0:
            oldest = sorted(
                self.suspects.values(), key=lambda known: known.last_seen
            )
            for suspect in oldest[:excess]:
                del self.suspects[suspect.fingerprint]
        while len(self.cleared) > self.mode.max_suspects:
            del self.cleared[next(iter(self.cleared))]


def _name_death(upstream: view.Upstream) -> str:
    return f"{upstream.address}/{upstream.incarnation}"
