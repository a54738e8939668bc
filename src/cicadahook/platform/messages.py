"""Decodes the operators' configuration and the registrations of upstreams."""

from collections.abc import Iterable
import datetime
import json
from typing import Any, Final

from cicadahook.core import errors
from cicadahook.core import inventory
from cicadahook.core import routes

CONFIGURATION_KEY: Final = "op/config"
INSTANCE_PREFIX: Final = "servers/"

Fields = dict[str, Any]


class MessageError(errors.CicadaError):
    """A message cannot be decoded or lacks a field."""


def decode_configuration(value: bytes) -> routes.Configuration:
    """Return the configuration in `value`.

    Raises:
        MessageError: the value is not a valid configuration.
    """
    try:
        fields = json.loads(value)
        services = (_decode_service(entry) for entry in fields["services"])
        limits = fields.get("limits", {})
        return routes.Configuration(
            version=int(fields["version"]),
            routes=tuple(_decode_route(route) for route in fields["routes"]),
            services={service.name: service for service in services},
            limits=_decode_limits(limits),
        )
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise MessageError(f"bad configuration: {error!r}") from error


def _decode_limits(fields: Fields) -> routes.CallerLimits:
    defaults = routes.CallerLimits()
    return routes.CallerLimits(
        int(fields.get("max_header_bytes", defaults.max_header_bytes)),
        int(fields.get("max_body_bytes", defaults.max_body_bytes)),
        decode_milliseconds(fields["header_timeout_ms"])
        if "header_timeout_ms" in fields
        else defaults.header_timeout,
        decode_milliseconds(fields["idle_timeout_ms"])
        if "idle_timeout_ms" in fields
        else defaults.idle_timeout,
    )


def _decode_route(fields: Fields) -> routes.Route:
    if "traffic_split" in fields and fields["traffic_split"]:
        services = tuple(
            routes.WeightedService(part["service_name"], float(part["weight"]))
            for part in fields["traffic_split"]
        )
    else:
        services = (routes.WeightedService(fields["service_name"], 1.0),)
    timeout = decode_milliseconds(fields["timeout_ms"])
    return routes.Route(
        name=str(fields.get("name", "")),
        host=fields["hostname"],
        prefix=fields["path_prefix"],
        kind=routes.RouteKind(fields["route_kind"]),
        timeout=timeout,
        target_latency=decode_milliseconds(fields["target_latency_ms"])
        if fields.get("target_latency_ms")
        else timeout,
        priority=int(fields.get("priority", 5)),
        services=services,
        max_attempts=int(fields.get("max_attempts", 1)),
        is_resumable=bool(fields.get("resumable", False)),
        target_pause=decode_milliseconds(fields.get("target_gap_ms") or 0),
    )


def _decode_service(fields: Fields) -> routes.Service:
    engine = fields.get("inference_engine")
    return routes.Service(
        fields["name"], _decode_engines(engine) if engine else None
    )


def _decode_engines(fields: Fields) -> routes.EnginePool:
    models = (_decode_model(model) for model in fields.get("models", ()))
    return routes.EnginePool(
        models={model.name: model for model in models},
        memory_mb=float(fields["weights_mb"]),
        adapter_slots=int(fields.get("adapter_slots", 0)),
        slots=int(fields.get("slots", 1)),
        loads_per_second=float(fields.get("loads_per_s", 0)),
    )


def _decode_model(fields: Fields) -> routes.Model:
    # `adapters` is a count here; the adapters are named a1, a2 and so on.
    count = int(fields.get("adapters", 0))
    store_load = float(fields["load_time_s"])
    disk_load = float(fields.get("disk_load_s") or store_load)
    return routes.Model(
        name=fields["name"],
        size_mb=float(fields["weights_mb"]),
        adapter_mb=float(fields.get("adapter_size_mb", 0)),
        adapters=frozenset(f"a{number + 1}" for number in range(count)),
        store_load=datetime.timedelta(seconds=store_load),
        disk_load=datetime.timedelta(seconds=disk_load),
        memory_load=datetime.timedelta(
            seconds=float(fields.get("warm_s") or disk_load)
        ),
    )


def decode_instance(name: str, value: bytes) -> inventory.Instance:
    """Return the upstream that is registered as `name`.

    Raises:
        MessageError: the entry is malformed, as one of another writer may be,
            or its state is unknown.
    """
    try:
        fields = json.loads(value)
        state = fields["state"]
        if state not in ("ready", "draining"):
            raise ValueError(f"state {state!r}")
        available = fields.get("available") or {}
        host, port = fields["address"].rsplit(":", 1)
        return inventory.Instance(
            id=name,
            service=_check_text(fields["service_name"]),
            address=f"{host}:{int(port)}",
            zone=_check_text(fields["zone"]),
            slots=int(fields["slots"]),
            # A draining entry also has `remaining_ms`, the time until its
            # upstream ends; it is not used.
            is_leaving=state == "draining",
            holdings=decode_holdings(fields.get("models") or ()),
            in_memory=frozenset(available.get("in_memory") or ()),
            on_disk=frozenset(available.get("on_disk") or ()),
            # Number of orders that the engine has accepted since its start,
            # not a version of this entry.
            sequence=int(fields.get("sequence_number", 0)),
            born=int(fields.get("born", 0)),
            # Of the upstream's software; models have versions of their own.
            software=_check_text(fields.get("version", "")),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        RecursionError,
    ) as error:
        raise MessageError(f"bad entry of {name}: {error!r}") from error


def decode_holdings(
    models: Iterable[Fields],
) -> dict[str, inventory.Holding]:
    """Return the models that an upstream reports as loaded, by name."""
    return {
        model["name"]: inventory.Holding(
            model["name"],
            int(model.get("version", 0)),
            frozenset(model.get("adapters") or ()),
        )
        for model in models
    }


def _check_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"no text: {value!r}")
    return value


def decode_milliseconds(value: float) -> datetime.timedelta:
    """Return a number of milliseconds as a duration."""
    return datetime.timedelta(milliseconds=float(value))
