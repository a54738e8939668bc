"""Messages and settings of the membership protocol, after SWIM."""

import dataclasses
import datetime
import enum

from cicadahook.core import view


class MessageKind(enum.StrEnum):
    """Purpose of a message.

    JOIN requests all members. They arrive in SYNC messages, whose updates are
    not spread further. UPDATE, sent as `news`, only carries updates.
    """

    JOIN = "join"
    PING = "ping"
    PING_REQUEST = "ping_request"
    ACK = "ack"
    UPDATE = "news"
    SYNC = "sync"


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Table generation that a member has announced as in force."""

    name: str
    incarnation: int
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A message between two members.

    Attributes:
        kind: purpose of the message.
        sender: the sending member's own state.
        number: number of the probe that it belongs to.
        target: name of the member that is probed; empty means any member that
            listens on the address.
        address: for a ping request, address of the target.
        updates: states of some members.
        progress: table generations of some members.
        newest: newest table generation that can be fetched from the sender.
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
    """Settings of the membership protocol.

    Attributes:
        probe_interval: time between two probes that a member sends.
        ack_timeout: time without acknowledgement after which other members
            are asked to probe the target.
        probe_timeout: time without acknowledgement after which the target is
            suspected.
        suspicion: time that a suspected member has to refute the suspicion,
            in a fleet of up to ten members; in larger fleets it is multiplied
            by the decimal logarithm of their number.
        joining: period after the start in which any member may be asked for
            all members.
        joining_interval: time between two join requests in that period.
        seed_interval: time between two later join requests, which go to a
            seed or a dead member.
        sync_interval: time between two samples sent to a random member.
        dead_retention: time for which a dead member is kept.
        helpers: number of members asked to probe a silent one.
        updates_limit: member states that fit in a message.
        progress_limit: table generations that fit in a message.
        retransmit: factor of the number of messages in which an update is
            sent; the other factor is the binary logarithm of the fleet size,
            rounded up.
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
