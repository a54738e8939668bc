"""Push of metrics over OTLP; imported only if an endpoint is set.

The exporter and its dependencies take several megabytes of memory, which a
process without an endpoint saves.
"""

from opentelemetry.exporter.otlp.proto.http import metric_exporter
from opentelemetry.sdk.metrics import export


def create_reader(endpoint: str) -> export.MetricReader:
    """Return a reader that pushes all metrics to the URL `endpoint`."""
    exporter = metric_exporter.OTLPMetricExporter(endpoint=endpoint)
    return export.PeriodicExportingMetricReader(exporter)
