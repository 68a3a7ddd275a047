"""Record of what the callers of one run received."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from turmericyard_bench.experiments.workload import Job

STALL_INTERVAL_SECONDS = 0.25
LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000


@dataclass(slots=True)
class JobRecord:
    """Events of one job; times in seconds, None until they happen."""

    job: Job
    engine: str = ''
    sent_at: float | None = None
    first_token_at: float | None = None
    last_token_at: float = 0
    done_at: float | None = None
    tokens: int = 0
    shed_at: float | None = None
    lost_tokens: int = 0

    def first_token_seconds(self) -> float | None:
        """Return the time to first token."""
        if self.first_token_at is None:
            return None
        return self.first_token_at - self.job.arrives_at


@dataclass(slots=True)
class RunRecord:
    """Everything from which the figures of a run are computed.

    Only what happens from `measured_from` (seconds) on is counted.

    `intervals` counts times between tokens in microseconds,
    `token_counts` the tokens and `preemption_counts` the preemptions of
    each second.
    """

    measured_from: float = 0
    jobs: dict[str, JobRecord] = field(default_factory=dict)
    intervals: Counter[int] = field(default_factory=Counter)
    stall_seconds: float = 0
    preemptions: int = 0
    crashes: int = 0
    capacity_excesses: int = 0
    cut_generations: int = 0
    refused_sends: int = 0
    token_counts: Counter[int] = field(default_factory=Counter)
    preemption_counts: Counter[int] = field(default_factory=Counter)

    def record_token(self, name: str, now: float) -> bool:
        """Record one token of a job; return whether it is the first."""
        record = self.jobs[name]
        first = record.first_token_at is None
        if first:
            record.first_token_at = now
        elif record.tokens:
            self.record_interval(now - record.last_token_at, now)
        record.tokens += 1
        record.last_token_at = now
        self.token_counts[int(now)] += 1
        return first

    def record_interval(self, seconds: float, now: float) -> None:
        """Record one time between tokens."""
        if now < self.measured_from:
            return
        self.intervals[int(seconds * MICROSECONDS_PER_SECOND)] += 1
        if seconds > STALL_INTERVAL_SECONDS:
            self.stall_seconds += seconds

    def record_preemption(self, now: float) -> None:
        """Record one preemption."""
        if now < self.measured_from:
            return
        self.preemptions += 1
        self.preemption_counts[int(now)] += 1

    def count_open_stalls(self, now: float) -> None:
        """Count the stalls that are still open at the end of the run."""
        for record in self.jobs.values():
            streaming = record.tokens and record.done_at is None
            if (
                streaming
                and now - record.last_token_at > STALL_INTERVAL_SECONDS
            ):
                self.stall_seconds += now - record.last_token_at

    def interval_histogram(self) -> HdrHistogram:
        """Return the times between tokens, in microseconds."""
        histogram = create_histogram()
        for interval, count in self.intervals.items():
            histogram.record_value(max(interval, LOWEST_MICROSECONDS), count)
        return histogram

    def first_token_histogram(self, product: str = '') -> HdrHistogram:
        """Return times to first token in microseconds.

        A request that was shed, or that still waited when the run ended,
        counts with its deadline.
        """
        histogram = create_histogram()
        for record in self.measured_jobs():
            if not product or record.job.product.name == product:
                seconds = record.first_token_seconds()
                if seconds is None:
                    seconds = record.job.product.deadline_seconds
                histogram.record_value(
                    max(int(seconds * MICROSECONDS_PER_SECOND), 1)
                )
        return histogram

    def measured_jobs(self) -> list[JobRecord]:
        """Return the jobs that arrived within the measured time."""
        return [
            record
            for record in self.jobs.values()
            if record.job.arrives_at >= self.measured_from
        ]

    def completed_tokens(self) -> int:
        """Return the tokens of jobs completed within the measured time."""
        return sum(
            record.tokens
            for record in self.jobs.values()
            if record.done_at is not None
            and record.done_at >= self.measured_from
        )


def create_histogram() -> HdrHistogram:
    """Return an empty histogram for values in microseconds."""
    return HdrHistogram(
        LOWEST_MICROSECONDS,
        HIGHEST_MICROSECONDS,
        SIGNIFICANT_DIGITS,
    )
