"""Each node's share of the fleet's budget of repeated requests.

The budget of a service is a ratio of the requests for it in a sliding window
and an allowance. A node spends the ratio of the requests that it took itself
and an equal part of the allowance, so that the sum over all nodes keeps the
fleet's bound without any exchange.
"""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class RepeatBudget:
    """Requests and repeats of one service at one node."""

    ratio: float
    window_seconds: float
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)

    def observe_request(self, now: float) -> None:
        """Count a request that a client sent."""
        self.requests.append(now)
        self.expire(now)

    def allowed(self, allowance: float, now: float) -> bool:
        """Return whether one more repeat keeps the node's share."""
        self.expire(now)
        bound = self.ratio * len(self.requests) + allowance
        return len(self.repeats) + 1 <= bound

    def spend(self, now: float) -> None:
        """Count a repeat."""
        self.repeats.append(now)

    def expire(self, now: float) -> None:
        """Forget what has left the window."""
        oldest = now - self.window_seconds
        for times in (self.requests, self.repeats):
            while times and times[0] < oldest:
                times.popleft()


@dataclass(slots=True)
class ColdRate:
    """Requests that one node sent to one endpoint in the last second."""

    sent: deque[float] = field(default_factory=deque)

    def allowed(self, bound: float, now: float) -> bool:
        """Return whether one more in this second keeps the bound."""
        while self.sent and self.sent[0] <= now - 1:
            self.sent.popleft()
        return len(self.sent) + 1 <= bound

    def spend(self, now: float) -> None:
        """Count a request."""
        self.sent.append(now)
