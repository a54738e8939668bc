"""Runs non-idempotent calls at most once, however often they are resent.

The runner carries out the decisions of an entry's idempotency ledger.
"""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import datetime
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import idempotency
from cicadahook.core import keyed_calls
from cicadahook.core import request as request_lib
from cicadahook.net import claims as claims_lib
from cicadahook.net import logs

# Makes the call once. A RefusalError with the outcome `not_run` guarantees that
# no byte of the call reached an upstream.
RunCall = Callable[[], Awaitable[keyed_calls.Answer]]

logger: Final = logs.create_logger("once")


class AtMostOnceRunner:
    """Carries out the decisions of a ledger.

    Each run has its own task. It therefore continues when its caller
    disconnects, and its answer is recorded for a resend.

    Attributes:
        ledger: records of the calls.
        claims: claims of keys in the key-value service.
        runs: runs in progress, by key.
        outcome_writes: writes of the final states of claims in progress.
    """

    def __init__(
        self,
        ledger: idempotency.Ledger,
        claims: claims_lib.ClaimStore,
        clock: clock_lib.Clock,
    ) -> None:
        self.ledger = ledger
        self.claims = claims
        self.clock = clock
        self.runs: dict[str, asyncio.Task[keyed_calls.Answer]] = {}
        self.outcome_writes: set[asyncio.Task[None]] = set()

    async def call(
        self, request: request_lib.Request, run: RunCall
    ) -> keyed_calls.Answer | keyed_calls.Forward:
        """Return the answer to `request`; run it unless it has run before.

        Args:
            request: the call; it has a key.
            run: makes the call.

        Returns:
            The answer, or the entry that the call must be forwarded to.

        Raises:
            errors.RefusalError: there is no answer; holds the outcome.
        """
        call = keyed_calls.Call(request.key, request.fingerprint)
        decision = self.ledger.admit(call)
        match decision:
            case keyed_calls.Forward():
                return decision
            case keyed_calls.Replay(answer):
                return answer
            case keyed_calls.Refuse(error):
                raise error
            case keyed_calls.Run() | keyed_calls.MakeClaim():
                self._start(call, decision, run)
        return await self._wait(request)

    def _start(
        self,
        call: keyed_calls.Call,
        decision: keyed_calls.Decision,
        run: RunCall,
    ) -> None:
        assert call.key not in self.runs, f"{call.key} is already running"
        task = asyncio.create_task(self._claim_and_run(call, decision, run))
        self.runs[call.key] = task
        task.add_done_callback(_consume_error)

    async def _wait(self, request: request_lib.Request) -> keyed_calls.Answer:
        """Wait for the run of the request's key until its deadline."""
        left = request.deadline - self.clock.now()
        task = self.runs[request.key]
        done, _ = await asyncio.wait({task}, timeout=left.total_seconds())
        if done and not task.cancelled():
            return task.result()
        raise errors.RefusalError(
            "deadline_passed",
            "the call is still running; send it again with the same key",
            504,
            errors.Outcome.UNKNOWN,
            idempotency.RETRY_AFTER,
        )

    async def _claim_and_run(
        self,
        call: keyed_calls.Call,
        decision: keyed_calls.Decision,
        run: RunCall,
    ) -> keyed_calls.Answer:
        """Claim the key if needed, then run, replay or refuse the call."""
        try:
            while isinstance(decision, keyed_calls.MakeClaim):
                decision = await self._claim(call, decision)
            match decision:
                case keyed_calls.Run():
                    return await self._run(call.key, run)
                case keyed_calls.Replay(answer):
                    return answer
                case keyed_calls.Refuse(error):
                    raise error
            raise AssertionError(f"{decision} cannot follow a claim")
        finally:
            # Removed in the same step as the ledger's change, because a resend
            # that the ledger lets run again must not find this task.
            del self.runs[call.key]

    async def _claim(
        self, call: keyed_calls.Call, wanted: keyed_calls.MakeClaim
    ) -> keyed_calls.Decision:
        try:
            stored = await self.claims.make(wanted)
        except errors.KeyValueError as error:
            logger.warning("Key could not be claimed: %s.", error)
            return self.ledger.abandon_claim(call.key)
        return self.ledger.resolve_claim(call, stored.claim, stored.revision)

    async def _run(self, key: str, run: RunCall) -> keyed_calls.Answer:
        """Run the call of `key` and record its outcome, however it ends."""
        try:
            answer = await run()
        except errors.RefusalError as error:
            if error.outcome is errors.Outcome.NOT_RUN:
                self._start_outcome_write(self.ledger.record_not_run(key))
            else:
                self._start_outcome_write(self.ledger.record_unknown(key))
            raise
        except BaseException:
            self._start_outcome_write(self.ledger.record_unknown(key))
            raise
        self._start_outcome_write(self.ledger.record_answered(key, answer))
        return answer

    def _start_outcome_write(
        self, effect: keyed_calls.ClaimUpdate | None
    ) -> None:
        if effect is None:
            return
        task = asyncio.create_task(self._write_outcome(effect))
        self.outcome_writes.add(task)
        task.add_done_callback(self.outcome_writes.discard)

    async def _write_outcome(self, effect: keyed_calls.ClaimUpdate) -> None:
        await self.claims.write_outcome(effect)
        if isinstance(effect, keyed_calls.SaveClaim):
            self.ledger.record_saved(effect.claim.record.key)

    async def finish(
        self, claim_write_limit: datetime.timedelta, end_seconds: float | None
    ) -> None:
        """Start no new call, and wait for those in progress.

        Each run ends soon after its deadline. Claims that the key-value
        service does not accept within `claim_write_limit` stay unchanged; a
        resend then treats the call as possibly running.

        Args:
            claim_write_limit: how long to wait for writes of claims.
            end_seconds: when runs are cancelled, on the event loop's clock;
                their outcome is recorded as unknown.
        """
        self.ledger.seal()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(end_seconds):
                while self.runs:
                    await asyncio.wait(set(self.runs.values()))
        for key, run in self.runs.items():
            logger.warning(
                "Call %s cancelled because the process ends; outcome unknown.",
                key,
            )
            run.cancel()
        while self.runs:
            await asyncio.wait(set(self.runs.values()))
        if not self.outcome_writes:
            return
        _, unfinished = await asyncio.wait(
            set(self.outcome_writes), timeout=claim_write_limit.total_seconds()
        )
        for task in unfinished:
            task.cancel()


def _consume_error(task: asyncio.Task[keyed_calls.Answer]) -> None:
    """Retrieve the task's error, since its caller may no longer wait."""
    if not task.cancelled():
        task.exception()
