"""Start, stop signals and graceful stop, shared by all daemons."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import signal
import sys
from typing import Final, Protocol

import aiohttp

from cicadahook.core import errors
from cicadahook.net import answer_protocol
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.programs import settings as settings_lib

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
# aiohttp takes 0 as no limit.
UNLIMITED_CONNECTIONS: Final = 0
CALL_TIMEOUT_SECONDS: Final = 10.0

logger: Final = logs.create_logger("daemon")


class Daemon(Protocol):
    """A part of a program that can be started and gracefully stopped."""

    async def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Stop after the open requests have been finished."""


@contextlib.asynccontextmanager
async def open_session() -> AsyncIterator[aiohttp.ClientSession]:
    """Yield an HTTP session without limits, as WebSockets need one."""
    connector = aiohttp.TCPConnector(limit=UNLIMITED_CONNECTIONS)
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        yield session


def create_call_session() -> aiohttp.ClientSession:
    """Return an HTTP session for calls whose answers are kept whole."""
    return answer_protocol.open_session(
        timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
    )


def create_fresh_session() -> aiohttp.ClientSession:
    """Return an HTTP session that opens a new connection for each call."""
    return answer_protocol.open_session(keepalive=0.0)


def run(
    settings: settings_lib.CommonSettings,
    create: Callable[[aiohttp.ClientSession], Daemon],
) -> None:
    """Run a daemon until a stop signal; exit with code 0 after a clean stop."""
    logs.setup(settings.log_format, settings.log_level)
    metrics.setup(settings.otlp_endpoint)
    if settings.cluster_key == settings_lib.DEFAULT_CLUSTER_KEY:
        logger.warning(
            "The cluster key is the public default; set --cluster-key."
        )

    async def serve() -> None:
        async with open_session() as session:
            await run_until_stopped(create(session))

    run_main(serve)


async def run_until_stopped(
    daemon: Daemon, seconds: float | None = None
) -> None:
    """Start a daemon, and stop it at the first signal or after `seconds`.

    A signal that arrives during the start also stops the daemon, and what has
    been started until then is stopped as usual.
    """
    stopping = asyncio.create_task(wait_for_stop())
    starting = asyncio.create_task(daemon.start())
    try:
        await asyncio.wait(
            (stopping, starting), return_when=asyncio.FIRST_COMPLETED
        )
        if starting.done():
            starting.result()
            await asyncio.wait((stopping,), timeout=seconds)
    finally:
        for task in (starting, stopping):
            task.cancel()
        await asyncio.gather(starting, stopping, return_exceptions=True)
        await daemon.stop()


def run_main(main: Callable[[], Awaitable[None]]) -> None:
    """Run `main`; print an expected error and exit with code 1."""

    async def body() -> None:
        await main()

    try:
        asyncio.run(body())
    except (errors.CicadaError, OSError) as error:
        print(error, file=sys.stderr)
        sys.exit(1)


async def wait_for_stop() -> None:
    """Return at the first stop signal."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
    logger.info("Stop signal received.")
