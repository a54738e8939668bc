"""Gossip between controls over UDP: membership and the entries' loads.

Datagrams are authenticated by `datagram_auth`; the protocol itself is in
`core.membership`.
"""

import asyncio
from collections.abc import Iterable
import dataclasses
import datetime
import random
from typing import Any, Final

from reactivex import subject

from cicadahook.core import clock as clock_lib
from cicadahook.core import entry_loads
from cicadahook.core import membership
from cicadahook.core import swim
from cicadahook.core import view
from cicadahook.net import codec
from cicadahook.net import datagram_auth
from cicadahook.net import logs

TICK_SECONDS: Final = 0.1
LOAD_INTERVAL: Final = datetime.timedelta(seconds=0.5)
LOAD_FANOUT: Final = 4
LOAD_LOSSES: Final = 6

logger: Final = logs.create_logger("gossip")

MESSAGES: Final = codec.Codec(swim.Message, "gossip")
LOADS: Final = codec.Codec(entry_loads.EntryLoad, "gossip")


@dataclasses.dataclass(frozen=True, slots=True)
class NewestTable:
    """The newest table that a peer can provide.

    Attributes:
        generation: its generation.
        source: address of the control that can provide it.
    """

    generation: int = 0
    source: str = ""


class GossipEndpoint(asyncio.DatagramProtocol):
    """Runs the membership over UDP and exchanges the entries' loads.

    Attributes:
        members: all known members including this one, after each change.
        newest: the newest table that any peer can provide.
        load_aggregator: the newest load of each entry, including linked ones.
        own_loads: loads of the entries linked to this control, by entry.
        load_order: addresses of peers that loads are sent to next, the last
            one first.
    """

    def __init__(
        self,
        own: view.Member,
        key: str,
        clock: clock_lib.Clock,
        mode: swim.MembershipMode = swim.MembershipMode(),
    ) -> None:
        self.clock = clock
        self.rng = random.Random()
        self.membership = membership.Membership(
            own, mode, self.rng, clock.now()
        )
        self.sealer = datagram_auth.Sealer(key, own.control, clock)
        self.assembler = datagram_auth.Assembler()
        self.load_aggregator = entry_loads.LoadAggregator()
        self.own_loads: dict[str, entry_loads.EntryLoad] = {}
        self.members: subject.BehaviorSubject[tuple[view.Member, ...]] = (
            subject.BehaviorSubject((own,))
        )
        self.newest: subject.BehaviorSubject[NewestTable] = (
            subject.BehaviorSubject(NewestTable())
        )
        self.published = 0
        self.next_loads_at = clock.now()
        self.load_order: list[str] = []
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, host: str, port: int) -> None:
        """Listen on UDP `port`.

        Raises:
            OSError: the address is in use.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    async def run(self) -> None:
        """Gossip until cancelled.

        The qualified name of this method is the value of a metric label.
        """
        while True:
            self._tick()
            await asyncio.sleep(TICK_SECONDS)

    def close(self) -> None:
        """Notify some members that this one leaves, and stop listening."""
        self.send(self.membership.leave())
        if self.transport is not None:
            self.transport.close()

    def connection_made(self, transport: Any) -> None:
        """Store the transport used for sending."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle one datagram; drop and count those not from a member."""
        del addr
        try:
            envelope = self.sealer.open(data)
        except datagram_auth.SealError as error:
            logger.debug("Datagram rejected: %s.", error)
            return
        body = self.assembler.add(envelope)
        if body is None:
            return
        try:
            self._handle_body(envelope, body)
        except codec.DecodeError as error:
            datagram_auth.count_drop("malformed")
            logger.warning(
                "Message from %s dropped; it could not be decoded: %s.",
                envelope.sender,
                error,
            )

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be delivered."""
        logger.debug("Datagram not delivered: %r.", exc)

    def set_generation_in_force(self, generation: int) -> None:
        """Announce the generation in force on both control and entry."""
        self.membership.set_own(generation=generation)

    def announce_table(self, generation: int) -> None:
        """Notify some members at once that a table can be fetched here."""
        if generation > self.membership.available_generation:
            self.send(self.membership.announce_generation(generation))

    def set_state(self, state: view.MemberState) -> None:
        """Announce the state of this VM to the members."""
        self.membership.set_own(state)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Set the addresses of members through which to join."""
        self.membership.set_seeds(seeds, self.clock.now())

    def find_peers(self) -> tuple[str, ...]:
        """Return the addresses of the live members' controls."""
        return tuple(member.control for member in self.membership.find_live())

    def send(self, sends: Iterable[swim.Send]) -> None:
        """Send messages of the membership protocol."""
        for item in sends:
            body = MESSAGES.encode(item.message)
            self._send_body(datagram_auth.BodyKind.MESSAGE, item.address, body)

    def _tick(self) -> None:
        now = self.clock.now()
        self.send(self.membership.tick(now))
        if now >= self.next_loads_at:
            self.next_loads_at = now + LOAD_INTERVAL
            self._send_loads()
            self.load_aggregator.expire(now, self._load_lifetime())
        self._publish()

    def _handle_body(
        self, envelope: datagram_auth.Envelope, body: bytes
    ) -> None:
        now = self.clock.now()
        if envelope.kind is datagram_auth.BodyKind.MESSAGE:
            message = MESSAGES.decode(body)
            self.send(self.membership.receive(message, envelope.sender, now))
            self._publish()
        elif envelope.kind is datagram_auth.BodyKind.LOAD:
            self.load_aggregator.record(LOADS.decode(body), now)

    def _publish(self) -> None:
        """Publish the members and the newest table if they changed."""
        newest = NewestTable(
            self.membership.highest_available, self.membership.highest_source
        )
        if newest != self.newest.value:
            self.newest.on_next(newest)
        if self.published != self.membership.change_count:
            self.published = self.membership.change_count
            known = self.membership.members
            self.members.on_next(tuple(known[name] for name in sorted(known)))

    def _send_loads(self) -> None:
        """Send the loads of the linked entries to a few members in turn."""
        bodies = [LOADS.encode(load) for load in self.own_loads.values()]
        for _ in range(LOAD_FANOUT if bodies else 0):
            if not self.load_order:
                self.load_order = list(self.find_peers())
                self.rng.shuffle(self.load_order)
                if len(self.load_order) <= LOAD_FANOUT:
                    peers, self.load_order = self.load_order, []
                    self._send_all(peers, bodies)
                    return
            self._send_all([self.load_order.pop()], bodies)

    def _send_all(self, peers: list[str], bodies: list[bytes]) -> None:
        for peer in peers:
            for body in bodies:
                self._send_body(datagram_auth.BodyKind.LOAD, peer, body)

    def _load_lifetime(self) -> datetime.timedelta:
        """Return how long a load is kept.

        A member receives each load once in several intervals. A load is kept
        until LOAD_LOSSES such datagrams may have been lost.
        """
        rounds = -(-len(self.membership.members) // LOAD_FANOUT)
        return LOAD_INTERVAL * rounds * LOAD_LOSSES

    def _send_body(
        self, kind: datagram_auth.BodyKind, address: str, body: bytes
    ) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        for data in self.sealer.seal(kind, address, body):
            self.transport.sendto(data, (host, int(port)))
