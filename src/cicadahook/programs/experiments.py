"""Load experiments: runs of every combination of policy, load and fault.

An experiment is read from a file and run on local systems.
"""

import asyncio
from collections.abc import Iterator
import dataclasses
import datetime
import itertools
import json
import pathlib
import random
import sys
import tomllib
from typing import Any, Final

import aiohttp
import pydantic
from pydantic import dataclasses as pydantic_dataclasses

from cicadahook.core import errors
from cicadahook.core import placement
from cicadahook.core import routing
from cicadahook.core import workload
from cicadahook.programs import daemon
from cicadahook.programs import load_callers
from cicadahook.programs import load_results
from cicadahook.programs import local

SERVICE_PATH: Final = "/services/portal/bookings"
JSON_NAME: Final = "results.json"
CSV_NAME: Final = "results.csv"
FORBID_UNKNOWN_FIELDS: Final = pydantic.ConfigDict(extra="forbid")


@pydantic_dataclasses.dataclass(frozen=True, config=FORBID_UNKNOWN_FIELDS)
class FaultStep:
    """One change of the faults of a stand-in.

    Attributes:
        at_seconds: time after the start of the load.
        target: name of the stand-in, such as `engine-1`.
        faults: the faults to set; an empty object ends all of them.
    """

    at_seconds: float
    target: str
    faults: dict[str, Any]


@pydantic_dataclasses.dataclass(frozen=True, config=FORBID_UNKNOWN_FIELDS)
class FaultPlan:
    """The fault changes of one run, in the order of their times."""

    name: str
    steps: tuple[FaultStep, ...] = ()


@pydantic_dataclasses.dataclass(frozen=True, config=FORBID_UNKNOWN_FIELDS)
class Experiment:
    """Contents of an experiment file.

    Attributes:
        mix: name of the traffic mix.
        seconds: length of each run, in seconds.
        capacity: requests a second at load 1.
        loads: request rates to run, relative to the capacity.
        seed: seed of arrivals and callers, the same for each run.
        routing_policies: routing policies to compare; an empty name is the
            default policy.
        placement_policies: placement policies to compare; an empty name is the
            default policy.
        faults: fault plans to compare.
        base_port: port from which the ports of the local system are counted.
    """

    mix: str
    seconds: float
    capacity: float
    loads: tuple[float, ...]
    seed: int = 1
    routing_policies: tuple[str, ...] = ("",)
    placement_policies: tuple[str, ...] = ("",)
    faults: tuple[FaultPlan, ...] = (FaultPlan("none"),)
    base_port: int = local.DEFAULT_BASE_PORT


@dataclasses.dataclass(frozen=True)
class Run:
    """One combination of policies, load and faults in an experiment."""

    routing_policy: str
    placement_policy: str
    load: float
    faults: FaultPlan

    @property
    def policy(self) -> str:
        """The name of both policies in results."""
        parts = (self.routing_policy, self.placement_policy)
        return "+".join(part for part in parts if part) or "default"


_EXPERIMENT: Final = pydantic.TypeAdapter(Experiment)


def read_experiment(path: pathlib.Path) -> Experiment:
    """Return the experiment in a TOML or JSON file.

    Raises:
        errors.SettingsError: the file can't be read, or a field is unknown or
            has an invalid value.
    """
    try:
        content = path.read_text(encoding="utf-8")
        is_json = path.suffix == ".json"
        fields = json.loads(content) if is_json else tomllib.loads(content)
        experiment = _EXPERIMENT.validate_python(fields)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(part) for part in first["loc"])
        raise errors.SettingsError(
            f"{path}: {location}: {first['input']!r}: {first['msg']}"
        ) from error
    except (OSError, ValueError) as error:
        raise errors.SettingsError(f"{path}: {error}") from error
    _check_names(path, experiment)
    return experiment


