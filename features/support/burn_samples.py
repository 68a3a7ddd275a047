"""Samples of nodes' counters, worked by hand, for the burn report."""

from turmericyard_operator.burn_samples import (
    Histogram,
    NodeSample,
    ProductCounters,
)
from turmericyard_tables.models import Objectives, Route, WorkKind

NOON = 1_700_000_000
ROUTE = Route(
    'p',
    WorkKind.GENERATION,
    ('pool',),
    10,
    objectives=Objectives(availability=0.99),
)
BY_HAND = (
    ('a', 0, -3600, 1000, 0, 0, 1000, 1000),
    ('a', 3600, -3600, 1900, 100, 50, 2000, 1800),
    ('b', 0, -3600, 500, 0, 0, 500, 500),
    ('b', 3600, 1800, 380, 20, 0, 400, 360),
)


def node_sample(
    node: str,
    at: float,
    started: float,
    done: int,
    failed: int,
    refused: int,
    total: int,
    within: int,
) -> NodeSample:
    outcomes = {'done': done, 'failed': failed, 'refused': refused}
    first_token = Histogram(((0.6, 0), (1.2, within), (2, total)), total)
    return NodeSample(
        node,
        NOON + at,
        NOON + started,
        {'p': ProductCounters(outcomes, first_token)},
    )
