"""Membership of the entry VMs: failure detection and gossip after SWIM.

Each control runs one `Membership`, which learns which entry VMs are alive and
which table generation each has in force. The I/O is in `net.gossip`.
"""

from collections.abc import Iterable, Iterator
import dataclasses
import datetime
import math
import random
from typing import Final

from cicadahook.core import broadcast_queue
from cicadahook.core import swim
from cicadahook.core import view


@dataclasses.dataclass
class Probe:
    """A probe whose acknowledgement has not arrived yet."""

    target: view.Member
    started: datetime.datetime
    is_forwarded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A probe that this member sends on behalf of another one.

    Attributes:
        address: address of the member that asked for the probe.
        number: number that the asking member gave the probe.
        expires: time after which an acknowledgement is no longer passed on.
    """

    address: str
    number: int
    expires: datetime.datetime


@dataclasses.dataclass
class Schedule:
    """When the periodic tasks are due.

    Attributes:
        next_probe: time of the next probe.
        next_join: time of the next join request.
        next_sync: time at which the next sample of members is sent.
        joining_end: end of the period after the start in which any member
            may be asked for all members.
    """

    next_probe: datetime.datetime
    next_join: datetime.datetime
    next_sync: datetime.datetime
    joining_end: datetime.datetime


class Membership:
    """State of all members as one member knows it.

    Messages received go in through `receive`, time through `tick`; both return
    the messages to send.

    Attributes:
        own: this member as it is announced to the others.
        members: all known members including dead ones, by name.
        seeds: addresses to which join requests are sent.
        available_generation: newest table generation that peers can fetch
            from this member.
        highest_available: highest generation that can be fetched from any
            other member.
        highest_source: address of a member that offers `highest_available`.
        change_count: number of changes of `members` so far.
    """

    def __init__(
        self,
        own: view.Member,
        mode: swim.MembershipMode,
        rng: random.Random,
        now: datetime.datetime,
    ) -> None:
        self.mode = mode
        self.rng = rng
        # A restarted member must supersede updates about its previous
        # process, so the incarnation is the start time in milliseconds.
        incarnation = int(now.timestamp() * 1000)
        self.own = dataclasses.replace(own, incarnation=incarnation)
        self.members = {own.name: self.own}
        self.seeds: tuple[str, ...] = ()
        self.available_generation = 0
        self.highest_available = 0
        self.highest_source = ""
        self.change_count = 0
        self.updates: broadcast_queue.BroadcastQueue[view.Member] = (
            broadcast_queue.BroadcastQueue()
        )
        self.progress: broadcast_queue.BroadcastQueue[swim.Progress] = (
            broadcast_queue.BroadcastQueue()
        )
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self.suspected_since: dict[str, datetime.datetime] = {}
        self.dead_since: dict[str, datetime.datetime] = {}
        self.probe_order: list[str] = []
        self.probe_count = 0
        self.last_tick = now
        self.due = Schedule(
            now, now, now + mode.sync_interval, now + mode.joining
        )
        self.updates.add(self.own.name, self.own)

    def tick(self, now: datetime.datetime) -> tuple[swim.Send, ...]:
        """Run the tasks that are due; to be called several times a second."""
        was_paused = now - self.last_tick > self.mode.probe_timeout
        self.last_tick = now
        if was_paused:
            self._reset_after_pause(now)
        return tuple(self._tick(now))

    def receive(
        self, message: swim.Message, address: str, now: datetime.datetime
    ) -> tuple[swim.Send, ...]:
        """Process a message received from `address`; return the replies."""
        self._merge_update(message.sender, now)
        if message.newest > self.highest_available:
            self.highest_available = message.newest
            self.highest_source = message.sender.control
        is_broadcast = message.kind is not swim.MessageKind.SYNC
        for member in message.updates:
            self._merge_update(member, now, is_broadcast)
        for progress in message.progress:
            self._merge_progress(progress)
        return tuple(self._answer(message, address, now))

    def set_own(
        self,
        state: view.MemberState | None = None,
        generation: int | None = None,
    ) -> None:
        """Announce a new state or table generation of this member."""
        if state is not None and state is not self.own.state:
            self._raise_incarnation(state, self.own.incarnation + 1)
        if generation is not None and generation != self.own.generation:
            self.own = dataclasses.replace(self.own, generation=generation)
            self._store(self.own)
            self._broadcast_progress(self.own)

    def announce_generation(self, generation: int) -> tuple[swim.Send, ...]:
        """Notify a few members at once that a table can be fetched here."""
        self.available_generation = generation
        return self._notify_members(self.mode.helpers)

    def set_seeds(self, seeds: Iterable[str], now: datetime.datetime) -> None:
        """Set the seed addresses; join at the next tick if they changed."""
        found = tuple(sorted(set(seeds)))
        if found != self.seeds:
            self.seeds = found
            self.due.next_join = now

    def leave(self) -> tuple[swim.Send, ...]:
        """Return messages that announce a planned leave to some members."""
        self._raise_incarnation(view.MemberState.DEAD, self.own.incarnation + 1)
        return self._notify_members(2 * self.mode.helpers)

    def _notify_members(self, limit: int) -> tuple[swim.Send, ...]:
        """Return messages that carry the latest updates to random members."""
        live = self.find_live()
        count = min(len(live), limit)
        return tuple(
            self._create_send(member.control, swim.MessageKind.UPDATE)
            for member in self.rng.sample(live, count)
        )

    def find_live(self) -> list[view.Member]:
        """Return all other members that are not dead, sorted by name."""
        return [
            member
            for name, member in sorted(self.members.items())
            if member.state is not view.MemberState.DEAD
            and name != self.own.name
        ]

    def _tick(self, now: datetime.datetime) -> Iterator[swim.Send]:
        yield from self._check_probes(now)
        self._expire_suspicions(now)
        self._remove_dead(now)
        if now >= self.due.next_probe:
            self.due.next_probe = now + self.mode.probe_interval
            yield from self._send_probe(now)
        if now >= self.due.next_join:
            is_joining = now < self.due.joining_end
            self.due.next_join = now + (
                self.mode.joining_interval
                if is_joining
                else self.mode.seed_interval
            )
            yield from self._send_join(now)
        if now >= self.due.next_sync:
            self.due.next_sync = now + self.mode.sync_interval
            yield from self._send_sample()

    def _reset_after_pause(self, now: datetime.datetime) -> None:
        """Drop outstanding probes and restart suspicions after a pause.

        Replies that arrived while this process was paused were not read, so
        their absence does not prove that a member is dead.
        """
        self.probes.clear()
        self.suspected_since = dict.fromkeys(self.suspected_since, now)

    def _check_probes(self, now: datetime.datetime) -> Iterator[swim.Send]:
        """Request indirect probes of silent members, then suspect them."""
        for number, probe in list(self.probes.items()):
            waited = now - probe.started
            if waited >= self.mode.probe_timeout:
                del self.probes[number]
                self._suspect(probe.target, now)
            elif waited >= self.mode.ack_timeout and not probe.is_forwarded:
                probe.is_forwarded = True
                yield from self._ask_helpers(number, probe)

    def _ask_helpers(self, number: int, probe: Probe) -> Iterator[swim.Send]:
        target = probe.target
        others = [
            member for member in self.find_live() if member.name != target.name
        ]
        count = min(self.mode.helpers, len(others))
        for helper in self.rng.sample(others, count):
            yield self._create_send(
                helper.control,
                swim.MessageKind.PING_REQUEST,
                number,
                target.name,
                target.control,
            )
        yield self._create_send(
            target.control, swim.MessageKind.PING, number, target.name
        )

    def _suspect(self, target: view.Member, now: datetime.datetime) -> None:
        """Suspect a silent member unless its incarnation has changed."""
        known = self.members.get(target.name)
        if known is None or known.incarnation != target.incarnation:
            return
        if known.state is view.MemberState.ALIVE:
            self._merge_update(
                dataclasses.replace(known, state=view.MemberState.SUSPECT), now
            )
        if known.state is view.MemberState.LEAVING:
            self.suspected_since.setdefault(known.name, now)

    def _expire_suspicions(self, now: datetime.datetime) -> None:
        """Declare dead the members that did not refute a suspicion in time.

        The time limit grows with the logarithm of the member count.
        """
        scale = max(1.0, math.log10(len(self.members)))
        time_limit = self.mode.suspicion * scale
        for name, since in list(self.suspected_since.items()):
            if now - since >= time_limit:
                member = self.members[name]
                self._merge_update(
                    dataclasses.replace(member, state=view.MemberState.DEAD),
                    now,
                )

    def _remove_dead(self, now: datetime.datetime) -> None:
        for name, since in list(self.dead_since.items()):
            if now - since >= self.mode.dead_retention:
                del self.dead_since[name]
                del self.members[name]
                self.change_count += 1
                self.updates.remove(name)
                self.progress.remove(name)

    def _send_probe(self, now: datetime.datetime) -> Iterator[swim.Send]:
        """Probe the next member of a shuffled round over all live members."""
        while self.probe_order:
            member = self.members.get(self.probe_order.pop())
            if member is None or member.state is view.MemberState.DEAD:
                continue
            self.probe_count += 1
            self.probes[self.probe_count] = Probe(member, now)
            yield self._create_send(
                member.control,
                swim.MessageKind.PING,
                self.probe_count,
                member.name,
                recipient=member,
            )
            return
        self.probe_order = [member.name for member in self.find_live()]
        self.rng.shuffle(self.probe_order)
        if self.probe_order:
            yield from self._send_probe(now)

    def _send_join(self, now: datetime.datetime) -> Iterator[swim.Send]:
        """Send a join request to a seed or a member that is considered dead.

        This merges groups again after a network partition. A member that has
        just started sends its requests to live members too.
        """
        live = {member.control for member in self.find_live()}
        dead = {
            self.members[name].control: self.members[name]
            for name in self.dead_since
        }
        addresses = {*dead, *self.seeds} - live
        if now < self.due.joining_end:
            addresses |= live
        addresses.discard(self.own.control)
        if addresses:
            address = self.rng.choice(sorted(addresses))
            yield self._create_send(
                address, swim.MessageKind.JOIN, recipient=dead.get(address)
            )

    def _send_sample(self) -> Iterator[swim.Send]:
        """Send a sample of all members to a random one.

        This repairs members that missed an update because of lost messages.
        """
        live = self.find_live()
        if not live:
            return
        known = sorted(self.members.values(), key=lambda member: member.name)
        count = min(self.mode.updates_limit, len(known))
        yield swim.Send(
            self.rng.choice(live).control,
            swim.Message(
                swim.MessageKind.SYNC,
                self.own,
                updates=tuple(self.rng.sample(known, count)),
                newest=self.available_generation,
            ),
        )

    def _send_all_members(self, address: str) -> Iterator[swim.Send]:
        """Send all members to a member that joins."""
        known = tuple(self.members.values())
        limit = self.mode.updates_limit
        for start in range(0, len(known), limit):
            updates = known[start : start + limit]
            message = swim.Message(
                swim.MessageKind.SYNC,
                self.own,
                updates=updates,
                newest=self.available_generation,
            )
            yield swim.Send(address, message)

    def _answer(
        self, message: swim.Message, address: str, now: datetime.datetime
    ) -> Iterator[swim.Send]:
        if message.kind is swim.MessageKind.JOIN:
            yield from self._send_all_members(address)
        elif message.kind is swim.MessageKind.PING:
            if message.target in ("", self.own.name):
                yield self._create_send(
                    address,
                    swim.MessageKind.ACK,
                    message.number,
                    self.own.name,
                    recipient=self.members.get(message.sender.name),
                )
        elif message.kind is swim.MessageKind.PING_REQUEST:
            yield from self._relay(message, address, now)
        elif message.kind is swim.MessageKind.ACK:
            yield from self._handle_ack(message, now)

    def _relay(
        self, message: swim.Message, address: str, now: datetime.datetime
    ) -> Iterator[swim.Send]:
        """Probe a member on behalf of the sender of a ping request."""
        self.relays = {
            number: relay
            for number, relay in self.relays.items()
            if relay.expires > now
        }
        self.probe_count += 1
        self.relays[self.probe_count] = Relay(
            address, message.number, now + self.mode.probe_timeout
        )
        yield self._create_send(
            message.address,
            swim.MessageKind.PING,
            self.probe_count,
            message.target,
        )

    def _handle_ack(
        self, message: swim.Message, now: datetime.datetime
    ) -> Iterator[swim.Send]:
        """Complete an own probe, or forward the reply to a relayed one."""
        relay = self.relays.pop(message.number, None)
        if relay is not None and relay.expires > now:
            yield self._create_send(
                relay.address,
                swim.MessageKind.ACK,
                relay.number,
                message.target,
            )
            return
        probe = self.probes.get(message.number)
        if probe is not None and probe.target.name == message.target:
            del self.probes[message.number]

    def _merge_update(
        self,
        update: view.Member,
        now: datetime.datetime,
        is_broadcast: bool = True,
    ) -> None:
        """Apply an update of a member if it supersedes the known state.

        Args:
            update: state of the member, received or concluded here.
            now: the time.
            is_broadcast: whether to spread an applied update further.
        """
        if update.name == self.own.name:
            self._refute(update)
            return
        known = self.members.get(update.name)
        if known is None and update.state is view.MemberState.DEAD:
            return
        if known is not None and _precedence(update) <= _precedence(known):
            self._merge_progress(
                swim.Progress(
                    update.name, update.incarnation, update.generation
                )
            )
            return
        if known is not None and known.incarnation == update.incarnation:
            generation = max(known.generation, update.generation)
            update = dataclasses.replace(update, generation=generation)
        self._store(update)
        if is_broadcast:
            self.updates.add(update.name, update)
        self._reset_state_timers(update, now)

    def _reset_state_timers(
        self, update: view.Member, now: datetime.datetime
    ) -> None:
        """Start the timer of the new state, and stop that of the old one."""
        self.suspected_since.pop(update.name, None)
        self.dead_since.pop(update.name, None)
        if update.state is view.MemberState.SUSPECT:
            self.suspected_since[update.name] = now
        elif update.state is view.MemberState.DEAD:
            self.dead_since[update.name] = now

    def _refute(self, update: view.Member) -> None:
        """Supersede an update about this member that other members created."""
        if _precedence(update) > _precedence(self.own):
            self._raise_incarnation(self.own.state, update.incarnation + 1)

    def _raise_incarnation(
        self, state: view.MemberState, incarnation: int
    ) -> None:
        assert incarnation > self.own.incarnation, "incarnation decreased"
        self.own = dataclasses.replace(
            self.own, state=state, incarnation=incarnation
        )
        self._store(self.own)
        self.updates.add(self.own.name, self.own)

    def _merge_progress(self, progress: swim.Progress) -> None:
        """Apply the table generation of a member if it is newer."""
        known = self.members.get(progress.name)
        if known is None or progress.name == self.own.name:
            return
        if progress.incarnation < known.incarnation:
            return
        if progress.generation > known.generation:
            newer = dataclasses.replace(known, generation=progress.generation)
            self._store(newer)
            self._broadcast_progress(newer)

    def _store(self, member: view.Member) -> None:
        self.members[member.name] = member
        self.change_count += 1

    def _broadcast_progress(self, member: view.Member) -> None:
        self.progress.add(
            member.name,
            swim.Progress(member.name, member.incarnation, member.generation),
        )

    def _create_send(
        self,
        address: str,
        kind: swim.MessageKind,
        number: int = 0,
        target: str = "",
        target_address: str = "",
        recipient: view.Member | None = None,
    ) -> swim.Send:
        """Return a message with the updates that were sent least often.

        Args:
            address: address to send to.
            kind: kind of the message.
            number: number of the probe that the message belongs to.
            target: name of the member that is probed.
            target_address: for a ping request, address of that member.
            recipient: state of the recipient as known here, if it is known.
        """
        sends = self.mode.retransmit * math.ceil(
            math.log2(len(self.members) + 1)
        )
        updates = self.updates.next_batch(self.mode.updates_limit, sends)
        # A member must learn that it is suspected or dead to refute it.
        if (
            recipient is not None
            and recipient.state is not view.MemberState.ALIVE
        ):
            updates = _add_update(updates, recipient)
        return swim.Send(
            address,
            swim.Message(
                kind,
                self.own,
                number,
                target,
                target_address,
                updates,
                self.progress.next_batch(self.mode.progress_limit, sends),
                self.available_generation,
            ),
        )


def _add_update(
    updates: Iterable[view.Member], member: view.Member
) -> tuple[view.Member, ...]:
    """Return `updates` with `member` in place of any update of it."""
    others = (update for update in updates if update.name != member.name)
    return (*others, member)


_STATE_PRECEDENCE: Final = {
    view.MemberState.ALIVE: 0,
    view.MemberState.SUSPECT: 1,
    view.MemberState.LEAVING: 2,
    view.MemberState.DEAD: 3,
}


def _precedence(member: view.Member) -> tuple[int, int]:
    """Return the sort key by which one update supersedes another."""
    return member.incarnation, _STATE_PRECEDENCE[member.state]
