"""Tests that controls observe upstreams while the VM list or engines fail."""

import asyncio
from collections.abc import Callable
import dataclasses

from cicadahook.core import view
from cicadahook.net import control as control_lib
from cicadahook.programs import local


async def wait_until(is_done: Callable[[], bool], seconds: float) -> None:
    """Wait until `is_done`; fail after `seconds`."""
    async with asyncio.timeout(seconds):
        while not is_done():
            await asyncio.sleep(0.05)


def find_control(system: local.LocalSystem) -> control_lib.Control:
    """Return the control of the first VM."""
    found = (getattr(part, "control", None) for part in system.daemons)
    control = next(part for part in found if part is not None)
    assert isinstance(control, control_lib.Control)
    return control


def read_states(
    control: control_lib.Control,
) -> dict[str, view.UpstreamState]:
    """Return the states of the upstreams in the newest view."""
    upstreams = control.links.views.value.upstreams
    return {upstream.address: upstream.state for upstream in upstreams}


async def test_silent_engine_delays_no_other_and_bad_list_removes_none(
    system: local.LocalSystem,
) -> None:
    control = find_control(system)
    silent, busy = (vm.address for vm in system.vm_list.vms[:2])
    system.engines[0].faults.faults = dataclasses.replace(
        system.engines[0].faults.faults, silent=True
    )
    system.vm_list.faults.faults = dataclasses.replace(
        system.vm_list.faults.faults, down=True
    )
    before = control.fleet.observed[busy]
    await wait_until(lambda: control.fleet.observed[busy] is not before, 1.5)
    assert read_states(control)[silent] is view.UpstreamState.LIVE
    await wait_until(
        lambda: read_states(control)[silent] is view.UpstreamState.DEAD, 7
    )
    assert len(read_states(control)) == len(system.vm_list.vms)


async def test_leaving_vm_is_seen_and_unlisted_vm_goes(
    system: local.LocalSystem,
) -> None:
    control = find_control(system)
    listed = system.vm_list.vms
    leaving = dataclasses.replace(listed[0], state="leaving")
    system.vm_list.vms = (leaving, *listed[1:])
    await wait_until(
        lambda: read_states(control)[leaving.address]
        is view.UpstreamState.LEAVING,
        3,
    )
    system.vm_list.vms = listed[1:]
    await wait_until(lambda: leaving.address not in read_states(control), 5)
