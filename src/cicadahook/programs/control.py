"""Entry point of cicada-control.

The daemon keeps the table, the members and the upstreams, plans placement and
serves the operators' API.
"""

from cicadahook.core import keyvalue_limits
from cicadahook.core import pacing
from cicadahook.core import placement
from cicadahook.core import view
from cicadahook.net import clock
from cicadahook.net import control as control_lib
from cicadahook.net import http_server
from cicadahook.programs import daemon
from cicadahook.programs import settings as settings_lib


class ControlDaemon:
    """A control with its HTTP server."""

    def __init__(
        self,
        settings: settings_lib.ControlSettings,
    ) -> None:
        own = view.Member(
            name=settings.name,
            entry=settings.entry,
            control=f"{settings.host}:{settings.port}",
            zone=settings.zone,
        )
        mode = control_lib.ControlMode(
            own=own,
            key_value=settings.key_value,
            vm_list=settings.vm_list,
            placement=placement.PlacementMode(
                settings.placement_policy,
                settings.move_price,
                settings.upstream_rate,
                pacing.PacingMode(
                    settings.loads_per_second, settings.active_loads
                ),
            ),
            operator_token=settings.operator_token,
            cluster_key=settings.cluster_key,
            peers=settings.peers,
            call_budget=keyvalue_limits.BudgetMode(
                calls_per_second=settings.key_value_calls
            ),
        )
        self.session = daemon.create_call_session()
        self.control = control_lib.Control(
            mode, clock.SystemClock(), self.session
        )
        self.server = http_server.Server(
            self.control.create_app(), settings.host, settings.port
        )

    async def start(self) -> None:
        """Listen, and start the background tasks of the control."""
        await self.server.start()
        await self.control.start()

    async def stop(self) -> None:
        """Leave the membership, then close the server; once."""
        if self.session.closed:
            return
        await self.control.stop()
        await self.server.stop()
        await self.session.close()


def main() -> None:
    """Run cicada-control."""
    settings = settings_lib.parse_or_exit(settings_lib.ControlSettings)
    daemon.run(settings, lambda _: ControlDaemon(settings))
