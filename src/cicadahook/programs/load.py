"""Entry point of cicada-load: open-loop load, experiments and plots."""

from collections.abc import Sequence
import datetime
import json
import pathlib
import random
import sys
from typing import Final

import fire

from cicadahook.core import errors
from cicadahook.core import workload
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.programs import daemon
from cicadahook.programs import experiments
from cicadahook.programs import load_callers
from cicadahook.programs import load_plots

DEFAULT_ENTRIES: Final = ",".join(
    f"127.0.0.1:{port}" for port in range(8401, 8405)
)
DEFAULT_ROWS: Final = "inspector,simplifier,inspector-beams"
FAILED_EXIT_CODE: Final = 1


class Commands:
    """Loads a running system, or runs experiments on local ones."""

    # Each flag is a parameter.
    # pylint: disable-next=too-many-positional-arguments
    def run(
        self,
        entries: str | Sequence[str] = DEFAULT_ENTRIES,
        mix: str = "biobio",
        rows: str | Sequence[str] = DEFAULT_ROWS,
        service: str = "portal",
        rate: float = 20.0,
        seconds: float = 10.0,
        seed: int = 1,
        zone: str = "",
        quiet: bool = False,
    ) -> None:
        """Load a running system and print the results as JSON.

        Args:
            entries: host:port of entries to ask for addresses.
            mix: traffic: biobio or aarwil.
            rows: models and adapters to ask for, the most popular first.
            service: row of the service that takes bookings at /bookings.
            rate: mean requests a second; they come in bursts.
            seconds: length of the load.
            seed: seed of all chance.
            zone: zone of the callers; empty is that of the entry asked.
            quiet: show no progress.
        """
        arrivals = workload.generate(
            workload.create_mix(mix),
            _split(rows),
            rate,
            datetime.timedelta(seconds=seconds),
            random.Random(seed),
        )

        async def send_all() -> None:
            async with daemon.open_session() as session:
                rng = random.Random(seed)
                address_cache = load_callers.AddressCache(
                    _split(entries), zone, session, rng
                )
                path = f"/services/{service}/bookings"
                callers = load_callers.Callers(
                    address_cache, path, session, rng
                )
                results = await callers.run(arrivals, quiet)
            print(file=sys.stderr)
            print(json.dumps(results.describe(), indent=2))

        daemon.run_main(send_all)

    def experiment(self, file: str, out: str = "experiment") -> None:
        """Run the experiment of a TOML or JSON FILE on local systems.

        Args:
            file: path of the experiment; docs/operations/load.md shows one.
            out: directory for results.json, results.csv and the plots.
        """
        parsed = experiments.read_experiment(pathlib.Path(file))
        logs.setup(logs.LogFormat.PLAIN, "ERROR")
        metrics.setup("")

        async def run_all() -> None:
            await experiments.run_experiment(parsed, pathlib.Path(out))

        daemon.run_main(run_all)
        self.report(out)

    def report(self, directory: str) -> None:
        """Draw the plots of the results in DIRECTORY."""
        for path in load_plots.draw_plots(pathlib.Path(directory)):
            print(path)


def _split(listed: str | Sequence[str]) -> tuple[str, ...]:
    """Return the items of a flag, which fire may already have split."""
    parts = listed.split(",") if isinstance(listed, str) else listed
    return tuple(str(part).strip() for part in parts)


def main() -> None:
    """Run cicada-load."""
    try:
        fire.Fire(Commands, name="cicada-load")
    except errors.CicadaError as error:
        print(error, file=sys.stderr)
        sys.exit(FAILED_EXIT_CODE)
