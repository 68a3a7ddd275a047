"""Metrics of the queue at a hub, whose values are read at each scrape."""

from collections import Counter
from functools import partial
from typing import Any

from turmericyard_decisions.admission_queue import Rank
from turmericyard_decisions.urgent_reserve import reserve_for
from turmericyard_node.forwarding.admission.hub_queue import HubQueue

PREFIX = 'turmericyard.forwarding'
#: Rank of a request that is less urgent than all others.
LEAST_URGENT: Rank = (1_000_000, 0)

Labelled = list[tuple[float, dict[str, str]]]


def register_queue(hub_queue: HubQueue, gauges: Any) -> None:
    """Register the waiting requests, the reserve and the reserved turns."""
    gauges.labelled(
        f'{PREFIX}.queued', '{request}', partial(count_queued, hub_queue)
    )
    gauges.labelled(
        f'{PREFIX}.reserved_places', '{place}', partial(count_kept, hub_queue)
    )
    gauges.labelled(
        f'{PREFIX}.reserved_tokens', '{token}', partial(sum_kept, hub_queue)
    )
    gauges.gauge(
        f'{PREFIX}.granted_places',
        '{place}',
        lambda: len(hub_queue.granted.places),
    )


def count_queued(hub_queue: HubQueue) -> Labelled:
    """Return the waiting requests by service, rank and workspace."""
    counts = Counter(
        (service, name_rank(request.rank), request.workspace)
        for service, admission in hub_queue.services.items()
        for request in admission.queue.requests.values()
    )
    return [
        (count, {'service': service, 'rank': rank, 'workspace': workspace})
        for (service, rank, workspace), count in counts.items()
    ]


def count_kept(hub_queue: HubQueue) -> Labelled:
    """Return the places kept free from the least urgent requests."""
    now = hub_queue.clock()
    return [
        (
            reserve_for(admission.demand, LEAST_URGENT, now).places,
            {'service': service},
        )
        for service, admission in hub_queue.services.items()
    ]


def sum_kept(hub_queue: HubQueue) -> Labelled:
    """Return the memory kept free from the least urgent requests."""
    now = hub_queue.clock()
    kept = []
    for service, admission in hub_queue.services.items():
        reserve = reserve_for(admission.demand, LEAST_URGENT, now)
        kept.append((reserve.places * reserve.tokens, {'service': service}))
    return kept


def name_rank(rank: Rank) -> str:
    """Return a rank as a label: priority of the workspace and of the route."""
    workspace, route = rank
    return f'{workspace}.{route}'
