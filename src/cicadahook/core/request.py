"""A caller's request at an entry, independent of its HTTP form."""

import dataclasses
import datetime
import enum


class Priority(enum.IntEnum):
    """Who waits for the answer; lower is served first."""

    INTERACTIVE = 0
    NORMAL = 1
    BACKGROUND = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request.

    Attributes:
        id: echoed to the caller and written to logs.
        row: name of the row that it is for.
        path: path on the upstream.
        arrived: when it arrived.
        deadline: when its answer stops being useful.
        priority: who waits for it.
        key: idempotency key; empty if none was sent.
        is_idempotent: whether it may run more than once.
        prefix: text for which upstreams may have cached state; may be empty.
        fingerprint: hash of its content, equal for repeats of it.
        shared_parts: hashes of the parts of its content that other requests
            may hold too.
    """

    id: str
    row: str
    path: str
    arrived: datetime.datetime
    deadline: datetime.datetime
    priority: Priority = Priority.NORMAL
    key: str = ""
    is_idempotent: bool = True
    prefix: str = ""
    fingerprint: str = ""
    shared_parts: tuple[str, ...] = ()

    @property
    def traits(self) -> tuple[str, ...]:
        """What crashes of upstreams may depend on."""
        return (
            f"request:{self.fingerprint}",
            *(f"part:{part}" for part in self.shared_parts),
        )
