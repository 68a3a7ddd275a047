"""Learns how busy the endpoints of plain services are, from this node's calls."""

from dataclasses import dataclass, field

from turmericyard_decisions.endpoint_occupancy import (
    Occupancy,
    usual_call_seconds,
)
from turmericyard_http.clock import Clock
from turmericyard_node.forwarding.balancing.learning import learns, start_of
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.platform_state import PlatformState

#: Weight of recent calls from which the metrics show their mean time.
LEAST_CALLS = 0.1


@dataclass(slots=True)
class CallOccupancies:
    """Occupancy of endpoints of plain services, by identity."""

    platform_state: PlatformState
    clock: Clock
    known: dict[str, Occupancy] = field(default_factory=dict)

    def observe_call(self, endpoint: Endpoint, seconds: float) -> None:
        """Record the time of a complete call."""
        if self.is_learned(endpoint):
            self.occupancy(endpoint).observe_call(seconds, self.clock())

    def observe_rejection(self, endpoint: Endpoint) -> None:
        """Record that an endpoint rejected a call."""
        if self.is_learned(endpoint):
            self.occupancy(endpoint).observe_rejection(self.clock())

    def is_learned(self, endpoint: Endpoint) -> bool:
        """Return whether the occupancy of an endpoint is used."""
        service = self.platform_state.service(endpoint.record.service)
        return learns(self.platform_state, service)

    def occupancy(self, endpoint: Endpoint) -> Occupancy:
        """Return the occupancy of an endpoint, empty after a restart."""
        start = start_of(endpoint)
        found = self.known.get(endpoint.identity)
        if found is None or found.start != start:
            self.forget_removed()
            found = Occupancy(start, updated_at=self.clock())
            self.known[endpoint.identity] = found
        return found

    def forget_removed(self) -> None:
        """Forget endpoints that have no record any more."""
        endpoints = self.platform_state.registry.endpoints
        for identity in tuple(self.known):
            if identity not in endpoints:
                self.known.pop(identity)

    def learned_seconds(self) -> dict[str, float]:
        """Return the mean time of recent calls to each endpoint."""
        now = self.clock()
        for found in self.known.values():
            found.advance(now)
        return {
            identity: known.seconds / known.calls
            for identity, known in self.known.items()
            if known.calls >= LEAST_CALLS
        }

    def expected_seconds(
        self, endpoints: list[Endpoint], running: dict[str, int]
    ) -> dict[str, float]:
        """Return the expected time of one more call to each endpoint."""
        now = self.clock()
        usual = usual_call_seconds(
            [self.occupancy(endpoint) for endpoint in endpoints], now
        )
        return {
            endpoint.identity: self.occupancy(endpoint).expected_seconds(
                usual, running[endpoint.identity], endpoint.record.slots
            )
            for endpoint in endpoints
        }
