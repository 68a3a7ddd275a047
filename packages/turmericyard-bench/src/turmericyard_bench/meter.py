"""Counts and latencies of streams, which processes can merge."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

#: Range of histograms in microseconds.
LOWEST_MICROS = 1
HIGHEST_MICROS = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROS_PER_SECOND = 1_000_000
MICROS_PER_MILLI = 1000
QUANTILES = (50, 95, 99, 99.9)


def create_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_MICROS, HIGHEST_MICROS, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Meter:
    """Token counts, outcomes and latency histograms of streams."""

    first_token: HdrHistogram = field(default_factory=create_histogram)
    interval: HdrHistogram = field(default_factory=create_histogram)
    whole: HdrHistogram = field(default_factory=create_histogram)
    tokens: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)

    def record_first(self, seconds: float) -> None:
        """Record the time to the first token of a stream."""
        self.first_token.record_value(int(seconds * MICROS_PER_SECOND))

    def record_interval(self, seconds: float) -> None:
        """Record the time between two tokens."""
        self.interval.record_value(int(seconds * MICROS_PER_SECOND))

    def record_whole(self, seconds: float) -> None:
        """Record the time to the end of a complete answer."""
        self.whole.record_value(int(seconds * MICROS_PER_SECOND))

    def encode(self) -> dict[str, Any]:
        """Return the meter as JSON values."""
        return {
            'tokens': self.tokens,
            'outcomes': dict(self.outcomes),
            'first_token': self.first_token.encode().decode(),
            'interval': self.interval.encode().decode(),
            'whole': self.whole.encode().decode(),
        }

    def add_encoded(self, fields: dict[str, Any]) -> None:
        """Add the encoded meter of another process."""
        self.tokens += fields['tokens']
        self.outcomes.update(fields['outcomes'])
        self.first_token.decode_and_add(fields['first_token'])
        self.interval.decode_and_add(fields['interval'])
        self.whole.decode_and_add(fields['whole'])

    def summary(self) -> dict[str, Any]:
        """Return counts and quantiles in milliseconds."""
        return {
            'tokens': self.tokens,
            'outcomes': dict(self.outcomes),
            'first_token_ms': quantiles(self.first_token),
            'interval_ms': quantiles(self.interval),
            'whole_ms': quantiles(self.whole),
        }


def quantiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return quantiles of a histogram in milliseconds."""
    return {
        f'p{quantile:g}': histogram.get_value_at_percentile(quantile)
        / MICROS_PER_MILLI
        for quantile in QUANTILES
    }
