"""The hub's side of the admission queue: one queue for each service."""

import math
from dataclasses import dataclass, field

import curio

from turmericyard_decisions.admission_queue import Key, QueuedRequest
from turmericyard_decisions.placing_round import Round, place_waiting
from turmericyard_decisions.service_admission import (
    ServiceAdmission,
    create_service_admission,
)
from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.admission.granted_places import GrantedPlaces
from turmericyard_node.forwarding.admission.hub_load import HubLoad
from turmericyard_node.forwarding.admission.offers import (
    Offers,
    log_rejected,
    retry_milliseconds,
)
from turmericyard_node.forwarding.admission.queue_input import (
    invalid_reason,
    read_request,
)
from turmericyard_node.forwarding.admission.service_endpoints import (
    ServiceEndpoints,
)
from turmericyard_node.forwarding.endpoint_selector import EndpointSelector
from turmericyard_protocol.fleet_messages import (
    PlaceEnd,
    PlaceOffer,
    PlaceReply,
    PlaceRequest,
    QueueLeave,
)

#: Least and longest pause between two rounds while requests wait, in seconds. A
#: round needs no message.
ROUND_SECONDS = 0.025
MAX_ROUND_SECONDS = 0.5
#: Pause for each second that a round takes, in seconds: with 1,600 endpoints a
#: round takes milliseconds, and a node may use 1.2% of a core for control.
PAUSE_FACTOR = 100
#: Interval at which the hub notes its role, in seconds.
ROLE_SECONDS = 0.5
#: Time below which a place was not used, in seconds: an engine rejected the
#: request or was not reached. Reading a prompt takes longer.
SHORTEST_RUN_SECONDS = 0.05


