"""Keeps track of the links from this node to the upstreams.

While new connections to an upstream fail, the link is probed until one
succeeds, so that no request has to find out.
"""

import asyncio
from collections.abc import Awaitable, Callable
import datetime
import random
from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.core import reachability as reachability_lib
from cicadahook.net import logs
from cicadahook.net import metrics
from cicadahook.net import tasks

FIRST_PROBE_PAUSE: Final = datetime.timedelta(milliseconds=300)
MAX_PROBE_PAUSE: Final = datetime.timedelta(seconds=1)
PROBE_PAUSE_GROWTH: Final = 1.5
# Links that are cut within COMMON_PERIOD of each other probably have a common
# cause. The links on which nothing was heard for QUIET_PERIOD are probed then,
# spread over PROBE_SPREAD.
COMMON_PERIOD: Final = datetime.timedelta(seconds=2)
QUIET_PERIOD: Final = datetime.timedelta(milliseconds=500)
PROBE_SPREAD: Final = datetime.timedelta(milliseconds=200)
MAX_PROBED_LINKS: Final = 64

Probe = Callable[[inventory.Instance], Awaitable[forwarding.LinkEvent]]

logger: Final = logs.create_logger("links")


class LinkMonitor:
    """Records what calls show of the links, and probes those that are cut.

    Attributes:
        reachability: what is known of the links.
        instances: the registered upstreams.
        probe: opens a connection to an upstream.
        is_resting: returns whether an upstream wants no connection now.
        clock: the time.
        random: spreads the probes.
        node: name of the node, for metrics.
        probes: running probes, by id of the upstream.
    """

    def __init__(
        self,
        reachability: reachability_lib.Reachability,
        instances: inventory.Inventory,
        probe: Probe,
        clock: clock_lib.Clock,
        *,
        is_resting: Callable[[inventory.Instance], bool],
        generator: random.Random,
        node: str,
    ) -> None:
        self.reachability = reachability
        self.inventory = instances
        self.probe = probe
        self.is_resting = is_resting
        self.clock = clock
        self.random = generator
        self.node = node
        self.probes: dict[str, asyncio.Task[None]] = {}

    def record(
        self, instance: inventory.Instance, event: forwarding.LinkEvent
    ) -> None:
        """Record what a call shows of the link to its upstream."""
        now = self.clock.now()
        events = forwarding.LinkEvent
        if event is events.HEARD:
            self.reachability.record_heard(instance, now)
        elif event is events.CONNECTED:
            if self.reachability.record_connected(instance, now):
                self._log_change(instance, event, "back")
        elif event is events.BROKEN:
            self._start_probe(instance, datetime.timedelta())
        elif self.reachability.record_failure(
            instance, now, is_refused=event is events.REFUSED
        ):
            self._log_change(instance, event, "cut")
            self._start_probe(instance, FIRST_PROBE_PAUSE)
            if self.reachability.count_cut_since(now - COMMON_PERIOD) > 1:
                self._probe_quiet_links(now)

    def close(self) -> None:
        """Stop all probes."""
        for task in list(self.probes.values()):
            task.cancel()

    def _probe_quiet_links(self, now: datetime.datetime) -> None:
        """Probe the other links on which nothing was heard lately."""
        quiet = [
            entry
            for entry in self.inventory.instances.values()
            if (link := self.reachability.links.get(entry.id)) is not None
            and not link.was_heard_after(now - QUIET_PERIOD)
        ]
        for entry in quiet[:MAX_PROBED_LINKS]:
            self._start_probe(entry, PROBE_SPREAD * self.random.random())

    def _start_probe(
        self, instance: inventory.Instance, delay: datetime.timedelta
    ) -> None:
        tasks.share(
            self.probes,
            instance.id,
            lambda: self._probe_until_connected(instance, delay),
        )

    async def _probe_until_connected(
        self, instance: inventory.Instance, delay: datetime.timedelta
    ) -> None:
        """Probe a link now, and until it is not cut any more."""
        pause = FIRST_PROBE_PAUSE
        await asyncio.sleep(delay.total_seconds())
        while self.inventory.instances.get(instance.id) is not None:
            if not self.is_resting(instance):
                self.record(instance, await self.probe(instance))
            if not self.reachability.is_cut(instance):
                return
            factor = self.random.uniform(0.7, 1.3)
            await asyncio.sleep(pause.total_seconds() * factor)
            pause = min(MAX_PROBE_PAUSE, pause * PROBE_PAUSE_GROWTH)

    def _log_change(
        self,
        instance: inventory.Instance,
        event: forwarding.LinkEvent,
        state: str,
    ) -> None:
        """Log that a link was cut or came back, and who else reaches it."""
        now = self.clock.now()
        metrics.count_link_change(state, self.node)
        logger.info(
            "Link to an upstream changed.",
            extra={
                "instance": instance.id,
                "service": instance.service,
                "state": state,
                "event": str(event),
                "peers": {
                    peer: {
                        "is_cut": link.cut_since is not None,
                        "heard_ms": link.heard
                        and int((now - link.heard).total_seconds() * 1000),
                    }
                    for peer, link in self.reachability.find_peer_links(
                        instance, now
                    )
                },
            },
        )
