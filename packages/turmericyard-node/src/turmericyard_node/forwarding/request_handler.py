"""Handles client requests: decodes, routes, admits and forwards them."""

from dataclasses import dataclass, field
from random import Random

from returns.result import Success

from turmericyard_http.answer_writer import Answer
from turmericyard_http.clock import Clock
from turmericyard_http.messages import Request
from turmericyard_node.contact import ContactTimes
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.calls import CallForwarder
from turmericyard_node.forwarding.crash_detector import (
    mark_of,
    part_marks_of,
)
from turmericyard_node.forwarding.instruments import Instruments
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_node.forwarding.streams import StreamForwarder
from turmericyard_node.forwarding.waiting import RETRY_JITTER
from turmericyard_ports.border import PlatformAdapter
from turmericyard_ports.configuration import (
    RepeatPolicy,
    Route,
    RouteTable,
    Workspace,
)
from turmericyard_ports.request import IncomingRequest

UNAUTHORIZED = 401
NOT_FOUND = 404
UNAVAILABLE = 503
#: Retry-after time of a request that this node cannot route, in seconds: its
#: route may be too new to be known here.
RETRY_AFTER_SECONDS = 0.5
#: Retry-after time while the store is unavailable, in seconds: outages last for
#: seconds, and most clients retry only once.
OUTAGE_RETRY_AFTER_SECONDS = 2.0
#: Age in seconds from which a view that neither the store nor a peer has
#: confirmed may lack a new route or key.
STALE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Times of a process that ends, on the node's clock.

    Clients may have its address until `address_until`. The last answers are
    given at `answers_until`.
    """

    address_until: float
    answers_until: float

    def takes(self, job: Job) -> bool:
        """Return whether a new request is taken.

        A call that arrives late must end before the process whatever happens.
        Streams last longer than a stop.
        """
        if job.route.kind is RepeatPolicy.STREAM:
            return False
        if job.incoming.arrived_at <= self.address_until:
            return True
        return job.deadline_at <= self.answers_until


@dataclass(slots=True)
class RequestHandler:
    """Answers clients.

    `request_count` counts all requests; `planned_stop` is set when the process
    is about to end.
    """

    platform_adapter: PlatformAdapter
    platform_state: PlatformState
    contact: ContactTimes
    calls: CallForwarder
    streams: StreamForwarder
    instruments: Instruments
    clock: Clock
    random: Random = field(default_factory=Random)
    open_requests: int = 0
    request_count: int = 0
    planned_stop: PlannedStop | None = None

    async def answer(self, request: Request) -> Answer:
        """Return the answer to a client's request."""
        self.open_requests += 1
        self.request_count += 1
        try:
            return await self.serve(request)
        finally:
            self.open_requests -= 1

    async def serve(self, request: Request) -> Answer:
        """Decode, admit and forward a request."""
        decoded = self.platform_adapter.read_incoming_request(
            request, self.clock()
        )
        if not isinstance(decoded, Success):
            return decoded.failure()
        incoming = decoded.unwrap()
        admitted = self.admit(incoming)
        if not isinstance(admitted, Job):
            self.log(incoming, admitted, '')
            return admitted
        answer = await self.forward(admitted)
        self.log(incoming, answer, admitted.route.name)
        return answer

    async def forward(self, job: Job) -> Answer:
        """Forward an admitted request according to the kind of its route."""
        budget = self.calls.sender.budget(job.service.name)
        budget.observe_request(self.clock())
        refused = self.calls.sender.refuse_crashing(job)
        if refused is not None:
            return refused
        if self.planned_stop is not None:
            if not self.planned_stop.takes(job):
                return self.refuse(UNAVAILABLE, 'this node is shutting down')
            answers_until = self.planned_stop.answers_until
            job.deadline_at = min(job.deadline_at, answers_until)
        if job.route.kind is RepeatPolicy.STREAM:
            return await self.streams.forward(job)
        return await self.calls.forward(job)

    def admit(self, incoming: IncomingRequest) -> Job | Answer:
        """Return the job of a request, or the answer that refuses it."""
        table = self.platform_state.route_table
        if table is None:
            return self.refuse(UNAVAILABLE, 'no configuration is known yet')
        route = table.find(incoming.host, incoming.path)
        if route is None:
            return self.refuse(NOT_FOUND, 'no route matches')
        workspace = None
        if table.configuration.requires_keys and not route.allows_anonymous:
            workspace = table.by_key.get(incoming.key or '')
            if workspace is None:
                return self.refuse(UNAUTHORIZED, 'the key is not known')
        return self.create_job(table, incoming, route, workspace)

    def create_job(
        self,
        table: RouteTable,
        incoming: IncomingRequest,
        route: Route,
        workspace: Workspace | None,
    ) -> Job | Answer:
        """Return the job, for a service drawn by the weights of the route."""
        targets = route.targets
        weights = [target.weight for target in targets]
        if sum(weights) <= 0:
            return self.refuse(UNAVAILABLE, 'the route has no service')
        chosen = self.random.choices(targets, weights)[0]
        service = table.configuration.services.get(chosen.service)
        if service is None:
            return self.refuse(UNAVAILABLE, 'the service is not known')
        return Job(
            incoming,
            route,
            service,
            workspace.name if workspace else None,
            (workspace.priority or 0 if workspace else 0, route.priority),
            min(
                incoming.deadline_at,
                incoming.arrived_at + route.timeout_seconds,
            ),
            mark_of(
                workspace.name if workspace else None,
                incoming.target,
                incoming.body,
            ),
            part_marks_of(incoming.shared_parts),
            resume_after=incoming.last_event_id if route.resumable else '',
        )

    def refuse(self, status: int, detail: str) -> Answer:
        """Return a refusal.

        While the view is stale, every refusal is a 503 that asks the client to
        retry.
        """
        if status != UNAVAILABLE and self.is_stale():
            status = UNAVAILABLE
        if status == UNAVAILABLE:
            return self.platform_adapter.refusal(
                status, detail, self.retry_after_seconds()
            )
        return self.platform_adapter.refusal(status, detail)

    def retry_after_seconds(self) -> float:
        """Return the retry-after time of a refusal, in seconds."""
        in_outage = self.platform_state.registry.is_store_failing()
        seconds = (
            OUTAGE_RETRY_AFTER_SECONDS if in_outage else RETRY_AFTER_SECONDS
        )
        return seconds * self.random.uniform(*RETRY_JITTER)

    def is_stale(self) -> bool:
        """Return whether the view may lack recent changes."""
        confirmed_at = max(
            self.contact.last_store_contact_at,
            self.contact.last_peer_contact_at,
        )
        return self.clock() - confirmed_at > STALE_SECONDS

    def log(
        self, incoming: IncomingRequest, answer: Answer, route: str
    ) -> None:
        """Count and log an answered request."""
        table = self.platform_state.route_table
        seconds = self.clock() - incoming.arrived_at
        self.instruments.record_answer(route, answer.status, seconds)
        log_event(
            Event.REQUEST_ANSWERED,
            attempt=incoming.attempt,
            route=route,
            status=answer.status,
            seconds=round(seconds, 4),
            version=table.configuration.version if table else None,
            revision=self.platform_state.view.revision,
        )
