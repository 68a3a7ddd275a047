"""Converts counter samples to increases, across restarts of nodes."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from itertools import pairwise

from turmericyard_operator.burn_rate import EventCount, Increase
from turmericyard_operator.burn_samples import NodeSample, ProductCounters
from turmericyard_tables.models import Objectives, Route, WorkKind

DONE = 'done'
#: Outcome of invalid requests, which no objective counts.
REFUSED = 'refused'
#: Start times that differ by no more than this are of the same process.
START_TOLERANCE_SECONDS = 1


class Indicator(Enum):
    """What an objective measures."""

    AVAILABILITY = 'availability'
    FIRST_TOKEN = 'first token'  # noqa: S105
    TOKEN_INTERVAL = 'token interval'  # noqa: S105


@dataclass(frozen=True, slots=True)
class Objective:
    """One objective of one product.

    `target` is the share of events that has to be good; `seconds` is the
    longest time of a good event, None for availability.
    """

    product: str
    indicator: Indicator
    target: float
    seconds: float | None = None

    def count(self, counters: ProductCounters) -> EventCount:
        """Return the objective's events in the counters."""
        if self.seconds is None:
            return count_outcomes(counters)
        histogram = counters.first_token
        if self.indicator is Indicator.TOKEN_INTERVAL:
            histogram = counters.token_interval
        slow = histogram.total - histogram.within(self.seconds)
        return EventCount(histogram.total, slow)


def count_outcomes(counters: ProductCounters) -> EventCount:
    """Return the requests; those without a complete answer are bad."""
    total = sum(
        count
        for outcome, count in counters.outcomes.items()
        if outcome != REFUSED
    )
    return EventCount(total, total - counters.outcomes.get(DONE, 0))


def route_objectives(route: Route) -> tuple[Objective, ...]:
    """Return the objectives of a route; services only have availability."""
    declared: Objectives = route.objectives
    availability = Objective(
        route.product, Indicator.AVAILABILITY, declared.availability
    )
    if route.kind is WorkKind.SERVICE:
        return (availability,)
    return (
        availability,
        Objective(
            route.product,
            Indicator.FIRST_TOKEN,
            declared.first_token_share,
            declared.first_token_seconds,
        ),
        Objective(
            route.product,
            Indicator.TOKEN_INTERVAL,
            declared.token_interval_share,
            declared.token_interval_seconds,
        ),
    )


def collect_increases(
    samples: Iterable[NodeSample], objective: Objective
) -> tuple[Increase, ...]:
    """Return the increases of all nodes; samples may be in any order."""
    return tuple(
        increase
        for series in group_by_node(samples).values()
        for increase in node_increases(series, objective)
    )


def group_by_node(
    samples: Iterable[NodeSample],
) -> dict[str, list[NodeSample]]:
    """Return the samples of each node, ordered by time."""
    groups: dict[str, list[NodeSample]] = {}
    for sample in sorted(samples, key=lambda each: each.at):
        groups.setdefault(sample.node, []).append(sample)
    return groups


def node_increases(
    series: list[NodeSample], objective: Objective
) -> list[Increase]:
    """Return the increases between one node's samples, ordered by time.

    A process counts from zero at its start, so the first sample is itself an
    increase since the start when the start is known.
    """
    first = series[0]
    increases = []
    if first.started is not None:
        begin = min(first.started, first.at)
        increases.append(
            Increase(begin, first.at, objective_count(first, objective))
        )
    for before, after in pairwise(series):
        increases.append(increase_between(before, after, objective))
    return increases


def increase_between(
    before: NodeSample, after: NodeSample, objective: Objective
) -> Increase:
    """Return the increase between two samples, also across a restart."""
    if is_restart(before, after):
        begin = min(max(after.started or before.at, before.at), after.at)
        return Increase(begin, after.at, objective_count(after, objective))
    earlier = objective_count(before, objective).scale(-1)
    return Increase(
        before.at, after.at, objective_count(after, objective) + earlier
    )


def is_restart(before: NodeSample, after: NodeSample) -> bool:
    """Return whether the node restarted between two samples.

    Without start times, a counter that decreased shows a restart.
    """
    if before.started is not None and after.started is not None:
        drift = abs(after.started - before.started)
        return drift > START_TOLERANCE_SECONDS
    return any(
        count < before_count
        for before_count, count in zip(
            counter_values(before, before),
            counter_values(after, before),
            strict=True,
        )
    )


def counter_values(sample: NodeSample, reference: NodeSample) -> list[float]:
    """Return a sample's values of the counters that `reference` has."""
    counts: list[float] = []
    for product, reference_counters in reference.products.items():
        counters = sample.products.get(product, ProductCounters())
        counts.extend(
            counters.outcomes.get(outcome, 0)
            for outcome in reference_counters.outcomes
        )
        counts.append(counters.first_token.total)
        counts.append(counters.token_interval.total)
    return counts


def objective_count(sample: NodeSample, objective: Objective) -> EventCount:
    """Return an objective's events since the start of the process."""
    counters = sample.products.get(objective.product, ProductCounters())
    return objective.count(counters)
