"""Early shedding: refuse at once what can't be served by its deadline.

The wait is predicted from the expected tokens ahead in the fair queue and
the rate at which the pool has lately taken tokens, so that a small workspace
is not refused for the backlog of a large one.
"""

from dataclasses import dataclass

RATE_WINDOW_SECONDS = 5.0
#: A queue that is empty after this time with nothing taken, in seconds, was
#: empty for lack of requests: engines take a step in a twentieth of it.
REST_SECONDS = 1.0
MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 60.0
DEADLINE_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class Keep:
    """Let the request wait; `wait_seconds` is the prediction."""

    wait_seconds: float


@dataclass(frozen=True, slots=True)
class Shed:
    """Refuse the request now as not run.

    `retry_after` is the time in seconds until the backlog ahead of it is
    predicted to fit its deadline.
    """

    wait_seconds: float
    retry_after: float


@dataclass(slots=True)
class ServiceRate:
    """Tokens a second that a pool takes, averaged over a moving window.

    It tells what the pool can take only while requests wait for it.
    """

    tokens: float = 0
    at: float = 0
    started_at: float | None = None

    def observe(self, now: float, tokens: float) -> None:
        """Count the expected tokens of a dispatched request."""
        if self.started_at is None:
            self.started_at = now
            self.at = now
        self.tokens = self.remaining(now) + tokens
        self.at = now

    def rest(self, now: float) -> None:
        """Note that a request found nothing ahead of it.

        After a rest the rate told how little was asked for, and a burst would
        be refused by it while endpoints are idle; it is measured anew.
        """
        if now - self.at > REST_SECONDS:
            self.started_at = None
            self.tokens = 0

    def remaining(self, now: float) -> float:
        """Return the counted tokens, reduced for their age."""
        age = max(0, now - self.at)
        return self.tokens * max(0, 1 - age / RATE_WINDOW_SECONDS)

    def per_second(self, now: float) -> float | None:
        """Return the rate, None while too little was seen to tell."""
        if self.started_at is None:
            return None
        seen = now - self.started_at
        if seen < RATE_WINDOW_SECONDS:
            return None
        return self.remaining(now) / RATE_WINDOW_SECONDS


def judge_wait(
    tokens_ahead: float,
    rate: float | None,
    now: float,
    deadline_at: float,
) -> Keep | Shed:
    """Return whether a new request should wait, by its deadline.

    With no known rate it waits: the deadline still ends it.
    """
    allowed = max(0, deadline_at - now) * DEADLINE_SHARE
    if rate is None:
        return Keep(0)
    wait = tokens_ahead / rate if rate else MAX_RETRY_SECONDS
    if not tokens_ahead or wait <= allowed:
        return Keep(wait)
    return Shed(wait, clamp_retry(wait - allowed))


def clamp_retry(seconds: float) -> float:
    """Return a time to come back within sensible limits."""
    return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
