"""Places generations and copies through a hub, which knows all placements.

Nodes that choose on their own may all choose the same endpoint, since they do
not know what the others run. When no hub answers, a node chooses by its own
load alone. Calls of a plain service are placed so only while one of its
endpoints names a limit for all nodes together or is brittle.
"""

from collections.abc import Collection
from dataclasses import dataclass

import curio
from returns.result import Success

from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.admission.queue import AdmissionQueue
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.endpoint_selector import EndpointSelector
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.forwarding.job import Job
from turmericyard_protocol.fleet_messages import (
    CopyPlaceRequest,
    PlaceEnd,
    PlaceReply,
    PlaceRequest,
)

#: Time limit of a request to a hub, in seconds: a round trip between zones
#: takes a few milliseconds.
HUB_TIMEOUT_SECONDS = 0.12


@dataclass(slots=True)
class HubPlacement:
    """Finds endpoints for requests, copies and backups."""

    fleet: Fleet
    endpoint_selector: EndpointSelector
    clock: Clock
    queue: AdmissionQueue

    async def place(self, job: Job) -> Endpoint | None:
        """Return the endpoint for a request, None when none has room."""
        if job.service.engine is None and not self.endpoint_selector.has_limits(
            job.service.name
        ):
            return self.place_alone(job, as_hub=False)
        now = self.clock()
        request = self.endpoint_selector.place_request(job)
        hub, reply = await self.ask_hubs(request)
        if reply is None:
            return self.place_alone(job, as_hub=hub == self.fleet.own.node)
        if not reply.endpoint:
            return None
        job.placed_by[reply.endpoint] = hub
        endpoint = self.usable_endpoint(reply)
        if (
            endpoint is None
            or endpoint.evidence.is_ejected(now)
            or endpoint.is_backing_off(now)
        ):
            await self.release(job, reply.endpoint)
            return self.place_alone(job, as_hub=False)
        log_event(
            Event.REQUEST_PLACED,
            attempt=job.attempt,
            endpoint=endpoint.identity,
            hub=hub,
            seconds=round(self.clock() - now, 4),
            prompt=request.prompt_tokens,
        )
        return endpoint

    def queue_for(self, job: Job) -> AdmissionQueue | None:
        """Return the queue for a request whose service has one."""
        return self.queue if self.queue.is_enabled(job) else None

    async def end_queue_place(self, job: Job) -> None:
        """Tell the hub that a request no longer uses the place it gave."""
        await self.queue.release(job)

    def place_alone(self, job: Job, *, as_hub: bool) -> Endpoint | None:
        """Return the endpoint that this node chooses for a request."""
        endpoint = self.endpoint_selector.place(job, as_hub=as_hub)
        if endpoint is not None:
            job.placed_by[endpoint.identity] = self.fleet.own.node
        return endpoint

    async def release(self, job: Job, identity: str) -> None:
        """Tell the hub that placed a call at a brittle endpoint that it ended."""
        hub = job.placed_by.pop(identity, '')
        if hub == self.fleet.own.node:
            self.endpoint_selector.placed.end(identity, job.attempt)
        elif hub and self.endpoint_selector.is_brittle(job.service.name):
            async with curio.ignore_after(HUB_TIMEOUT_SECONDS):
                await self.fleet.mesh.send(hub, PlaceEnd(identity, job.attempt))

    def other_versions(self, job: Job, source: Endpoint) -> list[str]:
        """Return the endpoints of other versions than that of a run."""
        rollouts = self.endpoint_selector.rollouts
        if rollouts is None:
            return []
        return rollouts.avoided_for_copy(job.service.name, source)

    async def place_copy(
        self,
        job: Job,
        tokens: float,
        source: Endpoint,
        excluded_endpoints: Collection[str] = (),
        *,
        backup: bool,
    ) -> Endpoint | None:
        """Return the endpoint for a copy or backup of a run at `source`.

        Endpoints whose identities are in `excluded_endpoints`, and those that
        may still work on the run, are left out. None when no endpoint has room.
        """
        request = CopyPlaceRequest(
            job.service.name,
            source.record.zone,
            int(tokens),
            backup,
            (
                source.identity,
                *excluded_endpoints,
                *job.unstopped_endpoints,
                *self.endpoint_selector.backing_off(job),
                *self.other_versions(job, source),
            ),
        )
        _, reply = await self.ask_hubs(request)
        if reply is None:
            return self.endpoint_selector.place_copy(request)
        return self.usable_endpoint(reply)

    async def ask_hubs(
        self, place_request: PlaceRequest | CopyPlaceRequest
    ) -> tuple[str, PlaceReply | None]:
        """Return the first hub that answers, and its answer.

        The answer is None when no hub answers, or when this node is the first
        hub itself.
        """
        for hub in self.fleet.hub_choice.in_preference_order():
            if hub == self.fleet.own.node:
                self.fleet.hub.expire_grants()
                return hub, None
            reply = await self.fleet.mesh.request(
                hub, place_request, HUB_TIMEOUT_SECONDS
            )
            if isinstance(reply, Success):
                message = reply.unwrap()
                if isinstance(message, PlaceReply):
                    return hub, message
        return '', None

    def usable_endpoint(self, reply: PlaceReply) -> Endpoint | None:
        """Return the endpoint that a hub chose, None if this node cannot use it."""
        registry = self.endpoint_selector.platform_state.registry
        endpoint = registry.endpoints.get(reply.endpoint)
        if endpoint is None or not endpoint.usable():
            return None
        return endpoint
