"""Plots of the experiments as PNG files."""

from collections.abc import Mapping, Sequence
from itertools import accumulate
from pathlib import Path

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from turmericyard_bench.experiments.summary import Summary

SIZE_INCHES = (8, 4.5)
SMOOTHING_SECONDS = 5

Line = tuple[list[str] | list[int], list[float]]


def plot_intervals(summaries: Mapping[str, Summary], path: Path) -> None:
    """Plot the distribution of the time between tokens by policy."""
    lines = {
        name: (
            [str(percentile) for percentile, _ in summary.interval_histogram],
            [interval for _, interval in summary.interval_histogram],
        )
        for name, summary in summaries.items()
    }
    labels = ('percentile', 'time between tokens, ms')
    plot_lines(lines, labels, path, scale='log')


def plot_preemptions(summaries: Mapping[str, Summary], path: Path) -> None:
    """Plot the cumulative preemptions over time by policy."""
    lines = {
        name: by_time(list(accumulate(summary.preemptions_by_second)))
        for name, summary in summaries.items()
    }
    plot_lines(lines, ('seconds', 'preemptions so far'), path)


def plot_service(summaries: Mapping[str, Summary], path: Path) -> None:
    """Plot the tokens delivered per second over time by policy."""
    lines = {
        name: by_time(smooth(summary.tokens_by_second))
        for name, summary in summaries.items()
    }
    plot_lines(lines, ('seconds', 'tokens a second'), path)


def by_time(values: Sequence[float]) -> Line:
    """Return the seconds and the value of each."""
    return list(range(len(values))), list(values)


def smooth(values: Sequence[float]) -> list[float]:
    """Return the moving average over SMOOTHING_SECONDS."""
    return [
        sum(values[max(0, end - SMOOTHING_SECONDS) : end]) / SMOOTHING_SECONDS
        for end in range(1, len(values) + 1)
    ]


def plot_lines(
    lines: Mapping[str, Line],
    labels: tuple[str, str],
    path: Path,
    scale: str = 'linear',
) -> None:
    """Write one plot with a labelled line for each name."""
    figure = Figure(figsize=SIZE_INCHES, layout='constrained')
    FigureCanvasAgg(figure)
    axes = figure.add_subplot()
    for name, (xs, ys) in lines.items():
        axes.plot(xs, ys, label=name)
    axes.set_xlabel(labels[0])
    axes.set_ylabel(labels[1])
    axes.set_yscale(scale)
    axes.legend()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)
