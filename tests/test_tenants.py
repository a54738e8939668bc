"""Tests of tenants and their keys: decoding, access, what others are told."""

import json
from typing import Any

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from cicadahook.core import clock as clock_lib
from cicadahook.core import errors
from cicadahook.core import picture_age
from cicadahook.core import store_api
from cicadahook.core import tenants
from cicadahook.net import change_feed
from cicadahook.net import store_listeners
from cicadahook.net import store_relay_messages
from cicadahook.platform import messages

FARM = {
    "name": "farm",
    "api_keys": ["secret-1", "secret-2"],
    "priority": 0,
    "unit": "tokens",
    "plain_tokens": 200,
    "rate_per_s": 1000,
    "burst_size": 2000,
}
CONFIGURATION: dict[str, Any] = {
    "version": 3,
    "routes": [],
    "services": [],
    "tenants": [FARM],
}


def decode(listed: Any) -> tenants.TenantRegistry:
    """Return the registry of a configuration with these tenants."""
    value = json.dumps({**CONFIGURATION, "tenants": listed}).encode()
    return messages.decode_configuration(value).tenants


def find(
    registry: tenants.TenantRegistry,
    key: str,
    *,
    is_anonymous: bool = False,
    is_stale: bool = False,
) -> tenants.Tenant | None:
    """Return the tenant of a request with this key."""
    return tenants.find_tenant(
        registry,
        tenants.digest_key(key) if key else "",
        is_anonymous=is_anonymous,
        is_stale=is_stale,
    )


def test_a_key_names_its_tenant_with_priority_and_allowance() -> None:
    tenant = find(decode([FARM]), "secret-2")
    assert tenant == tenants.Tenant(
        "farm", 0, tenants.Allowance(1000, 2000, True, 200)
    )


@pytest.mark.parametrize("key", ["", "secret-3", "SECRET-1", "secret-1 "])
def test_callers_without_a_known_key_are_refused_for_good(key: str) -> None:
    with pytest.raises(errors.RefusalError) as refusal:
        find(decode([FARM]), key)
    assert (refusal.value.status, refusal.value.retry_after) == (401, None)


def test_anonymous_routes_need_no_key_but_know_one() -> None:
    registry = decode([FARM])
    assert find(registry, "", is_anonymous=True) is None
    assert find(registry, "other", is_anonymous=True) is None
    known = find(registry, "secret-1", is_anonymous=True)
    assert known is not None and known.name == "farm"


def test_a_key_that_may_be_newer_than_the_picture_is_not_refused_for_good() -> (
    None
):
    with pytest.raises(errors.RefusalError) as refusal:
        find(decode([FARM]), "fresh", is_stale=True)
    assert refusal.value.status == 503 and refusal.value.retry_after
    with pytest.raises(errors.RefusalError) as refusal:
        find(decode([FARM]), "", is_stale=True)
    assert refusal.value.status == 401


@pytest.mark.parametrize("listed", [None, []])
def test_without_tenants_nobody_needs_a_key(listed: Any) -> None:
    assert decode(listed) == tenants.NO_TENANTS
    assert find(decode(listed), "") is None


@pytest.mark.parametrize(
    "entry",
    [
        7,
        {},
        {"name": ""},
        {"name": "a\r\nX-Evil: 1", "api_keys": ["secret-9"]},
        {"name": "b", "api_keys": "secret-9"},
        {"name": "b", "api_keys": [["secret-9"]]},
        {"name": "b", "api_keys": ["secret-9"], "rate_per_s": -1},
        {"name": "b", "api_keys": ["secret-9"], "priority": "secret-9"},
        {"name": "b"},
        {"name": "b", "api_keys": []},
        {"name": "farm", "api_keys": ["secret-9"]},
        {"name": "b", "api_keys": ["secret-1"]},
    ],
)
def test_a_malformed_tenant_is_named_and_harms_no_other(entry: Any) -> None:
    registry = decode([FARM, entry])
    tenant = find(registry, "secret-1")
    assert tenant is not None and tenant.name == "farm"
    assert registry.problems
    assert "secret" not in "".join(registry.problems)
    with pytest.raises(errors.RefusalError):
        find(registry, "secret-9")


@pytest.mark.parametrize(
    "fields",
    [
        {"api_keys": "secret-9"},
        {"api_keys": ["secret-9", 7]},
        {"api_keys": ["secret-9"], "priority": "secret-9"},
        {"api_keys": ["secret-9"], "burst_size": -1},
    ],
)
def test_the_log_tells_the_name_of_a_malformed_tenant(fields: Any) -> None:
    """Only its number was told, which few operators can look up."""
    value = json.dumps(
        {**CONFIGURATION, "tenants": [FARM, {"name": "town", **fields}]}
    ).encode()
    told = messages.redact_item(messages.CONFIGURATION_KEY, value)
    for known in (value, told):
        (problem,) = messages.decode_configuration(known).tenants.problems
        assert "'town'" in problem and "secret" not in problem


def test_an_unknown_unit_means_no_limit() -> None:
    registry = decode([{**FARM, "unit": "bananas"}])
    tenant = find(registry, "secret-1")
    assert tenant is not None and tenant.allowance is None
    assert registry.problems


