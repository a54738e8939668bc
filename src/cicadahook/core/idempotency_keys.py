"""Format and owners of the idempotency key prefixes that entries issue."""

from collections.abc import Iterable
import dataclasses
import datetime
import re
from typing import Final

from cicadahook.core import hashing
from cicadahook.core import view

ISSUED_PATTERN: Final = re.compile(
    r"ck1\.(?P<entry>.+?)\.(?P<incarnation>[0-9a-f]{16})"
    r"\.(?P<issued_ms>\d{1,14})\.(?P<serial>\d{1,12})\.(?P<suffix>.*)"
)
MILLISECOND: Final = datetime.timedelta(milliseconds=1)
UNIX_EPOCH: Final = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """One incarnation of an entry process.

    Attributes:
        entry: name of its VM.
        incarnation: 16 random hexadecimal digits, new at each start.
    """

    entry: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedKey:
    """A key that begins with an issued prefix.

    Attributes:
        owner: the only process that may run its call.
        issued: when the prefix was issued, by the owner's clock.
        suffix: text that the caller appended.
    """

    owner: Owner
    issued: datetime.datetime
    suffix: str


def format_prefix(owner: Owner, issued: datetime.datetime, serial: int) -> str:
    """Return a prefix; `serial` distinguishes those of one millisecond."""
    issued_ms = (issued - UNIX_EPOCH) // MILLISECOND
    return f"ck1.{owner.entry}.{owner.incarnation}.{issued_ms}.{serial}."


def parse(key: str) -> IssuedKey | None:
    """Return the parts of `key`, or None if no entry issued its prefix."""
    match = ISSUED_PATTERN.fullmatch(key)
    if match is None:
        return None
    return IssuedKey(
        Owner(match["entry"], match["incarnation"]),
        UNIX_EPOCH + int(match["issued_ms"]) * MILLISECOND,
        match["suffix"],
    )


def rank_successors(
    owner: Owner, members: Iterable[view.Member]
) -> list[view.Member]:
    """Return `members` by their rank as successors of the owner's records.

    All entries agree on the order (rendezvous hashing), and a member that
    joins or leaves does not change the order of the others.
    """
    return sorted(
        members,
        key=lambda member: hashing.hash64(
            f"{owner.incarnation}\n{member.entry}"
        ),
    )
