"""Push of metrics by OTLP; loaded only where an endpoint is set.

The exporter and what it needs take several megabytes, which a control
without an endpoint does not spend.
"""

from opentelemetry.exporter.otlp.proto.http import metric_exporter
from opentelemetry.sdk.metrics import export


def create_reader(endpoint: str) -> export.MetricReader:
    """Return a reader that pushes all metrics to the URL `endpoint`."""
    exporter = metric_exporter.OTLPMetricExporter(endpoint=endpoint)
    return export.PeriodicExportingMetricReader(exporter)