def _check_names(path: pathlib.Path, experiment: Experiment) -> None:
    """Raise `errors.SettingsError` for an unknown mix or policy."""
    checks = (
        ("mix", (experiment.mix,), workload.MIXES),
        ("routing_policies", experiment.routing_policies, routing.POLICIES),
        (
            "placement_policies",
            experiment.placement_policies,
            placement.POLICIES,
        ),
    )
    for field, names, known in checks:
        for name in names:
            if name and name not in known:
                allowed = ", ".join(sorted(known))
                raise errors.SettingsError(
                    f"{path}: {field}: {name!r} must be one of {allowed}"
                )


def list_runs(experiment: Experiment) -> Iterator[Run]:
    """Yield every combination of the experiment."""
    for combination in itertools.product(
        experiment.routing_policies,
        experiment.placement_policies,
        experiment.loads,
        experiment.faults,
    ):
        yield Run(*combination)


async def run_experiment(
    experiment: Experiment, out: pathlib.Path
) -> list[dict[str, Any]]:
    """Run all combinations; write the results to `out` after each run."""
    out.mkdir(parents=True, exist_ok=True)
    finished: list[dict[str, Any]] = []
    for run in list_runs(experiment):
        print(
            f"{run.policy}, load {run.load:g}, fault {run.faults.name}",
            file=sys.stderr,
        )
        finished.append(await execute_run(experiment, run))
        print(file=sys.stderr)
        content = {
            "experiment": dataclasses.asdict(experiment),
            "runs": finished,
        }
        (out / JSON_NAME).write_text(
            json.dumps(content, indent=2), encoding="utf-8"
        )
        csv_content = load_results.format_csv(finished)
        (out / CSV_NAME).write_text(csv_content, encoding="utf-8")
    return finished


async def execute_run(experiment: Experiment, run: Run) -> dict[str, Any]:
    """Run one combination on a new local system and return its results."""
    mode = local.LocalMode(
        experiment.base_port,
        routing_policy=run.routing_policy,
        placement_policy=run.placement_policy,
    )
    async with daemon.open_session() as session:
        system = local.LocalSystem(mode, session)
        try:
            await system.start()
            loads_before = system.weights.loads
            results = await _generate_load(experiment, run, system, session)
            moves = system.weights.loads - loads_before
        finally:
            await system.stop()
    return {
        "policy": run.policy,
        "load": run.load,
        "fault": run.faults.name,
        "moves": moves,
        "attainment_per_accelerator": round(
            results.all.share_in_time / local.ENGINE_COUNT, 4
        ),
        "results": results.describe(),
    }


async def _generate_load(
    experiment: Experiment,
    run: Run,
    system: local.LocalSystem,
    session: aiohttp.ClientSession,
) -> load_results.Results:
    """Send load to `system` while the faults of `run` change."""
    arrivals = workload.generate(
        workload.create_mix(experiment.mix),
        [row.name for row in local.ROWS if row.is_placed],
        experiment.capacity * run.load,
        datetime.timedelta(seconds=experiment.seconds),
        random.Random(experiment.seed),
    )
    rng = random.Random(experiment.seed)
    address_cache = load_callers.AddressCache(system.entries, "", session, rng)
    callers = load_callers.Callers(address_cache, SERVICE_PATH, session, rng)
    faults = asyncio.create_task(
        _inject_faults(run.faults, system.standins_by_name, session)
    )
    try:
        return await callers.run(arrivals)
    finally:
        faults.cancel()
        await asyncio.gather(faults, return_exceptions=True)


async def _inject_faults(
    plan: FaultPlan, addresses: dict[str, str], session: aiohttp.ClientSession
) -> None:
    """Set the faults of each step of `plan` at its time."""
    elapsed_seconds = 0.0
    for step in plan.steps:
        await asyncio.sleep(step.at_seconds - elapsed_seconds)
        elapsed_seconds = step.at_seconds
        url = f"http://{addresses[step.target]}/faults"
        async with session.put(url, json=step.faults) as response:
            response.raise_for_status()
