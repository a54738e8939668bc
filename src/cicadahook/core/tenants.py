"""Tenants, the keys by which their callers are known, and who may use a route.

Keys are kept as digests only. A digest may be told to other nodes, a key may
not.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import datetime
import hashlib
from typing import Final

from cicadahook.core import errors

# A newer configuration reaches a node that lacks it about this soon.
STALE_RETRY_AFTER: Final = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """How much a tenant may use at all nodes together.

    Attributes:
        rate: units a second.
        burst: units beyond that may be used at once.
        counts_tokens: whether the unit is a token, and not a request.
        default_tokens: tokens that a request counts for that names none.
    """

    rate: float
    burst: float
    counts_tokens: bool = False
    default_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AllowanceWindow:
    """The span over which a deployment counts what tenants use.

    Attributes:
        length: the span; 0 if limits are plain rates with a burst.
        slack: units that are tolerated beyond a limit within it.
    """

    length: datetime.timedelta = datetime.timedelta()
    slack: float = 0.0

    def spread_burst(self, allowance: Allowance) -> Allowance:
        """Return an allowance that permits the same within each span.

        A tenant may use its burst in each span again. So the part of a burst
        that is larger than a second's rate and the slack adds to the rate:
        otherwise a tenant whose demand is steady would get it only once.
        """
        if not self.length:
            return allowance
        kept = min(allowance.burst, max(allowance.rate, self.slack))
        spread = (allowance.burst - kept) / self.length.total_seconds()
        return dataclasses.replace(
            allowance, rate=allowance.rate + spread, burst=kept
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose callers share a priority and an allowance.

    Attributes:
        name: unique name.
        priority: replaces that of routes, 0 is the most urgent; None if not
            stated.
        allowance: None if it is not limited.
    """

    name: str
    priority: int | None = None
    allowance: Allowance | None = None


@dataclasses.dataclass(frozen=True)
class TenantRegistry:
    """The tenants of one version of the configuration.

    Attributes:
        is_enforced: whether callers need keys.
        by_name: the tenants by name.
        by_digest: the tenant that holds each key, by the key's digest.
        problems: malformed entries, for the log.
    """

    is_enforced: bool = False
    by_name: Mapping[str, Tenant] = dataclasses.field(default_factory=dict)
    by_digest: Mapping[str, Tenant] = dataclasses.field(default_factory=dict)
    problems: tuple[str, ...] = ()


NO_TENANTS: Final = TenantRegistry()


def digest_key(key: str) -> str:
    """Return the digest of a key.

    Keys are long random texts, which no dictionary holds, so that the digest
    needs no salt.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def create_registry(
    entries: Iterable[tuple[Tenant, Iterable[str]]], problems: Iterable[str]
) -> TenantRegistry:
    """Return the registry of tenants and the digests of their keys.

    A key that several tenants hold belongs to the first of them, and so does a
    name.
    """
    found = list(problems)
    by_name: dict[str, Tenant] = {}
    by_digest: dict[str, Tenant] = {}
    for tenant, digests in entries:
        if tenant.name in by_name:
            found.append(f"tenant {tenant.name!r} is listed twice")
            continue
        by_name[tenant.name] = tenant
        listed = tuple(digests)
        if not listed:
            found.append(f"tenant {tenant.name!r} has no keys")
        for digest in listed:
            holder = by_digest.setdefault(digest, tenant)
            if holder is not tenant:
                found.append(
                    f"tenant {tenant.name!r} has a key of {holder.name!r}"
                )
    return TenantRegistry(True, by_name, by_digest, tuple(found))


def find_tenant(
    registry: TenantRegistry,
    digest: str,
    *,
    is_anonymous: bool,
    is_stale: bool,
) -> Tenant | None:
    """Return the tenant of a request, or None if it needs none.

    Args:
        registry: the tenants.
        digest: digest of the caller's key; empty if it sent none.
        is_anonymous: whether the route needs no key.
        is_stale: whether the node's picture of the configuration may lack a
            key.

    Raises:
        errors.RefusalError: the key is missing or unknown.
    """
    if not registry.is_enforced:
        return None
    tenant = registry.by_digest.get(digest) if digest else None
    if tenant is not None or is_anonymous:
        return tenant
    if digest and is_stale:
        # Callers repeat a request after 503, but not after 401, and the key may
        # just have been added.
        raise errors.RefusalError(
            "key_not_known_yet",
            "key not known yet",
            503,
            retry_after=STALE_RETRY_AFTER,
        )
    raise errors.RefusalError("unknown_key", "unknown key", 401)
