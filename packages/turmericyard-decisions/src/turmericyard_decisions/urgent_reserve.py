"""How much capacity stays free for more urgent requests.

By Little's law the requests of a rank that run at the same time are on average
their arrival rate times their length, and vary by the square root of that. What
a rank does not use of it now is kept free for its next arrivals.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from turmericyard_decisions.admission_queue import Rank
from turmericyard_decisions.queue_demand import QueueDemand

#: Standard deviations of the number of running requests that are covered: an
#: urgent request finds no place in about one of forty cases.
COVERED_DEVIATIONS = 2.0
#: Share of a service's memory that is kept at most, so that less urgent
#: requests get the other half also when urgent ones come in masses.
MAX_KEPT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Reserve:
    """Places of `tokens` each that stay free for more urgent requests."""

    places: int
    tokens: float


@dataclass(frozen=True, slots=True)
class FreeRoom:
    """Free slots and memory of an endpoint, up to the permitted share.

    `memory_tokens` is infinite for an endpoint whose memory is not limited.
    """

    identity: str
    slots: int
    tokens: float
    memory_tokens: float = math.inf

    def places(self, tokens: float) -> int:
        """Return how many requests of a size fit."""
        if math.isinf(self.tokens):
            return self.slots
        return max(0, min(self.slots, int(self.tokens // max(1, tokens))))


def reserve_for(demand: QueueDemand, rank: Rank, now: float) -> Reserve:
    """Return what is kept free when requests of a rank are placed."""
    places = 0
    tokens: float = 0
    for other, observed in demand.ranks.items():
        if other >= rank or not observed.seconds:
            continue
        running = demand.arrival_rate(other, now) * observed.seconds
        covered = running + COVERED_DEVIATIONS * math.sqrt(running)
        missing = max(0, math.ceil(covered) - observed.running)
        places += missing
        if missing:
            tokens = max(tokens, observed.tokens)
    return Reserve(places, tokens)


def leaves_reserve(
    rooms: Iterable[FreeRoom], tokens: float, reserve: Reserve
) -> bool:
    """Return whether a request of `tokens` leaves the reserve free.

    The reserve counts up to a share of the whole memory. The request is taken
    to go to the endpoint where it costs the fewest places.
    """
    if not reserve.places:
        return True
    rooms = tuple(rooms)
    memory = sum(room.memory_tokens for room in rooms)
    kept = reserve.places
    if not math.isinf(memory):
        most = MAX_KEPT_SHARE * memory / max(1, reserve.tokens)
        kept = min(kept, int(most))
    places = sum(room.places(reserve.tokens) for room in rooms)
    costs = [
        room.places(reserve.tokens)
        - FreeRoom(room.identity, room.slots - 1, room.tokens - tokens).places(
            reserve.tokens
        )
        for room in rooms
        if room.places(tokens)
    ]
    return bool(costs) and places - min(costs) >= kept
