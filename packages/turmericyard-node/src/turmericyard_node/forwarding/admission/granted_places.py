"""The places that a hub has given to requests of its queue."""

from collections import deque
from dataclasses import dataclass, field

from turmericyard_decisions.admission_queue import Key, QueuedRequest
from turmericyard_node.forwarding.hub import Hub
from turmericyard_protocol.fleet_messages import EndpointUse, PlaceRequest

#: Time after which a place counts as ended whose node has not said so, in
#: seconds: the node may have ended. The longest generations take 39 s.
EXPIRY_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class GrantedPlace:
    """A place, the request that has it and the load that the hub counted."""

    request: QueuedRequest
    service: str
    endpoint: str
    use: EndpointUse
    granted_at: float


@dataclass(slots=True)
class GrantedPlaces:
    """The granted places by request, the oldest first."""

    hub: Hub
    places: dict[Key, GrantedPlace] = field(default_factory=dict)

    def grant(
        self,
        request: QueuedRequest,
        message: PlaceRequest,
        endpoint: str,
        now: float,
    ) -> None:
        """Count the place of a request at an endpoint."""
        use = EndpointUse(
            endpoint,
            1,
            message.prompt_tokens,
            message.tokens,
            message.prompt_tokens,
            0,
        )
        self.hub.grant(use)
        self.places.pop(request.key, None)
        self.places[request.key] = GrantedPlace(
            request, message.service, endpoint, use, now
        )

    def end(self, key: Key) -> GrantedPlace | None:
        """Remove a place and return it, None when it is not known.

        The hub counts it no more. Once its grant has expired, the heartbeats of
        its node tell whether it is used.
        """
        place = self.places.pop(key, None)
        if place is None:
            return None
        grants = self.hub.open_grants
        kept = [grant for grant in grants if grant[1] is not place.use]
        if len(kept) < len(grants):
            self.hub.open_grants = deque(kept)
            self.hub.count((place.use,), -1)
        return place

    def expire(self, now: float) -> list[GrantedPlace]:
        """Remove and return the places of which nothing was heard for long."""
        overdue = []
        for key, place in tuple(self.places.items()):
            if now - place.granted_at < EXPIRY_SECONDS:
                break
            self.places.pop(key)
            overdue.append(place)
        return overdue
