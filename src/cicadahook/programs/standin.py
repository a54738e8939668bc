"""cicada-standin: runs one stand-in of the platform, for tests and trials."""

from typing import Any, Final

import fire

from cicadahook.net import http as http_lib
from cicadahook.net import logs
from cicadahook.programs import daemon
from cicadahook.standins import batch
from cicadahook.standins import engine
from cicadahook.standins import keyvalue
from cicadahook.standins import service
from cicadahook.standins import vmlist
from cicadahook.standins import weights

HOST: Final = "127.0.0.1"


class Standins:
    """Each command runs one stand-in until it is told to stop."""

    def keyvalue(
        self,
        port: int = 8420,
        reads_per_second: int = 2000,
        writes_per_second: int = 300,
    ) -> None:
        """Run the key-value service."""
        mode = keyvalue.KeyValueMode(reads_per_second, writes_per_second)
        _serve(keyvalue.KeyValueStandin(mode), port)

    def vmlist(self, port: int = 8421, lag_seconds: float = 0.0) -> None:
        """Run the VM list; fill it by PUT /vms."""
        _serve(vmlist.VmListStandin((), lag_seconds), port)

    def weights(
        self,
        port: int = 8422,
        loads_per_second: float = 1.0,
        full_speed_loads: int = 2,
        load_seconds: float = 0.2,
    ) -> None:
        """Run the weight store."""
        mode = weights.WeightsMode(
            loads_per_second, full_speed_loads, load_seconds
        )
        _serve(weights.WeightsStandin(mode), port)

    def engine(
        self,
        port: int = 8431,
        weights: str = "",
        capacity_bytes: int = 80_000_000_000,
        checks_fencing: bool = True,
        knee: int = 16,
        step_seconds: float = 0.006,
    ) -> None:
        """Run a model engine."""
        # pylint: disable=redefined-outer-name
        mode = engine.EngineMode(
            capacity_bytes=capacity_bytes,
            checks_fencing=checks_fencing,
            weights=weights,
            batch=batch.BatchMode(knee=knee, step_seconds=step_seconds),
        )
        _serve(engine.EngineStandin(mode), port)

    def service(self, port: int = 8441) -> None:
        """Run a plain service that counts bookings."""
        _serve(service.ServiceStandin(), port)


def _serve(part: Any, port: int) -> None:
    """Serve a stand-in until a stop signal."""
    logs.setup(logs.LogFormat.PLAIN, "WARNING")

    async def serve() -> None:
        server = http_lib.Server(part.create_app(), HOST, port)
        await server.start()
        print(f"listens on {server.address}", flush=True)
        await daemon.wait_for_stop()
        await server.stop()

    daemon.run_main(serve)


def main() -> None:
    """Run cicada-standin."""
    fire.Fire(Standins(), name="cicada-standin")
