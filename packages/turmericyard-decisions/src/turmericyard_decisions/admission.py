"""Admission of generations to one engine by its owner node.

The owner counts its own grants and adds those made since the latest load
report, because reports arrive late. A generation is admitted while the number
of running generations is below the warm bound and the forecast peak of their
memory is below the memory of the engine.
"""

from dataclasses import dataclass, field
from enum import Enum

from turmericyard_decisions.memory import (
    Forecast,
    RunningGeneration,
    forecast_all,
)

DEVIATIONS_AT_MIN_TAIL_WEIGHT = 2.8
DEVIATIONS_AT_MAX_TAIL_WEIGHT = 2.2
BATCH_SHARE_AT_MIN_TAIL_WEIGHT = 1.0
BATCH_SHARE_AT_MAX_TAIL_WEIGHT = 0.55
URGENT_DEVIATIONS = 1.0
FORECAST_MAX_AGE_SECONDS = 0.25
UNLISTED_GRANT_SECONDS = 3.0
DEFAULT_TOKENS_PER_SECOND = 30.0


class Deferral(Enum):
    """Why an endpoint takes no more work now."""

    WARM_BOUND = 'it runs as much as its known capacity'
    BATCH = 'a larger batch would lengthen the time between tokens'
    MEMORY = 'its memory would fill mid-decode'


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an engine at time `at`, in seconds of the owner's clock."""

    at: float
    resident_tokens: int
    generations: frozenset[str]
    preemptions: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """One admitted generation and the time at which it got its permit."""

    work: RunningGeneration
    granted_at: float


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Admission limits of one engine for the tail weight of a route.

    `deviations` is the safety margin of the memory forecast, in standard
    deviations. `batch_share` is the fraction of the endpoint's limit that may
    run at the same time.
    """

    deviations: float
    batch_share: float


def limits_for_tail_weight(
    tail_weight: float, *, urgent: bool = False
) -> AdmissionLimits:
    """Return the admission limits for a tail weight from 0 to 1.

    Urgent work may use the reserve that other work keeps free.
    """
    if urgent:
        return AdmissionLimits(URGENT_DEVIATIONS, 1)
    return AdmissionLimits(
        deviations=interpolate(
            DEVIATIONS_AT_MIN_TAIL_WEIGHT,
            DEVIATIONS_AT_MAX_TAIL_WEIGHT,
            tail_weight,
        ),
        batch_share=interpolate(
            BATCH_SHARE_AT_MIN_TAIL_WEIGHT,
            BATCH_SHARE_AT_MAX_TAIL_WEIGHT,
            tail_weight,
        ),
    )


def interpolate(start: float, end: float, share: float) -> float:
    """Return the value at `share` (0 to 1) of the way from start to end."""
    return start + (end - start) * min(max(share, 0), 1.0)


@dataclass(slots=True)
class EngineLedger:
    """Generations that run on one engine, as counted by its owner.

    `memory_tokens` is the memory of the engine, `limit` its limit for running
    generations. `unattributed_tokens` are resident tokens that belong to no
    listed grant. `forecast_at` is the time of the last recomputed forecast.
    """

    memory_tokens: int
    limit: int
    grants: dict[str, Grant] = field(default_factory=dict)
    tokens_per_second: float = DEFAULT_TOKENS_PER_SECOND
    unattributed_tokens: float = 0
    forecast: Forecast = field(default_factory=lambda: forecast_all(()))
    forecast_at: float = float('-inf')

    def grant(
        self, generation: str, work: RunningGeneration, now: float
    ) -> None:
        """Count a generation from the time at which its permit was granted."""
        self.grants[generation] = Grant(work, now)
        self.forecast = self.forecast.plus(forecast_all((work,)))

    def record_end(self, generation: str) -> None:
        """Remove a generation that ended."""
        if self.grants.pop(generation, None):
            self.forecast_at = float('-inf')

    def observe_report(self, report: LoadReport, now: float) -> None:
        """Correct the ledger with a load report.

        A grant has ended when the report does not list it, although it was
        granted more than `UNLISTED_GRANT_SECONDS` before the report. Resident
        tokens that do not belong to listed grants are counted as occupied.
        """
        attributed_tokens = 0
        for generation, grant in tuple(self.grants.items()):
            missing = generation not in report.generations
            if (
                missing
                and grant.granted_at + UNLISTED_GRANT_SECONDS < report.at
            ):
                self.record_end(generation)
            elif not missing:
                attributed_tokens += self.estimate_progress(
                    grant, report.at
                ).resident()
        self.unattributed_tokens = max(
            0, report.resident_tokens - attributed_tokens
        )

    def observe_pace(self, seconds_per_token: float) -> None:
        """Set the rate used to estimate the progress of generations."""
        self.tokens_per_second = 1 / seconds_per_token

    def estimate_progress(self, grant: Grant, now: float) -> RunningGeneration:
        """Return the generation with its estimated progress at `now`."""
        work = grant.work
        elapsed = max(0, now - grant.granted_at)
        produced = work.produced_tokens + int(elapsed * self.tokens_per_second)
        return RunningGeneration(
            work.prompt_tokens,
            min(produced, work.max_tokens - 1),
            work.max_tokens,
            work.lengths,
        )

    def current_forecast(self, now: float) -> Forecast:
        """Return the forecast, recomputed when it is out of date."""
        if now - self.forecast_at > FORECAST_MAX_AGE_SECONDS:
            self.forecast = forecast_all(
                self.estimate_progress(grant, now)
                for grant in self.grants.values()
            )
            self.forecast_at = now
        return self.forecast

    def headroom(self, now: float, tail_weight: float) -> float:
        """Return the predicted free tokens at the peak; may be negative."""
        peak = self.current_forecast(now).peak(
            limits_for_tail_weight(tail_weight).deviations
        )
        return self.memory_tokens - peak - self.unattributed_tokens

    def decide(
        self,
        work: RunningGeneration,
        warm_bound: int,
        tail_weight: float,
        now: float,
        *,
        urgent: bool = False,
    ) -> Deferral | None:
        """Return why the generation must wait, None when it is admitted."""
        running = len(self.grants)
        if running >= warm_bound:
            return Deferral.WARM_BOUND
        if not running:
            return None
        limits = limits_for_tail_weight(tail_weight, urgent=urgent)
        if running >= self.limit * limits.batch_share:
            return Deferral.BATCH
        peak = self.unattributed_tokens + self.current_forecast(now).peak_with(
            forecast_all((work,)),
            limits.deviations,
        )
        return Deferral.MEMORY if peak > self.memory_tokens else None


def create_engine_ledger(memory_tokens: int, limit: int) -> EngineLedger:
    """Return the ledger of an engine without any known generation."""
    return EngineLedger(memory_tokens=memory_tokens, limit=limit)
