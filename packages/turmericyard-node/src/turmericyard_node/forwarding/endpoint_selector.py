"""Chooses endpoints for requests, copies and backups by the known load."""

from collections.abc import Callable, Iterator, Set
from dataclasses import dataclass, field, replace
from random import Random

from turmericyard_decisions.endpoint_choice import (
    CandidateLoad,
    choose_backup_endpoint,
    choose_copy_endpoint,
    choose_engine,
    choose_service_endpoint,
)
from turmericyard_decisions.placed_requests import PlacedRequests
from turmericyard_decisions.request_rate import OWN_SHARE, PLACING_SHARE
from turmericyard_decisions.trials import TrialRegistry
from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.balancing.endpoint_paces import EndpointPaces
from turmericyard_node.forwarding.balancing.learning import learns
from turmericyard_node.forwarding.balancing.paced_choice import choose_by_pace
from turmericyard_node.forwarding.endpoint_registry import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.load_tracker import (
    NOTHING,
    LoadTotal,
    LoadTracker,
)
from turmericyard_node.forwarding.platform_state import PlatformState
from turmericyard_node.forwarding.rollout.rollouts import Rollouts
from turmericyard_ports.configuration import Service
from turmericyard_ports.settings import Bounds
from turmericyard_protocol.fleet_messages import (
    CopyPlaceRequest,
    PlaceRequest,
)

#: Shares of a cold endpoint's rate limit: for requests that a hub places, and
#: for those that all nodes together place without a hub.
HUB_SHARE = 0.6
LOCAL_SHARE = 0.4
#: Size of the random sample of a larger service that is considered first.
SAMPLE_SIZE = 64


