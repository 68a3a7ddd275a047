"""Measures the policy's targets on the virtual clock, as benchmark figures."""

from turmericyard_bench.costs.figures import Bound, Figure
from turmericyard_bench.experiments.comparison import Verdict, measure
from turmericyard_bench.experiments.targets import TARGETS
from turmericyard_bench.workers import default_workers

DEPLOYMENTS = ('vodnik', 'salvagewright')
SEEDS = range(1, 6)


def policy_figures() -> list[Figure]:
    """Return the ratios of both deployments, as medians over the seeds."""
    verdicts = measure(TARGETS, DEPLOYMENTS, SEEDS, default_workers())
    return [policy_figure(verdict) for verdict in verdicts]


def policy_figure(verdict: Verdict) -> Figure:
    """Return the figure of one verdict."""
    oracle = '' if verdict.limit is None else f', oracle {verdict.limit:.3g}'
    return Figure(
        f'{verdict.deployment}: {verdict.target}',
        'ratio',
        Bound.AT_LEAST if verdict.at_least else Bound.AT_MOST,
        verdict.bound,
        verdict.ratio,
        baseline=verdict.baseline,
        detail=f'{verdict.measured:.4g} over the baseline{oracle}',
    )
