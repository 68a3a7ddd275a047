"""Demand and release rates of a service, as its hub observes them.

Waits are estimated from the memory that ended requests release, not from that
of placed ones: engines that a burst has just filled release nothing for the
length of a generation.
"""

import math
from dataclasses import dataclass, field

from turmericyard_decisions.admission_queue import QueuedRequest, Rank
from turmericyard_decisions.workspace_shares import DecayedSum

#: Decay time of observed rates, in seconds: bursts last 5 to 7 s.
RATE_SECONDS = 4.0
#: Observation time below which a rate is not known, in seconds.
MIN_OBSERVED_SECONDS = 1.0
#: Weight of the latest request in the mean length and memory of its rank.
LATEST_WEIGHT = 0.1
#: Share of released memory that less urgent requests are assumed to get even
#: when more urgent ones arrive as fast as memory is released.
MIN_RELEASE_SHARE = 0.1


@dataclass(slots=True)
class RankDemand:
    """Requests of one rank: arrivals, memory, length and how many run.

    `seconds` is 0 until a request of the rank has ended.
    """

    arrivals: DecayedSum = field(
        default_factory=lambda: DecayedSum(RATE_SECONDS)
    )
    tokens: float = 0
    seconds: float = 0
    running: int = 0


@dataclass(slots=True)
class QueueDemand:
    """What a hub observes of a service since `began_at`."""

    began_at: float
    ranks: dict[Rank, RankDemand] = field(default_factory=dict)
    released: DecayedSum = field(
        default_factory=lambda: DecayedSum(RATE_SECONDS)
    )

    def record_arrival(self, request: QueuedRequest, now: float) -> None:
        """Count a request that arrived."""
        rank = self.ranks.setdefault(request.rank, RankDemand())
        rank.arrivals.add(1, now)
        rank.tokens = mean(rank.tokens, request.tokens)

    def record_place(self, request: QueuedRequest) -> None:
        """Count a request that got a place."""
        self.ranks.setdefault(request.rank, RankDemand()).running += 1

    def record_end(
        self, request: QueuedRequest, seconds: float, now: float
    ) -> None:
        """Count a request that ran and ended; its memory is free again."""
        self.record_return(request)
        rank = self.ranks[request.rank]
        rank.seconds = mean(rank.seconds, seconds)
        self.released.add(request.tokens, now)

    def record_return(self, request: QueuedRequest) -> None:
        """Count a place that was not used."""
        rank = self.ranks.setdefault(request.rank, RankDemand())
        rank.running = max(0, rank.running - 1)

    def arrival_rate(self, rank: Rank, now: float) -> float:
        """Return the requests of a rank a second."""
        demand = self.ranks.get(rank)
        return self.per_second(demand.arrivals, now) if demand else 0

    def per_second(self, total: DecayedSum, now: float) -> float:
        """Return the rate of a sum, also soon after the observation began."""
        observed = max(now - self.began_at, MIN_OBSERVED_SECONDS)
        weight = 1 - math.exp(-observed / RATE_SECONDS)
        return total.value(now) / (RATE_SECONDS * weight)

    def seconds_for(self, rank: Rank, tokens: float, now: float) -> float:
        """Return in what time memory becomes free for requests of a rank.

        More urgent requests take their part first. 0 while the rates are not
        known, infinite when nothing is released.
        """
        if not tokens or now - self.began_at < MIN_OBSERVED_SECONDS:
            return 0
        released = self.per_second(self.released, now)
        if not released:
            return math.inf
        urgent = sum(
            self.arrival_rate(other, now) * demand.tokens
            for other, demand in self.ranks.items()
            if other < rank
        )
        return tokens / max(released - urgent, MIN_RELEASE_SHARE * released)


def mean(known: float, latest: float) -> float:
    """Return a moving mean; the first value counts whole."""
    if not known:
        return latest
    return known + LATEST_WEIGHT * (latest - known)
