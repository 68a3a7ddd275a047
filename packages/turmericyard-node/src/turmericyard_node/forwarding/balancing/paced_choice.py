"""Chooses endpoints by their learned speeds."""

from random import Random

from turmericyard_decisions.endpoint_choice import (
    CandidateLoad,
    PacedDemand,
    choose_paced_engine,
    choose_preferred_endpoint,
)
from turmericyard_node.forwarding.balancing.endpoint_paces import EndpointPaces
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_ports.configuration import Service
from turmericyard_protocol.fleet_messages import PlaceRequest


def choose_by_pace(
    paces: EndpointPaces,
    service: Service,
    request: PlaceRequest,
    candidates: dict[str, Endpoint],
    candidate_loads: list[CandidateLoad],
    random: Random,
) -> CandidateLoad | None:
    """Return the load of the best candidate, None when none has room."""
    if service.engine is None:
        return choose_preferred_endpoint(
            candidate_loads,
            paces.calls.preferred(service.name),
            paces.calls.recently_rejected(),
            random,
        )
    demand = PacedDemand(
        request.prompt_tokens,
        request.tokens,
        request.zone,
        pause_target(paces.platform_state, service.name),
        service.engine.tokens_per_event,
    )
    return choose_paced_engine(
        candidate_loads,
        lambda identity: paces.speed(candidates[identity]),
        demand,
        random,
    )


def pause_target(platform_state: PlatformState, service: str) -> float:
    """Return the shortest target of a service's routes for pauses.

    The streams at an engine may be of any of the routes. The target is in
    seconds, 0 without one.
    """
    table = platform_state.route_table
    targets = [
        route.gap_target_seconds
        for route in (table.configuration.routes if table else ())
        if route.gap_target_seconds
        and any(target.service == service for target in route.targets)
    ]
    return min(targets, default=0)
