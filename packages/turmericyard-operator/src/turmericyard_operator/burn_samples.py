"""Samples of nodes' counters, from scrapes or from saved files."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from math import inf
from typing import Annotated

from prometheus_client.metrics_core import Metric
from prometheus_client.parser import text_string_to_metric_families
from pydantic import Field, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

REQUESTS = 'turmericyard_requests'
FIRST_TOKEN = 'turmericyard_first_token_seconds'  # noqa: S105
TOKEN_INTERVAL = 'turmericyard_token_interval_seconds'  # noqa: S105
PROCESS_START = 'process_start_time_seconds'

Count = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Timestamp = Annotated[float, Field(allow_inf_nan=False)]


@dataclass(frozen=True, slots=True)
class Histogram:
    """Cumulative counts by ascending upper bound in seconds, and the total."""

    buckets: tuple[tuple[float, Count], ...] = ()
    total: Count = 0

    def within(self, seconds: float) -> float:
        """Return the count at the highest bound of at most `seconds`.

        Events between that bound and `seconds` count as slow; the next bound
        would count slow events as good.
        """
        counts = [count for bound, count in self.buckets if bound <= seconds]
        return counts[-1] if counts else 0


@dataclass(frozen=True, slots=True)
class ProductCounters:
    """Counters of one product since its node started."""

    outcomes: Mapping[str, Count] = field(default_factory=dict)
    first_token: Histogram = field(default_factory=Histogram)
    token_interval: Histogram = field(default_factory=Histogram)


@dataclass(frozen=True, slots=True)
class NodeSample:
    """Counters of one node at one time; times are wall-clock seconds.

    `started` is the start of its process, None when the node gave none.
    """

    node: str
    at: Timestamp
    started: Timestamp | None
    products: Mapping[str, ProductCounters]


@dataclass(frozen=True, slots=True)
class MissingSample:
    """A failed scrape of one node, with the reason."""

    node: str
    at: Timestamp
    detail: str


Sample = NodeSample | MissingSample
LabelledCount = tuple[Mapping[str, str], float]


@dataclass(frozen=True, slots=True)
class InvalidSamples:
    """A line of a saved file is not a sample."""

    location: str
    detail: str

    @property
    def message(self) -> str:
        """Return which line is invalid, why, and what to do."""
        return (
            f'{self.location} is not a sample ({self.detail}): pass a file '
            'written by `turmericyard report burn --save FILE`'
        )


def parse_scrape(node: str, at: float, text: str) -> Sample:
    """Return the sample in a Prometheus text, or a `MissingSample`."""
    try:
        families = {
            family.name: family
            for family in text_string_to_metric_families(text)
        }
    except ValueError as error:
        return MissingSample(node, at, f'cannot parse the metrics: {error}')
    return NodeSample(
        node,
        at,
        process_start(families.get(PROCESS_START)),
        {
            product: ProductCounters(
                outcome_counts(families.get(REQUESTS), product),
                read_histogram(families.get(FIRST_TOKEN), product),
                read_histogram(families.get(TOKEN_INTERVAL), product),
            )
            for product in product_names(families)
        },
    )


def process_start(family: Metric | None) -> float | None:
    """Return the start of the process in wall-clock seconds, if known."""
    if family is None or not family.samples:
        return None
    return float(family.samples[0].value)


def product_names(families: Mapping[str, Metric]) -> list[str]:
    """Return the sorted names of the products in any of the families."""
    return sorted(
        {
            sample.labels['product']
            for name in (REQUESTS, FIRST_TOKEN, TOKEN_INTERVAL)
            if name in families
            for sample in families[name].samples
            if 'product' in sample.labels
        }
    )


def product_samples(
    family: Metric | None, suffix: str, product: str
) -> Iterator[LabelledCount]:
    """Yield labels and value of a product's samples with a name suffix."""
    if family is None:
        return
    for sample in family.samples:
        name_matches = sample.name == f'{family.name}{suffix}'
        if name_matches and sample.labels.get('product') == product:
            yield sample.labels, sample.value


def outcome_counts(family: Metric | None, product: str) -> dict[str, float]:
    """Return the requests of a product by outcome."""
    counts: dict[str, float] = {}
    for labels, count in product_samples(family, '_total', product):
        outcome = labels.get('outcome', '')
        counts[outcome] = counts.get(outcome, 0) + count
    return counts


def read_histogram(family: Metric | None, product: str) -> Histogram:
    """Return the histogram of a product, summed over its other labels."""
    counts: dict[float, float] = {}
    for labels, count in product_samples(family, '_bucket', product):
        bound = float(labels['le'])
        counts[bound] = counts.get(bound, 0) + count
    total = counts.pop(inf, 0)
    return Histogram(tuple(sorted(counts.items())), total)


sample_adapter: TypeAdapter[Sample] = TypeAdapter(Sample)


def encode_samples(samples: Iterable[Sample]) -> bytes:
    """Return samples as JSON lines."""
    lines = (sample_adapter.dump_json(sample) for sample in samples)
    return b''.join(b'%b\n' % line for line in lines)


def decode_samples(
    source: str, saved: bytes
) -> Result[tuple[Sample, ...], InvalidSamples]:
    """Return the samples of a saved file; errors call it `source`."""
    samples: list[Sample] = []
    for number, line in enumerate(saved.splitlines(), 1):
        try:
            samples.append(sample_adapter.validate_json(line))
        except ValidationError as error:
            detail = error.errors(include_url=False, include_input=False)[0]
            return Failure(
                InvalidSamples(f'{source} line {number}', detail['msg'])
            )
    return Success(tuple(samples))
