"""Turns what is known into places for requests and for copies of runs."""

from collections.abc import Callable, Iterator, Set
from dataclasses import dataclass, field
from random import Random

from turmericyard_decisions.seats import (
    Seat,
    choose_backup_seat,
    choose_copy_seat,
    choose_seat,
    choose_service_seat,
)
from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.knowledge import Knowledge
from turmericyard_node.forwarding.load_book import NOTHING, LoadBook, Total
from turmericyard_ports.configuration import Service
from turmericyard_ports.settings import Bounds
from turmericyard_protocol.fleet_messages import (
    CopyPlaceRequest,
    PlaceRequest,
)

#: Parts of a cold endpoint's bound: for what a hub places, and for what all
#: nodes place by themselves.
HUB_SHARE = 0.6
LOCAL_SHARE = 0.4
#: Endpoints among which one is chosen where a service has more.
DRAWN = 64


@dataclass(slots=True)
class Placer:
    """Chooses endpoints; `fleet_size` is the number of nodes that do so."""

    knowledge: Knowledge
    loads: LoadBook
    bounds: Bounds
    zone: str
    clock: Clock
    fleet_size: Callable[[], int]
    #: Endpoints, by identity, that fail the nodes of a zone.
    set_aside: Callable[[str], Set[str]]
    random: Random = field(default_factory=Random)

    def place(self, job: Job) -> Endpoint | None:
        """Return the endpoint for a request, None when none has room."""
        need = self.need_of(job)
        share = LOCAL_SHARE / self.fleet_size()
        for endpoints in self.draws(need.service):
            candidates = self.candidates(endpoints, need, share)
            chosen = self.choose(job.service, need, candidates)
            if chosen is not None:
                self.log(job, chosen, len(candidates))
                return candidates[chosen.identity]
        return None

    def need_of(self, job: Job) -> PlaceRequest:
        """Return what a request needs, as a hub is asked for it."""
        return PlaceRequest(
            job.service.name,
            self.zone,
            int(job.prompt_tokens()),
            int(job.memory_tokens()),
            (*job.excluded, *self.resting(job)),
        )

    def resting(self, job: Job) -> list[str]:
        """Return the endpoints that want nothing of this node for now."""
        found = self.knowledge.book.resting(job.service.name, self.clock())
        return [endpoint.identity for endpoint in found]

    def rest_seconds(self, job: Job) -> float:
        """Return when the first endpoint takes requests of this node again.

        0 while one of them takes them, or none is known.
        """
        now = self.clock()
        rests = [
            endpoint.rests_until - now
            for endpoint in self.knowledge.endpoints(job.service.name)
            if endpoint.identity not in job.excluded
        ]
        return max(0, min(rests, default=0))

    def place_for(self, need: PlaceRequest) -> Endpoint | None:
        """Return the endpoint for another node's generation, as a hub."""
        service = self.knowledge.service(need.service)
        if service is None:
            return None
        for endpoints in self.draws(need.service):
            candidates = self.candidates(endpoints, need, HUB_SHARE)
            chosen = self.choose(service, need, candidates)
            if chosen is not None:
                return candidates[chosen.identity]
        return None

    def draws(self, service: str) -> Iterator[list[Endpoint]]:
        """Return some endpoints of a service, then all if they are more.

        The best of a large draw is nearly as good as the best of all, and a
        place costs the same in a fleet of any size.
        """
        listed = list(self.knowledge.endpoints(service))
        if len(listed) > DRAWN:
            yield self.random.sample(listed, DRAWN)
        yield listed

    def choose(
        self,
        service: Service,
        need: PlaceRequest,
        candidates: dict[str, Endpoint],
    ) -> Seat | None:
        """Return the best seat among the candidates."""
        seats = self.seats(service, candidates)
        if service.engine is None:
            return choose_service_seat(seats, need.zone, self.random)
        return choose_seat(seats, need.tokens, need.zone, self.random)

    def log(self, job: Job, chosen: Seat, candidates: int) -> None:
        """Write what decided a placement made here."""
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

    def place_copy(self, need: CopyPlaceRequest) -> Endpoint | None:
        """Return the endpoint for a copy of a run, None without room."""
        service = self.knowledge.service(need.service)
        if service is None:
            return None
        for endpoints in self.draws(need.service):
            candidates = {
                endpoint.identity: endpoint
                for endpoint in endpoints
                if endpoint.identity not in need.avoided
            }
            choose = choose_backup_seat if need.backup else choose_copy_seat
            chosen = choose(
                self.seats(service, candidates),
                need.tokens,
                need.zone,
                self.random,
            )
            if chosen is not None:
                return candidates[chosen.identity]
        return None

    def candidates(
        self,
        endpoints: list[Endpoint],
        need: PlaceRequest,
        cold_share: float,
    ) -> dict[str, Endpoint]:
        """Return those of some endpoints that may get a request now.

        Those that failed lately are left out unless all of them did.
        """
        now = self.clock()
        found = {
            endpoint.identity: endpoint
            for endpoint in endpoints
            if endpoint.identity not in need.avoided
            and self.cold_allows(endpoint, cold_share, now)
        }
        failing = self.set_aside(need.zone)
        sound = {
            identity: endpoint
            for identity, endpoint in found.items()
            if identity not in failing and not endpoint.evidence.aside(now)
        }
        return sound or found

    def cold_allows(self, endpoint: Endpoint, share: float, now: float) -> bool:
        """Return whether a cold endpoint bears one more request now."""
        service = self.knowledge.service(endpoint.record.service)
        if now >= endpoint.cold_until or service is None:
            return True
        if not service.cold_per_second:
            return True
        bound = (
            service.cold_per_second * self.bounds.cold_overage
            + self.bounds.cold_slack
        )
        return endpoint.cold_rate.allowed(bound * share, now)

    def seats(
        self, service: Service, candidates: dict[str, Endpoint]
    ) -> list[Seat]:
        """Return the seats of endpoints.

        Plain calls are over before other nodes hear of them: only the own
        ones count.
        """
        own = self.loads.own_totals()
        capacity = service.engine.memory_tokens if service.engine else 0
        seats = []
        for identity, endpoint in candidates.items():
            total = own.get(identity, Total())
            if service.engine:
                total.merge(self.loads.others.get(identity, NOTHING))
            seats.append(to_seat(endpoint, total, capacity))
        return seats


def to_seat(endpoint: Endpoint, total: Total, capacity: float) -> Seat:
    """Return the seat of one endpoint."""
    return Seat(
        endpoint.identity,
        endpoint.record.zone,
        endpoint.record.slots,
        total.running,
        total.held_tokens + total.lent_tokens,
        total.memory_tokens + total.lent_tokens,
        capacity,
        total.unread_tokens,
    )
