"""Exports the measurements of a forwarding node through OpenTelemetry.

This module is loaded by the first scrape; see `instruments`.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest

from turmericyard_node.forwarding.instruments import (
    ANSWER_SECONDS,
    ANSWERS,
    COPIES,
    DROPPED,
    FIRST_SECONDS,
    GAP_SECONDS,
    HEDGES,
    HEDGES_REFUSED,
    SENDS,
    STOPS,
    STREAMS,
    WAIT_SECONDS,
    Measurement,
)
from turmericyard_node.metrics import (
    FIRST_TOKEN_BUCKETS,
    INTERVAL_BUCKETS,
    QUEUE_BUCKETS,
    Gauges,
    bucket_view,
)

COUNTERS = (
    ANSWERS,
    SENDS,
    STREAMS,
    COPIES,
    STOPS,
    HEDGES,
    HEDGES_REFUSED,
    DROPPED,
)
#: Bucket bounds of each histogram, in seconds.
HISTOGRAM_BUCKETS = (
    (ANSWER_SECONDS, FIRST_TOKEN_BUCKETS),
    (WAIT_SECONDS, QUEUE_BUCKETS),
    (FIRST_SECONDS, FIRST_TOKEN_BUCKETS),
    (GAP_SECONDS, INTERVAL_BUCKETS),
)

Recorder = Callable[[float, dict[str, Any]], None]


@dataclass(slots=True)
class MetricsExporter:
    """Records measurements in OpenTelemetry instruments.

    `recorders` has the recording function of each instrument by its name.
    """

    registry: CollectorRegistry
    gauges: Gauges
    recorders: dict[str, Recorder] = field(default_factory=dict)

    def record(self, measurement: Measurement) -> None:
        """Add a measurement to its instrument."""
        record = self.recorders[measurement.instrument]
        record(measurement.amount, measurement.attributes)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


def create_exporter() -> MetricsExporter:
    """Return the exporter of one node, with a registry of its own."""
    registry = CollectorRegistry()
    provider = MeterProvider(
        [PrometheusMetricReader(registry=registry)],
        views=[
            bucket_view(name, buckets) for name, buckets in HISTOGRAM_BUCKETS
        ],
    )
    meter = provider.get_meter('turmericyard.forwarding')
    exporter = MetricsExporter(registry, Gauges(meter))
    for name in COUNTERS:
        exporter.recorders[name] = meter.create_counter(name).add
    for name, _ in HISTOGRAM_BUCKETS:
        exporter.recorders[name] = meter.create_histogram(name, 's').record
    return exporter
