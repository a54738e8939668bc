"""Relays the events of upstreams' answers to callers, each in its turn."""

from collections.abc import Iterable

from cicadahook.core import balancer
from cicadahook.core import event_sequence
from cicadahook.core import event_streams
from cicadahook.core import forwarding
from cicadahook.net import active_request
from cicadahook.net import crash_guard as crash_guard_lib
from cicadahook.net import stream_resumption


class StreamRelay:
    """Joins the answers to a request's attempts into one stream.

    Attributes:
        components: what requests are forwarded with.
        crash_guard: learns that an upstream makes progress.
        resumption: learns at which upstream a stream began.
    """

    def __init__(
        self,
        components: active_request.ForwarderComponents,
        crash_guard: crash_guard_lib.CrashGuard,
        resumption: stream_resumption.StreamResumption,
    ) -> None:
        self.components = components
        self.crash_guard = crash_guard
        self.resumption = resumption

    async def relay(
        self,
        active: active_request.ActiveRequest,
        answer: active_request.Answer,
        placement: balancer.Placement,
    ) -> None:
        """Relay complete events as they arrive.

        Raises:
            forwarding.AttemptError: the answer broke off, or holds something
                else than the events that come next.
        """
        splitter = event_streams.EventSplitter()
        try:
            async for chunk in answer.iterate():
                events = event_streams.split_answer(splitter, chunk)
                if events:
                    self.components.balancer.record_first_piece(placement)
                    self.crash_guard.record_progress(active)
                    await self._send(active, answer, placement, events)
            if splitter.pending:
                raise forwarding.AttemptError(
                    forwarding.FailureKind.CUT, "stream ends within an event"
                )
            active.sequence.check_end()
        except event_sequence.SequenceError as error:
            raise _create_error(error) from error
        except forwarding.AttemptError as error:
            is_cut = error.kind is forwarding.FailureKind.CUT
            active.sequence.break_off(splitter.pending if is_cut else b"")
            raise
        self.crash_guard.record_progress(active, is_complete=True)
        if not active.has_begun:
            await active.sink.begin(answer.head)
        await active.sink.finish()

    async def _send(
        self,
        active: active_request.ActiveRequest,
        answer: active_request.Answer,
        placement: balancer.Placement,
        events: Iterable[event_streams.Event],
    ) -> None:
        """Send the events up to the first one that does not come next.

        Raises:
            forwarding.AttemptError: there is such a one.
        """
        accepted: list[event_streams.Event] = []
        error: event_sequence.SequenceError | None = None
        for event in events:
            try:
                active.sequence.accept(event)
            except event_sequence.SequenceError as found:
                error = found
                break
            accepted.append(event)
        if accepted:
            if not active.has_begun:
                active.has_begun = True
                self.resumption.record_begin(active, placement.instance)
                active.first_chunk_at = self.components.clock.now()
                await active.sink.begin(answer.head)
            await active.sink.send(b"".join(each.data for each in accepted))
        if error is not None:
            raise _create_error(error) from error


def _create_error(
    error: event_sequence.SequenceError,
) -> forwarding.AttemptError:
    return forwarding.AttemptError(
        forwarding.FailureKind.MALFORMED, f"stream out of order: {error}"
    )
