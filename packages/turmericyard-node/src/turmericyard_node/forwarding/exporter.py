"""Exports the measurements of a forwarding node by OpenTelemetry.

Loaded by the first scrape; see `instruments`.
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
    SENDS,
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

COUNTERS = (ANSWERS, SENDS, STREAMS, COPIES, DROPPED)
#: Buckets of the histograms, in seconds.
BUCKETS = (
    (ANSWER_SECONDS, FIRST_TOKEN_BUCKETS),
    (WAIT_SECONDS, QUEUE_BUCKETS),
    (FIRST_SECONDS, FIRST_TOKEN_BUCKETS),
    (GAP_SECONDS, INTERVAL_BUCKETS),
)

Take = Callable[[float, dict[str, Any]], None]


@dataclass(slots=True)
class MetricsExporter:
    """Instruments by name, and the registry that renders them."""

    registry: CollectorRegistry
    gauges: Gauges
    takers: dict[str, Take] = field(default_factory=dict)

    def take(self, measurement: Measurement) -> None:
        """Add a measurement to its instrument."""
        take = self.takers[measurement.instrument]
        take(measurement.amount, measurement.attributes)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


def create_exporter() -> MetricsExporter:
    """Return the exporter of one node, with a registry of its own."""
    registry = CollectorRegistry()
    provider = MeterProvider(
        [PrometheusMetricReader(registry=registry)],
        views=[bucket_view(name, buckets) for name, buckets in BUCKETS],
    )
    meter = provider.get_meter('turmericyard.forwarding')
    exporter = MetricsExporter(registry, Gauges(meter))
    for name in COUNTERS:
        exporter.takers[name] = meter.create_counter(name).add
    for name, _ in BUCKETS:
        exporter.takers[name] = meter.create_histogram(name, 's').record
    return exporter