@dataclass(slots=True)
class EndpointSelector:
    """Chooses endpoints; `fleet_size` returns the number of nodes."""

    platform_state: PlatformState
    loads: LoadTracker
    bounds: Bounds
    zone: str
    clock: Clock
    fleet_size: Callable[[], int]
    #: Returns the identities of the endpoints that fail callers in a zone.
    ejected_endpoints: Callable[[str], Set[str]]
    trials: TrialRegistry
    #: Learned speeds; None: not used.
    paces: EndpointPaces | None = None
    #: What this node has placed at brittle endpoints, also for others.
    placed: PlacedRequests = field(default_factory=PlacedRequests)
    random: Random = field(default_factory=Random)
    #: Draws the version of each request while one is rolled out.
    rollouts: Rollouts | None = None

    def place(self, job: Job, *, as_hub: bool = False) -> Endpoint | None:
        """Return the endpoint for a request, None when none has room.

        `as_hub` tells whether this node is the hub that places the requests of
        all nodes.
        """
        request = self.place_request(job)
        limit_share = self.own_limit_share(as_hub=as_hub)
        if self.trials.must_wait(request.attempt, request.suspects):
            return None
        cold_share = LOCAL_SHARE / self.fleet_size()
        for endpoints in self.samples(request.service):
            candidates = self.candidates(
                endpoints, request, cold_share, limit_share
            )
            chosen = self.choose(
                job.service, request, candidates, as_hub=as_hub
            )
            if chosen is not None:
                self.trials.begin(request.attempt, request.suspects)
                self.record_place(request, chosen)
                self.log(job, chosen, len(candidates))
                return candidates[chosen.identity]
        return None

    def own_limit_share(self, *, as_hub: bool) -> float:
        """Return the share of endpoints' limits that this node may use."""
        return PLACING_SHARE if as_hub else OWN_SHARE / self.fleet_size()

    def has_limits(self, service: str) -> bool:
        """Return whether an endpoint of a service names a limit or is brittle."""
        if not self.platform_state.registry.limits:
            return False
        return any(
            endpoint.requests_per_second is not None or endpoint.is_brittle
            for endpoint in self.platform_state.usable_endpoints(service)
        )

    def is_brittle(self, service: str) -> bool:
        """Return whether an endpoint of a service is brittle.

        The endpoints of a service are brittle together, and one that has just
        started has not said so yet.
        """
        if not self.platform_state.registry.limits:
            return False
        return any(
            endpoint.is_brittle
            for endpoint in self.platform_state.usable_endpoints(service)
        )

    def place_request(self, job: Job) -> PlaceRequest:
        """Return the request for a place, as it is sent to a hub."""
        return PlaceRequest(
            job.service.name,
            self.zone,
            int(job.prompt_tokens()),
            int(job.memory_tokens()),
            (
                *job.excluded_endpoints,
                *self.backing_off(job),
                *(self.rollouts.avoided(job) if self.rollouts else ()),
            ),
            job.attempt,
            self.trials.suspects(job.part_marks),
        )

    def backing_off(self, job: Job) -> list[str]:
        """Return the identities of endpoints that this node backs off from."""
        found = self.platform_state.registry.backing_off(
            job.service.name, self.clock()
        )
        return [endpoint.identity for endpoint in found]

    def back_off_seconds(self, job: Job) -> float:
        """Return the time until the first back-off ends, in seconds.

        0 while an endpoint accepts requests of this node, or none is known.
        """
        now = self.clock()
        back_offs = [
            endpoint.back_off_until - now
            for endpoint in self.platform_state.usable_endpoints(
                job.service.name
            )
            if endpoint.identity not in job.excluded_endpoints
        ]
        return max(0, min(back_offs, default=0))

    def place_for_peer(self, request: PlaceRequest) -> Endpoint | None:
        """Return the endpoint for another node's generation, as a hub."""
        service = self.platform_state.service(request.service)
        if service is None or self.trials.must_wait(
            request.attempt, request.suspects
        ):
            return None
        for endpoints in self.samples(request.service):
            candidates = self.candidates(
                endpoints, request, HUB_SHARE, PLACING_SHARE
            )
            chosen = self.choose(service, request, candidates, as_hub=True)
            if chosen is not None:
                self.trials.begin(request.attempt, request.suspects)
                self.record_place(request, chosen)
                return candidates[chosen.identity]
        return None

    def samples(self, service: str) -> Iterator[list[Endpoint]]:
        """Yield a random sample of the endpoints of a large service, then all.

        The best of a large sample is nearly as good as the best of all, and
        the cost of a choice does not grow with the fleet.
        """
        listed = list(self.platform_state.usable_endpoints(service))
        if len(listed) > SAMPLE_SIZE:
            yield self.random.sample(listed, SAMPLE_SIZE)
        yield listed

    def choose(
        self,
        service: Service,
        request: PlaceRequest,
        candidates: dict[str, Endpoint],
        *,
        as_hub: bool,
    ) -> CandidateLoad | None:
        """Return the load of the best candidate, None when none has room."""
        candidate_loads = self.candidate_loads(service, candidates)
        if service.engine is None and self.is_brittle(service.name):
            candidate_loads = [
                self.brittle_load(load, as_hub=as_hub)
                for load in candidate_loads
            ]
        paces = self.paces_of(service)
        if paces is not None:
            return choose_by_pace(
                paces,
                service,
                request,
                candidates,
                candidate_loads,
                self.random,
            )
        if service.engine is None:
            return choose_service_endpoint(
                candidate_loads, request.zone, self.random
            )
        return choose_engine(
            candidate_loads, request.tokens, request.zone, self.random
        )

    def paces_of(self, service: Service) -> EndpointPaces | None:
        """Return the speeds by which a service's endpoints are chosen, if any.

        A hub places the calls of plain services with limits, and gets no
        answers to them.
        """
        if not learns(self.platform_state, service):
            return None
        if service.engine is None and self.has_limits(service.name):
            return None
        return self.paces

    def brittle_load(
        self, load: CandidateLoad, *, as_hub: bool
    ) -> CandidateLoad:
        """Return the load of a brittle endpoint, which must reject nothing.

        A hub may use all of its slots, a node without a hub an equal part.
        """
        slots = load.slots
        if not as_hub:
            slots = max(1, slots // self.fleet_size())
        placed = self.placed.count(load.identity, self.clock())
        return replace(load, running=placed, slots=slots)

    def record_place(
        self, request: PlaceRequest, chosen: CandidateLoad
    ) -> None:
        """Count a request at a brittle endpoint until it is released."""
        if self.is_brittle(request.service):
            self.placed.begin(chosen.identity, request.attempt, self.clock())

    def log(self, job: Job, chosen: CandidateLoad, candidates: int) -> None:
        """Log the load figures behind a placement made by this node."""
        log_event(
            Event.REQUEST_PLACED,
            attempt=job.attempt,
            endpoint=chosen.identity,
            candidates=candidates,
            running=chosen.running,
            held=int(chosen.held_tokens),
            memory=int(chosen.memory_tokens),
            unread=int(chosen.unread_tokens),
            prompt=int(job.prompt_tokens()),
        )

    def place_copy(self, request: CopyPlaceRequest) -> Endpoint | None:
        """Return the endpoint for a copy of a run, None when none has room."""
        service = self.platform_state.service(request.service)
        if service is None:
            return None
        for endpoints in self.samples(request.service):
            candidates = {
                endpoint.identity: endpoint
                for endpoint in endpoints
                if endpoint.identity not in request.avoided
            }
            choose = (
                choose_backup_endpoint
                if request.backup
                else choose_copy_endpoint
            )
            chosen = choose(
                self.candidate_loads(service, candidates),
                request.tokens,
                request.zone,
                self.random,
            )
            if chosen is not None:
                return candidates[chosen.identity]
        return None

    def candidates(
        self,
        endpoints: list[Endpoint],
        request: PlaceRequest,
        cold_share: float,
        limit_share: float,
    ) -> dict[str, Endpoint]:
        """Return which of the given endpoints may get a request now.

        Ejected endpoints are left out, unless all are ejected.
        """
        now = self.clock()
        found = {
            endpoint.identity: endpoint
            for endpoint in endpoints
            if endpoint.identity not in request.avoided
            and self.has_cold_capacity(endpoint, cold_share, now)
            and has_limit_capacity(endpoint, limit_share, now)
        }
        ejected = self.ejected_endpoints(request.zone)
        healthy = {
            identity: endpoint
            for identity, endpoint in found.items()
            if identity not in ejected and not endpoint.evidence.is_ejected(now)
        }
        return healthy or found

    def has_cold_capacity(
        self, endpoint: Endpoint, share: float, now: float
    ) -> bool:
        """Return whether an endpoint is warm or its cold rate has room."""
        service = self.platform_state.service(endpoint.record.service)
        if now >= endpoint.cold_until or service is None:
            return True
        if not service.cold_per_second:
            return True
        limit = (
            service.cold_per_second * self.bounds.cold_overage
            + self.bounds.cold_slack
        )
        return endpoint.cold_rate.allowed(limit * share, now)

    def candidate_loads(
        self, service: Service, candidates: dict[str, Endpoint]
    ) -> list[CandidateLoad]:
        """Return the load of endpoints.

        Only this node's plain calls count: those of other nodes end before
        this node learns of them.
        """
        own = self.loads.own_totals()
        capacity = service.engine.memory_tokens if service.engine else 0
        candidate_loads = []
        for identity, endpoint in candidates.items():
            total = own.get(identity, LoadTotal())
            if service.engine:
                total.merge(self.loads.peer_totals.get(identity, NOTHING))
            candidate_loads.append(to_candidate_load(endpoint, total, capacity))
        return candidate_loads


def has_limit_capacity(endpoint: Endpoint, share: float, now: float) -> bool:
    """Return whether a share of an endpoint's limit allows one more request."""
    limit = endpoint.requests_per_second
    if limit is None:
        return True
    return endpoint.request_rate.allows(limit, share, now)


def to_candidate_load(
    endpoint: Endpoint, total: LoadTotal, capacity: float
) -> CandidateLoad:
    """Return the load of one endpoint as a candidate."""
    return CandidateLoad(
        endpoint.identity,
        endpoint.record.zone,
        endpoint.record.slots,
        total.running,
        total.held_tokens + total.lent_tokens,
        total.memory_tokens + total.lent_tokens,
        capacity,
        total.unread_tokens,
    )
