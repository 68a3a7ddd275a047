"""Places generations through the first hub, which sees all placements.

Nodes that chose by sums that are a moment old would choose the same endpoint
together. Without a hub that answers, a node chooses by itself.
"""

from dataclasses import dataclass

from returns.result import Success

from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.placer import Placer, need_of
from turmericyard_protocol.fleet_messages import PlaceReply

#: How long a hub has for its answer, in seconds: a round trip between zones
#: takes a few milliseconds.
HUB_SECONDS = 0.12


@dataclass(slots=True)
class Placement:
    """Finds the place of a request."""

    fleet: Fleet
    placer: Placer
    clock: Clock

    async def place(self, job: Job) -> Endpoint | None:
        """Return the endpoint for a request, None when none has room."""
        hub = self.fleet.hubs.first()
        if job.service.engine is None or hub is None:
            return self.placer.place(job)
        if hub == self.fleet.own.node:
            self.fleet.take_own_sums()
            return self.placer.place(job)
        return await self.ask(hub, job)

    async def ask(self, hub: str, job: Job) -> Endpoint | None:
        """Return the endpoint that a hub names, or the own choice."""
        now = self.clock()
        book = self.placer.knowledge.book
        need = need_of(job, self.placer.zone)
        reply = await self.fleet.mesh.request(hub, need, HUB_SECONDS)
        if not isinstance(reply, Success):
            return self.placer.place(job)
        named = reply.unwrap()
        if not isinstance(named, PlaceReply) or not named.endpoint:
            return None
        endpoint = book.endpoints.get(named.endpoint)
        if endpoint is None or endpoint.evidence.aside(now):
            return self.placer.place(job)
        if not endpoint.usable(now):
            return self.placer.place(job)
        log_event(
            Event.REQUEST_PLACED,
            attempt=job.attempt,
            endpoint=endpoint.identity,
            hub=hub,
            seconds=round(self.clock() - now, 4),
            prompt=need.prompt_tokens,
        )
        return endpoint
