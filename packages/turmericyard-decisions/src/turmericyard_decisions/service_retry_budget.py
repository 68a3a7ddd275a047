"""Each node's share of the fleet's retry budgets and cold rate limits.

The retry budget of a service is a ratio of its requests in a sliding window plus an
allowance. A node may use this ratio of the requests that it received itself,
plus an equal part of the allowance. The sum over all nodes then stays within
the bound of the fleet without communication between them.
"""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class ServiceRetryBudget:
    """Requests and retries for one service at one node.

    `ratio` is the number of retries allowed for each request in the window.
    """

    ratio: float
    window_seconds: float
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def observe_request(self, now: float) -> None:
        """Count a request from a client."""
        self.requests.append(now)
        self.expire(now)

    def allowed(self, allowance: float, now: float) -> bool:
        """Return whether one more retry stays within the node's share."""
        self.expire(now)
        bound = self.ratio * len(self.requests) + allowance
        return len(self.retries) + 1 <= bound

    def spend(self, now: float) -> None:
        """Count a retry."""
        self.retries.append(now)

    def expire(self, now: float) -> None:
        """Drop requests and retries that are older than the window."""
        oldest = now - self.window_seconds
        for times in (self.requests, self.retries):
            while times and times[0] < oldest:
                times.popleft()


@dataclass(slots=True)
class ColdRateLimiter:
    """Limits the requests a second from one node to a cold endpoint."""

    sent: deque[float] = field(default_factory=deque)

    def allowed(self, bound: float, now: float) -> bool:
        """Return whether one more request keeps the last second within `bound`."""
        while self.sent and self.sent[0] <= now - 1:
            self.sent.popleft()
        return len(self.sent) + 1 <= bound

    def spend(self, now: float) -> None:
        """Count a request that is sent."""
        self.sent.append(now)
