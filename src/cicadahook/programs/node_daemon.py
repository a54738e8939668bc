"""Program of cicada-node: one node of the cooperative platform.

It opens the ports, runs the node and drains it at a stop signal.
"""

import asyncio
import contextlib
import datetime
import gc
import signal
import sys
from typing import Any, Final

from aiohttp import web

from cicadahook.core import errors
from cicadahook.core import held_bytes
from cicadahook.core import node_lifecycle
from cicadahook.net import caller_protocol
from cicadahook.net import caller_server as caller_server_lib
from cicadahook.net import client_server
from cicadahook.net import clock as clock_lib
from cicadahook.net import delay_monitor
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import node as node_lib
from cicadahook.net import node_platform
from cicadahook.net import tasks
from cicadahook.platform import caller_server
from cicadahook.platform import messages
from cicadahook.platform import metadata_store
from cicadahook.platform import settings as settings_lib
from cicadahook.platform import upstream_client
from cicadahook.programs import early_signals

# The metrics port that deploy/system.toml names.
METRICS_PORT: Final = 9464
# Connections of probes and of other nodes are kept for longer than those of
# clients, as both sides have always done.
KEEPALIVE_TIMEOUT: Final = datetime.timedelta(seconds=60)
DRAIN_POLL_SECONDS: Final = 0.05
# New objects, and collections survived, between collections of cyclic garbage.
# With Python's defaults every other status of another node starts a collection,
# which took a tenth of the processor time of a node at rest.
COLLECTION_THRESHOLDS: Final = (10_000, 20, 20)

logger: Final = logs.create_logger("daemon")


class NodeProgram:
    """Runs a node from the opening of its ports to the end of its drain.

    Attributes:
        settings: settings of the node.
        clock: clock that also advances while the VM is suspended.
        stopped: set at a stop signal.
        node: the node, once it has been created.
    """

    def __init__(self, settings: node_lifecycle.NodeSettings) -> None:
        self.settings = settings
        self.clock = clock_lib.BootClock()
        self.stopped = asyncio.Event()
        self.node: node_lib.Node | None = None

    async def run(self) -> None:
        """Serve until a stop signal, then drain and close."""
        loop = asyncio.get_running_loop()
        for signal_number in early_signals.STOP_SIGNALS:
            loop.add_signal_handler(signal_number, self.stopped.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_reload_request)
        store = metadata_store.PlatformStore(
            self.settings.store_address, self.clock
        )
        client = upstream_client.UpstreamClient(self.clock)
        platform = node_platform.Platform(
            store,
            client,
            messages.CONFIGURATION_KEY,
            messages.INSTANCE_PREFIX,
            messages.decode_configuration,
            messages.decode_instance,
            messages.redact_item,
        )
        node = node_lib.Node(self.settings, platform, self.clock)
        self.node = node
        monitor = delay_monitor.DelayMonitor(self.clock, store.contact)
        monitoring = asyncio.create_task(
            tasks.keep_running(monitor.run, logger)
        )
        callers = caller_server_lib.CallerServer(
            node.forwarder, caller_server.HeadDecoder(), self.clock
        )
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
            monitoring.cancel()
            await node.stop()
            await client.close()
            await store.close()
            logger.info("Stopped.", extra={"node": self.settings.name})

    async def _listen(
        self,
        stack: contextlib.AsyncExitStack,
        node: node_lib.Node,
        callers: caller_server_lib.CallerServer,
    ) -> None:
        """Open all ports, to be closed by `stack`."""
        endpoints = caller_server.AddressEndpoints(node.directory)
        guard = client_server.ClientGuard(
            client_server.plan_limits(
                self.settings.memory_mb, self.settings.file_descriptors
            ),
            self.settings.name,
        )
        clients, peers, probes = held_bytes.Pool

        def create_server(
            pool: held_bytes.Pool, handler: Any, **options: Any
        ) -> web.Server:
            # Only clients are told the idle timeout of the configuration.
            idle = None if pool is clients else KEEPALIVE_TIMEOUT
            return caller_protocol.CallerHttpServer(
                handler,
                guard,
                pool,
                lambda: client_server.create_limits(callers.limits, idle),
                callers.may_quote,
                **options,
            )

        ports = (
            (
                create_server(
                    clients,
                    callers.handle,
                    handler_cancellation=True,
                    auto_decompress=False,
                ),
                self.settings.front_port,
            ),
            (
                create_server(probes, endpoints.handle_ready),
                self.settings.ready_port,
            ),
            (
                create_server(clients, endpoints.handle_resolve),
                self.settings.directory_port,
            ),
            (
                create_server(
                    peers,
                    node.create_peer_server().handle,
                    handler_cancellation=True,
                ),
                self.settings.peer_port,
            ),
            (create_server(probes, metrics.serve), METRICS_PORT),
        )
        for server, port in ports:
            await stack.enter_async_context(
                client_server.listen(server, self.settings.host, port)
            )

    async def _drain(
        self, node: node_lib.Node, callers: caller_server_lib.CallerServer
    ) -> None:
        """Send callers to other nodes and finish the requests in progress."""
        logger.info(
            "Stop signal received; draining.", extra={"active": callers.active}
        )
        plan = node_lifecycle.plan_drain(
            self.clock.now(), self.settings.grace_period
        )
        node.is_stopping = True
        node.forwarder.drain.start(plan)
        node.leadership.stop_proposing()
        await self._sleep_until(plan.accepts_until)
        while (
            callers.active + node.relay_server.active
            and self.clock.now() < plan.ends_at
        ):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        logger.info("Drained.", extra={"cut_off": callers.active})
        await node.leadership.leave()

    async def _sleep_until(self, end: datetime.datetime) -> None:
        time_left = end - self.clock.now()
        await asyncio.sleep(max(0.0, time_left.total_seconds()))

    def _log_reload_request(self) -> None:
        logger.info("Settings file changed; it is read at the next start only.")


async def _run(
    settings: node_lifecycle.NodeSettings, signals: early_signals.EarlySignals
) -> None:
    """Run the node; further stop signals do not change how it exits."""
    if signals.has_stopped:
        logger.info("Stop signal received before the start.")
        return
    try:
        await NodeProgram(settings).run()
    finally:
        # The event loop would otherwise restore the default actions, which
        # kill the process, some time before it has ended.
        loop = asyncio.get_running_loop()
        for signal_number in (
            *early_signals.STOP_SIGNALS,
            signal.SIGHUP,
        ):
            loop.remove_signal_handler(signal_number)
            signal.signal(signal_number, signal.SIG_IGN)


def limit_collections() -> None:
    """Collect cyclic garbage less often, and not among what is loaded now."""
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)


def main(signals: early_signals.EarlySignals) -> None:
    """Run the node; log an expected error and exit with code 1.

    Args:
        signals: what arrived while the program was loaded.
    """
    listener = logs.setup_stream()
    try:
        settings = settings_lib.read()
        metrics.setup("")
        limit_collections()
        asyncio.run(_run(settings, signals))
    except (errors.CicadaError, OSError) as error:
        logger.error("Node ended by an error.", extra={"error": str(error)})
        sys.exit(1)
    finally:
        listener.stop()
        # Everything is closed. Without this the final garbage collection of
        # the interpreter takes 0.2 s, and the platform may kill the process
        # before it exits with its own code.
        gc.freeze()
