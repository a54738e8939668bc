"""cicada-load: sends requests at a steady rate and reports what came back."""

import asyncio
import json
import time
from typing import Any, Final

import aiohttp
import fire
from hdrh import histogram

from cicadahook.programs import daemon

LOWEST_MICROSECONDS: Final = 1
HIGHEST_MICROSECONDS: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 3
PERCENTILES: Final = (50.0, 95.0, 99.0)


class Result:
    """Counts answers and their latencies."""

    def __init__(self) -> None:
        self.served = 0
        self.failed = 0
        self.latencies = histogram.HdrHistogram(
            LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
        )

    def describe(self) -> dict[str, Any]:
        """Return the counts and percentiles, in milliseconds."""
        return {
            "served": self.served,
            "failed": self.failed,
            "latency_ms": {
                f"p{percentile:g}": self.latencies.get_value_at_percentile(
                    percentile
                )
                / 1000
                for percentile in PERCENTILES
            },
        }


async def _send(
    session: aiohttp.ClientSession, url: str, model: str, result: Result
) -> None:
    """Send one request and record its result."""
    started = time.monotonic()
    body = {
        "model": model,
        "messages": [{"role": "user", "content": f"at {started}"}],
    }
    try:
        async with session.post(url, json=body) as response:
            await response.read()
            if response.status != 200:
                result.failed += 1
                return
    except aiohttp.ClientError:
        result.failed += 1
        return
    result.served += 1
    elapsed = time.monotonic() - started
    result.latencies.record_value(int(elapsed * 1_000_000))


def run(
    entry: str = "127.0.0.1:8401",
    model: str = "inspector",
    rate: float = 20.0,
    seconds: float = 5.0,
) -> None:
    """Send `rate` requests a second to `entry` for so many seconds."""

    async def send_all() -> None:
        result = Result()
        url = f"http://{entry}/v1/chat/completions"
        async with daemon.open_session() as session:
            async with asyncio.TaskGroup() as group:
                for _ in range(int(rate * seconds)):
                    group.create_task(_send(session, url, model, result))
                    await asyncio.sleep(1 / rate)
        print(json.dumps(result.describe(), indent=2))

    daemon.run_main(send_all)


def main() -> None:
    """Run cicada-load."""
    fire.Fire(run, name="cicada-load")
