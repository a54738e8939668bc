"""Finds what the requests that crash upstreams have in common.

A request has several traits: a digest of the whole request, and each part of
its prompt that other requests may hold too. A crash counts against the traits
of all requests that may have caused it; crashes at one moment, as of all
upstreams by another cause, count once. An answer that proves sound clears its
traits of all crashes known when it began. A trait that keeps two crashes is a
suspect, unless other traits explain these crashes better: then one request with
it runs at a time over all nodes, as a trial. A trial that crashes its upstream
counts once more; after `FINAL_DEATHS` requests with the trait are refused.
"""

import collections
from collections.abc import Iterable, Iterator
import datetime
import enum
import random
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import crash_records
from cicadahook.core import trait_ranks

SUSPECT_DEATHS: Final = 2
FINAL_DEATHS: Final = 4
# Time from the newest crash of a suspect to its next trial, by its crashes. The
# first trial follows at once, since most suspects are sound.
TRIAL_PAUSES: Final = {
    SUSPECT_DEATHS: datetime.timedelta(),
    SUSPECT_DEATHS + 1: datetime.timedelta(seconds=5),
}
FINAL_TRIAL_PAUSE: Final = datetime.timedelta(minutes=10)
# A trait of sound answers becomes a suspect only after this time, within which
# further requests with it clear it in most cases.
GRACE_PERIOD: Final = datetime.timedelta(seconds=2)
# Longer than any trial pause, so that the next trial takes place.
EXPIRY: Final = datetime.timedelta(minutes=30)
# Trials of other nodes count this long after they were last reported.
PEER_TRIAL_EXPIRY: Final = datetime.timedelta(seconds=2)
# All shared parts of the longest prompts that fit into a request's head, and
# those of the requests that run beside it.
MAX_TRAITS: Final = 8000
# With more traits, so many are dropped at once: that takes a pass over all.
DROPPED_TRAITS: Final = MAX_TRAITS // 8
MAX_DEATHS: Final = 8
MAX_SOUND_TRAITS: Final = 16_384
# How long a changed statement is part of each message. Each node of a larger
# fleet receives everything once in 0.75 s.
RECENT_PERIOD: Final = datetime.timedelta(seconds=3)
# Statements in one message, 100 to 300 bytes each.
MAX_RECENT: Final = 48
MAX_OLDER: Final = 8
MILLISECOND: Final = datetime.timedelta(milliseconds=1)


class Verdict(enum.StrEnum):
    """How a request may be run now."""

    CLEAR = "clear"
    TRIAL = "trial"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"


