"""Starts, signals and ends the processes of a soak."""

import asyncio
from collections.abc import Iterator
import dataclasses
import pathlib
import signal
import sys
import time
from typing import Final

import aiohttp

from cicadahook.programs import local

START_SECONDS: Final = 20.0
STOP_SECONDS: Final = 60.0
POLL_SECONDS: Final = 0.1
SERVICE_COUNT: Final = 2
ROWS: Final = (
    {
        "name": "inspector",
        "kind": "model",
        "memory_bytes": 20_000_000_000,
        "min_copies": 2,
    },
    {
        "name": "simplifier",
        "kind": "model",
        "memory_bytes": 15_000_000_000,
        "min_copies": 2,
    },
    {
        "name": "beams",
        "kind": "adapter",
        "base": "inspector",
        "memory_bytes": 1_000_000_000,
    },
    {"name": "portal", "kind": "service", "non_idempotent": ["/bookings"]},
)
MODELS: Final = tuple(
    str(row["name"]) for row in ROWS if row["kind"] != "service"
)


@dataclasses.dataclass
class Process:
    """A process that can be stopped and started again.

    Attributes:
        name: name of the process in messages and of its log file.
        command: program and flags.
        address: `host:port` on which the process listens.
        log: file to which its output is appended.
        disturbed: monotonic time of the last kill or pause.
        child: the child process; None before the first start.
    """

    name: str
    command: tuple[str, ...]
    address: str
    log: pathlib.Path
    disturbed: float = 0.0
    child: asyncio.subprocess.Process | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.child is not None and self.child.returncode is None

    async def start(self, session: aiohttp.ClientSession) -> None:
        """Start the process and wait until it answers.

        Raises:
            RuntimeError: the process ended before it answered.
            TimeoutError: it did not answer within `START_SECONDS`.
        """
        program = pathlib.Path(sys.executable).with_name(self.command[0])
        with self.log.open("ab") as output:
            self.child = await asyncio.create_subprocess_exec(
                program, *self.command[1:], stdout=output, stderr=output
            )
        async with asyncio.timeout(START_SECONDS):
            while not await self._is_answering(session):
                await asyncio.sleep(POLL_SECONDS)

    async def _is_answering(self, session: aiohttp.ClientSession) -> bool:
        if not self.is_running:
            raise RuntimeError(
                f"{self.name} ended before it answered; see {self.log}"
            )
        try:
            async with session.get(f"http://{self.address}/healthz"):
                return True
        except aiohttp.ClientError:
            return False

    async def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.disturbed = time.monotonic()
        await self._end(signal.SIGKILL)

    async def stop(self) -> int:
        """Stop the process with SIGTERM; return its exit code."""
        return await self._end(signal.SIGTERM)

    def pause(self) -> None:
        """Freeze the process with SIGSTOP."""
        self.disturbed = time.monotonic()
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a frozen process with SIGCONT."""
        self._signal(signal.SIGCONT)

    def _signal(self, number: signal.Signals) -> None:
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    async def _end(self, number: signal.Signals) -> int:
        assert self.child is not None, f"{self.name} was never started"
        self._signal(number)
        async with asyncio.timeout(STOP_SECONDS):
            return await self.child.wait()


class System:
    """All processes of one run, on loopback.

    Attributes:
        base_port: first port of the run.
        logs: directory of the log files.
        key_value: stand-in of the key-value store.
        vm_list: stand-in of the VM list.
        weights: stand-in of the weights store.
        engines: stand-ins of the engines.
        services: stand-ins of the services.
        controls: the controls.
        entries: the entries.
    """

    def __init__(self, base_port: int, logs: pathlib.Path) -> None:
        self.base_port = base_port
        self.logs = logs
        self.key_value = self._standin("keyvalue", local.KEY_VALUE_OFFSET)
        self.vm_list = self._standin("vmlist", local.VM_LIST_OFFSET)
        self.weights = self._standin(
            "weights", local.WEIGHTS_OFFSET, "--loads-per-second=5"
        )
        self.engines = [
            self._standin(
                "engine",
                local.ENGINE_OFFSET + index,
                f"--weights={self.weights.address}",
                f"--checks-fencing={index != 1}",
            )
            for index in range(local.ENGINE_COUNT)
        ]
        self.services = [
            self._standin("service", local.SERVICE_OFFSET + index)
            for index in range(SERVICE_COUNT)
        ]
        self.controls = [self._control(i) for i in range(local.VM_COUNT)]
        self.entries = [self._entry(i) for i in range(local.VM_COUNT)]

    @property
    def standins(self) -> tuple[Process, ...]:
        """The stand-ins of the platform and of the upstreams."""
        platform = (self.key_value, self.vm_list, self.weights)
        return (*platform, *self.engines, *self.services)

    @property
    def processes(self) -> tuple[Process, ...]:
        """All processes in their start order."""
        return (*self.standins, *self.controls, *self.entries)

    def _address(self, offset: int) -> str:
        return f"{local.HOST}:{self.base_port + offset}"

    def _process(self, name: str, offset: int, *command: str) -> Process:
        flags = (*command, f"--port={self.base_port + offset}")
        log = self.logs / f"{name}.log"
        return Process(name, flags, self._address(offset), log)

    def _standin(self, kind: str, offset: int, *flags: str) -> Process:
        name = f"{kind}-{offset}"
        return self._process(name, offset, "cicada-standin", kind, *flags)

    def _control(self, index: int) -> Process:
        return self._process(
            f"control-{index}",
            local.CONTROL_OFFSET + index,
            "cicada-control",
            f"--name=vm{index}",
            f"--zone=zone{index % local.ZONE_COUNT}",
            f"--entry={self._address(local.ENTRY_OFFSET + index)}",
            f"--key-value={self.key_value.address}",
            f"--vm-list={self.vm_list.address}",
            "--loads-per-second=5",
        )

    def _entry(self, index: int) -> Process:
        others = (
            self._address(
                local.CONTROL_OFFSET + (index + step) % local.VM_COUNT
            )
            for step in range(local.VM_COUNT)
        )
        return self._process(
            f"entry-{index}",
            local.ENTRY_OFFSET + index,
            "cicada-entry",
            f"--name=vm{index}",
            f"--zone=zone{index % local.ZONE_COUNT}",
            "--keep-seconds=1",
            f"--key-value={self.key_value.address}",
            *(f"--controls={control}" for control in others),
        )

    async def start(self, session: aiohttp.ClientSession) -> None:
        """Start all processes, put the VM list and fill the table."""
        for group in (self.standins, self.controls, self.entries):
            await asyncio.gather(*(process.start(session) for process in group))
        await self.put_vms(session)
        url = f"http://{self.controls[0].address}/table/rows"
        async with session.put(url, json={"rows": ROWS}) as response:
            response.raise_for_status()

    async def put_vms(
        self, session: aiohttp.ClientSession, leaving: Process | None = None
    ) -> None:
        """Put the VM list with all upstreams.

        Args:
            session: session for the request.
            leaving: upstream that is listed as leaving, if any.
        """
        vms = list(self._describe_vms(leaving))
        url = f"http://{self.vm_list.address}/vms"
        async with session.put(url, json=vms) as response:
            response.raise_for_status()

    def _describe_vms(self, leaving: Process | None) -> Iterator[object]:
        for index, process in enumerate((*self.engines, *self.services)):
            is_engine = process in self.engines
            yield {
                "address": process.address,
                "zone": f"zone{index % local.ZONE_COUNT}",
                "kind": "engine" if is_engine else "service",
                "service": "" if is_engine else "portal",
                "state": "leaving" if process is leaving else "live",
            }

    async def end(self) -> None:
        """Kill all processes that still run."""
        running = [process for process in self.processes if process.is_running]
        for process in running:
            process.resume()
        await asyncio.gather(*(process.kill() for process in running))
