"""Spreads this node's calls to plain services over their endpoints.

Each node prefers one endpoint, so that it notices by few calls when that one is
busy. Every endpoint is preferred by as many nodes.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from turmericyard_http.clock import Clock
from turmericyard_node.forwarding.balancing.learning import learns
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.platform_state import PlatformState

#: Time for which an endpoint counts as full after a rejection, in seconds: a
#: slow period lasts 0.6 s and began before the rejection.
REJECTED_SECONDS = 0.5
#: Time for which an endpoint stays preferred when nodes or endpoints change, in
#: seconds.
CHOICE_SECONDS = 0.5


def no_nodes() -> Mapping[str, str]:
    """Return no nodes."""
    return {}


@dataclass(slots=True)
class CallPreferences:
    """Which endpoint this node prefers, and those that rejected its calls.

    The application sets `own` and `zones`.
    """

    platform_state: PlatformState
    clock: Clock
    own: str = ''
    #: Returns the zones of the live nodes by name, this one included.
    zones: Callable[[], Mapping[str, str]] = no_nodes
    #: When each endpoint rejected a call of this node last.
    rejected_at: dict[str, float] = field(default_factory=dict)
    #: The preferred endpoint by service.
    chosen: dict[str, str] = field(default_factory=dict)
    chosen_until: float = float('-inf')

    def observe_rejection(self, endpoint: Endpoint) -> None:
        """Record that an endpoint rejected a call."""
        service = self.platform_state.service(endpoint.record.service)
        if learns(self.platform_state, service):
            self.rejected_at[endpoint.identity] = self.clock()

    def recently_rejected(self) -> frozenset[str]:
        """Return the endpoints that have just rejected a call."""
        oldest = self.clock() - REJECTED_SECONDS
        self.rejected_at = {
            identity: at
            for identity, at in self.rejected_at.items()
            if at >= oldest
        }
        return frozenset(self.rejected_at)

    def preferred(self, service: str) -> str:
        """Return the endpoint of a service that this node prefers, if any."""
        now = self.clock()
        if now >= self.chosen_until:
            self.chosen_until = now + CHOICE_SECONDS
            self.chosen.clear()
        if service not in self.chosen:
            self.chosen[service] = self.choose(service)
        return self.chosen[service]

    def choose(self, service: str) -> str:
        """Return the endpoint at this node's position among the nodes.

        Nodes and endpoints are ordered by their zones, so that most nodes
        prefer an endpoint of their own zone.
        """
        zones = self.zones()
        names = sorted(zones, key=lambda name: (zones[name], name))
        endpoints = sorted(
            (endpoint.record.zone, endpoint.identity)
            for endpoint in self.platform_state.usable_endpoints(service)
        )
        if not endpoints or self.own not in zones:
            return ''
        position = names.index(self.own) * len(endpoints) // len(names)
        return endpoints[position][1]