def test_a_tenant_may_have_a_thousand_keys() -> None:
    keys = [f"key-{number}" for number in range(1000)]
    registry = decode([{**FARM, "api_keys": keys}])
    assert all(find(registry, key) for key in keys)
    assert not registry.problems


def test_only_malformed_tenants_let_nobody_in() -> None:
    with pytest.raises(errors.RefusalError):
        find(decode([7]), "secret-1")


def test_other_nodes_are_told_digests_instead_of_keys() -> None:
    value = json.dumps(CONFIGURATION).encode()
    told = messages.redact_item(messages.CONFIGURATION_KEY, value)
    assert b"secret" not in told
    once = messages.decode_configuration(told)
    assert once == messages.decode_configuration(value)
    assert messages.redact_item(messages.CONFIGURATION_KEY, told) == told
    assert messages.redact_item("other", value) is value


def test_a_configuration_without_tenants_is_told_as_it_is() -> None:
    value = b'{"version":1,\t"routes":[],"services":[]}'
    assert messages.redact_item(messages.CONFIGURATION_KEY, value) is value


JSON_VALUES = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.just("secret-1"),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from(["name", "api_keys", "key_digests", "x"]),
        inner,
        max_size=3,
    ),
    max_leaves=8,
)


@hypothesis.given(JSON_VALUES)
def test_keys_in_key_lists_are_never_told(listed: Any) -> None:
    value = json.dumps({**CONFIGURATION, "tenants": listed}).encode()
    told = messages.redact_item(messages.CONFIGURATION_KEY, value)
    if not told:
        return
    for entry in msgspec.json.decode(told)["tenants"] or ():
        assert entry is None or "api_keys" not in entry


def decode_or_none(value: bytes) -> tenants.TenantRegistry | None:
    """Return the tenants of a configuration; None if it is ignored."""
    try:
        return messages.decode_configuration(value).tenants
    except messages.MessageError:
        return None


@pytest.mark.parametrize(
    "listed",
    [
        b"{}",
        b'""',
        b'"secret-9"',
        b'{"a":1}',
        b"7",
        b'[%s,{"name":"b","api_keys":["secret-9\xff"]}]',
        b'[%s,{"name":"b","api_keys":["secret-9"],"x":1e999}]',
        b'[%s,{"name":"b","api_keys":["secret-9",7]}]',
        b'[%s,{"name":"b","api_keys":"null"}]',
        b'[%s,{"name":"b","api_keys":["secret-9"],"key_digests":7}]',
        b"[%s," + b"[" * 900 + b"]" * 900 + b"]",
    ],
)
def test_followers_and_watchers_know_the_same_keys(listed: bytes) -> None:
    """A follower opened all routes, or knew fewer keys than the watcher."""
    value = json.dumps({**CONFIGURATION, "tenants": "LISTED"}).encode()
    listed = listed.replace(b"%s", json.dumps(FARM).encode())
    value = value.replace(b'"LISTED"', listed)
    told = messages.redact_item(messages.CONFIGURATION_KEY, value)
    assert b"secret" not in told
    known, watched = decode_or_none(told), decode_or_none(value)
    assert (known is None) == (watched is None)
    if known is not None and watched is not None:
        assert known.by_digest == watched.by_digest
        assert known.by_name == watched.by_name
        assert known.is_enforced == watched.is_enforced


async def test_a_watcher_tells_followers_no_key() -> None:
    clock = clock_lib.ManualClock()
    age = picture_age.PictureAge(clock)
    age.confirm(clock.now())
    feed = change_feed.ChangeFeed(lambda: True, age, messages.redact_item)
    item = store_api.Item(
        messages.CONFIGURATION_KEY,
        json.dumps(CONFIGURATION).encode(),
        store_api.Position(1, 5),
    )
    feed.apply_listing(
        store_api.Listing((item,), item.position), is_after_outage=False
    )
    change = store_api.Change(item.key, item.value, store_api.Position(1, 6))
    feed.apply_changes(store_api.Changes((change,), change.position))
    for after in (-1, 5):
        answer = await feed.answer(
            store_relay_messages.FollowRequest(after, era=1)
        )
        (row,) = answer.changes
        assert row.value is not None and b"secret" not in row.value
        assert find(
            messages.decode_configuration(row.value).tenants, "secret-1"
        )


def test_a_node_never_returns_to_a_version_with_a_withdrawn_key() -> None:
    applied: list[Any] = []
    listener = store_listeners.ConfigurationListener(
        messages.decode_configuration, applied.append
    )
    without = {**CONFIGURATION, "version": 4, "tenants": [{"name": "farm"}]}
    for revision, value in enumerate((CONFIGURATION, without, CONFIGURATION)):
        position = store_api.Position(1, revision + 1)
        item = store_api.Item("c", json.dumps(value).encode(), position)
        listener.apply_listing(
            store_api.Listing((item,), position), is_after_outage=False
        )
    with pytest.raises(errors.RefusalError):
        find(applied[-1].tenants, "secret-1")


def test_a_caller_without_a_key_is_no_tenant_with_an_empty_digest() -> None:
    """It was taken for the holder of an empty entry in `key_digests`."""
    registry = decode([{"name": "town", "key_digests": [""]}])
    with pytest.raises(errors.RefusalError):
        find(registry, "")
    assert find(registry, "", is_anonymous=True) is None
