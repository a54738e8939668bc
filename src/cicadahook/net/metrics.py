"""OpenTelemetry metrics, served in the Prometheus text format."""

import datetime
import functools
import importlib
from typing import Any, Final

from aiohttp import web
from opentelemetry import metrics
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics import export
import prometheus_client

METER_NAME: Final = "cicadahook"
OTLP_MODULE: Final = "cicadahook.net.otlp"


def setup(otlp_endpoint: str) -> None:
    """Collect metrics, and push them to `otlp_endpoint` unless it is empty."""
    readers: list[export.MetricReader] = [PrometheusMetricReader()]
    if otlp_endpoint:
        otlp = importlib.import_module(OTLP_MODULE)
        readers.append(otlp.create_reader(otlp_endpoint))
    metrics.set_meter_provider(MeterProvider(metric_readers=readers))


@functools.cache
def create_counter(name: str, description: str) -> metrics.Counter:
    """Return the counter called `name`."""
    return metrics.get_meter(METER_NAME).create_counter(
        name, description=description
    )


@functools.cache
def create_gauge(name: str, description: str) -> Any:
    """Return the gauge called `name`."""
    return metrics.get_meter(METER_NAME).create_gauge(
        name, description=description
    )


@functools.cache
def create_histogram(name: str, description: str) -> metrics.Histogram:
    """Return the histogram of seconds called `name`."""
    return metrics.get_meter(METER_NAME).create_histogram(
        name, unit="s", description=description
    )


def record_latency(name: str, span: datetime.timedelta, service: str) -> None:
    """Record how long a part of a request to `service` took."""
    histogram = create_histogram(name, "Latencies of requests, by service.")
    histogram.record(span.total_seconds(), {"service": service})


def record_answer(
    service: str,
    received: datetime.datetime,
    first_piece: datetime.datetime | None,
    end: datetime.datetime,
) -> None:
    """Record how long an answer and its first piece took."""
    if first_piece is not None:
        record_latency("cicada_first_piece", first_piece - received, service)
    record_latency("cicada_answer", end - received, service)


def record_wait(
    expected: datetime.timedelta, actual: datetime.timedelta
) -> None:
    """Record how long a wait for a copy was expected to take, and took."""
    histogram = create_histogram(
        "cicada_copy_wait", "Waits for copies, as expected and actual."
    )
    histogram.record(expected.total_seconds(), {"kind": "expected"})
    histogram.record(actual.total_seconds(), {"kind": "actual"})


def count_watch_answer(source: str) -> None:
    """Count an answer on changes in the store, by who gave it."""
    counter = create_counter(
        "cicada_watch_answers",
        "Answers on changes in the store, by source: the store or a node.",
    )
    counter.add(1, {"source": source})


def record_picture_age(age: datetime.timedelta, source: str) -> None:
    """Record how old the picture of the store was before an answer."""
    histogram = create_histogram(
        "cicada_picture_age",
        "Age of a node's picture of the store at the next answer, by source.",
    )
    histogram.record(age.total_seconds(), {"source": source})


def record_loop_delay(delay: datetime.timedelta) -> None:
    """Record how late the event loop ran a timer."""
    histogram = create_histogram(
        "cicada_loop_delay", "Delays of timers by a busy event loop."
    )
    histogram.record(delay.total_seconds())


def count_store_era(node: str, source: str) -> None:
    """Count an era of the store that began while this node ran.

    Args:
        node: name of this node.
        source: "store" if the store named the era itself, else "node".
    """
    counter = create_counter(
        "cicada_store_eras",
        "Returns of the store from an older copy of itself, by who named them.",
    )
    counter.add(1, {"node": node, "source": source})


def count_surplus(place: str) -> None:
    """Count a connection that ended because of bytes that were not due."""
    counter = create_counter(
        "cicada_surplus_bytes",
        "Connections on which bytes came that belong to no answer.",
    )
    counter.add(1, {"place": place})


def count_body_end(body_end: str, node: str) -> None:
    """Count an answer of an upstream by what tells where its body ends."""
    counter = create_counter(
        "cicada_answer_ends",
        "Answers of upstreams to callers, by what tells where they end.",
    )
    counter.add(1, {"body_end": body_end, "node": node})


def count_end_check(verdict: str, node: str) -> None:
    """Count an answer without a length by what its end was found to be."""
    counter = create_counter(
        "cicada_end_checks",
        "Answers that ended with their connection, by verdict on the end.",
    )
    counter.add(1, {"verdict": verdict, "node": node})


