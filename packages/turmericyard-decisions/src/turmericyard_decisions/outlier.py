"""Outlier detection: ejects endpoints that fail real requests.

A health check may pass while an endpoint fails the requests of some callers.
Each node therefore judges endpoints by the answers to its own requests, and the
fleet by the answers to the requests of a zone's nodes. An ejection ends after a
delay, which doubles with each further ejection; the endpoint then gets single
requests.
"""

from dataclasses import dataclass

#: Weight of the latest answer in the moving average of failures.
LATEST_WEIGHT = 0.3
#: Weight where the answers of a plain service to many nodes are combined. It is
#: lower, since requests that fail at every endpoint (8 in 100 at the users'
#: bench) must not eject an endpoint.
PLAIN_FLEET_WEIGHT = 0.2
#: Failure share from which an endpoint is ejected.
EJECTION_FAILURE_SHARE = 0.5
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 8.0


@dataclass(slots=True)
class FailureEvidence:
    """Recent failures of one endpoint and its ejection.

    `failure_share` is the moving average of failures, from 0 to 1.
    `ejection_seconds` is the duration of the next ejection. `observed_at` is the
    time of the latest answer.
    """

    failure_share: float = 0
    ejection_seconds: float = FIRST_EJECTION_SECONDS
    ejected_until: float = 0
    latest_weight: float = LATEST_WEIGHT
    observed_at: float = 0

    def observe(self, *, failed: bool, now: float) -> None:
        """Record an answer at `now`."""
        self.observed_at = now
        difference = failed - self.failure_share
        self.failure_share += self.latest_weight * difference
        if not failed:
            if self.failure_share < self.latest_weight:
                self.ejection_seconds = FIRST_EJECTION_SECONDS
            return
        if self.failure_share >= EJECTION_FAILURE_SHARE:
            self.ejected_until = now + self.ejection_seconds
            self.ejection_seconds = min(
                self.ejection_seconds * 2, MAX_EJECTION_SECONDS
            )

    def observe_unreachable(self, now: float) -> None:
        """Record a failed connection; this ejects the endpoint immediately."""
        self.failure_share = max(self.failure_share, EJECTION_FAILURE_SHARE)
        self.observe(failed=True, now=now)

    def is_ejected(self, now: float) -> bool:
        """Return whether the endpoint is ejected now and gets no requests."""
        return now < self.ejected_until
