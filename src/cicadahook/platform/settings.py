"""Reads the settings file that the platform provides to each node."""

import datetime
import os
import pathlib
import tomllib
from typing import Any, Final

from cicadahook.core import errors
from cicadahook.core import node_lifecycle
from cicadahook.core import tenants
from cicadahook.platform import messages

SETTINGS_VARIABLE: Final = "CICADAHOOK_BOOT"
DEFAULT_PATH: Final = "/etc/cicadahook/node.toml"


def read() -> node_lifecycle.NodeSettings:
    """Return the settings of this process.

    Raises:
        errors.SettingsError: the file can't be read, or a field is missing or
            invalid.
    """
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    try:
        return decode(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, ValueError) as error:
        raise errors.SettingsError(f"{path}: {error}") from error


def decode(fields: dict[str, Any]) -> node_lifecycle.NodeSettings:
    """Return the settings in `fields`; unknown fields are ignored.

    Raises:
        errors.SettingsError: a field is missing or has an invalid value.
    """
    try:
        listen = fields["listen_addresses"]
        bounds = fields["bounds"]
        machine = fields.get("limits", {})
        return node_lifecycle.NodeSettings(
            name=str(fields["node_name"]),
            host=str(fields["ip_address"]),
            zone=str(fields["zone"]),
            region=str(fields["region"]),
            front_port=_read_port(listen["front"]),
            ready_port=_read_port(listen["ready"]),
            directory_port=_read_port(listen["directory"]),
            peer_port=int(fields["internal_port_range"][0]),
            store_address=str(fields["platform_settings"]["address"]),
            address_lifetime=_read_seconds(bounds["ttl_max_s"]),
            grace_period=_read_seconds(bounds["grace_period_s"]),
            # The holder of orders may not change again within this time.
            handover_pause=messages.decode_milliseconds(bounds["lease_ms"]),
            retry_ratio=float(bounds["retry_budget_ratio"]),
            retry_slack=float(bounds["retry_budget_slack"]),
            retry_window=_read_seconds(bounds["budget_window_s"]),
            load_window=_read_seconds(bounds["ceiling_window_s"]),
            is_first_start=bool(fields.get("first_start", False)),
            allowance_window=tenants.AllowanceWindow(
                _read_seconds(bounds.get("quota_window_s", 0)),
                float(bounds.get("quota_slack", 0)),
            ),
            link_mbps=float(machine.get("link_mbps", 0.0)),
            memory_mb=int(machine.get("memory_mb", 0)),
            file_descriptors=int(machine.get("file_descriptors", 0)),
        )
    except (AttributeError, LookupError, TypeError, ValueError) as error:
        raise errors.SettingsError(f"bad settings: {error!r}") from error


def _read_port(address: str) -> int:
    return int(address.rsplit(":", 1)[1])


def _read_seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)
