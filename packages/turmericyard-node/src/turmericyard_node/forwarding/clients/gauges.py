"""Metrics of what clients take, read at each scrape."""

from functools import partial
from typing import Any

from turmericyard_http.intake.account import Kind, Reason
from turmericyard_node.forwarding.clients.bounds import ClientBounds, Listener

PREFIX = 'turmericyard.forwarding.clients'


def register_client_gauges(bounds: ClientBounds, gauges: Any) -> None:
    """Register bytes by kind, rejections by reason and open connections."""
    for kind in Kind:
        gauges.gauge(
            f'{PREFIX}.bytes_{kind.value}',
            'By',
            partial(bounds.account.used.__getitem__, kind),
        )
    for reason in Reason:
        name = reason.value.replace(' ', '_')
        gauges.counter(
            f'{PREFIX}.rejected_{name}',
            '{client}',
            partial(bounds.account.rejections.__getitem__, reason),
        )
    gauges.gauge(
        f'{PREFIX}.connections',
        '{connection}',
        partial(count_connections, bounds),
    )


def count_connections(bounds: ClientBounds) -> int:
    """Return the open connections of clients."""
    return len(bounds.intakes[Listener.CALLERS].connections)
