"""The node's side of the admission queue: requests that wait at a hub."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import curio
from msgspec.structs import replace
from returns.result import Success

from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.admission.hub_queue import HubQueue
from turmericyard_node.forwarding.admission.offers import MILLISECONDS
from turmericyard_node.forwarding.admission.queue import (
    QueueRefusal,
    WaitTimes,
)
from turmericyard_node.forwarding.admission.waiting_requests import (
    Pending,
    WaitingRequests,
    is_reached,
)
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.endpoint_selector import EndpointSelector
from turmericyard_node.forwarding.fleet import Fleet
from turmericyard_node.forwarding.job import Job
from turmericyard_protocol.fleet_messages import (
    PlaceEnd,
    PlaceOffer,
    PlaceReply,
    PlaceRequest,
    QueueLeave,
)
from turmericyard_protocol.forms import FIRST_FORM, FORM

#: Time limit of a request to a hub, in seconds.
HUB_SECONDS = 0.12
#: Requests of this node to hubs that wait for a reply at the same time. The
#: replies to 200 at once, when a hub is lost, take longer than `HUB_SECONDS`.
MAX_ASKING = 16
#: Interval at which a waiting request checks that its hub is still there, in
#: seconds. The check sends nothing.
CHECK_SECONDS = 0.12
#: Time for which a node waits beyond the limit that it gave its hub, in
#: seconds, so that the hub's refusal, which has a time to retry, comes first.
REFUSAL_SECONDS = 0.15
#: Endpoints chosen by the hub that this node cannot use, after which a request
#: is refused.
MAX_UNUSABLE = 3
#: Time to retry that is given when no hub named one, in seconds.
RETRY_SECONDS = 1.0
#: Part of its remaining time for which a client honours `Retry-After`.
RETRY_LEFT_SHARE = 1 / 3


@dataclass(slots=True)
class NodeQueue:
    """Lets requests of this node wait at the first hub that answers."""

    fleet: Fleet
    selector: EndpointSelector
    hub_queue: HubQueue
    waiting: WaitingRequests
    clock: Clock
    #: Sends a message to another node without waiting for it.
    post: Callable[[str, QueueLeave | PlaceEnd], Awaitable[None]]
    #: Bounds the requests that a hub has to answer at the same time.
    asking: curio.Semaphore = field(
        default_factory=partial(curio.Semaphore, MAX_ASKING)
    )

    def is_enabled(self, job: Job) -> bool:
        """Return whether the requests of a job's service are queued."""
        return self.hub_queue.is_enabled(job.service.name)

    async def find(
        self, job: Job, times: WaitTimes
    ) -> Endpoint | QueueRefusal | None:
        """Return the endpoint for a request or its refusal.

        None when this node has to decide as it does without the queue: no hub
        answers, or the first that would is of form 1.
        """
        began_at = self.clock()
        for hub in self.fleet.hub_choice.in_preference_order():
            form = await self.form_of_hub(hub)
            if form is None:
                await self.lose(hub)
                continue
            if form == FIRST_FORM:
                return None
            left = times.after(self.clock() - began_at)
            found = await self.find_at(hub, job, left)
            if found is not None:
                return found
        return None

    @property
    def own(self) -> str:
        """Return the name of this node."""
        return self.fleet.own.node

    async def form_of_hub(self, hub: str) -> int | None:
        """Return the message form of a hub, None when it is out of reach."""
        if hub == self.own:
            return FORM
        link = None
        async with curio.ignore_after(HUB_SECONDS):
            link = await self.fleet.mesh.link_to(hub)
        return None if link is None else link.channel.form

    async def find_at(
        self, hub: str, job: Job, times: WaitTimes
    ) -> Endpoint | QueueRefusal | None:
        """Return the endpoint or refusal by one hub, None when it is lost."""
        unusable: tuple[str, ...] = ()
        while len(unusable) < MAX_UNUSABLE:
            offer = await self.wait_at(hub, job, times, unusable)
            if offer is None:
                return None
            if not offer.endpoint:
                return self.refuse(job, offer.retry_after_ms)
            endpoint = self.use(hub, job, offer.endpoint)
            if endpoint is not None:
                return endpoint
            await self.release(job)
            unusable = (*unusable, offer.endpoint)
        return self.refuse(job, 0)

    def use(self, hub: str, job: Job, identity: str) -> Endpoint | None:
        """Return the endpoint of a place, None if this node cannot use it."""
        now = self.clock()
        job.placed_by[identity] = hub
        job.queue_place = identity
        registry = self.selector.platform_state.registry
        endpoint = registry.endpoints.get(identity)
        if (
            endpoint is None
            or not endpoint.usable()
            or endpoint.evidence.is_ejected(now)
            or endpoint.is_backing_off(now)
        ):
            return None
        log_event(
            Event.REQUEST_PLACED,
            attempt=job.attempt,
            endpoint=identity,
            hub=hub,
            prompt=int(job.prompt_tokens()),
        )
        return endpoint

    async def wait_at(
        self, hub: str, job: Job, times: WaitTimes, unusable: tuple[str, ...]
    ) -> PlaceOffer | None:
        """Ask a hub for a place and wait for it; None when the hub is lost."""
        pending = Pending(hub)
        self.waiting.add(job.attempt, pending)
        settled = False
        try:
            reply = await self.ask(
                hub, self.create_request(job, times, unusable)
            )
            if reply is None:
                await self.lose(hub)
                return None
            if reply.queued:
                offer = await self.wait_for_offer(pending, times)
            else:
                offer = PlaceOffer(
                    job.attempt, reply.endpoint, reply.retry_after_ms
                )
            settled = not pending.lost and offer is not None
        finally:
            self.waiting.discard(job.attempt, pending)
            if not settled:
                await self.post(hub, QueueLeave(job.attempt))
        if pending.lost:
            return None
        return offer or PlaceOffer(job.attempt, '')

    async def ask(self, hub: str, request: PlaceRequest) -> PlaceReply | None:
        """Return the reply of a hub, None when it does not answer."""
        if hub == self.own:
            return await self.hub_queue.answer(request, hub)
        async with self.asking:
            pending = self.waiting.pending.get(request.attempt)
            if pending is None or pending.lost:
                return None
            reply = await self.fleet.mesh.request(hub, request, HUB_SECONDS)
        if not isinstance(reply, Success):
            return None
        message = reply.unwrap()
        return message if isinstance(message, PlaceReply) else None

    async def lose(self, hub: str) -> None:
        """Let the requests that wait at a hub without a reply go to the next.

        Those at the last hub stay: without a hub each would try on its own.
        """
        if hub != self.fleet.hub_choice.in_preference_order()[-1]:
            await self.waiting.lose(hub)

    async def wait_for_offer(
        self, pending: Pending, times: WaitTimes
    ) -> PlaceOffer | None:
        """Wait for the offer of a hub while the hub is there."""
        link = self.fleet.mesh.links.get(pending.hub)
        ends_at = self.clock() + times.hold_seconds + REFUSAL_SECONDS
        while pending.offer is None and not pending.lost:
            left = ends_at - self.clock()
            if left <= 0:
                break
            async with curio.ignore_after(min(left, CHECK_SECONDS)):
                await pending.settled.wait()
            if pending.offer is None and not is_reached(
                self.fleet, pending.hub, link
            ):
                pending.lost = True
        return pending.offer

    def create_request(
        self, job: Job, times: WaitTimes, unusable: tuple[str, ...]
    ) -> PlaceRequest:
        """Return the request for a place in the queue."""
        request = self.selector.place_request(job)
        return replace(
            request,
            avoided=(*request.avoided, *unusable),
            priority=job.priority,
            workspace=job.workspace or '',
            route=job.route.name,
            wait_ms=int(times.wait_seconds * MILLISECONDS),
            waited_ms=int(times.waited_seconds * MILLISECONDS),
            hold_ms=int(times.hold_seconds * MILLISECONDS),
        )

    def refuse(self, job: Job, retry_after_ms: int) -> QueueRefusal:
        """Return the refusal of a request, with a time that clients honour."""
        retry = retry_after_ms / MILLISECONDS or RETRY_SECONDS
        left = job.seconds_left(self.clock()) * RETRY_LEFT_SHARE
        return QueueRefusal(
            'no endpoint has room in time', max(min(retry, left), 0)
        )

    async def release(self, job: Job) -> None:
        """Tell the hub that a request no longer uses its place, if it has one.

        The hub gets a heartbeat at once too, which has the remaining load.
        """
        identity = job.queue_place
        job.queue_place = ''
        if identity:
            hub = job.placed_by.pop(identity, '')
            await self.post(hub, PlaceEnd(identity, job.attempt))
            await self.fleet.loads.changed.set()
