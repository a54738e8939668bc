"""Creates a node's statuses and sends them to the other nodes."""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
from typing import Any, Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import expected_waits
from cicadahook.core import grants
from cicadahook.core import load_planning
from cicadahook.core import order_holder
from cicadahook.core import roster as roster_lib
from cicadahook.core import status_schedule
from cicadahook.core import store_contact
from cicadahook.core import stream_origins
from cicadahook.net import codec
from cicadahook.net import forwarder as forwarder_lib
from cicadahook.net import logs
from cicadahook.net import orderer as orderer_lib
from cicadahook.net import status_codec
from cicadahook.net import upstream_links

logger: Final = logs.create_logger("peers")


class StatusEndpoint(asyncio.DatagramProtocol):
    """Sends and receives statuses over UDP.

    Attributes:
        receive: called with each status received.
        transport: set while the endpoint is open.
    """

    def __init__(
        self, receive: Callable[[roster_lib.NodeStatus], None]
    ) -> None:
        self.receive = receive
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen on a UDP port."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def connection_made(self, transport: Any) -> None:
        """Store the transport used for sending."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Decode a status and pass it on; drop anything else."""
        try:
            status = status_codec.decode(data)
        except codec.DecodeError as error:
            logger.warning(
                "Datagram dropped; it is not a status.",
                extra={"sender": str(addr), "error": str(error)},
            )
            return
        self.receive(status)

    def error_received(self, exc: Exception) -> None:
        """Ignore a peer that does not listen; its missing statuses show it."""
        logger.debug("Datagram not delivered.", extra={"error": repr(exc)})

    def send(
        self,
        status: roster_lib.NodeStatus,
        peers: Iterable[roster_lib.NodeRecord],
        *,
        is_compact: bool,
    ) -> None:
        """Send a status to all peers, which read the same form."""
        listed = tuple(peers)
        if self.transport is None or not listed:
            return
        try:
            data = status_codec.encode(status, is_compact=is_compact)
        except codec.EncodeError as error:
            logger.error(
                "Status not sent; it cannot be encoded.",
                extra={
                    "error": str(error),
                    "is_compact": is_compact,
                    "peers": len(listed),
                },
            )
            return
        for peer in listed:
            host, port = peer.peer_address.rsplit(":", 1)
            self.transport.sendto(data, (host, int(port)))

    def close(self) -> None:
        """Stop listening."""
        if self.transport is not None:
            self.transport.close()


@dataclasses.dataclass(frozen=True)
class StatusSources:
    """What a node tells others of.

    Attributes:
        roster: the known nodes.
        grants: grants received from other nodes.
        holder_state: this node's part in the choice of the holder.
        forwarder: serves requests.
        orderer: sends orders.
        links: the links to the upstreams.
        origins: software versions that began streams.
        is_ready: returns whether this node accepts new callers.
        contact: whether the store answers this node.
    """

    roster: roster_lib.Roster
    grants: grants.ReceivedGrants
    holder_state: order_holder.HolderStateMachine
    forwarder: forwarder_lib.Forwarder
    orderer: orderer_lib.Orderer
    links: upstream_links.UpstreamLinks
    origins: stream_origins.StreamOrigins
    is_ready: Callable[[], bool]
    contact: store_contact.StoreContact


