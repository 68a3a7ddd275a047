"""Fits lines to measured points and extrapolates them to other sizes."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from statistics import linear_regression
from typing import Any


@dataclass(frozen=True, slots=True)
class Point:
    """Costs of one node, measured at one size of the varied quantity.

    `cpu_share` is a share of one core. `peer_bytes`, `peer_messages` and
    `store_calls` are per second.
    """

    size: float
    cpu_share: float
    rss_bytes: float
    peer_bytes: float
    peer_messages: float
    store_calls: float


@dataclass(frozen=True, slots=True)
class Slope:
    """Fitted line of one cost of a node over the varied quantity."""

    varied: str
    cost: str
    slope: float
    intercept: float
    sizes: tuple[float, ...]
    measured: tuple[float, ...]

    def cost_at(self, size: float) -> float:
        """Return the cost that the line gives for a size."""
        return self.intercept + self.slope * size

    def as_json(self) -> dict[str, Any]:
        """Return the slope as JSON values."""
        return asdict(self)


COSTS = (
    'cpu_share',
    'rss_bytes',
    'peer_bytes',
    'peer_messages',
    'store_calls',
)


def fit(varied: str, points: Sequence[Point]) -> list[Slope]:
    """Return the line of each cost, fitted to the points."""
    sizes = tuple(point.size for point in points)
    slopes = []
    for cost in COSTS:
        measured = tuple(float(getattr(point, cost)) for point in points)
        line = linear_regression(sizes, measured)
        slopes.append(
            Slope(varied, cost, line.slope, line.intercept, sizes, measured)
        )
    return slopes


def render_slopes(slopes: Sequence[Slope]) -> str:
    """Return the slopes as a Markdown table."""
    lines = [
        '| varied | cost of a node | slope | intercept | measured at |',
        '|---|---|---|---|---|',
    ]
    for slope in slopes:
        pairs = zip(slope.sizes, slope.measured, strict=True)
        points = ', '.join(f'{size:g}: {cost:.4g}' for size, cost in pairs)
        lines.append(
            f'| {slope.varied} | {slope.cost} | {slope.slope:.4g} '
            f'| {slope.intercept:.4g} | {points} |'
        )
    return '\n'.join(lines)
