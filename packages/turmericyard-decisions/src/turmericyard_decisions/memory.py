"""Forecast of the resident tokens of one engine's running generations.

Every generation of a batch grows by one token a step until it ends. The
resident tokens at a future step are the sum of prompt and output tokens over
the generations that still run. Expectation and variance are computed on a grid
of future steps.
"""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from math import sqrt
from operator import add

from turmericyard_decisions.length import LengthDistribution

STEP_RATIO = 1.25
FIRST_STEPS = 16
INTERVALS = 32
#: The grid: now, then `INTERVALS` numbers of steps in a geometric progression.
GRID_STEPS = (
    0,
    *(int(FIRST_STEPS * STEP_RATIO**index) for index in range(INTERVALS)),
)

INTERVAL_ENDS = (*GRID_STEPS[1:], GRID_STEPS[-1])

ZERO_TOKENS: tuple[float, ...] = (0,) * len(GRID_STEPS)


@dataclass(frozen=True, slots=True)
class RunningGeneration:
    """One generation in an engine; lengths are in tokens."""

    prompt_tokens: int
    produced_tokens: int
    max_tokens: int
    lengths: LengthDistribution

    def resident(self) -> int:
        """Return the tokens that it occupies in the engine's memory now."""
        return self.prompt_tokens + self.produced_tokens


@dataclass(frozen=True, slots=True)
class Forecast:
    """Expected resident tokens and their variances at `GRID_STEPS`."""

    means: tuple[float, ...]
    variances: tuple[float, ...]

    def peak(self, deviations: float) -> float:
        """Return the maximum of the mean plus `deviations` standard deviations."""
        return max(
            mean + deviations * sqrt(variance)
            for mean, variance in zip(self.means, self.variances, strict=True)
        )

    def peak_with(self, other: 'Forecast', deviations: float) -> float:
        """Return the peak together with `other` while `other` runs.

        Work that ends soon isn't deferred because of a later peak.
        """
        return max(
            self.means[index]
            + mean
            + deviations * sqrt(self.variances[index] + other.variances[index])
            for index, mean in enumerate(other.means)
            if mean or not index
        )

    def plus(self, other: 'Forecast') -> 'Forecast':
        """Return the forecast of both sets of generations together."""
        return Forecast(
            tuple(map(add, self.means, other.means)),
            tuple(map(add, self.variances, other.variances)),
        )


def forecast_all(running: Iterable[RunningGeneration]) -> Forecast:
    """Return the forecast of a set of generations; zeros for an empty set."""
    means: list[float] = list(ZERO_TOKENS)
    variances: list[float] = list(ZERO_TOKENS)
    for work in running:
        add_generation(work, means, variances)
    return Forecast(tuple(means), tuple(variances))


def add_generation(
    work: RunningGeneration,
    means: list[float],
    variances: list[float],
) -> None:
    """Add one generation to the sums of means and variances.

    For each interval of the grid, the probability that the generation still
    runs is taken at the start, and its size at the end, limited to its longest
    likely length.
    """
    produced = work.produced_tokens
    longest_likely = work.lengths.quantile(1, produced)
    longest = max(min(longest_likely, work.max_tokens), produced)
    count = max(1, bisect_left(GRID_STEPS, longest - produced))
    totals = [produced + steps for steps in GRID_STEPS[:count]]
    probabilities = work.lengths.survivals(totals, produced)
    for index, survival in enumerate(probabilities):
        until = min(produced + INTERVAL_ENDS[index], longest)
        resident = work.prompt_tokens + until
        means[index] += survival * resident
        variances[index] += survival * (1 - survival) * resident * resident
