"""Turns what is known into places for requests and for copies of runs."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from turmericyard_decisions.seats import (
    BACKUP_SHARE,
    Seat,
    choose_copy_seat,
    choose_seat,
    choose_service_seat,
)
from turmericyard_http.clock import Clock
from turmericyard_node.events import Event, log_event
from turmericyard_node.forwarding.endpoint_book import Endpoint
from turmericyard_node.forwarding.job import Job
from turmericyard_node.forwarding.knowledge import Knowledge
from turmericyard_node.forwarding.load_book import LoadBook, Total
from turmericyard_ports.configuration import Service
from turmericyard_ports.settings import Bounds


@dataclass(slots=True)
class Placer:
    """Chooses endpoints; `fleet_size` is the number of nodes that do so."""

    knowledge: Knowledge
    loads: LoadBook
    bounds: Bounds
    zone: str
    clock: Clock
    fleet_size: Callable[[], int]
    random: Random = field(default_factory=Random)

    def place(self, job: Job) -> Endpoint | None:
        """Return the endpoint for a request, None when none has room."""
        candidates = self.candidates(job)
        seats = self.seats(job.service, candidates)
        if job.service.engine is None:
            chosen = choose_service_seat(seats, self.zone, self.random)
        else:
            tokens = job.memory_tokens()
            chosen = choose_seat(seats, tokens, self.zone, self.random)
        if chosen is None:
            return None
        log_event(
            Event.REQUEST_PLACED,
            attempt=job.attempt,
            endpoint=chosen.identity,
            candidates=len(seats),
            running=chosen.running,
            held=int(chosen.held_tokens),
            memory=int(chosen.memory_tokens),
            unread=int(chosen.unread_tokens),
            prompt=int(job.prompt_tokens()),
        )
        return candidates[chosen.identity]

    def place_copy(
        self,
        job: Job,
        tokens: float,
        source: Endpoint,
        share: float = BACKUP_SHARE,
    ) -> Endpoint | None:
        """Return the endpoint for a copy of a run, None without room."""
        candidates = {
            endpoint.identity: endpoint
            for endpoint in self.knowledge.endpoints(job.service.name)
            if endpoint is not source
        }
        seats = self.seats(job.service, candidates)
        chosen = choose_copy_seat(
            seats, tokens, source.record.zone, self.random, share
        )
        return candidates[chosen.identity] if chosen else None

    def candidates(self, job: Job) -> dict[str, Endpoint]:
        """Return the endpoints that may get the request now.

        Those that failed lately are left out unless all of them did.
        """
        now = self.clock()
        found = {
            endpoint.identity: endpoint
            for endpoint in self.knowledge.endpoints(job.service.name)
            if endpoint.identity not in job.excluded
            and self.cold_allows(endpoint, job.service, now)
        }
        sound = {
            identity: endpoint
            for identity, endpoint in found.items()
            if not endpoint.evidence.aside(now)
        }
        return sound or found

    def cold_allows(
        self, endpoint: Endpoint, service: Service, now: float
    ) -> bool:
        """Return whether a cold endpoint bears one more request now."""
        if now >= endpoint.cold_until or not service.cold_per_second:
            return True
        bound = (
            service.cold_per_second * self.bounds.cold_overage
            + self.bounds.cold_slack
        )
        return endpoint.cold_rate.allowed(bound / self.fleet_size(), now)

    def seats(
        self, service: Service, candidates: dict[str, Endpoint]
    ) -> list[Seat]:
        """Return the seats of endpoints.

        Plain calls are over before other nodes hear of them: only the own
        ones count.
        """
        totals = (
            self.loads.totals() if service.engine else self.loads.own_totals()
        )
        capacity = service.engine.memory_tokens if service.engine else 0
        return [
            to_seat(endpoint, totals.get(identity, Total()), capacity)
            for identity, endpoint in candidates.items()
        ]


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
