"""Measured figures of a benchmark run and their targets."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from enum import Enum
from math import inf
from typing import Any


class Bound(Enum):
    """Which side of its target a figure must be on."""

    AT_MOST = 'at most'
    AT_LEAST = 'at least'


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured figure and its target.

    `baseline` is the same figure of a simpler system; `detail` describes the
    measurement.
    """

    name: str
    unit: str
    bound: Bound
    target: float
    measured: float
    baseline: float | None = None
    detail: str = ''

    @property
    def ratio(self) -> float:
        """Return the measured figure divided by its target.

        With a target of 0 the ratio is 0 if the figure is 0, else infinite.
        """
        if self.target:
            return self.measured / self.target
        return inf if self.measured else 0

    @property
    def met(self) -> bool:
        """Return whether the target is met."""
        if self.bound is Bound.AT_MOST:
            return self.measured <= self.target
        return self.measured >= self.target

    def as_json(self) -> dict[str, Any]:
        """Return the figure as JSON values."""
        fields = {**asdict(self), 'bound': self.bound.value}
        return {**fields, 'ratio': self.ratio, 'met': self.met}


def render_table(figures: Sequence[Figure]) -> str:
    """Return the figures as a Markdown table."""
    lines = [
        '| figure | target | baseline | measured | ratio | met | detail |',
        '|---|---|---|---|---|---|---|',
    ]
    for figure in figures:
        baseline = '' if figure.baseline is None else f'{figure.baseline:.4g}'
        lines.append(
            f'| {figure.name}, {figure.unit} '
            f'| {figure.bound.value} {figure.target:g} | {baseline} '
            f'| {figure.measured:.4g} | {figure.ratio:.2f} '
            f'| {"yes" if figure.met else "no"} | {figure.detail} |'
        )
    return '\n'.join(lines)