def count_unproven_refusal(reason: str, node: str) -> None:
    """Count a refusal that does not prove that its request has not run."""
    counter = create_counter(
        "cicada_unproven_refusals",
        "Answers that say `not run` without proof for their request.",
    )
    counter.add(1, {"reason": reason, "node": node})


def count_refusal(code: str, node: str) -> None:
    """Count a request refused for the reason `code` on `node`."""
    counter = create_counter(
        "cicada_refusals", "Requests refused, by reason and node."
    )
    counter.add(1, {"reason": code, "node": node})


def count_charge(tenant: str, cost: float, node: str) -> None:
    """Count what a request was charged to its tenant."""
    counter = create_counter(
        "cicada_tenant_charged", "Units charged, by tenant and node."
    )
    counter.add(cost, {"tenant": tenant, "node": node})


def count_refund(tenant: str, cost: float, node: str) -> None:
    """Count what was given back for a request that was not run."""
    counter = create_counter(
        "cicada_tenant_refunded",
        "Units given back for requests that were not run, by tenant and node.",
    )
    counter.add(cost, {"tenant": tenant, "node": node})


def count_tenant_refusal(tenant: str, reason: str, node: str) -> None:
    """Count a request over the allowance of its tenant."""
    counter = create_counter(
        "cicada_tenant_refusals",
        "Requests over the allowance, by tenant, reason and node.",
    )
    counter.add(1, {"tenant": tenant, "reason": reason, "node": node})


def record_tenant_level(tenant: str, level: float, node: str) -> None:
    """Record what is left of an allowance, as far as a node knows."""
    gauge = create_gauge(
        "cicada_tenant_level", "Units left at all nodes, by tenant and node."
    )
    gauge.set(level, {"tenant": tenant, "node": node})


def count_retry(reason: str, node: str) -> None:
    """Count a retry made for `reason` on `node`."""
    counter = create_counter(
        "cicada_retries", "Further attempts, by reason and node."
    )
    counter.add(1, {"reason": reason, "node": node})


async def serve(request: web.BaseRequest) -> web.Response:
    """Respond with all metrics in the Prometheus text format."""
    del request
    return web.Response(
        body=prometheus_client.generate_latest(),
        headers={"Content-Type": prometheus_client.CONTENT_TYPE_LATEST},
    )


def count_resumption(source: str, node: str) -> None:
    """Count a stream resumed by its caller, by where its origin is known."""
    counter = create_counter(
        "cicada_resumptions",
        "Streams that callers resume, by the source of their origin.",
    )
    counter.add(1, {"source": source, "node": node})


def count_stored_origins(count: int, node: str) -> None:
    """Count streams whose origin `node` has written to the store."""
    counter = create_counter(
        "cicada_stored_origins",
        "Streams whose software version was written to the store.",
    )
    counter.add(count, {"node": node})


def count_link_change(state: str, node: str) -> None:
    """Count a link from `node` to an upstream that was cut or came back."""
    counter = create_counter(
        "cicada_link_changes",
        "Links to upstreams that were cut or came back, by state.",
    )
    counter.add(1, {"state": state, "node": node})


def count_connection(node: str) -> None:
    """Count a connection that a node opened to an upstream."""
    counter = create_counter(
        "cicada_upstream_connections", "Connections opened to upstreams."
    )
    counter.add(1, {"node": node})


def count_relay(role: str, node: str) -> None:
    """Count a request that passed through a second node, by role of `node`."""
    counter = create_counter(
        "cicada_relayed_requests",
        "Requests sent through another node, and served for one.",
    )
    counter.add(1, {"role": role, "node": node})


def count_statement_change(statement: str, node: str) -> None:
    """Count a change of what an upstream says of itself to `node`."""
    counter = create_counter(
        "cicada_upstream_statement_changes",
        "What upstreams began, changed or stopped saying of themselves.",
    )
    counter.add(1, {"statement": statement, "node": node})


def count_limited_call(kind: str, node: str) -> None:
    """Count a request, order or report query within a request limit."""
    counter = create_counter(
        "cicada_limited_calls",
        "Calls to upstreams that name a request limit, by kind.",
    )
    counter.add(1, {"kind": kind, "node": node})


def count_client_limit(reason: str, node: str) -> None:
    """Count a client that met a limit of its connection on `node`."""
    counter = create_counter(
        "cicada_client_limits",
        "Clients that met a limit of their connection, by reason and node.",
    )
    counter.add(1, {"reason": reason, "node": node})
