"""Answers the messages of the admission queue from other nodes."""

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from turmericyard_node.forwarding.admission.hub_queue import HubQueue
from turmericyard_node.forwarding.admission.waiting_requests import (
    WaitingRequests,
)
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_protocol.fleet_messages import (
    PlaceEnd,
    PlaceOffer,
    PlaceReply,
    PlaceRequest,
    PlaceTaken,
    QueueLeave,
)


@dataclass(slots=True)
class QueueReceiver:
    """Passes messages to the queue, and all others to the fleet."""

    fleet: Fleet
    hub_queue: HubQueue
    waiting: WaitingRequests

    @singledispatchmethod
    async def answer(self, payload: Any, sender: str) -> Any:
        """Return the reply to a message."""
        return await self.fleet.answer(payload, sender)

    @answer.register
    async def answer_request(
        self, payload: PlaceRequest, sender: str
    ) -> PlaceReply:
        """Return the place of a request, or whether it waits."""
        if self.hub_queue.handles(payload):
            return await self.hub_queue.answer(payload, sender)
        reply: PlaceReply = await self.fleet.answer_place(payload, sender)
        return reply

    @answer.register
    async def answer_offer(
        self, payload: PlaceOffer, sender: str
    ) -> PlaceTaken:
        """Return whether a request of this node uses the offered place."""
        return await self.waiting.take(sender, payload)

    @answer.register
    async def answer_leave(self, payload: QueueLeave, sender: str) -> None:
        """Remove a request that no longer waits."""
        self.hub_queue.leave(sender, payload)

    @answer.register
    async def answer_end(self, payload: PlaceEnd, sender: str) -> None:
        """Count a place no more."""
        if self.hub_queue.is_queued_endpoint(payload.endpoint):
            self.hub_queue.end(sender, payload)
        await self.fleet.answer_place_end(payload, sender)
