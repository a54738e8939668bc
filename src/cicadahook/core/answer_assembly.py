"""Assembles the chunks of a request's attempts into one complete answer."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """One piece of an upstream's streamed answer.

    Attributes:
        attempt: id of the attempt to which the upstream assigns it.
        text: its text; may be empty.
        position: number of the token from the start of the answer; None if
            the upstream does not state it.
        is_last: whether only the end marker follows, as the upstream states.
    """

    attempt: str
    text: str
    position: int | None = None
    is_last: bool = False


class ChunkStatus(enum.StrEnum):
    """What to do with a chunk."""

    RELAY = "relay"
    REPEATED = "repeated"
    CROSSED = "crossed"
    GAP = "gap"
    DIVERGED = "diverged"


FATAL_STATUSES = frozenset(
    {ChunkStatus.CROSSED, ChunkStatus.GAP, ChunkStatus.DIVERGED}
)


class AnswerAssembly:
    """One answer, assembled from one attempt or several.

    Chunks that were relayed before are recognised by their position. An
    upstream that states no positions is assumed to start from the beginning.

    Attributes:
        texts: the tokens relayed so far.
        attempt: id of the attempt whose chunks are accepted.
        is_complete: whether the last chunk was relayed.
    """

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.attempt = ""
        self.cursor = 0
        self.is_complete = False
        self.is_ended = False

    @property
    def resume_from(self) -> int:
        """Number of tokens relayed, at which the next attempt resumes."""
        return len(self.texts)

    @property
    def is_whole(self) -> bool:
        """Whether the last chunk and then the end marker were received."""
        return self.is_complete and self.is_ended

    def begin(self, attempt: str) -> None:
        """Accept only chunks of `attempt` from now on."""
        assert attempt != self.attempt, f"attempt {attempt} begun twice"
        self.attempt = attempt
        self.cursor = 0
        self.is_ended = False

    def accept(self, chunk: Chunk) -> ChunkStatus:
        """Return what to do with `chunk`."""
        if chunk.attempt != self.attempt:
            return ChunkStatus.CROSSED
        position = self.cursor if chunk.position is None else chunk.position
        status = self._classify(chunk, position)
        if status in FATAL_STATUSES:
            return status
        if chunk.text:
            self.cursor = position + 1
        if status is ChunkStatus.RELAY:
            assert not self.is_complete, "relayed beyond the last chunk"
            self.is_complete = chunk.is_last
            if chunk.text:
                self.texts.append(chunk.text)
                assert len(self.texts) == position + 1, "token out of place"
        return status

    def _classify(self, chunk: Chunk, position: int) -> ChunkStatus:
        known = len(self.texts)
        if position > known:
            return ChunkStatus.GAP
        if chunk.text and position < known:
            is_same = self.texts[position] == chunk.text
            return ChunkStatus.REPEATED if is_same else ChunkStatus.DIVERGED
        if self.is_complete:
            # The answer is complete; only the end marker is missing.
            return ChunkStatus.DIVERGED if chunk.text else ChunkStatus.REPEATED
        if chunk.is_last and position < known:
            return ChunkStatus.DIVERGED
        is_opening = not chunk.text and not chunk.is_last
        return (
            ChunkStatus.REPEATED if is_opening and known else ChunkStatus.RELAY
        )

    def end(self) -> None:
        """Record the end marker of the current attempt."""
        self.is_ended = True
