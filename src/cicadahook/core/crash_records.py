"""Crashes of upstreams as they count against a trait of requests.

Crashes of one moment are one piece of evidence: all upstreams may have ended at
once by another cause, and then whatever ran on them looks guilty of each. They
tell more only if a request with the trait was sent after the one before.
"""

import dataclasses
import datetime
from typing import Final

# Connections to upstreams that end together break off within this time, also
# where only the lack of an answer shows it.
MOMENT: Final = datetime.timedelta(seconds=1)
MILLISECOND: Final = datetime.timedelta(milliseconds=1)
NEVER: Final = datetime.datetime.min.replace(tzinfo=datetime.UTC)


@dataclasses.dataclass(frozen=True, slots=True)
class Death:
    """A crash of an upstream, as far as it concerns one trait.

    Attributes:
        known: when it became known here.
        began: when the first request with the trait was sent there.
        ended: when the first such request broke off.
    """

    known: datetime.datetime
    began: datetime.datetime
    ended: datetime.datetime

    def join(self, other: "Death") -> "Death":
        """Return the same crash with what another request tells of it."""
        return Death(
            self.known,
            min(self.began, other.began),
            min(self.ended, other.ended),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectStatement:
    """What a node knows of a trait, as nodes tell each other.

    Attributes:
        trait: the trait.
        deaths: upstream incarnations that crashed on requests with it.
        cleared: those of `deaths` that an answer has cleared it of.
        age_ms: time since the newest crash.
        is_sound: whether answers with it have proved sound at some time.
        is_on_trial: whether a trial runs at the telling node, or has broken
            off there and may have crashed its upstream.
        ended_ms: time since each of `deaths`; empty if told by an older build.
        ran_ms: how long the request of each had run.
    """

    trait: str
    deaths: tuple[str, ...]
    cleared: tuple[str, ...] = ()
    age_ms: int = 0
    is_sound: bool = False
    is_on_trial: bool = False
    ended_ms: tuple[int, ...] = ()
    ran_ms: tuple[int, ...] = ()

    def list_deaths(self, now: datetime.datetime) -> list[tuple[str, Death]]:
        """Return the crashes by name."""
        count = len(self.deaths)
        if count != len(self.ended_ms) or count != len(self.ran_ms):
            # Each counts by itself where the times are not known.
            ended = now - self.age_ms * MILLISECOND
            return [(name, Death(now, ended, ended)) for name in self.deaths]
        deaths = []
        for name, age, ran in zip(self.deaths, self.ended_ms, self.ran_ms):
            ended = now - age * MILLISECOND
            deaths.append((name, Death(now, ended - ran * MILLISECOND, ended)))
        return deaths


@dataclasses.dataclass
class SuspectRecord:
    """The crashes of one trait.

    Attributes:
        deaths: crashes by upstream incarnation.
        cleared: crashes that an answer has cleared the trait of.
        newest: when the newest crash happened.
        changed: when this record last changed.
        moments: when each moment of crashes became known, see `list_moments`.
    """

    deaths: dict[str, Death] = dataclasses.field(default_factory=dict)
    cleared: set[str] = dataclasses.field(default_factory=set)
    newest: datetime.datetime = NEVER
    changed: datetime.datetime = NEVER
    moments: tuple[datetime.datetime, ...] = ()

    @property
    def open_deaths(self) -> tuple[str, ...]:
        """Crashes that the trait has not been cleared of."""
        return tuple(
            death for death in self.deaths if death not in self.cleared
        )

    @property
    def open_count(self) -> int:
        """Number of crashes that the trait has not been cleared of."""
        return len(self.deaths) - len(self.cleared)

    def list_moments(self) -> tuple[datetime.datetime, ...]:
        """Return when each moment of open crashes became known.

        Upstreams that ran the trait at the same time and ended within `MOMENT`
        make one.
        """
        moments: list[datetime.datetime] = []
        first: Death | None = None
        for death in sorted(
            (self.deaths[name] for name in self.open_deaths),
            key=lambda death: death.ended,
        ):
            if (
                first is not None
                and death.ended - first.ended < MOMENT
                and death.began < first.ended
            ):
                moments[-1] = min(moments[-1], death.known)
                continue
            first = death
            moments.append(death.known)
        return tuple(sorted(moments))

    def describe(
        self,
        trait: str,
        now: datetime.datetime,
        *,
        is_sound: bool,
        is_on_trial: bool,
    ) -> SuspectStatement:
        """Return what to tell other nodes of the trait."""
        deaths = self.deaths.values()
        return SuspectStatement(
            trait,
            tuple(self.deaths),
            tuple(self.cleared),
            max(0, int((now - self.newest) / MILLISECOND)),
            is_sound,
            is_on_trial,
            tuple(max(0, (now - each.ended) // MILLISECOND) for each in deaths),
            tuple(
                max(0, (each.ended - each.began) // MILLISECOND)
                for each in deaths
            ),
        )
