"""Watches the upstreams: the VM list, and what each engine reports."""

import asyncio
import dataclasses
import datetime
from typing import Final

import aiohttp
import pydantic
from reactivex import subject

from cicadahook.core import errors
from cicadahook.core import view
from cicadahook.net import engine
from cicadahook.net import logs

POLL_PAUSE: Final = datetime.timedelta(seconds=0.5)
CALL_TIMEOUT: Final = datetime.timedelta(seconds=2)

logger: Final = logs.create_logger("fleet")


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM as the platform's list shows it."""

    address: str
    zone: str
    kind: view.UpstreamKind
    service: str = ""
    state: view.UpstreamState = view.UpstreamState.LIVE


@dataclasses.dataclass(frozen=True)
class Fleet:
    """All upstreams and all copies as last seen."""

    upstreams: tuple[view.Upstream, ...] = ()
    copies: tuple[view.Copy, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """One upstream with its copies."""

    upstream: view.Upstream
    copies: tuple[view.Copy, ...] = ()


_VMS: Final = pydantic.TypeAdapter(tuple[ListedVm, ...])


class FleetWatcher:
    """Polls the list and the engines; publishes what it sees on `fleets`."""

    def __init__(self, vm_list: str, session: aiohttp.ClientSession) -> None:
        self.vm_list = vm_list
        self.session = session
        self.engines = engine.EngineClient(session)
        self.fleets: subject.BehaviorSubject[Fleet] = subject.BehaviorSubject(
            Fleet()
        )
        self.vms: tuple[ListedVm, ...] = ()
        self.polls = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self._refresh_vms()
            sightings = await asyncio.gather(*map(self._look, self.vms))
            fleet = Fleet(
                tuple(seen.upstream for seen in sightings),
                tuple(copy for seen in sightings for copy in seen.copies),
            )
            self.polls += 1
            if fleet != self.fleets.value:
                self.fleets.on_next(fleet)
            await asyncio.sleep(POLL_PAUSE.total_seconds())

    async def _refresh_vms(self) -> None:
        """Read the VM list; keep the last one if that fails."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT.total_seconds())
        url = f"http://{self.vm_list}/vms"
        try:
            async with self.session.get(url, timeout=timeout) as response:
                response.raise_for_status()
                self.vms = _VMS.validate_json(await response.read())
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            logger.warning("VM list not read: %r.", error)

    async def _look(self, vm: ListedVm) -> Sighting:
        """Return what `vm` reports."""
        upstream = view.Upstream(
            vm.address, vm.zone, vm.kind, vm.service, vm.state
        )
        if vm.kind is view.UpstreamKind.SERVICE:
            return Sighting(upstream)
        try:
            state = await self.engines.fetch_state(vm.address)
        except errors.UpstreamError as error:
            logger.info("Engine not seen: %s.", error)
            dead = dataclasses.replace(upstream, state=view.UpstreamState.DEAD)
            return Sighting(dead)
        return _merge(upstream, state)


def _merge(upstream: view.Upstream, state: engine.EngineState) -> Sighting:
    """Return `upstream` with what it reports of itself."""
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
    return Sighting(merged, copies)
