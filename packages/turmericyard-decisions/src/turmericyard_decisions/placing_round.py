"""Places the waiting requests of a service for which there is room.

A request that a smaller one has passed gets an endpoint of its own to wait for,
which equally and less urgent ones leave alone. Otherwise a large request would
wait as long as smaller ones take each part of the memory that is freed. Of 23
engines, one frees what a large generation needs in 1 to 3 s.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from itertools import islice
from typing import Protocol

from turmericyard_decisions.admission_queue import Key, QueuedRequest, Rank
from turmericyard_decisions.service_admission import ServiceAdmission
from turmericyard_decisions.urgent_reserve import (
    FreeRoom,
    leaves_reserve,
    reserve_for,
)

#: Waiting requests that one round considers, which bounds its time.
MAX_CONSIDERED = 64
#: Requests that one round tries to place in vain; each try looks at the load of
#: all endpoints.
MAX_FAILURES = 4
#: Endpoints of a service for each one that a passed request may wait for. What
#: such an endpoint leaves unused is about half a request's memory.
ENDPOINTS_PER_HOLD = 4


class Endpoints(Protocol):
    """The endpoints of a service as a round uses them."""

    def rooms(self) -> list[FreeRoom]:
        """Return the free room of each endpoint."""

    def place(self, request: QueuedRequest, avoided: Collection[str]) -> str:
        """Count a request at an endpoint and return its identity.

        Returns '' when none but the avoided ones has room.
        """

    def is_restricted(self, request: QueuedRequest) -> bool:
        """Return whether a request may not use all endpoints, or must wait."""


@dataclass(slots=True)
class Round:
    """A round and its outcome: placed requests, and those behind the reserve.

    `smallest` is the fewest tokens for which no endpoint had room, `blocked`
    has the requests without room in their order.
    """

    admission: ServiceAdmission
    endpoints: Endpoints
    now: float
    placed: list[tuple[QueuedRequest, str]] = field(default_factory=list)
    kept_back: set[Key] = field(default_factory=set)
    blocked: list[QueuedRequest] = field(default_factory=list)
    smallest: float = math.inf
    failures: int = 0
    #: The free room since the last placement, None while it is not read.
    free: list[FreeRoom] | None = None

    def rooms(self) -> list[FreeRoom]:
        """Return the free room of each endpoint.

        It is read once for all requests that are not placed: with 1,600
        endpoints that takes milliseconds.
        """
        if self.free is None:
            self.free = self.endpoints.rooms()
        return self.free

    def consider(self, request: QueuedRequest) -> None:
        """Place a request if there is room for it."""
        is_free = not self.endpoints.is_restricted(request)
        holds = request.key in self.admission.holds
        if request.tokens >= self.smallest and is_free and not holds:
            self.blocked.append(request)
            return
        if not self.has_room(request):
            self.block(request, is_free=is_free and not holds)
            return
        if self.is_kept_back(request):
            self.kept_back.add(request.key)
            self.failures += 1
            return
        identity = self.endpoints.place(request, self.held_from(request))
        if identity:
            self.admission.place(request.key, self.now)
            self.placed.append((request, identity))
            self.free = None
            self.hold_for_passed(request)
            return
        self.failures += not holds
        self.block(request, is_free=is_free and not holds)

    def block(self, request: QueuedRequest, *, is_free: bool) -> None:
        """Note a request without room; a free one may use all endpoints."""
        if is_free:
            self.smallest = request.tokens
            self.blocked.append(request)

    def has_room(self, request: QueuedRequest) -> bool:
        """Return whether an endpoint that the request may use has room."""
        held = self.held_from(request)
        return any(
            room.places(request.tokens)
            for room in self.rooms()
            if room.identity not in held
        )

    def is_kept_back(self, request: QueuedRequest) -> bool:
        """Return whether a request would use room kept for more urgent ones."""
        reserve = reserve_for(self.admission.demand, request.rank, self.now)
        if not reserve.places:
            return False
        return not leaves_reserve(self.rooms(), request.tokens, reserve)

    def held_from(self, request: QueuedRequest) -> tuple[str, ...]:
        """Return the endpoints for which other requests wait.

        A more urgent request may use them.
        """
        requests = self.admission.queue.requests
        return tuple(
            identity
            for key, identity in self.admission.holds.items()
            if key != request.key and requests[key].rank <= request.rank
        )

    def hold_for_passed(self, passing: QueuedRequest) -> None:
        """Give the first request that was passed an endpoint to wait for."""
        holds = self.admission.holds
        passed = [
            request
            for request in self.blocked
            if request.key not in holds and request.rank <= passing.rank
        ]
        if not passed:
            return
        rooms = self.rooms()
        if len(holds) >= math.ceil(len(rooms) / ENDPOINTS_PER_HOLD):
            return
        free = [room for room in rooms if room.identity not in holds.values()]
        if free:
            roomiest = max(free, key=free_tokens)
            holds[passed[0].key] = roomiest.identity


def free_tokens(room: FreeRoom) -> float:
    """Return the free memory of an endpoint."""
    return room.tokens


def place_waiting(
    admission: ServiceAdmission, endpoints: Endpoints, now: float
) -> Round:
    """Place waiting requests in their order and return the finished round."""
    current = Round(admission, endpoints, now)
    for request in requests_to_consider(admission, now):
        if current.failures >= MAX_FAILURES:
            break
        current.consider(request)
    return current


def requests_to_consider(
    admission: ServiceAdmission, now: float
) -> list[QueuedRequest]:
    """Return the first requests in their order.

    Those with an endpoint to wait for go before others of their rank.
    """
    waiting = admission.queue.requests
    holds = admission.holds
    for gone in holds.keys() - waiting.keys():
        holds.pop(gone)
    first = list(islice(admission.queue.in_order(now), MAX_CONSIDERED))
    if not holds:
        return first
    ranks: dict[Rank, int] = {}
    for ordered in first:
        ranks.setdefault(ordered.rank, len(ranks))
    holders = [waiting[holder] for holder in holds]
    others = [each for each in first if each.key not in holds]
    return sorted(
        holders + others,
        key=lambda request: ranks.get(request.rank, len(ranks)),
    )
