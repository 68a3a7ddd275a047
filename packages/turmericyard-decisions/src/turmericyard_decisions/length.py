"""Online model of the output length of generations, in tokens.

Lengths are learned for each product and workspace from completed generations.
Old observations are dropped by rotation, so that a change of lengths takes
effect after a bounded number of completions. Predictions are conditional on the
tokens already produced.
"""

from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from ddsketch import DDSketch

DISTRIBUTION_POINTS = 128
RELATIVE_ACCURACY = 0.03
ROTATION_OBSERVATIONS = 256
REFRESH_OBSERVATIONS = 8
MIN_OBSERVATIONS = 24
MAX_TRACKED_KEYS = 4096
TAIL_GROWTH = 1.5


@dataclass(frozen=True, slots=True)
class LengthDistribution:
    """Equally likely output lengths in tokens, in ascending order.

    Beyond the last point, the expected length is `TAIL_GROWTH` times the tokens
    produced, since the residual life of a long output grows with its age. The
    probability of a longer output decreases with the square of its length.
    """

    points: tuple[float, ...]

    def survival(self, total: float, produced: int = 0) -> float:
        """Return the probability of more than `total` tokens, given `produced`."""
        size = len(self.points)
        longer = size - bisect_right(self.points, produced)
        if not longer:
            return min(1, produced / max(total, 1)) ** 2
        return (size - bisect_right(self.points, total)) / longer

    def survivals(
        self,
        totals: Sequence[float],
        produced: int = 0,
    ) -> list[float]:
        """Return `survival` for each of several ascending totals."""
        size = len(self.points)
        index = bisect_right(self.points, produced)
        longer = size - index
        if not longer:
            return [self.survival(total, produced) for total in totals]
        shares = []
        for total in totals:
            index = bisect_right(self.points, total, index)
            shares.append((size - index) / longer)
        return shares

    def quantile(self, share: float, produced: int = 0) -> float:
        """Return the quantile `share` (0 to 1) of the length, given `produced`."""
        first = bisect_right(self.points, produced)
        longer = len(self.points) - first
        if not longer:
            return produced * TAIL_GROWTH
        return self.points[first + min(int(share * longer), longer - 1)]

    def mean(self, produced: int = 0) -> float:
        """Return the expected total length, given `produced` tokens."""
        first = bisect_right(self.points, produced)
        longer = len(self.points) - first
        if not longer:
            return produced * TAIL_GROWTH
        return sum(self.points[first:]) / longer


def prior_lengths(max_tokens: int) -> LengthDistribution:
    """Return the distribution for work without any observations.

    The logarithm of the length is assumed uniform up to `max_tokens`.
    """
    steps = range(1, DISTRIBUTION_POINTS + 1)
    return LengthDistribution(
        tuple(
            float(max_tokens) ** (step / DISTRIBUTION_POINTS) for step in steps
        ),
    )


@dataclass(slots=True)
class LengthSketch:
    """Quantile sketch of recent lengths; rotation drops old ones.

    `unmerged` counts the observations since the distribution was last
    built.
    """

    recent: DDSketch = field(
        default_factory=lambda: DDSketch(RELATIVE_ACCURACY),
    )
    older: DDSketch = field(
        default_factory=lambda: DDSketch(RELATIVE_ACCURACY),
    )
    unmerged: int = 0
    distribution: LengthDistribution | None = None

    def observe(self, tokens: int) -> None:
        """Record the length of one completed generation."""
        if self.recent.count >= ROTATION_OBSERVATIONS:
            self.older = self.recent
            self.recent = DDSketch(RELATIVE_ACCURACY)
        self.recent.add(max(tokens, 1))
        self.unmerged += 1

    def count(self) -> int:
        """Return the number of completions in both sketches."""
        return int(self.recent.count + self.older.count)

    def lengths(self) -> LengthDistribution:
        """Return the distribution, rebuilt every `REFRESH_OBSERVATIONS`."""
        if self.distribution is None or self.unmerged >= REFRESH_OBSERVATIONS:
            self.distribution = self.build_distribution()
            self.unmerged = 0
        return self.distribution

    def build_distribution(self) -> LengthDistribution:
        """Return the distribution over both sketches."""
        merged = DDSketch(RELATIVE_ACCURACY)
        merged.merge(self.older)
        merged.merge(self.recent)
        return LengthDistribution(
            tuple(
                merged.get_quantile_value((step + 0.5) / DISTRIBUTION_POINTS)
                or 1
                for step in range(DISTRIBUTION_POINTS)
            ),
        )


@dataclass(slots=True)
class LengthModel:
    """Lengths by product and workspace.

    When there are too many keys, the least recently observed one is dropped.
    """

    sketches: OrderedDict[tuple[str, str], LengthSketch] = field(
        default_factory=OrderedDict,
    )

    def observe(self, product: str, workspace: str, tokens: int) -> None:
        """Record the output length of one completed generation."""
        for key in ((product, workspace), (product, '')):
            self.sketch(key).observe(tokens)

    def sketch(self, key: tuple[str, str]) -> LengthSketch:
        """Return the sketch of the key; create it when there is none."""
        found = self.sketches.setdefault(key, LengthSketch())
        self.sketches.move_to_end(key)
        if len(self.sketches) > MAX_TRACKED_KEYS:
            self.sketches.popitem(last=False)
        return found

    def lengths(
        self,
        product: str,
        workspace: str,
        max_tokens: int,
    ) -> LengthDistribution:
        """Return the lengths of the workspace, else of the product.

        Returns the prior for `max_tokens` when both have too few observations.
        """
        own = self.sketches.get((product, workspace))
        if own and own.count() >= MIN_OBSERVATIONS:
            return own.lengths()
        shared = self.sketches.get((product, ''))
        if shared and shared.count() >= MIN_OBSERVATIONS:
            return shared.lengths()
        return prior_lengths(max_tokens)


def create_length_model() -> LengthModel:
    """Return a model without observations."""
    return LengthModel()
