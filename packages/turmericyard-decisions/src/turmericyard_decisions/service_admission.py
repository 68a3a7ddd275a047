"""Decides which requests of one service wait, run next or are refused."""

from dataclasses import dataclass, field

from turmericyard_decisions.admission_queue import (
    MAX_WAITING,
    AdmissionQueue,
    Key,
    QueuedRequest,
    create_admission_queue,
)
from turmericyard_decisions.queue_demand import QueueDemand
from turmericyard_decisions.returning_requests import ReturningRequests

#: Bounds of the time after which a refused request may come back, in seconds.
#: Below the first, a client only repeats the refusal; a time beyond the second
#: rests on rates that will have changed by then.
MIN_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request waits, and why.

    `expected` is the expected wait. A refused request may come back after
    `retry_seconds`; `reserved` tells whether it then goes before new ones.
    """

    waits: bool
    reason: str
    expected: float = 0
    retry_seconds: float = 0
    reserved: bool = False


@dataclass(slots=True)
class ServiceAdmission:
    """The queue of one service and what decides about it.

    `holds` has the endpoints for which requests wait that smaller ones passed.
    """

    demand: QueueDemand
    queue: AdmissionQueue = field(default_factory=create_admission_queue)
    returning: ReturningRequests = field(default_factory=ReturningRequests)
    holds: dict[Key, str] = field(default_factory=dict)

    def arrive(self, request: QueuedRequest, now: float) -> None:
        """Add a request that arrived."""
        self.demand.record_arrival(request, now)
        self.queue.add(request, now)

    def decide(self, key: Key, now: float) -> Verdict:
        """Return whether a request that found no room waits.

        One that does not is removed from the queue.
        """
        request = self.queue.requests[key]
        expected = self.expected_wait(request, now)
        if len(self.queue) > MAX_WAITING:
            return self.refuse(key, 'too many requests wait', now)
        if request.held_until <= now:
            return self.refuse(key, 'the request may not wait', now)
        if now + expected > request.on_time_until:
            return self.refuse(key, 'the expected wait is too long', now)
        return Verdict(waits=True, reason='no room', expected=expected)

    def refuse(self, key: Key, reason: str, now: float) -> Verdict:
        """Remove a waiting request and return when it may come back."""
        request = self.queue.requests[key]
        expected = self.expected_wait(request, now)
        ahead = self.queue.tokens_ahead(request, now) + request.tokens
        _, reserved = self.returning.tokens(request.rank, now)
        seconds = self.demand.seconds_for(request.rank, ahead + reserved, now)
        retry = min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
        self.queue.remove(key)
        return Verdict(
            waits=False,
            reason=reason,
            expected=expected,
            retry_seconds=retry,
            reserved=self.returning.reserve(request, retry, now),
        )

    def expected_wait(self, request: QueuedRequest, now: float) -> float:
        """Return the expected wait of a request, in seconds.

        The first of the queue waits for the next place, for 0 seconds here.
        Late requests count though they go last: while new ones keep being
        queued before them they would be held and then refused.
        """
        ahead = self.queue.tokens_ahead(request, now)
        if now < request.on_time_until:
            ahead += self.queue.late_tokens(request.rank)
        if not request.returned:
            due, _ = self.returning.tokens(request.rank, now)
            ahead += due
        return self.demand.seconds_for(request.rank, ahead, now)

    def place(self, key: Key, now: float) -> QueuedRequest | None:
        """Count a waiting request as placed; None when it does not wait."""
        request = self.queue.serve(key, now)
        self.holds.pop(key, None)
        if request is not None:
            self.demand.record_place(request)
        return request

    def give_back(self, request: QueuedRequest, now: float) -> None:
        """Count a placed request as not placed: it did not use its place."""
        self.demand.record_return(request)
        self.queue.shares.record(request.workspace, -request.tokens, now)

    def expire(self, now: float) -> list[tuple[QueuedRequest, Verdict]]:
        """Remove and return the requests that waited too long."""
        self.returning.expire(now)
        overdue = self.queue.expire(now)
        found = []
        for request in overdue:
            self.queue.add(request, now)
            verdict = self.refuse(request.key, 'no room in time', now)
            found.append((request, verdict))
        return found


def create_service_admission(now: float) -> ServiceAdmission:
    """Return the admission of a service whose load is not known yet."""
    return ServiceAdmission(QueueDemand(now))
