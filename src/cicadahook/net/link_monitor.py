"""Keeps track of the links from this node to the upstreams."""

from typing import Final

from cicadahook.core import clock as clock_lib
from cicadahook.core import forwarding
from cicadahook.core import inventory
from cicadahook.core import reachability as reachability_lib
from cicadahook.net import logs
from cicadahook.net import metrics

logger: Final = logs.create_logger("links")


class LinkMonitor:
    """Records and logs what calls show of the links to upstreams.

    Attributes:
        reachability: what is known of the links.
        clock: the time.
        node: name of the node, for metrics.
    """

    def __init__(
        self,
        reachability: reachability_lib.Reachability,
        clock: clock_lib.Clock,
        node: str,
    ) -> None:
        self.reachability = reachability
        self.clock = clock
        self.node = node

    def record(
        self, instance: inventory.Instance, event: forwarding.LinkEvent
    ) -> None:
        """Record what a call shows of the link to its upstream."""
        now = self.clock.now()
        if event is forwarding.LinkEvent.HEARD:
            self.reachability.record_heard(instance, now)
        elif event is forwarding.LinkEvent.CONNECTED:
            if self.reachability.record_connected(instance, now):
                self._log_change(instance, event, "back")
        elif self.reachability.record_failure(instance, now):
            self._log_change(instance, event, "cut")

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
                        "heard_ms": int(
                            (now - link.heard).total_seconds() * 1e3
                        )
                        if link.heard
                        else None,
                    }
                    for peer, link in self.reachability.find_peer_links(
                        instance, now
                    )
                },
            },
        )
