"""Entry point of cicada-local: the whole system on loopback, in one process.

It is for trying the system out; tests and load experiments run on it too.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import secrets
from typing import Any, Final

import aiohttp

from cicadahook.core import table as table_lib
from cicadahook.net import http_server
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.programs import control
from cicadahook.programs import daemon
from cicadahook.programs import entry
from cicadahook.programs import settings as settings_lib
from cicadahook.standins import engine
from cicadahook.standins import keyvalue
from cicadahook.standins import service
from cicadahook.standins import vmlist
from cicadahook.standins import weights

HOST: Final = "127.0.0.1"
VM_COUNT: Final = 4
ZONE_COUNT: Final = 3
ENGINE_COUNT: Final = 3
ENTRY_OFFSET: Final = 1
CONTROL_OFFSET: Final = 11
KEY_VALUE_OFFSET: Final = 20
VM_LIST_OFFSET: Final = 21
WEIGHTS_OFFSET: Final = 22
ENGINE_OFFSET: Final = 31
SERVICE_OFFSET: Final = 41
DEFAULT_BASE_PORT: Final = 8400
CLUSTER_KEY_BYTES: Final = 16
READY_POLL_SECONDS: Final = 0.05
GIGABYTE: Final = 1_000_000_000

ROWS: Final = (
    table_lib.Row(
        "inspector",
        table_lib.RowKind.MODEL,
        memory_bytes=20 * GIGABYTE,
        min_copies=2,
        priority=10,
    ),
    table_lib.Row(
        "simplifier",
        table_lib.RowKind.MODEL,
        memory_bytes=15 * GIGABYTE,
        min_copies=2,
    ),
    table_lib.Row(
        "inspector-beams",
        table_lib.RowKind.ADAPTER,
        base="inspector",
        memory_bytes=GIGABYTE,
    ),
    table_lib.Row(
        "portal", table_lib.RowKind.SERVICE, non_idempotent=("/bookings",)
    ),
)

GUIDE: Final = """\
cicadahook runs on loopback. Try:
  curl http://{host}:{entry}/v1/models
  curl http://{host}:{entry}/v1/chat/completions -H 'Content-Type: application/json' \\
    -d '{{"model": "inspector", "messages": [{{"role": "user", "content": "hello"}}]}}'
  cicadactl --control {host}:{control} table show
  open http://{host}:{control}/ in a browser: the dashboard
