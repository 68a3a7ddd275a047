"""The endpoints of one service, as its queue at a hub uses them."""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from msgspec.structs import replace

from turmericyard_decisions.admission_queue import Key, QueuedRequest
from turmericyard_decisions.endpoint_choice import (
    FORECAST_MEMORY_SHARE,
    CandidateLoad,
)
from turmericyard_decisions.urgent_reserve import FreeRoom
from turmericyard_node.forwarding.admission.granted_places import GrantedPlaces
from turmericyard_node.forwarding.endpoint_selector import EndpointSelector
from turmericyard_protocol.fleet_messages import PlaceRequest


@dataclass(slots=True)
class ServiceEndpoints:
    """Finds room for the waiting requests of a service and counts its use."""

    service: str
    selector: EndpointSelector
    granted: GrantedPlaces
    messages: Mapping[Key, PlaceRequest]
    #: This node; it counts what it sends when it sends it.
    own: str
    now: float

    def rooms(self) -> list[FreeRoom]:
        """Return the free room of each endpoint."""
        service = self.selector.platform_state.service(self.service)
        if service is None:
            return []
        usable = self.selector.platform_state.usable_endpoints(self.service)
        loads = self.selector.candidate_loads(
            service, {endpoint.identity: endpoint for endpoint in usable}
        )
        return [to_room(load) for load in loads]

    def place(self, request: QueuedRequest, avoided: Collection[str]) -> str:
        """Count a request at an endpoint; return '' when none has room."""
        message = self.messages[request.key]
        if avoided:
            message = replace(message, avoided=(*message.avoided, *avoided))
        endpoint = self.selector.place_for_peer(message)
        if endpoint is None:
            return ''
        self.granted.grant(request, message, endpoint.identity, self.now)
        if request.node != self.own:
            endpoint.cold_rate.spend(self.now)
            endpoint.request_rate.spend()
        return endpoint.identity

    def is_restricted(self, request: QueuedRequest) -> bool:
        """Return whether a request may not use all endpoints, or must wait."""
        message = self.messages[request.key]
        return bool(message.avoided or message.suspects)


def to_room(load: CandidateLoad) -> FreeRoom:
    """Return the free room of an endpoint."""
    slots = max(0, load.slots - load.running)
    if not load.capacity:
        return FreeRoom(load.identity, slots, math.inf)
    permitted = FORECAST_MEMORY_SHARE * load.capacity
    return FreeRoom(
        load.identity, slots, permitted - load.memory_tokens, permitted
    )
