"""Tests of decoding the platform's messages, settings and headers."""

import datetime
import json
from typing import Any

from aiohttp import web
import hypothesis
from hypothesis import strategies
import multidict
import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import forwarding
from cicadahook.core import routes
from cicadahook.core import version_records
from cicadahook.net import codec
from cicadahook.net import header_fields
from cicadahook.net import status_codec
from cicadahook.platform import caller_server
from cicadahook.platform import headers
from cicadahook.platform import messages
from cicadahook.platform import metadata_store
from cicadahook.platform import settings

INSTANCE: dict[str, Any] = {
    "service_name": "engines",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "models": [{"name": "m", "version": 3, "adapters": ["a1"]}],
    "available": {"in_memory": ["m"], "on_disk": ["m", "n"]},
    "sequence_number": 5,
    "born": 17,
}
SETTINGS: dict[str, Any] = {
    "node_name": "front-a-1",
    "ip_address": "10.0.0.2",
    "zone": "a",
    "region": "r",
    "zones": {"a": "r"},
    "internal_port_range": [7380, 7395],
    "listen_addresses": {
        "front": "10.0.0.2:8149",
        "ready": "10.0.0.2:8141",
        "directory": "10.0.0.2:8143",
    },
    "bounds": {
        "ttl_max_s": 5,
        "grace_period_s": 8,
        "lease_ms": 3000,
        "retry_budget_ratio": 0.2,
        "retry_budget_slack": 58,
        "budget_window_s": 10,
        "ceiling_window_s": 5,
        "ceiling_overage": 1.1,
    },
    "platform_settings": {"address": "10.200.1.7:8142"},
}


def test_decodes_an_instance() -> None:
    entry = messages.decode_instance("i-1", json.dumps(INSTANCE).encode())
    assert (entry.id, entry.address, entry.slots) == ("i-1", "10.0.0.1:80", 4)
    assert entry.holdings["m"].adapters == {"a1"}
    assert entry.on_disk == {"m", "n"}
    assert (entry.sequence, entry.born, entry.is_leaving) == (5, 17, False)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "dancing"},
        {"service_name": 7},
        {"address": "nowhere"},
        {"slots": "many"},
        {"models": 5},
        {"available": [1]},
    ],
)
def test_refuses_malformed_instances(change: dict[str, Any]) -> None:
    value = json.dumps({**INSTANCE, **change}).encode()
    with pytest.raises(messages.MessageError):
        messages.decode_instance("i-1", value)


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1:99999",
        "10.0.0.1:-1",
        "10.0.0.1:0",
        "10.0.0.1:",
        "10.0.0.1",
        ":80",
        "10.0.0.1\n:80",
        "10.0.0.1:8\u0660",
        "host name:80",
        "",
    ],
)
def test_refuses_addresses_that_no_upstream_can_have(address: str) -> None:
    value = json.dumps({**INSTANCE, "address": address}).encode()
    with pytest.raises(messages.MessageError):
        messages.decode_instance("i-1", value)


@pytest.mark.parametrize("name", ["", "a\r\nb", "a b", "\xe9", "i" * 201])
def test_refuses_ids_that_no_header_can_hold(name: str) -> None:
    with pytest.raises(messages.MessageError):
        messages.decode_instance(name, json.dumps(INSTANCE).encode())


NUMBERS = ("slots", "sequence_number", "born")
ODD_NUMBERS = ("1e999", "-1", "1.5", "9" * 400, "true", "null", '"4"', "NaN")


@pytest.mark.parametrize("number", ODD_NUMBERS)
@pytest.mark.parametrize("field", NUMBERS)
def test_refuses_numbers_that_are_out_of_range(field: str, number: str) -> None:
    text = json.dumps({**INSTANCE, field: "here"}).replace('"here"', number)
    with pytest.raises(messages.MessageError):
        messages.decode_instance("i-1", text.encode())


CHARACTERS = "m1:/.-\n \xe9"
PLAIN_VALUES = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(CHARACTERS, max_size=8)
)
VALUES = strategies.recursive(
    PLAIN_VALUES,
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(
        strategies.text(CHARACTERS, max_size=8), inner, max_size=3
    ),
    max_leaves=8,
)
DEEP = strategies.sampled_from(
    [
        b"[" * 50_000,
        b'{"models":' * 50_000,
        b'{"x":' * 5000 + b"1" + b"}" * 5000,
    ]
)


