"""Settings of the daemons, read from flags and environment and validated."""

import sys
from typing import Annotated, Final, TypeVar

import pydantic
import pydantic_settings

from cicadahook.core import admission
from cicadahook.core import errors
from cicadahook.core import policies
from cicadahook.core import routing
from cicadahook.net import logs

ENVIRONMENT_PREFIX: Final = "CICADA_"
USAGE_EXIT_CODE: Final = 2
LOOPBACK_PREFIX: Final = "127."
DEFAULT_CLUSTER_KEY: Final = "cicadahook-on-loopback"

Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
Address = Annotated[str, pydantic.Field(pattern=r"^[^\s:/]+:\d{1,5}$")]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86400)]
SettingsT = TypeVar("SettingsT", bound="pydantic_settings.BaseSettings")


def _check_policy(kind: str, known: dict[str, object], value: str) -> str:
    if value not in known:
        allowed = ", ".join(sorted(known))
        raise ValueError(f"{kind} must be one of {allowed}")
    return value


def _check_routing(value: str) -> str:
    return _check_policy("routing policy", dict(routing.POLICIES), value)


def _check_placement(value: str) -> str:
    return _check_policy("placement policy", dict(policies.POLICIES), value)


class CommonSettings(pydantic_settings.BaseSettings):
    """Settings that all daemons have."""

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=ENVIRONMENT_PREFIX,
        cli_kebab_case=True,
        cli_implicit_flags=True,
        extra="forbid",
    )

    name: str = pydantic.Field(
        "vm1", min_length=1, description="name of this VM"
    )
    host: str = pydantic.Field(
        "127.0.0.1", description="IP address to listen on"
    )
    zone: str = pydantic.Field("zone1", description="availability zone")
    log_format: logs.LogFormat = pydantic.Field(
        logs.LogFormat.PLAIN, description="form of log lines"
    )
    log_level: str = pydantic.Field(
        "INFO",
        pattern="^(DEBUG|INFO|WARNING|ERROR)$",
        description="least severity logged: DEBUG, INFO, WARNING or ERROR",
    )
    otlp_endpoint: str = pydantic.Field(
        "", description="URL that metrics are pushed to by OTLP; empty: none"
    )
    cluster_key: str = pydantic.Field(
        DEFAULT_CLUSTER_KEY,
        min_length=8,
        validate_default=True,
        description="key shared by all daemons, by which they know each"
        " other; the default is allowed on loopback only",
    )

    @pydantic.field_validator("cluster_key")
    @classmethod
    def _check_cluster_key(
        cls, value: str, info: pydantic.ValidationInfo
    ) -> str:
        is_loopback = str(info.data.get("host")).startswith(LOOPBACK_PREFIX)
        if value == DEFAULT_CLUSTER_KEY and not is_loopback:
            raise ValueError("every fleet needs a key of its own")
        return value


class EntrySettings(CommonSettings):
    """Settings of cicada-entry."""

    port: Port = pydantic.Field(8401, description="TCP port to listen on")
    memory_mb: int = pydantic.Field(
        0, ge=0, description="memory of this VM in MB; 0: 512 are assumed"
    )
    controls: tuple[Address, ...] = pydantic.Field(
        ("127.0.0.1:8411",),
        min_length=1,
        description="host:port of the controls, this VM's own first",
    )
    keep_seconds: Seconds = pydantic.Field(
        5.0, description="seconds that callers may keep an address answer"
    )
    routing_policy: Annotated[str, pydantic.AfterValidator(_check_routing)] = (
        pydantic.Field("deadline", description="routing policy")
    )
    queue_limit: int = pydantic.Field(
        admission.QUEUE_LIMIT,
        ge=1,
        le=100_000,
        description="requests that may wait at this entry at once",
    )
    key_value: Address = pydantic.Field(
        "127.0.0.1:8420", description="host:port of the key-value service"
    )
    record_seconds: Seconds = pydantic.Field(
        3600.0,
        description="seconds after its issue that a key prefix is accepted",
    )
    record_count: int = pydantic.Field(
        20_000, ge=1, description="records of non-idempotent calls held"
    )
    record_answer_bytes: int = pydantic.Field(
        16_384, ge=0, description="bytes of a recorded answer at most"
    )
    drain_seconds: float | None = pydantic.Field(
        None,
        ge=0,
        le=86400,
        description="seconds that a stop waits for kept address answers to"
        " lapse; unset: keep_seconds and 3",
    )
    grace_seconds: Seconds | None = pydantic.Field(
        None,
        description="seconds from the stop signal until the supervisor kills"
        " this process; unset: it never does",
    )
    first_token_seconds: Seconds = pydantic.Field(
        3.0, description="seconds without a first token before a probe"
    )
    token_gap_seconds: Seconds = pydantic.Field(
        2.0, description="seconds without a further token before a probe"
    )


