"""Checks the policy's targets against the figures of the runs."""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import chain
from statistics import median

from turmericyard_bench.experiments.runs import RunSpec, run_all
from turmericyard_bench.experiments.summary import Summary
from turmericyard_bench.experiments.targets import Figure, RunSet, Seeds, Target


@dataclass(frozen=True, slots=True)
class Verdict:
    """A target with its measured figures.

    `limit` is the oracle's ratio, None when the oracle was not run.
    """

    target: str
    deployment: str
    bound: float
    at_least: bool
    baseline: float
    measured: float
    ratio: float
    limit: float | None
    met: bool


@dataclass(frozen=True, slots=True)
class DeploymentResults:
    """Summaries of the runs with one deployment."""

    deployment: str
    seeds: Seeds
    summaries: Mapping[RunSpec, Summary]

    def median_figure(self, runs: RunSet, figure: Figure) -> float:
        """Return the median of a figure over some runs."""
        specs = runs.specs(self.deployment, self.seeds)
        return median(figure(self.summaries[spec]) for spec in specs)


def measure(
    targets: Sequence[Target],
    deployments: Sequence[str],
    seeds: Seeds,
    processes: int,
    *,
    with_limits: bool = True,
) -> list[Verdict]:
    """Make the runs that the targets need and return a verdict on each.

    The verdicts compare medians over the seeds. Without `with_limits` the
    oracle is run only as a reference.
    """
    specs = dict.fromkeys(
        chain.from_iterable(
            required_runs(targets, deployment, seeds, with_limits)
            for deployment in deployments
        ),
    )
    summaries = dict(zip(specs, run_all(tuple(specs), processes), strict=True))
    return [
        evaluate_target(
            target, DeploymentResults(deployment, seeds, summaries), with_limits
        )
        for deployment in deployments
        for target in targets
    ]


def required_runs(
    targets: Sequence[Target],
    deployment: str,
    seeds: Seeds,
    with_limits: bool,
) -> Iterator[RunSpec]:
    """Yield the runs that the targets need; a run may occur repeatedly."""
    for target in targets:
        oracle = target.oracle_runs() if with_limits else None
        for runs in (target.product_runs(), target.reference, oracle):
            if runs:
                yield from runs.specs(deployment, seeds)


def evaluate_target(
    target: Target, results: DeploymentResults, with_limit: bool
) -> Verdict:
    """Return the verdict on one target."""
    measured = results.median_figure(target.product_runs(), target.figure)
    baseline: float = 1
    if target.reference:
        baseline = results.median_figure(target.reference, target.figure)
    oracle = target.oracle_runs() if with_limit else None
    limit: float | None = None
    if oracle:
        limit = divide(results.median_figure(oracle, target.figure), baseline)
    ratio = divide(measured, baseline)
    met = ratio >= target.bound if target.at_least else ratio <= target.bound
    return Verdict(
        target.name,
        results.deployment,
        target.bound,
        target.at_least,
        baseline,
        measured,
        ratio,
        limit,
        met,
    )


def divide(measured: float, baseline: float) -> float:
    """Return the ratio of two figures.

    It is 0 when the measured figure is 0, whatever the baseline, and infinite
    when only the baseline is 0.
    """
    if not measured:
        return 0
    return measured / baseline if baseline else float('inf')
