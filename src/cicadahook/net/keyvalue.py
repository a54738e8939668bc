"""HTTP client of the platform's key-value service.

All calls of a process pass one `CallGate`, which limits their rate and stops
them while the service fails.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
import dataclasses
import datetime
import random
from typing import Any, Final
import urllib.parse

import aiohttp

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import forwarding
from cicadahook.core import keyvalue_limits
from cicadahook.net import answer_protocol
from cicadahook.net import clock as net_clock
from cicadahook.net import metrics

CALL_TIMEOUT: Final = datetime.timedelta(seconds=2)
BUDGET_WAIT: Final = datetime.timedelta(seconds=2)
RESOLVE_TIMEOUT: Final = datetime.timedelta(seconds=8)
WATCH_WAIT: Final = datetime.timedelta(seconds=20)
FIRST_BACKOFF: Final = datetime.timedelta(seconds=0.2)
LONGEST_BACKOFF: Final = datetime.timedelta(seconds=5)
BREAKER_THRESHOLD: Final = 5
ABSENT_REVISION: Final = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value; revision 0 means that the key is absent."""

    key: str
    value: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries under a prefix at one revision of the service."""

    entries: tuple[Entry, ...]
    revision: int


class CallGate:
    """Call budget and circuit breaker shared by all calls of a node.

    Attributes:
        clock: source of the current time.
        rng: source of jitter.
        budget: limits the rate of calls by priority.
        breaker: stops calls after consecutive failures.
    """

    def __init__(
        self,
        clock: clock_lib.Clock | None = None,
        rng: random.Random | None = None,
        mode: keyvalue_limits.BudgetMode = keyvalue_limits.BudgetMode(),
    ) -> None:
        self.clock = clock or net_clock.SystemClock()
        self.rng = rng or random.Random()
        self.budget = keyvalue_limits.CallBudget(mode, self.clock.now())
        self.breaker = keyvalue_limits.Breaker(
            BREAKER_THRESHOLD, self.create_backoff()
        )

    def create_backoff(self) -> keyvalue_limits.Backoff:
        """Return a backoff for one sequence of retries."""
        return keyvalue_limits.Backoff(FIRST_BACKOFF, LONGEST_BACKOFF, self.rng)


@dataclasses.dataclass
class KeyValueClient:
    """Calls the key-value service over HTTP.

    Attributes:
        address: `host:port` of the service.
        session: the HTTP session to use; owned by the caller.
        caller: component that calls, as the label of counters.
        priority: priority of its calls.
        gate: limits shared by all clients of this node.
    """

    address: str
    session: aiohttp.ClientSession
    caller: str = "other"
    priority: keyvalue_limits.Priority = keyvalue_limits.Priority.NORMAL
    gate: CallGate = dataclasses.field(default_factory=CallGate)

    def for_caller(
        self,
        caller: str,
        priority: keyvalue_limits.Priority = keyvalue_limits.Priority.NORMAL,
    ) -> "KeyValueClient":
        """Return a client for another component of the same node."""
        return dataclasses.replace(self, caller=caller, priority=priority)

    async def get(self, key: str) -> Entry:
        """Return the entry of `key`; its revision is 0 if it is absent."""
        status, body = await self._call("get", "GET", _key_path(key))
        if status == 404:
            return Entry(key, "", ABSENT_REVISION)
        return Entry(key, body["value"], body["revision"])

    async def list(self, prefix: str) -> Snapshot:
        """Return all entries whose key starts with `prefix`."""
        query = urllib.parse.urlencode({"prefix": prefix})
        _, body = await self._call("list", "GET", f"/v1/keys?{query}")
        return _parse_snapshot(body)

    async def put(
        self, key: str, value: str, expected: int, lease: str = ""
    ) -> int:
        """Write `key` if its revision is `expected`; return the new one.

        Raises:
            errors.KeyValueConflictError: the revision differed.
            errors.KeyValueNotSentError: the write was not sent.
            errors.KeyValueUnavailableError: no answer; the write may or may
                not have taken effect.
        """
        body = {"value": value, "expected_revision": expected, "lease": lease}
        status, answer = await self._call("put", "PUT", _key_path(key), body)
        if status == 409:
            raise errors.KeyValueConflictError(f"key {key!r} has changed")
        revision: int = answer["revision"]
        return revision

    async def put_unique(
        self,
        key: str,
        value: str,
        expected: int,
        is_included: Callable[[str], bool],
    ) -> None:
        """Write `key` like `put`, and resolve a lost reply by reading.

        Args:
            key: key to write.
            value: new value; no other write may ever have the same.
            expected: revision that the key must have.
            is_included: returns from the value of the key whether this write
                took effect, even if later ones followed it.

        Raises:
            errors.KeyValueConflictError: the write has no effect.
            errors.KeyValueUnavailableError: the outcome is still unknown
                after RESOLVE_TIMEOUT.
        """
        deadline = self.gate.clock.now() + RESOLVE_TIMEOUT
        backoff = self.gate.create_backoff()
        is_sent = False
        while True:
            try:
                await self._put_once(key, value, expected, is_included, is_sent)
                return
            except errors.KeyValueUnavailableError as error:
                is_sent = is_sent or not isinstance(
                    error, errors.KeyValueNotSentError
                )
                if self.gate.clock.now() >= deadline:
                    raise _describe_unresolved(key, is_sent) from error
                await self.sleep(backoff.fail())

    async def _put_once(
        self,
        key: str,
        value: str,
        expected: int,
        is_included: Callable[[str], bool],
        is_sent: bool,
    ) -> None:
        """Write once; after a lost reply, only if a read shows no effect.

        A repeated write cannot take effect twice, since both attempts expect
        the same revision.
        """
        if is_sent:
            entry = await self.get(key)
            if is_included(entry.value):
                count_event("lost_reply_resolved", self.caller)
                return
            if entry.revision < expected:
                raise errors.KeyValueUnavailableError(f"{key!r}: stale read")
            if entry.revision > expected:
                raise errors.KeyValueConflictError(f"key {key!r} has changed")
        try:
            await self.put(key, value, expected)
        except errors.KeyValueConflictError as error:
            if not is_sent:
                raise
            raise errors.KeyValueUnavailableError(
                f"{key!r}: an earlier write arrived"
            ) from error

    async def delete(self, key: str, expected: int) -> None:
        """Remove `key` if its revision is `expected`."""
        path = f"{_key_path(key)}?expected_revision={expected}"
        status, _ = await self._call("delete", "DELETE", path)
        if status == 409:
            raise errors.KeyValueConflictError(f"key {key!r} has changed")

    async def grant(self, ttl: datetime.timedelta) -> str:
        """Return a new lease that expires `ttl` after its last renewal."""
        body = {"ttl_seconds": ttl.total_seconds()}
        _, answer = await self._call("grant", "POST", "/v1/leases", body)
        lease: str = answer["lease"]
        return lease

    async def renew(self, lease: str) -> bool:
        """Renew `lease`; return False if it has expired."""
        status, _ = await self._call("renew", "PUT", f"/v1/leases/{lease}")
        return status == 200

    async def revoke(self, lease: str) -> None:
        """End `lease` and remove its keys."""
        await self._call("revoke", "DELETE", f"/v1/leases/{lease}")

    async def watch(self, prefix: str, after: int) -> Snapshot:
        """Wait for changes under `prefix` after revision `after`.

        Returns:
            The changed entries, absent ones with revision 0; none if nothing
            changed within WATCH_WAIT.

        Raises:
            errors.KeyValueNotSentError: the breaker is not closed.
            errors.KeyValueUnavailableError: the call failed.
        """
        if self.gate.breaker.state is not keyvalue_limits.BreakerState.CLOSED:
            # A watch may last long, so it must not be the breaker's probe.
            raise errors.KeyValueNotSentError(f"watch {prefix}: breaker open")
        query = urllib.parse.urlencode(
            {
                "prefix": prefix,
                "after": after,
                "wait_seconds": WATCH_WAIT.total_seconds(),
            }
        )
        _, body = await self._call(
            "watch",
            "GET",
            f"/v1/watch?{query}",
            timeout=WATCH_WAIT + CALL_TIMEOUT,
        )
        return _parse_snapshot(body)

    async def follow(
        self, prefix: str, pause: datetime.timedelta
    ) -> AsyncIterator[Snapshot]:
        """Yield a snapshot of `prefix` now and after each change.

        Each watch is followed by a read, so a watch that misses a change
        delays it by WATCH_WAIT at most. After an error this waits for at
        least `pause`, longer after each further error, with jitter.
        """
        backoff = self.gate.create_backoff()
        while True:
            try:
                snapshot = await self.list(prefix)
                backoff.succeed()
                yield snapshot
                await self.watch(prefix, snapshot.revision)
            except errors.KeyValueUnavailableError:
                count_event("watch_rearmed", self.caller)
                await self.sleep(max(pause, backoff.fail()))

    async def sleep(self, pause: datetime.timedelta) -> None:
        """Wait for `pause`."""
        await asyncio.sleep(pause.total_seconds())

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        timeout: datetime.timedelta = CALL_TIMEOUT,
    ) -> tuple[int, dict[str, Any]]:
        """Make one call if the gate allows it; return its status and body."""
        await self._await_budget()
        breaker = self.gate.breaker
        if not breaker.enter(self.gate.clock.now()):
            count_event("breaker_open", self.caller)
            raise errors.KeyValueNotSentError(f"{method} {path}: breaker open")
        count_call(kind, self.caller)
        try:
            answer = await self._send(method, path, body, timeout)
        except errors.KeyValueUnavailableError:
            count_event("call_failed", self.caller)
            breaker.fail(self.gate.clock.now())
            raise
        except BaseException:
            breaker.abandon(self.gate.clock.now())
            raise
        breaker.succeed()
        return answer

    async def _await_budget(self) -> None:
        """Wait until the budget allows a call; refuse after BUDGET_WAIT."""
        deadline = self.gate.clock.now() + BUDGET_WAIT
        while True:
            now = self.gate.clock.now()
            wait = self.gate.budget.consume(self.priority, now)
            if not wait:
                return
            if now + wait > deadline:
                count_event("budget_exhausted", self.caller)
                raise errors.KeyValueNotSentError("call budget exhausted")
            await self.sleep(wait)

    async def _send(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        timeout: datetime.timedelta,
    ) -> tuple[int, dict[str, Any]]:
        try:
            async with self.session.request(
                method,
                f"http://{self.address}{path}",
                json=body,
                timeout=aiohttp.ClientTimeout(total=timeout.total_seconds()),
            ) as response:
                if response.status >= 500 or response.status == 429:
                    raise errors.KeyValueUnavailableError(
                        f"{method} {path}: status {response.status}"
                    )
                answer = await response.json()
                body_end = answer_protocol.find_body_end(response)
                if answer is None and body_end is forwarding.BodyEnd.CLOSE:
                    raise aiohttp.ClientPayloadError("An empty body was cut.")
                return response.status, answer
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise errors.KeyValueUnavailableError(
                f"{method} {path}: {error!r}"
            ) from error


def count_call(kind: str, caller: str) -> None:
    """Count a call to the service."""
    counter = metrics.create_counter(
        "cicada_keyvalue_calls", "Calls to the key-value service."
    )
    counter.add(1, {"kind": kind, "caller": caller})


def count_event(event: str, caller: str) -> None:
    """Count a call that was not sent, failed, or was resolved later."""
    counter = metrics.create_counter(
        "cicada_keyvalue_events", "Failures of key-value calls, by event."
    )
    counter.add(1, {"event": event, "caller": caller})


def _describe_unresolved(
    key: str, is_sent: bool
) -> errors.KeyValueUnavailableError:
    """Return the error for a write that is not tried again."""
    if not is_sent:
        return errors.KeyValueNotSentError(f"key {key!r}: not written")
    return errors.KeyValueUnavailableError(f"key {key!r}: outcome unknown")


def _key_path(key: str) -> str:
    """Return the URL path of `key`."""
    return f"/v1/keys/{urllib.parse.quote(key)}"


def _parse_snapshot(body: dict[str, Any]) -> Snapshot:
    """Return the snapshot in the body of a list or watch response."""
    entries = tuple(
        Entry(item["key"], item["value"], item["revision"])
        for item in body["entries"]
    )
    return Snapshot(entries, body["revision"])
