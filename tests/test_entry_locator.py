"""Callers get live entries only, the nearest zone first and evenly spread."""

import collections
import random

from cicadahook.core import entry_locator
from cicadahook.core import view

MEMBERS = (
    view.Member("vm1", "h:1", "", "zone1"),
    view.Member("vm2", "h:2", "", "zone1"),
    view.Member("vm3", "h:3", "", "zone2"),
    view.Member("vm4", "h:4", "", "zone2", view.MemberState.LEAVING),
    view.Member("vm5", "h:5", "", "zone1", view.MemberState.DEAD),
    view.Member("vm6", "h:6", "", "zone1", view.MemberState.SUSPECT),
)


def choose(
    locator: entry_locator.EntryLocator, zone: str, is_draining: bool = False
) -> list[str]:
    """Return the names in an address answer."""
    chosen = locator.choose(MEMBERS, zone, is_draining)
    return [member.name for member in chosen]


def test_nearest_live_entries_come_first_and_evenly() -> None:
    locator = entry_locator.EntryLocator("h:1", random.Random(3))
    answers = [choose(locator, "zone1") for _ in range(1000)]
    firsts = collections.Counter(answer[0] for answer in answers)
    assert set(firsts) == {"vm1", "vm2"}
    assert min(firsts.values()) > 400
    assert all(answer[2:] == ["vm3", "vm6"] for answer in answers)
    assert choose(locator, "zone2")[0] == "vm3"


def test_draining_entry_leaves_itself_out() -> None:
    locator = entry_locator.EntryLocator("h:1", random.Random(3))
    assert choose(locator, "zone1", is_draining=True) == ["vm2", "vm3", "vm6"]
