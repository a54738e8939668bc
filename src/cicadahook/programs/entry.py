"""Entry point of cicada-entry: the daemon that serves callers."""

import asyncio
import contextlib
import datetime
from typing import Final

import aiohttp

from cicadahook.core import admission
from cicadahook.core import hashing
from cicadahook.core import idempotency
from cicadahook.core import routing
from cicadahook.net import attempts
from cicadahook.net import clock
from cicadahook.net import control_links
from cicadahook.net import entry as entry_lib
from cicadahook.net import http_server
from cicadahook.programs import daemon
from cicadahook.programs import settings as settings_lib

# Added to the lifetime of address answers when the drain has no set length.
DRAIN_NOTICE_SECONDS: Final = 3.0


class EntryDaemon:
    """An entry with its HTTP server and its link to a control."""

    def __init__(
        self,
        settings: settings_lib.EntrySettings,
        session: aiohttp.ClientSession,
    ) -> None:
        mode = entry_lib.EntryMode(
            name=settings.name,
            zone=settings.zone,
            address_lifetime=datetime.timedelta(seconds=settings.keep_seconds),
            admission=_create_admission(settings),
            key_value=settings.key_value,
            records=idempotency.LedgerMode(
                datetime.timedelta(seconds=settings.record_seconds),
                settings.record_count,
                settings.record_answer_bytes,
            ),
            cluster_key=settings.cluster_key,
            drain=_get_drain_duration(settings),
            grace_period=_get_grace_period(settings),
            progress=attempts.ProgressMode(
                datetime.timedelta(seconds=settings.first_token_seconds),
                datetime.timedelta(seconds=settings.token_gap_seconds),
            ),
        )
        self.call_session = daemon.create_call_session()
        self.fresh_session = daemon.create_fresh_session()
        self.entry = entry_lib.Entry(
            mode, clock.SystemClock(), self.call_session, self.fresh_session
        )
        self.server = http_server.Server(
            self.entry.create_app(),
            settings.host,
            settings.port,
            settings.memory_mb,
        )
        self.link = control_links.LinkClient(
            settings.controls,
            session,
            self.entry.apply_view,
            self.entry.create_report,
        )
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and start the link to a control."""
        await self.server.start()
        self.entry.address = self.server.address
        self.task = asyncio.create_task(self.link.run())

    async def stop(self) -> None:
        """Finish the open requests, then close all connections."""
        await self.entry.drain()
        await self.server.stop()
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task
        await self.entry.connections.close()
        await self.entry.service_connections.close()
        await self.fresh_session.close()
        await self.call_session.close()


def _get_drain_duration(
    settings: settings_lib.EntrySettings,
) -> datetime.timedelta:
    """Return how long a stop waits until address answers have expired."""
    seconds = settings.drain_seconds
    if seconds is None:
        seconds = settings.keep_seconds + DRAIN_NOTICE_SECONDS
    return datetime.timedelta(seconds=seconds)


def _get_grace_period(
    settings: settings_lib.EntrySettings,
) -> datetime.timedelta | None:
    """Return the time from stop signal to kill; None if there is no kill."""
    if settings.grace_seconds is None:
        return None
    return datetime.timedelta(seconds=settings.grace_seconds)


def _create_admission(
    settings: settings_lib.EntrySettings,
) -> admission.AdmissionMode:
    # With the same seed, all entries would choose the same upstreams.
    seed = hashing.hash64(settings.name)
    return admission.AdmissionMode(
        routing.RoutingMode(settings.routing_policy, settings.zone, seed),
        settings.name,
        settings.queue_limit,
    )


def main() -> None:
    """Run cicada-entry."""
    settings = settings_lib.parse_or_exit(settings_lib.EntrySettings)
    daemon.run(settings, lambda session: EntryDaemon(settings, session))
