"""Metrics of a node, recorded by OpenTelemetry and read at each scrape."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from prometheus_client import REGISTRY, generate_latest

from turmericyard_node.interval_histogram import IntervalHistogram

#: Inclusive upper bounds of the buckets of the histograms, in seconds.
FIRST_TOKEN_BUCKETS = (
    0.05,
    0.1,
    0.2,
    0.4,
    0.6,
    0.8,
    1,
    1.2,
    1.5,
    2,
    3,
    5,
    10,
    30,
)
INTERVAL_BUCKETS = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.042,
    0.06,
    0.08,
    0.12,
    0.2,
    0.4,
    0.8,
    2,
    5,
)
QUEUE_BUCKETS = (0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30)

ValueSource = Callable[[], float]
ValuesSource = Callable[[], dict[str, float]]
#: Returns values with their labels.
LabelledSource = Callable[[], list[tuple[float, dict[str, str]]]]


@dataclass(slots=True)
class Metrics:
    """The instruments of a node."""

    requests: Any
    tokens: Any
    retries: Any
    first_token: Any
    token_interval: IntervalHistogram
    queue_wait: Any
    gauges: 'Gauges'


@dataclass(frozen=True, slots=True)
class Gauges:
    """Registers metrics whose values are read at each scrape."""

    meter: Any

    def gauge(self, name: str, unit: str, source: ValueSource) -> None:
        """Register a value that can rise and fall."""
        read = partial(observe_source, source)
        self.meter.create_observable_gauge(name, [read], unit=unit)

    def gauge_by(
        self, name: str, unit: str, label: str, source: ValuesSource
    ) -> None:
        """Register values that can rise and fall, one for each label."""
        read = partial(observe_values, source, label)
        self.meter.create_observable_gauge(name, [read], unit=unit)

    def labelled(self, name: str, unit: str, source: LabelledSource) -> None:
        """Register values that can rise and fall, each with its labels."""
        read = partial(observe_labelled, source)
        self.meter.create_observable_gauge(name, [read], unit=unit)

    def counter(self, name: str, unit: str, source: ValueSource) -> None:
        """Register a value that never decreases."""
        read = partial(observe_source, source)
        self.meter.create_observable_counter(name, [read], unit=unit)


def observe_source(
    source: ValueSource, options: CallbackOptions
) -> Iterable[Observation]:
    """Return the current value of a source as an observation."""
    return (Observation(source()),)


def observe_values(
    source: ValuesSource, label: str, options: CallbackOptions
) -> Iterable[Observation]:
    """Return the current values of a source as observations."""
    return [
        Observation(found, {label: name}) for name, found in source().items()
    ]


def observe_labelled(
    source: LabelledSource, options: CallbackOptions
) -> Iterable[Observation]:
    """Return the current values of a source as observations."""
    return [Observation(amount, labels) for amount, labels in source()]


def create_metrics(node: str) -> Metrics:
    """Return the instruments, exported through the Prometheus registry."""
    provider = MeterProvider(
        [PrometheusMetricReader()],
        views=[
            bucket_view('turmericyard.first_token', FIRST_TOKEN_BUCKETS),
            bucket_view('turmericyard.queue_wait', QUEUE_BUCKETS),
        ],
    )
    meter = provider.get_meter('turmericyard')
    token_interval = IntervalHistogram(INTERVAL_BUCKETS)
    REGISTRY.register(token_interval)
    return Metrics(
        meter.create_counter('turmericyard.requests'),
        meter.create_counter('turmericyard.tokens'),
        meter.create_counter('turmericyard.retries'),
        meter.create_histogram('turmericyard.first_token', 's'),
        token_interval,
        meter.create_histogram('turmericyard.queue_wait', 's'),
        Gauges(meter),
    )


def bucket_view(name: str, buckets: tuple[float, ...]) -> View:
    """Return an OpenTelemetry view that sets the buckets of a histogram."""
    return View(
        instrument_name=name,
        aggregation=ExplicitBucketHistogramAggregation(buckets),
    )


def render_metrics() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
