"""Sets endpoints aside that fail by the evidence of real answers.

A health check can be good while an endpoint fails, for some callers only, so
that each node goes by what its own requests met, and the fleet by what those
of a zone's nodes met. An endpoint that was set aside gets single requests
again after a delay that doubles.
"""

from dataclasses import dataclass

#: Weight of the latest answer in the moving failure share.
LATEST_WEIGHT = 0.3
#: The same where many nodes' answers of a plain service count together: its
#: requests that fail everywhere (8 in 100 at the users' bench) must not set an
#: endpoint aside.
PLAIN_FLEET_WEIGHT = 0.2
#: Failure share above which an endpoint is set aside.
SET_ASIDE_SHARE = 0.5
FIRST_DELAY_SECONDS = 1.0
LONGEST_DELAY_SECONDS = 8.0


@dataclass(slots=True)
class Evidence:
    """What the answers of one endpoint say of it."""

    failure_share: float = 0
    delay_seconds: float = FIRST_DELAY_SECONDS
    aside_until: float = 0
    latest_weight: float = LATEST_WEIGHT
    observed_at: float = 0

    def observe(self, *, failed: bool, now: float) -> None:
        """Take an answer into account."""
        self.observed_at = now
        step = failed - self.failure_share
        self.failure_share += self.latest_weight * step
        if not failed:
            if self.failure_share < self.latest_weight:
                self.delay_seconds = FIRST_DELAY_SECONDS
            return
        if self.failure_share >= SET_ASIDE_SHARE:
            self.aside_until = now + self.delay_seconds
            self.delay_seconds = min(
                self.delay_seconds * 2, LONGEST_DELAY_SECONDS
            )

    def observe_unreachable(self, now: float) -> None:
        """Set an endpoint aside at once that no connection reaches."""
        self.failure_share = max(self.failure_share, SET_ASIDE_SHARE)
        self.observe(failed=True, now=now)

    def aside(self, now: float) -> bool:
        """Return whether the endpoint gets nothing now."""
        return now < self.aside_until