@hypothesis.given(
    strategies.dictionaries(strategies.sampled_from([*INSTANCE]), VALUES)
)
def test_an_entry_of_another_writer_is_an_upstream_or_refused(
    change: dict[str, Any],
) -> None:
    value = json.dumps({**INSTANCE, **change}).encode()
    try:
        entry = messages.decode_instance("i-1", value)
    except messages.MessageError:
        return
    host, port = entry.address.rsplit(":", 1)
    assert host and 0 < int(port) < 65536
    assert 0 < entry.slots < 2**31
    assert 0 <= entry.born < 2**63 and 0 <= entry.sequence < 2**63


@hypothesis.given(strategies.binary() | DEEP)
def test_no_bytes_of_others_leave_as_another_error(value: bytes) -> None:
    for decode in (
        messages.decode_configuration,
        messages.decode_report,
        lambda data: messages.decode_instance("i-1", data),
    ):
        with pytest.raises(messages.MessageError):
            decode(value)
    assert version_records.decode_record(value, 1) is None
    with pytest.raises(codec.DecodeError):
        status_codec.decode(value)


@pytest.mark.parametrize("value", [b"\xff", b"[]", b"7", b"{}", b"[" * 9999])
def test_refuses_unreadable_values(value: bytes) -> None:
    with pytest.raises(messages.MessageError):
        messages.decode_instance("i-1", value)
    with pytest.raises(messages.MessageError):
        messages.decode_configuration(value)


def test_decodes_a_split_route() -> None:
    value = {
        "version": 3,
        "routes": [
            {
                "hostname": "h",
                "path_prefix": "/p/",
                "route_kind": "streaming",
                "timeout_ms": 800,
                "traffic_split": [
                    {"service_name": "a", "weight": 90},
                    {"service_name": "b", "weight": 10},
                ],
                "resumable": True,
            }
        ],
        "services": [{"name": "a", "health_path": "/h"}],
    }
    decoded = messages.decode_configuration(json.dumps(value).encode())
    (route,) = decoded.routes
    assert [part.name for part in route.services] == ["a", "b"]
    assert route.timeout == datetime.timedelta(milliseconds=800)
    assert route.is_repeatable and route.kind is routes.RouteKind.STREAMING


def test_decodes_settings_and_ignores_unknown_fields() -> None:
    decoded = settings.decode({**SETTINGS, "fresh": 1})
    assert decoded.peer_address == "10.0.0.2:7380"
    assert decoded.front_address == "10.0.0.2:8149"
    assert decoded.handover_pause == datetime.timedelta(seconds=3)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("listen_addresses", {}),
        ("internal_port_range", []),
        ("bounds", {"ttl_max_s": "x"}),
        ("platform_settings", 3),
    ],
)
def test_refuses_bad_settings(name: str, value: object) -> None:
    with pytest.raises(errors.SettingsError):
        settings.decode({**SETTINGS, name: value})


def test_decodes_the_size_of_a_machine_that_older_files_do_not_state() -> None:
    assert settings.decode(SETTINGS).memory_mb == 0
    limits = {"memory_mb": 160, "file_descriptors": 1638}
    decoded = settings.decode({**SETTINGS, "limits": limits})
    assert (decoded.memory_mb, decoded.file_descriptors) == (160, 1638)


def test_decodes_a_generation() -> None:
    given = multidict.CIMultiDictProxy(
        multidict.CIMultiDict(
            {
                "x-model": "m/a3",
                "X-Token-Counts": "1460,80",
                "X-Prompt-Prefix": "5c1e:800,91bd:410",
            }
        )
    )
    assert headers.decode_generation(given) == forwarding.Generation(
        "m",
        "a3",
        1460,
        80,
        (
            forwarding.PromptPart("5c1e", 800),
            forwarding.PromptPart("91bd", 410),
        ),
    )


def test_strips_headers_named_by_connection() -> None:
    given = [("Connection", "close, X-One"), ("X-One", "1"), ("X-Two", "2")]
    assert header_fields.strip_hop_by_hop_headers(given) == (("X-Two", "2"),)


@pytest.mark.parametrize("value", [None, 7, ["x"], {"x": 1}, "not base64"])
async def test_a_malformed_value_does_not_hide_the_other_items(
    unused_port: int, value: Any
) -> None:
    async def list_items(request: web.BaseRequest) -> web.Response:
        del request
        return web.json_response(
            {
                "items": [
                    {"key": "a", "revision": 1, "value": value},
                    {"key": "b", "revision": 2, "value": "Yg=="},
                ],
                "at": 2,
            }
        )

    async with caller_server.listen(
        web.Server(list_items), "127.0.0.1", unused_port
    ):
        store = metadata_store.PlatformStore(
            f"127.0.0.1:{unused_port}", clock_lib.ManualClock()
        )
        listing = await store.list_items("")
        await store.close()
    assert [item.value for item in listing.items] == [b"", b"b"]
