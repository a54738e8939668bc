"""The operators' configuration: routes, services and what callers may send."""

from collections.abc import Iterator, Mapping
import dataclasses
import datetime
import enum
import functools
import random


class RouteKind(enum.StrEnum):
    """What may be repeated of the requests on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets `weight` parts of the requests of a route."""

    name: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path prefix.

    Attributes:
        name: unique name.
        host: value of the `Host` header, without port.
        prefix: path prefix; begins and ends with a slash.
        kind: what may be repeated.
        timeout: how long a caller is kept waiting at the most.
        target_latency: time within which an answer earns its full credit.
        priority: 0 is the most urgent.
        services: where the requests go.
        max_attempts: upstreams that may run one request.
        is_resumable: whether a stream may go on at another upstream.
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

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )

    def draw_service(self, generator: random.Random) -> str:
        """Return a service, drawn by weight."""
        names = [service.name for service in self.services]
        weights = [service.weight for service in self.services]
        return generator.choices(names, weights)[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that the engines of a service can hold.

    Attributes:
        name: unique name within the service.
        size_mb: accelerator memory of its weights.
        adapter_mb: accelerator memory of each of its adapters.
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
    """What the engines of a service have in common.

    Attributes:
        models: by name.
        memory_mb: accelerator memory of one engine.
        adapter_slots: adapters that one engine can hold.
        slots: requests that one engine runs at once.
        loads_per_second: loads that the weight store starts a second.
    """

    models: Mapping[str, Model]
    memory_mb: float
    adapter_slots: int
    slots: int
    loads_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A kind of upstream; `engines` is set for model engines only."""

    name: str
    engines: EnginePool | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of everything that operators set."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path` on `host`."""
        name = host.rsplit(":", 1)[0].lower() if ":" in host else host.lower()
        bare_path = path.split("?", 1)[0]
        for route in self._routes_by_host.get(name, ()):
            if bare_path.startswith(route.prefix):
                return route
        return None

    def list_engine_services(self) -> Iterator[Service]:
        """Yield the services whose upstreams are model engines."""
        for service in self.services.values():
            if service.engines is not None:
                yield service

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        """The routes of each host, those with the longest prefix first."""
        hosts: dict[str, list[Route]] = {}
        ordered = sorted(
            self.routes, key=lambda route: len(route.prefix), reverse=True
        )
        for route in ordered:
            hosts.setdefault(route.host.lower(), []).append(route)
        return hosts