class StatusReporter:
    """Tells the other nodes several times a second what this one knows.

    Attributes:
        endpoint: sends the messages.
        sources: what they tell of.
        schedule: chooses their recipients.
        number: number of the newest status.
        has_left: whether the next status is the last one.
    """

    def __init__(
        self,
        endpoint: StatusEndpoint,
        sources: StatusSources,
        clock: clock_lib.Clock,
    ) -> None:
        self.endpoint = endpoint
        self.sources = sources
        self.clock = clock
        self.schedule = status_schedule.StatusSchedule(sources.roster)
        self.number = 0
        self.has_left = False

    async def run(self) -> None:
        """Send statuses until cancelled.

        The qualified name of this method is the value of a metric label.
        """
        while True:
            self.send()
            await asyncio.sleep(roster_lib.STATUS_PERIOD.total_seconds())

    def send(self) -> None:
        """Send the next status to those that must know of it now."""
        now = self.clock.now()
        status = self.create()
        recipients = self.schedule.choose(status, now)
        self._send_to(status, recipients.full)
        if recipients.brief:
            self._send_to(_create_brief(status), recipients.brief)

    def _send_to(
        self,
        status: roster_lib.NodeStatus,
        peers: Iterable[roster_lib.NodeRecord],
    ) -> None:
        """Send a status to each peer in the form that it reads."""
        compact: list[roster_lib.NodeRecord] = []
        others: list[roster_lib.NodeRecord] = []
        for peer in peers:
            is_compact = self.sources.roster.supports(
                peer, status_schedule.COMPACT_STATUS
            )
            (compact if is_compact else others).append(peer)
        self.endpoint.send(status, compact, is_compact=True)
        self.endpoint.send(status, others, is_compact=False)

    def create(self) -> roster_lib.NodeStatus:
        """Return the next status for the other nodes."""
        now = self.clock.now()
        sources = self.sources
        components = sources.forwarder.components
        statements = components.statements
        self.number += 1
        sources.grants.record_status(self.number, now)
        return roster_lib.NodeStatus(
            node=sources.roster.own,
            number=self.number,
            is_ready=sources.is_ready(),
            is_holder=sources.orderer.can_send(),
            has_left=self.has_left,
            # A fence that is cut down to the largest number gets no grants.
            fence=min(sources.holder_state.fence, codec.MAX_NUMBER),
            newest_term=min(sources.holder_state.newest_term, codec.MAX_NUMBER),
            grant=self._create_grant(),
            loads=components.balancer.list_own_loads(),
            wanted=tuple(
                roster_lib.ModelDemand(service, model, share)
                for (
                    service,
                    model,
                ), share in components.demand_tracker.list_shares(now).items()
            ),
            paces=tuple(components.balancer.paces.own.values()),
            withdrawn=sources.orderer.list_withdrawn_copies(),
            crash_suspects=components.suspects.list_statements(
                components.generator
            ),
            limits=statements.limits.list_statements(now),
            origins=sources.origins.list_statements(now),
            upstreams=roster_lib.UpstreamNews(
                sources.links.reachability.list_statements(now),
                statements.brittle.list_statements(now, components.generator),
                statements.leaving.list_statements(components.generator),
                self.list_loads(),
            ),
            is_cut_off=sources.links.is_cut_off(),
            capabilities=status_schedule.CAPABILITIES,
            wants_grants=sources.holder_state.wants_grants(now),
            allowances=components.allowances.list_statements(now),
            lacks_store=sources.contact.is_lost(),
            era=sources.holder_state.era,
        )

    def list_loads(self) -> tuple[expected_waits.LoadStatement, ...]:
        """Return the loads in progress, while this node is the holder."""
        if not self.sources.holder_state.fence:
            return ()
        return load_planning.list_loads(
            [engine.ledger for engine in self.sources.orderer.engines.values()],
            self.clock.now(),
        )

    def _create_grant(self) -> grants.Grant:
        """Return this node's grant to the holder that it knows.

        A node that has not read the keys since its start grants nothing: it
        may have been the holder itself before.
        """
        holder_state = self.sources.holder_state
        if not holder_state.has_read_keys:
            return grants.Grant()
        return self.sources.roster.create_grant(
            holder_state.newest_term, holder_state.era, self.clock.now()
        )


def _create_brief(status: roster_lib.NodeStatus) -> roster_lib.NodeStatus:
    """Return a status without the fields that may wait for a full one.

    The last one holds what the node has charged to tenants in all.
    """
    return dataclasses.replace(
        status,
        is_brief=True,
        loads=(),
        wanted=(),
        paces=(),
        crash_suspects=(),
        origins=(),
        upstreams=roster_lib.UpstreamNews(
            (), status.upstreams.brittle, status.upstreams.leaving
        ),
        allowances=status.allowances if status.has_left else (),
    )
