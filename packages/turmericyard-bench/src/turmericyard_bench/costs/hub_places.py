"""What a hub spends on a place and a node on its beats, by the fleet's size.

Run by `python -m turmericyard_bench.costs.hub_places`; nothing is sent.
"""

from dataclasses import dataclass
from random import Random
from statistics import median
from time import perf_counter
from typing import Any, cast

import click

from turmericyard_decisions.outlier import LATEST_WEIGHT
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
PLACES = 30
MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Size:
    """A fleet; `used` are the engines that each node has runs at."""

    nodes: int
    engines: int
    used: int


#: The size in two years; engines in use a node as its share of the traffic
#: (25 requests a second) keeps busy.
TARGET_NODES = 330
TARGET_ENGINES = 1600
TARGET_USED = 30
#: A standard site, a grown one and the size in two years.
SIZES = (
    Size(nodes=9, engines=16, used=8),  # noqa: WPS432
    Size(nodes=84, engines=36, used=12),  # noqa: WPS432
    Size(TARGET_NODES, TARGET_ENGINES, TARGET_USED),
)


def create_beat(size: Size, source: Random) -> FleetBeat:
    """Return a beat of a node with one run at each of its engines."""
    used = source.sample(range(size.engines), size.used)
    uses = [
        EndpointUse(f'i-{number:010}', 1, PROMPT_TOKENS, RUN_TOKENS, 0, 0)
        for number in used
    ]
    answers = [EndpointAnswers(1, use.identity, 1, 0, 0) for use in uses]
    return FleetBeat(1, 1, True, tuple(uses), tuple(answers))


def create_evidence() -> FleetEvidence:
    """Return evidence of nothing yet."""
    return FleetEvidence(clock, lambda _: LATEST_WEIGHT)


def create_placer(size: Size, loads: LoadTracker) -> EndpointSelector:
    """Return the placer of a hub that knows all engines."""
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
    )


def measure(size: Size) -> tuple[float, float, int]:
    """Return milliseconds a beat taken, a place given, and a beat's bytes."""
    source = Random(size.nodes)
    nothing = cast('Any', None)
    hub = create_hub(nothing, nothing, nothing, clock, create_evidence())
    beats = [create_beat(size, source) for _ in range(size.nodes)]
    began = perf_counter()
    for number, beat in enumerate(beats):
        hub.record_beat(f'n-{number}', 'a', beat)
    taken = (perf_counter() - began) / size.nodes
    endpoint_selector = create_placer(size, LoadTracker(hub.peer_totals))
    need = PlaceRequest(SERVICE, 'a', PROMPT_TOKENS, RUN_TOKENS, ())
    places = []
    for _ in range(PLACES):
        began = perf_counter()
        endpoint_selector.place_for_peer(need)
        places.append(perf_counter() - began)
    return (
        taken * MILLISECONDS,
        median(places) * MILLISECONDS,
        len(encode(beats[0])),
    )


def clock() -> float:
    """Return a time that stands still."""
    return 0


@click.command()
def main() -> None:
    """Print the costs at three sizes."""
    for size in SIZES:
        beat, place, sent = measure(size)
        click.echo(
            f'{size.nodes} nodes, {size.engines} engines, {size.used} used: '
            f'{beat:.3f} ms a beat, {place:.3f} ms a place, '
            f'{sent} bytes a beat'
        )


if __name__ == '__main__':
    main()
