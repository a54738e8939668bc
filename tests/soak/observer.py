"""Polls the engines and controls of a soak and checks the guarantees."""

import asyncio
import collections
import dataclasses
import time
from typing import Any, Final

import aiohttp

from soak import processes
from soak import results as results_lib

POLL_SECONDS: Final = 0.3
CALL_SECONDS: Final = 2.0
EDIT_PAUSE_SECONDS: Final = 2.0
LEAVING_GRACE_SECONDS: Final = 3.0
RECOVERY_SECONDS: Final = 30.0
CRASH_LIMIT: Final = 2
PROBE_DEADLINE_MS: Final = "3000"


@dataclasses.dataclass
class Leaving:
    """An engine that the VM list marks as leaving.

    Attributes:
        engine: process of the engine.
        since: monotonic time at which the list marked it.
        started: number of requests that it had started at the last check
            after the grace time; None before the first such check.
    """

    engine: processes.Process
    since: float
    started: int | None = None


class Observer:
    """Polls engines and controls, edits the table and checks the final state.

    Attributes:
        system: processes of the run.
        session: session for all requests.
        results: receives counts and violations.
        leaving: the engine that is leaving, if one is.
        weights: weights of the edited row that may be in force.
        generation: table generation of the last accepted edit.
        crashes: crashes of each engine at the last check.
    """

    def __init__(
        self,
        system: processes.System,
        session: aiohttp.ClientSession,
        results: results_lib.Results,
    ) -> None:
        self.system = system
        self.session = session
        self.results = results
        self.leaving: Leaving | None = None
        self.weights = {1.0}
        self.generation = 0
        self.crashes: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Poll processes and edit the table until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll())
            group.create_task(self._edit())

    async def _poll(self) -> None:
        while True:
            await self.check_processes()
            await asyncio.sleep(POLL_SECONDS)

    async def check_processes(self) -> None:
        """Check engines and controls once."""
        await asyncio.gather(
            *map(self._check_engine, self.system.engines),
            *map(self._check_control, self.system.controls),
        )

    async def _check_engine(self, engine: processes.Process) -> None:
        state = await self.fetch(engine, "/state")
        if state is None:
            return
        if state["overcommits"]:
            self.results.record_violation(
                "no overcommit", f"{engine.name}: {state}"
            )
        self._count_crashes(engine, state["crashes"])
        leaving = self.leaving
        if leaving is None or leaving.engine is not engine:
            return
        if time.monotonic() < leaving.since + LEAVING_GRACE_SECONDS:
            return
        if leaving.started is not None and state["started"] > leaving.started:
            self.results.record_violation(
                "nothing new to the leaving",
                f"{engine.name}: {state['started'] - leaving.started}",
            )
        leaving.started = state["started"]

    def _count_crashes(self, engine: processes.Process, crashes: int) -> None:
        """Count the crashes since the last check; a new process starts at 0."""
        last = self.crashes[engine.name]
        self.crashes[engine.name] = crashes
        new = crashes - last if crashes >= last else crashes
        self.results.counts["engine_crashes"] += new

    async def _check_control(self, control: processes.Process) -> None:
        table = await self.fetch(control, "/table")
        if table is not None:
            self.results.check_generation(control.name, table["generation"])

    async def _edit(self) -> None:
        """Change a weight at intervals, through each control in turn."""
        weight = 1.0
        while True:
            await asyncio.sleep(EDIT_PAUSE_SECONDS)
            weight += 1.0
            turn = int(weight) % len(self.system.controls)
            await self._set_weight(self.system.controls[turn], weight)

    async def _set_weight(
        self, control: processes.Process, weight: float
    ) -> None:
        """Edit a row; if the answer is lost, either weight may be in force."""
        row = {**processes.ROWS[0], "weight": weight}
        self.weights.add(weight)
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        url = f"http://{control.address}/table/rows"
        try:
            async with self.session.put(
                url, json={"rows": [row]}, timeout=timeout
            ) as response:
                self.results.counts[f"edit_{response.status}"] += 1
                if response.status == 200:
                    self.weights = {weight}
                    answer = await response.json()
                    self.generation = answer["generation"]
        except (aiohttp.ClientError, TimeoutError):
            self.results.counts["edit_lost"] += 1

    async def fetch(self, process: processes.Process, path: str) -> Any:
        """Return the JSON answer of a process; None if there is none."""
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        url = f"http://{process.address}{path}"
        try:
            async with self.session.get(url, timeout=timeout) as response:
                return await response.json() if response.ok else None
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def wait_until_serving(self, promise: str) -> None:
        """Wait until each entry serves all models and each table is current.

        Args:
            promise: name of the guarantee that is violated if this takes
                longer than `RECOVERY_SECONDS`.
        """
        began = time.monotonic()
        unserved = await self._find_unserved()
        while unserved and time.monotonic() < began + RECOVERY_SECONDS:
            await asyncio.sleep(POLL_SECONDS)
            unserved = await self._find_unserved()
        took = time.monotonic() - began
        self.results.counts[f"milliseconds_until_{promise}"] = int(took * 1000)
        for detail in unserved:
            self.results.record_violation(promise, detail)

    async def check_end(self) -> None:
        """Check the guarantees that hold once the faults have ended."""
        await self.wait_until_serving("recovered")
        await self.check_processes()
        crashes = self.results.counts["engine_crashes"]
        if crashes > CRASH_LIMIT * self.results.counts["fault_crash"]:
            self.results.record_violation(
                "a request crashes two engines at most", f"{crashes} crashes"
            )
        runs: collections.Counter[str] = collections.Counter()
        for service in self.system.services:
            runs.update(await self.fetch(service, "/bookings"))
        self.results.check_bookings(runs)

    async def _find_unserved(self) -> list[str]:
        """Return models that an entry does not serve and outdated tables."""
        problems = await asyncio.gather(
            *map(self._check_in_force, self.system.controls),
            *(
                self._check_reachable(entry, model)
                for entry in self.system.entries
                for model in processes.MODELS
            ),
        )
        return [problem for problem in problems if problem]

    async def _check_in_force(self, control: processes.Process) -> str:
        """Return why the table of a control is outdated; empty if it is not."""
        table = await self.fetch(control, "/table")
        if table is None:
            return f"{control.name} does not answer"
        weight = next(
            (
                row["weight"]
                for row in table["rows"]
                if row["name"] == processes.ROWS[0]["name"]
            ),
            None,
        )
        is_old = table["generation"] < self.generation
        if is_old or weight not in self.weights:
            return (
                f"{control.name} has table {table['generation']}, weight"
                f" {weight}; accepted {self.generation}, {self.weights}"
            )
        return ""

    async def _check_reachable(
        self, entry: processes.Process, model: str
    ) -> str:
        """Return why an entry does not serve a model; empty if it does."""
        body = {"model": model, "prompt": "probe", "max_tokens": 2}
        url = f"http://{entry.address}/v1/completions"
        headers = {"X-Deadline-Ms": PROBE_DEADLINE_MS}
        try:
            async with self.session.post(
                url, json=body, headers=headers
            ) as response:
                if response.status == 200:
                    return ""
                return f"{entry.name} {model}: {await response.text()}"
        except (aiohttp.ClientError, TimeoutError) as error:
            return f"{entry.name} {model}: {error!r}"
