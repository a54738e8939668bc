"""Tests of the daemons' settings from flags and environment."""

import pytest

from cicadahook.core import errors
from cicadahook.programs import settings


@pytest.mark.parametrize(
    ("arguments", "named"),
    [
        (["--port", "99999"], ("--port", "99999")),
        (["--controls", "nowhere"], ("--controls", "nowhere")),
        (["--routing-policy", "best"], ("--routing-policy", "round_robin")),
        (["--keep-seconds", "-1"], ("--keep-seconds", "-1")),
    ],
)
def test_bad_flag_is_named(
    arguments: list[str], named: tuple[str, ...]
) -> None:
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse(settings.EntrySettings, arguments)
    for part in named:
        assert part in str(caught.value)


def test_environment_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("CICADA_ZONE", "zone9")
    parsed = settings.parse(settings.EntrySettings, ["--port", "8402"])
    assert (parsed.zone, parsed.port) == ("zone9", 8402)
