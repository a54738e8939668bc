"""Tests of cicada-load: seeded arrivals, experiments and simulated callers."""

import datetime
import json
import pathlib
import random
import sys

import aiohttp
import pytest

from cicadahook.core import errors
from cicadahook.core import workload
from cicadahook.net import metrics
from cicadahook.programs import experiments
from cicadahook.programs import load
from cicadahook.programs import load_callers
from cicadahook.programs import local
import conftest

ROWS = ("a", "b", "c")


def generate_arrivals(
    seed: int, seconds: float = 600.0
) -> list[workload.Arrival]:
    """Return the arrivals of one traffic mix at a mean of 10 a second."""
    return list(
        workload.generate(
            workload.create_mix("aarwil"),
            ROWS,
            10.0,
            datetime.timedelta(seconds=seconds),
            random.Random(seed),
        )
    )


def test_arrivals_repeat_by_seed_only() -> None:
    assert generate_arrivals(1) == generate_arrivals(1)
    assert generate_arrivals(1) != generate_arrivals(2)


def test_arrivals_have_the_asked_rate_shares_and_bursts() -> None:
    arrivals = generate_arrivals(1, 6000.0)
    assert len(arrivals) == pytest.approx(60_000, rel=0.1)
    for traffic in workload.create_mix("aarwil").classes:
        own = [item for item in arrivals if item.traffic == traffic]
        assert len(own) / len(arrivals) == pytest.approx(traffic.share, rel=0.1)
    rows = [item.row for item in arrivals]
    assert rows.count("a") > rows.count("b") > rows.count("c")
    by_second = [0] * 6000
    for item in arrivals:
        by_second[int(item.at.total_seconds())] += 1
    mean = sum(by_second) / len(by_second)
    variance = sum((n - mean) ** 2 for n in by_second) / len(by_second)
    assert (
        variance > 3 * mean
    ), "arrivals are no burstier than a Poisson process"


@pytest.mark.parametrize(
    ("content", "named"),
    [
        ('mix = "biobio"', "seconds"),
        ('mix = "x"\nseconds = 1\ncapacity = 1\nloads = [1]', "'x'"),
        ('mix = "biobio"\nseconds = "long"', "'long'"),
        ('mix = "biobio"\nspeed = 3', "speed"),
        ("mix =", "Invalid value"),
    ],
)
def test_bad_experiment_is_named(
    tmp_path: pathlib.Path, content: str, named: str
) -> None:
    path = tmp_path / "experiment.toml"
    path.write_text(content)
    with pytest.raises(errors.SettingsError) as caught:
        experiments.read_experiment(path)
    assert named in str(caught.value)


def test_experiment_with_faults_gives_results_and_plots(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "experiment.json"
    steps = [{"at_seconds": 0.2, "target": "service", "faults": {"down": True}}]
    content = {
        "mix": "biobio",
        "seconds": 1.0,
        "capacity": 40,
        "loads": [0.5],
        "faults": [{"name": "service down", "steps": steps}],
        "base_port": conftest.find_base_port(),
    }
    path.write_text(json.dumps(content))
    monkeypatch.setattr(metrics, "setup", lambda _: None)
    arguments = ["cicada-load", "experiment", str(path), str(tmp_path)]
    monkeypatch.setattr(sys, "argv", arguments)
    load.main()
    (run,) = json.loads((tmp_path / experiments.JSON_NAME).read_text())["runs"]
    result = run["results"]["all"]
    assert result["in_time"] > 0
    assert result["sent"] == sum(
        result[ending] for ending in ("in_time", "late", "refused", "failed")
    )
    assert (tmp_path / "over_time.png").stat().st_size > 0
    lines = (tmp_path / experiments.CSV_NAME).read_text().splitlines()
    assert len(lines) == 1 + len(run["results"])


async def test_callers_fail_over_from_a_dead_entry(
    system: local.LocalSystem,
) -> None:
    rng = random.Random(1)
    async with aiohttp.ClientSession() as session:
        dead = "127.0.0.1:1"
        address_cache = load_callers.AddressCache(
            (dead, system.entries[2]), "", session, rng
        )
        addresses = await address_cache.get()
        assert addresses.entries
        address_cache.cached = load_callers.Addresses(
            (dead, *addresses.entries),
            addresses.key_prefix,
            addresses.expires_at,
        )
        callers = load_callers.Callers(
            address_cache, experiments.SERVICE_PATH, session, rng
        )
        arrivals = workload.generate(
            workload.create_mix("biobio"),
            ["inspector"],
            20.0,
            datetime.timedelta(seconds=1),
            rng,
        )
        results = await callers.run(arrivals, is_quiet=True)
    assert results.all.count > 0
    assert results.all.share_in_time == 1.0
    assert results.all.sends > results.all.count
