"""Callers of a soak, which check chat answers and repeat bookings."""

import asyncio
import dataclasses
import json
import random
import time
from typing import Any, Final

import aiohttp

from cicadahook.standins import generated_text
from soak import processes
from soak import results as results_lib

IN_FLIGHT_LIMIT: Final = 100
CALL_SECONDS: Final = 12.0
BOOKING_SHARE: Final = 0.3
BOOKING_SENDS: Final = 4
RESEND_SECONDS: Final = 0.3
DISTURBANCE_SLACK_SECONDS: Final = 1.0
TOKENS: Final = (4, 40)


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """The addresses of entries and the time for which they may be kept.

    Attributes:
        entries: `host:port` of the entries.
        key_prefix: prefix for idempotency keys.
        expires: monotonic time until which the answer may be kept.
    """

    entries: tuple[str, ...]
    key_prefix: str
    expires: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one send.

    Attributes:
        status: status of the answer; 0 if none was received completely.
        content: body of the answer.
    """

    status: int
    content: bytes = b""

    @property
    def outcome(self) -> str:
        """The `outcome` stated by the answer; `unknown` if there is none."""
        try:
            return str(json.loads(self.content)["outcome"])
        except (ValueError, KeyError, TypeError):
            return "unknown"


class Callers:
    """Sends requests at random intervals with a constant mean rate.

    Attributes:
        system: processes of the run.
        session: session for all requests.
        results: receives counts and violations.
        rng: generator of all random choices.
        addresses: the addresses last received.
        by_address: entry processes by address.
        count: number of chats and bookings so far.
    """

    def __init__(
        self,
        system: processes.System,
        session: aiohttp.ClientSession,
        results: results_lib.Results,
        rng: random.Random,
    ) -> None:
        self.system = system
        self.session = session
        self.results = results
        self.rng = rng
        self.addresses = Addresses((), "", 0.0)
        self.by_address = {entry.address: entry for entry in system.entries}
        self.count = 0

    async def run(self, rate: float) -> None:
        """Send `rate` requests a second on average until cancelled."""
        async with asyncio.TaskGroup() as group:
            tasks: set[asyncio.Task[None]] = set()
            while True:
                await asyncio.sleep(self.rng.expovariate(rate))
                if len(tasks) >= IN_FLIGHT_LIMIT:
                    self.results.counts["held_back"] += 1
                    continue
                is_booking = self.rng.random() < BOOKING_SHARE
                task = group.create_task(
                    self.book() if is_booking else self.chat()
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)

    async def locate(self) -> Addresses:
        """Return the kept addresses; ask an entry for new ones if expired."""
        if time.monotonic() < self.addresses.expires:
            return self.addresses
        entry = self.rng.choice(self.system.entries)
        began = time.monotonic()
        answer = await self._send(entry.address, "GET", "/v1/locate", {}, {})
        if answer.status == 200:
            body = json.loads(answer.content)
            self.addresses = Addresses(
                tuple(item["address"] for item in body["entries"]),
                body["key_prefix"],
                began + body["keep_seconds"],
            )
        return self.addresses

    async def chat(self) -> None:
        """Request a chat completion and check the answer."""
        self.count += 1
        model = self.rng.choice(processes.MODELS)
        tokens = self.rng.randint(*TOKENS)
        is_stream = self.rng.random() < 0.5
        prompt = f"soak {self.results.seed} {self.count}"
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": is_stream,
        }
        addresses = await self.locate()
        if not addresses.entries:
            return
        entry = self.rng.choice(addresses.entries)
        answer = await self._send(
            entry, "POST", "/v1/chat/completions", body, {}
        )
        expected = generated_text.whole_answer(model, f"user: {prompt}", tokens)
        self._check_chat(answer, is_stream, expected, f"{entry} {prompt}")

    def _check_chat(
        self, answer: Answer, is_stream: bool, expected: str, name: str
    ) -> None:
        """Check that an answer, or its received part, is the expected one."""
        if answer.status != 200:
            self.results.counts[f"chat_{answer.status}"] += 1
            return
        read = _read_stream if is_stream else _read_whole
        content, is_whole = read(answer.content)
        self.results.counts["chat_whole" if is_whole else "chat_error"] += 1
        is_own = (
            content == expected if is_whole else expected.startswith(content)
        )
        if not is_own:
            self.results.record_violation(
                "whole own answer",
                f"{name}: expected {expected!r}, got {content!r}",
            )

    async def book(self) -> None:
        """Send a booking, several times with the same idempotency key."""
        self.count += 1
        name = f"booking-{self.results.seed}-{self.count}"
        booking = self.results.bookings[name] = results_lib.Booking()
        is_own_key = self.rng.random() < 0.5
        key = ""
        for _ in range(BOOKING_SENDS):
            addresses = await self.locate()
            if not addresses.entries:
                continue
            prefix = "" if is_own_key else addresses.key_prefix
            key = key or f"{prefix}{name}"
            answer = await self._send(
                self.rng.choice(addresses.entries),
                "POST",
                "/services/portal/bookings",
                {"name": name},
                {"Idempotency-Key": key},
            )
            self.results.counts[f"booking_{answer.status}"] += 1
            booking.has_run |= answer.status == 201
            booking.is_uncertain |= (
                answer.status != 201 and answer.outcome != "not_run"
            )
            await asyncio.sleep(RESEND_SECONDS)
            if booking.has_run and self.rng.random() < 0.5:
                return

    async def _send(
        self,
        address: str,
        method: str,
        path: str,
        body: dict[str, Any],
        headers: dict[str, str],
    ) -> Answer:
        """Send once; a cut without a recent kill or pause is a violation."""
        entry = self.by_address[address]
        sent = time.monotonic()
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        try:
            async with self.session.request(
                method,
                f"http://{address}{path}",
                json=body,
                headers=headers,
                timeout=timeout,
            ) as response:
                return Answer(response.status, await response.read())
        except aiohttp.ClientConnectorError:
            self.results.counts["not_connected"] += 1
        except TimeoutError:
            self.results.counts["timed_out"] += 1
        except aiohttp.ClientError as error:
            self.results.counts["cut"] += 1
            if entry.disturbed < sent - DISTURBANCE_SLACK_SECONDS:
                self.results.record_violation(
                    "no request is cut", f"{entry.name} {path}: {error!r}"
                )
        return Answer(0)


def _read_whole(content: bytes) -> tuple[str, bool]:
    """Return the text of an unstreamed answer and True: it is complete."""
    message = json.loads(content)["choices"][0]["message"]
    return str(message["content"]), True


def _read_stream(content: bytes) -> tuple[str, bool]:
    """Return the text of a stream and whether its end marker was received."""
    parts: list[str] = []
    for line in content.splitlines():
        event = line.removeprefix(b"data: ").strip()
        if event == b"[DONE]":
            return "".join(parts), True
        chunk = json.loads(event) if event else {}
        for choice in chunk.get("choices", ()):
            parts.append(choice["delta"].get("content") or "")
    return "".join(parts), False
