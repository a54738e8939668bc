"""Decodes tenants, and replaces keys by digests in what nodes tell others."""

from typing import Annotated, Final

import msgspec

from cicadahook.core import number_limits as limits
from cicadahook.core import tenants as tenants_lib

TENANTS_FIELD: Final = "tenants"
KEYS_FIELD: Final = "api_keys"
# Written by nodes in place of the keys.
DIGESTS_FIELD: Final = "key_digests"
TOKEN_UNIT: Final = "tokens"
UNITS: Final = (None, "", "requests", TOKEN_UNIT)

# Upstreams get the name in a header.
Name = Annotated[str, msgspec.Meta(max_length=200, pattern=r"^[ -~]+\Z")]

TEXTS: Final = msgspec.json.Decoder(tuple[str, ...] | None, strict=False)


class NameField(msgspec.Struct, frozen=True):
    """The name of a tenant, whatever the other fields are."""

    name: Name


class TenantFields(NameField, frozen=True):
    """A tenant of the configuration.

    Attributes:
        plain_tokens: tokens that a request counts for that names none.
        rate_per_s: units a second; 0 for no limit.
        key_digests: what other nodes tell instead of the keys.
    """

    api_keys: tuple[str, ...] | None = None
    key_digests: tuple[str, ...] | None = None
    priority: limits.Natural | None = None
    unit: str | None = None
    plain_tokens: limits.Natural | None = None
    rate_per_s: limits.Amount | None = None
    burst_size: limits.Amount | None = None


def decode_tenants(value: msgspec.Raw) -> tenants_lib.TenantRegistry:
    """Return the tenants in a field of the configuration.

    Malformed entries are left out; the registry names them.

    Raises:
        ValueError: the field is no list.
    """
    entries = msgspec.json.decode(value, type=list[msgspec.Raw] | None)
    if not entries:
        return tenants_lib.NO_TENANTS
    decoded, problems = [], []
    for number, entry in enumerate(entries):
        try:
            fields = msgspec.json.decode(entry, type=TenantFields, strict=False)
        except (ValueError, RecursionError):
            # The error may quote the value at fault, which may be a key.
            problems.append(f"{_describe(number, entry)} is malformed")
            continue
        if fields.unit not in UNITS:
            problems.append(f"tenant {fields.name!r} has an unknown unit")
        digests = [
            *map(tenants_lib.digest_key, fields.api_keys or ()),
            *(fields.key_digests or ()),
        ]
        decoded.append((_create_tenant(fields), digests))
    return tenants_lib.create_registry(decoded, problems)


def _describe(number: int, entry: msgspec.Raw) -> str:
    """Return the name of a malformed entry, or its number if it has none."""
    try:
        return f"tenant {msgspec.json.decode(entry, type=NameField).name!r}"
    except (ValueError, RecursionError):
        return f"entry {number}"


def _create_tenant(fields: TenantFields) -> tenants_lib.Tenant:
    """Return a tenant; one with an unknown unit is not limited."""
    allowance = None
    if fields.rate_per_s and fields.unit in UNITS:
        allowance = tenants_lib.Allowance(
            rate=limits.cap_amount(fields.rate_per_s),
            burst=limits.cap_amount(fields.burst_size or 0.0),
            counts_tokens=fields.unit == TOKEN_UNIT,
            default_tokens=limits.cap_count(fields.plain_tokens or 0),
        )
    return tenants_lib.Tenant(
        fields.name, limits.cap_priority(fields.priority), allowance
    )


def redact_keys(value: bytes) -> bytes:
    """Return a configuration with digests instead of keys.

    A value that is no configuration may hold keys too and becomes empty. What
    this node leaves out is left out by those that read the result.
    """
    try:
        fields = msgspec.json.decode(value, type=dict[str, msgspec.Raw])
        entries = msgspec.json.decode(
            fields.get(TENANTS_FIELD, b"null"), type=list[msgspec.Raw] | None
        )
        if entries is None:
            return value
        fields[TENANTS_FIELD] = msgspec.Raw(
            msgspec.json.encode([_redact(entry) for entry in entries])
        )
        return msgspec.json.encode(fields)
    except (ValueError, RecursionError):
        return b""


def _redact(entry: msgspec.Raw) -> msgspec.Raw | None:
    """Return an entry of the tenants without its keys."""
    try:
        fields = msgspec.json.decode(entry, type=dict[str, msgspec.Raw])
    except (ValueError, RecursionError):
        return None
    keys = fields.pop(KEYS_FIELD, None)
    if keys is None:
        return entry
    digests: list[str] | bool
    try:
        known = fields.get(DIGESTS_FIELD, b"null")
        digests = [
            *map(tenants_lib.digest_key, TEXTS.decode(keys) or ()),
            *(TEXTS.decode(known) or ()),
        ]
    except (ValueError, RecursionError):
        # No list, so that the entry stays malformed.
        digests = False
    fields[DIGESTS_FIELD] = msgspec.Raw(msgspec.json.encode(digests))
    return msgspec.Raw(msgspec.json.encode(fields))
