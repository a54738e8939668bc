"""Reads and selects the fields of HTTP messages."""

from collections.abc import Iterable
import re
from typing import Final

import multidict

from cicadahook.core import forwarding

# Hop-by-hop headers apply to one connection only, so they are not forwarded.
HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# The grammar of RFC 9110, without leading and trailing blanks of the value.
NAME: Final = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
CONTROL: Final = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def is_valid(name: str, value: str) -> bool:
    """Whether a field may stand in the head of a message."""
    return bool(NAME.fullmatch(name)) and not CONTROL.search(value)


def find_repeated(
    headers: "multidict.CIMultiDictProxy[str]", names: Iterable[str]
) -> str:
    """Return the first of `names` that occurs repeatedly; empty if none."""
    for name in names:
        if len(headers.getall(name, ())) > 1:
            return name
    return ""


def strip_hop_by_hop_headers(
    pairs: Iterable[tuple[str, str]],
) -> forwarding.Headers:
    """Return the end-to-end headers among `pairs`."""
    listed = list(pairs)
    listed_by_connection = {
        token.strip().lower()
        for name, value in listed
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | listed_by_connection
    return tuple(
        (name, value) for name, value in listed if name.lower() not in dropped
    )
