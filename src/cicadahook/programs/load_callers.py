"""Simulated callers that send the load of cicada-load.

As real callers do, they cache address answers and fail over to other entries.
"""

import asyncio
from collections.abc import Iterable
import dataclasses
import json
import random
import sys
import time
from typing import Any, Final

import aiohttp

from cicadahook.core import errors
from cicadahook.core import workload
from cicadahook.programs import load_results

LOCATE_TIMEOUT_SECONDS: Final = 2.0
ANSWER_GRACE_SECONDS: Final = 2.0
MAX_SENDS: Final = 3
PROGRESS_INTERVAL_SECONDS: Final = 1.0
EVENT_PREFIX: Final = b"data: "
END_EVENT: Final = b"[DONE]"


class NoEntryError(errors.CicadaError):
    """No entry answered a request for addresses."""


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses that an entry answered.

    Attributes:
        entries: `host:port` of the entries to use, the best first.
        key_prefix: prefix of the idempotency keys to use.
        expires_at: monotonic time in seconds until which they may be used.
    """

    entries: tuple[str, ...]
    key_prefix: str
    expires_at: float


class AddressCache:
    """Requests addresses and caches each answer for its lifetime.

    Attributes:
        bootstrap: `host:port` of the entries to ask at first.
        zone: zone of the callers; empty is that of the entry asked.
    """

    def __init__(
        self,
        bootstrap: tuple[str, ...],
        zone: str,
        session: aiohttp.ClientSession,
        rng: random.Random,
    ) -> None:
        self.bootstrap = bootstrap
        self.zone = zone
        self.session = session
        self.rng = rng
        self.cached = Addresses((), "", 0.0)
        self.lock = asyncio.Lock()

    async def get(self) -> Addresses:
        """Return addresses that have not expired.

        Raises:
            NoEntryError: no entry answered.
        """
        async with self.lock:
            if time.monotonic() >= self.cached.expires_at:
                self.cached = await self._fetch()
            return self.cached

    async def _fetch(self) -> Addresses:
        """Ask the entries in random order until one answers."""
        known = list(dict.fromkeys((*self.cached.entries, *self.bootstrap)))
        self.rng.shuffle(known)
        timeout = aiohttp.ClientTimeout(total=LOCATE_TIMEOUT_SECONDS)
        for entry in known:
            asked_at = time.monotonic()
            try:
                async with self.session.get(
                    f"http://{entry}/v1/locate",
                    params={"zone": self.zone} if self.zone else {},
                    timeout=timeout,
                ) as response:
                    body = await response.json()
            except (aiohttp.ClientError, TimeoutError):
                continue
            if response.status == 200 and body["entries"]:
                return Addresses(
                    tuple(item["address"] for item in body["entries"]),
                    body["key_prefix"],
                    asked_at + body["keep_seconds"],
                )
        raise NoEntryError(f"none of {', '.join(known)} answers /v1/locate")


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Result of sending a request once.

    Attributes:
        ending: `IN_TIME` if the answer is complete, at whatever time it came.
        reason: code of a refusal or kind of a failure.
        is_retryable: whether the request is to be sent to another entry.
        first_token_at: monotonic time of the first token; None without one.
    """

    ending: load_results.Ending
    reason: str = ""
    is_retryable: bool = False
    first_token_at: float | None = None


