"""Targets of the policy: bounds on ratios of medians over the seeds."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from turmericyard_bench.experiments.deployments import DEPLOYMENTS
from turmericyard_bench.experiments.runs import (
    LEAST_OUTSTANDING,
    ORACLE,
    OWN,
    RunSpec,
)
from turmericyard_bench.experiments.summary import Summary

PREEMPTION_SHARE = 0.05
STALL_SHARE = 0.1
INTERVAL_FACTOR = 1.25
COMPLETED_SHARE = 0.95
QUICK_FIRST_TOKEN_FACTOR = 2
SMALL_SHARE = 0.9
ZONE_INTERVAL_FACTOR = 1.5
ZONE_RETURN_SECONDS = 5

Figure = Callable[[Summary], float]
Seeds = Sequence[int]


@dataclass(frozen=True, slots=True)
class RunSet:
    """Runs that differ only in their seed."""

    scenario: str
    policy: str
    tail_weight: float | None = None

    def specs(self, deployment: str, seeds: Seeds) -> list[RunSpec]:
        """Return the runs with a deployment, one for each seed."""
        return [
            RunSpec(
                self.scenario,
                deployment,
                self.policy,
                seed,
                tail_weight=self.tail_weight,
            )
            for seed in seeds
        ]


@dataclass(frozen=True, slots=True)
class Target:
    """A bound on a ratio of two medians.

    The figure of the product's policy in `scenario` is divided by that of the
    reference; without a reference the bound applies to the figure itself.
    `at_least` marks a lower bound. A `tail_weight` of None stands for the
    deployment's.
    """

    name: str
    scenario: str
    figure: Figure
    bound: float
    reference: RunSet | None = None
    at_least: bool = False
    tail_weight: float | None = None

    def product_runs(self) -> RunSet:
        """Return the runs of the product's policy."""
        return RunSet(self.scenario, OWN, self.tail_weight)

    def oracle_runs(self) -> RunSet | None:
        """Return the runs of the oracle, None for a target on a tail weight.

        The oracle does not use a tail weight.
        """
        if self.tail_weight is None:
            return RunSet(self.scenario, ORACLE)
        return None


def urgent_first_token(summary: Summary) -> float:
    """Return the P95 time to first token of the urgent product."""
    urgent = {
        product.name
        for deployment in DEPLOYMENTS.values()
        for product in deployment.products
        if product.priority == 0
    }
    return max(
        seconds
        for name, seconds in summary.first_token_p95.items()
        if name in urgent
    )


def small_tokens(summary: Summary) -> float:
    """Return the completed tokens of the small workspaces."""
    return sum(
        tokens
        for name, tokens in summary.workspace_tokens.items()
        if name in {'w3', 'w4', 'w5', 'w6', 'w7', 'w8', 'w9'}
    )


def return_seconds_or_zero(summary: Summary) -> float:
    """Return the seconds until the service recovered; 0 without a return."""
    return 0 if summary.return_seconds is None else summary.return_seconds


TARGETS = (
    Target(
        name='preemptions, share of least outstanding',
        scenario='mixed',
        figure=lambda summary: summary.preemptions,
        bound=PREEMPTION_SHARE,
        reference=RunSet('mixed', LEAST_OUTSTANDING),
    ),
    Target(
        name='stall time, share of least outstanding',
        scenario='mixed',
        figure=lambda summary: summary.stall_seconds,
        bound=STALL_SHARE,
        reference=RunSet('mixed', LEAST_OUTSTANDING),
    ),
    Target(
        name='P99 time between tokens, times lightly loaded',
        scenario='mixed',
        figure=lambda summary: summary.interval_p99,
        bound=INTERVAL_FACTOR,
        reference=RunSet('light', LEAST_OUTSTANDING),
    ),
    Target(
        name='completed tokens, share of the oracle',
        scenario='mixed',
        figure=lambda summary: summary.completed_tokens,
        bound=COMPLETED_SHARE,
        reference=RunSet('mixed', ORACLE),
        at_least=True,
    ),
    Target(
        name='P95 time to first token of quick work, times unloaded',
        scenario='mixed',
        figure=urgent_first_token,
        bound=QUICK_FIRST_TOKEN_FACTOR,
        reference=RunSet('quick-alone', LEAST_OUTSTANDING),
    ),
    Target(
        name='small workspaces beside a flood, share of unloaded',
        scenario='flood',
        figure=small_tokens,
        bound=SMALL_SHARE,
        reference=RunSet('small-alone', OWN),
        at_least=True,
    ),
    Target(
        name='zone out and back, generations cut',
        scenario='zone',
        figure=lambda summary: summary.cut_generations,
        bound=0,
    ),
    Target(
        name='zone out and back, P99 time between tokens, times light',
        scenario='zone',
        figure=lambda summary: summary.interval_p99,
        bound=ZONE_INTERVAL_FACTOR,
        reference=RunSet('light', LEAST_OUTSTANDING),
    ),
    Target(
        name='zone out and back, seconds until 95% of the service',
        scenario='zone',
        figure=return_seconds_or_zero,
        bound=ZONE_RETURN_SECONDS,
    ),
    Target(
        name='P99 time between tokens at tail weight 1, share of that at 0',
        scenario='mixed',
        figure=lambda summary: summary.interval_p99,
        bound=1,
        reference=RunSet('mixed', OWN, 0),
        tail_weight=1,
    ),
    Target(
        name='stall time at tail weight 0, share of that at 1',
        scenario='mixed',
        figure=lambda summary: summary.stall_seconds,
        bound=1,
        reference=RunSet('mixed', OWN, 1),
        tail_weight=0,
    ),
    Target(
        name='all cold at once, work beyond the capacity of engines',
        scenario='cold',
        figure=lambda summary: summary.cold_excesses,
        bound=0,
    ),
    Target(
        name='zone back cold, work beyond the capacity of engines',
        scenario='zone-cold',
        figure=lambda summary: summary.cold_excesses,
        bound=0,
    ),
)
