"""The operators' configuration: routes, services, models, caller limits."""

from collections.abc import Iterator, Mapping
import dataclasses
import datetime
import enum
import functools
import random
from typing import Final

from cicadahook.core import tenants as tenants_lib

# Callers of a stream leave after the longest of these without an event: a fixed
# time, and multiples of the route's target latency and target pause.
MIN_PATIENCE: Final = datetime.timedelta(seconds=2)
PATIENCE_PER_TARGET: Final = 4
PATIENCE_PER_PAUSE: Final = 8
# Decoded models that are kept for the next version of a configuration, in which
# most of its hundreds of models are the same.
MAX_KEPT_MODELS: Final = 4096


class RouteKind(enum.StrEnum):
    """Whether requests on a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives requests of a route in proportion to `weight`."""

    name: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route: requests to one host below one path prefix.

    Attributes:
        name: unique name.
        host: value of the `Host` header, without port.
        prefix: path prefix; begins and ends with a slash.
        kind: whether requests may be repeated.
        timeout: maximum time for which a caller waits for an answer.
        target_latency: latency up to which an answer counts in full.
        priority: 0 is the most urgent.
        services: services that receive the requests.
        max_attempts: maximum number of upstreams that may run one request.
        is_resumable: whether a stream may be continued by another upstream.
        target_pause: longest pause between the events of a stream for which its
            answer still counts in full; 0 if not stated.
        is_anonymous: whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: datetime.timedelta
    target_latency: datetime.timedelta
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    is_resumable: bool = False
    target_pause: datetime.timedelta = datetime.timedelta()
    is_anonymous: bool = False

    @property
    def patience(self) -> datetime.timedelta:
        """Return the time without an event after which callers leave.

        It holds for the first event of a stream too. Callers of other routes
        wait until the timeout.
        """
        if self.kind is not RouteKind.STREAMING:
            return self.timeout
        patience = max(
            MIN_PATIENCE,
            PATIENCE_PER_TARGET * self.target_latency,
            PATIENCE_PER_PAUSE * self.target_pause,
        )
        return min(self.timeout, patience)

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )

    def draw_service(self, generator: random.Random) -> str:
        """Return the name of a service, drawn by weight."""
        names = [service.name for service in self.services]
        weights = [service.weight for service in self.services]
        return generator.choices(names, weights)[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that the engines of a service can hold.

    Attributes:
        name: unique name within the service.
        size_mb: accelerator memory of its weights, in MB.
        adapter_mb: accelerator memory of each of its adapters, in MB.
        adapters: names of its adapters.
        store_load: time to load it from the weight store.
        disk_load: time to load it from the disk of the upstream.
        memory_load: time to load it from the memory of the upstream.
    """

    name: str
    size_mb: float
    adapter_mb: float
    adapters: frozenset[str]
    store_load: datetime.timedelta
    disk_load: datetime.timedelta
    memory_load: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class EnginePool:
    """Properties that all engines of a service share.

    Attributes:
        models: models that the engines can hold, by name.
        memory_mb: accelerator memory of one engine, in MB.
        adapter_slots: number of adapters that one engine can hold.
        slots: number of requests that one engine runs at once.
        loads_per_second: loads that the weight store starts per second.
    """

    models: Mapping[str, Model]
    memory_mb: float
    adapter_slots: int
    slots: int
    loads_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that upstreams provide.

    Attributes:
        name: unique name.
        engines: properties of its engines; None if its upstreams are not model
            engines.
    """

    name: str
    engines: EnginePool | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests and on the time of receiving them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
    tenants: tenants_lib.TenantRegistry = tenants_lib.NO_TENANTS

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path` on `host`."""
        name = host.rsplit(":", 1)[0].lower() if ":" in host else host.lower()
        bare_path = path.split("?", 1)[0]
        for route in self._routes_by_host.get(name, ()):
            if bare_path.startswith(route.prefix):
                return route
        return None

    def get_read_limit(self, host: str, path: str) -> datetime.timedelta:
        """Return the time within which a request must have been read.

        It is the time limit of the route, so that a refusal reaches the caller.
        """
        route = self.find_route(host, path)
        return route.timeout if route else self.limits.idle_timeout

    def list_engine_services(self) -> Iterator[Service]:
        """Yield the services whose upstreams are model engines."""
        for service in self.services.values():
            if service.engines is not None:
                yield service

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        """The routes of each host, the longest prefix first."""
        hosts: dict[str, list[Route]] = {}
        ordered = sorted(
            self.routes, key=lambda route: len(route.prefix), reverse=True
        )
        for route in ordered:
            hosts.setdefault(route.host.lower(), []).append(route)
        return hosts
