"""Charges requests to their tenants, and shows operators what was charged."""

import datetime
from typing import Final

from cicadahook.core import allowances as allowances_lib
from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import forwarding
from cicadahook.core import roster as roster_lib
from cicadahook.core import status_schedule
from cicadahook.core import tenants
from cicadahook.net import logs
from cicadahook.net import metrics

# Refusals of a tenant are summed up in one log line for this time.
LOG_PERIOD: Final = datetime.timedelta(seconds=5)

logger: Final = logs.create_logger("tenants")


class TenantCharges:
    """Charges the requests that reach one node.

    Attributes:
        node: name of the node.
        allowances: the allowances of all tenants.
        refused: refusals that are not logged yet, by tenant.
        logged: when refusals of a tenant were last logged.
    """

    def __init__(
        self,
        node: str,
        allowances: allowances_lib.Allowances,
        clock: clock_lib.Clock,
    ) -> None:
        self.node = node
        self.allowances = allowances
        self.clock = clock
        self.refused: dict[str, int] = {}
        self.logged: dict[str, datetime.datetime] = {}

    def apply(self, registry: tenants.TenantRegistry) -> None:
        """Put the allowances of a newer configuration in force."""
        limits = {
            name: tenant.allowance
            for name, tenant in registry.by_name.items()
            if tenant.allowance is not None
        }
        self.allowances.apply_limits(limits, self.clock.now())
        for counters in (self.refused, self.logged):
            for name in counters.keys() - limits.keys():
                del counters[name]

    def charge(
        self,
        tenant: tenants.Tenant | None,
        generation: forwarding.Generation | None,
    ) -> allowances_lib.Charge | None:
        """Charge a request to its tenant; return None if that has no limit.

        Raises:
            errors.RefusalError: the request is over the allowance.
        """
        if tenant is None or tenant.allowance is None:
            return None
        cost = allowances_lib.compute_cost(tenant.allowance, generation)
        result = self.allowances.charge(tenant.name, cost, self.clock.now())
        if not isinstance(result, allowances_lib.Denial):
            metrics.count_charge(tenant.name, cost, self.node)
            return result
        metrics.count_tenant_refusal(tenant.name, result.reason, self.node)
        self._log_refusal(tenant, result)
        raise errors.RefusalError(
            "allowance_exceeded",
            "allowance exceeded",
            429,
            retry_after=result.retry_after,
        )

    def refund(self, charge: allowances_lib.Charge) -> None:
        """Give back what was charged for a request that was not run."""
        self.allowances.refund(charge)
        metrics.count_refund(charge.tenant, charge.cost, self.node)

    def _log_refusal(
        self, tenant: tenants.Tenant, denial: allowances_lib.Denial
    ) -> None:
        """Log the refusals of a tenant, one line for each period."""
        now = self.clock.now()
        self.refused[tenant.name] = self.refused.get(tenant.name, 0) + 1
        last = self.logged.get(tenant.name)
        if last is not None and now - last < LOG_PERIOD:
            return
        self.logged[tenant.name] = now
        bucket = self.allowances.buckets[tenant.name]
        logger.info(
            "Tenant is over its allowance.",
            extra={
                "tenant": tenant.name,
                "reason": str(denial.reason),
                "refused": self.refused.pop(tenant.name),
                "rate": bucket.allowance.rate,
                "burst": bucket.allowance.burst,
                "level": round(bucket.level),
                "charged": round(bucket.own_charged),
                "heard": len(bucket.heard),
                "nodes": len(self.allowances.names) + 1,
            },
        )

    def update_nodes(self, roster: roster_lib.Roster) -> None:
        """Update the nodes that share the allowances, and the metrics."""
        now = self.clock.now()
        self.allowances.update_nodes(
            roster.list_names(now), now, roster.get_round_length()
        )
        for name, bucket in self.allowances.buckets.items():
            metrics.record_tenant_level(name, bucket.level, self.node)

    def receive_status(self, status: roster_lib.NodeStatus) -> None:
        """Apply what another node tells.

        A node of an older build tells nothing, so it counts as not heard.
        """
        now = self.clock.now()
        if status_schedule.ALLOWANCES in status.capabilities:
            self.allowances.merge(
                status.node.name,
                status.node.incarnation,
                status.allowances,
                now,
            )
        if status.has_left:
            self.allowances.record_leaving(status.node.name, now)
