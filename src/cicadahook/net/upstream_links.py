"""Links of a node to the upstreams, and its ways around those that are cut."""

import asyncio
from collections.abc import Collection, Iterable
import random
from typing import Final, Protocol

import aiohttp

from cicadahook.core import clock as clock_lib
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.core import kept_connections
from cicadahook.core import reachability as reachability_lib
from cicadahook.core import roster as roster_lib
from cicadahook.core import upstream_statements
from cicadahook.net import active_request
from cicadahook.net import connection_pools
from cicadahook.net import end_checks
from cicadahook.net import link_monitor
from cicadahook.net import peer_probes
from cicadahook.net import peer_relay_client
from cicadahook.net import upstream_answers

# Upstreams that are probed to find out whether this node has any link.
MAX_WITNESSES: Final = 3


class LinkClient(active_request.UpstreamSender, Protocol):
    """Client of the upstreams that tells what its calls show of the links.

    Attributes:
        links: passes on what its calls show of the links.
        pools: its connections to upstreams.
        end_checks: checks answers that end with their connection.
    """

    links: upstream_answers.LinkWatch
    pools: connection_pools.ConnectionPools
    end_checks: end_checks.EndChecker


class UpstreamLinks:
    """Knows which upstreams this node and others reach, and keeps it so.

    Attributes:
        client: sends requests on own connections.
        reachability: what is known of the links.
        monitor: records what calls show of them.
        relays: sends requests through other nodes.
        paths: sends requests to upstreams by the best way.
        questions: asks other nodes whether they can connect to an upstream.
    """

    def __init__(
        self,
        client: LinkClient,
        instances: inventory.Inventory,
        statements: upstream_statements.UpstreamStatements,
        nodes: roster_lib.Roster,
        clock: clock_lib.Clock,
        *,
        generator: random.Random,
        session: aiohttp.ClientSession,
    ) -> None:
        self.client = client
        self.inventory = instances
        self.statements = statements
        self.roster = nodes
        self.clock = clock
        self.generator = generator
        client.pools.kept = kept_connections.KeptConnections(nodes.own.name)
        client.end_checks.node = nodes.own.name
        self.reachability = reachability_lib.Reachability(
            generator, client.pools.kept
        )
        self.monitor = link_monitor.LinkMonitor(
            self.reachability,
            instances,
            client.probe,
            clock,
            is_resting=self._is_resting,
            generator=generator,
            node=nodes.own.name,
        )
        client.links.listener = self.monitor.record
        self.questions = peer_probes.ProbeClient(
            session, nodes, self.reachability, clock
        )
        self.relays = peer_relay_client.RelayClient(
            self.reachability,
            nodes,
            clock,
            self.questions.is_gone,
        )
        self.paths = peer_relay_client.UpstreamPaths(client, self.relays)

    async def close(self) -> None:
        """Stop all probes and close the connections to other nodes."""
        self.monitor.close()
        await self.relays.close()

    def update_nodes(self) -> None:
        """Forget the nodes that are no longer known."""
        now = self.clock.now()
        self.reachability.replace_nodes(self.roster.list_names(now))
        self.reachability.peer_expiry = max(
            reachability_lib.PEER_EXPIRY, self.roster.get_silence_limit()
        )

    def receive_status(self, status: roster_lib.NodeStatus) -> None:
        """Apply another node's status; one that stops passes nothing on."""
        name = status.node.name
        if status.has_left or not status.is_ready:
            self.reachability.forget_peer(name)
        elif not status.is_brief:
            self.reachability.merge(
                name, status.upstreams.links, self.clock.now()
            )

    def is_cut_off(self, services: Collection[str] | None = None) -> bool:
        """Whether this node lacks most links that another node has.

        Args:
            services: names of the services to look at; None for all.
        """
        return self.reachability.is_cut_off(
            list(self._list_instances(services)), self.clock.now()
        )

    def _list_instances(
        self, services: Collection[str] | None
    ) -> Iterable[inventory.Instance]:
        for entry in self.inventory.instances.values():
            if services is None or entry.service in services:
                yield entry

    def _is_resting(self, instance: inventory.Instance) -> bool:
        return self.statements.is_resting(instance, self.clock.now())

    async def find_out_reached(self, instance: inventory.Instance) -> bool:
        """Return whether this node can connect to an upstream.

        One that rests has answered lately and is not disturbed.
        """
        if self._is_resting(instance):
            return True
        event = await self.client.probe(instance)
        return event is forwarding.LinkEvent.CONNECTED

    async def may_have_ended(self, instance: inventory.Instance) -> bool:
        """Return whether an upstream that refuses connections may have ended.

        That no node reaches it proves nothing while this node reaches no other
        upstream either: then the links of all nodes may be cut.
        """
        if await self.questions.is_reached_elsewhere(instance):
            return False
        return await self._has_any_link(instance)

    async def _has_any_link(self, besides: inventory.Instance) -> bool:
        """Return whether this node can connect to any other upstream now."""
        others = [
            entry
            for entry in self.inventory.instances.values()
            if entry.id != besides.id and not self.reachability.is_cut(entry)
        ]
        witnesses = self.generator.sample(
            others, min(len(others), MAX_WITNESSES)
        )
        reached = await asyncio.gather(
            *(self.find_out_reached(entry) for entry in witnesses)
        )
        return any(reached)
