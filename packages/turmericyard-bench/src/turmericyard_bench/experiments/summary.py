"""Figures of one run."""

from dataclasses import dataclass
from statistics import mean

from turmericyard_bench.experiments.record import (
    MICROSECONDS_PER_SECOND,
    JobRecord,
    RunRecord,
)
from turmericyard_bench.experiments.scenario import Scenario

MICROSECONDS_PER_MILLISECOND = 1000
MEDIAN = 50
P95 = 95
P99 = 99
RECOVERY_WINDOW_SECONDS = 3
RECOVERED_SHARE = 0.95


@dataclass(frozen=True, slots=True)
class Summary:
    """Figures of one run over its measured time.

    `first_token_p95` is in seconds by product, `interval_*` in milliseconds
    between tokens; `tokens_per_second` is what was delivered. Figures by
    workspace cover the requests that arrived within the measured time.
    `return_seconds` is the time from a zone's return until the delivered
    tokens are back at 95% of those before the zone went out of service.
    """

    preemptions: int
    stall_seconds: float
    interval_p50: float
    interval_p99: float
    interval_histogram: tuple[tuple[float, float], ...]
    tokens_per_second: float
    completed_tokens: int
    first_token_p95: dict[str, float]
    workspace_tokens: dict[str, int]
    workspace_first_token: dict[str, float]
    shed: int
    shed_wait: float
    cut_generations: int
    crashes: int
    cold_excesses: int
    return_seconds: float | None
    tokens_by_second: tuple[int, ...]
    preemptions_by_second: tuple[int, ...]


PERCENTILES = (1, 5, 25, 50, 75, 90, 95, 99, 99.9, 99.99)


def summarize(record: RunRecord, scenario: Scenario) -> Summary:
    """Return the figures of a run."""
    intervals = record.interval_histogram()
    seconds = range(int(scenario.seconds))
    jobs = record.measured_jobs()
    products = sorted({job_record.job.product.name for job_record in jobs})
    workspaces = sorted({job_record.job.workspace for job_record in jobs})
    by_second = tuple(record.token_counts[at] for at in seconds)
    return Summary(
        preemptions=record.preemptions,
        stall_seconds=record.stall_seconds,
        interval_p50=intervals.get_value_at_percentile(MEDIAN)
        / MICROSECONDS_PER_MILLISECOND,
        interval_p99=intervals.get_value_at_percentile(P99)
        / MICROSECONDS_PER_MILLISECOND,
        interval_histogram=tuple(
            (
                percentile,
                intervals.get_value_at_percentile(percentile)
                / MICROSECONDS_PER_MILLISECOND,
            )
            for percentile in PERCENTILES
        ),
        tokens_per_second=mean(by_second[int(scenario.measured_from) :]),
        completed_tokens=record.completed_tokens(),
        first_token_p95={
            name: first_token_p95(record, name) for name in products
        },
        workspace_tokens={
            name: workspace_completed_tokens(jobs, name) for name in workspaces
        },
        workspace_first_token={
            name: mean_first_token(jobs, name) for name in workspaces
        },
        shed=sum(job_record.shed_at is not None for job_record in jobs),
        shed_wait=mean_shed_wait(jobs),
        cut_generations=record.cut_generations,
        crashes=record.crashes,
        cold_excesses=record.capacity_excesses,
        return_seconds=return_seconds(by_second, scenario),
        tokens_by_second=by_second,
        preemptions_by_second=tuple(
            record.preemption_counts[at] for at in seconds
        ),
    )


def first_token_p95(record: RunRecord, product: str) -> float:
    """Return the 95th percentile of the time to first token, in seconds."""
    histogram = record.first_token_histogram(product)
    return (
        float(histogram.get_value_at_percentile(P95)) / MICROSECONDS_PER_SECOND
    )


def mean_shed_wait(jobs: list[JobRecord]) -> float:
    """Return the mean seconds until a request was shed; 0 for none."""
    waits = [
        record.shed_at - record.job.arrives_at
        for record in jobs
        if record.shed_at is not None
    ]
    return mean(waits) if waits else 0


def workspace_completed_tokens(jobs: list[JobRecord], workspace: str) -> int:
    """Return the tokens of a workspace's measured jobs that completed."""
    return sum(
        record.tokens
        for record in jobs
        if record.done_at is not None and record.job.workspace == workspace
    )


def mean_first_token(jobs: list[JobRecord], workspace: str) -> float:
    """Return a workspace's mean time to first token, in seconds.

    A request without a token counts with its deadline.
    """
    return mean(
        record.job.product.deadline_seconds
        if record.first_token_at is None
        else record.first_token_at - record.job.arrives_at
        for record in jobs
        if record.job.workspace == workspace
    )


def return_seconds(
    by_second: tuple[int, ...],
    scenario: Scenario,
) -> float | None:
    """Return the seconds from a zone's return until the service recovered.

    None when no zone returns, infinite when the service never recovered.
    """
    if scenario.zone_back_at >= scenario.seconds:
        return None
    start = int(scenario.measured_from)
    mean_before = mean(by_second[start : int(scenario.zone_out_at)])
    back_at = int(scenario.zone_back_at)
    for at in range(back_at, len(by_second) - RECOVERY_WINDOW_SECONDS):
        window = by_second[at : at + RECOVERY_WINDOW_SECONDS]
        if mean(window) >= mean_before * RECOVERED_SHARE:
            return at - back_at
    return float('inf')
