"""Counters and latency histograms of a forwarding node."""

from dataclasses import dataclass
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import CollectorRegistry, generate_latest

from turmericyard_node.metrics import (
    FIRST_TOKEN_BUCKETS,
    INTERVAL_BUCKETS,
    QUEUE_BUCKETS,
    Gauges,
    bucket_view,
)

ANSWER_SECONDS = 'turmericyard.forwarding.answer'
WAIT_SECONDS = 'turmericyard.forwarding.wait'
FIRST_SECONDS = 'turmericyard.forwarding.first_event'
GAP_SECONDS = 'turmericyard.forwarding.longest_gap'
#: Buckets of the histograms, in seconds.
BUCKETS = (
    (ANSWER_SECONDS, FIRST_TOKEN_BUCKETS),
    (WAIT_SECONDS, QUEUE_BUCKETS),
    (FIRST_SECONDS, FIRST_TOKEN_BUCKETS),
    (GAP_SECONDS, INTERVAL_BUCKETS),
)


@dataclass(frozen=True, slots=True)
class Instruments:
    """What a node counts and times; its own registry exports them.

    `answer_seconds` is the time to the head of an answer, `first_seconds` the
    time to the first event of a stream, `longest_gap` the longest pause
    between two events of a stream.
    """

    registry: CollectorRegistry
    gauges: Gauges
    answers: Any
    answer_seconds: Any
    wait_seconds: Any
    sends: Any
    streams: Any
    first_seconds: Any
    longest_gap: Any
    copies: Any

    def answered(self, route: str, status: int, seconds: float) -> None:
        """Count an answer to a client; the route is empty when none matched."""
        self.answers.add(1, {'route': route, 'status': status})
        self.answer_seconds.record(seconds, {'route': route})

    def waited(self, service: str, seconds: float, *, placed: bool) -> None:
        """Count a request's wait for an endpoint with room."""
        found = 'placed' if placed else 'no room'
        self.wait_seconds.record(seconds, {'service': service, 'found': found})

    def sent(self, service: str, outcome: str) -> None:
        """Count a send to an endpoint."""
        self.sends.add(1, {'service': service, 'outcome': outcome})

    def streamed(
        self,
        service: str,
        outcome: str,
        first_seconds: float | None,
        longest_gap: float,
    ) -> None:
        """Count a stream that ended; None when it had no event."""
        self.streams.add(1, {'service': service, 'outcome': outcome})
        if first_seconds is not None:
            self.first_seconds.record(first_seconds, {'service': service})
            self.longest_gap.record(longest_gap, {'service': service})

    def copied(self, service: str, *, done: bool) -> None:
        """Count a copy of a run, or one that failed."""
        outcome = 'done' if done else 'failed'
        self.copies.add(1, {'service': service, 'outcome': outcome})

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


def create_instruments() -> Instruments:
    """Return the instruments of one node."""
    registry = CollectorRegistry()
    provider = MeterProvider(
        [PrometheusMetricReader(registry=registry)],
        views=[bucket_view(name, buckets) for name, buckets in BUCKETS],
    )
    meter = provider.get_meter('turmericyard.forwarding')
    return Instruments(
        registry,
        Gauges(meter),
        meter.create_counter('turmericyard.forwarding.answers'),
        meter.create_histogram(ANSWER_SECONDS, 's'),
        meter.create_histogram(WAIT_SECONDS, 's'),
        meter.create_counter('turmericyard.forwarding.sends'),
        meter.create_counter('turmericyard.forwarding.streams'),
        meter.create_histogram(FIRST_SECONDS, 's'),
        meter.create_histogram(GAP_SECONDS, 's'),
        meter.create_counter('turmericyard.forwarding.copies'),
    )
