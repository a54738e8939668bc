"""Decodes the operators' configuration and the registrations of upstreams.

Others write these, so each field is checked against the schema here. What
passes can be used without a further check.
"""

import datetime
import functools
import ipaddress
import re
from typing import Annotated, Final, Literal

import msgspec

from cicadahook.core import engine_orders
from cicadahook.core import errors
from cicadahook.core import inventory
from cicadahook.core import number_limits as limits
from cicadahook.core import routes
from cicadahook.platform import tenant_messages

CONFIGURATION_KEY: Final = "op/config"
INSTANCE_PREFIX: Final = "servers/"
MAX_PORT: Final = 65535
# Ids are sent in headers.
INSTANCE_ID: Final = re.compile(r"[!-~]{1,200}")

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=1024)]
Text = Annotated[str, msgspec.Meta(max_length=1024)]
# Counters are sent on as 64-bit numbers.
Counter = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, lt=2**31)]


class MessageError(errors.CicadaError):
    """A message cannot be decoded or lacks a field."""


class HoldingFields(msgspec.Struct, frozen=True):
    """A model that an upstream holds."""

    name: Name
    version: Counter = 0
    adapters: tuple[Name, ...] | None = None


class CopyFields(msgspec.Struct, frozen=True):
    """Models of which an upstream keeps copies."""

    in_memory: tuple[Name, ...] | None = None
    on_disk: tuple[Name, ...] | None = None


class InstanceFields(msgspec.Struct, frozen=True):
    """A registration of an upstream.

    A draining entry also has `remaining_ms`, the time until its upstream ends;
    it is not used.

    Attributes:
        version: version of the upstream's software; models have versions of
            their own.
        sequence_number: number of orders that the engine has accepted since its
            start, not a version of this entry.
    """

    service_name: Name
    address: Text
    zone: Text
    slots: PositiveCount
    state: Literal["ready", "draining"]
    models: tuple[HoldingFields, ...] | None = None
    available: CopyFields | None = None
    sequence_number: Counter = 0
    born: Counter = 0
    version: Text = ""


class ReportFields(msgspec.Struct, frozen=True):
    """A report of an engine.

    Attributes:
        sequence_number: number of orders accepted since the engine's start.
        incoming: adapters that are being loaded, as MODEL/NAME@VERSION.
    """

    sequence_number: Counter
    busy: bool
    models: tuple[HoldingFields, ...]
    incoming: tuple[Name, ...] | None = None
    born: Counter = 0


class SplitFields(msgspec.Struct, frozen=True):
    """A service's part of a route."""

    service_name: Name
    weight: limits.Amount


class RouteFields(msgspec.Struct, frozen=True):
    """A route of the configuration."""

    hostname: Text
    path_prefix: Text
    route_kind: routes.RouteKind
    timeout_ms: limits.Amount
    name: Text = ""
    target_latency_ms: limits.Amount | None = None
    priority: limits.Natural = 5
    service_name: Text = ""
    traffic_split: tuple[SplitFields, ...] | None = None
    max_attempts: limits.Natural = 1
    resumable: bool | None = None
    target_gap_ms: limits.Amount | None = None
    anonymous_access: bool | None = None


class ModelFields(msgspec.Struct, frozen=True):
    """A model of an engine service.

    Attributes:
        adapters: number of its adapters, which are named a1, a2 and so on.
    """

    name: Name
    weights_mb: limits.Amount
    load_time_s: limits.Amount
    adapters: limits.Natural = 0
    adapter_size_mb: limits.Amount = 0
    disk_load_s: limits.Amount | None = None
    warm_s: limits.Amount | None = None


class EngineFields(msgspec.Struct, frozen=True):
    """The engines of a service."""

    weights_mb: limits.Amount
    models: tuple[ModelFields, ...] = ()
    adapter_slots: limits.Natural = 0
    slots: limits.Natural = 1
    loads_per_s: limits.Amount = 0


class ServiceFields(msgspec.Struct, frozen=True):
    """A service of the configuration."""

    name: Name
    inference_engine: EngineFields | None = None


class LimitFields(msgspec.Struct, frozen=True):
    """What callers may send."""

    max_header_bytes: limits.Natural | None = None
    max_body_bytes: limits.Natural | None = None
    header_timeout_ms: limits.Amount | None = None
    idle_timeout_ms: limits.Amount | None = None


class ConfigurationFields(msgspec.Struct, frozen=True):
    """The operators' configuration."""

    version: limits.Natural
    routes: tuple[RouteFields, ...]
    services: tuple[ServiceFields, ...]
    limits: LimitFields = LimitFields()
    tenants: msgspec.Raw = msgspec.Raw(b"null")


CONFIGURATIONS: Final = msgspec.json.Decoder(ConfigurationFields, strict=False)
INSTANCES: Final = msgspec.json.Decoder(InstanceFields)
REPORTS: Final = msgspec.json.Decoder(ReportFields)


def decode_configuration(value: bytes) -> routes.Configuration:
    """Return the configuration in `value`.

    Raises:
        MessageError: the value is not a valid configuration.
    """
    try:
        fields = CONFIGURATIONS.decode(value)
        services = (_create_service(entry) for entry in fields.services)
        return routes.Configuration(
            version=fields.version,
            routes=tuple(_create_route(route) for route in fields.routes),
            services={service.name: service for service in services},
            limits=_create_limits(fields.limits),
            tenants=tenant_messages.decode_tenants(fields.tenants),
        )
    except (ValueError, RecursionError) as error:
        raise MessageError(f"bad configuration: {error!r}") from error