Press Ctrl-C to stop."""


@dataclasses.dataclass(frozen=True)
class LocalMode:
    """Settings of a local system.

    Attributes:
        base_port: port from which all ports are counted.
        operator_token: token that operators must send; empty asks for none.
        routing_policy: policy by which entries choose upstreams; empty is the
            default.
        placement_policy: policy by which copies are placed; empty is the
            default.
    """

    base_port: int = DEFAULT_BASE_PORT
    operator_token: str = ""
    routing_policy: str = ""
    placement_policy: str = ""


class LocalSystem:
    """Four entry VMs with an entry and a control each, and all stand-ins."""

    def __init__(
        self,
        mode: LocalMode,
        session: aiohttp.ClientSession,
        on_ready: Callable[[], None] = lambda: None,
    ) -> None:
        self.mode = mode
        self.on_ready = on_ready
        self.session = session
        self.cluster_key = secrets.token_hex(CLUSTER_KEY_BYTES)
        base_port = mode.base_port
        weight_store = f"{HOST}:{base_port + WEIGHTS_OFFSET}"
        self.key_value = keyvalue.KeyValueStandin()
        self.weights = weights.WeightsStandin(
            weights.WeightsMode(loads_per_second=20.0, full_speed_loads=4)
        )
        self.engines = [
            engine.EngineStandin(engine.EngineMode(weights=weight_store))
            for _ in range(ENGINE_COUNT)
        ]
        self.service = service.ServiceStandin()
        self.vm_list = vmlist.VmListStandin(self._list_vms())
        self.standins = self._create_servers()
        self.daemons: list[daemon.Daemon] = [
            create(index)
            for index in range(VM_COUNT)
            for create in (self._create_control, self._create_entry)
        ]

    @property
    def base_port(self) -> int:
        """The port from which all ports are counted."""
        return self.mode.base_port

    @property
    def entries(self) -> tuple[str, ...]:
        """Addresses of the entries."""
        return tuple(
            self._address(ENTRY_OFFSET + index) for index in range(VM_COUNT)
        )

    @property
    def standins_by_name(self) -> dict[str, str]:
        """Addresses of the stand-ins by name, to set their faults."""
        engines = {
            f"engine-{index + 1}": self._address(ENGINE_OFFSET + index)
            for index in range(ENGINE_COUNT)
        }
        return {
            "key-value": self._address(KEY_VALUE_OFFSET),
            "vm-list": self._address(VM_LIST_OFFSET),
            "weights": self._address(WEIGHTS_OFFSET),
            "service": self._address(SERVICE_OFFSET),
            **engines,
        }

    def _list_vms(self) -> tuple[vmlist.ListedVm, ...]:
        """Return the upstream VMs."""
        engines = [
            vmlist.ListedVm(
                self._address(ENGINE_OFFSET + index), _get_zone(index), "engine"
            )
            for index in range(ENGINE_COUNT)
        ]
        portal = vmlist.ListedVm(
            self._address(SERVICE_OFFSET), _get_zone(0), "service", "portal"
        )
        return (*engines, portal)

    def _create_servers(self) -> list[http_server.Server]:
        """Return the servers of the stand-ins."""
        parts: list[tuple[Any, int]] = [
            (self.key_value, KEY_VALUE_OFFSET),
            (self.vm_list, VM_LIST_OFFSET),
            (self.weights, WEIGHTS_OFFSET),
            (self.service, SERVICE_OFFSET),
        ]
        for index, part in enumerate(self.engines):
            parts.append((part, ENGINE_OFFSET + index))
        return [
            http_server.Server(part.create_app(), HOST, self.base_port + offset)
            for part, offset in parts
        ]

    def _create_control(self, index: int) -> daemon.Daemon:
        settings = settings_lib.ControlSettings(
            name=f"vm{index + 1}",
            host=HOST,
            zone=_get_zone(index),
            port=self.base_port + CONTROL_OFFSET + index,
            entry=self._address(ENTRY_OFFSET + index),
            key_value=self._address(KEY_VALUE_OFFSET),
            vm_list=self._address(VM_LIST_OFFSET),
            cluster_key=self.cluster_key,
            operator_token=self.mode.operator_token,
            loads_per_second=20.0,
            active_loads=4,
            **_drop_empty(placement_policy=self.mode.placement_policy),
        )
        return control.ControlDaemon(settings)

    def _create_entry(self, index: int) -> daemon.Daemon:
        control_indices = [
            (index + step) % VM_COUNT for step in range(VM_COUNT)
        ]
        settings = settings_lib.EntrySettings(
            name=f"vm{index + 1}",
            host=HOST,
            zone=_get_zone(index),
            port=self.base_port + ENTRY_OFFSET + index,
            controls=tuple(
                self._address(CONTROL_OFFSET + control_index)
                for control_index in control_indices
            ),
            key_value=self._address(KEY_VALUE_OFFSET),
            drain_seconds=0.0,
            cluster_key=self.cluster_key,
            **_drop_empty(routing_policy=self.mode.routing_policy),
        )
        return entry.EntryDaemon(settings, self.session)

    def _address(self, offset: int) -> str:
        return f"{HOST}:{self.base_port + offset}"

    async def start(self) -> None:
        """Start everything; return once all example rows can be served."""
        for server in self.standins:
            await server.start()
        for part in self.daemons:
            await part.start()
        await self._fill_table()
        await self._wait_until_placed()
        self.on_ready()

    async def _fill_table(self) -> None:
        """Write the example rows to the table."""
        rows = [
            {
                "name": row.name,
                "kind": row.kind.value,
                "base": row.base,
                "memory_bytes": row.memory_bytes,
                "min_copies": row.min_copies,
                "priority": row.priority,
                "non_idempotent": row.non_idempotent,
            }
            for row in ROWS
        ]
        url = f"http://{self._address(CONTROL_OFFSET)}/table/rows"
        headers = {"Authorization": f"Bearer {self.mode.operator_token}"}
        async with self.session.put(
            url, json={"rows": rows}, headers=headers
        ) as response:
            response.raise_for_status()

    async def _wait_until_placed(self) -> None:
        """Wait until each entry has a copy of every row."""
        entries = [
            part for part in self.daemons if isinstance(part, entry.EntryDaemon)
        ]
        while not all(_is_placed(part) for part in entries):
            await asyncio.sleep(READY_POLL_SECONDS)

    async def stop(self) -> None:
        """Stop entries, controls, then the stand-ins."""
        # All entries stop, so none can hand its records over to a peer; the
        # warnings about that are not shown.
        logs.create_logger("peers").setLevel("ERROR")
        for part in reversed(self.daemons):
            await part.stop()
        for server in reversed(self.standins):
            await server.stop()


def _drop_empty(**settings: str) -> dict[str, Any]:
    """Return the settings that are not empty."""
    return {name: value for name, value in settings.items() if value}


def _get_zone(index: int) -> str:
    return f"zone{index % ZONE_COUNT + 1}"


def _is_placed(part: entry.EntryDaemon) -> bool:
    """Return whether an entry's view has all copies of the example rows."""
    view = part.entry.view
    return len(view.table.rows) >= len(ROWS) and all(
        len(view.upstreams_for(row)) >= row.min_copies
        for row in view.table.rows
    )


def run(settings: settings_lib.LocalSettings) -> None:
    """Run the whole system on loopback until a stop signal or its set time."""
    logs.setup(logs.LogFormat.PLAIN, settings.log_level)
    metrics.setup("")

    async def serve() -> None:
        async with daemon.open_session() as session:
            system = LocalSystem(
                LocalMode(settings.base_port),
                session,
                lambda: print(create_guide(settings.base_port), flush=True),
            )
            await daemon.run_until_stopped(system, settings.seconds or None)

    daemon.run_main(serve)


def create_guide(base_port: int) -> str:
    """Return the commands to try on the running system."""
    return GUIDE.format(
        host=HOST,
        entry=base_port + ENTRY_OFFSET,
        control=base_port + CONTROL_OFFSET,
    )


def main() -> None:
    """Run cicada-local."""
    run(settings_lib.parse_or_exit(settings_lib.LocalSettings))
