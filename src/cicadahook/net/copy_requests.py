"""Requests loads of copies from the node that may send orders.

That is this node or another one, the holder of orders.
"""

import asyncio
import dataclasses
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import inventory
from cicadahook.core import residency as residency_lib
from cicadahook.core import roster as roster_lib
from cicadahook.net import logs
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

    async def ensure(
        self,
        service: str,
        key: residency_lib.CopyKey,
        failed: frozenset[str],
        software: str = "",
    ) -> residency_lib.CopyKey | None:
        """Return the key of a copy, waiting until it is loaded.

        Args:
            service: name of the service.
            key: the model and adapter wanted, and the preferred engine.
            failed: ids of engines that were unreachable or lacked the copy.
            software: version of the engine's software; empty for any.
        """
        while True:
            held = await asyncio.shield(
                self._join_request(service, key, failed, software)
            )
            # The holder may learn of an engine's start, end or request limit
            # earlier or later than this node.
            if held is not None and self._can_use(held, software):
                return held
            await asyncio.sleep(RETRY_DELAY.total_seconds())

    def _can_use(self, held: residency_lib.CopyKey, software: str) -> bool:
        """Whether a request may be sent to a copy now."""
        engine = self.inventory.find_usable(held.instance)
        return (
            engine is not None
            and software in ("", engine.software)
            and self.statements.has_room(engine, self.clock.now())
        )

    def _join_request(
        self,
        service: str,
        key: residency_lib.CopyKey,
        failed: frozenset[str],
        software: str,
    ) -> "asyncio.Task[residency_lib.CopyKey | None]":
        name = (service, key.model, key.adapter, failed, software)
        return tasks.share(
            self.pending,
            name,
            lambda: self._request_copy(service, key, failed, software),
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
