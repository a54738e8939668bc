"""Messages and settings of the membership protocol."""

import dataclasses
import datetime
import enum

from cicadahook.core import view


class MessageKind(enum.StrEnum):
    """What a message asks or tells.

    JOIN asks for all members; they come in SYNC, which is not spread on.
    """

    JOIN = "join"
    PING = "ping"
    PING_REQUEST = "ping_request"
    ACK = "ack"
    UPDATE = "news"
    SYNC = "sync"


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Table generation that a member said it has in force."""

    name: str
    incarnation: int
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A message between two members.

    Attributes:
        kind: what it asks or tells.
        sender: its sender, as the sender sees itself.
        number: number of the probe that it belongs to.
        target: name of the member that is probed; empty means whoever is at
            the address.
        address: for a ping request, where the target listens.
        updates: news of some members.
        progress: table generations of some members.
        newest: table generation that the sender can hand out.
    """

    kind: MessageKind
    sender: view.Member
    number: int = 0
    target: str = ""
    address: str = ""
    updates: tuple[view.Member, ...] = ()
    progress: tuple[Progress, ...] = ()
    newest: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """A message to send to `address`."""

    address: str
    message: Message


@dataclasses.dataclass(frozen=True)
class MembershipMode:
    """Settings of the membership.

    Attributes:
        probe_interval: time between two probes of a member.
        ack_timeout: time after which others are asked to probe.
        probe_timeout: time after which a silent member is suspected.
        suspicion: time for a suspected member to answer, in a fleet of up to
            ten; it grows with the logarithm of the fleet.
        joining: time after the start in which any member may be asked for
            all members.
        joining_interval: time between two joins after the start.
        seed_interval: time between two joins later, by a seed or a dead
            member.
        sync_interval: time between two samples sent to a random member.
        dead_retention: how long a dead member is remembered.
        helpers: members asked to probe a silent one.
        updates_limit: news of members that fit in a message.
        progress_limit: table generations that fit in a message.
        retransmit: times that news is sent per logarithm of the fleet.
    """

    probe_interval: datetime.timedelta = datetime.timedelta(seconds=0.5)
    ack_timeout: datetime.timedelta = datetime.timedelta(seconds=0.25)
    probe_timeout: datetime.timedelta = datetime.timedelta(seconds=0.8)
    suspicion: datetime.timedelta = datetime.timedelta(seconds=1.5)
    joining: datetime.timedelta = datetime.timedelta(seconds=10)
    joining_interval: datetime.timedelta = datetime.timedelta(seconds=1)
    seed_interval: datetime.timedelta = datetime.timedelta(seconds=2)
    sync_interval: datetime.timedelta = datetime.timedelta(seconds=2)
    dead_retention: datetime.timedelta = datetime.timedelta(minutes=10)
    helpers: int = 3
    updates_limit: int = 6
    progress_limit: int = 16
    retransmit: int = 3
