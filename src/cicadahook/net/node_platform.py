"""Interfaces of the platform that a node runs on."""

from collections.abc import Callable
import dataclasses
import datetime
from typing import Protocol

from cicadahook.core import inventory as inventory_lib
from cicadahook.core import routes
from cicadahook.core import store_api
from cicadahook.core import upstream_statements
from cicadahook.net import change_feed
from cicadahook.net import order_sender
from cicadahook.net import upstream_links


class UpstreamClient(
    upstream_links.LinkClient, order_sender.EngineApi, Protocol
):
    """Client of the upstreams for requests, orders and reports.

    Attributes:
        statement_listener: called with each answer's upstream, what it says
            of itself and when the call was sent.
    """

    statement_listener: Callable[
        [
            inventory_lib.Instance,
            upstream_statements.Statement,
            datetime.datetime,
        ],
        None,
    ]


@dataclasses.dataclass(frozen=True)
class Platform:
    """Interfaces and key names of the platform that a node runs on.

    Attributes:
        store: the platform's store.
        upstreams: client of the upstreams.
        configuration_key: key of the operators' configuration.
        instance_prefix: key prefix below which upstreams register themselves.
        decode_configuration: decodes the value of `configuration_key`.
        decode_instance: decodes an item below `instance_prefix`, given the
            instance id.
        redact: returns the value of a key as other nodes may know it.
    """

    store: store_api.Store
    upstreams: UpstreamClient
    configuration_key: str
    instance_prefix: str
    decode_configuration: Callable[[bytes], routes.Configuration]
    decode_instance: Callable[[str, bytes], inventory_lib.Instance]
    redact: change_feed.Redaction = change_feed.keep_value