class ControlSettings(CommonSettings):
    """Settings of cicada-control."""

    port: Port = pydantic.Field(8411, description="TCP port to listen on")
    entry: Address = pydantic.Field(
        "127.0.0.1:8401", description="host:port of this VM's entry"
    )
    key_value: Address = pydantic.Field(
        "127.0.0.1:8420", description="host:port of the key-value service"
    )
    vm_list: Address = pydantic.Field(
        "127.0.0.1:8421", description="host:port of the VM list"
    )
    placement_policy: Annotated[
        str, pydantic.AfterValidator(_check_placement)
    ] = pydantic.Field("adaptive", description="placement policy")
    move_price: float = pydantic.Field(
        1.0,
        ge=0,
        description="requests in time that one move must earn",
    )
    operator_token: str = pydantic.Field(
        "",
        pattern=r"^[!-~]*$",
        description="token that operators must send to change anything;"
        " empty: none is asked for",
    )
    upstream_rate: float = pydantic.Field(
        0.0,
        ge=0,
        description="requests a second that an upstream serves in time; 0"
        " plans by the mean load",
    )
    loads_per_second: float = pydantic.Field(
        1.0,
        ge=0,
        description="loads that the weight store starts a second; 0: no limit",
    )
    active_loads: int = pydantic.Field(
        2,
        ge=0,
        description="loads that the weight store runs at once; 0: no limit",
    )
    peers: tuple[Address, ...] = pydantic.Field(
        (),
        description="host:port of other controls to join by, besides those"
        " registered in the key-value service",
    )
    key_value_calls: float = pydantic.Field(
        40.0,
        gt=0,
        description="calls a second that this VM may make to the key-value"
        " service in the long run",
    )


class LocalSettings(pydantic_settings.BaseSettings):
    """Settings of cicada-local: the whole system on loopback, to try it."""

    model_config = CommonSettings.model_config

    seconds: float = pydantic.Field(
        0.0,
        ge=0,
        description="stop gracefully after so many seconds; 0: at Ctrl-C",
    )
    base_port: int = pydantic.Field(
        8400,
        ge=1024,
        le=65000,
        description="entries listen from base port + 1, controls from + 11",
    )
    log_level: str = pydantic.Field(
        "WARNING",
        pattern="^(DEBUG|INFO|WARNING|ERROR)$",
        description="least severity logged: DEBUG, INFO, WARNING or ERROR",
    )


def parse(settings_type: type[SettingsT], arguments: list[str]) -> SettingsT:
    """Return the settings in `arguments` and the environment.

    Raises:
        errors.SettingsError: a value is not allowed; the error names the flag
            and the value.
    """
    try:
        return settings_type(_cli_parse_args=arguments)
    except pydantic.ValidationError as error:
        lines = [_describe(detail) for detail in error.errors()]
        raise errors.SettingsError("\n".join(lines)) from error
    except pydantic_settings.SettingsError as error:
        raise errors.SettingsError(str(error)) from error


def _describe(detail: object) -> str:
    """Return the flag, its value and what is allowed for a validation error."""
    assert isinstance(detail, dict), "pydantic lists errors as dicts"
    location = str(detail["loc"][0]) if detail["loc"] else "settings"
    name = location.lower().removeprefix(ENVIRONMENT_PREFIX.lower())
    flag = "--" + name.replace("_", "-")
    return f"{flag}: {detail['input']!r} is not allowed: {detail['msg']}"


def parse_or_exit(settings_type: type[SettingsT]) -> SettingsT:
    """Return the settings of this process, or exit with code 2."""
    try:
        return parse(settings_type, sys.argv[1:])
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(USAGE_EXIT_CODE)
