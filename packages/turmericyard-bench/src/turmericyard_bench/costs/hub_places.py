"""Measures a hub's costs of placements and heartbeats, by fleet size.

It runs as `python -m turmericyard_bench.costs.hub_places` and sends nothing.
"""

from dataclasses import dataclass
from random import Random
from statistics import median
from time import perf_counter
from typing import Any, cast

import click

from turmericyard_decisions.outlier import LATEST_WEIGHT
from turmericyard_decisions.strikes import StrikeRegistry
from turmericyard_decisions.trials import TrialRegistry
from turmericyard_http.clock import boot_seconds
from turmericyard_node.forwarding.endpoint_evidence import FleetEvidence
from turmericyard_node.forwarding.endpoint_selector import EndpointSelector
from turmericyard_node.forwarding.hub import create_hub
from turmericyard_node.forwarding.load_tracker import LoadTracker
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_ports.configuration import (
    Configuration,
    EngineTraits,
    Service,
    index_routes,
)
from turmericyard_ports.endpoint import EndpointRecord, EndpointState
from turmericyard_ports.settings import Bounds
from turmericyard_protocol.codec import encode
from turmericyard_protocol.fleet_messages import (
    EndpointAnswers,
    EndpointUse,
    FleetBeat,
    PlaceRequest,
)

SERVICE = 'engines'
SLOTS = 24
MEMORY_TOKENS = 27_000
TRAITS = EngineTraits(SLOTS, MEMORY_TOKENS, 4, True, True)
PROMPT_TOKENS = 3000
RUN_TOKENS = 4000
PLACEMENTS = 30
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Size of a fleet; each node has runs at `engines_in_use`."""

    nodes: int
    engines: int
    engines_in_use: int


#: The size in two years. A node uses as many engines as its share of the
#: traffic, 25 requests a second, keeps busy.
TARGET_NODES = 330
TARGET_ENGINES = 1600
TARGET_ENGINES_IN_USE = 30
#: A standard site, a site that has grown and the size in two years.
SIZES = (
    FleetSize(nodes=9, engines=16, engines_in_use=8),  # noqa: WPS432
    FleetSize(nodes=84, engines=36, engines_in_use=12),  # noqa: WPS432
    FleetSize(TARGET_NODES, TARGET_ENGINES, TARGET_ENGINES_IN_USE),
)


def create_heartbeat(size: FleetSize, source: Random) -> FleetBeat:
    """Return the heartbeat of a node with one run at each engine it uses."""
    numbers = source.sample(range(size.engines), size.engines_in_use)
    uses = [
        EndpointUse(f'i-{number:010}', 1, PROMPT_TOKENS, RUN_TOKENS, 0, 0)
        for number in numbers
    ]
    answers = [EndpointAnswers(1, use.identity, 1, 0, 0) for use in uses]
    return FleetBeat(1, 1, True, tuple(uses), tuple(answers))


def create_evidence() -> FleetEvidence:
    """Return fleet evidence without any observations."""
    return FleetEvidence(clock, lambda _: LATEST_WEIGHT)


def create_selector(size: FleetSize, loads: LoadTracker) -> EndpointSelector:
    """Return the endpoint selector of a hub that knows all engines."""
    platform_state = PlatformState(cast('Any', None), boot_seconds)
    service = Service(SERVICE, 0, TRAITS)
    platform_state.route_table = index_routes(
        Configuration(1, services={SERVICE: service})
    )
    for number in range(size.engines):
        record = EndpointRecord(
            f'i-{number:010}',
            SERVICE,
            '127.0.0.1:1',
            'a',
            SLOTS,
            EndpointState.READY,
            0,
            None,
        )
        platform_state.registry.observe(record, 0)
    return EndpointSelector(
        platform_state,
        loads,
        Bounds(),
        'a',
        boot_seconds,
        lambda: size.nodes,
        lambda _: frozenset(),
        TrialRegistry(StrikeRegistry(boot_seconds), boot_seconds),
    )


def measure(size: FleetSize) -> tuple[float, float, int]:
    """Measure a fleet.

    Returns the milliseconds to record a heartbeat, the milliseconds of a
    placement and the bytes of a heartbeat.
    """
    source = Random(size.nodes)
    unused = cast('Any', None)
    hub = create_hub(unused, unused, unused, clock, create_evidence())
    heartbeats = [create_heartbeat(size, source) for _ in range(size.nodes)]
    started = perf_counter()
    for number, heartbeat in enumerate(heartbeats):
        hub.record_heartbeat(f'n-{number}', 'a', heartbeat)
    record_seconds = (perf_counter() - started) / size.nodes
    endpoint_selector = create_selector(size, LoadTracker(hub.peer_totals))
    request = PlaceRequest(SERVICE, 'a', PROMPT_TOKENS, RUN_TOKENS, ())
    place_seconds = []
    for _ in range(PLACEMENTS):
        started = perf_counter()
        endpoint_selector.place_for_peer(request)
        place_seconds.append(perf_counter() - started)
    return (
        record_seconds * MILLISECONDS_PER_SECOND,
        median(place_seconds) * MILLISECONDS_PER_SECOND,
        len(encode(heartbeats[0])),
    )


def clock() -> float:
    """Return the same time on every call."""
    return 0


@click.command()
def main() -> None:
    """Print the costs at three fleet sizes."""
    for size in SIZES:
        record_ms, place_ms, sent_bytes = measure(size)
        click.echo(
            f'{size.nodes} nodes, {size.engines} engines, '
            f'{size.engines_in_use} used: '
            f'{record_ms:.3f} ms a beat, {place_ms:.3f} ms a place, '
            f'{sent_bytes} bytes a beat'
        )


if __name__ == '__main__':
    main()
