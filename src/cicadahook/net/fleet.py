"""Watches the upstreams by polling the VM list and each engine's state."""

import asyncio
import collections
import dataclasses
import datetime
from typing import Final

import aiohttp
import pydantic
from reactivex import subject

from cicadahook.core import errors
from cicadahook.core import view
from cicadahook.net import engine_client
from cicadahook.net import logs

POLL_PAUSE: Final = datetime.timedelta(seconds=0.5)
CALL_TIMEOUT: Final = datetime.timedelta(seconds=1)
MISSES_UNTIL_DEAD: Final = 3
READS_UNTIL_REMOVED: Final = 2

logger: Final = logs.create_logger("fleet")


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM in the platform's list."""

    address: str
    zone: str
    kind: view.UpstreamKind
    service: str = ""
    state: view.UpstreamState = view.UpstreamState.LIVE


@dataclasses.dataclass(frozen=True)
class Fleet:
    """All upstreams and all copies as last observed."""

    upstreams: tuple[view.Upstream, ...] = ()
    copies: tuple[view.Copy, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedUpstream:
    """An upstream as last observed, with its copies."""

    upstream: view.Upstream
    copies: tuple[view.Copy, ...] = ()


_VMS: Final = pydantic.TypeAdapter(tuple[ListedVm, ...])


class FleetWatcher:
    """Polls the VM list and each engine; publishes changes on `fleets`.

    Each engine is polled by its own task, so that a slow one does not delay
    another.

    Attributes:
        fleets: the newest fleet.
        poll_count: how often the VM list was polled.
        vms: the listed VMs by address.
        observed: the latest observation of each VM, by address.
        unlisted_reads: consecutive reads of the list without a VM, by address.
    """

    def __init__(self, vm_list: str, session: aiohttp.ClientSession) -> None:
        self.vm_list = vm_list
        self.session = session
        self.engines = engine_client.EngineClient(session)
        self.fleets: subject.BehaviorSubject[Fleet] = subject.BehaviorSubject(
            Fleet()
        )
        self.poll_count = 0
        self.vms: dict[str, ListedVm] = {}
        self.observed: dict[str, ObservedUpstream] = {}
        self.unlisted_reads: collections.Counter[str] = collections.Counter()
        self.tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Poll until cancelled.

        The qualified name of this method is the value of a metric label.
        """
        try:
            while True:
                await self._refresh_vms()
                self.poll_count += 1
                await asyncio.sleep(POLL_PAUSE.total_seconds())
        finally:
            for address in list(self.tasks):
                self._drop(address)

    async def _refresh_vms(self) -> None:
        """Read the VM list; keep the last one if the read fails."""
        url = f"http://{self.vm_list}/vms"
        try:
            async with self.session.get(url, timeout=_timeout()) as response:
                response.raise_for_status()
                listed = _VMS.validate_json(await response.read())
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            logger.warning(
                "VM list could not be read; the last one is kept: %r.", error
            )
            return
        self._apply_list(listed)
        self._publish()

    def _apply_list(self, listed: tuple[ListedVm, ...]) -> None:
        """Update the VMs; drop one missing from READS_UNTIL_REMOVED reads."""
        present = {vm.address: vm for vm in listed}
        for address in list(self.vms):
            if address in present:
                self.unlisted_reads.pop(address, None)
                continue
            self.unlisted_reads[address] += 1
            if self.unlisted_reads[address] >= READS_UNTIL_REMOVED:
                self._drop(address)
        for address, vm in present.items():
            self.vms[address] = vm
            if address not in self.tasks:
                self.tasks[address] = asyncio.create_task(self._watch(address))

    def _drop(self, address: str) -> None:
        """Remove a VM and stop polling it."""
        self.tasks.pop(address).cancel()
        self.vms.pop(address, None)
        self.observed.pop(address, None)
        self.unlisted_reads.pop(address, None)

    async def _watch(self, address: str) -> None:
        """Poll one upstream until cancelled."""
        misses = 0
        while True:
            vm = self.vms[address]
            if vm.kind is view.UpstreamKind.SERVICE:
                self.observed[address] = ObservedUpstream(_describe(vm))
            else:
                misses = await self._poll_engine(vm, misses)
            self._publish()
            await asyncio.sleep(POLL_PAUSE.total_seconds())

    async def _poll_engine(self, vm: ListedVm, misses: int) -> int:
        """Fetch an engine's state; return its consecutive failures."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT.total_seconds()):
                state = await self.engines.fetch_state(vm.address)
        except (errors.UpstreamError, TimeoutError) as error:
            is_dead = misses + 1 >= MISSES_UNTIL_DEAD
            if is_dead or vm.address not in self.observed:
                logger.info("Engine %s not seen: %r.", vm.address, error)
                upstream = dataclasses.replace(
                    _describe(vm), state=view.UpstreamState.DEAD
                )
                self.observed[vm.address] = ObservedUpstream(upstream)
            return misses + 1
        self.observed[vm.address] = _merge(_describe(vm), state)
        return 0

    def _publish(self) -> None:
        """Publish all observations if they changed."""
        observations = [
            _with_listed_state(self.observed[address], self.vms[address])
            for address in sorted(self.vms)
            if address in self.observed
        ]
        fleet = Fleet(
            tuple(observation.upstream for observation in observations),
            tuple(
                copy
                for observation in observations
                for copy in observation.copies
            ),
        )
        if fleet != self.fleets.value:
            self.fleets.on_next(fleet)


def _timeout() -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=CALL_TIMEOUT.total_seconds())


def _describe(vm: ListedVm) -> view.Upstream:
    """Return the upstream as listed."""
    return view.Upstream(vm.address, vm.zone, vm.kind, vm.service, vm.state)


def _with_listed_state(
    observation: ObservedUpstream, vm: ListedVm
) -> ObservedUpstream:
    """Return `observation`, leaving if the list says so.

    The list may show this before the engine's next report does.
    """
    is_live = observation.upstream.state is view.UpstreamState.LIVE
    if not is_live or vm.state is view.UpstreamState.LIVE:
        return observation
    upstream = dataclasses.replace(observation.upstream, state=vm.state)
    return dataclasses.replace(observation, upstream=upstream)


def _merge(
    upstream: view.Upstream, state: engine_client.EngineState
) -> ObservedUpstream:
    """Return `upstream` with the state and copies that it reports."""
    is_leaving = view.UpstreamState.LEAVING in (upstream.state, state.state)
    merged = dataclasses.replace(
        upstream,
        state=(
            view.UpstreamState.LEAVING
            if is_leaving
            else view.UpstreamState.LIVE
        ),
        capacity_bytes=state.capacity_bytes,
        incarnation=state.incarnation,
        in_flight=state.in_flight,
        role=state.role,
    )
    copies = tuple(
        view.Copy(copy.row, upstream.address, copy.version, copy.state)
        for copy in state.copies
    )
    return ObservedUpstream(merged, copies)
