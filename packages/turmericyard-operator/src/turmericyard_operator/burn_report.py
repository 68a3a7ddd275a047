"""Computes the burn report: objectives, budgets, windows and nodes."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

from turmericyard_operator.burn_rate import (
    AlertRule,
    EventCount,
    Increase,
    WindowBurn,
    burn_rate,
    count_within,
    evaluate_rule,
)
from turmericyard_operator.burn_samples import (
    MissingSample,
    NodeSample,
    Sample,
)
from turmericyard_operator.burn_series import (
    Objective,
    collect_increases,
    group_by_node,
    is_restart,
    route_objectives,
)
from turmericyard_tables.models import Route

#: Number of points of the plotted burn rate.
PLOT_POINTS = 60


@dataclass(frozen=True, slots=True)
class BurnPoint:
    """The burn rate of a time slice that ends at `at`."""

    at: float
    rate: float | None


@dataclass(frozen=True, slots=True)
class ObjectiveBurn:
    """One objective over the time that the samples span.

    `rate` is the burn rate over all of that time; `period_share` is the share
    of the period's budget that was used in it, assuming steady traffic.
    """

    objective: Objective
    count: EventCount
    rate: float | None
    period_share: float
    windows: tuple[WindowBurn, ...]
    points: tuple[BurnPoint, ...]

    @property
    def allowed(self) -> float:
        """Return how many of the events may be bad."""
        return self.count.total * (1 - self.objective.target)


@dataclass(frozen=True, slots=True)
class NodeCoverage:
    """Samples and restarts of one node.

    `unreachable` is the reason why the last scrape failed, empty when it
    succeeded. Events between the last sample of a process and its end are in
    no sample.
    """

    node: str
    samples: int
    restarts: int
    last_seen: float | None
    unreachable: str = ''


@dataclass(frozen=True, slots=True)
class BurnReport:
    """The report; times are wall-clock seconds."""

    begin: float
    end: float
    period_seconds: float
    objectives: tuple[ObjectiveBurn, ...]
    nodes: tuple[NodeCoverage, ...]

    @property
    def alerts(self) -> tuple[tuple[Objective, WindowBurn], ...]:
        """Return the firing rules' windows with their objectives."""
        return tuple(
            (each.objective, window)
            for each in self.objectives
            for window in each.windows
            if window.firing
        )


def create_report(
    samples: Iterable[Sample],
    routes: Iterable[Route],
    rules: tuple[AlertRule, ...],
    period_seconds: float,
) -> BurnReport:
    """Return the report at the time of the newest sample."""
    all_samples = tuple(samples)
    usable = [each for each in all_samples if isinstance(each, NodeSample)]
    end = max((each.at for each in all_samples), default=0)
    begin = min((earliest_time(each) for each in usable), default=end)
    span = Span(begin, end, period_seconds)
    return BurnReport(
        begin,
        end,
        period_seconds,
        tuple(
            evaluate_objective(
                objective, collect_increases(usable, objective), rules, span
            )
            for route in sorted(routes, key=lambda route: route.product)
            for objective in route_objectives(route)
        ),
        describe_nodes(all_samples),
    )


@dataclass(frozen=True, slots=True)
class Span:
    """The time that the samples span, and the period of the budgets."""

    begin: float
    end: float
    period_seconds: float

    @property
    def seconds(self) -> float:
        """Return the length of the span."""
        return self.end - self.begin


def earliest_time(sample: NodeSample) -> float:
    """Return the earliest time that a sample covers."""
    if sample.started is None:
        return sample.at
    return min(sample.started, sample.at)


def evaluate_objective(
    objective: Objective,
    increases: tuple[Increase, ...],
    rules: tuple[AlertRule, ...],
    span: Span,
) -> ObjectiveBurn:
    """Return the budget use and the windows of one objective."""
    count = sum((each.count for each in increases), EventCount())
    rate = burn_rate(count, objective.target)
    return ObjectiveBurn(
        objective,
        count,
        rate,
        (rate or 0) * span.seconds / span.period_seconds,
        tuple(
            evaluate_rule(rule, increases, objective.target, span.end)
            for rule in rules
        ),
        create_points(objective, increases, span),
    )


def create_points(
    objective: Objective, increases: tuple[Increase, ...], span: Span
) -> tuple[BurnPoint, ...]:
    """Return the burn rate over time, in slices of equal length."""
    edges = [
        span.begin + span.seconds * index / PLOT_POINTS
        for index in range(PLOT_POINTS + 1)
    ]
    return tuple(
        BurnPoint(
            end,
            burn_rate(count_within(increases, begin, end), objective.target),
        )
        for begin, end in pairwise(edges)
    )


def describe_nodes(samples: tuple[Sample, ...]) -> tuple[NodeCoverage, ...]:
    """Return the coverage of every scraped node, sorted by name."""
    series = group_by_node(
        each for each in samples if isinstance(each, NodeSample)
    )
    missing: dict[str, MissingSample] = {}
    for sample in sorted(samples, key=lambda each: each.at):
        if isinstance(sample, MissingSample):
            missing[sample.node] = sample
        else:
            missing.pop(sample.node, None)
    return tuple(
        describe_node(node, series.get(node, []), missing.get(node))
        for node in sorted({*series, *missing})
    )


def describe_node(
    node: str, series: list[NodeSample], missing: MissingSample | None
) -> NodeCoverage:
    """Return the coverage of one node."""
    return NodeCoverage(
        node,
        len(series),
        sum(is_restart(*pair) for pair in pairwise(series)),
        series[-1].at if series else None,
        missing.detail if missing else '',
    )