@dataclass(slots=True)
class HubQueue:
    """Queues of the services that this node places as a hub.

    `load` tells whether the hub knows the load of its nodes. `messages` has the request of
    each waiting node.
    """

    own: str
    offers: Offers
    selector: EndpointSelector
    granted: GrantedPlaces
    clock: Clock
    load: HubLoad
    services: dict[str, ServiceAdmission] = field(default_factory=dict)
    messages: dict[Key, PlaceRequest] = field(default_factory=dict)
    #: Time of the last round of each service.
    round_at: dict[str, float] = field(default_factory=dict)
    #: Pause before the next round, in seconds.
    pause: float = ROUND_SECONDS
    waiting: curio.Event = field(default_factory=curio.Event)

    def is_enabled(self, service: str) -> bool:
        """Return whether the requests of a service are queued."""
        return is_queued_service(self.selector, service)

    def is_queued_endpoint(self, identity: str) -> bool:
        """Return whether an endpoint belongs to a service that is queued."""
        registry = self.selector.platform_state.registry
        endpoint = registry.endpoints.get(identity)
        return endpoint is not None and self.is_enabled(endpoint.record.service)

    def handles(self, message: PlaceRequest) -> bool:
        """Return whether a request is for the queue.

        Nodes of form 1 name no route; they are placed as before.
        """
        return bool(message.route) and self.is_enabled(message.service)

    async def answer(self, message: PlaceRequest, node: str) -> PlaceReply:
        """Place a request of a node, let it wait or refuse it."""
        reason = invalid_reason(message)
        if reason:
            log_event(
                Event.QUEUE_INPUT_INVALID,
                node=node,
                attempt=message.attempt,
                message=reason,
            )
            return PlaceReply('')
        now = self.clock()
        self.leave(node, QueueLeave(message.attempt))
        admission = self.admission(message.service)
        returned = admission.returning.claim(
            message.workspace, message.route, now
        )
        request = read_request(message, node, now, returned=returned)
        is_behind = self.has_blocked(message.service, now)
        admission.arrive(request, now)
        self.messages[request.key] = message
        if is_behind:
            return await self.let_wait(admission, request)
        outcome = await self.place(message.service, asking=request.key)
        for placed, endpoint in outcome.placed:
            if placed.key == request.key:
                return PlaceReply(endpoint)
        return await self.let_wait(
            admission, request, kept=request.key in outcome.kept_back
        )

    def has_blocked(self, service: str, now: float) -> bool:
        """Return whether a round just left requests that found no room.

        The next round is soon enough for one more request. Without this bound,
        200 requests that come at once from a lost hub would have as many
        rounds, and late replies.
        """
        since = now - self.round_at.get(service, -math.inf)
        return since < self.pause and bool(self.admission(service).queue)

    async def let_wait(
        self,
        admission: ServiceAdmission,
        request: QueuedRequest,
        *,
        kept: bool = False,
    ) -> PlaceReply:
        """Let a request wait that found no room, or refuse it."""
        verdict = admission.decide(request.key, self.clock())
        if not verdict.waits:
            self.messages.pop(request.key)
            log_rejected(request, verdict)
            return PlaceReply('', retry_after_ms=retry_milliseconds(verdict))
        log_event(
            Event.REQUEST_QUEUED,
            attempt=request.attempt,
            node=request.node,
            reason='room is kept for urgent requests' if kept else 'no room',
            returned=request.returned,
            expected=round(verdict.expected, 3),
            waiting=len(admission.queue),
        )
        await self.waiting.set()
        return PlaceReply('', queued=True)

    async def place(self, service: str, asking: Key | None = None) -> Round:
        """Place waiting requests; send offers to all but the `asking` one."""
        now = self.clock()
        self.round_at[service] = now
        self.granted.hub.expire_grants()
        endpoints = ServiceEndpoints(
            service, self.selector, self.granted, self.messages, self.own, now
        )
        if not self.load.is_known():
            return Round(self.admission(service), endpoints, now)
        outcome = place_waiting(self.admission(service), endpoints, now)
        for request, endpoint in outcome.placed:
            self.messages.pop(request.key)
            if request.key != asking:
                await self.offers.tasks.spawn(self.offer, request, endpoint)
        return outcome

    async def offer(self, request: QueuedRequest, endpoint: str) -> None:
        """Offer a place; take it back from a node that does not use it.

        Without an answer the place expires with its grant: the node may use it.
        """
        taken = await self.offers.send(
            request.node, PlaceOffer(request.attempt, endpoint)
        )
        log_event(
            Event.REQUEST_OFFERED,
            attempt=request.attempt,
            node=request.node,
            endpoint=endpoint,
            taken=taken,
        )
        if taken is False:
            self.give_back(request.key, 'no request waits for it')

    def give_back(self, key: Key, reason: str) -> bool:
        """Count a place as not used; return whether it was known."""
        place = self.granted.end(key)
        if place is None:
            return False
        admission = self.admission(place.service)
        admission.give_back(place.request, self.clock())
        log_event(
            Event.PLACE_RETURNED,
            attempt=key[1],
            node=key[0],
            endpoint=place.endpoint,
            reason=reason,
        )
        return True

    def leave(self, node: str, message: QueueLeave) -> None:
        """Remove a request that no longer waits, or free its place."""
        key = (node, message.attempt)
        waiting = self.messages.pop(key, None)
        if waiting is None:
            self.give_back(key, 'the request is gone')
        else:
            self.admission(waiting.service).queue.remove(key)

    def end(self, node: str, message: PlaceEnd) -> None:
        """Count a placed request as ended; it may not have run."""
        key = (node, message.attempt)
        place = self.granted.places.get(key)
        if place is None or place.endpoint != message.endpoint:
            log_event(
                Event.QUEUE_INPUT_INVALID,
                node=node,
                attempt=message.attempt,
                message=f'no place at {message.endpoint} is known: it was'
                ' returned before, or granted by another process',
            )
            return
        now = self.clock()
        seconds = now - place.granted_at
        if seconds < SHORTEST_RUN_SECONDS:
            self.give_back(key, 'it was not used')
            return
        self.granted.end(key)
        self.admission(place.service).demand.record_end(
            place.request, seconds, now
        )

    def admission(self, service: str) -> ServiceAdmission:
        """Return the admission of a service."""
        found = self.services.get(service)
        if found is None:
            found = create_service_admission(self.clock())
            self.services[service] = found
        return found

    async def run(self) -> None:
        """Place and expire waiting requests until cancelled."""
        while True:
            self.load.observe_role()
            self.expire_places()
            async with curio.ignore_after(ROLE_SECONDS):
                await self.waiting.wait()
                self.waiting.clear()
            while self.messages:
                await curio.sleep(self.pause)
                began_at = self.clock()
                await self.run_round()
                cost = PAUSE_FACTOR * (self.clock() - began_at)
                self.pause = min(max(ROUND_SECONDS, cost), MAX_ROUND_SECONDS)

    def expire_places(self) -> None:
        """Forget the places of nodes that have ended."""
        for place in self.granted.expire(self.clock()):
            demand = self.admission(place.service).demand
            demand.record_return(place.request)

    async def run_round(self) -> None:
        """Place waiting requests and refuse those that waited too long."""
        now = self.clock()
        self.load.observe_role()
        self.expire_places()
        for service, admission in tuple(self.services.items()):
            for request, verdict in admission.expire(now):
                self.messages.pop(request.key, None)
                log_rejected(request, verdict)
                offer = PlaceOffer(
                    request.attempt, '', retry_milliseconds(verdict)
                )
                await self.offers.tasks.spawn(
                    self.offers.send, request.node, offer
                )
            if admission.queue:
                await self.place(service)


def is_queued_service(selector: EndpointSelector, name: str) -> bool:
    """Return whether the hub queues the requests of a service."""
    state = selector.platform_state
    table = state.route_table
    if table is None or name not in table.resumable_services:
        return False
    service = state.service(name)
    return service is not None and service.engine is not None
