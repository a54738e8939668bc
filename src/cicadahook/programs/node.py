"""cicada-node: serves callers on the cooperative platform."""

import asyncio
import contextlib
import datetime
import gc
import signal
import sys
from typing import Final

from aiohttp import web

from cicadahook.core import errors
from cicadahook.core import node_lifecycle
from cicadahook.net import clock as clock_lib
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import node as node_lib
from cicadahook.net import node_peers
from cicadahook.platform import caller_server
from cicadahook.platform import messages
from cicadahook.platform import settings as settings_lib
from cicadahook.platform import metadata_store
from cicadahook.platform import upstream_client

# The port that deploy/system.toml names for metrics.
METRICS_PORT: Final = 9464
DRAIN_POLL_SECONDS: Final = 0.05
STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)

logger: Final = logs.create_logger("daemon")


class NodeProgram:
    """The node with its ports open.

    Attributes:
        settings: its settings.
        clock: counts suspension.
        stopped: set at a stop signal.
        node: set once it runs.
    """

    def __init__(self, settings: node_lifecycle.NodeSettings) -> None:
        self.settings = settings
        self.clock = clock_lib.BootClock()
        self.stopped = asyncio.Event()
        self.node: node_lib.Node | None = None

    async def run(self) -> None:
        """Serve until a stop signal, then end gracefully."""
        loop = asyncio.get_running_loop()
        for signal_number in STOP_SIGNALS:
            loop.add_signal_handler(signal_number, self.stopped.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_reload_request)
        store = metadata_store.PlatformStore(self.settings.store_address)
        client = upstream_client.UpstreamClient()
        platform = node_lib.Platform(
            store,
            client,
            messages.CONFIGURATION_KEY,
            messages.INSTANCE_PREFIX,
            messages.decode_configuration,
            messages.decode_instance,
        )
        node = node_lib.Node(self.settings, platform, self.clock)
        self.node = node
        callers = caller_server.CallerServer(node.forwarder, self.clock)
        try:
            async with contextlib.AsyncExitStack() as stack:
                await self._listen(stack, node, callers)
                await node.start()
                logger.info(
                    "Started.",
                    extra={
                        "node": self.settings.name,
                        "front": self.settings.front_address,
                        "peers": self.settings.peer_address,
                    },
                )
                await self.stopped.wait()
                await self._drain(node, callers)
        finally:
            await node.stop()
            await client.close()
            await store.close()
            logger.info("Stopped.", extra={"node": self.settings.name})

    async def _listen(
        self,
        stack: contextlib.AsyncExitStack,
        node: node_lib.Node,
        callers: caller_server.CallerServer,
    ) -> None:
        """Open all ports."""
        endpoints = caller_server.AddressEndpoints(node.directory)
        ports = (
            (callers.create_server(), self.settings.front_port),
            (web.Server(endpoints.handle_ready), self.settings.ready_port),
            (
                web.Server(endpoints.handle_resolve),
                self.settings.directory_port,
            ),
            (
                web.Server(node_peers.CopyServer(node.orderer.ensure).handle),
                self.settings.peer_port,
            ),
            (web.Server(metrics.serve), METRICS_PORT),
        )
        for server, port in ports:
            await stack.enter_async_context(
                caller_server.listen(server, self.settings.host, port)
            )

    async def _drain(
        self, node: node_lib.Node, callers: caller_server.CallerServer
    ) -> None:
        """Send callers elsewhere, and end what is under way."""
        logger.info("Stops.", extra={"active": callers.active})
        plan = node_lifecycle.plan_drain(
            self.clock.now(), self.settings.grace_period
        )
        node.is_stopping = True
        node.forwarder.drain.start(plan)
        node.leadership.stop_proposing()
        await self._sleep_until(plan.accepts_until)
        while callers.active and self.clock.now() < plan.ends_at:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        logger.info("Drained.", extra={"cut_off": callers.active})
        await node.leadership.leave()

    async def _sleep_until(self, end: datetime.datetime) -> None:
        time_left = end - self.clock.now()
        await asyncio.sleep(max(0.0, time_left.total_seconds()))

    def _log_reload_request(self) -> None:
        logger.info("Settings file changed; read at the next start.")


async def _run(settings: node_lifecycle.NodeSettings) -> None:
    """Run the node; further signals do not change how it exits."""
    try:
        await NodeProgram(settings).run()
    finally:
        # Left to itself, the event loop would restore the default actions,
        # which kill, some time before the process has ended.
        loop = asyncio.get_running_loop()
        for signal_number in (*STOP_SIGNALS, signal.SIGHUP):
            loop.remove_signal_handler(signal_number)
            signal.signal(signal_number, signal.SIG_IGN)


def main() -> None:
    """Run the node; exit with 1 and a sentence on an expected error."""
    listener = logs.setup_stream()
    try:
        settings = settings_lib.read()
        metrics.setup("")
        asyncio.run(_run(settings))
    except (errors.CicadaError, OSError) as error:
        logger.error("Ended.", extra={"error": str(error)})
        sys.exit(1)
    finally:
        listener.stop()
        # All is closed. Without this the interpreter takes 0.2 s to look
        # through its objects, and the kill may come before.
        gc.freeze()


if __name__ == "__main__":
    main()
