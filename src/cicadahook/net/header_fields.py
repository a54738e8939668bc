"""Reads the fields of HTTP messages."""

from collections.abc import Iterable

import multidict


def find_repeated(
    headers: "multidict.CIMultiDictProxy[str]", names: Iterable[str]
) -> str:
    """Return the first of `names` that occurs repeatedly; empty if none."""
    for name in names:
        if len(headers.getall(name, ())) > 1:
            return name
    return ""
