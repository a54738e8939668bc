"""Limits of the numbers in a configuration.

A number that is larger than what it is used for must not keep the rest of the
configuration from being put in force, so it is taken for the limit.
"""

import datetime
from typing import Annotated, Final

import msgspec

Natural = Annotated[int, msgspec.Meta(ge=0)]
Amount = Annotated[float, msgspec.Meta(ge=0)]

MAX_COUNT: Final = 2**31 - 1
MAX_AMOUNT: Final = 1e15
MAX_ADAPTERS: Final = 100_000
# A century; a longer time has no end here.
MAX_SECONDS: Final = 3.2e9


def cap_count(value: int) -> int:
    """Return a count, `MAX_COUNT` at the most."""
    return min(value, MAX_COUNT)


def cap_priority(value: int | None) -> int | None:
    """Return a priority, `MAX_COUNT` at the most, or None if it is not set."""
    return None if value is None else cap_count(value)


def cap_amount(value: float) -> float:
    """Return an amount, `MAX_AMOUNT` at the most."""
    return min(value, MAX_AMOUNT)


def name_adapters(count: int) -> frozenset[str]:
    """Return the names of a model's adapters, `MAX_ADAPTERS` at the most."""
    return frozenset(f"a{n + 1}" for n in range(min(count, MAX_ADAPTERS)))


def create_duration(seconds: float) -> datetime.timedelta:
    """Return a duration, `MAX_SECONDS` at the most."""
    return datetime.timedelta(seconds=min(seconds, MAX_SECONDS))
