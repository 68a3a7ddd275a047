"""Offers of places and refusals that a hub sends to waiting nodes."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from returns.result import Success

from turmericyard_decisions.admission_queue import QueuedRequest
from turmericyard_decisions.service_admission import Verdict
from turmericyard_http.tasks import BackgroundTasks
from turmericyard_node.events import Event, log_event
from turmericyard_node.peers.mesh import PeerMesh
from turmericyard_protocol.fleet_messages import PlaceOffer, PlaceTaken

#: Time limit of a node's answer to an offer, in seconds, as for a request to a
#: hub.
OFFER_SECONDS = 0.12
MILLISECONDS = 1000
#: Expected wait that is logged at most, in seconds; it may be infinite.
MAX_LOGGED_SECONDS = 1000


@dataclass(slots=True)
class Offers:
    """Sends offers; `offer_own` passes one to this node itself."""

    own: str
    mesh: PeerMesh
    offer_own: Callable[[str, PlaceOffer], Awaitable[PlaceTaken]]

    @property
    def tasks(self) -> BackgroundTasks:
        """Return the tasks in which offers are sent."""
        return self.mesh.tasks

    async def send(self, node: str, offer: PlaceOffer) -> bool | None:
        """Send an offer; return whether it was taken, None without answer."""
        if node == self.own:
            return (await self.offer_own(node, offer)).taken
        reply = await self.mesh.request(node, offer, OFFER_SECONDS)
        if not isinstance(reply, Success):
            return None
        answer = reply.unwrap()
        return answer.taken if isinstance(answer, PlaceTaken) else None


def retry_milliseconds(verdict: Verdict) -> int:
    """Return the time after which a refused request may come back."""
    return int(verdict.retry_seconds * MILLISECONDS)


def log_rejected(request: QueuedRequest, verdict: Verdict) -> None:
    """Log why a request is refused."""
    log_event(
        Event.REQUEST_REJECTED,
        attempt=request.attempt,
        node=request.node,
        reason=verdict.reason,
        expected=round(min(verdict.expected, MAX_LOGGED_SECONDS), 3),
        return_seconds=round(verdict.retry_seconds, 3),
        reserved=verdict.reserved,
    )
