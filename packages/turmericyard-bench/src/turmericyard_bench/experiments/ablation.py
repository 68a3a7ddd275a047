"""Ablation: runs of the policy with one mechanism switched off at a time."""

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

from turmericyard_bench.experiments.runs import OWN, RunSpec, run_all
from turmericyard_bench.experiments.summary import Summary
from turmericyard_bench.experiments.targets import (
    return_seconds_or_zero,
    small_tokens,
    urgent_first_token,
)


@dataclass(frozen=True, slots=True)
class Ablation:
    """A mechanism and a scenario that shows its effect."""

    mechanism: str
    scenario: str


ABLATIONS = (
    Ablation('learned_lengths', 'mixed'),
    Ablation('learned_lengths', 'shift'),
    Ablation('memory_forecast', 'mixed'),
    Ablation('corrected_load', 'bursts'),
    Ablation('late_binding', 'bursts'),
    Ablation('warmth', 'cold'),
    Ablation('relayed_progress', 'mixed'),
    Ablation('relayed_progress', 'cold'),
    Ablation('urgent_reserve', 'mixed'),
    Ablation('prefix_hints', 'mixed'),
    Ablation('fair_queue', 'flood'),
    Ablation('priorities', 'flood'),
    Ablation('shedding', 'overload'),
)


@dataclass(frozen=True, slots=True)
class AblationRow:
    """Medians over the seeds with the mechanism on or off.

    `mechanism` is empty in the rows with every mechanism on.
    """

    mechanism: str
    scenario: str
    on: bool
    preemptions: float
    stall_seconds: float
    interval_p99: float
    completed_tokens: float
    quick_first_token: float
    slow_first_token: float
    small_tokens: float
    small_first_token: float
    shed: float
    shed_wait: float
    cut_generations: float
    cold_excesses: float
    return_seconds: float


def run_ablations(
    ablations: Sequence[Ablation],
    deployment: str,
    seeds: Sequence[int],
    processes: int,
) -> list[AblationRow]:
    """Return a row for each scenario, then one for each ablation.

    The rows of the scenarios have every mechanism on.
    """
    scenarios = dict.fromkeys(ablation.scenario for ablation in ablations)
    cases = [('', scenario) for scenario in scenarios]
    cases.extend(
        (ablation.mechanism, ablation.scenario) for ablation in ablations
    )
    specs = [
        RunSpec(scenario, deployment, OWN, seed, disabled_mechanism=disabled)
        for disabled, scenario in cases
        for seed in seeds
    ]
    summaries = run_all(specs, processes)
    count = len(seeds)
    return [
        create_ablation_row(
            disabled,
            scenario,
            summaries[index * count : (index + 1) * count],
        )
        for index, (disabled, scenario) in enumerate(cases)
    ]


def create_ablation_row(
    disabled: str,
    scenario: str,
    summaries: Sequence[Summary],
) -> AblationRow:
    """Return the medians of the runs of one scenario, one for each seed."""
    return AblationRow(
        mechanism=disabled,
        scenario=scenario,
        on=not disabled,
        preemptions=median(summary.preemptions for summary in summaries),
        stall_seconds=median(summary.stall_seconds for summary in summaries),
        interval_p99=median(summary.interval_p99 for summary in summaries),
        completed_tokens=median(
            summary.completed_tokens for summary in summaries
        ),
        quick_first_token=median(map(urgent_first_token, summaries)),
        slow_first_token=median(
            max(summary.first_token_p95.values()) for summary in summaries
        ),
        small_tokens=median(map(small_tokens, summaries)),
        small_first_token=median(map(small_first_token, summaries)),
        shed=median(summary.shed for summary in summaries),
        shed_wait=median(summary.shed_wait for summary in summaries),
        cut_generations=median(
            summary.cut_generations for summary in summaries
        ),
        cold_excesses=median(summary.cold_excesses for summary in summaries),
        return_seconds=median(map(return_seconds_or_zero, summaries)),
    )


def small_first_token(summary: Summary) -> float:
    """Return the mean time to first token of the smallest workspace."""
    return summary.workspace_first_token['w9']
