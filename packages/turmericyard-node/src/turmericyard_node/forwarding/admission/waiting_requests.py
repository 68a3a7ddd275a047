"""The requests of a node that wait at a hub, and the offers for them."""

from dataclasses import dataclass, field

import curio

from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.peers.link import PeerLink
from turmericyard_protocol.fleet_messages import PlaceOffer, PlaceTaken


@dataclass(slots=True, eq=False)
class Pending:
    """A request that waits at a hub, until it has an offer or the hub is lost."""

    hub: str
    settled: curio.Event = field(default_factory=curio.Event)
    offer: PlaceOffer | None = None
    lost: bool = False


@dataclass(slots=True)
class WaitingRequests:
    """The waiting requests of this node by attempt."""

    pending: dict[str, Pending] = field(default_factory=dict)

    def add(self, attempt: str, pending: Pending) -> None:
        """Add a request that waits from now on."""
        self.pending[attempt] = pending

    def discard(self, attempt: str, pending: Pending) -> None:
        """Remove a request that no longer waits."""
        if self.pending.get(attempt) is pending:
            self.pending.pop(attempt)

    async def take(self, hub: str, offer: PlaceOffer) -> PlaceTaken:
        """Give an offer to its request; it is not taken when none waits."""
        pending = self.pending.get(offer.attempt)
        if (
            pending is None
            or pending.hub != hub
            or pending.lost
            or pending.offer is not None
        ):
            log_event(
                Event.QUEUE_INPUT_INVALID,
                node=hub,
                attempt=offer.attempt,
                message=f'no request waits for the place at {offer.endpoint}:'
                ' it was returned',
            )
            return PlaceTaken(taken=False)
        pending.offer = offer
        await pending.settled.set()
        return PlaceTaken(taken=True)

    async def lose(self, hub: str) -> None:
        """Wake the requests that wait at a hub that does not answer."""
        for pending in tuple(self.pending.values()):
            if pending.hub == hub and pending.offer is None:
                pending.lost = True
                await pending.settled.set()


def is_reached(fleet: Fleet, hub: str, link: PeerLink | None) -> bool:
    """Return whether a hub has the requests that were sent to it on a link.

    A restarted hub is reached by another link and has lost them.
    """
    if hub == fleet.own.node:
        return True
    if hub not in fleet.hub_choice.names or link is None:
        return False
    return fleet.mesh.links.get(hub) is link and not link.closed