def _create_limits(fields: LimitFields) -> routes.CallerLimits:
    defaults = routes.CallerLimits()

    def choose(count: int | None, default: int) -> int:
        return default if count is None else count

    def choose_time(
        milliseconds: float | None, default: datetime.timedelta
    ) -> datetime.timedelta:
        if milliseconds is None:
            return default
        return decode_milliseconds(milliseconds)

    return routes.CallerLimits(
        choose(fields.max_header_bytes, defaults.max_header_bytes),
        choose(fields.max_body_bytes, defaults.max_body_bytes),
        choose_time(fields.header_timeout_ms, defaults.header_timeout),
        choose_time(fields.idle_timeout_ms, defaults.idle_timeout),
    )


def _create_route(fields: RouteFields) -> routes.Route:
    """Return a route.

    Raises:
        ValueError: it names no service.
    """
    services = tuple(
        routes.WeightedService(row.service_name, limits.cap_amount(row.weight))
        for row in fields.traffic_split or ()
    )
    if not services:
        if not fields.service_name:
            raise ValueError(f"route {fields.name!r} names no service")
        services = (routes.WeightedService(fields.service_name, 1.0),)
    timeout = decode_milliseconds(fields.timeout_ms)
    return routes.Route(
        name=fields.name,
        host=fields.hostname,
        prefix=fields.path_prefix,
        kind=fields.route_kind,
        timeout=timeout,
        target_latency=decode_milliseconds(fields.target_latency_ms)
        if fields.target_latency_ms
        else timeout,
        priority=limits.cap_count(fields.priority),
        services=services,
        max_attempts=limits.cap_count(fields.max_attempts),
        is_resumable=bool(fields.resumable),
        target_pause=decode_milliseconds(fields.target_gap_ms or 0),
        is_anonymous=bool(fields.anonymous_access),
    )


def _create_service(fields: ServiceFields) -> routes.Service:
    engine = fields.inference_engine
    return routes.Service(
        fields.name, _create_engines(engine) if engine else None
    )


def _create_engines(fields: EngineFields) -> routes.EnginePool:
    models = (_create_model(model) for model in fields.models)
    return routes.EnginePool(
        models={model.name: model for model in models},
        memory_mb=limits.cap_amount(fields.weights_mb),
        adapter_slots=limits.cap_count(fields.adapter_slots),
        slots=limits.cap_count(fields.slots),
        loads_per_second=limits.cap_amount(fields.loads_per_s),
    )


@functools.lru_cache(routes.MAX_KEPT_MODELS)
def _create_model(fields: ModelFields) -> routes.Model:
    disk_load = fields.disk_load_s or fields.load_time_s
    return routes.Model(
        name=fields.name,
        size_mb=limits.cap_amount(fields.weights_mb),
        adapter_mb=limits.cap_amount(fields.adapter_size_mb),
        adapters=limits.name_adapters(fields.adapters),
        store_load=limits.create_duration(fields.load_time_s),
        disk_load=limits.create_duration(disk_load),
        memory_load=limits.create_duration(fields.warm_s or disk_load),
    )


def decode_instance(name: str, value: bytes) -> inventory.Instance:
    """Return the upstream that is registered as `name`.

    Raises:
        MessageError: the entry is malformed, as one of another writer may be,
            or its state is unknown.
    """
    try:
        if not INSTANCE_ID.fullmatch(name):
            raise ValueError("id")
        fields = INSTANCES.decode(value)
        available = fields.available or CopyFields()
        return inventory.Instance(
            id=name,
            service=fields.service_name,
            address=_check_address(fields.address),
            zone=fields.zone,
            slots=fields.slots,
            is_leaving=fields.state == "draining",
            holdings=_create_holdings(fields.models or ()),
            in_memory=frozenset(available.in_memory or ()),
            on_disk=frozenset(available.on_disk or ()),
            sequence=fields.sequence_number,
            born=fields.born,
            software=fields.version,
        )
    except (ValueError, RecursionError) as error:
        raise MessageError(f"bad entry of {name}: {error!r}") from error


def decode_report(value: bytes) -> engine_orders.EngineReport:
    """Return the report of an engine.

    Raises:
        MessageError: it is malformed.
    """
    try:
        fields = REPORTS.decode(value)
    except (ValueError, RecursionError) as error:
        raise MessageError(f"bad report: {error!r}") from error
    return engine_orders.EngineReport(
        sequence=fields.sequence_number,
        is_busy=fields.busy,
        holdings=_create_holdings(fields.models),
        incoming=frozenset(
            name.rsplit("@", 1)[0] for name in fields.incoming or ()
        ),
        born=fields.born,
    )


def _create_holdings(
    models: tuple[HoldingFields, ...],
) -> dict[str, inventory.Holding]:
    """Return the models that an upstream reports as loaded, by name."""
    return {
        model.name: inventory.Holding(
            model.name, model.version, frozenset(model.adapters or ())
        )
        for model in models
    }


def _check_address(address: str) -> str:
    """Return an address of the form `host:port`.

    Raises:
        ValueError: the host is no IPv4 address, or the port is out of range.
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"port {port[:10]!r}")
    return f"{ipaddress.IPv4Address(host)}:{int(port)}"


def redact_item(key: str, value: bytes) -> bytes:
    """Return an item's value without callers' keys, for other nodes."""
    if key != CONFIGURATION_KEY:
        return value
    return tenant_messages.redact_keys(value)


def decode_milliseconds(value: float) -> datetime.timedelta:
    """Return a number of milliseconds as a duration, a century at the most."""
    return limits.create_duration(float(value) / 1000)