class CrashSuspects:
    """The traits that one node suspects, and its trials.

    Attributes:
        records: crashes of each trait.
        traits_by_death: traits that have not been cleared of a crash.
        repeated: traits that have not been cleared of `SUSPECT_DEATHS` crashes.
        sound: number of sound answers with each trait, the least recent first.
        dead: when upstream incarnations were known to have crashed.
        trials: traits on trial here, and until when at the latest.
        peer_trials: the same of other nodes.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.clock = clock
        self.records: dict[str, crash_records.SuspectRecord] = {}
        self.traits_by_death: dict[str, set[str]] = {}
        self.repeated: set[str] = set()
        self.sound: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.dead: dict[str, datetime.datetime] = {}
        self.trials: dict[str, datetime.datetime] = {}
        self.peer_trials: dict[str, datetime.datetime] = {}

    def record_death(
        self,
        traits: Iterable[str],
        death: str,
        began: datetime.datetime,
        ended: datetime.datetime | None = None,
    ) -> bool:
        """Record that an upstream incarnation crashed running a request.

        Args:
            traits: traits of the request.
            death: the upstream incarnation.
            began: when the request was sent there.
            ended: when it broke off; None for now.

        Returns:
            Whether the request may have caused it. One that was sent when the
            crash was known already has not.
        """
        now = self.clock.now()
        known = self.dead.setdefault(death, now)
        if known < began:
            return False
        happened = crash_records.Death(now, began, ended or now)
        for trait in traits:
            self._add_death(trait, death, happened, now)
        self._drop_excess()
        return True

    def record_sound(
        self, traits: Iterable[str], began: datetime.datetime
    ) -> tuple[str, ...]:
        """Record an answer that proved sound; return the traits it cleared.

        Args:
            traits: traits of the request.
            began: when its upstream began to answer. Crashes that became known
                later do not count as cleared.
        """
        now = self.clock.now()
        cleared: list[str] = []
        for trait in traits:
            self.sound[trait] = self.sound.get(trait, 0) + 1
            self.sound.move_to_end(trait)
            record = self.records.get(trait)
            if record is None:
                continue
            for death in record.open_deaths:
                if record.deaths[death].known <= began:
                    self._clear_death(trait, death, now)
                    cleared.append(trait)
        while len(self.sound) > MAX_SOUND_TRAITS:
            self.sound.popitem(last=False)
        return tuple(dict.fromkeys(cleared))

    def check(self, traits: Iterable[str]) -> Verdict:
        """Return how a request with these traits may be run now."""
        listed = frozenset(traits)
        suspects = self.find_suspects(listed)
        told_apart = self._create_ranks().find_told_apart(suspects, listed)
        verdicts = {
            self._check_suspect(trait, is_told_apart=trait in told_apart)
            for trait in suspects
        }
        for verdict in (
            Verdict.QUARANTINED,
            Verdict.SUSPECTED,
            Verdict.TRIAL,
        ):
            if verdict in verdicts:
                return verdict
        return Verdict.CLEAR

    def _check_suspect(self, trait: str, *, is_told_apart: bool) -> Verdict:
        """Return how a request may be run because of one suspect.

        Args:
            trait: the suspect.
            is_told_apart: whether a trial would tell it from other suspects.
        """
        now = self.clock.now()
        if not is_told_apart:
            record = self.records[trait]
            count = len(record.moments)
            pause = TRIAL_PAUSES.get(count, FINAL_TRIAL_PAUSE)
            if now < record.newest + pause:
                if count >= FINAL_DEATHS:
                    return Verdict.QUARANTINED
                return Verdict.SUSPECTED
        if self._is_on_trial(trait, now):
            return Verdict.SUSPECTED
        return Verdict.TRIAL

    def _is_on_trial(self, trait: str, now: datetime.datetime) -> bool:
        return any(
            trait in trials and now < trials[trait]
            for trials in (self.trials, self.peer_trials)
        )

    def is_suspect(self, trait: str) -> bool:
        """Whether a trait must not be run except on trial."""
        return bool(self.find_suspects((trait,)))

    def find_suspects(self, traits: Iterable[str]) -> tuple[str, ...]:
        """Return the traits that must not be run except on trial."""
        ranks = self._create_ranks()
        return tuple(
            trait
            for trait in traits
            if trait in self.repeated and self._is_suspect(trait, ranks)
        )

    def _create_ranks(self) -> trait_ranks.TraitRanks:
        return trait_ranks.TraitRanks(
            self.records, self.traits_by_death, self.repeated, self.sound
        )

    def _is_suspect(self, trait: str, ranks: trait_ranks.TraitRanks) -> bool:
        record = self.records[trait]
        if trait in self.sound:
            second = record.moments[SUSPECT_DEATHS - 1]
            if self.clock.now() < second + GRACE_PERIOD:
                return False
        return ranks.explains_best(trait)

    def begin_trial(
        self, traits: Iterable[str], end: datetime.datetime
    ) -> tuple[str, ...]:
        """Reserve the suspects among `traits` until `end`; return them."""
        suspects = self.find_suspects(traits)
        now = self.clock.now()
        for trait in suspects:
            self.trials[trait] = end
            self.records[trait].changed = now
        return suspects

    def end_trial(
        self, suspects: Iterable[str], until: datetime.datetime | None = None
    ) -> None:
        """End a trial, or keep its suspects reserved until a verdict.

        Args:
            suspects: what `begin_trial` returned.
            until: when an upstream that broke off the trial is certain not to
                have crashed; None if it did not break it off.
        """
        for trait in suspects:
            if until is None:
                self.trials.pop(trait, None)
            else:
                self.trials[trait] = until

    def list_statements(
        self, generator: random.Random
    ) -> tuple[crash_records.SuspectStatement, ...]:
        """Return what to tell other nodes in the next message.

        Statements that changed lately are told each time; of too many, half are
        those that explain most crashes and half are drawn. The other nodes know
        all others unless they have started since: a few of these are drawn, and
        a few of the suspects.
        """
        now = self.clock.now()
        self._drop_expired(now)
        recent: list[str] = []
        older: list[str] = []
        for trait, record in self.records.items():
            is_recent = now - record.changed < RECENT_PERIOD
            target = recent if is_recent or trait in self.trials else older
            target.append(trait)
        recent.sort(key=self._get_priority)
        first, rest = recent[: MAX_RECENT // 2], recent[MAX_RECENT // 2 :]
        first += generator.sample(rest, min(len(rest), MAX_RECENT // 2))
        suspects = sorted(self.repeated.difference(recent))
        drawn = {
            *generator.sample(older, min(len(older), MAX_OLDER)),
            *generator.sample(suspects, min(len(suspects), MAX_OLDER)),
        }
        return tuple(
            self._create_statement(trait, now) for trait in [*first, *drawn]
        )

    def _get_priority(self, trait: str) -> tuple[bool, int, bool]:
        count = self.records[trait].open_count
        return trait not in self.trials, -count, trait in self.sound

    def _create_statement(
        self, trait: str, now: datetime.datetime
    ) -> crash_records.SuspectStatement:
        return self.records[trait].describe(
            trait,
            now,
            is_sound=trait in self.sound,
            is_on_trial=trait in self.trials,
        )

    def describe(
        self, traits: Iterable[str]
    ) -> tuple[crash_records.SuspectStatement, ...]:
        """Return what is known of these traits."""
        now = self.clock.now()
        return tuple(
            self._create_statement(trait, now)
            for trait in traits
            if trait in self.records
        )

    def list_open(
        self,
    ) -> Iterator[tuple[str, tuple[str, ...], datetime.datetime]]:
        """Yield trait, open crashes and the time of the newest of them."""
        for trait, record in self.records.items():
            deaths = record.open_deaths
            if deaths:
                yield trait, deaths, record.newest

    def merge(
        self, statements: Iterable[crash_records.SuspectStatement]
    ) -> tuple[str, ...]:
        """Add what another node tells; return the crashes heard first."""
        now = self.clock.now()
        heard: list[str] = []
        for statement in statements:
            if statement.age_ms >= EXPIRY / MILLISECOND:
                continue
            newest = now - statement.age_ms * MILLISECOND
            for death, told in statement.list_deaths(now)[:MAX_DEATHS]:
                if death not in self.dead:
                    self.dead[death] = now
                    heard.append(death)
                self._add_death(statement.trait, death, told, newest)
            record = self.records.get(statement.trait)
            if record is None:
                continue
            if statement.is_sound:
                self.sound.setdefault(statement.trait, 1)
            for death in statement.cleared:
                if death in record.deaths and death not in record.cleared:
                    self._clear_death(statement.trait, death, now)
            if statement.is_on_trial:
                self.peer_trials[statement.trait] = now + PEER_TRIAL_EXPIRY
        self._drop_expired(now)
        self._drop_excess()
        return tuple(heard)

    def _add_death(
        self,
        trait: str,
        name: str,
        death: crash_records.Death,
        newest: datetime.datetime,
    ) -> None:
        now = self.clock.now()
        record = self.records.setdefault(trait, crash_records.SuspectRecord())
        if name in record.deaths:
            record.deaths[name] = record.deaths[name].join(death)
            self._update_repeated(trait)
            return
        if len(record.deaths) >= MAX_DEATHS:
            # Other nodes also tell of crashes that were dropped here.
            is_new = now - self.dead[name] < RECENT_PERIOD
            if not record.cleared or not is_new:
                return
            self._forget_death(trait, next(iter(record.cleared)))
        record.deaths[name] = death
        record.newest = max(record.newest, newest)
        record.changed = now
        self.traits_by_death.setdefault(name, set()).add(trait)
        self._update_repeated(trait)

    def _update_repeated(self, trait: str) -> None:
        record = self.records[trait]
        record.moments = record.list_moments()
        if len(record.moments) >= SUSPECT_DEATHS:
            self.repeated.add(trait)
        else:
            self.repeated.discard(trait)

    def _clear_death(
        self, trait: str, death: str, now: datetime.datetime
    ) -> None:
        record = self.records[trait]
        record.cleared.add(death)
        record.changed = now
        self._remove_from_death(trait, death)
        self._update_repeated(trait)

    def _forget_death(self, trait: str, death: str) -> None:
        record = self.records[trait]
        del record.deaths[death]
        record.cleared.discard(death)
        self._remove_from_death(trait, death)

    def _remove_from_death(self, trait: str, death: str) -> None:
        traits = self.traits_by_death.get(death)
        if traits is not None:
            traits.discard(trait)
            if not traits:
                del self.traits_by_death[death]

    def _forget(self, trait: str) -> None:
        for death in list(self.records[trait].deaths):
            self._forget_death(trait, death)
        del self.records[trait]
        self.repeated.discard(trait)
        self.trials.pop(trait, None)

    def _drop_expired(self, now: datetime.datetime) -> None:
        for trials in (self.trials, self.peer_trials):
            for trait, until in list(trials.items()):
                if until <= now:
                    del trials[trait]
        for trait, record in list(self.records.items()):
            if record.newest + EXPIRY <= now:
                self._forget(trait)
        for death, known in list(self.dead.items()):
            if known + EXPIRY <= now:
                del self.dead[death]

    def _drop_excess(self) -> None:
        """Drop the traits with fewest crashes, if there are too many.

        Of these, those of sound answers go first, then the oldest.
        """
        if len(self.records) <= MAX_TRAITS:
            return
        excess = len(self.records) - MAX_TRAITS + DROPPED_TRAITS
        least = sorted(
            self.records,
            key=lambda trait: (
                self.records[trait].open_count,
                trait not in self.sound,
                self.records[trait].newest,
            ),
        )
        for trait in least[:excess]:
            self._forget(trait)
