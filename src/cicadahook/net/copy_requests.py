"""Requests loads of copies from the node that may send orders.

That is this node or another one, the holder of orders.
"""

import asyncio
import dataclasses
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import expected_waits
from cicadahook.core import inventory
from cicadahook.core import residency as residency_lib
from cicadahook.core import roster as roster_lib
from cicadahook.net import active_request
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import node_peers
from cicadahook.net import orderer as orderer_lib
from cicadahook.net import tasks

# How often a request checks for a new holder or a copy.
HOLDER_POLL_INTERVAL: Final = datetime.timedelta(milliseconds=100)
RETRY_DELAY: Final = datetime.timedelta(milliseconds=100)

logger: Final = logs.create_logger("copies")


class CopyRequester:
    """Requests copies from the holder of orders; equal requests share a call.

    A request waits for a copy until its own deadline, since a new holder or a
    free engine may become available at any time.

    Attributes:
        orderer: sends orders while this node is the holder.
        client: calls the holder if it is another node.
        waits: how long the copies should take.
        holder: the node that loads them, as last known.
        pending: calls in progress, by service, model, adapter, failed engines
            and software version.
    """

    def __init__(
        self,
        orderer: orderer_lib.Orderer,
        client: node_peers.CopyClient,
        roster: roster_lib.Roster,
        instances: inventory.Inventory,
        residency: residency_lib.Residency,
        clock: clock_lib.Clock,
    ) -> None:
        self.orderer = orderer
        self.client = client
        self.roster = roster
        self.inventory = instances
        self.residency = residency
        self.statements = orderer.inputs.statements
        self.clock = clock
        self.pending: dict[
            tuple[str, str, str, frozenset[str], str],
            asyncio.Task[residency_lib.CopyKey | None],
        ] = {}
        self.waits = expected_waits.CopyWaits()
        self.holder: roster_lib.NodeRecord | None = None

    def begin(
        self, wanted: active_request.WantedCopy
    ) -> asyncio.Task[residency_lib.CopyKey | None]:
        """Begin to load a copy; the load goes on if the task is cancelled.

        Returns:
            A task that returns where the copy is, and waits until it is loaded.
        """
        call = self._join_request(wanted)
        return asyncio.create_task(self._wait(wanted, call))

    def estimate_wait(
        self, wanted: active_request.WantedCopy
    ) -> datetime.timedelta:
        """Return how much longer a copy should take."""
        now = self.clock.now()
        holder = self._find_holder()
        if holder is not None and holder != self.holder:
            self.holder = holder
            self.waits.restart(now)
        return self.waits.ask(
            _name(wanted), lambda: self._plan_wait(wanted), now
        )

    def _plan_wait(
        self, wanted: active_request.WantedCopy
    ) -> datetime.timedelta:
        """Return how long a copy takes by the plan of its load."""
        configuration = self.orderer.inputs.get_configuration()
        service = configuration and configuration.services.get(wanted.service)
        pool = service.engines if service else None
        model = pool.models.get(wanted.key.model) if pool else None
        if model is None:
            return datetime.timedelta()
        usable = [
            entry
            for entry in self.inventory.list_usable(wanted.service)
            if entry.id not in wanted.failed
        ]
        if self.residency.list_holders(
            usable, model.name, "", self.clock.now()
        ):
            return expected_waits.ADAPTER_WAIT
        return expected_waits.plan_load(model, usable)

    async def _wait(
        self,
        wanted: active_request.WantedCopy,
        call: asyncio.Task[residency_lib.CopyKey | None],
    ) -> residency_lib.CopyKey:
        """Return where a copy is once this node can use it."""
        while True:
            held = await asyncio.shield(call)
            # The holder may learn of an engine's start, end or request limit
            # earlier or later than this node.
            if held is not None and self._can_use(held, wanted.software):
                return held
            await asyncio.sleep(RETRY_DELAY.total_seconds())
            call = self._join_request(wanted)

    async def _request_and_learn(
        self, wanted: active_request.WantedCopy
    ) -> residency_lib.CopyKey | None:
        """Call the holder, and learn how long the copy took.

        Also of copies that no request waits for any more, since these are the
        ones that took longest.
        """
        held = await self._request_copy(
            wanted.service, wanted.key, wanted.failed, wanted.software
        )
        if held is None or not self._can_use(held, wanted.software):
            return held
        now = self.clock.now()
        self.residency.record_held(held, now)
        finished = self.waits.finish(_name(wanted), now)
        if finished is not None:
            metrics.record_wait(finished.expected, finished.actual)
        return held

    def _can_use(self, held: residency_lib.CopyKey, software: str) -> bool:
        """Whether a request may be sent to a copy now."""
        engine = self.inventory.find_usable(held.instance)
        return (
            engine is not None
            and software in ("", engine.software)
            and self.statements.has_room(engine, self.clock.now())
        )

    def _join_request(
        self, wanted: active_request.WantedCopy
    ) -> "asyncio.Task[residency_lib.CopyKey | None]":
        service, key = wanted.service, wanted.key
        failed, software = wanted.failed, wanted.software
        name = (service, key.model, key.adapter, failed, software)
        return tasks.share(
            self.pending,
            name,
            lambda: self._request_and_learn(wanted),
        )

    async def _request_copy(
        self,
        service: str,
        key: residency_lib.CopyKey,
        failed: frozenset[str],
        software: str,
    ) -> residency_lib.CopyKey | None:
        """Call the current holder.

        The call is cancelled once another node is holder, or once there is no
        holder and a copy is found.
        """
        holder = self._find_holder()
        if holder is None:
            await asyncio.sleep(HOLDER_POLL_INTERVAL.total_seconds())
            return self._find_copy(service, key, failed, software)
        call = asyncio.create_task(
            self._call(holder, service, key, failed, software)
        )
        try:
            if await tasks.wait_while(
                call,
                lambda: not self._is_call_obsolete(
                    holder, service, key, failed, software
                ),
                HOLDER_POLL_INTERVAL,
            ):
                return call.result()
        finally:
            call.cancel()
        logger.info(
            "Call to a holder cancelled; its answer is no longer needed.",
            extra={"holder": holder.name, "model": key.model},
        )
        return None

    def _is_call_obsolete(
        self,
        holder: roster_lib.NodeRecord,
        service: str,
        key: residency_lib.CopyKey,
        failed: frozenset[str],
        software: str,
    ) -> bool:
        """Whether the answer of a holder is no longer needed.

        While there is no holder, the former one may still answer; its answer is
        needed until this node knows of a copy.
        """
        current = self._find_holder()
        if current is None:
            return self._find_copy(service, key, failed, software) is not None
        return current != holder

    def _find_copy(
        self,
        service: str,
        key: residency_lib.CopyKey,
        failed: frozenset[str],
        software: str,
    ) -> residency_lib.CopyKey | None:
        """Return a copy that this node knows of, if any."""
        usable = (
            candidate
            for candidate in self.inventory.list_usable(service)
            if candidate.id not in failed
            and software in ("", candidate.software)
            and self.statements.has_room(candidate, self.clock.now())
        )
        holders = self.residency.list_holders(
            usable, key.model, key.adapter, self.clock.now()
        )
        if not holders:
            return None
        return dataclasses.replace(key, instance=holders[0].id)

    def _find_holder(self) -> roster_lib.NodeRecord | None:
        """Return the node that may send orders, which may be this one."""
        if self.orderer.can_send():
            return self.roster.own
        return self.roster.find_holder(self.clock.now())

    async def _call(
        self,
        holder: roster_lib.NodeRecord,
        service: str,
        key: residency_lib.CopyKey,
        failed: frozenset[str],
        software: str,
    ) -> residency_lib.CopyKey | None:
        if holder == self.roster.own:
            return await self.orderer.ensure(service, key, failed, software)
        return await self.client.ask(holder, service, key, failed, software)


def _name(wanted: active_request.WantedCopy) -> expected_waits.CopyName:
    return expected_waits.CopyName(
        wanted.service, wanted.key.model, wanted.key.adapter
    )
