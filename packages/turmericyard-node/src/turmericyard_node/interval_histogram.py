"""Histogram of the time between tokens, updated for every relayed token.

Recording a value with the OpenTelemetry SDK costs more than relaying the token.
The buckets are therefore counted here and exported at each scrape under the
name that the SDK would give them.
"""

from bisect import bisect_left
from collections.abc import Iterable
from itertools import accumulate

from prometheus_client.core import HistogramMetricFamily
from prometheus_client.registry import Collector

METRIC_NAME = 'turmericyard_token_interval_seconds'
METRIC_HELP = 'Time between two tokens of a stream.'
INFINITY = '+Inf'


class IntervalHistogram(Collector):
    """Counts intervals by product; upper bounds in seconds, inclusive."""

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts: dict[str, list[int]] = {}
        self.sums: dict[str, float] = {}

    def record(self, product: str, seconds: float, count: int) -> None:
        """Count `count` tokens that arrived together after `seconds`."""
        counts = self.counts.get(product)
        if counts is None:
            counts = [0 for _ in (*self.bounds, INFINITY)]
            self.counts[product] = counts
            self.sums[product] = 0
        counts[bisect_left(self.bounds, seconds / count)] += count
        self.sums[product] += seconds

    def collect(self) -> Iterable[HistogramMetricFamily]:
        """Yield the histogram as a Prometheus metric family."""
        family = HistogramMetricFamily(
            METRIC_NAME, METRIC_HELP, labels=['product']
        )
        bucket_labels = [*(f'{bound:g}' for bound in self.bounds), INFINITY]
        for product, counts in self.counts.items():
            buckets = list(zip(bucket_labels, accumulate(counts), strict=True))
            family.add_metric([product], buckets, self.sums[product])
        yield family
