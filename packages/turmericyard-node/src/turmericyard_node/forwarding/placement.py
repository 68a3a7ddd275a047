"""Places generations and copies through a hub, which sees all placements.

Nodes that chose by themselves would choose the same endpoint together, and
would not know what the others run. Without a hub that answers, a node chooses
by what it runs itself.
"""

from collections.abc import Collection
from dataclasses import dataclass

from returns.result import Success

from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.placer import Placer
from turmericyard_protocol.fleet_messages import (
    CopyPlaceRequest,
    PlaceReply,
    PlaceRequest,
)

#: How long a hub has for its answer, in seconds: a round trip between zones
#: takes a few milliseconds.
HUB_SECONDS = 0.12


@dataclass(slots=True)
class Placement:
    """Finds the places of requests and of copies."""

    fleet: Fleet
    placer: Placer
    clock: Clock

    async def place(self, job: Job) -> Endpoint | None:
        """Return the endpoint for a request, None when none has room."""
        if job.service.engine is None:
            return self.placer.place(job)
        now = self.clock()
        need = self.placer.need_of(job)
        hub, reply = await self.ask_hubs(need)
        if reply is None:
            return self.placer.place(job)
        if not reply.endpoint:
            return None
        endpoint = self.known(reply)
        if (
            endpoint is None
            or endpoint.evidence.aside(now)
            or endpoint.rests(now)
        ):
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

    async def place_copy(
        self,
        job: Job,
        tokens: float,
        source: Endpoint,
        unfit: Collection[str] = (),
        *,
        backup: bool,
    ) -> Endpoint | None:
        """Return the endpoint for a copy or backup of a run, None without room.

        Those that are `unfit`, by identity, are left out.
        """
        need = CopyPlaceRequest(
            job.service.name,
            source.record.zone,
            int(tokens),
            backup,
            (source.identity, *unfit, *self.placer.resting(job)),
        )
        _, reply = await self.ask_hubs(need)
        if reply is None:
            return self.placer.place_copy(need)
        return self.known(reply)

    async def ask_hubs(
        self, need: PlaceRequest | CopyPlaceRequest
    ) -> tuple[str, PlaceReply | None]:
        """Return the first hub that answers, and its answer.

        No answer where this node is the first hub itself, or none answers.
        """
        for hub in self.fleet.hubs.by_preference():
            if hub == self.fleet.own.node:
                self.fleet.hub.expire_grants()
                return hub, None
            reply = await self.fleet.mesh.request(hub, need, HUB_SECONDS)
            if isinstance(reply, Success):
                named = reply.unwrap()
                if isinstance(named, PlaceReply):
                    return hub, named
        return '', None

    def known(self, reply: PlaceReply) -> Endpoint | None:
        """Return the endpoint that a hub named, if it may be used."""
        book = self.placer.knowledge.book
        endpoint = book.endpoints.get(reply.endpoint)
        if endpoint is None or not endpoint.usable(self.clock()):
            return None
        return endpoint
