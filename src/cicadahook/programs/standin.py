"""Entry point of cicada-standin: one stand-in of an external system.

Stand-ins replace the platform's services and upstreams in tests and
local systems.
"""

import sys
from typing import Any, Final, TypeVar

import fire
import pydantic

from cicadahook.core import errors
from cicadahook.net import http_server
from cicadahook.net import logs
from cicadahook.programs import daemon
from cicadahook.programs import settings as settings_lib
from cicadahook.standins import batch
from cicadahook.standins import engine
from cicadahook.standins import keyvalue
from cicadahook.standins import service
from cicadahook.standins import vmlist
from cicadahook.standins import weights

HOST: Final = "127.0.0.1"

ModeT = TypeVar("ModeT")


class Standins:
    """Each command runs one stand-in until it gets a stop signal.

    Faults are ordered while it runs, by PUT /faults with a JSON object; GET
    /faults shows all that it knows. An empty object ends them.
    """

    def keyvalue(
        self,
        port: int = 8420,
        reads_per_second: int = 2000,
        writes_per_second: int = 300,
    ) -> None:
        """Run the key-value service.

        Args:
            port: TCP port.
            reads_per_second: reads allowed a second; 0 is no limit.
            writes_per_second: writes allowed a second; 0 is no limit.
        """
        mode = _create_mode(
            keyvalue.KeyValueMode,
            reads_per_second=reads_per_second,
            writes_per_second=writes_per_second,
        )
        _serve(keyvalue.KeyValueStandin(mode), port)

    def vmlist(self, port: int = 8421, lag_seconds: float = 0.0) -> None:
        """Run the VM list; fill it by PUT /vms.

        Args:
            port: TCP port.
            lag_seconds: time until a change shows.
        """
        _serve(vmlist.VmListStandin((), lag_seconds), port)

    def weights(
        self,
        port: int = 8422,
        loads_per_second: float = 1.0,
        full_speed_loads: int = 2,
        load_seconds: float = 0.2,
    ) -> None:
        """Run the weight store.

        Args:
            port: TCP port.
            loads_per_second: loads that may start a second.
            full_speed_loads: loads that run at full speed at once.
            load_seconds: time of one load at full speed.
        """
        mode = _create_mode(
            weights.WeightsMode,
            loads_per_second=loads_per_second,
            full_speed_loads=full_speed_loads,
            load_seconds=load_seconds,
        )
        _serve(weights.WeightsStandin(mode), port)

    # Each flag is a parameter.
    # pylint: disable-next=too-many-arguments
    def engine(
        self,
        port: int = 8431,
        *,
        weights: str = "",  # pylint: disable=redefined-outer-name
        capacity_bytes: int = 80_000_000_000,
        checks_fencing: bool = True,
        knee: int = 16,
        step_seconds: float = 0.006,
        batch_limit: int = 256,
        report_lag_seconds: float = 0.5,
        restart_seconds: float = 1.0,
        cache_prefixes: int = 64,
        event_lag_seconds: float = 0.5,
        event_gap: int = 0,
    ) -> None:
        """Run a model engine.

        Args:
            port: TCP port.
            weights: host:port of the weight store; empty loads at once.
            capacity_bytes: accelerator memory, in bytes.
            checks_fencing: whether old fencing numbers are refused.
            knee: requests in flight up to which a step takes no longer.
            step_seconds: time of one step up to the knee.
            batch_limit: requests in a batch; further ones wait.
            report_lag_seconds: age of the load that /state reports.
            restart_seconds: time down after a crash.
            cache_prefixes: prompt prefixes that the cache holds.
            event_lag_seconds: age at which a cache event shows.
            event_gap: every so many cache events one is lost; 0 loses none.
        """
        mode = _create_mode(
            engine.EngineMode,
            capacity_bytes=capacity_bytes,
            checks_fencing=checks_fencing,
            weights=weights,
            batch=_create_mode(
                batch.BatchMode,
                knee=knee,
                step_seconds=step_seconds,
                batch_limit=batch_limit,
            ),
            report_lag_seconds=report_lag_seconds,
            restart_seconds=restart_seconds,
            cache_prefixes=cache_prefixes,
            event_lag_seconds=event_lag_seconds,
            event_gap=event_gap,
        )
        _serve(engine.EngineStandin(mode), port)

    def service(self, port: int = 8441) -> None:
        """Run a plain service that counts bookings."""
        _serve(service.ServiceStandin(), port)


def _create_mode(mode_type: type[ModeT], **values: Any) -> ModeT:
    """Return the settings of a stand-in.

    Raises:
        errors.SettingsError: a value is not allowed; the error names the flag
            and the value.
    """
    try:
        return pydantic.TypeAdapter(mode_type).validate_python(values)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        flag = "--" + str(first["loc"][0]).replace("_", "-")
        raise errors.SettingsError(
            f"{flag}: {first['input']!r} is not allowed: {first['msg']}"
        ) from error


def _serve(standin: Any, port: int) -> None:
    """Serve a stand-in until a stop signal."""
    logs.setup(logs.LogFormat.PLAIN, "WARNING")

    async def serve() -> None:
        server = http_server.Server(standin.create_app(), HOST, port)
        await server.start()
        print(f"listens on {server.address}", flush=True)
        await daemon.wait_for_stop()
        await server.stop()

    daemon.run_main(serve)


def main() -> None:
    """Run cicada-standin."""
    try:
        fire.Fire(Standins(), name="cicada-standin")
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(settings_lib.USAGE_EXIT_CODE)
