"""Keeps the requests to an endpoint within a number a second.

A hub uses the whole limit of an endpoint. A node without a hub uses an equal part
of a smaller share. The sum stays within the tolerance that endpoints allow while
nodes change from one to the other.
"""

from dataclasses import dataclass

#: Share of a limit for a hub, which places the requests of all nodes.
PLACING_SHARE = 1.0
#: Share of a limit for all nodes together that place their own requests.
OWN_SHARE = 0.4
#: Least limit that is assumed, in requests a second: an endpoint that gets no
#: request cannot name another limit.
MIN_PER_SECOND = 0.1
#: Time whose requests may be sent at once after a pause, in seconds.
BURST_SECONDS = 1.0


@dataclass(slots=True)
class RequestRate:
    """Token bucket of the requests to one endpoint.

    `tokens` is the number of requests that could be sent at `updated_at`. It
    falls to -1 when requests are sent that another node has placed.
    """

    tokens: float = 0
    updated_at: float = 0

    def restart(self, now: float) -> None:
        """Start with no tokens, as when a limit becomes known."""
        self.tokens = 0
        self.updated_at = now

    def allows(self, per_second: float, share: float, now: float) -> bool:
        """Return whether one more request keeps a share of a limit."""
        rate = max(per_second, MIN_PER_SECOND) * share
        passed = max(0, now - self.updated_at)
        most = max(1, rate * BURST_SECONDS)
        self.tokens = min(most, self.tokens + passed * rate)
        self.updated_at = now
        return self.tokens >= 1

    def spend(self) -> None:
        """Count a request that is sent or placed."""
        self.tokens = max(-1, self.tokens - 1)