class Callers:
    """Sends each request at its arrival time (open loop).

    Requests that are still unanswered do not delay later ones.

    Attributes:
        address_cache: addresses of the entries.
        service_path: path of the service that takes bookings.
        results: how the requests have ended so far.
        sent: number of requests sent, resends not included.
    """

    def __init__(
        self,
        address_cache: AddressCache,
        service_path: str,
        session: aiohttp.ClientSession,
        rng: random.Random,
    ) -> None:
        self.address_cache = address_cache
        self.service_path = service_path
        self.session = session
        self.rng = rng
        self.results = load_results.Results()
        self.sent = 0

    async def run(
        self, arrivals: Iterable[workload.Arrival], is_quiet: bool = False
    ) -> load_results.Results:
        """Send all arrivals and return the results once all have ended."""
        started_at = time.monotonic()
        progress = asyncio.create_task(
            self._print_progress(started_at, is_quiet)
        )
        try:
            async with asyncio.TaskGroup() as group:
                for arrival in arrivals:
                    due_at = started_at + arrival.at.total_seconds()
                    await asyncio.sleep(due_at - time.monotonic())
                    self.sent += 1
                    group.create_task(
                        self._send_until_answered(arrival, due_at)
                    )
        finally:
            progress.cancel()
        return self.results

    async def _print_progress(self, started_at: float, is_quiet: bool) -> None:
        while not is_quiet:
            await asyncio.sleep(PROGRESS_INTERVAL_SECONDS)
            done = self.results.all
            print(
                f"\r{time.monotonic() - started_at:4.0f} s: {self.sent} sent,"
                f" {self.sent - done.count} open,"
                f" {done.share_in_time:.1%} in time",
                end="",
                file=sys.stderr,
                flush=True,
            )

    async def _send_until_answered(
        self, arrival: workload.Arrival, due_at: float
    ) -> None:
        """Send one request until it is answered, and record how it ended."""
        deadline = due_at + arrival.traffic.deadline.total_seconds()
        sends, key, reply = 0, "", Reply(load_results.Ending.FAILED, "no_entry")
        while sends < MAX_SENDS and time.monotonic() < deadline:
            try:
                addresses = await self.address_cache.get()
            except NoEntryError:
                break
            key = key or f"{addresses.key_prefix}{arrival.prompt[:80]}"
            entry = addresses.entries[sends % len(addresses.entries)]
            if not sends:
                entry = self._choose_entry(addresses)
            sends += 1
            reply = await self._send(entry, arrival, key, deadline)
            if not reply.is_retryable:
                break
        if arrival.is_resent and reply.ending is load_results.Ending.IN_TIME:
            sends += 1
            await self._send(entry, arrival, key, deadline)
        self._record(arrival, due_at, deadline, sends, reply)

    def _choose_entry(self, addresses: Addresses) -> str:
        """Return a random entry of the first, better half of the addresses."""
        half = (len(addresses.entries) + 1) // 2
        return self.rng.choice(addresses.entries[:half])

    def _record(
        self,
        arrival: workload.Arrival,
        due_at: float,
        deadline: float,
        sends: int,
        reply: Reply,
    ) -> None:
        now = time.monotonic()
        ending = reply.ending
        if ending is load_results.Ending.IN_TIME and now > deadline:
            ending = load_results.Ending.LATE
        first = reply.first_token_at
        self.results.add(
            load_results.Sample(
                arrival,
                ending,
                reply.reason,
                now - due_at,
                None if first is None else first - due_at,
                sends,
            )
        )

    async def _send(
        self,
        entry: str,
        arrival: workload.Arrival,
        key: str,
        deadline: float,
    ) -> Reply:
        """Send a request once."""
        seconds_left = deadline - time.monotonic()
        headers = {
            "X-Deadline-Ms": str(max(1, int(seconds_left * 1000))),
            "X-Priority": arrival.traffic.priority.name.lower(),
        }
        is_booking = arrival.traffic.kind is workload.CallKind.BOOKING
        if is_booking:
            headers["Idempotency-Key"] = key
        path = self.service_path if is_booking else "/v1/chat/completions"
        try:
            async with self.session.post(
                f"http://{entry}{path}",
                json=_create_body(arrival),
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=seconds_left + ANSWER_GRACE_SECONDS
                ),
            ) as response:
                if response.status >= 400:
                    return await _read_refusal(response)
                if is_booking:
                    await response.read()
                    return Reply(load_results.Ending.IN_TIME)
                return await _read_stream(response)
        except TimeoutError:
            return Reply(load_results.Ending.FAILED, "timeout")
        except aiohttp.ClientError as error:
            reason = type(error).__name__
            return Reply(load_results.Ending.FAILED, reason, True)


def _create_body(arrival: workload.Arrival) -> dict[str, Any]:
    """Return the JSON body of a request."""
    if arrival.traffic.kind is workload.CallKind.BOOKING:
        return {"name": arrival.prompt}
    return {
        "model": arrival.row,
        "messages": [{"role": "user", "content": arrival.prompt}],
        "max_tokens": arrival.tokens,
        "stream": True,
    }


async def _read_refusal(response: aiohttp.ClientResponse) -> Reply:
    """Return the reply for an error answer."""
    try:
        body = json.loads(await response.read())
        code, outcome = str(body["code"]), str(body["outcome"])
    except (ValueError, KeyError, TypeError):
        code, outcome = f"status_{response.status}", "unknown"
    return Reply(
        load_results.Ending.REFUSED
        if outcome == "not_run"
        else load_results.Ending.FAILED,
        code,
    )


async def _read_stream(response: aiohttp.ClientResponse) -> Reply:
    """Return the reply for a stream, which is complete with its end event."""
    first_token_at = None
    reason = "cut"
    async for line in response.content:
        if not line.startswith(EVENT_PREFIX):
            continue
        event = line.removeprefix(EVENT_PREFIX).strip()
        if event == END_EVENT:
            return Reply(
                load_results.Ending.IN_TIME, first_token_at=first_token_at
            )
        body = json.loads(event)
        reason = str(body.get("code", reason))
        if first_token_at is None and body.get("choices"):
            first_token_at = time.monotonic()
    return Reply(load_results.Ending.FAILED, reason)
