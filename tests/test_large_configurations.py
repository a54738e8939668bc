"""Tests of configurations with numbers that are larger than what is used."""

import copy
import datetime
import json
from typing import Any

import pytest

from cicadahook.platform import messages
import node_testbed

LARGE = 2**70
# Where the numbers of a configuration stand.
ROUTE_FIELDS = (
    "timeout_ms",
    "target_latency_ms",
    "target_gap_ms",
    "priority",
    "max_attempts",
)
ENGINE_FIELDS = ("slots", "weights_mb", "adapter_slots", "loads_per_s")
MODEL_FIELDS = (
    "weights_mb",
    "load_time_s",
    "disk_load_s",
    "warm_s",
    "adapters",
    "adapter_size_mb",
)
LIMIT_FIELDS = tuple(node_testbed.create_configuration()["limits"])
TENANT_FIELDS = ("priority", "plain_tokens", "rate_per_s", "burst_size")
TENANT = {"name": "t", "api_keys": ["k"], "unit": "tokens", "rate_per_s": 5}


def create_configuration() -> dict[str, Any]:
    """Return a configuration with all kinds of entries."""
    configuration = copy.deepcopy(node_testbed.create_configuration())
    configuration["routes"][1] = {
        **configuration["routes"][1],
        "traffic_split": [{"service_name": "plain", "weight": 1}],
    }
    return {**configuration, "tenants": [dict(TENANT)]}


def list_fields() -> list[tuple[tuple[Any, ...], str]]:
    """Return the path to an entry, and the name of a field, for each number."""
    engine = ("services", 1, "inference_engine")
    return [
        ((), "version"),
        (("routes", 1, "traffic_split", 0), "weight"),
        *((("routes", 0), name) for name in ROUTE_FIELDS),
        *((engine, name) for name in ENGINE_FIELDS),
        *(((*engine, "models", 0), name) for name in MODEL_FIELDS),
        *((("limits",), name) for name in LIMIT_FIELDS),
        *((("tenants", 0), name) for name in TENANT_FIELDS),
    ]


@pytest.mark.parametrize(("path", "name"), list_fields())
def test_a_large_number_keeps_no_configuration_from_being_applied(
    path: tuple[Any, ...], name: str
) -> None:
    """Guards against a limit of one field that rejects the whole."""
    fields = create_configuration()
    entry: Any = fields
    for step in path:
        entry = entry[step]
    entry[name] = LARGE
    decoded = messages.decode_configuration(json.dumps(fields).encode())
    assert len(decoded.routes) == len(fields["routes"])
    assert not decoded.tenants.problems
    now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    for route in decoded.routes:
        assert now + route.timeout + route.target_latency > now


@pytest.mark.parametrize("number", [-1, "many", 1.5, None])
def test_a_number_that_is_none_rejects_a_configuration(number: object) -> None:
    fields = create_configuration()
    fields["routes"][0]["max_attempts"] = number
    with pytest.raises(messages.MessageError):
        messages.decode_configuration(json.dumps(fields).encode())
