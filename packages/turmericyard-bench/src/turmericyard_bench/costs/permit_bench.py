"""Measures the round trips of a permit when engines are nearly full."""

import time

from turmericyard_bench.costs.figures import Bound, Figure
from turmericyard_bench.costs.harness import ReadPlan, open_harness
from turmericyard_bench.costs.scrape import sum_metric
from turmericyard_bench.costs.tables import TableSize
from turmericyard_bench.launch import LaunchError

MAX_ROUND_TRIPS = 1.5
NODES = 3
ENGINE_LIMIT = 16
TABLE = TableSize(engines=6, limit=ENGINE_LIMIT)
#: About 90 in 100 of the total capacity of the engines.
STREAMS = 86
PLAN = ReadPlan(STREAMS, 100, 8, warm_seconds=2, processes=2)
STEP_SCALE = 0.4


def permit_figures() -> list[Figure]:
    """Measure the requests to other nodes for each permit that they grant."""
    with open_harness(TABLE, NODES, step_scale=STEP_SCALE) as harness:
        nodes = harness.deployment.running_nodes()
        readers = harness.start_readers(PLAN, harness.deployment.addresses())
        time.sleep(PLAN.warm_seconds)
        requested = sum_metric(nodes, 'turmericyard_permits_asked_total')
        granted = sum_metric(nodes, 'turmericyard_permits_granted_total')
        time.sleep(PLAN.seconds - 1)
        requested = (
            sum_metric(nodes, 'turmericyard_permits_asked_total') - requested
        )
        granted = (
            sum_metric(nodes, 'turmericyard_permits_granted_total') - granted
        )
        meter = readers.wait()
    if not granted:
        raise LaunchError(
            f'no permit granted by another node: {dict(meter.outcomes)}'
        )
    return [
        Figure(
            'round trips a permit of another node',
            '1',
            Bound.AT_MOST,
            MAX_ROUND_TRIPS,
            requested / granted,
            detail=(
                f'{granted:.0f} permits, {PLAN.streams} streams of '
                f'{TABLE.engines * TABLE.limit} of capacity'
            ),
        )
    ]
